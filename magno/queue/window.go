package queue

import (
	"math"

	"magnoliastall.example/magno"
)

const (
	// queuePerSlot is how many requests per request slot all entries together may have in an
	// upstream's queue while all requests can be on time. A shared queue serves uneven arrivals
	// better than one at each entry.
	queuePerSlot = 1.5
	// tightPerSlot replaces queuePerSlot while requests wait here that can't be on time: the order is
	// then decided here, and what is sent is soon served. It covers the time until the next request
	// comes.
	tightPerSlot = 0.5
	// minWindow is the least window. With fewer in flight an entry with little demand would learn too
	// rarely.
	minWindow = 0.1
	// restWindow is the window up to which answers without a wait raise it while the entry doesn't
	// use all of it. One request at each upstream is then sent without delay.
	restWindow = 1
	// growStep is the part of a window, at least one, that an answer without a wait adds to it.
	growStep = 0.3
	// shrinkStep is the part by which an answer that waited twice the tolerated time or longer
	// shrinks a window.
	shrinkStep = 0.3
	// shedShrink is the factor for a window after a shed or a failure, applied at most once for the
	// requests sent before the last one.
	shedShrink = 0.5
	// tolerance is the wait, as a multiple of the base time, from which on an answer shrinks the
	// window. Half of it is the noise of service times: their mean is about twice the base time.
	tolerance = 2.5
	// maxExcess bounds the wait of a single answer in multiples of the tolerated one: a single slow
	// answer says little.
	maxExcess = 2
	// excessGain is the weight of a new answer in the mean excess.
	excessGain = 0.3
	// busyExcess is the mean excess from which on an upstream may have no free request slot.
	busyExcess = 0.25
	// baseFall and baseRise are the parts of the difference by which the base time follows shorter
	// and longer answers, which makes it a low quantile. baseRiseRate bounds the rise, as a part of
	// the base time per second: a full queue must not become the usual state within a busy time.
	baseFall     = 0.5
	baseRise     = 0.02
	baseRiseRate = 0.02
	// tookGain is the weight of a new answer in the mean answer time of an upstream.
	tookGain = 0.2
	// excessHalfLife is the time in which the known wait of an upstream that isn't used halves.
	excessHalfLife = 500 * magno.Millis(1)
	// firstPause is for how long an upstream is not used after it failed, doubled for each further
	// failure up to maxPause.
	firstPause    = 50 * magno.Millis(1)
	maxPause      = 2 * magno.Second
	maxPauseShift = 6
	// reportedChange is the factor from which on a change of a window is reported.
	reportedChange = 2
)

// upstream is an upstream with what was learned about it.
type upstream struct {
	Upstream
	parts
	// window bounds the requests in flight. Below one, it spaces them out.
	window float64
	// reported is the window when its last change was reported.
	reported float64
	inFlight int
	// sentAt is when the last request was sent to it, onTimeAt when the last one that could be on
	// time was.
	sentAt, onTimeAt magno.Millis
	// wasLimiting is true if the window admitted no more after the last send.
	wasLimiting bool
	// base is the answer time without a wait, took the mean answer time, at tookAt. Both in
	// milliseconds, zero before the first answer.
	base, took float64
	tookAt     magno.Millis
	// excess is the mean wait of the answers as a multiple of the tolerated one.
	excess float64
	// shrunkAt is when the last shed or failure shrank the window.
	shrunkAt magno.Millis
	// failures counts the failures since the last answer.
	failures               int
	pausedUntil, restUntil magno.Millis
}

// parts are this entry's parts of an upstream, as requests in flight.
type parts struct {
	// slots is the part of the request slots. Windows don't fall below it, and late requests get no
	// more while the upstream is busy. With all entries at it the request slots are still full: noisy
	// answers must not leave them idle.
	slots float64
	// tight and fair are the parts with a queue of tightPerSlot and queuePerSlot.
	tight, fair float64
}

// usableAt returns from when on the upstream may get requests, false if never.
func (u *upstream) usableAt() (magno.Millis, bool) {
	return max(u.pausedUntil, u.restUntil), !u.Leaving
}

// limit returns the window for a request that is sent now. Pressed is true while requests wait that
// can't be on time. If the upstream is busy too, only this entry's part is used, and by late requests
// only its part of the request slots: what can be on time then finds a short queue.
func (u *upstream) limit(late, pressed bool) float64 {
	switch {
	case u.excess < busyExcess || (!late && !pressed):
		return u.window
	case late:
		return min(u.window, u.slots)
	}
	return min(u.window, u.tight)
}

// hasRoom reports whether the window admits one more request now.
func (u *upstream) hasRoom(now magno.Millis, late, pressed bool) bool {
	at, ok := u.usableAt()
	limit := u.limit(late, pressed)
	switch {
	case !ok || now < at:
		return false
	case u.failures > 0:
		return u.inFlight == 0
	case limit < 1:
		return u.inFlight == 0 && now >= u.spacedUntil(late, limit, now)
	}
	return float64(u.inFlight+1) <= limit
}

// spacedUntil returns when the next request may be sent with a window below one. A late one doesn't
// delay one that can be on time.
func (u *upstream) spacedUntil(late bool, limit float64, now magno.Millis) magno.Millis {
	last := u.onTimeAt
	if late {
		last = u.sentAt
	}
	return last + magno.Millis(u.expected(now)/limit)
}

// sent counts a request that is sent now.
func (u *upstream) sent(now magno.Millis, late bool) {
	if !late {
		u.onTimeAt = now
	}
	u.inFlight++
	u.wasLimiting = float64(u.inFlight+1) > u.window
	u.sentAt = now
}

// expected returns the answer time that is expected now.
func (u *upstream) expected(now magno.Millis) float64 {
	excess := max(u.took-u.base, 0)
	age := float64(max(now-u.tookAt, 0)) / float64(excessHalfLife)
	return max(u.base+excess*math.Exp2(-age), minUsual)
}

// ended counts the end of a request that was sent at sentAt. KnownBase is the least base time of the
// service's upstreams, zero if unknown.
func (u *upstream) ended(sentAt, now magno.Millis, res Result, knownBase float64) {
	u.inFlight--
	switch {
	case res.Void:
		if u.sentAt == sentAt {
			u.sentAt, u.onTimeAt = 0, 0 // it took no part of the window
		}
	case res.Shed:
		u.shrink(sentAt, now)
		u.failures = 0
	case !res.OK:
		u.shrink(sentAt, now)
		u.pausedUntil = now + min(firstPause<<min(u.failures, maxPauseShift), maxPause)
		u.failures++
	default:
		u.failures, u.pausedUntil = 0, 0
		u.learn(float64(res.Took), now, knownBase)
	}
}

// shrink halves the window, once for all requests that were sent before it last did.
func (u *upstream) shrink(sentAt, now magno.Millis) {
	if u.shrunkAt != 0 && sentAt <= u.shrunkAt {
		return
	}
	u.shrunkAt = now
	u.window = max(u.window*shedShrink, u.slots)
}

// learn changes the window by the time that an answer took. Slow answers alone don't shrink it below
// this entry's part, since an upstream may be slow without a queue.
func (u *upstream) learn(took float64, now magno.Millis, knownBase float64) {
	took = max(took, minUsual)
	if u.base == 0 {
		u.base, u.took, u.tookAt = took, took, now
		if knownBase > 0 {
			u.base = min(took, knownBase)
		}
	}
	excess := max(min((took-u.base)/(tolerance*u.base), maxExcess), 0)
	u.excess += excessGain * (excess - u.excess)
	rest := max(restWindow, u.fair)
	grown := u.window + growStep*max(u.window, 1)*(1-u.excess)
	switch {
	case excess >= 1:
		u.window = max(u.window*(1-shrinkStep*(excess-1)), min(u.window, u.fair))
	case u.excess >= 1:
	case u.wasLimiting:
		u.window = grown
	case u.window < rest:
		u.window = min(grown, rest)
	}
	u.window = min(max(u.window, u.slots), u.most())
	u.learnTimes(took, now)
}

// learnTimes updates the base and the mean answer time.
func (u *upstream) learnTimes(took float64, now magno.Millis) {
	mean := u.expected(now)
	switch d := took - u.base; {
	case d < 0:
		u.base += baseFall * d
	default:
		elapsed := float64(now-u.tookAt) / float64(magno.Second)
		u.base += min(baseRise*d, baseRiseRate*u.base*elapsed)
	}
	u.took = mean + tookGain*(took-mean)
	u.tookAt = now
}

// most returns the largest window: what keeps the upstream busy if this entry alone uses it.
func (u *upstream) most() float64 { return float64(u.Slots) * (1 + queuePerSlot) }

// setParts sets this entry's parts of an upstream: by demand if the peers' is known, else equal ones.
func (q *Queue) setParts(u *upstream) {
	part := 0.0
	switch {
	case q.share > 0:
		part = min(q.share, 1)
	case q.entries > 1:
		part = 1 / float64(q.entries)
	}
	if part == 0 {
		u.parts = parts{slots: minWindow, tight: restWindow, fair: restWindow}
		return
	}
	part *= float64(u.Slots)
	u.parts = parts{
		slots: max(part, minWindow),
		tight: max(part*(1+tightPerSlot), minWindow),
		fair:  max(part*(1+queuePerSlot), minWindow),
	}
}

// knownBase returns the least base time of the upstreams, zero if none is known.
func (q *Queue) knownBase() float64 {
	least := 0.0
	for _, u := range q.upstreams {
		if u.base > 0 && (least == 0 || u.base < least) {
			least = u.base
		}
	}
	return least
}
