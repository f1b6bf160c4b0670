// Package strain detects that an instance has more work than its processor can do.
//
// Load pattern: a load balancer distributes callers by hash, evenly on average, over
// machines of which some have a sixth of the others' processing power. On the small
// ones work accumulates: requests are read seconds after they arrived, answers that
// upstreams made in time are sent late, and timeouts expire unnoticed. Without this
// package, such an instance would keep reporting that it is ready.
//
// The signal is the lag of a timer, the delay with which a goroutine is woken up. It
// is a few milliseconds while the processor keeps up, and grows with the work that
// waits. A strained instance takes itself out of the load balancer's rotation and
// closes its callers' persistent connections until the lag has been low for a while,
// so that each machine gets the share that it can serve. An overloaded instance
// refuses requests at once: a refusal is far less work than a stream of dozens of
// events, and the caller still has time to find another instance.
package strain

import "magnoliastall.example/magno"

const (
	// Interval is the period of the timer.
	Interval = 50 * magno.Millis(1)
	// lagGain is the smoothing factor of the average lag, which covers about the last
	// ten observations.
	lagGain = 0.1
	// strainedLag is the average lag in milliseconds above which an instance is
	// strained. An event of a stream that is delayed by 120 ms makes its answer count
	// as late, and each event is delayed twice, when it is read and when it is written.
	strainedLag = 40.0
	// recoveredLag is the average lag in milliseconds that it must not exceed to return
	// to normal.
	recoveredLag = 10.0
	// overloadedLag is the average lag in milliseconds above which an instance is
	// overloaded. Reading a request, getting its permit and sending it then add up to
	// half a second of delay.
	overloadedLag = 120.0
	// recoveryTime is how long the lag must stay low before the level is normal again.
	// Callers that were sent elsewhere need about a second to return.
	recoveryTime = magno.Second
)

// Level is the load level of an instance.
type Level int32

// Load levels.
const (
	Normal     Level = iota
	Strained         // should get no new connections
	Overloaded       // should refuse new requests
)

// Detector derives an instance's load level from its timer lag. It is not safe for
// concurrent use.
type Detector struct {
	meanLag float64
	level   Level
	// lowSince is when the lag became low, or zero while it is not.
	lowSince magno.Millis
}

// Observe adds the lag of the timer at now and returns the instance's level.
func (d *Detector) Observe(lag, now magno.Millis) Level {
	d.meanLag += lagGain * (float64(max(lag, 0)) - d.meanLag)
	switch {
	case d.meanLag > overloadedLag:
		d.level, d.lowSince = Overloaded, 0
	case d.meanLag > strainedLag:
		d.level, d.lowSince = max(d.level, Strained), 0
	case d.meanLag > recoveredLag:
		d.level, d.lowSince = min(d.level, Strained), 0
	case d.lowSince == 0:
		d.lowSince = now
	case now-d.lowSince >= recoveryTime:
		d.level = Normal
	}
	return d.level
}

// Lag returns the average lag in milliseconds.
func (d *Detector) Lag() float64 { return d.meanLag }
