// Package wait waits by the project's clock, which may be driven by a test.
package wait

import (
	"context"
	"time"

	"magnoliastall.example/magno"
)

// look is how often a waiter looks at the clock: a driven one can't wake it.
const pollInterval = 2 * time.Millisecond

// Until returns nil at the time t, or the error of ctx if that ends first.
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
