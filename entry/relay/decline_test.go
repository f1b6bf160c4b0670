package relay

import (
	"context"
	"net"
	"net/http"
	"slices"
	"testing"
	"time"

	"magnoliastall.example/magno"
	"magnoliastall.example/magno/gate"
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
	s.pools.checkBudget(t, 0)
}

// All engines decline, as happens when all are busy and their reports cross. The request must
// wait at one of them in the end. It must not circulate: maxDeclines engines may decline it, none
// of them twice, and one that did is only asked again if there is no other.
func TestRequestThatAllDeclineIsTaken(t *testing.T) {
	for engines, want := range map[int]struct{ declines, last int }{1: {1, 0}, 2: {2, 0}, 4: {maxDeclines, 2}} {
		var upstreams []*fakeUpstream
		for range engines {
			upstreams = append(upstreams, startUpstream(t, streamOneEvent))
		}
		s := newTestProxy(t, magno.RouteStream, false, upstreams...)
		s.pools.maxWait = 50
		var asked []string
		s.permits.declines = func(key string) bool { asked = append(asked, key); return true }
		if res, _, err := s.get(t, http.MethodPost, "1"); err != nil || res.StatusCode != 200 {
			t.Fatalf("%d engines: got %v %v", engines, res, err)
		}
		if len(asked) != want.declines || len(slices.Compact(slices.Sorted(slices.Values(asked)))) != len(asked) {
			t.Errorf("%d engines: permit requests with a maximum wait went to %v, want %d of them to different engines", engines, asked, want.declines)
		}
		for i, u := range upstreams {
			if sent := u.requestCount(); sent > 0 != (i == want.last) {
				t.Errorf("%d engines: %d requests at engine %d, want one at engine %d", engines, sent, i, want.last)
			}
		}
	}
}

// An engine declines, and the agent of the only other one can't admit requests at present. Guards against a refusal,
// or a wait for an upstream, while the engine that declined can serve the request.
func TestDeclinedRequestReturnsIfNoOtherEngineIsUsable(t *testing.T) {
	for name, reply := range map[string]*gate.PermitReply{
		"the other one is down":         {Refusal: magno.Refuse(magno.KindNoUpstream, "the engine doesn't answer")},
		"the agent of the other starts": {Refusal: magno.Refuse(magno.KindStarting, "no spec")},
	} {
		t.Run(name, func(t *testing.T) {
			u, v := startUpstream(t, streamOneEvent), startUpstream(t, streamOneEvent)
			s := newTestProxy(t, magno.RouteStream, false, u, v)
			s.pools.maxWait = 50
			first := s.pools.replicas[0]
			s.permits.declines = func(key string) bool { return key == first }
			s.permits.decide = func(_ context.Context, key string) *gate.PermitReply {
				if key == first {
					return nil
				}
				return reply
			}
			if res, _, err := s.get(t, http.MethodPost, "1"); err != nil || res.StatusCode != 200 {
				t.Fatalf("got %v %v", res, err)
			}
			if u.requestCount() != 1 || len(s.permits.asked) != 3 {
				t.Errorf("%d requests at the first engine after %d permit requests, want 1 after 3", u.requestCount(), len(s.permits.asked))
			}
		})
	}
}

// An engine hands a request back that waited in its queue. Guards against the request losing its
// place at the next one: what counts there is the time since it arrived at the entry, and its
// wait is accounted for.
func TestRequestHandedBackKeepsItsPlace(t *testing.T) {
	u := startUpstream(t, streamOneEvent)
	v := startUpstream(t, streamOneEvent)
	s := newTestProxy(t, magno.RouteStream, true, u, v)
	s.pools.maxWait = 50
	s.permits.handBackAfter = 30 * time.Millisecond
	first := s.pools.replicas[0]
	s.permits.declines = func(key string) bool { return key == first }
	if res, _, err := s.get(t, http.MethodPost, "1"); err != nil || res.StatusCode != 200 {
		t.Fatalf("got %v %v", res, err)
	}
	asked := s.permits.asked
	if len(asked) != 2 || len(u.requests) != 0 || len(v.requests) != 1 {
		t.Fatalf("%d permit requests, %d and %d sends; want two, and one send to the second engine", len(asked), len(u.requests), len(v.requests))
	}
	const waited = 30
	if asked[1].StartTarget > asked[0].StartTarget-waited || asked[1].MaxWait > asked[0].MaxWait-waited || asked[1].TimeLeft > asked[0].TimeLeft-waited {
		t.Errorf("asked with %+v and then with %+v, want %d ms less", asked[0], asked[1], waited)
	}
	if asked[0].ID == asked[1].ID {
		t.Error("both permit requests have the same ID: the release of one would end the other")
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
