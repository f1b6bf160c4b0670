package relay

import (
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"magnoliastall.example/magno"
)

// silence is how long a sound upstream is silent here: longer than any limit after which another one is tried.
const silence = 1300 * time.Millisecond

// waitUntilClosed reads until the entry closes the connection.
func waitUntilClosed(_ int, _ *http.Request, c net.Conn) bool {
	_, _ = c.Read(make([]byte, 1))
	return false
}

// others are upstreams that can be chosen and don't serve the request.
var others = map[string]func(int, *http.Request, net.Conn) bool{
	"the other refuses": func(_ int, r *http.Request, c net.Conn) bool {
		fmt.Fprintf(c, "HTTP/1.1 503 x\r\nId: %s\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n", r.Header.Get("Id"))
		return true
	},
	"the other fails":      failRequest,
	"the other breaks off": func(int, *http.Request, net.Conn) bool { return false },
	"the other breaks off after its header": func(_ int, r *http.Request, c net.Conn) bool {
		writeStreamHead(c, r.Header.Get("Id"))
		return false
	},
	"the other is silent": waitUntilClosed,
	"the other is silent after its header": func(n int, r *http.Request, c net.Conn) bool {
		writeStreamHead(c, r.Header.Get("Id"))
		return waitUntilClosed(n, r, c)
	},
}

// newSilentProxy returns a proxy whose requests have time for a silence, at an engine or a plain service.
func newSilentProxy(t *testing.T, kind magno.RouteKind, engine bool, ups ...*fakeUpstream) *testProxy {
	t.Helper()
	s := newTestProxy(t, kind, true, ups...)
	s.changes[0].Plan.Routes[0].Timeout = 6 * magno.Second
	s.Dialect = testDialect{left: 6 * magno.Second}
	s.changes[0].Plan.Services[0].Engine = nil
	if engine {
		s.changes[0].Plan.Services[0].Engine = &magno.Engine{Batch: 4}
	}
	return s
}

// Guards against a stream that is cut because its sound upstream was silent for a second and another one, which could be
// chosen, doesn't take it up.
func TestSilentUpstreamKeepsItsStreamUntilAnotherGoesOn(t *testing.T) {
	for name, other := range others {
		for service, engine := range map[string]bool{"engine": true, "plain service": false} {
			t.Run(name+", "+service, func(t *testing.T) {
				t.Parallel()
				u := startUpstream(t, func(_ int, r *http.Request, c net.Conn) bool {
					writeStreamHead(c, r.Header.Get("Id"))
					writeChunk(c, eventText(1))
					time.Sleep(silence)
					writeChunk(c, eventText(2))
					fmt.Fprint(c, "0\r\n\r\n")
					return true
				})
				s := newSilentProxy(t, magno.RouteStream, engine, u, startUpstream(t, other))
				res, body, err := s.get(t, http.MethodPost, "1")
				if err != nil || res.StatusCode != http.StatusOK || body != eventText(1)+eventText(2) {
					t.Errorf("got %v %q %v, want the whole stream", res, body, err)
				}
			})
		}
	}
}

// Guards against a lost answer of a sound upstream that was silent before it.
func TestSilentUpstreamKeepsItsRequestUntilAnotherAnswers(t *testing.T) {
	for name, other := range others {
		for _, c := range []struct {
			service string
			kind    magno.RouteKind
			engine  bool
		}{{"engine", magno.RouteStream, true}, {"plain service, stream", magno.RouteStream, false}, {"plain service", magno.RouteIdempotent, false}} {
			t.Run(name+", "+c.service, func(t *testing.T) {
				t.Parallel()
				u := startUpstream(t, func(n int, r *http.Request, conn net.Conn) bool {
					time.Sleep(silence)
					return streamOneEvent(n, r, conn)
				})
				s := newSilentProxy(t, c.kind, c.engine, u, startUpstream(t, other))
				res, body, err := s.get(t, http.MethodPost, "1")
				if err != nil || res.StatusCode != http.StatusOK || body != eventText(1) {
					t.Errorf("got %v %q %v, want the answer", res, body, err)
				}
			})
		}
	}
}
