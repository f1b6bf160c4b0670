// Package bucket limits rates with token buckets.
package bucket

import "magnoliastall.example/magno"

// Bucket is a token bucket whose level may become negative: a request larger than the
// burst passes when the bucket is full, and later requests wait for longer. The zero
// value is empty. It is not safe for concurrent use.
type Bucket struct {
	// Rate is the number of tokens added per second, Burst the capacity.
	Rate, Burst float64

	level   float64
	updated magno.Millis
}

// SetLevel sets the level, to Burst at most.
func (b *Bucket) SetLevel(level float64, now magno.Millis) {
	b.level, b.updated = min(level, b.Burst), now
}

// Level adds the tokens due since the last call and returns the level.
func (b *Bucket) Level(now magno.Millis) float64 {
	if now > b.updated {
		b.level += b.Rate * float64(now-b.updated) / float64(magno.Second)
		b.updated = now
	}
	b.level = min(b.level, b.Burst)
	return b.level
}

// Allows reports whether a request of the given cost may pass now. It takes no tokens.
func (b *Bucket) Allows(cost float64, now magno.Millis) bool {
	return b.Level(now) >= min(cost, b.Burst)
}

// Take removes cost tokens, even if the level becomes negative.
func (b *Bucket) Take(cost float64) { b.level -= cost }

// Give adds cost tokens, up to the capacity.
func (b *Bucket) Give(cost float64) { b.level = min(b.level+cost, b.Burst) }

// Delay returns the time until a request of the given cost may pass, if no other takes
// tokens before. It is zero if the request may pass now, and a day if Rate is zero.
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
