// Package store simulates a rate-limited weight store, like the stand-in of live runs:
// loads beyond Concurrency share its bandwidth, and loads over the rate limit are refused
// immediately.
package store

import (
	"math/rand/v2"
	"time"

	"golang.org/x/time/rate"

	"magnoliastall.example/magno"
)

// Store is a weight store on simulated time, which is passed to its methods.
type Store struct {
	// Rate is the number of loads that may begin per second; more are refused.
	Rate float64
	// LoadTime is the duration of a load at full speed, Concurrency how many loads run at
	// full speed at the same time.
	LoadTime    magno.Millis
	Concurrency int
	// Slowdown multiplies the duration of loads; values below 1 count as 1.
	Slowdown float64
	// FailureRate is the share of loads that fail, drawn from Rand.
	FailureRate float64
	Rand        *rand.Rand

	// Loads counts completed loads, Failed those that failed by a fault, Refused those over
	// the rate limit.
	Loads, Failed, Refused int

	limiter *rate.Limiter
	active  []*transfer
	last    magno.Millis
}

type transfer struct {
	id   int64
	left float64
}

// Begin starts a load; it returns false if the load was refused or failed.
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

// NextEnd returns when the next load ends; false if none is active.
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

// TakeFinished removes and returns the loads that have ended by now.
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

// SetFault sets Slowdown and FailureRate from now on.
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

// speed returns the progress of each active load per millisecond.
func (s *Store) speed() float64 {
	share := min(1, float64(s.Concurrency)/float64(max(1, len(s.active))))
	return share / max(1, s.Slowdown)
}
