package relay

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"

	"magnoliastall.example/entry/queues"
	"magnoliastall.example/magno"
)

// withQueues lets the proxy's requests wait in queues, as one of 16 entries.
func (s *testProxy) withQueues(t *testing.T) {
	t.Helper()
	m := &queues.Manager{
		Enabled: true, Clock: s.Clock, Book: s.Book, Leaving: s.Notices.Leaving, Count: func() (int, int) { return 16, 16 },
		DemandShare: func(string, float64) float64 { return 1.0 / 16 }, Log: s.Log,
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- m.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	s.Queues = m
}

// shedRequest answers each request with the statement that it did not run.
func shedRequest(_ int, r *http.Request, c net.Conn) bool {
	fmt.Fprintf(c, "HTTP/1.1 503 x\r\nId: %s\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n", r.Header.Get("Id"))
	return true
}

func answerRequest(_ int, r *http.Request, c net.Conn) bool {
	writeResponse(c, r.Header.Get("Id"), http.StatusOK, "yes")
	return true
}

// Guards against a shed request that is refused while another upstream has room, and against sends
// beyond the retry budget.
func TestQueuedRequestIsSentAgainAfterAShed(t *testing.T) {
	for _, retries := range []int{10, 0} {
		u, v := startUpstream(t, shedRequest), startUpstream(t, answerRequest)
		s := newTestProxy(t, magno.RouteOnce, false, u, v)
		s.withQueues(t)
		s.pools.retries = retries
		served := 0
		for i := range 20 {
			res, _, err := s.get(t, http.MethodPost, strconv.Itoa(i))
			if err != nil {
				t.Fatal(err)
			}
			if res.StatusCode == http.StatusOK {
				served++
			}
		}
		sheds := u.requestCount()
		if want := 20 - max(sheds-retries, 0); served != want {
			t.Errorf("%d of 20 were served after %d sheds with %d retries, want %d", served, sheds, retries, want)
		}
		s.pools.checkBudget(t, min(sheds, retries))
	}
}

// Guards against a request that runs twice after its answer was lost.
func TestQueuedRequestRunsOnce(t *testing.T) {
	var runs atomic.Int32
	drop := func(int, *http.Request, net.Conn) bool {
		runs.Add(1)
		return false
	}
	s := newTestProxy(t, magno.RouteOnce, false, startUpstream(t, drop), startUpstream(t, drop))
	s.withQueues(t)
	res, _, err := s.get(t, http.MethodPost, "1")
	if err != nil || res.StatusCode != http.StatusBadGateway || runs.Load() != 1 {
		t.Errorf("got %v %v after %d runs", res, err, runs.Load())
	}
}

// Guards against a request that is sent to an upstream that began to leave while it waited.
func TestQueuedRequestIsNotSentToALeavingUpstream(t *testing.T) {
	u, v := startUpstream(t, answerRequest), startUpstream(t, answerRequest)
	s := newTestProxy(t, magno.RouteIdempotent, false, u, v)
	s.withQueues(t)
	s.Notices.Record(s.pools.replicas[0], magno.Notice{Leaving: true}, 0) // the queue isn't told
	for i := range 10 {
		if res, _, err := s.get(t, http.MethodGet, strconv.Itoa(i)); err != nil || res.StatusCode != http.StatusOK {
			t.Fatalf("got %v %v", res, err)
		}
	}
	if u.requestCount() != 0 || v.requestCount() != 10 {
		t.Errorf("%d and %d requests, want none and 10", u.requestCount(), v.requestCount())
	}
}

// Guards against requests that are neither served nor refused while more come than can be served.
func TestQueuedRequestsAreAllAnswered(t *testing.T) {
	u := startUpstream(t, answerRequest)
	s := newTestProxy(t, magno.RouteIdempotent, false, u)
	s.withQueues(t)
	var all sync.WaitGroup
	var served, refused atomic.Int32
	for i := range 60 {
		all.Go(func() {
			res, _, err := s.get(t, http.MethodGet, strconv.Itoa(i))
			switch {
			case err != nil:
				t.Error(err)
			case res.StatusCode == http.StatusOK:
				served.Add(1)
			case res.StatusCode == http.StatusTooManyRequests && res.Header.Get("Retry-After") != "":
				refused.Add(1)
			default:
				t.Errorf("got %v", res)
			}
		})
	}
	all.Wait()
	if served.Load() == 0 || int(served.Load()) != u.requestCount() {
		t.Errorf("%d served, %d refused, %d sent", served.Load(), refused.Load(), u.requestCount())
	}
}

// Guards against an upstream that is paused, and requests that are refused, because it answers with an
// error status. An answer without a signature may come from anything at that address.
func TestQueuedErrorAnswersDoNotPauseTheUpstream(t *testing.T) {
	for _, c := range []struct {
		name    string
		respond func(net.Conn, string)
		paused  bool
	}{
		{"signed", func(c net.Conn, id string) { writeResponse(c, id, http.StatusInternalServerError, "no") }, false},
		{"unsigned", func(c net.Conn, id string) {
			fmt.Fprintf(c, "HTTP/1.1 500 x\r\nId: %s\r\nContent-Length: 0\r\n\r\n", id)
		}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newTestProxy(t, magno.RouteOnce, false, startUpstream(t, func(_ int, r *http.Request, conn net.Conn) bool {
				c.respond(conn, r.Header.Get("Id"))
				return true
			}))
			s.withQueues(t)
			refused := 0
			for i := range 10 { // six pauses are longer than the time that a request has
				res, _, err := s.get(t, http.MethodPost, strconv.Itoa(i))
				if err != nil {
					t.Fatal(err)
				}
				if res.StatusCode != http.StatusInternalServerError {
					refused++
				}
			}
			if (refused > 0) != c.paused {
				t.Errorf("%d of 10 requests were refused, paused %v", refused, c.paused)
			}
		})
	}
}
