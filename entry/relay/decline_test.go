package relay

import (
	"net"
	"net/http"
	"testing"

	"magnoliastall.example/magno"
)

// Reports of engines are up to a quarter of a second old, so a burst of requests converges on
// the engine that looked best. That engine declines, and the request must go to the better one:
// if it waited at the first, its response would be late while other engines are idle.
func TestDeclinedRequestGoesToTheBetterEngine(t *testing.T) {
	u := startUpstream(t, func(int, *http.Request, net.Conn) bool { return false })
	v := startUpstream(t, streamOneEvent)
	s := newTestProxy(t, magno.RouteStream, false, u, v)
	first := s.pools.replicas[0]
	s.pools.maxWait = 50
	s.permits.declines = func(key string) bool {
		s.pools.mu.Lock()
		defer s.pools.mu.Unlock()
		s.pools.rankedLast = map[string]bool{first: true} // as its fresh report would have it
		return key == first
	}
	if res, _, err := s.get(t, http.MethodPost, "1"); err != nil || res.StatusCode != 200 {
		t.Fatalf("got %v %v", res, err)
	}
	if len(u.requests) != 0 || len(v.requests) != 1 {
		t.Errorf("%d requests at the declining engine, %d at the better one", len(u.requests), len(v.requests))
	}
	if work := s.pools.work(first); work != 0 {
		t.Errorf("%d tokens of work still count at the declining engine", work)
	}
}

// All engines decline, as happens when all are busy and their reports cross. The request must
// wait at one of them in the end.
func TestRequestThatAllDeclineIsTaken(t *testing.T) {
	u := startUpstream(t, streamOneEvent)
	s := newTestProxy(t, magno.RouteStream, false, u)
	s.pools.maxWait = 50
	asked := 0
	s.permits.declines = func(string) bool { asked++; return true }
	if res, _, err := s.get(t, http.MethodPost, "1"); err != nil || res.StatusCode != 200 {
		t.Fatalf("got %v %v", res, err)
	}
	if asked != maxDeclines {
		t.Errorf("%d permit requests with a maximum wait, want %d", asked, maxDeclines)
	}
}

// The only engine declines, and the platform lists it as leaving at the same moment. The caller
// must get a refusal with a Retry-After. This case once panicked, and the caller got no
// response.
func TestDecliningEngineThatLeaves(t *testing.T) {
	u := startUpstream(t, streamOneEvent)
	s := newTestProxy(t, magno.RouteStream, false, u)
	s.pools.maxWait = 50
	s.permits.declines = func(string) bool {
		leaving := *s.changes[1].Replica
		leaving.Leaving = true
		s.Book.ApplyRead([]magno.Change{{Key: leaving.ID, Revision: 2, Replica: &leaving}}, 2, false)
		return true
	}
	res, _, err := s.get(t, http.MethodPost, "1")
	if err != nil || res.StatusCode != http.StatusServiceUnavailable && res.StatusCode != http.StatusTooManyRequests {
		t.Fatalf("got %v %v", res, err)
	}
	if res.Header.Get("Retry-After") == "" || len(u.requests) != 0 {
		t.Errorf("no Retry-After, or the request was sent: %v, %d requests", res.Header, len(u.requests))
	}
}
