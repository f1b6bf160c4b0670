// Package turns requests turns to load adapters from the pool's coordinator, and is that
// coordinator on the agent that is selected for it.
//
//	loop: Want --> Turns --MethodTurn, waits--> coordinator of the pool
//	loop: Load <-- Turns <------ turn.Turn ------'
//	load ended --> Turns --MethodTurnEnd------> coordinator
//
// The coordinator is the agent of the pool whose name has the lowest hash, by the instance list of
// each agent. Agents with different lists may use two coordinators for a while; the weight store
// then refuses loads beyond its rate.
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

const (
	// retryPause is the pause after the scheduler turned out to need no load.
	retryPause magno.Millis = 20
	// requestWait is how long one call waits for its turn. After that the request is repeated with
	// the delay cost of that time.
	requestWait = magno.Second
	// callMargin is the time beyond requestWait after which the coordinator counts as unreachable.
	callMargin magno.Millis = 500
	// stepQueueSize bounds the queue of steps for the coordinator's goroutine.
	stepQueueSize = 256
)

// Turns requests and coordinates turns. It implements magno.Task. Its fields must be set before
// Register and Run.
type Turns struct {
	Self  string
	Pool  string
	Clock *magno.Clock
	Loop  *loop.Loop
	Mesh  *wire.Mesh
	Fleet *fleet.Fleet
	Log   *slog.Logger
	// LoadLimits returns the loads per second and the concurrent loads that the weight store
	// currently allows the pool.
	LoadLimits func() (rate float64, maxLoads int)
	// LoadTime returns the time of a load at full speed.
	LoadTime func() magno.Millis

	coordinator *coordinator
	// fallbackAt is when the next load without a turn may start.
	fallbackAt magno.Millis
}

// turnRequest holds the parameters of MethodTurn.
type turnRequest struct {
	Agent     string    `json:"agent"`
	Ref       magno.Ref `json:"ref"`
	DelayCost float64   `json:"harm"`
}

// turnReply is the result of MethodTurn. The ID of the turn is zero if none was granted in time.
type turnReply struct {
	Turn turn.Turn `json:"turn"`
}

// turnEnd holds the parameters of MethodTurnEnd.
type turnEnd struct {
	ID uint64 `json:"id"`
}

// Name implements magno.Task.
func (t *Turns) Name() string { return "turns" }

// Register creates the coordinator and registers the handlers on the mesh.
func (t *Turns) Register() {
	t.coordinator = newCoordinator(t)
	t.Mesh.Handle(magno.MethodTurn, func(ctx context.Context, _ *wire.Peer, params json.RawMessage) (any, error) {
		var r turnRequest
		if err := json.Unmarshal(params, &r); err != nil {
			return nil, magno.Refuse(magno.KindMalformed, "%v", err)
		}
		return turnReply{Turn: t.coordinator.wait(ctx, r)}, nil
	})
	t.Mesh.Handle(magno.MethodTurnEnd, func(_ context.Context, _ *wire.Peer, params json.RawMessage) (any, error) {
		var end turnEnd
		if err := json.Unmarshal(params, &end); err != nil {
			return nil, magno.Refuse(magno.KindMalformed, "%v", err)
		}
		t.coordinator.release(end.ID)
		return struct{}{}, nil
	})
}

// Run requests and coordinates turns until ctx is done.
func (t *Turns) Run(ctx context.Context) error {
	done := make(chan struct{})
	go func() {
		defer close(done)
		t.coordinator.run(ctx)
	}()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-t.Loop.LoadWanted():
			t.requestLoad(ctx)
		}
	}
	<-done
	return nil
}

// requestLoad requests a turn if the scheduler needs a load.
func (t *Turns) requestLoad(ctx context.Context) {
	ref, cost, ok := t.Loop.Want(ctx)
	if ok {
		t.useTurn(ctx, turnRequest{Agent: t.Self, Ref: ref, DelayCost: cost})
		return
	}
	magno.Sleep(ctx, retryPause)
}

// useTurn obtains one turn, uses it for a load, and releases it when the load has ended. The
// coordinator itself ends the turn at its deadline.
func (t *Turns) useTurn(ctx context.Context, r turnRequest) {
	name, address := t.selectCoordinator()
	got, err := t.requestTurn(ctx, name, address, r)
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

func (t *Turns) requestTurn(ctx context.Context, name, address string, r turnRequest) (turn.Turn, error) {
	if name == t.Self {
		ctx, cancel := context.WithTimeout(ctx, requestWait.Duration())
		defer cancel()
		return t.coordinator.wait(ctx, r), nil
	}
	if address == "" {
		return turn.Turn{}, errors.New("instance list has no agent of the pool")
	}
	ctx, cancel := context.WithTimeout(ctx, (requestWait + callMargin).Duration())
	defer cancel()
	var reply turnReply
	err := t.Mesh.Call(ctx, address, magno.MethodTurn, r, &reply)
	return reply.Turn, err
}

func (t *Turns) releaseTurn(ctx context.Context, name, address string, id uint64) {
	if name == t.Self {
		t.coordinator.release(id)
		return
	}
	_ = t.Mesh.Notify(ctx, address, magno.MethodTurnEnd, turnEnd{ID: id})
}

// loadWithoutTurn loads at this agent's static share of the rate. Loads must not stop because the
// coordinator is unreachable, and if each agent used the whole rate, the store would refuse most
// of the loads.
func (t *Turns) loadWithoutTurn(ctx context.Context, err error) {
	now := t.Clock.Now()
	if now < t.fallbackAt {
		return
	}
	rate, maxLoads := t.LoadLimits()
	c := turn.Coordinator{Clock: t.Clock, Rate: rate, MaxLoads: maxLoads, LoadTime: t.LoadTime()}
	t.fallbackAt = now + c.FallbackInterval(len(t.Fleet.LiveAgents(t.Pool)))
	t.Log.Info("no turn from the coordinator, loading at the fallback rate", "keeper", "unreachable", "error", err)
	metrics.GetOrCreateCounter(`magno_turns_total{from="share"}`).Inc()
	t.Loop.Load(ctx, c.LeaseTime())
}

// selectCoordinator returns the agent of the pool whose name has the lowest hash. It changes only
// if that agent leaves or one with a lower hash joins.
func (t *Turns) selectCoordinator() (name, address string) {
	least := ^uint64(0)
	for _, in := range t.Fleet.LiveAgents(t.Pool) {
		if h := xxhash.Sum64String(t.Pool + "\x00" + in.Name); h <= least {
			least, name, address = h, in.Name, in.Address
		}
	}
	return name, address
}
