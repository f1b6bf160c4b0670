// Package slide sums values over a sliding time window.
package slide

import "magnoliastall.example/magno"

// slots is the number of time slots in a window. Values leave the window one slot at a
// time, up to a slot late but never early.
const slots = 64

// Sum is the sum of the values added within Window. It is not safe for concurrent use.
type Sum struct {
	// Window must be positive and must not change after the first use.
	Window magno.Millis

	counted [slots + 1]float64
	// current is the number of the current slot, counted from the epoch.
	current magno.Millis
	sum     float64
}

func (s *Sum) slotLength() magno.Millis { return max(s.Window/slots, 1) }

// advance removes the slots that have left the window.
func (s *Sum) advance(now magno.Millis) {
	slot := now / s.slotLength()
	for n := 0; s.current < slot && n <= slots; n++ {
		s.current++
		s.sum -= s.counted[s.current%(slots+1)]
		s.counted[s.current%(slots+1)] = 0
	}
	if s.current < slot {
		s.current, s.sum = slot, 0
	}
}

// Add adds cost to the sum; a negative cost takes back what was added before.
func (s *Sum) Add(cost float64, now magno.Millis) {
	s.advance(now)
	s.counted[s.current%(slots+1)] += cost
	s.sum += cost
}

// Total returns the sum over the window that ends now, at least zero.
func (s *Sum) Total(now magno.Millis) float64 {
	s.advance(now)
	return max(s.sum, 0)
}

// Delay returns the time until the sum is at most limit, if nothing is added.
func (s *Sum) Delay(limit float64, now magno.Millis) magno.Millis {
	s.advance(now)
	remaining := s.sum
	for n := magno.Millis(1); n <= slots+1; n++ {
		if remaining <= limit {
			if n == 1 {
				return 0
			}
			return (s.current+n-1)*s.slotLength() - now
		}
		remaining -= s.counted[(s.current+n)%(slots+1)]
	}
	return (s.current+slots+1)*s.slotLength() - now
}
