package relay

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"

	"magnoliastall.example/magno"
	"magnoliastall.example/magno/gate"
	"magnoliastall.example/magno/view"
)

// longAim is a latency target of which a quarter is longer than any test waits. The caller's time of
// two seconds bounds the waits then.
const longAim = magno.Minute

// newArrivalProxy returns a proxy of an engine pool with a latency target, whose only upstream streams
// one event.
func newArrivalProxy(t *testing.T, aim magno.Millis) *testProxy {
	t.Helper()
	s := newTestProxy(t, magno.RouteStream, false, startUpstream(t, streamOneEvent))
	s.changes[0].Plan.Routes[0].Aim = aim
	s.pools.slots = 4
	s.permits.holdsNothing = true
	return s
}

// refuseFor returns the refusal by an agent that has the spec of another incarnation.
func refuseFor(replica string, revision magno.Revision) *gate.PermitReply {
	return &gate.PermitReply{
		Refusal: magno.Refuse(magno.KindNoUpstream, "another incarnation is here"),
		Status:  gate.StatusReply{Replica: replica, Revision: revision},
	}
}

// getStatus sends a request. The channel receives the status of its response, zero if there was none.
func (s *testProxy) getStatus(t *testing.T) <-chan int {
	t.Helper()
	got := make(chan int, 1)
	go func() {
		res, _, err := s.get(t, http.MethodPost, "1")
		if err != nil {
			t.Error(err)
			got <- 0
			return
		}
		got <- res.StatusCode
	}()
	return got
}

// waiters returns the number of requests that wait for an upstream.
func (s *testProxy) waiters() int {
	s.waiting.mu.Lock()
	defer s.waiting.mu.Unlock()
	return s.waiting.counts["s"]
}

// incarnationCase is a sequence of incarnations of an engine, and what a request gets meanwhile.
type incarnationCase struct {
	name string
	// starts are the start times of the incarnations that follow each other. The list names each
	// once a request for its predecessor was refused, but only the first listed ones.
	starts []magno.Millis
	listed int
	// behind makes agents state a revision that the entry has.
	behind bool
	// early makes the list change before the refusal arrives, granted makes that a permit.
	early, granted bool
	status         int
	asked          []string
}

// decide answers a request for a permit of an incarnation. Where the list is to change after the answer, it does so
// in the background.
func (c *incarnationCase) decide(s *testProxy, key string, relisted *sync.WaitGroup) *gate.PermitReply {
	at := slices.IndexFunc(c.starts, func(start magno.Millis) bool { return key == fmt.Sprintf("u0@%d", start) })
	if at == len(c.starts)-1 {
		return nil
	}
	known := s.Book.Current().Revision
	if c.behind {
		return refuseFor("u0@9", known)
	}
	switch {
	case c.early:
		s.startAt(c.starts[at+1])
	case at+1 < c.listed:
		relisted.Go(func() { s.startAt(c.starts[at+1]) })
	}
	if c.granted {
		return nil
	}
	return refuseFor(fmt.Sprintf("u0@%d", c.starts[at+1]), known+1)
}

// Guards against refusals of requests whose entry knows an older incarnation than the agent. Where the
// list names a newer one, the request must reach that and no other; where it doesn't, or the list
// doesn't change, the refusal must go out as before.
func TestRequestForAnOlderIncarnation(t *testing.T) {
	for _, c := range []incarnationCase{
		{name: "one", starts: []magno.Millis{1, 2}, listed: 2, status: 200, asked: []string{"u0@1", "u0@2"}},
		{name: "the list changes before the refusal", starts: []magno.Millis{1, 2}, listed: 2, early: true, status: 200, asked: []string{"u0@1", "u0@2"}},
		{name: "the list changes before the permit", starts: []magno.Millis{1, 2}, listed: 2, early: true, granted: true, status: 200, asked: []string{"u0@1", "u0@2"}},
		{name: "two within a second", starts: []magno.Millis{1, 2, 3}, listed: 3, status: 200, asked: []string{"u0@1", "u0@2", "u0@3"}},
		{name: "more than that", starts: []magno.Millis{1, 2, 3, 4}, listed: 4, status: 503, asked: []string{"u0@1", "u0@2", "u0@3"}},
		{name: "the list is unreachable", starts: []magno.Millis{1, 2}, listed: 1, status: 503, asked: []string{"u0@1"}},
		{name: "no newer list", starts: []magno.Millis{1, 2}, listed: 1, behind: true, status: 503, asked: []string{"u0@1"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newArrivalProxy(t, 0) // without a target no request waits for an upstream
			s.startAt(c.starts[0])
			var asked []string
			var relisted sync.WaitGroup
			s.permits.decide = func(_ context.Context, key string) *gate.PermitReply {
				asked = append(asked, key)
				return c.decide(s, key, &relisted)
			}
			res, _, err := s.get(t, http.MethodPost, "1")
			relisted.Wait()
			if err != nil || res.StatusCode != c.status {
				t.Fatalf("got %+v, %v; want %d", res, err, c.status)
			}
			if !slices.Equal(asked, c.asked) {
				t.Errorf("permits were asked of %v, want %v", asked, c.asked)
			}
			if c.status != 200 && res.Header.Get("Retry-After") == "" {
				t.Error("the refusal has no Retry-After")
			}
			if n := s.waiters(); n != 0 {
				t.Errorf("%d requests still count as waiting", n)
			}
			s.pools.checkBudget(t, 0)
		})
	}
}

// Guards against a request that is sent to an incarnation which its entry's list doesn't name: the
// engine was replaced after the permit was granted. The permit must be released.
func TestPermitOfAnotherIncarnationIsNotUsed(t *testing.T) {
	u := startUpstream(t, streamOneEvent)
	s := newTestProxy(t, magno.RouteStream, false, u)
	s.permits.decide = func(context.Context, string) *gate.PermitReply {
		return &gate.PermitReply{Status: gate.StatusReply{Replica: "u0@7", Revision: 1}}
	}
	res, _, err := s.get(t, http.MethodPost, "1")
	if err != nil || res.StatusCode != http.StatusServiceUnavailable {
		t.Fatalf("got %+v, %v", res, err)
	}
	if u.requestCount() != 0 || s.permits.released.Load() != 1 {
		t.Errorf("%d requests were sent and %d permits released, want 0 and 1", u.requestCount(), s.permits.released.Load())
	}
}

// Guards against refusals while engines start: a request that finds none usable must be served by the
// first that comes up, whatever kept the engines from serving it.
func TestRequestIsServedByTheFirstEngineThatComesUp(t *testing.T) {
	for name, block := range map[string]func(s *testProxy) (unblock func()){
		"engines are down": func(s *testProxy) func() {
			up := s.pools.replicas
			s.pools.replicas = nil
			return func() {
				s.pools.mu.Lock()
				defer s.pools.mu.Unlock()
				s.pools.replicas = up
			}
		},
		"agents don't answer": func(s *testProxy) func() {
			var mu sync.Mutex
			kind := magno.KindNoUpstream
			s.permits.decide = func(context.Context, string) *gate.PermitReply {
				mu.Lock()
				defer mu.Unlock()
				if kind == "" {
					return nil
				}
				return &gate.PermitReply{Refusal: magno.Refuse(kind, "the engine doesn't answer")}
			}
			return func() {
				mu.Lock()
				defer mu.Unlock()
				kind = ""
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			s := newArrivalProxy(t, longAim)
			unblock := block(s)
			got := s.getStatus(t)
			waitFor(t, "a waiting request", func() bool { return s.waiters() == 1 })
			unblock()
			s.pools.wake()
			if status := <-got; status != http.StatusOK {
				t.Errorf("got %d", status)
			}
			if n := s.waiters(); n != 0 {
				t.Errorf("%d requests still count as waiting", n)
			}
		})
	}
}

// Guards against waits without reason, and against waits that never end.
func TestRequestThatIsRefusedAsBefore(t *testing.T) {
	busy := func(context.Context, string) *gate.PermitReply {
		return &gate.PermitReply{Refusal: magno.Refuse(magno.KindBusy, "full").WithRetryAfter(100)}
	}
	starting := func(context.Context, string) *gate.PermitReply {
		return &gate.PermitReply{Refusal: magno.Refuse(magno.KindStarting, "no spec")}
	}
	for _, c := range []struct {
		name   string
		aim    magno.Millis
		slots  int
		decide func(context.Context, string) *gate.PermitReply
		held   bool
	}{
		{"engines are full", longAim, 4, busy, false},
		{"no engine is listed", longAim, 0, starting, false},
		{"no latency target", 0, 4, starting, false},
		{"none comes up", 80, 4, starting, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newArrivalProxy(t, c.aim)
			s.pools.slots, s.permits.decide = c.slots, c.decide
			var log logBuffer
			s.Log = log.logger()
			res, _, err := s.get(t, http.MethodPost, "1")
			if err != nil || res.StatusCode != http.StatusServiceUnavailable && res.StatusCode != http.StatusTooManyRequests || res.Header.Get("Retry-After") == "" {
				t.Fatalf("got %+v, %v", res, err)
			}
			waitFor(t, "the log line", func() bool { return strings.Contains(log.String(), "held=") })
			if held := !strings.Contains(log.String(), "held=0 "); held != c.held {
				t.Errorf("waited: %t, want %t", held, c.held)
			}
		})
	}
}

// Guards against waiting requests without a bound: all entries together let as many wait as the engines
// have request slots, and refuse the others at once.
func TestWaitingRequestsAreBounded(t *testing.T) {
	const entries, slots, requests = 2, 8, 20
	s := newArrivalProxy(t, longAim)
	s.pools.slots, s.Entries = slots, func() int { return entries }
	up := s.pools.replicas
	s.pools.replicas = nil
	var served, refused sync.WaitGroup
	statuses := make(chan int, requests)
	refused.Add(requests - slots/entries)
	for i := range requests {
		served.Go(func() {
			res, _, err := s.get(t, http.MethodPost, fmt.Sprint(i))
			if err != nil {
				t.Error(err)
				return
			}
			statuses <- res.StatusCode
			if res.StatusCode != http.StatusOK {
				refused.Done()
			}
		})
	}
	refused.Wait()
	if n := s.waiters(); n != slots/entries {
		t.Errorf("%d requests wait, want %d", n, slots/entries)
	}
	s.pools.mu.Lock()
	s.pools.replicas = up
	s.pools.mu.Unlock()
	s.pools.wake()
	served.Wait()
	close(statuses)
	ok := 0
	for status := range statuses {
		if status == http.StatusOK {
			ok++
		}
	}
	if ok != slots/entries {
		t.Errorf("%d requests were served, want the %d that waited", ok, slots/entries)
	}
}

// Guards against a wait, and a send after it, for a caller that has left.
func TestWaitEndsWhenTheCallerLeaves(t *testing.T) {
	for name, prepare := range map[string]func(s *testProxy){
		"for an upstream": func(s *testProxy) { s.pools.replicas = nil },
		"for the list": func(s *testProxy) {
			s.permits.decide = func(context.Context, string) *gate.PermitReply { return refuseFor("u0@9", 9) }
		},
		"for the configuration": func(s *testProxy) { s.Book = &view.Store{Clock: s.bookClock} },
	} {
		t.Run(name, func(t *testing.T) {
			s := newArrivalProxy(t, longAim)
			prepare(s)
			ctx, leave := context.WithCancel(context.Background())
			left := make(chan struct{})
			go func() {
				defer close(left)
				req, err := http.NewRequestWithContext(ctx, http.MethodPost, s.server.URL+"/p/1", strings.NewReader("body"))
				if err != nil {
					t.Error(err)
					return
				}
				req.Host, req.Header = "h.example", http.Header{"Id": {"1"}}
				if res, err := http.DefaultTransport.RoundTrip(req); err == nil {
					_ = res.Body.Close()
				}
			}()
			waitFor(t, "a waiting request", func() bool { return s.waiters() == 1 || s.configWaiting.Load() == 1 })
			leave()
			<-left
			waitFor(t, "the end of the wait", func() bool { return s.waiters() == 0 && s.configWaiting.Load() == 0 && s.Active() == 0 })
		})
	}
}

// Guards against refusals by an entry that starts beside others and has its configuration a moment
// later. One that stays without it must refuse, and so must one where too many wait.
func TestRequestWaitsForTheFirstConfiguration(t *testing.T) {
	for _, c := range []struct {
		name    string
		waiting int64
		arrives bool
		status  int
	}{
		{"it arrives", 0, true, 200},
		{"it doesn't", 0, false, 503},
		{"too many wait", maxConfigWaiting, false, 503},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newArrivalProxy(t, 200)
			s.Book = &view.Store{Clock: s.bookClock}
			s.configWaiting.Store(c.waiting)
			got := s.getStatus(t)
			if c.arrives {
				waitFor(t, "a waiting request", func() bool { return s.configWaiting.Load() == 1 })
				s.Book.ApplyRead(s.changes, 1, true)
			}
			if status := <-got; status != c.status {
				t.Fatalf("got %d, want %d", status, c.status)
			}
			if n := s.configWaiting.Load(); n != c.waiting {
				t.Errorf("%d requests count as waiting, want %d", n, c.waiting)
			}
		})
	}
}

// Guards against a send to an upstream that the list stopped naming while the connection to it was made.
func TestUpstreamIsListedWhenARequestIsSent(t *testing.T) {
	s := newArrivalProxy(t, 0)
	j := &job{Handler: s.Handler, service: &s.changes[0].Plan.Services[0]}
	if res := j.maySend("u0@0"); res != resultDone {
		t.Fatalf("got %d for a listed upstream", res)
	}
	s.startAt(5)
	if res := j.maySend("u0@0"); res != resultUnsent || j.refusal == nil || j.refusal.Kind != magno.KindNoUpstream {
		t.Errorf("got %d, %v for one that restarted", res, j.refusal)
	}
}

// Guards against a request that reaches an incarnation which its entry's list doesn't name, while the
// agent is lost: without a permit only the engine itself can tell. Once it has refused a request as meant
// for another incarnation, or has closed its connections, nothing more may be sent without a permit.
func TestNothingIsSentWithoutAPermitToAnEngineThatEnded(t *testing.T) {
	u := startUpstream(t, func(_ int, r *http.Request, c net.Conn) bool {
		writeResponse(c, r.Header.Get("Id"), http.StatusMisdirectedRequest, "")
		return true
	})
	s := newTestProxy(t, magno.RouteStream, false, u)
	s.permits.agentLost = true
	for i := range 5 {
		if _, _, err := s.get(t, http.MethodPost, fmt.Sprint(i)); err != nil {
			t.Fatal(err)
		}
	}
	if n := u.requestCount(); n != 1 {
		t.Errorf("%d requests reached another incarnation, want one", n)
	}
}
