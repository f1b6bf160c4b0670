// Package slide sums up what was counted within a sliding window.
package slide

import "magnoliastall.example/magno"

// slots divide a window; what was counted leaves it a slot at a time, never too early.
const slots = 64

// Sum is what was counted within Window. One goroutine uses it.
type Sum struct {
	// Window is over zero and isn't changed after the first use.
	Window magno.Millis

	counted [slots + 1]float64
	// at is the slot in use, as a number since the epoch.
	at  magno.Millis
	sum float64
}

func (s *Sum) length() magno.Millis { return max(s.Window/slots, 1) }

// turn drops the slots that left the window.
func (s *Sum) turn(now magno.Millis) {
	at := now / s.length()
	for n := 0; s.at < at && n <= slots; n++ {
		s.at++
		s.sum -= s.counted[s.at%(slots+1)]
		s.counted[s.at%(slots+1)] = 0
	}
	if s.at < at {
		s.at, s.sum = at, 0
	}
}

// Add counts something, or with a negative value takes back what was counted.
func (s *Sum) Add(cost float64, now magno.Millis) {
	s.turn(now)
	s.counted[s.at%(slots+1)] += cost
	s.sum += cost
}

// Total is the sum of the window that ends now, zero at least.
func (s *Sum) Total(now magno.Millis) float64 {
	s.turn(now)
	return max(s.sum, 0)
}

// Delay is how long it takes until the sum is no more than most, if nothing is added.
func (s *Sum) Delay(most float64, now magno.Millis) magno.Millis {
	s.turn(now)
	left := s.sum
	for n := magno.Millis(1); n <= slots+1; n++ {
		if left <= most {
			if n == 1 {
				return 0
			}
			return (s.at+n-1)*s.length() - now
		}
		left -= s.counted[(s.at+n)%(slots+1)]
	}
	return (s.at+slots+1)*s.length() - now
}
