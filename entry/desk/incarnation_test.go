package desk

import (
	"context"
	"log/slog"
	"strconv"
	"sync"
	"testing"

	"github.com/cockroachdb/errors"

	"magnoliastall.example/magno"
	"magnoliastall.example/magno/gate"
	"magnoliastall.example/magno/notice"
	"magnoliastall.example/magno/view"
)

// calls records what a client reports.
type calls struct {
	mu      sync.Mutex
	fetched []magno.Revision
	down    map[string]bool
	usable  int
}

// record makes a client report to the result. The client's agents must not be polled yet.
func record(client *Client) *calls {
	c := &calls{down: map[string]bool{}}
	client.FetchRevision = func(r magno.Revision) {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.fetched = append(c.fetched, r)
	}
	client.OnBacklog = func(_, key string, b magno.Backlog) {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.down[key] = b.Down
	}
	client.OnUsable = func(string) {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.usable++
	}
	return c
}

// status returns an agent's status.
func status(replica string, revision magno.Revision) *gate.StatusReply {
	return &gate.StatusReply{Replica: replica, Revision: revision}
}

// lose makes an agent count as lost.
func lose(client *Client, s *agentState) {
	for range maxMisses {
		client.recordMiss(s, errors.New("no answer"))
	}
}

// expectPolls fails unless an agent is polled at each of the next ticks.
func expectPolls(t *testing.T, client *Client, clock *magno.Clock, key string) {
	t.Helper()
	for range 5 {
		if !polledNextTick(client, clock, key) {
			t.Fatal("the agent isn't polled")
		}
	}
}

// Guards against refusals by an agent that restarted since it was last polled: it has no spec, and the
// entry believes that it has. The same request must be asked for again with the spec.
func TestPermitOfRestartedAgentIsAskedForAgainWithItsSpec(t *testing.T) {
	a := &fakeAgent{strict: true}
	client, _ := startClient(t, a)
	waitFor(t, "the agent", client.hasStatus)
	for i := range 20 {
		a.mu.Lock()
		a.status = gate.StatusReply{}
		a.mu.Unlock()
		reply, err := client.Acquire(context.Background(), key, gate.Request{ID: strconv.Itoa(i)})
		if err != nil || reply.Refusal != nil {
			t.Fatalf("request %d got %+v, %v", i, reply, err)
		}
	}
}

// Guards against requests that are still sent to an agent which has the spec of a later incarnation: the
// changes must be fetched, and the replica reported as down to the router, until the list changes.
func TestLaterIncarnationIsReported(t *testing.T) {
	for _, c := range []struct {
		name     string
		replica  string
		revision magno.Revision
		fetched  bool
		down     bool
	}{
		{"a later incarnation that a newer list names", "r@9", 9, true, true},
		{"an earlier spec", "r@9", 0, false, false},
		{"no spec", "", 0, false, false},
		{"the listed incarnation", key, 9, false, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			client, _ := newListedClient(t)
			got := record(client)
			client.recordStatus(client.agents[key], status(c.replica, c.revision), 0)
			if (len(got.fetched) > 0) != c.fetched || got.down[key] != c.down || client.Down(key) != c.down {
				t.Errorf("fetched %v, reported down %t, down %t", got.fetched, got.down[key], client.Down(key))
			}
		})
	}
}

// Guards against requests that keep waiting although an engine is usable again.
func TestUsableEngineIsReportedOnce(t *testing.T) {
	client, clock := newListedClient(t)
	got := record(client)
	s := client.agents[key]
	for _, step := range []struct {
		name   string
		status *gate.StatusReply
		usable int
	}{
		{"first status", status(key, 1), 1},
		{"the same", status(key, 1), 1},
		{"down", &gate.StatusReply{Replica: key, Revision: 1, Down: true}, 1},
		{"up", status(key, 1), 2},
		{"without a spec", status("", 0), 2},
		{"with its spec", status(key, 1), 3},
	} {
		clock.Advance(pollInterval)
		client.recordStatus(s, step.status, 0)
		if got.usable != step.usable {
			t.Errorf("%s: reported %d times, want %d", step.name, got.usable, step.usable)
		}
	}
	lose(client, s)
	client.recordStatus(s, status(key, 1), 0)
	if got.usable != 4 {
		t.Errorf("an agent that is back was reported %d times in total, want 4", got.usable)
	}
}

// Guards against routers that choose engines whose agents never answered before usable ones. An engine
// whose agent answered before may still serve what it holds.
func TestAgentThatNeverAnsweredIsReportedAsDown(t *testing.T) {
	for _, answered := range []bool{false, true} {
		client, _ := newListedClient(t)
		got := record(client)
		s := client.agents[key]
		if answered {
			client.recordStatus(s, status(key, 1), 0)
		}
		lose(client, s)
		if got.down[key] == answered {
			t.Errorf("answered before: %t, reported as down: %t", answered, got.down[key])
		}
		client.recordStatus(s, status(key, 1), 0)
		if got.down[key] {
			t.Error("reported as down although it answers")
		}
	}
}

// Guards against a replica that was listed a moment ago and counts as unknown until the next poll:
// requests for it would be refused.
func TestPermitForReplicaListedJustNow(t *testing.T) {
	client, _ := newListedClient(t)
	next := &magno.Replica{ID: "r", StartedAt: 5, Service: "s", Address: "127.0.0.1:1", DataCentre: "x", Slots: 1}
	client.Book.ApplyRead([]magno.Change{{Key: "r", Revision: 2, Replica: next}}, 2, false)
	if s, call := client.prepareCall(next.Key(), gate.Request{}); s == nil || call.Spec == nil || call.Revision != 2 {
		t.Errorf("got %v, %+v", s, call)
	}
	if s, _ := client.prepareCall(key, gate.Request{}); s != nil {
		t.Error("the incarnation that is no longer listed is asked")
	}
}

// Guards against agents that are dropped with their state because two tasks follow the list at once, and
// the one with the older copy comes last: a permit of such an agent would not be released.
func TestAgentsFollowTheListFromSeveralTasks(t *testing.T) {
	client, _ := newListedClient(t)
	const incarnations = 2000
	var tasks sync.WaitGroup
	done := make(chan struct{})
	for range 4 {
		tasks.Go(func() {
			for {
				select {
				case <-done:
					return
				default:
					client.findAgent("unknown")
				}
			}
		})
	}
	dropped := 0
	for i := range magno.Millis(incarnations) {
		next := &magno.Replica{ID: "r", StartedAt: i + 1, Service: "s", Address: "127.0.0.1:1", DataCentre: "x", Slots: 1}
		client.Book.ApplyRead([]magno.Change{{Key: "r", Revision: magno.Revision(i + 2), Replica: next}}, magno.Revision(i+2), false)
		first := client.findAgent(next.Key())
		for range 20 {
			if client.findAgent(next.Key()) != first {
				dropped++
				break
			}
		}
	}
	close(done)
	tasks.Wait()
	if dropped > 0 {
		t.Errorf("the agents of %d of %d incarnations were dropped", dropped, incarnations)
	}
}

// Guards against an agent that counts as lost for over half a second after its machine is back, and as
// long requests aren't sent there: it must be polled at each tick for a while.
func TestAgentThatWasLostJustNowIsPolledAtEachTick(t *testing.T) {
	client, clock := newFleet(120)
	const key = "7@0"
	s := client.agents[key]
	lose(client, s)
	expectPolls(t, client, clock, key)
	if !s.lost {
		t.Error("the agent doesn't count as lost")
	}
}

// Guards against an engine of a large fleet that is back for half a second before a request is sent to
// it: while it may come back soon, its agent must be polled at each tick.
func TestEngineThatWentDownJustNowIsPolledAtEachTick(t *testing.T) {
	client, clock := newFleet(120)
	const key = "7@0"
	s := client.agents[key]
	client.recordStatus(s, &gate.StatusReply{Replica: key, Down: true}, 0)
	expectPolls(t, client, clock, key)
	clock.Advance(recoveryTime)
	client.recordStatus(s, &gate.StatusReply{Replica: key, Down: true}, 0)
	s.polledAt = clock.Now()
	if polledNextTick(client, clock, key) {
		t.Error("the agent of an engine that is down for long is polled at each tick")
	}
}

// Guards against an agent that counts as lost for over a second after it is back: another entry
// forwards its status, so it must be polled at the next tick.
func TestLostAgentThatAnswersAnotherEntryIsPolledAtOnce(t *testing.T) {
	client, clock := newFleet(120)
	const key = "7@0"
	s := client.agents[key]
	lose(client, s)
	clock.Advance(recoveryTime)
	s.polledAt = clock.Now()
	if polledNextTick(client, clock, key) {
		t.Fatal("an agent that was lost long ago is polled at each tick")
	}
	client.recordForwarded(status(key, 1))
	if !polledNextTick(client, clock, key) {
		t.Error("the agent isn't polled although it answers another entry")
	}
	if !s.lost {
		t.Error("a forwarded status counts as an answer to this entry")
	}
}

// newListedClient returns a client that isn't running and knows one agent, of the replica with key.
func newListedClient(t *testing.T) (*Client, *magno.Clock) {
	t.Helper()
	clock := magno.NewClock(magno.Hour)
	book := &view.Store{Clock: clock}
	book.ApplyRead([]magno.Change{
		{Key: "plan", Revision: 1, Plan: &magno.Plan{Version: 1, Services: []magno.Service{{Name: "s", Engine: &magno.Engine{Batch: 1}}}}},
		{Key: "r", Revision: 1, Replica: &magno.Replica{ID: "r", Service: "s", Address: "127.0.0.1:1", DataCentre: "x", Slots: 1}},
	}, 1, true)
	client := &Client{Notices: &notice.Board{Clock: clock}, Book: book, Clock: clock, Log: slog.New(slog.DiscardHandler), AgentPort: 1}
	client.syncAgents()
	return client, clock
}
