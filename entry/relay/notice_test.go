package relay

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"testing"

	"magnoliastall.example/magno"
	"magnoliastall.example/magno/pace"
)

// fakeLimits grants requests to the replicas in open.
type fakeLimits struct {
	open map[string]bool

	mu      sync.Mutex
	asked   []float64
	reports []magno.Notice
}

func (l *fakeLimits) Take(_ context.Context, key string, rate float64) magno.LimitGrant {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.asked = append(l.asked, rate)
	return magno.LimitGrant{Granted: l.open[key], RetryAfter: 700, Rate: rate, At: 1, Process: 1}
}

func (l *fakeLimits) Report(_ string, n magno.Notice, _ magno.LimitGrant) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reports = append(l.reports, n)
}

// answerWith answers each request with further header fields.
func answerWith(fields string) func(int, *http.Request, net.Conn) bool {
	return func(_ int, r *http.Request, c net.Conn) bool {
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nSigned: 1\r\n%sContent-Length: 2\r\n\r\nok", r.Header.Get("Id"), fields)
		return true
	}
}

func newLimitedProxy(t *testing.T, kind magno.RouteKind, ups ...*fakeUpstream) (*testProxy, *fakeLimits) {
	t.Helper()
	s := newTestProxy(t, kind, false, ups...)
	l := &fakeLimits{open: map[string]bool{}}
	s.Limits = l
	return s, l
}

// Guards against sending to a plain service beyond the limit that it names: the next request
// asks its home, goes elsewhere if it isn't granted, and is refused at once if there is nowhere
// else, with the time to come back.
func TestPlainServiceIsSentNoMoreThanItsLimit(t *testing.T) {
	u := startUpstream(t, answerWith("Limit: 2\r\n"))
	v := startUpstream(t, answerWith(""))
	s, l := newLimitedProxy(t, magno.RouteIdempotent, u, v)
	for i := range 3 {
		if res, _, err := s.get(t, http.MethodGet, fmt.Sprint(i)); err != nil || res.StatusCode != 200 {
			t.Fatalf("request %d: got %v %v", i, res, err)
		}
	}
	if u.requestCount() != 1 || v.requestCount() != 2 {
		t.Errorf("%d requests at the limited service, %d at the other", u.requestCount(), v.requestCount())
	}
	if len(l.reports) != 1 || !l.reports[0].Limited || l.reports[0].Rate != 2 {
		t.Errorf("the home was told %+v", l.reports)
	}
	s.Notices.Record(s.pools.replicas[1], magno.Notice{Limited: true, Rate: 1}, 0)
	res, _, err := s.get(t, http.MethodGet, "4")
	if err != nil || res.StatusCode != http.StatusTooManyRequests || res.Header.Get("Retry-After") == "" {
		t.Errorf("with both limited: got %v %v", res, err)
	}
	if len(l.asked) != 2 || l.asked[0] != 2 || l.asked[1] != 1 {
		t.Errorf("the homes were asked at rates of %v", l.asked)
	}
}

// Guards against a limit that never ends: the answer to a granted request shows that it has.
func TestEndOfALimitIsReported(t *testing.T) {
	u := startUpstream(t, answerWith(""))
	s, l := newLimitedProxy(t, magno.RouteIdempotent, u)
	key := s.pools.replicas[0]
	s.Notices.Adopt(key, magno.LimitState{Limited: true, Rate: 2, Age: 100})
	l.open[key] = true
	if res, _, err := s.get(t, http.MethodGet, "1"); err != nil || res.StatusCode != 200 {
		t.Fatalf("got %v %v", res, err)
	}
	if len(l.reports) != 1 || l.reports[0].Limited {
		t.Errorf("the home was told %+v", l.reports)
	}
	if _, limited := s.Notices.Limit(key); limited {
		t.Error("the limit still holds here")
	}
}

// Guards against an engine's agent not learning of a limit that only answers name, and against
// requests past an agent that is lost going beyond the limit.
func TestEngineLimitReachesItsAgent(t *testing.T) {
	u := startUpstream(t, func(_ int, r *http.Request, c net.Conn) bool {
		id := r.Header.Get("Id")
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nSigned: %s\r\nLimit: 4\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", id, id)
		writeChunk(c, eventText(1))
		fmt.Fprint(c, "0\r\n\r\n")
		return true
	})
	s, l := newLimitedProxy(t, magno.RouteStream, u)
	if res, _, err := s.get(t, http.MethodPost, "1"); err != nil || res.StatusCode != 200 {
		t.Fatalf("got %v %v", res, err)
	}
	if n := s.permits.notices; len(n) != 1 || !n[0].Limited || n[0].Rate != 4 || n[0].ID == "" {
		t.Fatalf("the agent was told %+v", n)
	}
	s.permits.agentLost = true
	res, _, err := s.get(t, http.MethodPost, "2")
	if err != nil || res.StatusCode != http.StatusTooManyRequests || u.requestCount() != 1 {
		t.Errorf("without its agent and a grant: got %v %v, %d requests sent", res, err, u.requestCount())
	}
	if len(l.asked) != 1 || l.asked[0] != 4*agentlessShare {
		t.Errorf("the home was asked at rates of %v", l.asked)
	}
}

// Guards against an engine's agent and the home of those that can't reach it granting more in
// sum than the engine tolerates: half as much again as its limit, and five requests.
func TestAgentAndHomeTogetherKeepTheLimit(t *testing.T) {
	for _, rate := range []float64{0, 0.5, 1, 2, 5, 20, 100} {
		clock := magno.NewClock(magno.Hour)
		var agent, home pace.Limiter
		agent.Name(rate, clock.Now(), clock.Now())
		home.Name(rate*agentlessShare, clock.Now(), clock.Now())
		clock.Advance(magno.Minute) // both have a full burst
		n := 0
		for range 4 * magno.Second {
			for _, l := range []*pace.Limiter{&agent, &home} {
				if l.Allows(clock.Now()) {
					l.Take(1)
					n++
				}
			}
			clock.Advance(1)
		}
		if allowed := 1.5*4*rate + 5; float64(n) > allowed {
			t.Errorf("%d requests in 4 s at a limit of %v, allowed %v", n, rate, allowed)
		}
	}
}

// Guards against sending to an upstream whose answer stated that it leaves, while the list shows
// it as ready, and against its home not learning of it.
func TestUpstreamThatStatesItLeavesGetsNothing(t *testing.T) {
	u := startUpstream(t, answerWith("Leaving: 1\r\n"))
	v := startUpstream(t, answerWith(""))
	s, l := newLimitedProxy(t, magno.RouteIdempotent, u, v)
	changed := s.Notices.Changed()
	for i := range 3 {
		s.pools.rankedLast = map[string]bool{s.pools.replicas[0]: s.Notices.Leaving(s.pools.replicas[0])}
		if res, _, err := s.get(t, http.MethodGet, fmt.Sprint(i)); err != nil || res.StatusCode != 200 {
			t.Fatalf("request %d: got %v %v", i, res, err)
		}
	}
	if u.requestCount() != 1 || v.requestCount() != 2 {
		t.Errorf("%d requests at the leaving upstream, %d at the other", u.requestCount(), v.requestCount())
	}
	select {
	case <-changed:
	default:
		t.Error("the routers are not updated")
	}
	if len(l.reports) != 1 || !l.reports[0].Leaving {
		t.Errorf("the home was told %+v", l.reports)
	}
}

// turnAway answers each request with 503 and a time for which to send nothing.
func turnAway(_ int, r *http.Request, c net.Conn) bool {
	fmt.Fprintf(c, "HTTP/1.1 503 x\r\nId: %s\r\nNot-Run: 1\r\nRest: 3000\r\nContent-Length: 0\r\n\r\n", r.Header.Get("Id"))
	return true
}

// Guards against requests for an upstream that turned one away and stated for how long: they go
// elsewhere, and if there is nowhere else they are refused at once with that time.
func TestUpstreamThatTurnsAwayIsLeftAlone(t *testing.T) {
	for _, kind := range []magno.RouteKind{magno.RouteOnce, magno.RouteStream} {
		u, v := startUpstream(t, turnAway), startUpstream(t, streamOneEvent)
		s, _ := newLimitedProxy(t, kind, u, v)
		for i := range 4 {
			if res, _, err := s.get(t, http.MethodPost, fmt.Sprint(i)); err != nil || res.StatusCode != 200 {
				t.Fatalf("request %d: got %v %v", i, res, err)
			}
		}
		if u.requestCount() != 1 || v.requestCount() != 4 {
			t.Errorf("%d requests at the upstream that turned one away, %d at the other", u.requestCount(), v.requestCount())
		}
	}
	u := startUpstream(t, turnAway)
	s, _ := newLimitedProxy(t, magno.RouteOnce, u)
	for i := range 3 {
		res, _, err := s.get(t, http.MethodPost, fmt.Sprint(i))
		if err != nil || res.StatusCode != http.StatusTooManyRequests {
			t.Fatalf("request %d: got %v %v", i, res, err)
		}
		if after, err := strconv.ParseFloat(res.Header.Get("Retry-After"), 64); err != nil || after < 2 {
			t.Errorf("request %d is told to return after %q s", i, res.Header.Get("Retry-After"))
		}
	}
	if u.requestCount() != 1 {
		t.Errorf("%d requests sent", u.requestCount())
	}
}

// Guards against a request that waited for a permit reaching an engine that has turned another
// one away meanwhile.
func TestRequestThatWaitedIsNotSentToAnUpstreamThatTurnsAway(t *testing.T) {
	u := startUpstream(t, streamOneEvent)
	s, _ := newLimitedProxy(t, magno.RouteStream, u)
	s.permits.onAcquire = func(key string) { s.Notices.Record(key, magno.Notice{RetryAfter: 3000}, 0) }
	res, _, err := s.get(t, http.MethodPost, "1")
	if err != nil || res.StatusCode != http.StatusTooManyRequests || u.requestCount() != 0 {
		t.Errorf("got %v %v, %d requests sent", res, err, u.requestCount())
	}
}

// Guards against the answer of another incarnation, or a failure that isn't the upstream's own,
// ending what the upstream stated.
func TestForeignAnswerEndsNothing(t *testing.T) {
	u := startUpstream(t, func(n int, r *http.Request, c net.Conn) bool {
		id := r.Header.Get("Id")
		if n == 1 {
			fmt.Fprintf(c, "HTTP/1.1 421 x\r\nId: %s\r\nSigned: 1\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n", id)
			return true
		}
		fmt.Fprintf(c, "HTTP/1.1 503 x\r\nId: %s\r\nNot-Run: 1\r\nRest: 1\r\nContent-Length: 0\r\n\r\n", id)
		return true
	})
	s, l := newLimitedProxy(t, magno.RouteOnce, u)
	key := s.pools.replicas[0]
	l.open[key] = true
	s.Notices.Adopt(key, magno.LimitState{Limited: true, Rate: 2, Age: 100})
	for i := range 2 {
		if _, _, err := s.get(t, http.MethodPost, fmt.Sprint(i)); err != nil {
			t.Fatal(err)
		}
	}
	if _, limited := s.Notices.Limit(key); !limited || len(l.reports) > 0 {
		t.Errorf("the limit holds: %t; the home was told %+v", limited, l.reports)
	}
}
