// Package retry decides whether and when a failed attempt is retried.
//
// Load pattern: an upstream or a data centre fails or refuses requests for a while.
// Without a budget, every request would then be attempted three times, and the
// additional load would keep the rest of the pool from recovering long after the
// original fault has gone.
//
// A token bucket limits retries to a fraction of the successes: with a Ratio of 0.1,
// a pool that fails completely gets a tenth more attempts, not three times as many.
// The depth of the bucket allows immediate retries of single failures in a pool with
// little traffic. Waits use exponential backoff with full jitter, so that requests
// that failed together are not retried together.
package retry

import (
	"math/rand/v2"
	"sync"

	"magnoliastall.example/magno"
)

// Defaults of the fields of Budget.
const (
	DefaultRatio = 0.1
	DefaultDepth = 10.0
	// DefaultBase is the upper bound of the first wait. It doubles with each attempt.
	DefaultBase = 20 * magno.Millis(1)
	// DefaultCap is the largest upper bound of a wait.
	DefaultCap = 2 * magno.Second
)

// Budget is the retry budget of one pool. It is safe for concurrent use. Its exported
// fields are set before use; zero values mean the defaults.
type Budget struct {
	// Ratio is the number of retries that each success adds to the budget.
	Ratio float64
	// Depth is the capacity of the bucket in retries. A new budget is full.
	Depth float64
	// Base and Cap bound the first and the longest wait.
	Base magno.Millis
	Cap  magno.Millis
	Seed uint64

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

// Succeeded records a successful attempt.
func (b *Budget) Succeeded() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.setup()
	b.tokens = min(b.tokens+b.Ratio, b.Depth)
}

// Allow reports whether an attempt that ended with r may be retried, and after which
// wait. It takes the retry from the budget. Attempt is the number of attempts made so
// far, left is the time to the deadline, and need the least time that another attempt
// takes. Repeat is true for idempotent work; other work is retried only if it did not
// run.
func (b *Budget) Allow(r *magno.Refusal, attempt int, left, need magno.Millis, repeat bool) (magno.Millis, bool) {
	if r == nil || !retryable(r, repeat) {
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

// retryable reports whether the kind of refusal permits a retry at all.
func retryable(r *magno.Refusal, repeat bool) bool {
	switch r.Kind {
	case magno.KindSuspect, magno.KindPast, magno.KindDeadline, magno.KindCancelled:
		return false
	}
	if r.Run == magno.RunNo {
		return r.Kind.Answer().Retryable
	}
	return repeat && r.Run == magno.RunUnknown
}
