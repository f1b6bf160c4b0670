package desk

import (
	"log/slog"
	"strconv"
	"testing"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"magnoliastall.example/magno"
	"magnoliastall.example/magno/gate"
	"magnoliastall.example/magno/view"
)

// fleet is a desk with so many agents that all answered a moment ago.
func fleet(n int) (*Client, *magno.Clock) {
	clock := magno.NewClock(magno.Hour)
	d := &Client{Clock: clock, Log: slog.New(slog.DiscardHandler), seats: map[string]*seat{}}
	for i := range n {
		r := &magno.Replica{ID: strconv.Itoa(i), Service: "s"}
		s := &seat{replica: r, asked: clock.Now(), heard: clock.Now(), lost: make(chan struct{}), hash: xxhash.Sum64String(r.Key())}
		s.status.Replica = r.Key()
		d.seats[r.Key()] = s
	}
	return d, clock
}

// asks tells which agents are asked at the next tick.
func asks(d *Client, clock *magno.Clock, key string) bool {
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
	d.OnBacklog = func(_, _ string, b magno.Backlog) { told = append(told, b) }
	status := d.seats[key].status
	status.Backlog.Warm = []uint32{magno.Ref{Adapter: "m/a"}.Hash()}
	d.heard(d.seats[key], &status, 0)
	d.ReportUnreachable(key)
	if !d.Holds(key, "m/a") {
		t.Fatal("an engine whose agent answers counts as gone")
	}
	for range deadAfter {
		d.missed(d.seats[key], errors.New("no answer"))
	}
	if !d.Holds(key, "m/a") {
		t.Fatal("an agent that is silent alone takes its engine away")
	}
	d.ReportUnreachable(key)
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
	status := gate.StatusReply{Replica: before, EngineStart: 100, Backlog: magno.Backlog{Warm: []uint32{magno.Ref{Adapter: "m/a"}.Hash()}}}
	d.heard(d.seats[before], &status, 0)
	if !d.Holds(before, "m/a") {
		t.Fatal("what the engine holds isn't known")
	}
	now := list(2, 200)
	if d.Holds(before, "m/a") || d.Holds(now, "m/a") || !d.Down(before) || d.Down(now) {
		t.Errorf("the one before holds %v, is down %v; this one holds %v, is down %v",
			d.Holds(before, "m/a"), d.Down(before), d.Holds(now, "m/a"), d.Down(now))
	}
	if _, err := d.Acquire(t.Context(), before, gate.Request{ID: "1"}); !errors.Is(err, ErrAgentLost) {
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
