package queue

import (
	"math"

	"magnoliastall.example/magno"
)

const (
	// baseFall and baseRise are the parts of the difference by which the base time follows shorter
	// and longer answers, which makes it a low quantile. baseRiseRate bounds the rise, as a part of
	// the base time per second: a full queue must not become the usual state within a busy time.
	baseFall     = 0.5
	baseRise     = 0.02
	baseRiseRate = 0.02
	// tookGain is the weight of a new answer in the mean answer time of an upstream.
	tookGain = 0.4
	// excessHalfLife is the time in which the known wait of an upstream that isn't used halves.
	excessHalfLife = magno.Second
	// shedFactor is the answer time to expect after a shed, as a multiple of the base time.
	shedFactor = 4
	// firstPause is for how long an upstream is not used after it failed, doubled for each further
	// failure up to maxPause.
	firstPause    = 50 * magno.Millis(1)
	maxPause      = 2 * magno.Second
	maxPauseShift = 6
	// overdueFactor is from when on a request without an answer is overdue, as a multiple of the
	// usual answer time. Its upstream may hang, so it no longer takes part of the window, and the
	// upstream gets no more.
	overdueFactor = 4
	// firstOverdue is from when on a request is overdue before the first answer of any upstream.
	firstOverdue = 500 * magno.Millis(1)
)

// upstream is an upstream with what was learned about it.
type upstream struct {
	Upstream
	inFlight int
	// overdue is true while a request there is overdue.
	overdue bool
	// base is the answer time without a wait, took the mean answer time, at tookAt. Both in
	// milliseconds, zero before the first answer.
	base, took float64
	tookAt     magno.Millis
	// failures counts the failures since the last answer.
	failures               int
	pausedUntil, restUntil magno.Millis
}

// usableAt returns from when on the upstream may get requests, false if never.
func (u *upstream) usableAt() (magno.Millis, bool) {
	return max(u.pausedUntil, u.restUntil), !u.Leaving
}

// hasRoom reports whether the upstream may get one more request now.
func (u *upstream) hasRoom(now magno.Millis) bool {
	at, ok := u.usableAt()
	if !ok || now < at || u.overdue || (u.failures > 0 && u.inFlight > 0) {
		return false
	}
	return float64(u.inFlight) < float64(u.Slots)*(1+queuePerSlot)
}

// expected returns the answer time that is expected now.
func (u *upstream) expected(now magno.Millis) float64 {
	excess := max(u.took-u.base, 0)
	age := float64(max(now-u.tookAt, 0)) / float64(excessHalfLife)
	return max(u.base+excess*math.Exp2(-age), minUsual)
}

// failed pauses the upstream after a failure.
func (u *upstream) failed(now magno.Millis) {
	u.pausedUntil = now + min(firstPause<<min(u.failures, maxPauseShift), maxPause)
	u.failures++
}

// shed makes the upstream less likely to be chosen for a while.
func (u *upstream) shed(now magno.Millis) {
	u.failures = 0
	if u.base > 0 {
		u.took, u.tookAt = max(u.expected(now), shedFactor*u.base), now
	}
}

// learn updates the base and the mean answer time. KnownBase is the least base time of the service's
// upstreams, zero if unknown.
func (u *upstream) learn(took float64, now magno.Millis, knownBase float64) {
	u.failures, u.pausedUntil = 0, 0
	if u.base == 0 {
		u.base, u.took, u.tookAt = took, took, now
		if knownBase > 0 {
			u.base = min(took, knownBase)
		}
	}
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

// expectedAt returns the answer time that is expected of an upstream now. Until its first answer it counts
// as an idle one: an upstream that restarts must not get all requests.
func (q *Queue) expectedAt(u *upstream, now magno.Millis) float64 {
	if u.base == 0 {
		return max(q.knownBase(), minUsual)
	}
	return u.expected(now)
}
