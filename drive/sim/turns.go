package sim

import (
	"magnoliastall.example/drive/load"
	"magnoliastall.example/magno"
	"magnoliastall.example/magno/turn"
)

// requestInterval is how often an upstream repeats its request for a load turn.
const requestInterval = 100 * magno.Millis(1)

// checkInterval is how often an upstream without a turn asks its scheduler for the load it
// wants.
const checkInterval = 20 * magno.Millis(1)

// turns divides the load rate of the weight store among the upstreams whose schedulers
// take turns, as the agents do. Messages take one hop.
type turns struct {
	sim         *Sim
	coordinator *turn.Coordinator
	// wakeAt is when the coordinator is next asked for grants, zero when not scheduled.
	wakeAt magno.Millis
}

// turnClient is the turn state of one upstream.
type turnClient struct {
	turner magno.TurnTaker
	// requested is the adapter of the last turn request, sent at requestedAt.
	requested   magno.Ref
	requestedAt magno.Millis
	// checkedAt is when the scheduler was last asked for the load it wants.
	checkedAt magno.Millis
	// held is true while a turn is held.
	held    bool
	turn    turn.Turn
	expires magno.Millis
	// inProgress counts loads and evictions in progress.
	inProgress int
}

func newTurns(s *Sim) *turns {
	d := &s.Workload.Deployment
	return &turns{sim: s, coordinator: &turn.Coordinator{Clock: s.clock, Rate: d.LoadRate, MaxLoads: d.ParallelLoads, LoadTime: d.Limits.Load}}
}

// grantTurns sends the turns that begin now to their upstreams and schedules the next
// check.
func (t *turns) grantTurns() {
	for _, granted := range t.coordinator.Grant() {
		up := t.sim.upstreamsByName[granted.Agent]
		t.sim.after(t.sim.Workload.Deployment.HopDelay, func() { up.acceptTurn(granted) })
	}
	when := t.coordinator.NextWake()
	if t.wakeAt > t.sim.clock.Now() && t.wakeAt <= when {
		return
	}
	t.wakeAt = when
	t.sim.at(when, func() {
		if t.wakeAt == t.sim.clock.Now() {
			t.wakeAt = 0
			if t.coordinator.Pending() > 0 {
				t.grantTurns()
			}
		}
	})
}

// requestTurn requests a turn for the load that the scheduler wants, or cancels the
// request when no load is wanted any more.
func (u *upstream) requestTurn() {
	c := &u.turnClient
	if c.turner == nil || u.pool != load.PoolReading {
		return
	}
	now := u.sim.clock.Now()
	if c.held && now >= c.expires {
		c.held = false
	}
	if !c.held && now < c.checkedAt+checkInterval {
		return
	}
	c.checkedAt = now
	ref, delayCost, ok := c.turner.Want()
	switch {
	case c.held && !ok && c.inProgress == 0:
		u.releaseTurn()
	case c.held || c.inProgress > 0:
	case !ok && c.requestedAt != 0:
		c.requestedAt = 0
		u.sendCoordinator(func(k *turn.Coordinator) { k.Cancel(u.name) })
	case ok && (c.requestedAt == 0 || ref != c.requested || now >= c.requestedAt+requestInterval):
		c.requested, c.requestedAt = ref, now
		u.sendCoordinator(func(k *turn.Coordinator) { k.Submit(turn.Request{Agent: u.name, Ref: ref, DelayCost: delayCost}) })
	}
}

// sendCoordinator delivers a message to the coordinator.
func (u *upstream) sendCoordinator(do func(k *turn.Coordinator)) {
	t := u.sim.turns
	u.sim.after(u.sim.Workload.Deployment.HopDelay, func() {
		do(t.coordinator)
		t.grantTurns()
	})
}

// acceptTurn receives a turn.
func (u *upstream) acceptTurn(t turn.Turn) {
	c := &u.turnClient
	c.held, c.turn, c.expires = true, t, u.sim.clock.Now()+t.Left
	c.requestedAt = 0
	c.turner.Turn(c.expires)
	u.runOrders()
}

func (u *upstream) releaseTurn() {
	c := &u.turnClient
	if !c.held {
		return
	}
	c.held = false
	c.turner.Turn(0)
	id := c.turn.ID
	u.sendCoordinator(func(k *turn.Coordinator) { k.Release(id) })
}
