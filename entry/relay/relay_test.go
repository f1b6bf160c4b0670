package relay

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"magnoliastall.example/magno"
	"magnoliastall.example/magno/strain"
	"magnoliastall.example/magno/view"
)

func TestWholeAnswerGoesThrough(t *testing.T) {
	u := serveUpstream(t, func(_ int, r *http.Request, c net.Conn) bool {
		whole(c, r.Header.Get("Id"), 201, "hello")
		return true
	})
	s := newSite(t, magno.KindOnce, false, u)
	res, body, err := s.get(t, http.MethodPost, "1")
	if err != nil || res.StatusCode != 201 || body != "hello" || res.Header.Get("Signed") == "" {
		t.Fatalf("got %v %q %v", res, body, err)
	}
	if got := u.got[0].Header.Get("Only"); got != "u0" {
		t.Errorf("the upstream was told that only %q may run it", got)
	}
}

// An upstream runs a request and its connection breaks before the answer. A
// request that may run only once isn't sent again, and its caller isn't told
// that it has not run: the status must not be one that promises so.
func TestLostAnswerOfSingleRunIsNotRepeated(t *testing.T) {
	u := serveUpstream(t, func(int, *http.Request, net.Conn) bool { return false })
	v := serveUpstream(t, func(_ int, r *http.Request, c net.Conn) bool {
		whole(c, r.Header.Get("Id"), 200, "again")
		return true
	})
	s := newSite(t, magno.KindOnce, false, u, v)
	res, _, err := s.get(t, http.MethodPost, "1")
	if err != nil || res.StatusCode != http.StatusBadGateway {
		t.Fatalf("got %v %v, want 502", res, err)
	}
	if u.count()+v.count() != 1 {
		t.Errorf("the request was sent %d times", u.count()+v.count())
	}
}

// A kept connection is closed by the upstream just as a request goes out. The
// library would send the request again by itself; here nobody knows whether it
// ran, so it must not.
func TestKeptConnectionThatClosesDoesNotResend(t *testing.T) {
	u := serveUpstream(t, func(n int, r *http.Request, c net.Conn) bool {
		if n == 1 {
			whole(c, r.Header.Get("Id"), 200, "first")
			return true
		}
		return false
	})
	s := newSite(t, magno.KindOnce, false, u)
	if _, _, err := s.get(t, http.MethodPost, "1"); err != nil {
		t.Fatal(err)
	}
	res, _, err := s.get(t, http.MethodPost, "2")
	if err != nil || res.StatusCode != http.StatusBadGateway {
		t.Fatalf("got %v %v, want 502", res, err)
	}
	if u.count() != 2 {
		t.Errorf("%d requests reached the upstream, want 2", u.count())
	}
}

// The same for an idempotent request: the other upstream answers.
func TestLostAnswerOfIdempotentRequestIsRepeated(t *testing.T) {
	u := serveUpstream(t, func(int, *http.Request, net.Conn) bool { return false })
	v := serveUpstream(t, func(_ int, r *http.Request, c net.Conn) bool {
		whole(c, r.Header.Get("Id"), 200, "again")
		return true
	})
	s := newSite(t, magno.KindRepeat, false, u, v)
	res, body, err := s.get(t, http.MethodGet, "1")
	if err != nil || res.StatusCode != 200 || body != "again" {
		t.Fatalf("got %v %q %v", res, body, err)
	}
}

// The allowance for further sends is used up by a failing pool. Requests are
// answered with the failure instead of being sent again.
func TestUsedUpAllowanceEndsRetries(t *testing.T) {
	fail := func(_ int, r *http.Request, c net.Conn) bool {
		whole(c, r.Header.Get("Id"), 500, "no")
		return true
	}
	u, v := serveUpstream(t, fail), serveUpstream(t, fail)
	s := newSite(t, magno.KindRepeat, false, u, v)
	s.pools.allow = 0
	res, body, err := s.get(t, http.MethodGet, "1")
	if err != nil || res.StatusCode != 500 || body != "no" || u.count()+v.count() != 1 {
		t.Fatalf("got %v %q %v after %d sends", res, body, err, u.count()+v.count())
	}
}

// An upstream answers a request twice. The second answer lies on the kept
// connection when the next caller's request goes out, and must not be taken for
// its answer.
func TestSecondAnswerIsNobodys(t *testing.T) {
	u := serveUpstream(t, func(_ int, r *http.Request, c net.Conn) bool {
		id := r.Header.Get("Id")
		whole(c, id, 200, "answer "+id)
		time.Sleep(5 * time.Millisecond)
		whole(c, id, 200, "answer "+id)
		return true
	})
	s := newSite(t, magno.KindOnce, false, u)
	for i := range 20 {
		id := fmt.Sprint(i)
		res, body, err := s.get(t, http.MethodPost, id)
		if err != nil || res.StatusCode != 200 || body != "answer "+id {
			t.Fatalf("request %s got %v %q %v", id, res, body, err)
		}
	}
}

// The second answer comes later still: after the next request was sent. It is
// told by its id and passed over, and the right one is read after it.
func TestLateSecondAnswerIsPassedOver(t *testing.T) {
	u := serveUpstream(t, func(n int, r *http.Request, c net.Conn) bool {
		if n == 2 {
			whole(c, "1", 200, "late")
		}
		whole(c, r.Header.Get("Id"), 200, "answer "+r.Header.Get("Id"))
		return true
	})
	s := newSite(t, magno.KindOnce, false, u)
	for _, id := range []string{"1", "2"} {
		res, body, err := s.get(t, http.MethodPost, id)
		if err != nil || res.StatusCode != 200 || body != "answer "+id {
			t.Fatalf("request %s got %v %q %v", id, res, body, err)
		}
	}
}

// An upstream answers 503 without stating that it did not run the request. Told
// on unchanged, the caller would believe that it has not run and send it again.
func TestBareRefusalOfAnUpstreamPromisesNothing(t *testing.T) {
	u := serveUpstream(t, func(_ int, r *http.Request, c net.Conn) bool {
		whole(c, r.Header.Get("Id"), 503, "")
		return true
	})
	s := newSite(t, magno.KindOnce, false, u)
	res, _, err := s.get(t, http.MethodPost, "1")
	if err != nil || res.StatusCode != http.StatusBadGateway || res.Header.Get("Signed") != "" {
		t.Fatalf("got %v %v, want a 502 of our own", res, err)
	}
}

// All upstreams are full and say so. The request has not run, and its caller is
// told so and when to come back.
func TestFullUpstreamsRefuseWithATime(t *testing.T) {
	full := func(_ int, r *http.Request, c net.Conn) bool {
		fmt.Fprintf(c, "HTTP/1.1 503 x\r\nId: %s\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n", r.Header.Get("Id"))
		return true
	}
	u, v := serveUpstream(t, full), serveUpstream(t, full)
	s := newSite(t, magno.KindOnce, false, u, v)
	res, _, err := s.get(t, http.MethodPost, "1")
	if err != nil || !promises(res.StatusCode) || res.Header.Get("Retry-After") == "" {
		t.Fatalf("got %v %v, want a refusal with a time to come back", res, err)
	}
	if u.count() != 1 || v.count() != 1 {
		t.Errorf("%d and %d sends, want one each", u.count(), v.count())
	}
}

// A request waits for its turn at an upstream, and meanwhile operators take that
// upstream away. Sent there all the same, it would be cut off with it.
func TestUpstreamThatBeganToLeaveGetsNothing(t *testing.T) {
	u, v := serveUpstream(t, oneEvent), serveUpstream(t, oneEvent)
	s := newSite(t, magno.KindStream, false, u, v)
	s.permits.during = func(string) {
		left := *s.changes[1].Replica
		left.Leaving = true
		s.Book.Read([]magno.Change{{Key: left.ID, Revision: 2, Replica: &left}}, 2, false)
	}
	res, _, err := s.get(t, http.MethodPost, "1")
	if err != nil || res.StatusCode != 200 {
		t.Fatalf("got %v %v", res, err)
	}
	if u.count() != 0 || v.count() != 1 {
		t.Errorf("the leaving upstream got %d requests, the other %d", u.count(), v.count())
	}
}

// Callers come in clumps. If only what an upstream has begun counts as its work,
// all of a clump goes where the first one still waits for its turn, and the last
// ones' first events are late though other upstreams are idle. What is refused
// there must count no more, or an upstream that is well looks busy for ever.
func TestWaitingForAPermitCountsAsWork(t *testing.T) {
	u := serveUpstream(t, oneEvent)
	v := serveUpstream(t, func(int, *http.Request, net.Conn) bool { return false })
	s := newSite(t, magno.KindStream, false, v, u)
	full := s.pools.names[0]
	s.permits.full = map[string]bool{full: true}
	s.permits.during = func(key string) {
		if got := s.pools.work(key); got != 100 {
			t.Errorf("%s has %d tokens of work while a request of 100 waits there", key, got)
		}
	}
	if res, _, err := s.get(t, http.MethodPost, "1"); err != nil || res.StatusCode != 200 {
		t.Fatalf("got %v %v", res, err)
	}
	if got := s.pools.work(full); got != 0 {
		t.Errorf("%d tokens of work count where the request was refused", got)
	}
}

// The agents are gone, but the engines are well. What they hold is sent there
// without a permit.
func TestSilentAgentsDoNotStopRequests(t *testing.T) {
	u := serveUpstream(t, oneEvent)
	s := newSite(t, magno.KindStream, false, u)
	s.permits.dead = true
	if res, _, err := s.get(t, http.MethodPost, "1"); err != nil || res.StatusCode != 200 {
		t.Fatalf("got %v %v", res, err)
	}
}

// A caller leaves in the middle of a stream. The upstream must notice at once,
// or it works on for nobody.
func TestLeavingCallerEndsTheWork(t *testing.T) {
	closed := make(chan struct{})
	u := serveUpstream(t, func(_ int, r *http.Request, c net.Conn) bool {
		head(c, r.Header.Get("Id"))
		chunk(c, event(1))
		_, _ = c.Read(make([]byte, 1))
		close(closed)
		return false
	})
	s := newSite(t, magno.KindStream, false, u)
	ctx, cancel := context.WithCancel(context.Background())
	req, _ := http.NewRequestWithContext(ctx, http.MethodPost, s.server.URL+"/p/1", strings.NewReader("b"))
	req.Host = "h.example"
	req.Header.Set("Id", "1")
	res, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		t.Fatal(err)
	}
	defer res.Body.Close()
	cancel()
	select {
	case <-closed:
	case <-time.After(20 * time.Second):
		t.Error("the upstream still works for a caller that left")
	}
}

// A process has no configuration yet. It can't know that a path has no route,
// and says that the request has not run.
func TestNoConfigurationIsNoMissingRoute(t *testing.T) {
	s := newSite(t, magno.KindOnce, false)
	s.Book = &view.Book{Clock: s.Clock}
	res, _, err := s.get(t, http.MethodPost, "1")
	if err != nil || res.StatusCode != http.StatusServiceUnavailable || res.Header.Get("Retry-After") == "" {
		t.Fatalf("got %v %v, want 503 with a time to come back", res, err)
	}
}

// All machines lose power while the platform's list is away for some seconds. Callers
// that were told to come back after a second were refused again, and most of them come
// back once only. The longer it lasts, the later they are told to come back.
func TestCallersComeBackAfterAnOutage(t *testing.T) {
	clock := magno.NewClock(magno.Hour)
	h := &Handler{Clock: clock, Started: clock.Now()}
	for _, c := range []struct{ up, want magno.Millis }{
		{0, startAfter}, {300, startAfter}, {1000, 2 * magno.Second}, {2500, 5 * magno.Second}, {60_000, mostAfter},
	} {
		clock.Advance(h.Started + c.up - clock.Now())
		if got := h.startingAfter(); got != c.want {
			t.Errorf("%d ms after the start: come back in %d ms, want %d", c.up, got, c.want)
		}
	}
}

// The instance is stopped, and no other of its data centre is ready, so callers
// go on coming here. Requests that take milliseconds are served to the end;
// streams, which might be cut off, are told to come back at once.
func TestStoppingInstanceServesWhatEndsInTime(t *testing.T) {
	u := serveUpstream(t, func(_ int, r *http.Request, c net.Conn) bool {
		whole(c, r.Header.Get("Id"), 200, "x")
		return true
	})
	plain, stream := newSite(t, magno.KindOnce, false, u), newSite(t, magno.KindStream, false, u)
	for _, s := range []*site{plain, stream} {
		s.Drain(-1, magno.Minute)
	}
	res, _, err := plain.get(t, http.MethodPost, "1")
	if err != nil || res.StatusCode != 200 || !res.Close {
		t.Errorf("a short request got %v %v", res, err)
	}
	res, _, err = stream.get(t, http.MethodPost, "2")
	if err != nil || res.StatusCode != http.StatusServiceUnavailable || res.Header.Get("Retry-After") == "" {
		t.Errorf("a stream got %v %v, want 503 with a time to come back", res, err)
	}
}

// A small machine is far behind its work. Requests are refused at once, with
// word that they haven't run, instead of being answered when nobody waits.
func TestInstanceFarBehindRefuses(t *testing.T) {
	u := serveUpstream(t, func(_ int, r *http.Request, c net.Conn) bool {
		whole(c, r.Header.Get("Id"), 200, "x")
		return true
	})
	s := newSite(t, magno.KindOnce, false, u)
	s.SetLoadLevel(strain.Overloaded)
	res, _, err := s.get(t, http.MethodPost, "1")
	if err != nil || !promises(res.StatusCode) || res.Header.Get("Retry-After") == "" || !res.Close || u.count() != 0 {
		t.Errorf("got %v %v after %d sends", res, err, u.count())
	}
	s.SetLoadLevel(strain.Strained)
	res, _, err = s.get(t, http.MethodPost, "2")
	if err != nil || res.StatusCode != 200 || !res.Close {
		t.Errorf("got %v %v, want an answer and the end of the connection", res, err)
	}
}

// deafWriter is a caller that can't be written to any more, though nothing has
// told so yet.
type deafWriter struct{ header http.Header }

func (w *deafWriter) Header() http.Header       { return w.header }
func (w *deafWriter) WriteHeader(int)           {}
func (w *deafWriter) Write([]byte) (int, error) { return 0, errors.New("broken pipe") }

// A caller names headers that concern its connection alone. Sent on, they would
// change how the upstream treats ours.
func TestHeadersOfOneConnectionStay(t *testing.T) {
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

// An answer comes without the id of any request. Whatever its status, it is not
// known to be this request's, and is not passed on.
func TestAnswerWithoutIDIsNobodys(t *testing.T) {
	for _, status := range []int{200, 404, 500} {
		u := serveUpstream(t, func(_ int, _ *http.Request, c net.Conn) bool {
			fmt.Fprintf(c, "HTTP/1.1 %d x\r\nSigned: 1\r\nContent-Length: 5\r\n\r\nother", status)
			return true
		})
		s := newSite(t, magno.KindOnce, false, u)
		res, body, err := s.get(t, http.MethodPost, "1")
		if err != nil || res.StatusCode != http.StatusBadGateway || body != "" || res.Header.Get("Signed") != "" {
			t.Errorf("status %d without an id came through as %v %q %v", status, res, body, err)
		}
	}
}

// A request may have run, and is refused by whatever way. Its status must never
// say that it has not run: the caller would send it again, and a receipt would
// count twice.
func TestNoRefusalPromisesWhatMayHaveRun(t *testing.T) {
	s := newSite(t, magno.KindOnce, false)
	for _, kind := range magno.Kinds() {
		w := httptest.NewRecorder()
		j := &job{Handler: s.Handler, w: w, r: httptest.NewRequest(http.MethodPost, "/", nil), snap: s.Book.Now(), ran: true}
		j.refuse(magno.Refuse(kind, "for a test").Later(1))
		if promises(w.Code) || w.Header().Get("Retry-After") != "" {
			t.Errorf("kind %s: status %d, Retry-After %q", kind, w.Code, w.Header().Get("Retry-After"))
		}
	}
}
