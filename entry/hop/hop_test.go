package hop

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"magnoliastall.example/magno"
)

// newIdleConn returns a pool with one idle connection, and the upstream's end of it.
func newIdleConn(t *testing.T, header string) (*Pool, *Conn, net.Conn, string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	p := &Pool{Clock: magno.NewClock(magno.Hour)}
	c, err := p.Get(t.Context(), "u", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	upstream, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = upstream.Close() })
	p.Put(c, &http.Response{Header: http.Header{"Keep-Alive": {header}}})
	return p, c, upstream, l.Addr().String()
}

// reusesConn reports whether the next request would use the idle connection.
func reusesConn(t *testing.T, p *Pool, addr string) bool {
	t.Helper()
	c, err := p.Get(t.Context(), "u", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return c.Reused
}

// waitUnusable waits until the effect of the upstream's action has arrived.
func waitUnusable(t *testing.T, c *Conn) {
	t.Helper()
	for end := time.Now().Add(time.Minute); reusable(c.Conn); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("timed out waiting for the connection to become unusable")
		}
	}
}

func TestIdleConnectionIsUsedAgain(t *testing.T) {
	p, _, _, addr := newIdleConn(t, "")
	if !reusesConn(t, p, addr) {
		t.Error("an open idle connection was not reused")
	}
}

// An upstream closes an idle connection. A request sent over it is lost, and it is unknown
// whether it ran.
func TestClosedConnectionIsNotUsed(t *testing.T) {
	p, c, upstream, addr := newIdleConn(t, "")
	_ = upstream.Close()
	waitUnusable(t, c)
	if reusesConn(t, p, addr) {
		t.Error("a closed connection was reused")
	}
}

// An upstream sends unsolicited bytes on an idle connection. The next request would take
// them for its response.
func TestConnectionWithStrayBytesIsNotUsed(t *testing.T) {
	p, c, upstream, addr := newIdleConn(t, "")
	if _, err := upstream.Write([]byte("HTTP/1.1 200 OK\r\n\r\n")); err != nil {
		t.Fatal(err)
	}
	waitUnusable(t, c)
	if reusesConn(t, p, addr) {
		t.Error("a connection with unsolicited bytes was reused")
	}
}

// An upstream states how long it keeps idle connections. They must not be used in the last
// second of that time, when a request could be sent while the upstream closes.
func TestKeepAliveTimeIsKept(t *testing.T) {
	p, _, _, addr := newIdleConn(t, "timeout=3, max=100")
	p.Clock.Advance(2*magno.Second + 1)
	if reusesConn(t, p, addr) {
		t.Error("a connection was reused within a second of its timeout")
	}
}

// A request can't be sent at all. The error must say so, as it may then be retried on
// another upstream.
func TestUnsentRequestIsDistinguished(t *testing.T) {
	_, c, upstream, _ := newIdleConn(t, "")
	_, _ = c.Close(), upstream.Close()
	err := c.Send(&Request{Method: http.MethodPost, Target: "/", Host: "h", Header: http.Header{}, Body: [][]byte{[]byte("b")}})
	if err == nil || errors.Is(err, ErrSent) {
		t.Errorf("got error %v, want one that isn't marked with ErrSent", err)
	}
}

// Guards against a send that counts as not sent though the upstream got the request: where no byte
// was written, none may arrive.
func TestNothingArrivesOfAnUnsentRequest(t *testing.T) {
	p, _, upstream, addr := newIdleConn(t, "")
	c, err := p.Get(t.Context(), "u", addr)
	if err != nil {
		t.Fatal(err)
	}
	if err := c.SetDeadline(time.Unix(1, 0)); err != nil { // the caller has left
		t.Fatal(err)
	}
	if err := c.Send(&Request{Method: http.MethodGet, Target: "/", Host: "h"}); err == nil || errors.Is(err, ErrSent) {
		t.Fatalf("got %v, want an error of a request that wasn't sent", err)
	}
	if err := c.Close(); err != nil {
		t.Fatal(err)
	}
	var b [1]byte
	if n, err := upstream.Read(b[:]); n != 0 || !errors.Is(err, io.EOF) {
		t.Errorf("the upstream got %d bytes, %v", n, err)
	}
}
