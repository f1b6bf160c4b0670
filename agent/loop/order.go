package loop

import (
	"context"
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"magnoliastall.example/magno"
)

// order sends a load or an unload and posts its end. It has a timeout because an upstream that
// never answers would occupy the slot forever.
func (l *Loop) order(ctx context.Context, order magno.Order) {
	l.ordersInFlight++
	if order.Kind == magno.OrderLoad {
		l.loadsInFlight++
	}
	ctx, cancel := context.WithTimeout(ctx, l.orderTimeout)
	go func() {
		defer cancel()
		begin := l.Clock.Now()
		err := l.callUpstream(ctx, order)
		took := l.Clock.Now() - begin
		l.steps <- func() { l.orderEnded(order, took, err); l.needsDecision = true } // Run waits for it
	}()
}

func (l *Loop) callUpstream(ctx context.Context, order magno.Order) error {
	if order.Kind == magno.OrderUnload {
		return l.Upstream.Unload(ctx, order.Ref, l.Fence)
	}
	return l.Upstream.Load(ctx, order.Ref, l.Fence)
}

func (l *Loop) orderEnded(order magno.Order, took magno.Millis, err error) {
	l.ordersInFlight--
	l.lastOrderAt = l.Clock.Now()
	text := fmt.Sprintf("ref=%s took=%d ok=%t", order.Ref, took, err == nil)
	l.Events.Add(string(order.Kind), "", text)
	metrics.GetOrCreateCounter(fmt.Sprintf(`magno_orders_total{order=%q,ok="%t"}`, order.Kind, err == nil)).Inc()
	if err != nil {
		l.Log.Warn("order", "kind", order.Kind, "ref", order.Ref.String(), "error", err)
	}
	if order.Kind == magno.OrderLoad {
		l.loadsInFlight--
		l.endTurn()
		l.Scheduler.Loaded(order.Ref, err == nil)
		if err == nil {
			l.markLoaded(order.Ref)
		}
		return
	}
	// An unload that failed has no effect on the slot. Reconcile later informs the scheduler of
	// what is really loaded.
	l.Scheduler.Unloaded(order.Ref)
}
