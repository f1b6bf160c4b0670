// Package store fakes a rate-limited weight store for experiments, as the
// stand-in of live runs does: loads beyond its width share its speed, and what
// is asked over its rate is refused at once.
package store

import (
	"math/rand/v2"
	"time"

	"golang.org/x/time/rate"

	"magnoliastall.example/magno"
)

// Store is one weight store. Time is told to it.
type Store struct {
	// Rate is how many loads a second may begin; more are refused.
	Rate float64
	// LoadTime is the time of a load at full speed, Width how many run so.
	LoadTime    magno.Millis
	Concurrency int
	// Slowdown is how many times as long as usual a load takes; at least 1.
	Slowdown float64
	// FailureRate is the share of loads that fail, drawn from Rand.
	FailureRate float64
	Rand        *rand.Rand

	// Loads counts delivered loads, Failed those that a fault failed, Refused
	// those over the rate.
	Loads, Failed, Refused int

	limiter *rate.Limiter
	active  []*transfer
	last    magno.Millis
}

type transfer struct {
	id   int64
	left float64
}

// Begin starts a load at now; false means that it was refused or failed.
func (s *Store) Begin(now magno.Millis, id int64) bool {
	if s.limiter == nil {
		s.limiter = rate.NewLimiter(rate.Limit(s.Rate), max(s.Concurrency, int(s.Rate)))
	}
	if s.FailureRate > 0 && s.Rand.Float64() < s.FailureRate {
		s.Failed++
		return false
	}
	if !s.limiter.AllowN(time.UnixMilli(int64(now)), 1) {
		s.Refused++
		return false
	}
	s.advance(now)
	s.active = append(s.active, &transfer{id: id, left: float64(s.LoadTime)})
	return true
}

// NextEnd returns when the next load ends; false when none is active.
func (s *Store) NextEnd() (magno.Millis, bool) {
	if len(s.active) == 0 {
		return 0, false
	}
	least := s.active[0].left
	for _, t := range s.active[1:] {
		least = min(least, t.left)
	}
	return s.last + max(1, magno.Millis(least/s.speed()+0.999)), true
}

// TakeFinished returns the loads that have ended by now.
func (s *Store) TakeFinished(now magno.Millis) []int64 {
	s.advance(now)
	var ended []int64
	keep := s.active[:0]
	for _, t := range s.active {
		if t.left > 0.5 {
			keep = append(keep, t)
			continue
		}
		s.Loads++
		ended = append(ended, t.id)
	}
	clear(s.active[len(keep):])
	s.active = keep
	return ended
}

// SetFault sets the fault from now on.
func (s *Store) SetFault(now magno.Millis, factor, fail float64) {
	s.advance(now)
	s.Slowdown, s.FailureRate = factor, fail
}

func (s *Store) advance(now magno.Millis) {
	if len(s.active) > 0 && now > s.last {
		made := float64(now-s.last) * s.speed()
		for _, t := range s.active {
			t.left -= made
		}
	}
	s.last = max(s.last, now)
}

// speed is what each active load makes in a millisecond.
func (s *Store) speed() float64 {
	share := min(1, float64(s.Concurrency)/float64(max(1, len(s.active))))
	return share / max(1, s.Slowdown)
}
