package turns

import (
	"context"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"magnoliastall.example/magno"
	"magnoliastall.example/magno/turn"
)

// idleInterval is how long the keeper sleeps when nobody asks, in milliseconds.
const idleInterval = magno.Second

// coordinator runs a turn.Coordinator on one goroutine, for calls that wait.
type coordinator struct {
	turns *Turns
	steps chan func()
	// waiters maps an agent to the call that waits for its turn. Only the
	// goroutine of run touches it.
	waiters map[string]chan turn.Turn
	leases  *turn.Coordinator
}

func newCoordinator(t *Turns) *coordinator {
	return &coordinator{turns: t, steps: make(chan func(), stepQueueSize), waiters: map[string]chan turn.Turn{}}
}

// run decides until ctx ends.
func (k *coordinator) run(ctx context.Context) {
	for {
		timer := time.NewTimer(k.sleepTime().Span())
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case step := <-k.steps:
			step()
		case <-timer.C:
		}
		timer.Stop()
		k.grant()
	}
}

// sleepTime is how long nothing need be decided.
func (k *coordinator) sleepTime() magno.Millis {
	if k.leases == nil || k.leases.Pending() == 0 {
		return idleInterval
	}
	return max(k.leases.NextWake()-k.turns.Clock.Now(), 1)
}

// grant hands out the turns that begin now.
func (k *coordinator) grant() {
	if k.leases == nil {
		return
	}
	k.leases.Rate, k.leases.MaxLoads = k.turns.LoadLimits()
	for _, t := range k.leases.Grant() {
		waiter := k.waiters[t.Agent]
		if waiter == nil {
			k.leases.Release(t.ID)
			continue
		}
		delete(k.waiters, t.Agent)
		metrics.GetOrCreateCounter(`magno_turns_total{from="keeper"}`).Inc()
		waiter <- t
	}
}

// wait asks for a turn and waits for it, askWait at most. An ask whose call
// has gone is dropped, so that no turn is given to nobody.
func (k *coordinator) wait(ctx context.Context, a turnRequest) turn.Turn {
	got := make(chan turn.Turn, 1)
	if !k.post(ctx, func() { k.submit(a, got) }) {
		return turn.Turn{}
	}
	timer := time.NewTimer(requestWait.Span())
	defer timer.Stop()
	select {
	case t := <-got:
		return t
	case <-timer.C:
	case <-ctx.Done():
	}
	k.cancel(a.Agent, got)
	select {
	case t := <-got:
		k.release(t.ID)
	default:
	}
	return turn.Turn{}
}

func (k *coordinator) submit(a turnRequest, got chan turn.Turn) {
	if k.leases == nil {
		rate, width := k.turns.LoadLimits()
		k.leases = &turn.Coordinator{Clock: k.turns.Clock, Rate: rate, MaxLoads: width, LoadTime: k.turns.LoadTime()}
	}
	k.waiters[a.Agent] = got
	k.leases.Submit(turn.Request{Agent: a.Agent, Ref: a.Ref, DelayCost: a.DelayCost})
}

// cancel forgets an ask and returns once it is forgotten.
func (k *coordinator) cancel(agent string, got chan turn.Turn) {
	done := make(chan struct{})
	ok := k.post(context.Background(), func() {
		defer close(done)
		if k.waiters[agent] == got {
			delete(k.waiters, agent)
			k.leases.Cancel(agent)
		}
	})
	if ok {
		select {
		case <-done:
		case <-time.After(requestWait.Span()):
		}
	}
}

// release ends a turn.
func (k *coordinator) release(id uint64) {
	k.post(context.Background(), func() {
		if k.leases != nil {
			k.leases.Release(id)
		}
	})
}

// post hands a step to the keeper's goroutine. A full ring means that it has
// ended or is far behind; the turn's deadline then does what the step would.
func (k *coordinator) post(ctx context.Context, step func()) bool {
	select {
	case k.steps <- step:
		return true
	case <-ctx.Done():
		return false
	default:
		return false
	}
}
