package hop

import (
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"magnoliastall.example/magno"
)

// kept returns a pool with one idle connection, and its far end.
func kept(t *testing.T, header string) (*Pool, *Conn, net.Conn, string) {
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
	far, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = far.Close() })
	p.Put(c, &http.Response{Header: http.Header{"Keep-Alive": {header}}})
	return p, c, far, l.Addr().String()
}

// reused tells whether the next request would go over the kept connection.
func reused(t *testing.T, p *Pool, addr string) bool {
	t.Helper()
	c, err := p.Get(t.Context(), "u", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return c.Reused
}

// unquiet waits until what the far end did has arrived.
func unquiet(t *testing.T, c *Conn) {
	t.Helper()
	for end := time.Now().Add(time.Minute); quiet(c.Conn); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("what the far end did is never seen")
		}
	}
}

func TestIdleConnectionIsUsedAgain(t *testing.T) {
	p, _, _, addr := kept(t, "")
	if !reused(t, p, addr) {
		t.Error("a connection that is open and quiet was not used")
	}
}

// An upstream closes an idle connection. A request that is sent over it is lost,
// and nobody can say whether it ran.
func TestClosedConnectionIsNotUsed(t *testing.T) {
	p, c, far, addr := kept(t, "")
	_ = far.Close()
	unquiet(t, c)
	if reused(t, p, addr) {
		t.Error("a closed connection was handed out")
	}
}

// An upstream sends bytes that nobody asked for on an idle connection. The next
// request would take them for its answer.
func TestConnectionWithStrayBytesIsNotUsed(t *testing.T) {
	p, c, far, addr := kept(t, "")
	if _, err := far.Write([]byte("HTTP/1.1 200 OK\r\n\r\n")); err != nil {
		t.Fatal(err)
	}
	unquiet(t, c)
	if reused(t, p, addr) {
		t.Error("a connection with stray bytes was handed out")
	}
}

// An upstream says for how long it keeps idle connections. A second before that
// they are no longer used, so that no request crosses the close.
func TestKeepAliveTimeIsKept(t *testing.T) {
	p, _, _, addr := kept(t, "timeout=3, max=100")
	p.Clock.Advance(2*magno.Second + 1)
	if reused(t, p, addr) {
		t.Error("a connection was used within the last second of its time")
	}
}

// The request can't be sent at all. The error says so: it may go elsewhere.
func TestUnsentRequestIsToldApart(t *testing.T) {
	_, c, far, _ := kept(t, "")
	_, _ = c.Close(), far.Close()
	err := c.Send(&Request{Method: http.MethodPost, Target: "/", Host: "h", Header: http.Header{}, Body: []byte("b")})
	if err == nil || errors.Is(err, ErrSent) {
		t.Errorf("got %v, want an error that tells that nothing was sent", err)
	}
}
