package magno

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// Millis is a point in time since the Unix epoch, or a span, in milliseconds.
type Millis int64

// Spans in milliseconds.
const (
	Second Millis = 1000
	Minute        = 60 * Second
	Hour          = 60 * Minute
)

// Span converts m to the standard library's unit.
func (m Millis) Duration() time.Duration { return time.Duration(m) * time.Millisecond }

// ToMillis converts a standard duration, rounding down.
func ToMillis(d time.Duration) Millis { return Millis(d / time.Millisecond) }

// Clock tells the time in milliseconds. The zero value follows the machine's
// clock; a clock from NewClock moves only when Advance is called, so tests and
// experiments give the same result every time.
type Clock struct {
	mu sync.Mutex
	// driven is true when only Advance moves the clock.
	driven bool
	// steady is true when no step of the time of day moves the clock, boot when it
	// also goes on while the machine is suspended.
	steady, boot bool
	// now is the current time of a driven clock. It never decreases.
	now Millis
}

// NewClock returns a driven clock that stands at start.
func NewClock(start Millis) *Clock {
	return &Clock{driven: true, now: start}
}

// NewSteady returns a clock that starts at the time of day and then follows
// the machine's monotonic one. Spans and deadlines within one process are taken
// from it: with the time of day, a clock that is set back by two seconds would
// keep a request waiting for as long.
func NewMonotonic() *Clock { return &Clock{steady: true} }

// NewBoot returns a steady clock that goes on while the machine is suspended. What
// is known for a bounded time only is judged by it: after a suspension a monotonic
// clock says that no time has passed.
func NewBootTime() *Clock { return &Clock{steady: true, boot: true} }

// bootTime is how long the machine has run, suspensions included. Where the system
// has no such clock it is the monotonic one's.
func bootTime() Millis {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return ToMillis(time.Since(started))
	}
	return Millis(t.Nano() / int64(time.Millisecond))
}

// booted anchors boot clocks.
var booted = bootTime()

// started anchors steady clocks. It holds a monotonic reading.
var started = time.Now()

// Now returns the current time.
func (c *Clock) Now() Millis {
	if c != nil && c.boot {
		return Millis(started.UnixMilli()) + bootTime() - booted
	}
	if c != nil && c.steady {
		return Millis(started.UnixMilli()) + ToMillis(time.Since(started))
	}
	if c == nil || !c.driven {
		return Millis(time.Now().UnixMilli())
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

// Advance moves a driven clock forward by d; a negative d is ignored.
func (c *Clock) Advance(d Millis) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.driven && d > 0 {
		c.now += d
	}
}

// Pause waits for d of the machine's time and returns false when ctx ended
// first.
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
