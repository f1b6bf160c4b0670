// Package retry decides whether and when a failed attempt is made again.
//
// Load pattern: an upstream, or a data centre, fails or refuses for a while.
// Without a budget every request then comes three times; the extra load keeps
// what is left of the pool from recovering, long after the first cause went.
//
// Retries may be at most a share of the successes, from a bucket: with Ratio
// at 0.1 a pool that fails altogether sees a tenth more attempts, not three
// times as many. The bucket's depth lets single failures be retried at once
// in a quiet pool. Waits double and are drawn from the whole span ("full
// jitter"), so that what failed together doesn't come back together.
package retry

import (
	"math/rand/v2"
	"sync"

	"magnoliastall.example/magno"
)

// Defaults.
const (
	DefaultRatio = 0.1
	DefaultDepth = 10.0
	// DefaultBase is the span of the first wait; it doubles each time.
	DefaultBase = 20 * magno.Millis(1)
	// DefaultCap is the longest span.
	DefaultCap = 2 * magno.Second
)

// Budget is one pool's. It is safe for concurrent use; its exported fields are
// set before use, and zero values mean the defaults.
type Budget struct {
	// Ratio is how many retries a success pays for.
	Ratio float64
	// Depth is the most retries that are saved up.
	Depth float64
	Base  magno.Millis
	Cap   magno.Millis
	Seed  uint64

	mu     sync.Mutex
	rand   *rand.Rand
	tokens float64
}

func (b *Budget) setup() {
	if b.rand != nil {
		return
	}
	if b.Ratio == 0 {
		b.Ratio = DefaultRatio
	}
	if b.Depth == 0 {
		b.Depth = DefaultDepth
	}
	if b.Base == 0 {
		b.Base = DefaultBase
	}
	if b.Cap == 0 {
		b.Cap = DefaultCap
	}
	b.rand = rand.New(rand.NewPCG(b.Seed, 3))
	b.tokens = b.Depth
}

// Succeeded takes a success.
func (b *Budget) Succeeded() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.setup()
	b.tokens = min(b.tokens+b.Ratio, b.Depth)
}

// Allow tells whether an attempt that ended with r may be made again, and
// after which wait. Attempt counts those made, from 1; left is the time to
// the deadline, and need the least that another attempt takes. Repeat is true
// for idempotent work; other work is tried again only when it was not run.
func (b *Budget) Allow(r *magno.Refusal, attempt int, left, need magno.Millis, repeat bool) (magno.Millis, bool) {
	if r == nil || !retriable(r, repeat) {
		return 0, false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.setup()
	span := min(b.Base<<min(max(attempt-1, 0), 20), b.Cap)
	wait := magno.Millis(b.rand.Int64N(int64(span) + 1))
	if wait+need > left || b.tokens < 1 {
		return 0, false
	}
	b.tokens--
	return wait, true
}

func retriable(r *magno.Refusal, repeat bool) bool {
	switch r.Kind {
	case magno.KindSuspect, magno.KindPast, magno.KindDeadline, magno.KindCancelled:
		return false
	}
	if r.Run == magno.RunNo {
		return r.Kind.Answer().Again
	}
	return repeat && r.Run == magno.RunUnknown
}
