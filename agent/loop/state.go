package loop

import (
	"fmt"

	"magnoliastall.example/magno"
)

// Reset handles a start of the upstream. The probe has its limits and the adapters that it holds.
func (l *Loop) Reset(probe magno.Probe) {
	l.post(func() {
		ran := l.Scheduler.Reset(l.endOf(l.boot.Swap(probe.Boot)))
		l.settlePresumed(probe.Boot)
		if configurable, ok := l.Scheduler.(magno.Configurable); ok {
			configurable.SetLimits(probe.Limits)
			configurable.Adopt(probe.Loaded)
		}
		l.Events.Add("reset", "", fmt.Sprintf("boot=%d ran=%d held=%d", probe.Boot, len(ran), len(probe.Loaded)))
	})
}

// Reconcile corrects the scheduler's view if the adapters that the upstream reports differ from
// it. They differ if the result of an order was lost or if another process gave one. Without the
// correction, starts on an adapter that is gone would always be refused, and loads into an
// occupied slot would always fail. Reports lag, so they are ignored until reportLag after the
// latest order.
func (l *Loop) Reconcile(probe magno.Probe) {
	l.postUpdate(func() {
		l.settlePresumed(probe.Boot)
		if l.ordersInFlight > 0 || l.Clock.Now() < l.lastOrderAt+reportLag || l.holdsExactly(probe.Loaded) {
			return
		}
		if configurable, ok := l.Scheduler.(magno.Configurable); ok {
			l.Events.Add("adopt", "", fmt.Sprintf("held=%d", len(probe.Loaded)))
			configurable.Adopt(probe.Loaded)
			l.needsDecision = true
		}
	})
}

// TakeNotice takes what the upstream stated in an answer to a request sent at the given time.
func (l *Loop) TakeNotice(n magno.Notice, sentAt magno.Millis) {
	taker, ok := l.Scheduler.(magno.NoticeTaker)
	if !ok {
		return
	}
	l.post(func() { taker.TakeNotice(n, sentAt) })
}

// holdsExactly reports whether the adapters that the scheduler considers loaded are those in held.
func (l *Loop) holdsExactly(held []magno.Ref) bool {
	known := l.Scheduler.Holds()
	for _, ref := range held {
		if _, ok := known[ref]; !ok {
			return false
		}
	}
	return len(known) == len(held)
}

// SetWeights sets the customers' weights.
func (l *Loop) SetWeights(weights map[string]float64) {
	l.post(func() {
		if configurable, ok := l.Scheduler.(magno.Configurable); ok {
			configurable.SetWeights(weights)
		}
	})
}

// Backlog returns the scheduler's latest backlog. That may be long ago, for it changes with steps
// only, while a rest goes by without any.
func (l *Loop) Backlog() magno.Backlog {
	if b := l.backlog.Load(); b != nil {
		return b.Aged(l.Clock.Now() - b.at)
	}
	return magno.Backlog{}
}

// Holds returns the adapters in slots and whether each is pinned. The map is created on demand:
// only operators read it, and creating it at each decision would slow down every request.
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
