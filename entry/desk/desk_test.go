package desk

import (
	"context"
	"encoding/json"
	"log/slog"
	"net"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"magnoliastall.example/magno"
	"magnoliastall.example/magno/gate"
	"magnoliastall.example/magno/view"
	"magnoliastall.example/magno/wire"
)

// agent answers as its fields say.
type agent struct {
	mu     sync.Mutex
	status gate.StatusReply
	polls  int
	specs  int
	// hold makes permits wait until their caller gives up, mute polls as well.
	hold, mute bool
	ends       []gate.EndCall
	// knew is what the agent knew when it was last asked for a permit.
	knew string
}

func (a *agent) open(m *wire.Mesh) {
	m.Handle(gate.MethodStatus, func(ctx context.Context, _ *wire.Peer, params json.RawMessage) (any, error) {
		var call gate.StatusCall
		_ = json.Unmarshal(params, &call)
		a.mu.Lock()
		mute := a.mute
		a.mu.Unlock()
		if mute {
			<-ctx.Done()
		}
		a.mu.Lock()
		defer a.mu.Unlock()
		a.polls++
		if call.Spec != nil {
			a.specs++
			a.status.Replica, a.status.Revision = call.Spec.Replica, call.Revision
		}
		return a.status, nil
	})
	m.Handle(gate.MethodPermit, func(ctx context.Context, _ *wire.Peer, params json.RawMessage) (any, error) {
		var call gate.PermitCall
		_ = json.Unmarshal(params, &call)
		a.mu.Lock()
		if call.Spec != nil {
			a.status.Replica, a.status.Revision = call.Spec.Replica, call.Revision
		}
		hold, status := a.hold, a.status
		a.knew = status.Replica
		a.mu.Unlock()
		if hold {
			<-ctx.Done()
		}
		return gate.PermitReply{Status: status}, nil
	})
	m.Handle(gate.MethodEnd, func(_ context.Context, _ *wire.Peer, params json.RawMessage) (any, error) {
		var call gate.EndCall
		_ = json.Unmarshal(params, &call)
		a.mu.Lock()
		defer a.mu.Unlock()
		a.ends = append(a.ends, call)
		return nil, nil
	})
}

func start(t *testing.T, a *agent) (*Client, context.CancelFunc) {
	t.Helper()
	clock := magno.NewSteady()
	served := &wire.Mesh{Listen: "127.0.0.1:0", Clock: clock}
	a.open(served)
	if err := served.Open(); err != nil {
		t.Fatal(err)
	}
	_, port, _ := net.SplitHostPort(served.Addr())
	number, _ := strconv.Atoi(port)
	book := &view.Book{Clock: clock}
	book.Read([]magno.Change{
		{Key: "plan", Revision: 1, Plan: &magno.Plan{Version: 1, Services: []magno.Service{{Name: "s", Engine: &magno.Engine{Batch: 1}}}}},
		{Key: "r", Revision: 1, Replica: &magno.Replica{ID: "r", Service: "s", Address: "127.0.0.1:1", DataCentre: "x", Slots: 1}},
	}, 1, true)
	d := &Client{Self: "e", Mesh: &wire.Mesh{Clock: clock}, Book: book, Clock: clock, Log: slog.New(slog.DiscardHandler), AgentPort: number}
	d.Open()
	ctx, cancel := context.WithCancel(context.Background())
	gone, lose := context.WithCancel(ctx)
	ends := make(chan error, 2)
	go func() { ends <- d.Run(ctx) }()
	go func() { ends <- served.Run(gone) }()
	t.Cleanup(func() {
		lose()
		cancel()
		<-ends
		<-ends
	})
	return d, lose
}

func until(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(time.Minute); !ok(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("waited in vain for " + what)
		}
	}
}

const key = "r@0"

func TestAgentIsToldOnceWhatItDoesNotKnow(t *testing.T) {
	a := &agent{status: gate.StatusReply{Backlog: magno.Backlog{Warm: []uint32{magno.Ref{Adapter: "m/a"}.Hash()}}}}
	d, _ := start(t, a)
	until(t, "the agent's state", func() bool { return d.Holds(key, "m/a") })
	if d.Holds(key, "m/b") {
		t.Error("an adapter that isn't there counts as held")
	}
	until(t, "a few polls", func() bool {
		a.mu.Lock()
		defer a.mu.Unlock()
		return a.polls > 4
	})
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.specs != 1 {
		t.Errorf("the agent was told %d times", a.specs)
	}
}

// Callers that leave are no sign that an agent is gone. Taken for one, two of them
// at once would have all others' requests go on without permits.
func TestCallersThatLeaveLoseNoAgent(t *testing.T) {
	a := &agent{hold: true}
	d, _ := start(t, a)
	until(t, "the agent", d.heardOnce)
	for range 5 {
		a.mu.Lock()
		a.status = gate.StatusReply{}
		a.mu.Unlock()
		d.mu.Lock()
		s := d.seats[key]
		s.status = gate.StatusReply{}
		d.mu.Unlock()
		ctx, leave := context.WithCancel(context.Background())
		leave()
		if _, err := d.Acquire(ctx, key, gate.Request{ID: "1"}); err == nil {
			t.Fatal("a caller that left got a permit")
		}
		d.mu.Lock()
		dead := s.dead
		d.mu.Unlock()
		if dead {
			t.Fatal("the agent counts as lost because callers left")
		}
	}
}

// An agent starts again and doesn't know what stands beside it. The next request
// brings it word first; otherwise it is refused, as all are until a poll comes,
// and after a loss of all power that is so at every engine.
func TestAgentThatStartedIsToldBeforeItDecides(t *testing.T) {
	a := &agent{}
	d, _ := start(t, a)
	until(t, "the agent", d.heardOnce)
	permit := func() {
		if _, err := d.Acquire(context.Background(), key, gate.Request{ID: "1"}); err != nil {
			t.Fatal(err)
		}
	}
	for range 20 {
		a.mu.Lock()
		a.status = gate.StatusReply{}
		a.mu.Unlock()
		permit() // its refusal tells that it knows nothing
		permit()
		a.mu.Lock()
		knew := a.knew
		a.mu.Unlock()
		if knew != key {
			t.Fatalf("the agent knew %q when it was asked", knew)
		}
	}
}

// An agent stands still while a request waits for its word; its connection stays
// open. The wait ends when the polls find that out, not at the request's
// deadline.
func TestMuteAgentEndsTheWait(t *testing.T) {
	a := &agent{hold: true}
	d, _ := start(t, a)
	until(t, "the agent's state", d.heardOnce)
	got := make(chan error, 1)
	go func() {
		_, err := d.Acquire(context.Background(), key, gate.Request{ID: "1"})
		got <- err
	}()
	a.mu.Lock()
	a.mute = true
	a.mu.Unlock()
	select {
	case err := <-got:
		if !errors.Is(err, ErrAgentLost) {
			t.Fatalf("got %v, want ErrDead", err)
		}
	case <-time.After(time.Minute):
		t.Fatal("the request waits on for an agent that stands still")
	}
}

// An agent ends while a request waits for its word. So does the wait; what the
// engine held is still known, so that requests go there without the agent.
func TestSilentAgentEndsTheWait(t *testing.T) {
	a := &agent{hold: true, status: gate.StatusReply{Backlog: magno.Backlog{Warm: []uint32{magno.Ref{Adapter: "m/a"}.Hash()}}}}
	d, lose := start(t, a)
	until(t, "the agent's state", func() bool { return d.Holds(key, "m/a") })
	got := make(chan error, 1)
	go func() {
		_, err := d.Acquire(context.Background(), key, gate.Request{ID: "1"})
		got <- err
	}()
	lose()
	if err := <-got; !errors.Is(err, ErrAgentLost) {
		t.Fatalf("got %v, want ErrDead", err)
	}
	until(t, "the loss", func() bool {
		_, err := d.Acquire(context.Background(), key, gate.Request{ID: "2"})
		return errors.Is(err, ErrAgentLost)
	})
	if !d.Holds(key, "m/a") {
		t.Error("what the engine held is forgotten with its agent")
	}
}

// A caller leaves while its request waits. The agent is told, or it would keep
// a place for nobody.
func TestLeavingCallerIsToldToTheAgent(t *testing.T) {
	a := &agent{hold: true}
	d, _ := start(t, a)
	until(t, "the agent's state", func() bool { return !d.Down(key) && d.heardOnce() })
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	if _, err := d.Acquire(ctx, key, gate.Request{ID: "1"}); err == nil {
		t.Fatal("the wait ended without an error")
	}
	until(t, "the word of it", func() bool {
		a.mu.Lock()
		defer a.mu.Unlock()
		return len(a.ends) == 1 && a.ends[0].ID == "1" && !a.ends[0].OK
	})
}

func (d *Client) heardOnce() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.seats[key]
	return s != nil && s.status.Replica == key
}
