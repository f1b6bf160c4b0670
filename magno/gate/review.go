package gate

import (
	"slices"

	"magnoliastall.example/magno"
)

const (
	// initialRoundTrip is assumed between an entry and an agent until the entry has measured it:
	// a few milliseconds within a data centre, tens between two.
	initialRoundTrip = 20 * magno.Millis(1)
	// handBackTrips is the number of round trips that a request loses when it is handed back:
	// one here, and one to the engine that it goes to instead.
	handBackTrips = 2
	// refusalMargin is the factor by which the expected wait must exceed the time until a queued
	// request gives up for it to be refused. It is estimated again at each decision, and without a
	// margin the highest of many estimates would decide.
	refusalMargin = 1.25
)

// review estimates for each queued request, in queue order, when it starts. It hands back those
// that would be late here and on time at another engine, and refuses those that can't start
// before they give up. Both leave at once, so that those behind them are estimated without
// them.
//
// Load pattern: more urgent requests arrive after a request was queued, or the engine turns
// slow. A request that is evaluated at its arrival only waits until it gives up, while other
// engines are idle.
func (g *Gate) review(d *Decisions, now magno.Millis) {
	if g.evaluateOnce || g.spec.Replica == "" {
		return
	}
	s := g.newSchedule(now)
	var ahead position
	g.queue = slices.DeleteFunc(g.queue, func(w *queuedRequest) bool {
		start, prefill := s.startBehind(w, ahead), s.prefillBehind(w, ahead)
		switch {
		case g.shouldHandBack(w, &s, prefill):
			w.accountWait(now)
			d.Declines = append(d.Declines, Decline{ID: w.ID, Expected: prefill - now, StartIn: w.startBy - now, Waits: w.waits})
			return true
		case magno.Millis(float64(start-now)/refusalMargin) > w.giveUpAt-now:
			w.accountWait(now)
			refusal := magno.Refuse(magno.KindBusy, "it would wait for %d ms more, and waited for %d", start-now, now-w.queuedAt).WithRetryAfter(boundRetryAfter(start - now))
			d.Rejections = append(d.Rejections, Rejection{ID: w.ID, Refusal: refusal, Waits: w.waits, Early: true})
			return true
		}
		ahead.add(w)
		return false
	})
}

// shouldHandBack reports whether a request was expected to be on time here, will be late, and
// would be on time at another engine, by what its entry knew of it. An adapter that is being
// loaded here would have to be loaded elsewhere as well.
func (g *Gate) shouldHandBack(w *queuedRequest, s *schedule, prefill magno.Millis) bool {
	if !w.expectedOnTime || w.DeclineAbove == 0 || g.inventory.changing(w.qualifiedName()) || s.firstEvent(w, prefill) <= w.startBy {
		return false
	}
	trip := w.RoundTrip
	if trip == 0 {
		trip = initialRoundTrip
	}
	elsewhere := s.now + handBackTrips*trip + w.DeclineAbove
	return elsewhere < prefill && s.firstEvent(w, elsewhere) <= w.startBy
}

// boundRetryAfter bounds the retry-after time of a refusal.
func boundRetryAfter(wait magno.Millis) magno.Millis {
	return min(max(wait, minRetryAfter), maxRetryAfter)
}
