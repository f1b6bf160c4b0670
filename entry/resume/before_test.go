package resume

import (
	"context"
	"encoding/json"
	"sync/atomic"
	"testing"

	"magnoliastall.example/magno/keeper"
	"magnoliastall.example/magno/origin"
	"magnoliastall.example/magno/wire"
)

// Guards against telling a keeper of the version before all records again, many times a second: it holds them,
// but doesn't exchange builds.
func TestKeeperOfTheVersionBeforeIsToldOnce(t *testing.T) {
	f := &fleet{}
	teller, before := f.newNode(t), &node{Manager: &Manager{Mesh: &wire.Mesh{Listen: "127.0.0.1:0"}}}
	if err := before.Mesh.Open(); err != nil {
		t.Fatal(err)
	}
	var messages atomic.Int64
	before.Mesh.Handle(keeper.MethodRecord, func(context.Context, *wire.Peer, json.RawMessage) (any, error) {
		messages.Add(1)
		return nil, nil
	})
	before.start(t, false)
	teller.Builds.Update(map[string][]string{service: {"v1", "v2"}})
	teller.Record("began", origin.Origin{Service: service, Build: "v1"})
	k := &told{}
	for range 20 {
		if n := teller.newNews(k, []string{service}); !n.isEmpty() {
			teller.send(context.Background(), before.Mesh.Addr(), k, n)
		}
	}
	// Twice, since the first connection isn't known before.
	if n := messages.Load(); n == 0 || n > 2 {
		t.Errorf("told %d times, want once or twice", n)
	}
	teller.clock.Advance(buildsInterval)
	if n := teller.newNews(k, []string{service}); n.builds == nil || len(n.batches) > 0 {
		t.Errorf("got %+v, want the builds alone, for it may have been replaced", n)
	}
}
