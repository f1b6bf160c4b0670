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
	"magnoliastall.example/magno/notice"
	"magnoliastall.example/magno/view"
	"magnoliastall.example/magno/wire"
)

// fakeAgent is an agent whose replies are set by its fields.
type fakeAgent struct {
	mu     sync.Mutex
	status gate.StatusReply
	polls  int
	specs  int
	// holdPermits blocks permit calls until their caller gives up, holdStatus blocks polls.
	holdPermits, holdStatus bool
	// cutPermits fails permit calls once they were decided.
	cutPermits bool
	releases   []gate.EndCall
	// roundTrip is that of the last permit call.
	roundTrip magno.Millis
	// strict refuses permits for another replica than the agent has a spec for.
	strict bool
	// replicaAtPermit is the replica that the agent knew at the last permit call.
	replicaAtPermit string
}

func (a *fakeAgent) open(m *wire.Mesh) {
	m.Handle(gate.MethodStatus, func(ctx context.Context, _ *wire.Peer, params json.RawMessage) (any, error) {
		var call gate.StatusCall
		_ = json.Unmarshal(params, &call)
		a.mu.Lock()
		mute := a.holdStatus
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
		hold, status, cut := a.holdPermits, a.status, a.cutPermits
		a.roundTrip = call.RoundTrip
		a.replicaAtPermit = status.Replica
		refuse := a.strict && status.Replica != call.Replica
		a.mu.Unlock()
		if refuse {
			return gate.PermitReply{Status: status, Refusal: magno.Refuse(magno.KindNoUpstream, "another incarnation is here")}, nil
		}
		if hold {
			<-ctx.Done()
		}
		if cut {
			return nil, errors.New("the connection is lost")
		}
		return gate.PermitReply{Status: status}, nil
	})
	m.Handle(gate.MethodEnd, func(_ context.Context, _ *wire.Peer, params json.RawMessage) (any, error) {
		var call gate.EndCall
		_ = json.Unmarshal(params, &call)
		a.mu.Lock()
		defer a.mu.Unlock()
		a.releases = append(a.releases, call)
		return nil, nil
	})
}

func startClient(t *testing.T, a *fakeAgent) (*Client, context.CancelFunc) {
	t.Helper()
	clock := magno.NewMonotonic()
	served := &wire.Mesh{Listen: "127.0.0.1:0", Clock: clock}
	a.open(served)
	if err := served.Open(); err != nil {
		t.Fatal(err)
	}
	_, port, _ := net.SplitHostPort(served.Addr())
	number, _ := strconv.Atoi(port)
	book := &view.Store{Clock: clock}
	book.ApplyRead([]magno.Change{
		{Key: "plan", Revision: 1, Plan: &magno.Plan{Version: 1, Services: []magno.Service{{Name: "s", Engine: &magno.Engine{Batch: 1}}}}},
		{Key: "r", Revision: 1, Replica: &magno.Replica{ID: "r", Service: "s", Address: "127.0.0.1:1", DataCentre: "x", Slots: 1}},
	}, 1, true)
	client := &Client{Notices: &notice.Board{Clock: clock}, Self: "e", Mesh: &wire.Mesh{Clock: clock}, Book: book, Clock: clock, Log: slog.New(slog.DiscardHandler), AgentPort: number}
	client.Open()
	ctx, cancel := context.WithCancel(context.Background())
	agentCtx, stopAgent := context.WithCancel(ctx)
	ends := make(chan error, 2)
	go func() { ends <- client.Run(ctx) }()
	go func() { ends <- served.Run(agentCtx) }()
	t.Cleanup(func() {
		stopAgent()
		cancel()
		<-ends
		<-ends
	})
	return client, stopAgent
}

func waitFor(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(time.Minute); !ok(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("timed out waiting for " + what)
		}
	}
}

const key = "r@0"

func TestAgentIsSentItsSpecOnce(t *testing.T) {
	a := &fakeAgent{status: gate.StatusReply{Backlog: magno.Backlog{Warm: []uint32{magno.Ref{Adapter: "m/a"}.Hash()}}}}
	client, _ := startClient(t, a)
	waitFor(t, "the agent's state", func() bool { return client.Holds(key, "m/a") })
	if client.Holds(key, "m/b") {
		t.Error("an adapter that isn't loaded counts as held")
	}
	waitFor(t, "a few polls", func() bool {
		a.mu.Lock()
		defer a.mu.Unlock()
		return a.polls > 4
	})
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.specs != 1 {
		t.Errorf("the spec was sent %d times, want 1", a.specs)
	}
}

// Guards against taking cancelled calls for misses of the agent. Two cancelled callers at once
// would mark the agent lost, and all other requests would be sent without permits.
func TestCancelledCallersDoNotMarkAgentLost(t *testing.T) {
	a := &fakeAgent{holdPermits: true}
	client, _ := startClient(t, a)
	waitFor(t, "the agent", client.hasStatus)
	for range 5 {
		a.mu.Lock()
		a.status = gate.StatusReply{}
		a.mu.Unlock()
		client.mu.Lock()
		s := client.agents[key]
		s.status = gate.StatusReply{}
		client.mu.Unlock()
		ctx, leave := context.WithCancel(context.Background())
		leave()
		if _, err := client.Acquire(ctx, key, gate.Request{ID: "1"}); err == nil {
			t.Fatal("a cancelled call got a permit")
		}
		client.mu.Lock()
		lost := s.lost
		client.mu.Unlock()
		if lost {
			t.Fatal("the agent counts as lost because calls were cancelled")
		}
	}
}

// Guards against refusals after an agent's restart. A restarted agent has no spec and refuses
// every request until the next poll, so the next permit call carries the spec. After a power
// loss of all machines this applies to every engine.
func TestRestartedAgentGetsItsSpecWithThePermit(t *testing.T) {
	a := &fakeAgent{}
	client, _ := startClient(t, a)
	waitFor(t, "the agent", client.hasStatus)
	permit := func() {
		if _, err := client.Acquire(context.Background(), key, gate.Request{ID: "1"}); err != nil {
			t.Fatal(err)
		}
	}
	for range 20 {
		a.mu.Lock()
		a.status = gate.StatusReply{}
		a.mu.Unlock()
		permit() // the reply shows that the agent has no spec
		permit()
		a.mu.Lock()
		knew := a.replicaAtPermit
		a.mu.Unlock()
		if knew != key {
			t.Fatalf("the agent had the spec of %q at the permit call", knew)
		}
	}
}

// The agent's process hangs while a request waits for a permit, and its connection stays open.
// The wait must end when polls detect this, not at the request's deadline.
func TestMuteAgentEndsTheWait(t *testing.T) {
	a := &fakeAgent{holdPermits: true}
	client, _ := startClient(t, a)
	waitFor(t, "the agent's state", client.hasStatus)
	got := make(chan error, 1)
	go func() {
		_, err := client.Acquire(context.Background(), key, gate.Request{ID: "1"})
		got <- err
	}()
	a.mu.Lock()
	a.holdStatus = true
	a.mu.Unlock()
	select {
	case err := <-got:
		if !errors.Is(err, ErrAgentLost) {
			t.Fatalf("got %v, want ErrAgentLost", err)
		}
	case <-time.After(time.Minute):
		t.Fatal("the permit call doesn't end though the agent hangs")
	}
}

// The agent exits while a request waits for a permit. The wait must end, and the engine's last
// known state must be kept, so that requests can be sent without the agent.
func TestSilentAgentEndsTheWait(t *testing.T) {
	a := &fakeAgent{holdPermits: true, status: gate.StatusReply{Backlog: magno.Backlog{Warm: []uint32{magno.Ref{Adapter: "m/a"}.Hash()}}}}
	client, lose := startClient(t, a)
	waitFor(t, "the agent's state", func() bool { return client.Holds(key, "m/a") })
	got := make(chan error, 1)
	go func() {
		_, err := client.Acquire(context.Background(), key, gate.Request{ID: "1"})
		got <- err
	}()
	lose()
	if err := <-got; !errors.Is(err, ErrAgentLost) {
		t.Fatalf("got %v, want ErrAgentLost", err)
	}
	waitFor(t, "the agent to count as lost", func() bool {
		_, err := client.Acquire(context.Background(), key, gate.Request{ID: "2"})
		return errors.Is(err, ErrAgentLost)
	})
	if !client.Holds(key, "m/a") {
		t.Error("the engine's state is dropped when its agent is lost")
	}
}

// Guards against a queue place held for a caller that is gone: when a caller leaves while its
// request waits, the agent must be notified.
func TestLeavingCallerIsToldToTheAgent(t *testing.T) {
	a := &fakeAgent{holdPermits: true}
	client, _ := startClient(t, a)
	waitFor(t, "the agent's state", func() bool { return !client.Down(key) && client.hasStatus() })
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	if _, err := client.Acquire(ctx, key, gate.Request{ID: "1"}); err == nil {
		t.Fatal("the cancelled call returned no error")
	}
	waitFor(t, "the release notification", func() bool {
		a.mu.Lock()
		defer a.mu.Unlock()
		return len(a.releases) == 1 && a.releases[0].ID == "1" && !a.releases[0].OK
	})
}

// The agent grants a permit, and its reply is lost with the connection. Guards against a place at
// the engine that is held until the deadline of a request that never started: the permit must be
// released, and the caller must not be told that it has one.
func TestPermitIsReleasedWhenItsReplyIsLost(t *testing.T) {
	a := &fakeAgent{cutPermits: true}
	client, _ := startClient(t, a)
	waitFor(t, "the agent's state", client.hasStatus)
	if reply, err := client.Acquire(context.Background(), key, gate.Request{ID: "1"}); !errors.Is(err, ErrAgentLost) {
		t.Fatalf("got %+v, %v, want ErrAgentLost", reply, err)
	}
	waitFor(t, "the release notification", func() bool {
		a.mu.Lock()
		defer a.mu.Unlock()
		return len(a.releases) == 1 && a.releases[0].ID == "1" && !a.releases[0].OK
	})
}

// Agents compare the wait for another engine with the time that it takes to go there. Guards
// against permit calls without the round trip that polls measured.
func TestPermitCallHasTheRoundTrip(t *testing.T) {
	a := &fakeAgent{}
	client, _ := startClient(t, a)
	waitFor(t, "the agent's state", client.hasStatus)
	client.mu.Lock()
	client.agents[key].roundTrip = 0
	client.agents[key].recordTrip(40)
	client.agents[key].recordTrip(48)
	client.mu.Unlock()
	if _, err := client.Acquire(context.Background(), key, gate.Request{ID: "1"}); err != nil {
		t.Fatal(err)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.roundTrip < 1 || a.roundTrip > 41 {
		t.Errorf("the round trip of the call is %d ms, want about 41", a.roundTrip)
	}
}

func (c *Client) hasStatus() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.agents[key]
	return s != nil && s.status.Replica == key
}
