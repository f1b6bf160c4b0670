package turns

import (
	"context"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"magnoliastall.example/magno"
	"magnoliastall.example/magno/turn"
)

// idleInterval is how long the coordinator sleeps while no request is pending.
const idleInterval = magno.Second

// coordinator runs a turn.Coordinator on one goroutine and serves calls that wait for a turn.
type coordinator struct {
	turns *Turns
	steps chan func()
	// waiters maps an agent to the call that waits for its turn. Only the goroutine of run
	// accesses it.
	waiters map[string]chan turn.Turn
	leases  *turn.Coordinator
}

func newCoordinator(t *Turns) *coordinator {
	return &coordinator{turns: t, steps: make(chan func(), stepQueueSize), waiters: map[string]chan turn.Turn{}}
}

// run grants turns until ctx is done.
func (c *coordinator) run(ctx context.Context) {
	for {
		timer := time.NewTimer(c.sleepTime().Duration())
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case step := <-c.steps:
			step()
		case <-timer.C:
		}
		timer.Stop()
		c.grant()
	}
}

// sleepTime returns the time until grant has to be called again.
func (c *coordinator) sleepTime() magno.Millis {
	if c.leases == nil || c.leases.Pending() == 0 {
		return idleInterval
	}
	return max(c.leases.NextWake()-c.turns.Clock.Now(), 1)
}

// grant grants the turns that can start now.
func (c *coordinator) grant() {
	if c.leases == nil {
		return
	}
	c.leases.Rate, c.leases.MaxLoads = c.turns.LoadLimits()
	for _, t := range c.leases.Grant() {
		waiter := c.waiters[t.Agent]
		if waiter == nil {
			c.leases.Release(t.ID)
			continue
		}
		delete(c.waiters, t.Agent)
		metrics.GetOrCreateCounter(`magno_turns_total{from="keeper"}`).Inc()
		waiter <- t
	}
}

// wait submits a request and waits for its turn, at most requestWait. It cancels the request when
// the call has ended, so that no turn is granted without a waiter.
func (c *coordinator) wait(ctx context.Context, r turnRequest) turn.Turn {
	got := make(chan turn.Turn, 1)
	if !c.post(ctx, func() { c.submit(r, got) }) {
		return turn.Turn{}
	}
	timer := time.NewTimer(requestWait.Duration())
	defer timer.Stop()
	select {
	case t := <-got:
		return t
	case <-timer.C:
	case <-ctx.Done():
	}
	c.cancel(r.Agent, got)
	select {
	case t := <-got:
		c.release(t.ID)
	default:
	}
	return turn.Turn{}
}

func (c *coordinator) submit(r turnRequest, got chan turn.Turn) {
	if c.leases == nil {
		rate, maxLoads := c.turns.LoadLimits()
		c.leases = &turn.Coordinator{Clock: c.turns.Clock, Rate: rate, MaxLoads: maxLoads, LoadTime: c.turns.LoadTime()}
	}
	c.waiters[r.Agent] = got
	c.leases.Submit(turn.Request{Agent: r.Agent, Ref: r.Ref, DelayCost: r.DelayCost})
}

// cancel removes a request and returns once it is removed.
func (c *coordinator) cancel(agent string, got chan turn.Turn) {
	done := make(chan struct{})
	ok := c.post(context.Background(), func() {
		defer close(done)
		if c.waiters[agent] == got {
			delete(c.waiters, agent)
			c.leases.Cancel(agent)
		}
	})
	if ok {
		select {
		case <-done:
		case <-time.After(requestWait.Duration()):
		}
	}
}

// release ends a turn.
func (c *coordinator) release(id uint64) {
	c.post(context.Background(), func() {
		if c.leases != nil {
			c.leases.Release(id)
		}
	})
}

// post queues a step for the coordinator's goroutine. It returns false if the queue is full, which
// means that the goroutine has ended or is overloaded. The deadline of a turn then replaces its
// release.
func (c *coordinator) post(ctx context.Context, step func()) bool {
	select {
	case c.steps <- step:
		return true
	case <-ctx.Done():
		return false
	default:
		return false
	}
}
