package gate

import (
	"cmp"
	"slices"

	"magnoliastall.example/magno"
)

// promoteShare is the share of the time by which requests can be delayed that late ones may
// take. The rest is left for requests that arrive meanwhile and would be on time.
const promoteShare = 0.5

// sortQueue orders the queue: by start times, or with OrderByEstimate as follows. First come the
// requests whose first event can be on time, by rank and then by the time at which they should start.
// The late ones follow in the same order: a saturated engine thereby spends its time on the answers
// that are worth most.
//
// Late are the requests whose first event would be late even if they were the next ones to
// start, and those that would be late behind the ones before them in the queue. The latter would
// only delay those behind them.
//
// Where customers share the engine, the order is by start times and then by shares. With estimates,
// fewer requests of customers within their share are on time.
func (g *Gate) sortQueue(f *forecast, now magno.Millis) {
	s := g.newSchedule(now)
	for _, w := range g.queue {
		w.tokens, w.eta, w.cost = g.prefillTokens(&w.Request), f.eta[w.qualifiedName()], s.cost(w)
	}
	if !g.OrderByEstimate || g.evaluateOnce || g.namesCustomer(nil) {
		g.sortByStartTime(now)
		return
	}
	for _, w := range g.queue {
		w.promoted = false
		w.late = s.firstEvent(w, s.earliestStart(w)) > w.startBy
	}
	slices.SortStableFunc(g.queue, compareQueued)
	late := slices.IndexFunc(g.queue, func(w *queuedRequest) bool { return w.late })
	if late < 0 {
		late = len(g.queue)
	}
	slack := s.markLate(g.queue[:late])
	slices.SortStableFunc(g.queue, compareQueued)
	g.promoteLate(&s, slack)
}

func compareQueued(a, b *queuedRequest) int {
	return cmp.Or(
		compareBool(a.late && !a.promoted, b.late && !b.promoted), a.Rank-b.Rank, compareBool(b.promoted, a.promoted), cmp.Compare(a.startBy, b.startBy),
	)
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}

// sortByStartTime orders the queue without estimates: first the requests that may still start in time,
// by rank and then by start time, then the late ones in the same order.
func (g *Gate) sortByStartTime(now magno.Millis) {
	for _, w := range g.queue {
		w.late, w.promoted = now > w.startBy, false
	}
	slices.SortStableFunc(g.queue, compareQueued)
}

// markLate marks those of the given requests as late that are not on time behind the others. The
// list must be in queue order. It returns by how much all others could be delayed.
func (s *schedule) markLate(list []*queuedRequest) (slack magno.Millis) {
	var ahead position
	slack = magno.Hour
	for _, w := range list {
		left := w.startBy - s.firstEvent(w, s.prefillBehind(w, ahead))
		if left < 0 {
			w.late = true
			continue
		}
		slack = min(slack, left)
		ahead.add(w)
	}
	return slack
}

// promoteLate moves late requests that would give up behind the others to the front of those of
// their rank, as far as the others stay on time and promoteShare allows. Without it, a late request
// could wait in vain at an engine that has capacity for it.
func (g *Gate) promoteLate(s *schedule, slack magno.Millis) {
	slack = magno.Millis(promoteShare * float64(slack))
	var ahead position
	for _, w := range g.queue {
		if w.late && w.eta == 0 && w.cost <= slack && s.startBehind(w, ahead) >= w.giveUpAt {
			slack -= w.cost
			w.promoted = true
			continue
		}
		ahead.add(w)
	}
	slices.SortStableFunc(g.queue, compareQueued)
}
