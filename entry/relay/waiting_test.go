package relay

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"magnoliastall.example/magno"
	"magnoliastall.example/magno/gate"
	"magnoliastall.example/magno/strain"
)

// eventQuotas calls event while a request waits for its customer's limit.
type eventQuotas struct {
	allowAll
	event func()
}

func (q *eventQuotas) Take(ctx context.Context, c *magno.Customer, cost float64) *magno.Refusal {
	q.event()
	return q.allowAll.Take(ctx, c, cost)
}

// eventLimits calls event while a request waits for its upstream's limit.
type eventLimits struct {
	fakeLimits
	event func()
}

func (l *eventLimits) Take(ctx context.Context, key string, rate float64) magno.LimitGrant {
	l.event()
	return l.fakeLimits.Take(ctx, key, rate)
}

// eventTrials calls event while a request waits for its trial.
type eventTrials struct {
	grantTrials
	event func()
}

func (e *eventTrials) Ask(ctx context.Context, prints []uint64) bool {
	e.event()
	return e.grantTrials.Ask(ctx, prints)
}

// waits return a proxy whose first request waits for something when event is called, and gets that after it.
var waits = map[string]func(t *testing.T, event func(*testProxy)) *testProxy{
	"permit": func(t *testing.T, event func(*testProxy)) *testProxy {
		s := newPlannedProxy(t, magno.RouteStream, true, startUpstream(t, streamOneEvent))
		s.permits.decide = func(context.Context, string) *gate.PermitReply {
			event(s)
			return nil
		}
		return s
	},
	"upstream": func(t *testing.T, event func(*testProxy)) *testProxy {
		s := newPlannedProxy(t, magno.RouteStream, true, startUpstream(t, streamOneEvent))
		s.changes[0].Plan.Routes[0].Aim = longAim
		up := s.pools.replicas
		s.pools.slots, s.pools.replicas, s.permits.holdsNothing = 4, nil, true
		s.onceOneWaits(t, func() {
			event(s)
			s.pools.mu.Lock()
			s.pools.replicas = up
			s.pools.mu.Unlock()
			s.pools.wake()
		})
		return s
	},
	"list": func(t *testing.T, event func(*testProxy)) *testProxy {
		s := newPlannedProxy(t, magno.RouteStream, true, startUpstream(t, streamOneEvent))
		s.changes[0].Plan.Routes[0].Aim = longAim
		s.pools.slots = 4
		s.startAt(1)
		known := s.Book.Current().Revision
		var once sync.Once
		s.permits.decide = func(context.Context, string) (reply *gate.PermitReply) {
			once.Do(func() {
				reply = refuseFor("u0@2", known+1)
				s.onceOneWaits(t, func() {
					event(s)
					s.startAt(2)
				})
			})
			return reply
		}
		return s
	},
	"customer's limit": func(t *testing.T, event func(*testProxy)) *testProxy {
		s := newPlannedProxy(t, magno.RouteStream, true, startUpstream(t, streamOneEvent))
		s.Quotas = &eventQuotas{event: func() { event(s) }}
		return s
	},
	"upstream's limit": func(t *testing.T, event func(*testProxy)) *testProxy {
		s := newPlannedProxy(t, magno.RouteStream, false, startUpstream(t, streamOneEvent))
		up := s.pools.replicas[0]
		s.Notices.Record(up, magno.Notice{Limited: true, Rate: 1}, 0)
		s.Limits = &eventLimits{fakeLimits{open: map[string]bool{up: true}}, func() { event(s) }}
		return s
	},
	"trial": func(t *testing.T, event func(*testProxy)) *testProxy {
		s := newPlannedProxy(t, magno.RouteStream, true, startUpstream(t, streamOneEvent))
		s.Trials = &eventTrials{event: func() { event(s) }}
		r := httptest.NewRequest(http.MethodPost, "/p/1", nil)
		r.Host = "h.example"
		j := &job{Handler: s.Handler, r: r, body: [][]byte{[]byte("body")}, customer: &s.changes[0].Plan.Customers[0]}
		for n := range uint64(3) {
			s.Suspects.RecordEnd(j.computeFingerprint(), magno.UpstreamEnd{Upstream: n + 1})
		}
		return s
	},
}

// onceOneWaits calls f in the background once a request waits, and lets the test wait for its end.
func (s *testProxy) onceOneWaits(t *testing.T, f func()) {
	t.Helper()
	var wg sync.WaitGroup
	wg.Go(func() {
		for end := time.Now().Add(time.Minute); s.waiters() != 1; time.Sleep(time.Millisecond) {
			if time.Now().After(end) {
				t.Error("no request waits")
				return
			}
		}
		f()
	})
	t.Cleanup(wg.Wait)
}

// waitEvents are what may happen to an instance while requests wait in it.
var waitEvents = map[string]func(*testProxy){
	"overload":                    func(s *testProxy) { s.SetLoadLevel(strain.Overloaded) },
	"strain":                      func(s *testProxy) { s.SetLoadLevel(strain.Strained) },
	"stop":                        func(s *testProxy) { s.Drain(magno.Minute, magno.Minute, magno.Minute) },
	"stop, nothing more accepted": func(s *testProxy) { s.Drain(-1, -1, magno.Minute) },
}

// Guards against a request that waits, and is refused or ends without an answer because its instance is overloaded or
// stops.
func TestWaitingRequestIsServedByAnInstanceThatStopsOrIsOverloaded(t *testing.T) {
	for wait, start := range waits {
		for name, event := range waitEvents {
			t.Run(wait+", "+name, func(t *testing.T) {
				t.Parallel()
				var happened sync.Once
				done := false
				s := start(t, func(s *testProxy) { happened.Do(func() { event(s); done = true }) })
				res, body, err := s.request(t)
				checkWhole(t, 1, res, body, err)
				if happened.Do(func() {}); !done {
					t.Error("the request didn't wait")
				}
			})
		}
	}
}

// Guards against a queued request that ends without an answer, or isn't served though its turn comes, because its
// instance is overloaded or stops.
func TestQueuedRequestIsServedByAnInstanceThatStopsOrIsOverloaded(t *testing.T) {
	for name, event := range waitEvents {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			held, free := make(chan struct{}, 16), make(chan struct{})
			u := startUpstream(t, func(n int, r *http.Request, c net.Conn) bool {
				held <- struct{}{}
				<-free
				return streamOneEvent(n, r, c)
			})
			s := newPlannedProxy(t, magno.RouteOnce, false, u)
			s.relist(1, func(_ int, r *magno.Replica) { r.Slots = 1 })
			s.withQueues(t)
			taken := &allowAll{}
			s.Quotas = taken
			const requests = 6
			statuses := make(chan int, requests)
			for i := range requests {
				go func() {
					res, _, err := s.do(t, http.MethodPost, "/p/1", fmt.Sprint(i), "Bearer key")
					if err != nil {
						t.Error(err)
						statuses <- 0
						return
					}
					statuses <- res.StatusCode
				}()
			}
			<-held
			waitFor(t, "all requests to be accepted", func() bool { return taken.taken.Load() == requests })
			sent := u.requestCount()
			event(s)
			close(free)
			served := 0
			for range requests {
				switch status := <-statuses; status {
				case http.StatusOK:
					served++
				case http.StatusServiceUnavailable, http.StatusTooManyRequests:
				default:
					t.Errorf("got %d, want an answer or a refusal", status)
				}
			}
			if served <= sent {
				t.Errorf("%d requests were served, of which %d had been sent before", served, sent)
			}
		})
	}
}
