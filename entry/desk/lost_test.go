package desk

import (
	"log/slog"
	"strconv"
	"testing"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"magnoliastall.example/magno"
	"magnoliastall.example/magno/gate"
	"magnoliastall.example/magno/notice"
	"magnoliastall.example/magno/view"
)

// newFleet returns a client with n agents that all answered just now.
func newFleet(n int) (*Client, *magno.Clock) {
	clock := magno.NewClock(magno.Hour)
	client := &Client{Notices: &notice.Board{Clock: clock}, Clock: clock, Log: slog.New(slog.DiscardHandler), agents: map[string]*agentState{}}
	for i := range n {
		r := &magno.Replica{ID: strconv.Itoa(i), Service: "s"}
		s := &agentState{replica: r, polledAt: clock.Now(), heardAt: clock.Now(), lostCh: make(chan struct{}), hash: xxhash.Sum64String(r.Key())}
		s.status.Replica = r.Key()
		client.agents[r.Key()] = s
	}
	return client, clock
}

// polledNextTick advances the clock by one tick and reports whether the agent is polled.
func polledNextTick(client *Client, clock *magno.Clock, key string) bool {
	clock.Advance(pollInterval)
	asked := false
	for _, s := range client.due() {
		s.polling = false
		asked = asked || s.replica.Key() == key
	}
	return asked
}

// Guards against slow detection of a lost machine in a large fleet. Agents are polled about
// once a second there, and two polls must fail before an agent counts as lost; until then
// callers wait for its permits. The poll after a miss must follow at the next tick.
func TestAgentThatMissesIsAskedAtOnce(t *testing.T) {
	for _, n := range []int{4, 120, 1000} {
		client, clock := newFleet(n)
		const key = "1@0"
		polledNextTick(client, clock, key)
		client.recordMiss(client.agents[key], errors.New("no answer"))
		if !polledNextTick(client, clock, key) {
			t.Errorf("of %d agents, one that missed a poll isn't polled at the next tick", n)
		}
	}
}

// Guards against a permit call that waits for the agent's next regular poll, which may be a
// second away, when the agent's machine is gone.
func TestAgentWithPendingPermitIsPolledAtOnce(t *testing.T) {
	client, clock := newFleet(120)
	key := "7@0"
	sent := clock.Now() + 1
	clock.Advance(10)
	if polledNextTick(client, clock, key) {
		t.Fatal("the agent is polled at the next tick in any case")
	}
	client.pollSoon(client.agents[key], sent)
	if !polledNextTick(client, clock, key) {
		t.Error("an agent that doesn't answer a permit call isn't polled at the next tick")
	}
	client.agents[key].heardAt = clock.Now()
	client.pollSoon(client.agents[key], sent)
	if polledNextTick(client, clock, key) {
		t.Error("an agent that has answered since is polled again")
	}
}

// A machine with an engine loses power. Its agent is silent and connections to the engine fail,
// but its adapters still counted as loaded, so each request was sent there first and lost 400
// ms. After the first failure no request must be sent there until its agent answers again.
func TestUnreachedEngineHoldsNothing(t *testing.T) {
	client, clock := newFleet(2)
	key := "1@0"
	var told []magno.Backlog
	client.OnBacklog = func(_, _ string, b magno.Backlog) { told = append(told, b) }
	status := client.agents[key].status
	status.Backlog.Warm = []uint32{magno.Ref{Adapter: "m/a"}.Hash()}
	client.recordStatus(client.agents[key], &status, 0)
	client.ReportUnreachable(key)
	if !client.Holds(key, "m/a") {
		t.Fatal("an engine whose agent answers counts as unreachable")
	}
	for range maxMisses {
		client.recordMiss(client.agents[key], errors.New("no answer"))
	}
	if !client.Holds(key, "m/a") {
		t.Fatal("a silent agent alone makes its engine count as unreachable")
	}
	client.ReportUnreachable(key)
	if client.Holds(key, "m/a") || !told[len(told)-1].Down {
		t.Errorf("the unreachable engine still counts, reported %+v", told)
	}
	clock.Advance(pollInterval)
	client.recordStatus(client.agents[key], &status, 0)
	if !client.Holds(key, "m/a") || told[len(told)-1].Down {
		t.Errorf("the agent is back but the engine doesn't count, reported %+v", told)
	}
}

// Guards against a replica that restarts under the same ID and is assumed to hold what its
// previous incarnation held.
func TestWorkerThatStartsAgainHoldsNothing(t *testing.T) {
	client, clock := newFleet(0)
	client.Book = &view.Store{Clock: clock}
	list := func(revision magno.Revision, born magno.Millis) string {
		r := &magno.Replica{ID: "r", StartedAt: born, Service: "s", Address: "127.0.0.1:1", DataCentre: "x", Slots: 1}
		client.Book.ApplyRead([]magno.Change{
			{Key: "plan", Revision: revision, Plan: &magno.Plan{Version: 1, Services: []magno.Service{{Name: "s", Engine: &magno.Engine{Batch: 1}}}}},
			{Key: "servers/r", Revision: revision, Replica: r},
		}, revision, true)
		client.syncAgents()
		return r.Key()
	}
	before := list(1, 100)
	status := gate.StatusReply{Replica: before, EngineStart: 100, Backlog: magno.Backlog{Warm: []uint32{magno.Ref{Adapter: "m/a"}.Hash()}}}
	client.recordStatus(client.agents[before], &status, 0)
	if !client.Holds(before, "m/a") {
		t.Fatal("the engine's reported adapter isn't known")
	}
	now := list(2, 200)
	if client.Holds(before, "m/a") || client.Holds(now, "m/a") || !client.Down(before) || client.Down(now) {
		t.Errorf("previous incarnation: holds %v, down %v; current one: holds %v, down %v",
			client.Holds(before, "m/a"), client.Down(before), client.Holds(now, "m/a"), client.Down(now))
	}
	if _, err := client.Acquire(t.Context(), before, gate.Request{ID: "1"}); !errors.Is(err, ErrAgentLost) {
		t.Errorf("a permit call for the previous incarnation ended with %v", err)
	}
}

// Guards against an engine of a large fleet that counts as empty between two polls of its
// agent, or as soon as the agent fails to answer.
func TestAgentAskedSeldomIsNotForgotten(t *testing.T) {
	client, clock := newFleet(3000)
	const key = "1@0"
	s := client.agents[key]
	status := gate.StatusReply{Replica: key, Backlog: magno.Backlog{Warm: []uint32{magno.Ref{Adapter: "m/a"}.Hash()}}}
	client.recordStatus(s, &status, 0)
	clock.Advance(maxCalmInterval)
	if !client.Holds(key, "m/a") {
		t.Fatal("the engine's state is dropped between two polls")
	}
	for range maxMisses {
		client.recordMiss(s, errors.New("no answer"))
	}
	if !client.Holds(key, "m/a") {
		t.Error("the engine's state is dropped as soon as the agent is silent")
	}
	clock.Advance(heldRetention + 1)
	if client.Holds(key, "m/a") {
		t.Error("the engine's state is kept for longer than heldRetention")
	}
}
