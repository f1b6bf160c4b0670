package queue

import (
	"math"

	"magnoliastall.example/magno"
)

const (
	// queuePerSlot is how many requests per request slot all entries together may have in the
	// upstreams' queues while all requests can be on time. A shared queue serves uneven arrivals
	// better than one at each entry.
	queuePerSlot = 2
	// tightPerSlot replaces queuePerSlot while requests wait here that can't be on time: the order is
	// then decided here, and what is sent is soon served. It covers the time until the next request
	// comes.
	tightPerSlot = 0.5
	// minWindow is the least window. With fewer in flight an entry with little demand would learn too
	// rarely.
	minWindow = 0.1
	// restPerUpstream is the window per upstream up to which answers without a wait raise it while
	// the entry doesn't use all of it. One request at each upstream is then sent without delay.
	restPerUpstream = 1
	// growStep is the part of a window, at least one, that an answer without a wait adds to it.
	growStep = 0.3
	// shrinkStep is the part by which an answer that waited twice the tolerated time or longer
	// shrinks a window.
	shrinkStep = 0.3
	// shedShrink is the factor for a window after a shed, applied at most once for the requests sent
	// before the last one.
	shedShrink = 0.5
	// tolerance is the wait, as a multiple of the base time, from which on an answer shrinks the
	// window. One base time of it is the noise of service times, whose mean is up to twice the base
	// time. tightTolerance replaces it while requests wait that can't be on time.
	tolerance      = 3.5
	tightTolerance = 1.5
	// maxExcess bounds the wait of a single answer in multiples of the tolerated one: a single slow
	// answer says little.
	maxExcess = 2
	// excessGain is the weight of a new answer in the mean excess.
	excessGain = 0.3
	// lateShare is the part of the window that late requests may use, but for this entry's part of
	// the request slots.
	lateShare = 0.67
	// learnTime is the time from the first answer for which no request is refused because of the
	// window: it grows from this entry's equal part to its part by demand.
	learnTime = magno.Second
	// reportedChange is the factor from which on a change of a window is reported.
	reportedChange = 2
)

// window bounds what this entry has in flight at all upstreams of the service. A fraction is used by
// spacing requests out.
type window struct {
	parts
	size, reported float64
	// inFlight counts the requests in flight that aren't overdue.
	inFlight int
	// sentAt is when the last request was sent, onTimeAt when the last one that could be on time was.
	sentAt, onTimeAt magno.Millis
	// wasLimiting is true if the window admitted no more after the last send.
	wasLimiting bool
	// excess is the mean wait of the answers as a multiple of the tolerated one.
	excess float64
	// shrunkAt is when the last shed shrank the window.
	shrunkAt magno.Millis
	// learnedAt is when the first answer or shed came, zero before.
	learnedAt magno.Millis
}

// parts are this entry's parts of the service, as requests in flight.
type parts struct {
	// slots is the part of the request slots. The window doesn't fall below it. With all entries at
	// it the request slots are still full: noisy answers must not leave them idle.
	slots float64
	// tight and fair are the parts with a queue of tightPerSlot and queuePerSlot.
	tight, fair float64
	// rest is where the window grows to while it isn't used, most the largest one: what keeps all
	// upstreams busy if this entry alone uses them.
	rest, most float64
}

// limit returns the window for a request that is sent now.
func (w *window) limit(late bool) float64 {
	if late {
		return max(min(w.size, w.slots), w.size*lateShare)
	}
	return w.size
}

// hasRoom reports whether the window admits one more request now, if answers take as long as expected.
func (w *window) hasRoom(now magno.Millis, late bool, expected float64) bool {
	limit := w.limit(late)
	if float64(w.inFlight+1) <= limit {
		return true
	}
	return float64(w.inFlight) < limit && now >= w.spacedUntil(late, limit, expected)
}

// spacedUntil returns when the next request may be sent by spacing. A late one doesn't delay one that
// can be on time.
func (w *window) spacedUntil(late bool, limit, expected float64) magno.Millis {
	last := w.onTimeAt
	if late {
		last = w.sentAt
	}
	return last + magno.Millis(expected/limit)
}

// sent counts a request that is sent now.
func (w *window) sent(now magno.Millis, late bool) {
	if !late {
		w.onTimeAt = now
	}
	w.inFlight++
	w.wasLimiting = float64(w.inFlight+1) > w.size
	w.sentAt = now
}

// void takes back a request that was not sent.
func (w *window) void(sentAt magno.Millis) {
	if w.sentAt == sentAt {
		w.sentAt, w.onTimeAt = 0, 0
	}
}

// shed halves the window, once for all requests that were sent before it last did.
func (w *window) shed(sentAt, now magno.Millis) {
	w.noteLearned(now)
	if w.shrunkAt != 0 && sentAt <= w.shrunkAt {
		return
	}
	w.shrunkAt = now
	w.size = max(w.size*shedShrink, w.slots)
}

// learn changes the window by an answer that took so much longer than base. Slow answers alone don't
// shrink it below this entry's part, since an upstream may be slow without a queue. Pressed is true
// while requests wait that can't be on time.
func (w *window) learn(over, base float64, now magno.Millis, pressed bool) {
	w.noteLearned(now)
	tolerated, least := tolerance*base, w.fair
	if pressed {
		tolerated, least = tightTolerance*base, w.tight
	}
	excess := max(min(over/tolerated, maxExcess), 0)
	w.excess += excessGain * (excess - w.excess)
	grown := w.size + growStep*max(w.size, 1)*(1-w.excess)
	switch {
	case excess >= 1:
		w.size = max(w.size*(1-shrinkStep*(excess-1)), min(w.size, least))
	case w.excess >= 1:
	case w.wasLimiting:
		w.size = grown
	case w.size < w.rest:
		w.size = min(grown, w.rest)
	}
	w.size = min(max(w.size, w.slots), w.most)
}

// setParts sets this entry's parts: by demand if the peers' is known, else equal ones.
func (q *Queue) setParts() {
	slots, n := 0, 0
	for _, u := range q.upstreams {
		if !u.Leaving {
			slots += u.Slots
			n++
		}
	}
	part := 0.0
	switch {
	case q.share > 0:
		part = min(q.share, 1)
	case q.entries > 1:
		part = 1 / float64(q.entries)
	}
	w := &q.window
	before := w.most
	rest := restPerUpstream * float64(n)
	w.parts = parts{slots: minWindow, tight: rest, fair: rest, rest: rest, most: float64(slots) * (1 + queuePerSlot)}
	if part > 0 {
		own := part * float64(slots)
		w.slots, w.tight, w.fair = max(own, minWindow), max(own*(1+tightPerSlot), minWindow), max(own*(1+queuePerSlot), minWindow)
		w.rest = max(rest, w.fair)
	}
	switch {
	case w.learnedAt == 0:
		w.size, w.reported = w.fair, w.fair
	case before > 0 && w.most < before:
		w.size *= w.most / before // upstreams were lost
	}
	w.size = max(w.size, w.slots)
}

// expectedTime returns the answer time to expect now: that of the usable upstreams, the faster
// the likelier.
func (q *Queue) expectedTime(now magno.Millis) float64 {
	sum, weights := 0.0, 0.0
	for _, u := range q.upstreams {
		if at, ok := u.usableAt(); !ok || at > now || u.base == 0 {
			continue
		}
		t := u.expected(now)
		sum += 1 / t
		weights += 1 / (t * t)
	}
	if weights == 0 {
		return max(q.usual.get(), minUsual)
	}
	return max(sum/weights, minUsual)
}

// noteLearned notes that the window is learned.
func (w *window) noteLearned(now magno.Millis) {
	if w.learnedAt == 0 {
		w.learnedAt = now
	}
}

// reachable returns the window to expect within a few answers.
func (w *window) reachable(now magno.Millis) float64 {
	switch {
	case w.learnedAt == 0 || now-w.learnedAt < learnTime:
		return math.Inf(1)
	case w.excess < 1:
		return max(w.size, w.rest)
	}
	return w.size
}
