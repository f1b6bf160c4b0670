package wire

import (
	"context"
	"encoding/json"
	"sync/atomic"
	"testing"

	"magnoliastall.example/magno"
)

// costly counts how often it is encoded.
type costly struct{ encoded atomic.Int32 }

// MarshalJSON implements json.Marshaler.
func (c *costly) MarshalJSON() ([]byte, error) {
	c.encoded.Add(1)
	return []byte(`"word"`), nil
}

// Guards against a message to all others that a process encodes anew for each of them.
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
	lost := gone.Addr()
	gone.close()
	client := start(t, &Mesh{})
	c := &costly{}
	failed := make(chan string, peers+1)
	err := client.Broadcast(wait(t), append(addrs, lost), "word", magno.Minute, c, func(addr string, _ error) { failed <- addr })
	if err != nil {
		t.Fatal(err)
	}
	for range peers {
		if text := <-got; text != "word" {
			t.Errorf("a peer got %q", text)
		}
	}
	if addr := <-failed; addr != lost || len(failed) > 0 {
		t.Errorf("%s wasn't reached, and %d more", addr, len(failed))
	}
	if n := c.encoded.Load(); n != 1 {
		t.Errorf("encoded %d times", n)
	}
}

// Guards against a broadcast that no peer can take and that all are sent all the same.
func TestBroadcastOverTheLimitIsNotSent(t *testing.T) {
	client := start(t, &Mesh{})
	err := client.Broadcast(wait(t), []string{"127.0.0.1:1"}, "word", magno.Minute, make([]byte, maxMessage), func(string, error) {
		t.Error("it was sent")
	})
	if !TooLarge(err) {
		t.Errorf("got %v", err)
	}
}
