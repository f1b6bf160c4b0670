// Package notice tracks what upstreams state about themselves in their answers.
//
//	answer --> Record --> Board --> Limit, Leaving, RestLeft
//	another process --> Adopt --^
//
// Load pattern: an upstream that is short of resources names a limit in each of its answers, and
// one that stops says so there long before an instance list that is slow or away does. Answers
// of many concurrent requests arrive in any order. Without this package every answer would have
// to be interpreted where it is received, and one that was made before the upstream changed its
// state could undo a newer one.
package notice

import (
	"sync"

	"magnoliastall.example/magno"
)

// leavingTTL is how long the statement that an upstream leaves holds: one that restarted under its
// name, with nothing to show it, is tried again after that. It is longer than any stop takes.
const leavingTTL = 5 * magno.Minute

// Board holds the latest statements of each upstream. It is safe for concurrent use; Clock is
// set before use.
type Board struct {
	Clock *magno.Clock

	mu        sync.Mutex
	upstreams map[string]*statements
	changed   chan struct{}
}

// statements are those of one incarnation of an upstream.
type statements struct {
	limited bool
	rate    float64
	// limitedAt is when the limit was last known to hold, endedAt when it ended.
	limitedAt, endedAt magno.Millis
	// leaving is true once the upstream stated that it leaves, at leavingAt. stayingAt is when it
	// was last known not to.
	leaving              bool
	leavingAt, stayingAt magno.Millis
	// restUntil is when the upstream accepts requests of this process again, as it last stated at restAt.
	restUntil, restAt magno.Millis
}

// Record takes the notice in an answer to a request that was sent at the given time, and
// reports whether it changed what is known of the upstream. An answer without a limit ends a
// limit only if its request was sent after the limit was last named: others may be older. With
// sentAt zero it ends nothing.
func (b *Board) Record(key string, n magno.Notice, sentAt magno.Millis) (changed bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if n == (magno.Notice{}) && b.upstreams[key] == nil {
		return false
	}
	s, now := b.of(key), b.Clock.Now()
	switch {
	case n.Limited:
		changed = s.limit(n.Rate, now)
	case sentAt > s.limitedAt:
		changed = s.end(now)
	}
	if n.RetryAfter > 0 {
		s.restUntil, s.restAt = max(s.restUntil, now+n.RetryAfter), now
	}
	switch {
	case n.Leaving:
		changed = b.setLeaving(s, true, now) || changed
	case sentAt > s.leavingAt:
		changed = b.setLeaving(s, false, now) || changed
	}
	return changed
}

// AdoptLeaving takes the statement that an upstream leaves from another process, which got it
// some time ago.
func (b *Board) AdoptLeaving(key string, ago magno.Millis) (changed bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s, at := b.of(key), b.Clock.Now()-ago
	return at > s.stayingAt && b.setLeaving(s, true, max(at, s.leavingAt))
}

// Changed returns a channel that is closed when another upstream begins to leave, or no longer
// does.
func (b *Board) Changed() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.changed == nil {
		b.changed = make(chan struct{})
	}
	return b.changed
}

// Adopt takes what another process knows of an upstream's limit.
func (b *Board) Adopt(key string, state magno.LimitState) (changed bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !state.Limited && b.upstreams[key] == nil {
		return false
	}
	s, at := b.of(key), b.Clock.Now()-state.Age
	switch {
	case state.Limited && at > s.endedAt:
		return s.limit(state.Rate, max(at, s.limitedAt))
	case !state.Limited && at > s.limitedAt:
		return s.end(at)
	}
	return false
}

// Restarted forgets what an upstream stated before it restarted at the given time, and reports whether that ended a
// rest.
func (b *Board) Restarted(key string, at magno.Millis) (restEnded bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.upstreams[key]
	if s == nil {
		return false
	}
	if s.limitedAt < at {
		s.limited, s.endedAt = false, max(s.endedAt, at)
	}
	if s.leavingAt < at {
		b.setLeaving(s, false, at)
	}
	if s.restAt >= at || s.restUntil <= b.Clock.Now() {
		return false
	}
	s.restUntil = 0
	return true
}

// of returns the statements of an upstream. The caller holds mu.
func (b *Board) of(key string) *statements {
	s := b.upstreams[key]
	if s == nil {
		if b.upstreams == nil {
			b.upstreams = map[string]*statements{}
		}
		s = &statements{}
		b.upstreams[key] = s
	}
	return s
}

// setLeaving sets whether an upstream leaves. The caller holds mu.
func (b *Board) setLeaving(s *statements, leaving bool, at magno.Millis) (changed bool) {
	changed = s.leaving != leaving
	s.leaving = leaving
	if leaving {
		s.leavingAt = at
	} else {
		s.stayingAt = at
	}
	if changed && b.changed != nil {
		close(b.changed)
		b.changed = nil
	}
	return changed
}

func (s *statements) limit(rate float64, at magno.Millis) (changed bool) {
	changed = !s.limited || s.rate != rate
	s.limited, s.rate, s.limitedAt = true, rate, at
	return changed
}

func (s *statements) end(at magno.Millis) (changed bool) {
	changed = s.limited
	s.limited, s.endedAt = false, at
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

// State returns what is known of an upstream's limit if it names one, else nil.
func (b *Board) State(key string) *magno.LimitState {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.upstreams[key]
	if s == nil || !s.limited {
		return nil
	}
	return &magno.LimitState{Limited: true, Rate: s.rate, Age: b.Clock.Now() - s.limitedAt}
}

// Leaving reports whether an upstream stated that it leaves.
func (b *Board) Leaving(key string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.upstreams[key]
	return s != nil && s.leaving && b.Clock.Now()-s.leavingAt < leavingTTL
}

// RestLeft returns the time until an upstream accepts requests of this process again, zero if it
// does now.
func (b *Board) RestLeft(key string) magno.Millis {
	b.mu.Lock()
	defer b.mu.Unlock()
	if s := b.upstreams[key]; s != nil {
		return max(s.restUntil-b.Clock.Now(), 0)
	}
	return 0
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
