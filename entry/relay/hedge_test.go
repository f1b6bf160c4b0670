package relay

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"magnoliastall.example/magno"
	"magnoliastall.example/magno/gate"
)

// Guards against a stream that is cut, with another upstream's error within it, because its sound upstream was silent
// for a second and the other one answered with a status that isn't a failure of its own.
func TestSilentUpstreamKeepsItsStreamThoughAnotherRejectsIt(t *testing.T) {
	for _, status := range []int{http.StatusFound, http.StatusNotFound, http.StatusConflict} {
		t.Run(http.StatusText(status), func(t *testing.T) {
			t.Parallel()
			u := startUpstream(t, func(_ int, r *http.Request, c net.Conn) bool {
				writeStreamHead(c, r.Header.Get("Id"))
				writeChunk(c, eventText(1))
				time.Sleep(silence)
				writeChunk(c, eventText(2))
				fmt.Fprint(c, "0\r\n\r\n")
				return true
			})
			v := startUpstream(t, func(_ int, r *http.Request, c net.Conn) bool {
				writeResponse(c, r.Header.Get("Id"), status, "no")
				return true
			})
			s := newSilentProxy(t, magno.RouteStream, false, u, v)
			res, body, err := s.get(t, http.MethodPost, "1")
			if err != nil || res.StatusCode != http.StatusOK || body != eventText(1)+eventText(2) {
				t.Errorf("got %v %q %v, want the whole stream", res, body, err)
			}
		})
	}
}

// Guards against a stream that seems complete, though its upstream broke off and another one rejected it.
func TestStreamThatAnotherUpstreamRejectsIsNotComplete(t *testing.T) {
	u := startUpstream(t, func(_ int, r *http.Request, c net.Conn) bool {
		writeStreamHead(c, r.Header.Get("Id"))
		writeChunk(c, eventText(1))
		return false
	})
	v := startUpstream(t, func(_ int, r *http.Request, c net.Conn) bool {
		writeResponse(c, r.Header.Get("Id"), http.StatusNotFound, "no")
		return true
	})
	s := newSilentProxy(t, magno.RouteStream, false, u, v)
	res, body, err := s.get(t, http.MethodPost, "1")
	if err == nil || body != eventText(1) {
		t.Errorf("got %v %q %v, want a broken stream", res, body, err)
	}
}

// heldPermits calls onRestarted for each question whether an engine has restarted.
type heldPermits struct {
	Permits
	onRestarted func(key string)
}

func (p heldPermits) Restarted(key string) bool {
	p.onRestarted(key)
	return p.Permits.Restarted(key)
}

// Guards against events that come twice: a hedge that has just lost starts one of its own, which goes on with the
// stream beside the first upstream.
func TestHedgeThatHasLostStartsNoOther(t *testing.T) {
	asked, wentOn := make(chan struct{}), make(chan struct{})
	u := startUpstream(t, func(_ int, r *http.Request, c net.Conn) bool {
		writeStreamHead(c, r.Header.Get("Id"))
		writeChunk(c, eventText(1))
		<-asked
		writeChunk(c, eventText(2))
		writeChunk(c, eventText(3))
		fmt.Fprint(c, "0\r\n\r\n")
		return true
	})
	w := startUpstream(t, func(_ int, r *http.Request, c net.Conn) bool {
		writeStreamHead(c, r.Header.Get("Id"))
		writeChunk(c, eventText(2))
		writeChunk(c, eventText(3))
		fmt.Fprint(c, "0\r\n\r\n")
		return true
	})
	s := newSilentProxy(t, magno.RouteStream, true, u, startUpstream(t, waitUntilClosed), w)
	s.Book.Current().Plan.Routes[0].Attempts = 3
	var once sync.Once
	s.Permits = heldPermits{s.permits, func(key string) {
		if key == s.pools.replicas[1] {
			once.Do(func() { close(asked) })
			<-wentOn
		}
	}}
	res := s.open(t, http.NoBody)
	defer res.Body.Close()
	begin := make([]byte, len(eventText(1)+eventText(2)))
	_, err := io.ReadFull(res.Body, begin)
	close(wentOn)
	if err != nil {
		t.Fatal(err)
	}
	rest, err := io.ReadAll(res.Body)
	if body := string(begin) + string(rest); err != nil || body != eventText(1)+eventText(2)+eventText(3) {
		t.Errorf("got %q %v, want each event once", body, err)
	}
}

// Guards against a process that ends with a panic in a hedge, which the server doesn't recover.
func TestPanicInAHedgeIsTheHandlers(t *testing.T) {
	u := startUpstream(t, waitUntilClosed)
	s := newSilentProxy(t, magno.RouteIdempotent, false, u, startUpstream(t, streamOneEvent))
	s.pools.onSpend = func() bool { panic("of the hedge") }
	r := httptest.NewRequest(http.MethodGet, "/p/1", http.NoBody)
	r.Host, r.Header = "h.example", http.Header{"Id": {"1"}}
	s.Dialect = testDialect{left: 1500}
	panicked := make(chan any, 1)
	go func() {
		defer func() { panicked <- recover() }()
		s.ServeHTTP(httptest.NewRecorder(), r)
	}()
	if v := <-panicked; v != "of the hedge" {
		t.Errorf("the handler panicked with %v", v)
	}
}

// recoverFrom handles a request and sends what the handler panicked with, nil if it didn't.
func (s *testProxy) recoverFrom(w http.ResponseWriter) <-chan any {
	r := httptest.NewRequest(http.MethodPost, "/p/1", http.NoBody)
	r.Host, r.Header = "h.example", http.Header{"Id": {"1"}}
	panicked := make(chan any, 1)
	go func() {
		defer func() { panicked <- recover() }()
		s.ServeHTTP(w, r)
	}()
	return panicked
}

// Guards against a request that goes on after its handler has returned: a hedge panics that has started one of its own.
func TestHedgeOfAHedgeThatPanicsEndsBeforeTheHandler(t *testing.T) {
	asked, free, panicking := make(chan struct{}), make(chan struct{}), make(chan struct{})
	u := startUpstream(t, func(int, *http.Request, net.Conn) bool {
		<-panicking
		return false
	})
	s := newSilentProxy(t, magno.RouteStream, true, u, startUpstream(t, waitUntilClosed), startUpstream(t, streamOneEvent))
	s.Book.Current().Plan.Routes[0].Attempts = 3
	s.permits.decide = func(_ context.Context, key string) *gate.PermitReply {
		if key == s.pools.replicas[2] {
			close(asked)
			<-free
		}
		return nil
	}
	first := true
	s.Permits = heldPermits{s.permits, func(key string) {
		switch {
		case key != s.pools.replicas[1]:
		case first:
			first = false
		default:
			<-asked
			close(panicking)
			panic("of the hedge")
		}
	}}
	returned := s.recoverFrom(httptest.NewRecorder())
	<-panicking
	select {
	case v := <-returned:
		t.Fatalf("the handler returned with %v while a hedge goes on", v)
	case <-time.After(300 * time.Millisecond):
	}
	close(free)
	if v := <-returned; v != "of the hedge" {
		t.Errorf("the handler panicked with %v", v)
	}
}

// Guards against a whole answer of a silent upstream that is cut because the hedge panicked.
func TestPanicInAHedgeCutsNoAnswer(t *testing.T) {
	panicking := make(chan struct{})
	u := startUpstream(t, func(_ int, r *http.Request, c net.Conn) bool {
		writeStreamHead(c, r.Header.Get("Id"))
		writeChunk(c, eventText(1))
		<-panicking
		writeChunk(c, eventText(2))
		fmt.Fprint(c, "0\r\n\r\n")
		return true
	})
	s := newSilentProxy(t, magno.RouteStream, true, u, startUpstream(t, streamOneEvent))
	s.pools.onSpend = func() bool {
		close(panicking)
		panic("of the hedge")
	}
	w := httptest.NewRecorder()
	if v := <-s.recoverFrom(w); v != nil || w.Body.String() != eventText(1)+eventText(2) {
		t.Errorf("got %q, and the handler panicked with %v", w.Body, v)
	}
}

// slowReleases holds the releases of one replica's permits until free is closed.
type slowReleases struct {
	Permits
	replica string
	free    chan struct{}
}

func (p slowReleases) Release(key string, call gate.EndCall) {
	if key == p.replica {
		<-p.free
	}
	p.Permits.Release(key, call)
}

// Guards against a stream whose end waits for the agent of a hedge that has lost, which is told that its request ended.
func TestEndOfAStreamDoesNotWaitForTheHedgesAgent(t *testing.T) {
	for name, sent := range map[string]bool{"the hedge was sent": true, "the hedge waits for its permit": false} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			began := make(chan struct{})
			u := startUpstream(t, func(_ int, r *http.Request, c net.Conn) bool {
				writeStreamHead(c, r.Header.Get("Id"))
				writeChunk(c, eventText(1))
				<-began
				writeChunk(c, eventText(2))
				fmt.Fprint(c, "0\r\n\r\n")
				return true
			})
			v := startUpstream(t, func(n int, r *http.Request, c net.Conn) bool {
				close(began)
				return waitUntilClosed(n, r, c)
			})
			s := newSilentProxy(t, magno.RouteStream, true, u, v)
			other := s.pools.replicas[1]
			s.permits.decide = func(ctx context.Context, key string) *gate.PermitReply {
				if key == other && !sent {
					close(began)
					<-ctx.Done()
				}
				return nil
			}
			free := make(chan struct{})
			s.Permits = slowReleases{s.permits, other, free}
			_, body, err := s.get(t, http.MethodPost, "1")
			close(free)
			if err != nil || body != eventText(1)+eventText(2) {
				t.Errorf("got %q %v, want the whole stream", body, err)
			}
			waitFor(t, "both permits to be released", func() bool { return s.permits.released.Load() == 2 })
			waitFor(t, "the request to end", func() bool { return s.Active() == 0 })
		})
	}
}
