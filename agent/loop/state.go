package loop

import (
	"fmt"

	"magnoliastall.example/magno"
)

// Reset tells that the upstream started: what it states of itself and what it
// holds.
func (l *Loop) Reset(probe magno.Probe) {
	l.post(func() {
		ran := l.Scheduler.Reset()
		if tuner, ok := l.Scheduler.(magno.Tuner); ok {
			tuner.SetLimits(probe.Limits)
			tuner.Adopt(probe.Loaded)
		}
		l.Events.Add("reset", "", fmt.Sprintf("boot=%d ran=%d held=%d", probe.Boot, len(ran), len(probe.Loaded)))
	})
}

// Reconcile compares what the upstream says it holds with what the scheduler
// believes. Where an order's end was lost, or somebody else gave one, starts
// on an adapter that has gone would be refused for ever, and a slot that is
// taken would be loaded into in vain. A report lags, so it counts only when
// no order ended lately.
func (l *Loop) Reconcile(probe magno.Probe) {
	l.postUpdate(func() {
		if l.ordersInFlight > 0 || l.Clock.Now() < l.lastOrderAt+reportLag || l.holdsExactly(probe.Loaded) {
			return
		}
		if tuner, ok := l.Scheduler.(magno.Tuner); ok {
			l.Events.Add("adopt", "", fmt.Sprintf("held=%d", len(probe.Loaded)))
			tuner.Adopt(probe.Loaded)
			l.needsDecision = true
		}
	})
}

// holdsExactly tells whether the scheduler holds just the adapters given.
func (l *Loop) holdsExactly(held []magno.Ref) bool {
	known := l.Scheduler.Holds()
	for _, ref := range held {
		if _, ok := known[ref]; !ok {
			return false
		}
	}
	return len(known) == len(held)
}

// SetWeights tells the customers' shares.
func (l *Loop) SetWeights(weights map[string]float64) {
	l.post(func() {
		if tuner, ok := l.Scheduler.(magno.Tuner); ok {
			tuner.SetWeights(weights)
		}
	})
}

// Backlog returns the scheduler's latest state.
func (l *Loop) Backlog() magno.Backlog {
	if b := l.backlog.Load(); b != nil {
		return *b
	}
	return magno.Backlog{}
}

// Holds returns the adapters in slots and whether each is pinned. It is made
// when asked for: listing them at each decision would cost every request for
// what only operators read.
func (l *Loop) Holds() map[magno.Ref]bool {
	got := make(chan map[magno.Ref]bool, 1)
	l.postUpdate(func() { got <- l.Scheduler.Holds() })
	select {
	case holds := <-got:
		return holds
	case <-l.ended:
		return nil
	}
}
