package relay

import (
	"bufio"
	"bytes"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"pgregory.net/rapid"

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

// startUpstreamThatStopsReading starts an upstream that reads the header of each request and closes the connection.
func startUpstreamThatStopsReading(t *testing.T) (u *fakeUpstream, arrivals *atomic.Int32) {
	t.Helper()
	arrivals = &atomic.Int32{}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			if _, err := http.ReadRequest(bufio.NewReaderSize(c, 1024)); err == nil {
				arrivals.Add(1)
			}
			_ = c.Close()
		}
	}()
	return &fakeUpstream{addr: l.Addr().String(), listener: l}, arrivals
}

// Guards against a send that an upstream counts as an arrival and the entry doesn't: of a long body only a part was
// written.
func TestPartlyWrittenRequestIsAnArrival(t *testing.T) {
	u, arrivals := startUpstreamThatStopsReading(t)
	v := startUpstream(t, func(_ int, r *http.Request, c net.Conn) bool {
		writeResponse(c, r.Header.Get("Id"), http.StatusOK, "yes")
		return true
	})
	s := newTestProxy(t, magno.RouteIdempotent, false, u, v)
	res := s.open(t, bytes.NewReader(make([]byte, 3<<20)))
	_ = res.Body.Close()
	if n := arrivals.Load(); res.StatusCode != http.StatusOK || n != 1 || v.requestCount() != 1 {
		t.Errorf("got %d after %d and %d arrivals, want one each", res.StatusCode, n, v.requestCount())
	}
	s.pools.checkBudget(t, 1)
}

// Guards against a retry that counts in the window in which it is sent only, while its request, or the one before,
// waits at an upstream that doesn't read.
func TestRetriesOfUnansweredRequestsAreTold(t *testing.T) {
	silent := func(_ int, _ *http.Request, c net.Conn) bool {
		_, _ = c.Read(make([]byte, 1)) // until the entry closes
		return false
	}
	serve := func(_ int, r *http.Request, c net.Conn) bool {
		writeResponse(c, r.Header.Get("Id"), http.StatusOK, "yes")
		return true
	}
	for _, c := range []struct {
		name          string
		first, second func(int, *http.Request, net.Conn) bool
		want          []string
	}{
		{"the first is silent", silent, serve, []string{"u0@0"}},
		{"the second is silent", failRequest, silent, []string{"u1@0"}},
		{"both are", silent, silent, []string{"u0@0", "u1@0"}},
		{"both answer", failRequest, serve, nil},
		{"the first breaks off", breakOff, serve, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newTestProxy(t, magno.RouteIdempotent, false, startUpstream(t, c.first), startUpstream(t, c.second))
			if _, _, err := s.get(t, http.MethodGet, "1"); err != nil {
				t.Fatal(err)
			}
			s.pools.mu.Lock()
			defer s.pools.mu.Unlock()
			if !slices.Equal(s.pools.unanswered, c.want) {
				t.Errorf("unanswered by %v, want %v", s.pools.unanswered, c.want)
			}
		})
	}
}

// failures are the ways in which an upstream in a test fails, after a pause.
var failures = []struct {
	name string
	// runs is true if the upstream has begun to run the request.
	runs bool
	fail func(r *http.Request, c net.Conn) bool
}{
	{"breaks off", true, func(*http.Request, net.Conn) bool { return false }},
	{"answers 500", true, func(r *http.Request, c net.Conn) bool { return failRequest(0, r, c) }},
	{"answers 503", true, func(r *http.Request, c net.Conn) bool {
		writeResponse(c, r.Header.Get("Id"), http.StatusServiceUnavailable, "")
		return true
	}},
	{"states that it did not run it", false, func(r *http.Request, c net.Conn) bool {
		fmt.Fprintf(c, "HTTP/1.1 503 x\r\nId: %s\r\nSigned: 1\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n", r.Header.Get("Id"))
		return true
	}},
}

// sendLog records what the upstreams of a test got.
type sendLog struct {
	mu sync.Mutex
	// runs counts the upstreams that began to run the request.
	runs int
	// left are the times that were passed on, in order, and pauses how long each upstream took.
	left   []int
	pauses []time.Duration
}

func (l *sendLog) add(r *http.Request, runs bool, pause time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if runs {
		l.runs++
	}
	left, _ := strconv.Atoi(r.Header.Get("Left"))
	l.left, l.pauses = append(l.left, left), append(l.pauses, pause)
}

// Guards against a request that runs on more upstreams than its route allows, and against sends that
// are passed more time than the one before had left.
func TestRepeatsStayWithinTheAttemptsAndTheDeadline(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		attempts := rapid.IntRange(1, 3).Draw(rt, "attempts")
		kind := rapid.SampledFrom([]magno.RouteKind{magno.RouteIdempotent, magno.RouteStream, magno.RouteOnce}).Draw(rt, "kind")
		var log sendLog
		var ups, refusing []*fakeUpstream
		for range 4 {
			how := rapid.SampledFrom(failures).Draw(rt, "failure")
			pause := time.Duration(rapid.IntRange(0, 20).Draw(rt, "pause")) * time.Millisecond
			refuses := rapid.IntRange(0, 5).Draw(rt, "refuses") == 0
			u := startUpstream(t, func(_ int, r *http.Request, c net.Conn) bool {
				log.add(r, how.runs, pause)
				time.Sleep(pause)
				return how.fail(r, c)
			})
			ups = append(ups, u)
			if refuses {
				refusing = append(refusing, u)
			}
		}
		s := newTestProxy(t, kind, true, ups...)
		for _, u := range refusing { // only now, as another server could get the port
			_ = u.listener.Close()
		}
		s.changes[0].Plan.Routes[0].Attempts = attempts
		res, _, err := s.get(t, http.MethodGet, "1")
		log.mu.Lock()
		defer log.mu.Unlock()
		if err == nil && (res.StatusCode == http.StatusOK || (log.runs > 0 && promisesNotRun(res.StatusCode))) {
			rt.Fatalf("got %d after %d runs", res.StatusCode, log.runs)
		}
		allowed := attempts
		if kind == magno.RouteOnce {
			allowed = 1
		}
		if log.runs > allowed {
			rt.Fatalf("%d upstreams ran it, allowed %d", log.runs, allowed)
		}
		for i := 1; i < len(log.left); i++ {
			if most := log.left[i-1] - int(log.pauses[i-1].Milliseconds()) + 1; log.left[i] > most {
				rt.Fatalf("send %d was passed %d ms, at most %d were left", i, log.left[i], most)
			}
		}
	})
}
