package agenda

import "magnoliastall.example/magno"

const (
	// windowTime is the time over which completions are counted for one sample of the rate.
	windowTime = 250 * magno.Millis(1)
	// rateWeight is the weight of a sample in the moving averages: about one second in all, so
	// that a pool that slows down shows within two.
	rateWeight = 0.25
	// maxWindows is the number of windows without an event after which nothing is left of an
	// average: 0.75 to the power of 40 is 0.00001.
	maxWindows = 40
	// minReturnShare is the least share of the capacity that is forecast for returning callers. With
	// less, a pool that usually runs near its capacity would have all of them return as late as
	// they can, and together.
	minReturnShare = 0.25
)

// capacity forecasts the capacity for callers that return. It learns the rate at which requests are
// completed. While many callers are refused, that is the capacity. Otherwise it is only the demand, and
// the capacity is at least as much.
type capacity struct {
	// served counts the completions of the current window, which began at windowStart. overloaded
	// is true if many callers were refused in it.
	served      int
	overloaded  bool
	windowStart magno.Millis
	// demand is the moving average of completions per second, usual its last value while few
	// callers were refused, and rate the capacity per second. known is false until a window with
	// completions has ended.
	demand, usual, rate float64
	known               bool
}

// perSlot returns the capacity of one time slot for returning callers, beside the usual demand;
// false if it isn't known.
func (c *capacity) perSlot() (float64, bool) {
	return max(c.rate-c.usual, c.rate*minReturnShare) * float64(slotTime) / float64(magno.Second), c.known
}

// advance ends the windows that have passed.
func (c *capacity) advance(now magno.Millis) {
	if now-c.windowStart >= maxWindows*windowTime {
		// Idle for long, or the first call. What was counted before is too old to matter.
		c.served, c.overloaded, c.demand, c.windowStart = 0, false, 0, now
		return
	}
	for now-c.windowStart >= windowTime {
		c.endWindow()
		c.windowStart += windowTime
	}
}

func (c *capacity) endWindow() {
	sample := float64(c.served) * float64(magno.Second) / float64(windowTime)
	if !c.known && c.served > 0 {
		c.demand, c.rate, c.known = sample, sample, true
	}
	c.demand += rateWeight * (sample - c.demand)
	if c.overloaded {
		c.rate += rateWeight * (sample - c.rate)
	} else {
		c.rate, c.usual = max(c.rate, c.demand), c.demand
	}
	c.served, c.overloaded = 0, false
}
