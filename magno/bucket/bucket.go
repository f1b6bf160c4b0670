// Package bucket bounds a rate: what comes within it is let through, also in bursts.
package bucket

import "magnoliastall.example/magno"

// Bucket is a token bucket whose level may fall below zero: a request that is larger
// than the bucket is let through when it is full, and what follows waits for longer.
// The zero value is empty. One goroutine uses it.
type Bucket struct {
	// Rate is what flows in a second, Burst the most that it holds.
	Rate, Burst float64

	level float64
	at    magno.Millis
}

// SetLevel sets the level.
func (b *Bucket) SetLevel(level float64, now magno.Millis) { b.level, b.at = min(level, b.Burst), now }

// Level is what the bucket holds now.
func (b *Bucket) Level(now magno.Millis) float64 {
	if now > b.at {
		b.level += b.Rate * float64(now-b.at) / float64(magno.Second)
		b.at = now
	}
	b.level = min(b.level, b.Burst)
	return b.level
}

// Allows tells whether a request of that cost is let through.
func (b *Bucket) Allows(cost float64, now magno.Millis) bool {
	return b.Level(now) >= min(cost, b.Burst)
}

// Take lowers the level.
func (b *Bucket) Take(cost float64) { b.level -= cost }

// Give raises it, as far as the bucket holds.
func (b *Bucket) Give(cost float64) { b.level = min(b.level+cost, b.Burst) }

// Delay is how long it takes until a request of that cost is let through, if none comes
// before. It is zero when one is now, and a day where the rate is zero.
func (b *Bucket) Delay(cost float64, now magno.Millis) magno.Millis {
	missing := min(cost, b.Burst) - b.Level(now)
	switch {
	case missing <= 0:
		return 0
	case b.Rate <= 0:
		return 24 * magno.Hour
	}
	return magno.Millis(missing/b.Rate*float64(magno.Second)) + 1
}
