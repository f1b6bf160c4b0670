package magno

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// Millis is a point in time as milliseconds since the Unix epoch, or a duration in milliseconds.
type Millis int64

// Common durations.
const (
	Second Millis = 1000
	Minute        = 60 * Second
	Hour          = 60 * Minute
)

// Duration converts m to a time.Duration.
func (m Millis) Duration() time.Duration { return time.Duration(m) * time.Millisecond }

// ToMillis converts d, rounding towards zero.
func ToMillis(d time.Duration) Millis { return Millis(d / time.Millisecond) }

// Clock returns the time in milliseconds. A nil Clock and the zero value follow the
// system clock. A clock from NewClock moves only when Advance is called, which makes
// tests and simulations reproducible.
type Clock struct {
	mu sync.Mutex
	// manual is true if only Advance moves the clock.
	manual bool
	// monotonic is true if changes of the system time don't affect the clock, bootTime
	// if it also counts the time that the machine is suspended.
	monotonic, bootTime bool
	// now is the current time of a manual clock. It never decreases.
	now Millis
}

// NewClock returns a manual clock set to start.
func NewClock(start Millis) *Clock {
	return &Clock{manual: true, now: start}
}

// NewMonotonic returns a clock that starts at the system time and then follows the
// monotonic clock. It is for durations and deadlines within one process: with the system
// clock, a request would wait two seconds longer if the time is set back by two seconds.
func NewMonotonic() *Clock { return &Clock{monotonic: true} }

// NewBootTime returns a monotonic clock that also advances while the machine is
// suspended. It is for data that is valid for a limited time: by a plain monotonic clock
// no time has passed after a suspension, and outdated data would still be valid.
func NewBootTime() *Clock { return &Clock{monotonic: true, bootTime: true} }

// uptime returns the time since the machine was booted, suspensions included. On systems
// without CLOCK_BOOTTIME it returns the time since the process started, by the monotonic
// clock.
func uptime() Millis {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return ToMillis(time.Since(startedAt))
	}
	return Millis(t.Nano() / int64(time.Millisecond))
}

// uptimeAtStart is the reference point of boot-time clocks.
var uptimeAtStart = uptime()

// startedAt is the reference point of monotonic clocks. It includes a monotonic reading.
var startedAt = time.Now()

// Now returns the current time.
func (c *Clock) Now() Millis {
	if c != nil && c.bootTime {
		return Millis(startedAt.UnixMilli()) + uptime() - uptimeAtStart
	}
	if c != nil && c.monotonic {
		return Millis(startedAt.UnixMilli()) + ToMillis(time.Since(startedAt))
	}
	if c == nil || !c.manual {
		return Millis(time.Now().UnixMilli())
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

// Advance moves a manual clock forward by d; a negative d is ignored.
func (c *Clock) Advance(d Millis) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.manual && d > 0 {
		c.now += d
	}
}

// Sleep waits for d of real time. It returns false if ctx ends first.
func Sleep(ctx context.Context, d Millis) bool {
	timer := time.NewTimer(d.Duration())
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
