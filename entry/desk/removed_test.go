package desk

import (
	"context"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"magnoliastall.example/magno"
	"magnoliastall.example/magno/gate"
)

// delisted takes the engine off the list, unconfigured its service out of the configuration.
var (
	delisted     = magno.Change{Key: "r", Revision: 2, Deleted: true}
	unconfigured = magno.Change{Key: "plan", Revision: 2, Plan: &magno.Plan{Version: 2}}
)

// Guards against places that stay taken at an engine until their requests' deadlines: it is removed while its permits
// are held, and their ends must still be reported.
func TestEndsAreReportedToRemovedAgents(t *testing.T) {
	for name, change := range map[string]magno.Change{"off the list": delisted, "service not configured": unconfigured} {
		t.Run(name, func(t *testing.T) {
			a := &fakeAgent{}
			client, _ := startClient(t, a)
			waitFor(t, "the agent's state", client.hasStatus)
			if _, err := client.Acquire(context.Background(), key, gate.Request{ID: "1"}); err != nil {
				t.Fatal(err)
			}
			client.Book.ApplyRead([]magno.Change{change}, 2, false)
			client.syncAgents()
			client.Release(key, gate.EndCall{ID: "1", OK: true})
			waitFor(t, "the end of the request", func() bool {
				a.mu.Lock()
				defer a.mu.Unlock()
				return len(a.releases) == 1 && a.releases[0].ID == "1"
			})
		})
	}
}

// Guards against a request that waits for its permit until its deadline: its engine left the list meanwhile, so that
// nobody notices that the agent is lost, and a permit would be of no use.
func TestRemovalOfAnAgentEndsTheWait(t *testing.T) {
	a := &fakeAgent{holdPermits: true}
	client, _ := startClient(t, a)
	waitFor(t, "the agent's state", client.hasStatus)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	got := make(chan error, 1)
	go func() {
		_, err := client.Acquire(ctx, key, gate.Request{ID: "1"})
		got <- err
	}()
	waitFor(t, "the permit call", func() bool {
		client.mu.Lock()
		defer client.mu.Unlock()
		return client.agents[key].usedAt > 0
	})
	client.Book.ApplyRead([]magno.Change{delisted}, 2, false)
	if err := <-got; !errors.Is(err, ErrAgentLost) || ctx.Err() != nil {
		t.Fatalf("got %v, want ErrAgentLost before the deadline", err)
	}
}

// Guards against a refusal of requests in progress, because their service left the configuration, by engines that
// would still take them. Their agents must be watched all the while.
func TestAgentStaysWhileItsEngineIsListed(t *testing.T) {
	a := &fakeAgent{}
	client, _ := startClient(t, a)
	waitFor(t, "the agent's state", client.hasStatus)
	client.Book.ApplyRead([]magno.Change{unconfigured}, 2, false)
	client.syncAgents()
	if _, err := client.Acquire(context.Background(), key, gate.Request{ID: "1"}); err != nil {
		t.Errorf("got %v, want a permit", err)
	}
	a.mu.Lock()
	polls := a.polls
	a.mu.Unlock()
	waitFor(t, "a poll", func() bool {
		a.mu.Lock()
		defer a.mu.Unlock()
		return a.polls > polls
	})
}

// Guards against a permit that is waited for at a removed engine, since a late answer to a poll revived its agent.
func TestLateAnswerDoesNotReviveARemovedAgent(t *testing.T) {
	a := &fakeAgent{}
	client, _ := startClient(t, a)
	waitFor(t, "the agent's state", client.hasStatus)
	client.mu.Lock()
	s := client.agents[key]
	status := s.status
	client.mu.Unlock()
	client.Book.ApplyRead([]magno.Change{delisted}, 2, false)
	client.syncAgents()
	client.recordStatus(s, &status, 0)
	client.mu.Lock()
	lostCh := s.lostCh
	client.mu.Unlock()
	select {
	case <-lostCh:
	default:
		t.Error("permits are waited for at an engine that was removed")
	}
}
