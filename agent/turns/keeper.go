package turns

import (
	"context"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"magnoliastall.example/magno"
	"magnoliastall.example/magno/turn"
)

// idle is how long the keeper sleeps when nobody asks, in milliseconds.
const idle = magno.Second

// keeper runs a turn.Coordinator on one goroutine, for calls that wait.
type keeper struct {
	turns *Turns
	ring  chan func()
	// asking maps an agent to the call that waits for its turn. Only the
	// goroutine of run touches it.
	asking map[string]chan turn.Turn
	kept   *turn.Coordinator
}

func newKeeper(t *Turns) *keeper {
	return &keeper{turns: t, ring: make(chan func(), ringSize), asking: map[string]chan turn.Turn{}}
}

// run decides until ctx ends.
func (k *keeper) run(ctx context.Context) {
	for {
		timer := time.NewTimer(k.sleep().Span())
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case step := <-k.ring:
			step()
		case <-timer.C:
		}
		timer.Stop()
		k.decide()
	}
}

// sleep is how long nothing need be decided.
func (k *keeper) sleep() magno.Millis {
	if k.kept == nil || k.kept.Pending() == 0 {
		return idle
	}
	return max(k.kept.NextWake()-k.turns.Clock.Now(), 1)
}

// decide hands out the turns that begin now.
func (k *keeper) decide() {
	if k.kept == nil {
		return
	}
	k.kept.Rate, k.kept.MaxLoads = k.turns.Terms()
	for _, t := range k.kept.Grant() {
		waiting := k.asking[t.Agent]
		if waiting == nil {
			k.kept.Release(t.ID)
			continue
		}
		delete(k.asking, t.Agent)
		metrics.GetOrCreateCounter(`magno_turns_total{from="keeper"}`).Inc()
		waiting <- t
	}
}

// wait asks for a turn and waits for it, askWait at most. An ask whose call
// has gone is dropped, so that no turn is given to nobody.
func (k *keeper) wait(ctx context.Context, a ask) turn.Turn {
	got := make(chan turn.Turn, 1)
	if !k.post(ctx, func() { k.take(a, got) }) {
		return turn.Turn{}
	}
	timer := time.NewTimer(askWait.Span())
	defer timer.Stop()
	select {
	case t := <-got:
		return t
	case <-timer.C:
	case <-ctx.Done():
	}
	k.drop(a.Agent, got)
	select {
	case t := <-got:
		k.end(t.ID)
	default:
	}
	return turn.Turn{}
}

func (k *keeper) take(a ask, got chan turn.Turn) {
	if k.kept == nil {
		rate, width := k.turns.Terms()
		k.kept = &turn.Coordinator{Clock: k.turns.Clock, Rate: rate, MaxLoads: width, LoadTime: k.turns.Load()}
	}
	k.asking[a.Agent] = got
	k.kept.Submit(turn.Request{Agent: a.Agent, Ref: a.Ref, DelayCost: a.Harm})
}

// drop forgets an ask and returns once it is forgotten.
func (k *keeper) drop(agent string, got chan turn.Turn) {
	done := make(chan struct{})
	ok := k.post(context.Background(), func() {
		defer close(done)
		if k.asking[agent] == got {
			delete(k.asking, agent)
			k.kept.Cancel(agent)
		}
	})
	if ok {
		select {
		case <-done:
		case <-time.After(askWait.Span()):
		}
	}
}

// end ends a turn.
func (k *keeper) end(id uint64) {
	k.post(context.Background(), func() {
		if k.kept != nil {
			k.kept.Release(id)
		}
	})
}

// post hands a step to the keeper's goroutine. A full ring means that it has
// ended or is far behind; the turn's deadline then does what the step would.
func (k *keeper) post(ctx context.Context, step func()) bool {
	select {
	case k.ring <- step:
		return true
	case <-ctx.Done():
		return false
	default:
		return false
	}
}
