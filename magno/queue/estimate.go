package queue

import (
	"math"
	"slices"

	"magnoliastall.example/magno"
)

const (
	// usualQuantile is the quantile of the answer times that Stats.Usual follows: with a shorter time
	// many requests that are sent at their start-by time would be late.
	usualQuantile = 0.9
	// usualGain is the part by which an answer moves the usual time.
	usualGain = 0.05
	// leastGain is the weight of a new answer in the time below which few answers come.
	leastGain = 0.05
	// demandWindow is the time over which the demand is averaged.
	demandWindow = 2 * magno.Second
	// rateMargin is how much faster than by its windows the service may serve this entry before
	// a request is refused: windows grow, and other entries' demand may fall.
	rateMargin = 1.25
)

// usualTime follows a quantile and the lower mean of the answer times.
type usualTime struct {
	quantile, low float64
}

func (u *usualTime) add(took float64) {
	took = max(took, minUsual)
	if u.quantile == 0 {
		u.quantile, u.low = took, took
		return
	}
	if took > u.quantile {
		u.quantile *= 1 + usualGain*usualQuantile
	} else {
		u.quantile *= 1 - usualGain*(1-usualQuantile)
	}
	u.quantile = max(u.quantile, minUsual)
	gain := leastGain
	if took < u.low {
		gain = baseFall
	}
	u.low += gain * (min(took, 2*u.low) - u.low)
}

func (u *usualTime) get() float64 { return u.quantile }

// least returns the time that must be left for an answer to be possible.
func (u *usualTime) least() float64 { return u.low }

// rate is a rate of events, averaged over demandWindow.
type rate struct {
	level float64
	at    magno.Millis
}

func (r *rate) add(now magno.Millis) {
	r.level = r.get(now) + 1/(float64(demandWindow)/float64(magno.Second))
	r.at = now
}

func (r *rate) get(now magno.Millis) float64 {
	return r.level * math.Exp(-float64(now-r.at)/float64(demandWindow))
}

// capacity returns the requests per millisecond that the windows admit, and from when on.
func (q *Queue) capacity(now magno.Millis) (perMilli float64, from magno.Millis, ok bool) {
	for _, u := range q.upstreams {
		at, usable := u.usableAt()
		if usable && (!ok || at < from) {
			from, ok = at, true
		}
	}
	perMilli = q.window.reachable(now) / q.expectedTime(now)
	return perMilli * rateMargin, max(from, now), ok
}

// refusalAt returns the refusal of a request with ahead others before it, nil if it can be answered
// before its deadline.
func (q *Queue) refusalAt(e *entry, ahead int, now magno.Millis) *magno.Refusal {
	perMilli, from, ok := q.capacity(now)
	if !ok {
		return magno.Refuse(magno.KindNoUpstream, "no upstream accepts requests").WithRetryAfter(maxRetryAfter / 4)
	}
	over := q.startAfter(ahead, perMilli, from, now) + magno.Millis(q.usual.least()) - (e.Deadline - now)
	if over <= 0 {
		return nil
	}
	return magno.Refuse(magno.KindBusy, "it can't be answered before its deadline").WithRetryAfter(min(max(over, minRetryAfter), maxRetryAfter))
}

// startAfter returns the expected time until a request with ahead others before it is sent.
func (q *Queue) startAfter(ahead int, perMilli float64, from, now magno.Millis) magno.Millis {
	return from - now + magno.Millis(float64(ahead)/perMilli)
}

// countBefore returns how many waiting requests start before e.
func (q *Queue) countBefore(e *entry) int {
	n := 0
	for _, other := range q.waiting {
		if compare(other, e) <= 0 {
			n++
		}
	}
	return n
}

// review removes the requests that can't be answered before their deadline.
func (q *Queue) review(now magno.Millis) []Rejection {
	perMilli, from, ok := q.capacity(now)
	order := slices.Clone(q.waiting)
	slices.SortStableFunc(order, compare)
	var list []Rejection
	ahead := 0
	for _, e := range order {
		least := magno.Millis(q.usual.least())
		if ok && q.startAfter(ahead, perMilli, from, now)+least <= e.Deadline-now {
			ahead++
			continue
		}
		list = append(list, Rejection{ID: e.ID, Refusal: q.refusalAt(e, ahead, now)})
		q.Cancel(e.ID)
	}
	return list
}

// wakeAt returns when something can change without an event.
func (q *Queue) wakeAt(now magno.Millis) magno.Millis {
	if len(q.waiting) == 0 {
		return 0
	}
	wake := now + reviewInterval
	if at := q.window.spacedUntil(false, q.window.size, q.expectedTime(now)); at > now {
		wake = min(wake, at)
	}
	return wake
}
