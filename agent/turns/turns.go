// Package turns brings the shared turns to load adapters to an agent, and
// keeps them for the others while this agent is the pool's keeper.
//
//	loop: Want --> asker --MethodTurn, waits--> keeper of the pool
//	loop: Turn <-- asker <------ turn.Turn ------'
//	load ended --> asker --MethodTurnEnd------> keeper
//
// The keeper is the first agent of the pool in the order of its name's hash,
// as each agent sees the list. Two agents that see different lists may ask two
// keepers for a while; the weight store then refuses what is over its rate.
package turns

import (
	"context"
	"encoding/json"
	"log/slog"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"magnoliastall.example/agent/loop"
	"magnoliastall.example/magno"
	"magnoliastall.example/magno/fleet"
	"magnoliastall.example/magno/turn"
	"magnoliastall.example/magno/wire"
)

// Figures of the exchange, in milliseconds.
const (
	// retryPause is how long nothing is asked after a load was not wanted.
	retryPause magno.Millis = 20
	// requestWait is how long one call waits for its turn; then the ask is made
	// again with the harm of that time.
	requestWait = magno.Second
	// callMargin is the time beyond askWait after which the keeper counts as
	// unreachable.
	callMargin magno.Millis = 500
	// stepQueueSize bounds asks on their way to the keeper's goroutine.
	stepQueueSize = 256
)

// Turns asks for turns and keeps them. It implements magno.Duty; fields are
// set before Register and Run.
type Turns struct {
	Self  string
	Pool  string
	Clock *magno.Clock
	Loop  *loop.Loop
	Mesh  *wire.Mesh
	Fleet *fleet.Fleet
	Log   *slog.Logger
	// LoadLimits returns what the weight store allows the pool now.
	LoadLimits func() (rate float64, width int)
	// LoadTime is the time of a load at full speed.
	LoadTime func() magno.Millis

	coordinator *coordinator
	// fallbackAt is when a load without a keeper's turn may begin.
	fallbackAt magno.Millis
}

// turnRequest is the call of an agent that wants a turn.
type turnRequest struct {
	Agent     string    `json:"agent"`
	Ref       magno.Ref `json:"ref"`
	DelayCost float64   `json:"harm"`
}

// turnReply is its answer; a zero ID means that no turn came in time.
type turnReply struct {
	Turn turn.Turn `json:"turn"`
}

// turnEnd tells that a turn is over.
type turnEnd struct {
	ID uint64 `json:"id"`
}

// Name implements magno.Duty.
func (t *Turns) Name() string { return "turns" }

// Register names the handlers on the mesh and makes the keeper.
func (t *Turns) Register() {
	t.coordinator = newCoordinator(t)
	t.Mesh.Handle(magno.MethodTurn, func(ctx context.Context, _ *wire.Peer, params json.RawMessage) (any, error) {
		var a turnRequest
		if err := json.Unmarshal(params, &a); err != nil {
			return nil, magno.Refuse(magno.KindMalformed, "%v", err)
		}
		return turnReply{Turn: t.coordinator.wait(ctx, a)}, nil
	})
	t.Mesh.Handle(magno.MethodTurnEnd, func(_ context.Context, _ *wire.Peer, params json.RawMessage) (any, error) {
		var e turnEnd
		if err := json.Unmarshal(params, &e); err != nil {
			return nil, magno.Refuse(magno.KindMalformed, "%v", err)
		}
		t.coordinator.release(e.ID)
		return struct{}{}, nil
	})
}

// Run asks and keeps until ctx ends.
func (t *Turns) Run(ctx context.Context) error {
	kept := make(chan struct{})
	go func() {
		defer close(kept)
		t.coordinator.run(ctx)
	}()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-t.Loop.LoadWanted():
			t.requestLoad(ctx)
		}
	}
	<-kept
	return nil
}

// requestLoad asks for a turn if a load could begin.
func (t *Turns) requestLoad(ctx context.Context) {
	ref, harm, ok := t.Loop.Want(ctx)
	if ok {
		t.useTurn(ctx, turnRequest{Agent: t.Self, Ref: ref, DelayCost: harm})
		return
	}
	magno.Pause(ctx, retryPause)
}

// useTurn gets useTurn turn and gives it back when the load that it was for has
// ended. The keeper takes it back at its own deadline in any case.
func (t *Turns) useTurn(ctx context.Context, a turnRequest) {
	name, address := t.selectCoordinator()
	got, err := t.requestTurn(ctx, name, address, a)
	if err != nil {
		if ctx.Err() == nil {
			t.loadWithoutTurn(ctx, err)
		}
		return
	}
	if got.ID == 0 {
		return
	}
	t.Loop.Load(ctx, got.Left)
	t.releaseTurn(ctx, name, address, got.ID)
}

func (t *Turns) requestTurn(ctx context.Context, name, address string, a turnRequest) (turn.Turn, error) {
	if name == t.Self {
		ctx, cancel := context.WithTimeout(ctx, requestWait.Span())
		defer cancel()
		return t.coordinator.wait(ctx, a), nil
	}
	if address == "" {
		return turn.Turn{}, errors.New("the list names no agent of the pool")
	}
	ctx, cancel := context.WithTimeout(ctx, (requestWait + callMargin).Span())
	defer cancel()
	var g turnReply
	err := t.Mesh.Call(ctx, address, magno.MethodTurn, a, &g)
	return g.Turn, err
}

func (t *Turns) releaseTurn(ctx context.Context, name, address string, id uint64) {
	if name == t.Self {
		t.coordinator.release(id)
		return
	}
	_ = t.Mesh.Notify(ctx, address, magno.MethodTurnEnd, turnEnd{ID: id})
}

// loadWithoutTurn loads without a turn, at this agent's static share of the rate: a
// keeper that can't be reached must not stop all loads, and agents that each
// took the whole rate would make the store refuse most of them.
func (t *Turns) loadWithoutTurn(ctx context.Context, err error) {
	now := t.Clock.Now()
	if now < t.fallbackAt {
		return
	}
	rate, width := t.LoadLimits()
	k := turn.Coordinator{Clock: t.Clock, Rate: rate, MaxLoads: width, LoadTime: t.LoadTime()}
	t.fallbackAt = now + k.FallbackInterval(len(t.Fleet.LiveAgents(t.Pool)))
	t.Log.Info("turns", "keeper", "unreachable", "error", err)
	metrics.GetOrCreateCounter(`magno_turns_total{from="share"}`).Inc()
	t.Loop.Load(ctx, k.LeaseTime())
}

// selectCoordinator returns the pool's keeper: the agent whose name hashes lowest, so
// that it changes only when that agent comes or goes.
func (t *Turns) selectCoordinator() (name, address string) {
	least := ^uint64(0)
	for _, in := range t.Fleet.LiveAgents(t.Pool) {
		if h := xxhash.Sum64String(t.Pool + "\x00" + in.Name); h <= least {
			least, name, address = h, in.Name, in.Address
		}
	}
	return name, address
}
