package relay

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
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

// Guards against a stream that is cut because its agent can't reach a silent engine, or its entry has left the list.
func TestSilentUpstreamIsAwaitedThoughItSeemsGone(t *testing.T) {
	for name, gone := range map[string]func(*testProxy){
		"its agent can't reach it": func(s *testProxy) {
			s.permits.unreached.Store(true)
			s.permits.down.Store(true)
		},
		"it left the list": func(s *testProxy) {
			s.Book.ApplyRead([]magno.Change{{Key: "u0", Revision: 2, Deleted: true}}, 2, false)
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var s *testProxy
			u := startUpstream(t, func(_ int, r *http.Request, c net.Conn) bool {
				writeStreamHead(c, r.Header.Get("Id"))
				writeChunk(c, eventText(1))
				gone(s)
				time.Sleep(silence)
				writeChunk(c, eventText(2))
				fmt.Fprint(c, "0\r\n\r\n")
				return true
			})
			s = newSilentProxy(t, magno.RouteStream, true, u, startUpstream(t, failRequest))
			_, body, err := s.get(t, http.MethodPost, "1")
			if err != nil || body != eventText(1)+eventText(2) {
				t.Errorf("got %q %v, want the whole stream", body, err)
			}
		})
	}
}

// Guards against a stream that runs at a second upstream once the first has gone on, or the other way round, and
// against permits and retries that stay taken.
func TestOneOfTwoUpstreamsIsGivenUp(t *testing.T) {
	for name, second := range map[string]bool{"the second goes on": true, "the first goes on": false} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			closed, began, secondClosed := make(chan struct{}), make(chan struct{}), make(chan struct{})
			u := startUpstream(t, func(n int, r *http.Request, c net.Conn) bool {
				defer close(closed)
				writeStreamHead(c, r.Header.Get("Id"))
				writeChunk(c, eventText(1))
				if second {
					return waitUntilClosed(n, r, c)
				}
				<-began
				writeChunk(c, eventText(2))
				<-secondClosed
				fmt.Fprint(c, "0\r\n\r\n")
				return true
			})
			v := startUpstream(t, func(n int, r *http.Request, c net.Conn) bool {
				writeStreamHead(c, r.Header.Get("Id"))
				if !second {
					defer close(secondClosed)
					close(began)
					return waitUntilClosed(n, r, c)
				}
				writeChunk(c, eventText(2))
				<-closed
				fmt.Fprint(c, "0\r\n\r\n")
				return true
			})
			s := newSilentProxy(t, magno.RouteStream, true, u, v)
			_, body, err := s.get(t, http.MethodPost, "1")
			if err != nil || body != eventText(1)+eventText(2) {
				t.Errorf("got %q %v, want the whole stream", body, err)
			}
			s.pools.checkBudget(t, 1)
			waitFor(t, "both permits to be released", func() bool { return s.permits.released.Load() == 2 })
			for _, name := range s.pools.replicas {
				if n := s.pools.work(name); n != 0 {
					t.Errorf("%d tokens of work are still counted at %s", n, name)
				}
			}
		})
	}
}

// Guards against a stream that ends with its hung upstream, since the second one is given up before its first event.
func TestHungUpstreamIsReplacedByASlowOne(t *testing.T) {
	u := startUpstream(t, func(n int, r *http.Request, c net.Conn) bool {
		writeStreamHead(c, r.Header.Get("Id"))
		writeChunk(c, eventText(1))
		return waitUntilClosed(n, r, c)
	})
	v := startUpstream(t, func(_ int, r *http.Request, c net.Conn) bool {
		writeStreamHead(c, r.Header.Get("Id"))
		time.Sleep(silence)
		writeChunk(c, eventText(2))
		fmt.Fprint(c, "0\r\n\r\n")
		return true
	})
	s := newSilentProxy(t, magno.RouteStream, true, u, v)
	_, body, err := s.get(t, http.MethodPost, "1")
	if err != nil || body != eventText(1)+eventText(2) {
		t.Errorf("got %q %v, want the whole stream", body, err)
	}
}

// Guards against requests that go on at two upstreams for a caller that has left.
func TestBothUpstreamsAreStoppedOnceTheCallerHasLeft(t *testing.T) {
	var open atomic.Int32
	hang := func(n int, r *http.Request, c net.Conn) bool {
		open.Add(1)
		defer open.Add(-1)
		return waitUntilClosed(n, r, c)
	}
	s := newSilentProxy(t, magno.RouteIdempotent, false, startUpstream(t, hang), startUpstream(t, hang))
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, s.server.URL+"/p/1", http.NoBody)
	if err != nil {
		t.Fatal(err)
	}
	r.Host = "h.example"
	r.Header.Set("Id", "1")
	ended := make(chan error, 1)
	go func() {
		res, err := http.DefaultTransport.RoundTrip(r)
		if err == nil {
			_ = res.Body.Close()
		}
		ended <- err
	}()
	waitFor(t, "two upstreams", func() bool { return open.Load() == 2 })
	cancel()
	if err := <-ended; err == nil {
		t.Error("the caller got an answer")
	}
	waitFor(t, "both to be stopped", func() bool { return open.Load() == 0 })
	waitFor(t, "the request to end", func() bool { return s.Active() == 0 })
	s.pools.checkBudget(t, 1)
}

// Guards against a long body whose upstream doesn't read for a second: the kernel or the entry closes the connection,
// and the other upstream fails.
func TestUpstreamThatDoesNotReadForASecondKeepsItsRequest(t *testing.T) {
	const size = 4 << 20
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		time.Sleep(2 * time.Second)
		br := bufio.NewReader(c)
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		if n, err := io.Copy(io.Discard, r.Body); err == nil && n == size {
			writeResponse(c, r.Header.Get("Id"), http.StatusOK, "yes")
		}
	}()
	s := newSilentProxy(t, magno.RouteIdempotent, false, &fakeUpstream{addr: l.Addr().String()}, startUpstream(t, failRequest))
	res := s.open(t, bytes.NewReader(make([]byte, size)))
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	if err != nil || res.StatusCode != http.StatusOK || string(body) != "yes" {
		t.Errorf("got %d %q %v, want the answer", res.StatusCode, body, err)
	}
}
