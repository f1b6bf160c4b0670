package desk

import (
	"context"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"magnoliastall.example/magno"
	"magnoliastall.example/magno/gate"
)

// removals are changes of the list after which requests are no longer sent to the engine.
var removals = map[string]magno.Change{
	"its service leaves the configuration": {Key: "plan", Revision: 2, Plan: &magno.Plan{Version: 2}},
	"it leaves the list":                   {Key: "r", Revision: 2, Deleted: true},
}

// Guards against places that stay taken at an engine until their requests' deadlines: it is removed while its permits
// are held, and their ends must still be reported.
func TestEndsAreReportedToRemovedAgents(t *testing.T) {
	for name, change := range removals {
		t.Run(name, func(t *testing.T) {
			a := &fakeAgent{}
			client, _ := startClient(t, a)
			waitFor(t, "the agent's state", client.hasStatus)
			if _, err := client.Acquire(context.Background(), key, gate.Request{ID: "1"}); err != nil {
				t.Fatal(err)
			}
			client.Book.ApplyRead([]magno.Change{change}, 2, false)
			waitFor(t, "the removal", func() bool { return !client.hasStatus() })
			client.Release(key, gate.EndCall{ID: "1", OK: true})
			waitFor(t, "the end of the request", func() bool {
				a.mu.Lock()
				defer a.mu.Unlock()
				return len(a.releases) == 1 && a.releases[0].ID == "1"
			})
		})
	}
}

// Guards against a request that waits for its permit until its deadline: its engine was removed meanwhile, so that
// nobody notices that the agent is lost, and a permit would be of no use.
func TestRemovalOfAnAgentEndsTheWait(t *testing.T) {
	for name, change := range removals {
		t.Run(name, func(t *testing.T) {
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
			client.Book.ApplyRead([]magno.Change{change}, 2, false)
			if err := <-got; !errors.Is(err, ErrAgentLost) || ctx.Err() != nil {
				t.Fatalf("got %v, want ErrAgentLost before the deadline", err)
			}
		})
	}
}
