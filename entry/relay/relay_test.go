package relay

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"magnoliastall.example/magno"
	"magnoliastall.example/magno/strain"
	"magnoliastall.example/magno/view"
)

func TestWholeAnswerGoesThrough(t *testing.T) {
	u := startUpstream(t, func(_ int, r *http.Request, c net.Conn) bool {
		writeResponse(c, r.Header.Get("Id"), 201, "hello")
		return true
	})
	s := newTestProxy(t, magno.RouteOnce, false, u)
	res, body, err := s.get(t, http.MethodPost, "1")
	if err != nil || res.StatusCode != 201 || body != "hello" || res.Header.Get("Signed") == "" {
		t.Fatalf("got %v %q %v", res, body, err)
	}
	if got := u.requests[0].Header.Get("Only"); got != "u0" {
		t.Errorf("the upstream was told that %q is to run the request", got)
	}
}

// An upstream runs a request and its connection breaks before the response. A request that may
// run only once must not be sent again, and the status must not guarantee that it has not run.
func TestLostAnswerOfSingleRunIsNotRepeated(t *testing.T) {
	u := startUpstream(t, func(int, *http.Request, net.Conn) bool { return false })
	v := startUpstream(t, func(_ int, r *http.Request, c net.Conn) bool {
		writeResponse(c, r.Header.Get("Id"), 200, "again")
		return true
	})
	s := newTestProxy(t, magno.RouteOnce, false, u, v)
	res, _, err := s.get(t, http.MethodPost, "1")
	if err != nil || res.StatusCode != http.StatusBadGateway {
		t.Fatalf("got %v %v, want 502", res, err)
	}
	if u.requestCount()+v.requestCount() != 1 {
		t.Errorf("the request was sent %d times", u.requestCount()+v.requestCount())
	}
}

// The upstream closes an idle connection just as a request is sent on it. net/http would send
// the request again; since nobody knows whether it ran, the relay must not.
func TestKeptConnectionThatClosesDoesNotResend(t *testing.T) {
	u := startUpstream(t, func(n int, r *http.Request, c net.Conn) bool {
		if n == 1 {
			writeResponse(c, r.Header.Get("Id"), 200, "first")
			return true
		}
		return false
	})
	s := newTestProxy(t, magno.RouteOnce, false, u)
	if _, _, err := s.get(t, http.MethodPost, "1"); err != nil {
		t.Fatal(err)
	}
	res, _, err := s.get(t, http.MethodPost, "2")
	if err != nil || res.StatusCode != http.StatusBadGateway {
		t.Fatalf("got %v %v, want 502", res, err)
	}
	if u.requestCount() != 2 {
		t.Errorf("%d requests reached the upstream, want 2", u.requestCount())
	}
}

// An idempotent request whose response is lost must be answered by another upstream.
func TestLostAnswerOfIdempotentRequestIsRepeated(t *testing.T) {
	u := startUpstream(t, func(int, *http.Request, net.Conn) bool { return false })
	v := startUpstream(t, func(_ int, r *http.Request, c net.Conn) bool {
		writeResponse(c, r.Header.Get("Id"), 200, "again")
		return true
	})
	s := newTestProxy(t, magno.RouteIdempotent, false, u, v)
	res, body, err := s.get(t, http.MethodGet, "1")
	if err != nil || res.StatusCode != 200 || body != "again" {
		t.Fatalf("got %v %q %v", res, body, err)
	}
}

// The retry budget is used up by a failing pool. Requests must then be answered with the
// failure instead of being sent again.
func TestUsedUpAllowanceEndsRetries(t *testing.T) {
	fail := func(_ int, r *http.Request, c net.Conn) bool {
		writeResponse(c, r.Header.Get("Id"), 500, "no")
		return true
	}
	for name, kind := range map[string]magno.RouteKind{"plain service": magno.RouteIdempotent, "engine": magno.RouteStream} {
		t.Run(name, func(t *testing.T) {
			u, v := startUpstream(t, fail), startUpstream(t, fail)
			s := newTestProxy(t, kind, true, u, v)
			s.pools.retries = 0
			res, body, err := s.get(t, http.MethodGet, "1")
			if err != nil || res.StatusCode != 500 || body != "no" || u.requestCount()+v.requestCount() != 1 {
				t.Fatalf("got %v %q %v after %d sends", res, body, err, u.requestCount()+v.requestCount())
			}
		})
	}
}

// An upstream responds to a request twice. The second response is on the idle connection when
// the next caller's request is sent, and must not be taken for its response.
func TestDuplicateResponseIsDiscarded(t *testing.T) {
	u := startUpstream(t, func(_ int, r *http.Request, c net.Conn) bool {
		id := r.Header.Get("Id")
		writeResponse(c, id, 200, "answer "+id)
		time.Sleep(5 * time.Millisecond)
		writeResponse(c, id, 200, "answer "+id)
		return true
	})
	s := newTestProxy(t, magno.RouteOnce, false, u)
	for i := range 20 {
		id := fmt.Sprint(i)
		res, body, err := s.get(t, http.MethodPost, id)
		if err != nil || res.StatusCode != 200 || body != "answer "+id {
			t.Fatalf("request %s got %v %q %v", id, res, body, err)
		}
	}
}

// The duplicate response arrives after the next request was sent. It must be recognized by its
// id and skipped, and the right response read after it.
func TestLateDuplicateResponseIsSkipped(t *testing.T) {
	u := startUpstream(t, func(n int, r *http.Request, c net.Conn) bool {
		if n == 2 {
			writeResponse(c, "1", 200, "late")
		}
		writeResponse(c, r.Header.Get("Id"), 200, "answer "+r.Header.Get("Id"))
		return true
	})
	s := newTestProxy(t, magno.RouteOnce, false, u)
	for _, id := range []string{"1", "2"} {
		res, body, err := s.get(t, http.MethodPost, id)
		if err != nil || res.StatusCode != 200 || body != "answer "+id {
			t.Fatalf("request %s got %v %q %v", id, res, body, err)
		}
	}
}

// An upstream responds with 503 without stating that it did not run the request. If that were
// forwarded unchanged, the caller would assume that it has not run and send it again.
func TestBareRefusalOfAnUpstreamPromisesNothing(t *testing.T) {
	u := startUpstream(t, func(_ int, r *http.Request, c net.Conn) bool {
		writeResponse(c, r.Header.Get("Id"), 503, "")
		return true
	})
	s := newTestProxy(t, magno.RouteOnce, false, u)
	res, _, err := s.get(t, http.MethodPost, "1")
	if err != nil || res.StatusCode != http.StatusBadGateway || res.Header.Get("Signed") != "" {
		t.Fatalf("got %v %v, want a 502 of our own", res, err)
	}
}

// All upstreams are full and state that they did not run the request. The caller must be
// refused with a Retry-After.
func TestFullUpstreamsRefuseWithATime(t *testing.T) {
	full := func(_ int, r *http.Request, c net.Conn) bool {
		fmt.Fprintf(c, "HTTP/1.1 503 x\r\nId: %s\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n", r.Header.Get("Id"))
		return true
	}
	u, v := startUpstream(t, full), startUpstream(t, full)
	s := newTestProxy(t, magno.RouteOnce, false, u, v)
	res, _, err := s.get(t, http.MethodPost, "1")
	if err != nil || !promisesNotRun(res.StatusCode) || res.Header.Get("Retry-After") == "" {
		t.Fatalf("got %v %v, want a refusal with Retry-After", res, err)
	}
	if u.requestCount() != 1 || v.requestCount() != 1 {
		t.Errorf("%d and %d sends, want one each", u.requestCount(), v.requestCount())
	}
}

// An upstream is taken out of service while a request waits for a permit there. The request
// must go elsewhere, or it would be cut off.
func TestUpstreamThatBeganToLeaveGetsNothing(t *testing.T) {
	u, v := startUpstream(t, streamOneEvent), startUpstream(t, streamOneEvent)
	s := newTestProxy(t, magno.RouteStream, false, u, v)
	s.permits.onAcquire = func(string) {
		left := *s.changes[1].Replica
		left.Leaving = true
		s.Book.ApplyRead([]magno.Change{{Key: left.ID, Revision: 2, Replica: &left}}, 2, false)
	}
	res, _, err := s.get(t, http.MethodPost, "1")
	if err != nil || res.StatusCode != 200 {
		t.Fatalf("got %v %v", res, err)
	}
	if u.requestCount() != 0 || v.requestCount() != 1 {
		t.Errorf("the leaving upstream got %d requests, the other %d", u.requestCount(), v.requestCount())
	}
}

// Requests arrive in bursts. If only started requests counted as an upstream's work, a burst
// would go where its first request still waits, and the last ones would be late though other
// upstreams are idle. Work that was refused must no longer count, or an idle upstream would
// look busy forever.
func TestWaitingForAPermitCountsAsWork(t *testing.T) {
	u := startUpstream(t, streamOneEvent)
	v := startUpstream(t, func(int, *http.Request, net.Conn) bool { return false })
	s := newTestProxy(t, magno.RouteStream, false, v, u)
	full := s.pools.replicas[0]
	s.permits.full = map[string]bool{full: true}
	s.permits.onAcquire = func(key string) {
		if got := s.pools.work(key); got != 100 {
			t.Errorf("%s has %d tokens of work while a request of 100 tokens waits there", key, got)
		}
	}
	if res, _, err := s.get(t, http.MethodPost, "1"); err != nil || res.StatusCode != 200 {
		t.Fatalf("got %v %v", res, err)
	}
	if got := s.pools.work(full); got != 0 {
		t.Errorf("%d tokens of work still count where the request was refused", got)
	}
}

// The agents are lost, but the engines work. Requests for what they hold must be sent without a
// permit.
func TestSilentAgentsDoNotStopRequests(t *testing.T) {
	u := startUpstream(t, streamOneEvent)
	s := newTestProxy(t, magno.RouteStream, false, u)
	s.permits.agentLost = true
	if res, _, err := s.get(t, http.MethodPost, "1"); err != nil || res.StatusCode != 200 {
		t.Fatalf("got %v %v", res, err)
	}
}

// A caller leaves in the middle of a stream, or before the answer of a plain service. The upstream
// must notice at once, or it would go on for a caller that is gone.
func TestLeavingCallerEndsTheWork(t *testing.T) {
	for name, kind := range map[string]magno.RouteKind{"plain service": magno.RouteIdempotent, "engine": magno.RouteStream} {
		t.Run(name, func(t *testing.T) {
			reached, closed := make(chan struct{}), make(chan struct{})
			u := startUpstream(t, func(_ int, r *http.Request, c net.Conn) bool {
				if kind == magno.RouteStream {
					writeStreamHead(c, r.Header.Get("Id"))
					writeChunk(c, eventText(1))
				}
				close(reached)
				_, _ = c.Read(make([]byte, 1))
				close(closed)
				return false
			})
			s := newTestProxy(t, kind, false, u)
			ctx, cancel := context.WithCancel(context.Background())
			go func() {
				<-reached
				cancel()
			}()
			req, _ := http.NewRequestWithContext(ctx, http.MethodGet, s.server.URL+"/p/1", nil)
			req.Host = "h.example"
			req.Header.Set("Id", "1")
			if res, err := http.DefaultTransport.RoundTrip(req); err == nil {
				defer res.Body.Close()
			}
			select {
			case <-closed:
			case <-time.After(20 * time.Second):
				t.Error("the upstream's connection is still open though the caller left")
			}
		})
	}
}

// A process without a configuration can't know that a path has no route. It must refuse with a
// status which guarantees that the request has not run.
func TestMissingConfigurationIsNotAMissingRoute(t *testing.T) {
	s := newTestProxy(t, magno.RouteOnce, false)
	s.Book = &view.Store{Clock: s.Clock}
	res, _, err := s.get(t, http.MethodPost, "1")
	if err != nil || res.StatusCode != http.StatusServiceUnavailable || res.Header.Get("Retry-After") == "" {
		t.Fatalf("got %v %v, want 503 with Retry-After", res, err)
	}
}

// After a power loss of all machines the platform's list is unavailable for some seconds. Most
// callers retry only once, so a Retry-After of one second would make them fail again. It must
// grow with the duration of the outage.
func TestStartRetryAfterGrowsWithTheOutage(t *testing.T) {
	clock := magno.NewClock(magno.Hour)
	h := &Handler{Clock: clock, Started: clock.Now()}
	for _, c := range []struct{ up, want magno.Millis }{
		{0, minStartRetry}, {300, minStartRetry}, {1000, 2 * magno.Second}, {2500, 5 * magno.Second}, {60_000, maxStartRetry},
	} {
		clock.Advance(h.Started + c.up - clock.Now())
		if got := h.startRetryAfter(); got != c.want {
			t.Errorf("%d ms after the start: Retry-After of %d ms, want %d", c.up, got, c.want)
		}
	}
}

// The instance is stopping, and no other one of its data centre is ready, so callers still
// connect to it. It must serve requests that take milliseconds until the end, and refuse
// streams, which might be cut off, with a Retry-After.
func TestStoppingInstanceServesWhatEndsInTime(t *testing.T) {
	u := startUpstream(t, func(_ int, r *http.Request, c net.Conn) bool {
		writeResponse(c, r.Header.Get("Id"), 200, "x")
		return true
	})
	plain, stream := newTestProxy(t, magno.RouteOnce, false, u), newTestProxy(t, magno.RouteStream, false, u)
	for _, s := range []*testProxy{plain, stream} {
		s.Drain(-1, magno.Minute, magno.Minute)
	}
	res, _, err := plain.get(t, http.MethodPost, "1")
	if err != nil || res.StatusCode != 200 || !res.Close {
		t.Errorf("a short request got %v %v", res, err)
	}
	res, _, err = stream.get(t, http.MethodPost, "2")
	if err != nil || res.StatusCode != http.StatusServiceUnavailable || res.Header.Get("Retry-After") == "" {
		t.Errorf("a stream got %v %v, want 503 with Retry-After", res, err)
	}
}

// An overloaded machine must refuse requests at once, with a status which guarantees that they
// have not run, instead of answering them too late.
func TestInstanceFarBehindRefuses(t *testing.T) {
	u := startUpstream(t, func(_ int, r *http.Request, c net.Conn) bool {
		writeResponse(c, r.Header.Get("Id"), 200, "x")
		return true
	})
	s := newTestProxy(t, magno.RouteOnce, false, u)
	s.SetLoadLevel(strain.Overloaded)
	res, _, err := s.get(t, http.MethodPost, "1")
	if err != nil || !promisesNotRun(res.StatusCode) || res.Header.Get("Retry-After") == "" || !res.Close || u.requestCount() != 0 {
		t.Errorf("got %v %v after %d sends", res, err, u.requestCount())
	}
	s.SetLoadLevel(strain.Strained)
	res, _, err = s.get(t, http.MethodPost, "2")
	if err != nil || res.StatusCode != 200 || !res.Close {
		t.Errorf("got %v %v, want a response and Connection: close", res, err)
	}
}

// brokenWriter is a caller whose connection is broken, which shows only when it is written to.
type brokenWriter struct{ header http.Header }

func (w *brokenWriter) Header() http.Header       { return w.header }
func (w *brokenWriter) WriteHeader(int)           {}
func (w *brokenWriter) Write([]byte) (int, error) { return 0, errors.New("broken pipe") }

// Hop-by-hop headers of the caller's connection must not be forwarded: they would change how
// the upstream treats ours.
func TestHopByHopHeadersAreNotForwarded(t *testing.T) {
	from := http.Header{
		"Connection": {"close, X-One", "x-two"}, "Keep-Alive": {"timeout=5"}, "Transfer-Encoding": {"chunked"},
		"X-One": {"1"}, "X-Two": {"2"}, "X-Three": {"3"},
	}
	to := http.Header{}
	copyHeader(to, from)
	if len(to) != 1 || to.Get("X-Three") != "3" || len(from) != 6 {
		t.Errorf("got %v", to)
	}
}

// A response without a request's id is not known to belong to this request. It must not be
// forwarded, whatever its status.
func TestResponseWithoutIDIsNotForwarded(t *testing.T) {
	for _, status := range []int{200, 404, 500} {
		u := startUpstream(t, func(_ int, _ *http.Request, c net.Conn) bool {
			fmt.Fprintf(c, "HTTP/1.1 %d x\r\nSigned: 1\r\nContent-Length: 5\r\n\r\nother", status)
			return true
		})
		s := newTestProxy(t, magno.RouteOnce, false, u)
		res, body, err := s.get(t, http.MethodPost, "1")
		if err != nil || res.StatusCode != http.StatusBadGateway || body != "" || res.Header.Get("Signed") != "" {
			t.Errorf("status %d without an id was forwarded as %v %q %v", status, res, body, err)
		}
	}
}

// If a request may have run, the status of no refusal may guarantee that it has not. The caller
// would send it again and run it twice.
func TestNoRefusalPromisesWhatMayHaveRun(t *testing.T) {
	s := newTestProxy(t, magno.RouteOnce, false)
	for _, kind := range magno.Kinds() {
		w := httptest.NewRecorder()
		j := &job{Handler: s.Handler, w: w, r: httptest.NewRequest(http.MethodPost, "/", nil), snap: s.Book.Current(), mayHaveRun: true}
		j.refuse(magno.Refuse(kind, "for a test").WithRetryAfter(1))
		if promisesNotRun(w.Code) || w.Header().Get("Retry-After") != "" {
			t.Errorf("kind %s: status %d, Retry-After %q", kind, w.Code, w.Header().Get("Retry-After"))
		}
	}
}
