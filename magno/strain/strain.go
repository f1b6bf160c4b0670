// Package strain tells when an instance has more to do than its processor can.
//
// Load pattern: a balancer spreads callers by a hash, evenly on average, over
// machines of which some have a sixth of the others' processor. On the small
// ones work piles up: requests are read seconds after they came, answers that
// upstreams made in time arrive late, and time limits pass unnoticed. Without
// this package such an instance goes on saying that it is ready.
//
// The sign is the lag of a timer: how much later than asked a goroutine runs. It
// is a few milliseconds while the processor keeps up and grows with the work
// that waits. A strained instance takes itself out of the balancer's rotation
// and lets callers' kept connections end, until its lag has been low for a
// while; so each machine takes the share that it can serve. One that is far
// behind refuses at once: a refusal is far less work than a stream of dozens of
// events, and its caller finds another instance while there is time.
package strain

import "magnoliastall.example/magno"

const (
	// Interval is how often the timer is looked at.
	Interval = 50 * magno.Millis(1)
	// gain weighs a new lag in the average; the last ten count.
	gain = 0.1
	// high is the average lag from which on an instance is strained: an event of
	// a stream may be held up by 120 ms until its answer counts as late, and each
	// waits twice, for reading and for writing. low is what it must fall below.
	high = 40.0
	low  = 10.0
	// far is the average lag from which on it is far behind: with reading,
	// permit and sending a request then takes half a second for nothing.
	far = 120.0
	// rest is how long it must stay there. Callers that were turned away need
	// about a second to be back.
	rest = magno.Second
)

// Level is how far behind an instance is.
type Level int32

// The levels.
const (
	Normal     Level = iota
	Strained         // it should get no new connections
	Overloaded       // it should refuse what comes
)

// Detector is one instance's. One goroutine uses it.
type Detector struct {
	lag   float64
	level Level
	// calm is since when the lag has been low, zero while it isn't.
	calm magno.Millis
}

// Observe takes the lag of the timer at now and tells how far behind the
// instance is.
func (s *Detector) Observe(lag, now magno.Millis) Level {
	s.lag += gain * (float64(max(lag, 0)) - s.lag)
	switch {
	case s.lag > far:
		s.level, s.calm = Overloaded, 0
	case s.lag > high:
		s.level, s.calm = max(s.level, Strained), 0
	case s.lag > low:
		s.level, s.calm = min(s.level, Strained), 0
	case s.calm == 0:
		s.calm = now
	case now-s.calm >= rest:
		s.level = Normal
	}
	return s.level
}

// Lag is the average in milliseconds.
func (s *Detector) Lag() float64 { return s.lag }
