package sim

import (
	"magnoliastall.example/drive/load"
	"magnoliastall.example/magno"
	"magnoliastall.example/magno/turn"
)

// askAgain is how often an upstream repeats its ask for a load turn.
const askAgain = 100 * magno.Millis(1)

// lookAgain is how often an upstream without a turn looks what it wants.
const lookAgain = 20 * magno.Millis(1)

// turns shares the weight store's allowance out among upstreams whose
// scheduler takes turns, as the agents do; messages take a hop.
type turns struct {
	sim    *Sim
	keeper *turn.Coordinator
	// wakeAt is when the keeper is next asked to give, zero when not planned.
	wakeAt magno.Millis
}

// holder is an upstream's side of turns.
type holder struct {
	turner magno.Turner
	// asked is the adapter of the last ask and askedAt its time.
	asked   magno.Ref
	askedAt magno.Millis
	// looked is when the scheduler was last asked what it wants.
	looked magno.Millis
	// has is true while a turn is held.
	has   bool
	turn  turn.Turn
	until magno.Millis
	// busy counts loads and evictions under way.
	busy int
}

func newTurns(s *Sim) *turns {
	d := &s.Workload.Deployment
	return &turns{sim: s, keeper: &turn.Coordinator{Clock: s.clock, Rate: d.LoadRate, MaxLoads: d.ParallelLoads, LoadTime: d.Limits.Load}}
}

// give sends out the turns that begin now and plans the next look.
func (t *turns) give() {
	for _, given := range t.keeper.Grant() {
		up := t.sim.ups[given.Agent]
		t.sim.after(t.sim.Workload.Deployment.HopDelay, func() { up.taken(given) })
	}
	when := t.keeper.NextWake()
	if t.wakeAt > t.sim.clock.Now() && t.wakeAt <= when {
		return
	}
	t.wakeAt = when
	t.sim.at(when, func() {
		if t.wakeAt == t.sim.clock.Now() {
			t.wakeAt = 0
			if t.keeper.Pending() > 0 {
				t.give()
			}
		}
	})
}

// ask tells the keeper what is wanted here, or that nothing is any more.
func (u *upstream) ask() {
	h := &u.holder
	if h.turner == nil || u.pool != load.PoolReading {
		return
	}
	now := u.sim.clock.Now()
	if h.has && now >= h.until {
		h.has = false
	}
	if !h.has && now < h.looked+lookAgain {
		return
	}
	h.looked = now
	ref, harm, ok := h.turner.Want()
	switch {
	case h.has && !ok && h.busy == 0:
		u.giveBack()
	case h.has || h.busy > 0:
	case !ok && h.askedAt != 0:
		h.askedAt = 0
		u.tell(func(k *turn.Coordinator) { k.Cancel(u.name) })
	case ok && (h.askedAt == 0 || ref != h.asked || now >= h.askedAt+askAgain):
		h.asked, h.askedAt = ref, now
		u.tell(func(k *turn.Coordinator) { k.Submit(turn.Request{Agent: u.name, Ref: ref, DelayCost: harm}) })
	}
}

// tell brings a message to the keeper.
func (u *upstream) tell(do func(k *turn.Coordinator)) {
	t := u.sim.turns
	u.sim.after(u.sim.Workload.Deployment.HopDelay, func() {
		do(t.keeper)
		t.give()
	})
}

// taken takes a turn.
func (u *upstream) taken(t turn.Turn) {
	h := &u.holder
	h.has, h.turn, h.until = true, t, u.sim.clock.Now()+t.Left
	h.askedAt = 0
	h.turner.Turn(h.until)
	u.pump()
}

func (u *upstream) giveBack() {
	h := &u.holder
	if !h.has {
		return
	}
	h.has = false
	h.turner.Turn(0)
	id := h.turn.ID
	u.tell(func(k *turn.Coordinator) { k.Release(id) })
}
