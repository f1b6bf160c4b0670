package relay

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"magnoliastall.example/magno"
)

// Guards against a connection whose deadline is set in the past after it has gone back to the pool: a
// caller leaves at the very end of its response, and the next request over the connection would lose
// its answer, though it ran. A deadline of the last request must not stay either.
func TestConnectionOfACallerThatLeavesAtTheEnd(t *testing.T) {
	u := startUpstream(t, func(_ int, _ *http.Request, _ net.Conn) bool { return true })
	for name, left := range map[string]bool{"stays": false, "leaves": true} {
		t.Run(name, func(t *testing.T) {
			s := newTestProxy(t, magno.RouteStream, false, u)
			conn, err := s.Conns.Get(t.Context(), "u0@0", u.addr)
			if err != nil {
				t.Fatal(err)
			}
			ctx, leave := context.WithCancel(context.Background())
			defer leave()
			if err := conn.SetReadDeadline(time.Unix(pastDeadline, 0)); err != nil {
				t.Fatal(err)
			}
			aborted := make(chan struct{})
			j := &job{Handler: s.Handler, stopAbort: context.AfterFunc(ctx, func() { close(aborted) })}
			if left {
				leave()
				<-aborted
			}
			j.putConn(conn, &http.Response{Header: http.Header{}})
			again, err := s.Conns.Get(t.Context(), "u0@0", u.addr)
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = again.Close() }()
			if again.Reused == left {
				t.Errorf("the connection is reused: %t", again.Reused)
			}
			if left {
				return
			}
			_ = again.SetWriteDeadline(time.Time{})
			read := make(chan error, 1)
			go func() {
				_, err := again.Read(make([]byte, 1))
				read <- err
			}()
			select {
			case err := <-read:
				t.Errorf("the old deadline is in force: %v", err)
			case <-time.After(20 * time.Millisecond):
			}
		})
	}
}
