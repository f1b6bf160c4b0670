package wire

import (
	"errors"
	"io"
	"net"
	"testing"
	"time"

	"magnoliastall.example/magno"
)

// Guards against a machine that is not an allowed peer and opens so many connections
// that none are left for allowed peers, which stops calls between healthy processes.
func TestDeniedConnectionsAreBounded(t *testing.T) {
	server := start(t, &Mesh{Allow: []string{"10.1.0.0/16"}})
	closed := make(chan struct{}, 2*maxDenied)
	for range 2 * maxDenied {
		conn, err := net.Dial("tcp", server.Addr())
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		go func() {
			_ = conn.SetReadDeadline(time.Now().Add(time.Minute))
			if _, err := conn.Read(make([]byte, 1)); errors.Is(err, io.EOF) {
				closed <- struct{}{}
			}
		}()
	}
	for range maxDenied {
		<-closed
	}
	server.mu.Lock()
	kept := server.denied
	server.mu.Unlock()
	if kept > maxDenied {
		t.Errorf("%d denied connections are open", kept)
	}
	if err := server.SetAllow(nil); err != nil {
		t.Fatal(err)
	}
	var refusal *magno.Refusal
	err := start(t, &Mesh{}).Call(testContext(t), server.Addr(), "none", nil, nil)
	if !errors.As(err, &refusal) || refusal.Kind != magno.KindInternal {
		t.Errorf("an allowed peer got %v, want kind internal", err)
	}
}

// Guards against a connection that stays open for calls after a write failed in the
// middle of a message, after which the peer can't decode anything.
func TestFailedWriteCloses(t *testing.T) {
	near, far := net.Pipe()
	defer far.Close()
	b := &limitedConn{Conn: near}
	_ = near.SetWriteDeadline(time.Now())
	if _, err := b.Write([]byte("x")); err == nil {
		t.Fatal("a write past its deadline succeeded")
	}
	if _, err := far.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Errorf("the connection is still open: %v", err)
	}
}
