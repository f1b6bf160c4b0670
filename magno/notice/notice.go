// Package notice tracks what upstreams state about themselves in their answers.
//
//	answer --> Record --> Board --> Limit
//
// Load pattern: an upstream that is short of resources names a limit in each of its answers,
// and answers of many concurrent requests arrive in any order. Without this package every
// answer would have to be interpreted where it is received, and one that was made before the
// upstream changed its state could undo a newer one.
package notice

import (
	"sync"

	"magnoliastall.example/magno"
)

// Board holds the latest statements of each upstream. It is safe for concurrent use; Clock is
// set before use.
type Board struct {
	Clock *magno.Clock

	mu        sync.Mutex
	upstreams map[string]*statements
}

// statements are those of one incarnation of an upstream.
type statements struct {
	limited bool
	rate    float64
	// limitedAt is when the last answer with a limit arrived.
	limitedAt magno.Millis
}

// Record takes the notice in an answer to a request that was sent at the given time, and
// reports whether it changed what is known of the upstream. An answer without a limit ends a
// limit only if its request was sent after the limit was last named: others may be older.
func (b *Board) Record(key string, n magno.Notice, sentAt magno.Millis) (changed bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.upstreams[key]
	if s == nil {
		if n == (magno.Notice{}) {
			return false
		}
		if b.upstreams == nil {
			b.upstreams = map[string]*statements{}
		}
		s = &statements{}
		b.upstreams[key] = s
	}
	switch {
	case n.Limited:
		changed = !s.limited || s.rate != n.Rate
		s.limited, s.rate, s.limitedAt = true, n.Rate, b.Clock.Now()
	case s.limited && sentAt > s.limitedAt:
		s.limited = false
		return true
	}
	return changed
}

// Limit returns the requests per second that an upstream accepts from all processes together;
// false if it names no limit.
func (b *Board) Limit(key string) (float64, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.upstreams[key]
	if s == nil || !s.limited {
		return 0, false
	}
	return s.rate, true
}

// Limited returns the number of upstreams that name a limit.
func (b *Board) Limited() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := 0
	for _, s := range b.upstreams {
		if s.limited {
			n++
		}
	}
	return n
}

// Prune forgets the upstreams that keep rejects.
func (b *Board) Prune(keep func(key string) bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for key := range b.upstreams {
		if !keep(key) {
			delete(b.upstreams, key)
		}
	}
}
