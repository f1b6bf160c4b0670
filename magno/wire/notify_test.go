package wire

import (
	"context"
	"errors"
	"net"
	"strings"
	"sync"
	"testing"
	"time"
)

// Guards against notifications to a peer that doesn't read which wait, each in a goroutine with its message, for
// as long as the connection lasts.
func TestNotificationsToAPeerThatDoesNotRead(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	accepted := make(chan net.Conn, 1)
	go func() {
		if conn, err := listener.Accept(); err == nil {
			accepted <- conn
		}
	}()
	m := start(t, &Mesh{})
	const notifications = 200
	payload := strings.Repeat("x", 1<<20)
	failures := make(chan error, notifications)
	ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
	defer cancel()
	var pending sync.WaitGroup
	for range notifications {
		pending.Go(func() {
			if err := m.Notify(ctx, listener.Addr().String(), "m", payload); err != nil {
				failures <- err
			}
		})
	}
	<-ctx.Done()
	// All have ended but those that the kernel buffers and the one that is being written.
	for range notifications - maxBuffered {
		if err := <-failures; !errors.Is(err, context.DeadlineExceeded) {
			t.Fatalf("got %v, want the end of its context", err)
		}
	}
	_ = (<-accepted).Close()
	pending.Wait()
}

// maxBuffered bounds the notifications of a megabyte that the kernel buffers, and the one that is being written.
const maxBuffered = 16

// Guards against messages that are taken for received, though the connection over which they were sent broke.
func TestConnectionTellsConnectionsApart(t *testing.T) {
	called := make(chan net.Conn, 2)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	go func() {
		for conn, err := listener.Accept(); err == nil; conn, err = listener.Accept() {
			called <- conn
		}
	}()
	m, addr := start(t, &Mesh{}), listener.Addr().String()
	notify := func() uint64 {
		if err := m.Notify(t.Context(), addr, "m", nil); err != nil {
			t.Fatal(err)
		}
		return m.Connection(addr)
	}
	if n := m.Connection(addr); n != 0 {
		t.Errorf("got connection %d before the first message", n)
	}
	first := notify()
	if again := notify(); first == 0 || again != first {
		t.Errorf("got connections %d and %d, want one", first, again)
	}
	_ = (<-called).Close()
	for m.Connection(addr) != 0 {
		time.Sleep(time.Millisecond)
	}
	if next := notify(); next == 0 || next == first {
		t.Errorf("got connection %d after %d broke, want another one", next, first)
	}
	_ = (<-called).Close()
}
