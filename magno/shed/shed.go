// Package shed decides whether a request is sent to a plain service that is behind its
// work, or refused at once.
//
//	Answered (how long it took) --> least, recent --> Admit
//
// Load pattern: for some seconds callers send more than the upstreams of a service can
// do. Upstreams queue what comes, in order, and soon every answer is late. A short queue
// serves as many, and most of them in time; what doesn't fit comes back after the peak.
// Without this package a peak of a third over what is possible makes all answers late for
// as long as it lasts, and until the queues are empty again.
//
// Nothing is known of an upstream but its answers: the shortest of late is the work, what
// they take beyond that is the queue. Where the work alone takes longer than the aim,
// nothing is refused, for no shorter queue would help.
package shed

import (
	"math/rand/v2"
	"sync"

	"magnoliastall.example/magno"
)

const (
	// recentGain weighs a new answer in the recent time of answers: three or so count.
	recentGain = 0.3
	// freshFor is how long the last answer tells about the queue.
	freshFor = magno.Second
	// leastFor is how long the shortest answer tells about the work.
	leastFor = 5 * magno.Second
	// begin is the part of the time that a queue may take at which requests begin to be
	// refused, full the one at which all are.
	begin = 0.5
	full  = 1.25
	// leastAfter and mostAfter bound the time to come back. A peak that has lasted for
	// long is likely to go on for as long.
	leastAfter = 200 * magno.Millis(1)
	mostAfter  = magno.Second
)

// Shed is one service's. It is safe for concurrent use; exported fields are set before.
type Shed struct {
	Clock *magno.Clock
	// Seed makes what is refused differ between entries.
	Seed uint64

	mu   sync.Mutex
	rand *rand.Rand
	// recent is how long answers take by now, as of at.
	recent float64
	at     magno.Millis
	// least is the shortest answer of leastFor and the one before: those since turned, and
	// those of the leastFor before that.
	least, before magno.Millis
	turned        magno.Millis
	// since is when recent began to be over what is admitted freely, zero while it isn't.
	since magno.Millis
}

// Answered takes how long an upstream took for an answer.
func (s *Shed) Answered(took magno.Millis) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Clock.Now()
	if s.recent == 0 || now-s.at > freshFor {
		s.recent = float64(took)
	}
	s.recent += recentGain * (float64(took) - s.recent)
	s.at = now
	if now-s.turned > leastFor {
		s.before, s.least, s.turned = s.least, took, now
	}
	s.least = min(s.least, took)
}

// Admit tells whether a request that is to be answered within aim is sent, and else when
// its caller should come back.
func (s *Shed) Admit(aim magno.Millis) (ok bool, after magno.Millis) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.rand == nil {
		s.rand = rand.New(rand.NewPCG(s.Seed, 1))
	}
	now := s.Clock.Now()
	part := s.part(aim, now)
	if part <= 0 {
		s.since = 0
		return true, 0
	}
	if s.since == 0 {
		s.since = now
	}
	if s.rand.Float64() >= part {
		return true, 0
	}
	return false, min(max(now-s.since, leastAfter), mostAfter)
}

// part is the part of requests that is refused.
func (s *Shed) part(aim, now magno.Millis) float64 {
	work := s.least
	if s.before > 0 {
		work = min(work, s.before)
	}
	room := float64(aim - work)
	if room < float64(work) || s.at == 0 || now-s.at > freshFor {
		return 0
	}
	queue := (s.recent - float64(work)) / room
	return min((queue-begin)/(full-begin), 1)
}
