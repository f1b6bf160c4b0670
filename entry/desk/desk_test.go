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

	"github.com/cespare/xxhash/v2"
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

func start(t *testing.T, a *agent) (*Desk, context.CancelFunc) {
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
	d := &Desk{Self: "e", Mesh: &wire.Mesh{Clock: clock}, Book: book, Clock: clock, Log: slog.New(slog.DiscardHandler), Port: number}
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
		if _, err := d.Permit(ctx, key, gate.Ask{ID: "1"}); err == nil {
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
		if _, err := d.Permit(context.Background(), key, gate.Ask{ID: "1"}); err != nil {
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
		_, err := d.Permit(context.Background(), key, gate.Ask{ID: "1"})
		got <- err
	}()
	a.mu.Lock()
	a.mute = true
	a.mu.Unlock()
	select {
	case err := <-got:
		if !errors.Is(err, ErrDead) {
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
		_, err := d.Permit(context.Background(), key, gate.Ask{ID: "1"})
		got <- err
	}()
	lose()
	if err := <-got; !errors.Is(err, ErrDead) {
		t.Fatalf("got %v, want ErrDead", err)
	}
	until(t, "the loss", func() bool {
		_, err := d.Permit(context.Background(), key, gate.Ask{ID: "2"})
		return errors.Is(err, ErrDead)
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
	if _, err := d.Permit(ctx, key, gate.Ask{ID: "1"}); err == nil {
		t.Fatal("the wait ended without an error")
	}
	until(t, "the word of it", func() bool {
		a.mu.Lock()
		defer a.mu.Unlock()
		return len(a.ends) == 1 && a.ends[0].ID == "1" && !a.ends[0].OK
	})
}

func (d *Desk) heardOnce() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.seats[key]
	return s != nil && s.status.Replica == key
}

// fleet is a desk with so many agents that all answered a moment ago.
func fleet(n int) (*Desk, *magno.Clock) {
	clock := magno.NewClock(magno.Hour)
	d := &Desk{Clock: clock, Log: slog.New(slog.DiscardHandler), seats: map[string]*seat{}}
	for i := range n {
		r := &magno.Replica{ID: strconv.Itoa(i), Service: "s"}
		s := &seat{replica: r, asked: clock.Now(), heard: clock.Now(), lost: make(chan struct{}), hash: xxhash.Sum64String(r.Key())}
		s.status.Replica = r.Key()
		d.seats[r.Key()] = s
	}
	return d, clock
}

// asks tells which agents are asked at the next tick.
func asks(d *Desk, clock *magno.Clock, key string) bool {
	clock.Advance(pollEvery)
	asked := false
	for _, s := range d.due() {
		s.polling = false
		asked = asked || s.replica.Key() == key
	}
	return asked
}

// A machine of a large fleet loses power. Agents are asked about each second there,
// and it takes two polls without an answer to tell; meanwhile callers whose requests
// wait for its agent get nothing. The second poll must follow the first at once.
func TestAgentThatMissesIsAskedAtOnce(t *testing.T) {
	for _, n := range []int{4, 120, 1000} {
		d, clock := fleet(n)
		const key = "1@0"
		asks(d, clock, key)
		d.missed(d.seats[key], errors.New("no answer"))
		if !asks(d, clock, key) {
			t.Errorf("of %d agents, one that missed a poll isn't asked at the next tick", n)
		}
	}
}

// A request waits for a permit of an agent whose machine is gone. Its agent isn't
// asked before a second has passed, and the request would wait for that.
func TestAgentThatOwesAPermitIsAskedAtOnce(t *testing.T) {
	d, clock := fleet(120)
	key := "7@0"
	sent := clock.Now() + 1
	clock.Advance(10)
	if asks(d, clock, key) {
		t.Fatal("it is asked in any case")
	}
	d.hurry(d.seats[key], sent)
	if !asks(d, clock, key) {
		t.Error("an agent that doesn't answer a permit isn't asked at the next tick")
	}
	d.seats[key].heard = clock.Now()
	d.hurry(d.seats[key], sent)
	if asks(d, clock, key) {
		t.Error("one that was heard since is asked again")
	}
}

// A machine with an engine loses power. Its agent is silent and nothing connects to
// the engine, but its adapters were there a moment ago, so request after request was
// sent to it and each lost 400 ms. After the first, nobody is sent there, until its
// agent answers again.
func TestUnreachedEngineHoldsNothing(t *testing.T) {
	d, clock := fleet(2)
	key := "1@0"
	var told []magno.Backlog
	d.Reported = func(_, _ string, b magno.Backlog) { told = append(told, b) }
	status := d.seats[key].status
	status.Backlog.Warm = []uint32{magno.Ref{Adapter: "m/a"}.Hash()}
	d.heard(d.seats[key], &status, 0)
	d.Unreached(key)
	if !d.Holds(key, "m/a") {
		t.Fatal("an engine whose agent answers counts as gone")
	}
	for range deadAfter {
		d.missed(d.seats[key], errors.New("no answer"))
	}
	if !d.Holds(key, "m/a") {
		t.Fatal("an agent that is silent alone takes its engine away")
	}
	d.Unreached(key)
	if d.Holds(key, "m/a") || !told[len(told)-1].Down {
		t.Errorf("the engine still counts, told %+v", told)
	}
	clock.Advance(pollEvery)
	d.heard(d.seats[key], &status, 0)
	if !d.Holds(key, "m/a") || told[len(told)-1].Down {
		t.Errorf("its agent is back, and the engine isn't, told %+v", told)
	}
}

// Guards against a worker that starts again under its name and is taken for one that
// holds what the one before held.
func TestWorkerThatStartsAgainHoldsNothing(t *testing.T) {
	d, clock := fleet(0)
	d.Book = &view.Book{Clock: clock}
	list := func(revision int64, born magno.Millis) string {
		r := &magno.Replica{ID: "r", Born: born, Service: "s", Address: "127.0.0.1:1", DataCentre: "x", Slots: 1}
		d.Book.Read([]magno.Change{
			{Key: "plan", Revision: revision, Plan: &magno.Plan{Version: 1, Services: []magno.Service{{Name: "s", Engine: &magno.Engine{Batch: 1}}}}},
			{Key: "servers/r", Revision: revision, Replica: r},
		}, revision, true)
		d.seat(d.Book.Now())
		return r.Key()
	}
	before := list(1, 100)
	status := gate.StatusReply{Replica: before, Born: 100, Backlog: magno.Backlog{Warm: []uint32{magno.Ref{Adapter: "m/a"}.Hash()}}}
	d.heard(d.seats[before], &status, 0)
	if !d.Holds(before, "m/a") {
		t.Fatal("what the engine holds isn't known")
	}
	now := list(2, 200)
	if d.Holds(before, "m/a") || d.Holds(now, "m/a") || !d.Down(before) || d.Down(now) {
		t.Errorf("the one before holds %v, is down %v; this one holds %v, is down %v",
			d.Holds(before, "m/a"), d.Down(before), d.Holds(now, "m/a"), d.Down(now))
	}
	if _, err := d.Permit(t.Context(), before, gate.Ask{ID: "1"}); !errors.Is(err, ErrDead) {
		t.Errorf("a permit for the one before ends with %v", err)
	}
}

// Guards against an engine of a large fleet whose agent is asked seldom, and that counts
// as empty between two questions or as soon as the agent fails to answer one.
func TestAgentAskedSeldomIsNotForgotten(t *testing.T) {
	d, clock := fleet(3000)
	const key = "1@0"
	s := d.seats[key]
	status := gate.StatusReply{Replica: key, Backlog: magno.Backlog{Warm: []uint32{magno.Ref{Adapter: "m/a"}.Hash()}}}
	d.heard(s, &status, 0)
	clock.Advance(pollCalm)
	if !d.Holds(key, "m/a") {
		t.Fatal("forgotten between two questions")
	}
	for range deadAfter {
		d.missed(s, errors.New("no answer"))
	}
	if !d.Holds(key, "m/a") {
		t.Error("forgotten as soon as the agent is silent")
	}
	clock.Advance(heldFor + 1)
	if d.Holds(key, "m/a") {
		t.Error("an agent that was silent for long still counts")
	}
}
