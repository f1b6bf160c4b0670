package wire

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"magnoliastall.example/magno"
)

// start runs a mesh on a free port until the test ends.
func start(t *testing.T, m *Mesh) *Mesh {
	t.Helper()
	m.Listen = "127.0.0.1:0"
	if err := m.Open(); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- m.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	return m
}

// testContext ends after a minute, so that a call without a reply fails the test.
func testContext(t *testing.T) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	t.Cleanup(cancel)
	return ctx
}

func TestCallAndParts(t *testing.T) {
	server := &Mesh{}
	server.Handle("count", func(ctx context.Context, peer *Peer, params json.RawMessage) (any, error) {
		var n int
		if err := json.Unmarshal(params, &n); err != nil {
			return nil, err
		}
		for i := range n {
			if err := peer.Notify(ctx, "part", i); err != nil {
				return nil, err
			}
		}
		return n, nil
	})
	start(t, server)
	client := start(t, &Mesh{})
	var got []int
	var total int
	err := client.CallStream(testContext(t), server.Addr(), "count", 500, &total, func(_ string, p json.RawMessage) {
		var i int
		_ = json.Unmarshal(p, &i)
		got = append(got, i)
	})
	if err != nil || total != 500 || len(got) != 500 {
		t.Fatalf("err %v, total %d, %d parts", err, total, len(got))
	}
	for i, n := range got {
		if n != i {
			t.Fatalf("part %d is at index %d", n, i)
		}
	}
}

// Guards against a refusal by a peer that reaches the caller with another kind, run
// state, retry time or field, and thereby gives a user wrong information.
func TestRefusalReachesCaller(t *testing.T) {
	server := &Mesh{}
	server.Handle("run", func(context.Context, *Peer, json.RawMessage) (any, error) {
		return nil, magno.Refuse(magno.KindBusy, "full").WithRetryAfter(700).WithField("x")
	})
	server.Handle("fault", func(context.Context, *Peer, json.RawMessage) (any, error) {
		return nil, errors.New("boom")
	})
	start(t, server)
	client := start(t, &Mesh{})
	var refusal *magno.Refusal
	err := client.Call(testContext(t), server.Addr(), "run", nil, nil)
	if !errors.As(err, &refusal) || refusal.Kind != magno.KindBusy || refusal.After != 700 ||
		refusal.Run != magno.RunNo || refusal.Field != "x" {
		t.Fatalf("got %v", err)
	}
	err = client.Call(testContext(t), server.Addr(), "fault", nil, nil)
	if !errors.As(err, &refusal) || refusal.Kind != magno.KindInternal || refusal.Run != magno.RunUnknown {
		t.Fatalf("got %v", err)
	}
	err = client.Call(testContext(t), server.Addr(), "nothing", nil, nil)
	if !errors.As(err, &refusal) || refusal.Run != magno.RunNo {
		t.Fatalf("got %v", err)
	}
}

// If a peer dies during a call, the call may have run, so the error must not be
// NotSent. A call to a port without a listener has certainly not run and can be
// sent to another peer.
func TestBrokenCallIsUnknown(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		buf := make([]byte, 4096)
		_, _ = conn.Read(buf)
		_ = conn.Close()
		_ = l.Close()
	}()
	client := start(t, &Mesh{})
	err = client.Call(testContext(t), l.Addr().String(), "run", "x", nil)
	var broken *Error
	if !errors.As(err, &broken) || !broken.Sent || NotSent(err) {
		t.Fatalf("got %v", err)
	}
	for !NotSent(client.Call(testContext(t), l.Addr().String(), "run", "x", nil)) {
		// The listener closes a moment after the connection.
		time.Sleep(time.Millisecond)
	}
}

// A peer that is not allowed must be unable to run any method, and must get a
// refusal that says why.
func TestDenied(t *testing.T) {
	var ran atomic.Bool
	server := &Mesh{Allow: []string{"10.1.0.0/16"}}
	server.Handle("run", func(context.Context, *Peer, json.RawMessage) (any, error) {
		ran.Store(true)
		return nil, nil
	})
	start(t, server)
	client := start(t, &Mesh{})
	var refusal *magno.Refusal
	err := client.Call(testContext(t), server.Addr(), "run", nil, nil)
	if !errors.As(err, &refusal) || refusal.Kind != magno.KindDenied || ran.Load() {
		t.Fatalf("got %v, handler ran: %v", err, ran.Load())
	}
}

// A message over the size limit must be an error for its sender, and must not
// increase the memory of the receiver.
func TestTooLarge(t *testing.T) {
	server := &Mesh{}
	server.Handle("run", func(context.Context, *Peer, json.RawMessage) (any, error) {
		return strings.Repeat("y", maxMessageSize+1), nil
	})
	start(t, server)
	client := start(t, &Mesh{})
	if err := client.Call(testContext(t), server.Addr(), "run", strings.Repeat("x", maxMessageSize+1), nil); !NotSent(err) {
		t.Fatalf("got %v", err)
	}
	var refusal *magno.Refusal
	if err := client.Call(testContext(t), server.Addr(), "run", "x", nil); !errors.As(err, &refusal) {
		t.Fatalf("got %v", err)
	}
	raw, err := net.Dial("tcp", server.Addr())
	if err != nil {
		t.Fatal(err)
	}
	defer raw.Close()
	_, _ = raw.Write([]byte("Content-Length: 4000000000\r\n\r\n\""))
	chunk := []byte(strings.Repeat("x", 1<<16))
	for range maxMessageSize/len(chunk) + 64 {
		if _, err := raw.Write(chunk); err != nil {
			return
		}
	}
	_ = raw.SetReadDeadline(time.Now().Add(time.Minute))
	if _, err := raw.Read(chunk); err == nil {
		t.Fatal("the connection is still open")
	} else if errors.Is(err, os.ErrDeadlineExceeded) {
		t.Fatal("the connection is still open")
	}
}

// A process that calls many peers in turn must not keep a connection to each, and
// must not close one in use for another.
func TestCacheIsBounded(t *testing.T) {
	client := &Mesh{MaxConns: 2}
	hold := make(chan struct{})
	servers := make([]*Mesh, 0, 4)
	for range 4 {
		s := &Mesh{}
		s.Handle("run", func(context.Context, *Peer, json.RawMessage) (any, error) { return 1, nil })
		s.Handle("hold", func(context.Context, *Peer, json.RawMessage) (any, error) { <-hold; return 1, nil })
		servers = append(servers, start(t, s))
	}
	start(t, client)
	held := make(chan error, 1)
	go func() { held <- client.Call(testContext(t), servers[0].Addr(), "hold", nil, nil) }()
	for range 3 {
		for _, s := range servers[1:] {
			if err := client.Call(testContext(t), s.Addr(), "run", nil, nil); err != nil {
				t.Fatal(err)
			}
		}
	}
	client.mu.Lock()
	n := len(client.outgoing)
	client.mu.Unlock()
	if n > 2 {
		t.Fatalf("%d connections are open, want at most 2", n)
	}
	close(hold)
	if err := <-held; err != nil {
		t.Fatal(err)
	}
}

// Guards against a stream that counts as complete because its reply arrived,
// although parts were dropped since the caller read them too slowly.
func TestLostPartsFailTheStream(t *testing.T) {
	server, sent := &Mesh{}, make(chan struct{})
	server.Handle("flood", func(ctx context.Context, peer *Peer, _ json.RawMessage) (any, error) {
		for i := range maxBufferedParts + 10 {
			if err := peer.Notify(ctx, "part", i); err != nil {
				return nil, err
			}
		}
		sent <- struct{}{}
		return "whole", nil
	})
	start(t, server)
	client := start(t, &Mesh{})
	ctx := testContext(t)
	for round := range 50 {
		first := true
		err := client.CallStream(ctx, server.Addr(), "flood", nil, nil, func(string, json.RawMessage) {
			if !first {
				return
			}
			first = false
			<-sent
			// This reply comes after all parts, at about the time of that of flood.
			if err := client.Call(ctx, server.Addr(), "none", nil, nil); NotSent(err) {
				t.Error(err)
			}
		})
		if !SlowConsumer(err) {
			t.Fatalf("round %d: %v", round, err)
		}
	}
}
