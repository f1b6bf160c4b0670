// Package wait waits by a magno.Clock, which a test may advance.
package wait

import (
	"context"
	"time"

	"magnoliastall.example/magno"
)

// pollInterval is how often a waiter reads the clock, because a clock that a test
// advances does not wake it.
const pollInterval = 2 * time.Millisecond

// Until waits until time t. It returns the error of ctx if that ends first.
func Until(ctx context.Context, clock *magno.Clock, t magno.Millis) error {
	for clock.Now() < t {
		timer := time.NewTimer(pollInterval)
		select {
		case <-ctx.Done():
			timer.Stop()
			return ctx.Err()
		case <-timer.C:
		}
	}
	return ctx.Err()
}
