package relay

import (
	"net"
	"net/http"
	"testing"

	"magnoliastall.example/magno"
)

// failRequest answers each request with status 500.
func failRequest(_ int, r *http.Request, c net.Conn) bool {
	writeResponse(c, r.Header.Get("Id"), http.StatusInternalServerError, "no")
	return true
}

// checkBudget checks how many retries were sent, and that none is left reserved.
func (p *fakePools) checkBudget(t *testing.T, spent int) {
	t.Helper()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.spent != spent || p.reserved != 0 {
		t.Errorf("%d retries were sent and %d are reserved, want %d and none", p.spent, p.reserved, spent)
	}
}

// Guards against a retry that waits while the budget is used up by others, and is sent all the same.
func TestRetryThatWaitedIsSentOnlyWithinTheBudget(t *testing.T) {
	for name, kind := range map[string]magno.RouteKind{"plain service": magno.RouteIdempotent, "engine": magno.RouteStream} {
		t.Run(name, func(t *testing.T) {
			u, v := startUpstream(t, failRequest), startUpstream(t, streamOneEvent)
			s := newTestProxy(t, kind, true, u, v)
			s.pools.onSpend = func() bool { return false }
			res, body, err := s.get(t, http.MethodGet, "1")
			if err != nil || res.StatusCode != http.StatusInternalServerError || body != "no" || u.requestCount() != 1 || v.requestCount() != 0 {
				t.Errorf("got %v %q %v after %d and %d sends, want the failure after one", res, body, err, u.requestCount(), v.requestCount())
			}
			s.pools.checkBudget(t, 0)
		})
	}
}

// Guards against a retry that finds no upstream and stays charged to the budget.
func TestRetryThatIsNotSentIsReturned(t *testing.T) {
	u, v := startUpstream(t, failRequest), startUpstream(t, failRequest)
	s := newTestProxy(t, magno.RouteStream, true, u, v)
	s.permits.full = map[string]bool{s.pools.replicas[1]: true}
	if res, _, err := s.get(t, http.MethodGet, "1"); err != nil || res.StatusCode != http.StatusInternalServerError {
		t.Errorf("got %v %v", res, err)
	}
	s.pools.checkBudget(t, 0)
	if s.pools.retries != 10 {
		t.Errorf("%d of 10 retries are left", s.pools.retries)
	}
}

// Guards against charging a request to the budget that no upstream has got yet, and against not
// charging one that an upstream got and rejected.
func TestOnlySendsAfterAnArrivalAreRetries(t *testing.T) {
	reject := func(_ int, r *http.Request, c net.Conn) bool {
		_, _ = c.Write([]byte("HTTP/1.1 421 x\r\nId: " + r.Header.Get("Id") + "\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"))
		return true
	}
	for _, c := range []struct {
		name  string
		first func(int, *http.Request, net.Conn) bool
		spent int
	}{
		{"refuses connections", nil, 0},
		{"rejects the request", reject, 1},
		{"fails", failRequest, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			u, v := startUpstream(t, c.first), startUpstream(t, func(_ int, r *http.Request, conn net.Conn) bool {
				writeResponse(conn, r.Header.Get("Id"), http.StatusOK, "yes")
				return true
			})
			if c.first == nil {
				_ = u.listener.Close()
			}
			s := newTestProxy(t, magno.RouteIdempotent, false, u, v)
			s.pools.retries = c.spent
			res, body, err := s.get(t, http.MethodGet, "1")
			if err != nil || res.StatusCode != http.StatusOK || body != "yes" {
				t.Errorf("got %v %q %v", res, body, err)
			}
			s.pools.checkBudget(t, c.spent)
		})
	}
}
