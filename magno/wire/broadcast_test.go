package wire

import (
	"context"
	"encoding/json"
	"sync/atomic"
	"testing"

	"magnoliastall.example/magno"
)

// payload counts how often it is encoded.
type payload struct{ encoded atomic.Int32 }

// MarshalJSON implements json.Marshaler.
func (c *payload) MarshalJSON() ([]byte, error) {
	c.encoded.Add(1)
	return []byte(`"word"`), nil
}

// Guards against a broadcast that is encoded again for each peer.
func TestBroadcastIsEncodedOnce(t *testing.T) {
	const peers = 5
	got := make(chan string, peers)
	var addrs []string
	for range peers {
		server := &Mesh{}
		server.Handle("word", func(_ context.Context, _ *Peer, params json.RawMessage) (any, error) {
			var text string
			err := json.Unmarshal(params, &text)
			got <- text
			return nil, err
		})
		addrs = append(addrs, start(t, server).Addr())
	}
	gone := start(t, &Mesh{})
	unreachable := gone.Addr()
	gone.close()
	client := start(t, &Mesh{})
	c := &payload{}
	failed := make(chan string, peers+1)
	err := client.Broadcast(testContext(t), append(addrs, unreachable), "word", magno.Minute, c, func(addr string, _ error) { failed <- addr })
	if err != nil {
		t.Fatal(err)
	}
	for range peers {
		if text := <-got; text != "word" {
			t.Errorf("a peer received %q", text)
		}
	}
	if addr := <-failed; addr != unreachable || len(failed) > 0 {
		t.Errorf("failed for %s and %d more, want only the closed peer", addr, len(failed))
	}
	if n := c.encoded.Load(); n != 1 {
		t.Errorf("encoded %d times", n)
	}
}

// Guards against a broadcast over the size limit that is sent although every peer
// would reject it.
func TestBroadcastOverTheLimitIsNotSent(t *testing.T) {
	client := start(t, &Mesh{})
	err := client.Broadcast(testContext(t), []string{"127.0.0.1:1"}, "word", magno.Minute, make([]byte, maxMessageSize), func(string, error) {
		t.Error("failed was called, so the message was sent")
	})
	if !TooLarge(err) {
		t.Errorf("got %v, want an error for the size limit", err)
	}
}
