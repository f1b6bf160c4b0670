package turns

import (
	"context"
	"encoding/json"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"magnoliastall.example/agent/loop"
	"magnoliastall.example/magno"
	"magnoliastall.example/magno/fleet"
	"magnoliastall.example/magno/turn"
	"magnoliastall.example/magno/wire"
)

// single is a scheduler of one job that waits for its adapter.
type single struct {
	job    *magno.Job
	turn   bool
	orders []magno.Order
}

func (s *single) Offer(job magno.Job) *magno.Refusal { s.job = &job; return nil }
func (s *single) Next() []magno.Order {
	orders := s.orders
	s.orders = nil
	if s.turn && s.job != nil {
		s.turn = false
		orders = append(orders, magno.Order{Kind: magno.OrderLoad, Ref: s.job.Ref})
	}
	return orders
}

func (s *single) Loaded(magno.Ref, bool) {
	s.orders = []magno.Order{{Kind: magno.OrderStart, Job: *s.job}}
	s.job = nil
}

func (s *single) Want() (magno.Ref, float64, bool) { return magno.Ref{}, 1, s.job != nil }
func (s *single) Turn(magno.Millis)                { s.turn = true }
func (s *single) Tokens(string, int)               {}
func (s *single) Done(string, bool)                {}
func (s *single) Cancel(string) bool               { return false }
func (s *single) Unloaded(magno.Ref)               {}
func (s *single) Reset() []string                  { return nil }
func (s *single) Backlog() magno.Backlog {
	if s.job == nil {
		return magno.Backlog{}
	}
	return magno.Backlog{Loads: 1}
}
func (s *single) Holds() map[magno.Ref]bool { return nil }

// engine counts loads.
type engine struct{ loads atomic.Int64 }

func (e *engine) Run(context.Context, magno.Work, func(magno.Piece)) (magno.Result, error) {
	return magno.Result{}, nil
}
func (e *engine) Load(context.Context, magno.Ref, int64) error   { e.loads.Add(1); return nil }
func (e *engine) Unload(context.Context, magno.Ref, int64) error { return nil }
func (e *engine) Probe(context.Context) (magno.Probe, error)     { return magno.Probe{}, nil }

// agent is an agent's turns over a loop that runs; others of the pool are at
// the addresses given.
func agent(t *testing.T, clock *magno.Clock, others map[string]string) (*Turns, *engine, func(magno.Duty)) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	t.Cleanup(wg.Wait)
	t.Cleanup(cancel)
	run := func(d magno.Duty) {
		wg.Add(1)
		go func() { defer wg.Done(); _ = d.Run(ctx) }()
	}
	const self = "self"
	list := []magno.Instance{{Name: self, Role: magno.RoleAgent, Pool: "p", State: magno.InstanceLive}}
	for name, address := range others {
		list = append(list, magno.Instance{Name: name, Role: magno.RoleAgent, Pool: "p", State: magno.InstanceLive, Address: address})
	}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(map[string]any{"revision": 1, "instances": list})
	}))
	t.Cleanup(server.Close)
	log, eng := slog.New(slog.DiscardHandler), &engine{}
	f := &fleet.Fleet{URL: server.URL, Clock: &magno.Clock{}, Log: log}
	l := loop.New()
	l.Clock, l.Scheduler, l.Upstream, l.Log = &magno.Clock{}, &single{}, eng, log
	mesh := &wire.Mesh{}
	run(f)
	run(l)
	for end := time.Now().Add(time.Minute); len(f.LiveAgents("p")) != len(list); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the list was not read")
		}
	}
	tr := &Turns{
		Self: self, Pool: "p", Clock: clock, Loop: l, Mesh: mesh, Fleet: f, Log: log,
		LoadLimits: func() (float64, int) { return 1000, 1 }, LoadTime: func() magno.Millis { return magno.Minute },
	}
	tr.Register()
	run(mesh)
	return tr, eng, run
}

// coordinatorDuty is the keeper's goroutine as a duty.
type coordinatorDuty struct{ *coordinator }

func (k coordinatorDuty) Name() string                  { return "keeper" }
func (k coordinatorDuty) Run(ctx context.Context) error { k.run(ctx); return nil }

// passQuietTime takes the keeper past the quiet time with which it begins.
func passQuietTime(t *testing.T, tr *Turns, run func(magno.Duty)) {
	t.Helper()
	run(coordinatorDuty{tr.coordinator})
	begun := make(chan struct{})
	tr.coordinator.steps <- func() {
		tr.coordinator.submit(turnRequest{Agent: "first"}, make(chan turn.Turn, 1))
		tr.coordinator.leases.Grant()
		tr.coordinator.leases.Cancel("first")
		close(begun)
	}
	<-begun
	tr.Clock.Advance(magno.Hour)
}

// awaitTurn asks until a turn comes, a few times the keeper's own wait at most,
// for a busy machine may let one wait pass.
func awaitTurn(tr *Turns, agent string) (got turn.Turn) {
	for n := 0; n < 20 && got.ID == 0; n++ {
		got = tr.coordinator.wait(context.Background(), turnRequest{Agent: agent})
	}
	return got
}

// The agent that keeps the turns is gone, and the list still names it. Loads
// must go on at a small share, or callers of cold adapters wait for ever.
func TestCoordinatorUnreachable(t *testing.T) {
	tr, eng, run := agent(t, &magno.Clock{}, map[string]string{})
	for _, name := range []string{"a", "b", "c", "d", "e", "f", "g", "h"} {
		tr, eng, run = agent(t, &magno.Clock{}, map[string]string{name: "127.0.0.1:1"})
		if keeper, _ := tr.selectCoordinator(); keeper == name {
			break
		}
	}
	if keeper, _ := tr.selectCoordinator(); keeper == "self" {
		t.Fatal("no name hashes before self")
	}
	run(tr)
	_, err := tr.Loop.Do(context.Background(), magno.Work{Job: magno.Job{ID: "x"}}, func(magno.Piece) {})
	if err != nil || eng.loads.Load() != 1 {
		t.Errorf("%v after %d loads", err, eng.loads.Load())
	}
}

// A turn whose load is done, or that nobody uses any more, must come back at
// once: kept to its deadline it would hold up every other agent for minutes.
// The clock stands, so only a turn that was given back can be given again.
func TestTurnComesBack(t *testing.T) {
	tests := []struct {
		name string
		// wanted is true when a job waits for the load.
		wanted bool
		loads  int64
	}{{"used", true, 1}, {"unused", false, 0}}
	for _, tt := range tests {
		tr, eng, run := agent(t, magno.NewClock(magno.Hour), nil)
		passQuietTime(t, tr, run)
		ctx := context.Background()
		if tt.wanted {
			go func() { _, _ = tr.Loop.Do(ctx, magno.Work{Job: magno.Job{ID: "x"}}, func(magno.Piece) {}) }()
			for _, _, ok := tr.Loop.Want(ctx); !ok; _, _, ok = tr.Loop.Want(ctx) {
				time.Sleep(time.Millisecond)
			}
		}
		tr.useTurn(ctx, turnRequest{Agent: "self", DelayCost: 1})
		if eng.loads.Load() != tt.loads {
			t.Errorf("%s: %d loads", tt.name, eng.loads.Load())
		}
		tr.Clock.Advance(magno.Second) // the rate's next load, not the lease's end
		if got := awaitTurn(tr, "other"); got.ID == 0 {
			t.Errorf("%s: the turn did not come back", tt.name)
		}
	}
}

// An agent asks and dies while it waits. Its turn must go to the next agent
// and not to nobody.
func TestRequesterGone(t *testing.T) {
	tr, _, run := agent(t, magno.NewClock(magno.Hour), nil)
	passQuietTime(t, tr, run)
	held := awaitTurn(tr, "a")
	gone, cancel := context.WithCancel(context.Background())
	waited := make(chan turn.Turn, 1)
	go func() { waited <- tr.coordinator.wait(gone, turnRequest{Agent: "b", DelayCost: 9}) }()
	cancel()
	if got := <-waited; held.ID == 0 || got.ID != 0 {
		t.Fatalf("held %v, given %v", held, got)
	}
	tr.Clock.Advance(magno.Second)
	next := make(chan turn.Turn, 1)
	go func() { next <- awaitTurn(tr, "c") }()
	tr.coordinator.release(held.ID)
	if got := <-next; got.Agent != "c" {
		t.Errorf("the turn went to %q", got.Agent)
	}
}
