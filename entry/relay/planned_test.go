package relay

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"magnoliastall.example/magno"
	"magnoliastall.example/magno/gate"
)

// replan applies a configuration with a change to the current one.
func (s *testProxy) replan(change func(*magno.Plan)) {
	snap := s.Book.Current()
	plan := *snap.Plan
	plan.Version++
	plan.Routes, plan.Services, plan.Customers = slices.Clone(plan.Routes), slices.Clone(plan.Services), slices.Clone(plan.Customers)
	change(&plan)
	revision := snap.Revision + 1
	s.Book.ApplyRead([]magno.Change{{Key: "plan", Revision: revision, Plan: &plan}}, revision, false)
}

// relistOne changes the entry of one upstream in the list.
func (s *testProxy) relistOne(i int, change func(*magno.Replica)) {
	snap := s.Book.Current()
	r := *s.changes[1+i].Replica
	change(&r)
	revision := snap.Revision + 1
	s.Book.ApplyRead([]magno.Change{{Key: s.changes[1+i].Key, Revision: revision, Replica: &r}}, revision, false)
}

// delist takes an upstream off the list.
func (s *testProxy) delist(i int) {
	revision := s.Book.Current().Revision + 1
	s.Book.ApplyRead([]magno.Change{{Key: s.changes[1+i].Key, Revision: revision, Deleted: true}}, revision, false)
}

// planChanges are configurations that take away or change what a request in progress began with.
var planChanges = map[string]func(*testProxy){
	"the route goes":    func(s *testProxy) { s.replan(func(p *magno.Plan) { p.Routes = nil }) },
	"the service goes":  func(s *testProxy) { s.replan(func(p *magno.Plan) { p.Routes, p.Services = nil, nil }) },
	"the customer goes": func(s *testProxy) { s.replan(func(p *magno.Plan) { p.Customers = nil }) },
	"the limit goes": func(s *testProxy) {
		s.replan(func(p *magno.Plan) { p.Customers[0].Limit = nil })
	},
	"the weight moves": func(s *testProxy) {
		s.replan(func(p *magno.Plan) {
			p.Services = append(p.Services, magno.Service{Name: "other"})
			p.Routes[0].Parts = []magno.Part{{Service: "other", Weight: 1}}
		})
	},
	"the timeout falls": func(s *testProxy) { s.replan(func(p *magno.Plan) { p.Routes[0].Timeout = 100 }) },
	"the route may not be repeated": func(s *testProxy) {
		s.replan(func(p *magno.Plan) {
			p.Routes[0].Resume, p.Routes[0].Attempts, p.Routes[0].Kind = false, 1, magno.RouteOnce
		})
	},
}

// firstChanges are changes of the upstream that gets a request first, otherChanges those of the other one.
var (
	firstChanges = map[string]func(*testProxy){
		"the first leaves":   func(s *testProxy) { s.relistOne(0, func(r *magno.Replica) { r.Leaving = true }) },
		"the first goes":     func(s *testProxy) { s.delist(0) },
		"a release at first": func(s *testProxy) { s.relistOne(0, func(r *magno.Replica) { r.Build = "2" }) },
	}
	otherChanges = map[string]func(*testProxy){
		"the other leaves":   func(s *testProxy) { s.relistOne(1, func(r *magno.Replica) { r.Leaving = true }) },
		"the other goes":     func(s *testProxy) { s.delist(1) },
		"a release at other": func(s *testProxy) { s.relistOne(1, func(r *magno.Replica) { r.Build = "2" }) },
	}
)

// newPlannedProxy returns a proxy whose requests bear a customer's key and may be repeated, at an engine or a plain
// service with upstreams of one build.
func newPlannedProxy(t *testing.T, kind magno.RouteKind, engine bool, ups ...*fakeUpstream) *testProxy {
	t.Helper()
	s := newSilentProxy(t, kind, engine, ups...)
	plan := s.changes[0].Plan
	plan.Customers = []magno.Customer{{
		Name: "alpha", Keys: []magno.Digest{magno.DigestOf("key")}, Limit: &magno.Limit{Rate: 100, Burst: 100},
	}}
	s.Quotas = &allowAll{}
	s.relist(len(ups), func(_ int, r *magno.Replica) { r.Build = "1" })
	return s
}

// allowAll are limits that nobody exceeds. It counts the requests.
type allowAll struct{ taken atomic.Int64 }

func (a *allowAll) Take(context.Context, *magno.Customer, float64) *magno.Refusal {
	a.taken.Add(1)
	return nil
}
func (a *allowAll) Give(*magno.Customer, float64) {}

// request sends a request with the customer's key.
func (s *testProxy) request(t *testing.T) (*responseHead, string, error) {
	t.Helper()
	return s.do(t, http.MethodPost, "/p/1", "1", "Bearer key")
}

// checkWhole checks that a request got all of the first n events.
func checkWhole(t *testing.T, n int, res *responseHead, body string, err error) {
	t.Helper()
	want := ""
	for i := range n {
		want += eventText(i + 1)
	}
	if err != nil || res.StatusCode != http.StatusOK || body != want {
		t.Errorf("got %v %q %v, want all of %d events", res, body, err, n)
	}
}

// Guards against a request that ends without an answer because a planned change came while it waited for its permit,
// or once an engine had declined it.
func TestPlannedChangeUnderAWaitingRequest(t *testing.T) {
	for state, declined := range map[string]bool{"waits": false, "was declined": true} {
		for _, changes := range []map[string]func(*testProxy){planChanges, firstChanges, otherChanges} {
			for name, change := range changes {
				t.Run(state+", "+name, func(t *testing.T) {
					t.Parallel()
					u, v := startUpstream(t, streamOneEvent), startUpstream(t, streamOneEvent)
					s := newPlannedProxy(t, magno.RouteStream, true, u, v)
					var once sync.Once
					s.pools.maxWait = 1
					s.permits.declines = func(string) bool {
						if declined {
							once.Do(func() { change(s) })
						}
						return declined
					}
					s.permits.decide = func(context.Context, string) *gate.PermitReply {
						once.Do(func() { change(s) })
						return nil
					}
					res, body, err := s.request(t)
					checkWhole(t, 1, res, body, err)
				})
			}
		}
	}
}

// changingLimits grants each request, after a change.
type changingLimits struct {
	fakeLimits
	change func()
}

func (l *changingLimits) Take(context.Context, string, float64) magno.LimitGrant {
	l.change()
	return magno.LimitGrant{Granted: true, Rate: 10}
}

// Guards against a request that ends without an answer because a planned change came while it waited for the grant of its
// upstream's limit.
func TestPlannedChangeUnderARequestThatAsksForAGrant(t *testing.T) {
	for _, changes := range []map[string]func(*testProxy){planChanges, firstChanges, otherChanges} {
		for name, change := range changes {
			t.Run(name, func(t *testing.T) {
				t.Parallel()
				s := newPlannedProxy(t, magno.RouteOnce, false, startUpstream(t, answerRequest), startUpstream(t, answerRequest))
				for _, key := range s.pools.replicas {
					s.Notices.Record(key, magno.Notice{Limited: true, Rate: 10}, 0)
				}
				var once sync.Once
				s.Limits = &changingLimits{change: func() { once.Do(func() { change(s) }) }}
				res, body, err := s.request(t)
				if err != nil || res.StatusCode != http.StatusOK || body != "yes" {
					t.Errorf("got %v %q %v", res, body, err)
				}
			})
		}
	}
}

// Guards against an answer that is lost because a planned change came while an upstream worked on the request.
func TestPlannedChangeUnderASentRequest(t *testing.T) {
	for service, c := range map[string]struct {
		kind   magno.RouteKind
		engine bool
	}{
		"engine": {magno.RouteStream, true}, "plain service, stream": {magno.RouteStream, false},
		"plain service": {magno.RouteIdempotent, false}, "plain service, once": {magno.RouteOnce, false},
	} {
		for _, changes := range []map[string]func(*testProxy){planChanges, firstChanges, otherChanges} {
			for name, change := range changes {
				t.Run(service+", "+name, func(t *testing.T) {
					t.Parallel()
					var s *testProxy
					u := startUpstream(t, func(n int, r *http.Request, c net.Conn) bool {
						change(s)
						time.Sleep(silence)
						return streamOneEvent(n, r, c)
					})
					s = newPlannedProxy(t, c.kind, c.engine, u, startUpstream(t, failRequest))
					res, body, err := s.request(t)
					checkWhole(t, 1, res, body, err)
				})
			}
		}
	}
}

// Guards against a stream that is cut because a planned change came while its upstream was silent, or while another one
// was tried besides.
func TestPlannedChangeUnderASilentStream(t *testing.T) {
	for service, engine := range map[string]bool{"engine": true, "plain service": false} {
		for _, changes := range []map[string]func(*testProxy){planChanges, firstChanges, otherChanges} {
			for name, change := range changes {
				for state, hedged := range map[string]bool{"silent": false, "hedged": true} {
					t.Run(service+", "+state+", "+name, func(t *testing.T) {
						t.Parallel()
						var s *testProxy
						u := startUpstream(t, func(_ int, r *http.Request, c net.Conn) bool {
							writeStreamHead(c, r.Header.Get("Id"))
							writeChunk(c, eventText(1))
							if !hedged {
								change(s)
							}
							time.Sleep(silence)
							writeChunk(c, eventText(2))
							fmt.Fprint(c, "0\r\n\r\n")
							return true
						})
						v := startUpstream(t, func(n int, r *http.Request, c net.Conn) bool {
							if hedged {
								change(s)
							}
							return waitUntilClosed(n, r, c)
						})
						s = newPlannedProxy(t, magno.RouteStream, engine, u, v)
						res, body, err := s.request(t)
						checkWhole(t, 2, res, body, err)
						s.pools.checkBudget(t, min(v.requestCount(), 1))
						if engine {
							waitFor(t, "the permits to be released", func() bool { return int(s.permits.released.Load()) >= 1+v.requestCount() })
						}
					})
				}
			}
		}
	}
}

// Guards against a stream that isn't gone on with because a planned change came as it was sent to a second upstream.
func TestPlannedChangeUnderAResumedStream(t *testing.T) {
	for service, engine := range map[string]bool{"engine": true, "plain service": false} {
		for _, changes := range []map[string]func(*testProxy){planChanges, firstChanges, otherChanges} {
			for name, change := range changes {
				t.Run(service+", "+name, func(t *testing.T) {
					t.Parallel()
					var s *testProxy
					u := startUpstream(t, streamUpTo(1, 2))
					v := startUpstream(t, func(n int, r *http.Request, c net.Conn) bool {
						change(s)
						return streamUpTo(2, 2)(n, r, c)
					})
					s = newPlannedProxy(t, magno.RouteStream, engine, u, v)
					res, body, err := s.request(t)
					checkWhole(t, 2, res, body, err)
				})
			}
		}
	}
}

// Guards against a queued request that ends without an answer because a planned change came while it waited for its
// turn.
func TestPlannedChangeUnderAQueuedRequest(t *testing.T) {
	for _, changes := range []map[string]func(*testProxy){planChanges, firstChanges, otherChanges} {
		for name, change := range changes {
			t.Run(name, func(t *testing.T) {
				t.Parallel()
				held, free := make(chan struct{}, 16), make(chan struct{})
				script := func(n int, r *http.Request, c net.Conn) bool {
					held <- struct{}{}
					<-free
					return streamOneEvent(n, r, c)
				}
				u, v := startUpstream(t, script), startUpstream(t, script)
				s := newPlannedProxy(t, magno.RouteOnce, false, u, v)
				s.relist(2, func(_ int, r *magno.Replica) { r.Slots = 1 })
				s.withQueues(t)
				taken := &allowAll{}
				s.Quotas = taken
				const requests = 6
				var wg sync.WaitGroup
				for i := range requests {
					wg.Go(func() {
						res, body, err := s.do(t, http.MethodPost, "/p/1", fmt.Sprint(i), "Bearer key")
						switch {
						case err != nil:
							t.Errorf("got %v, want an answer or a refusal", err)
						case res.StatusCode == http.StatusOK && body == eventText(1), res.StatusCode == http.StatusServiceUnavailable:
						default:
							t.Errorf("got %d %q, want an answer or a refusal", res.StatusCode, body)
						}
					})
				}
				<-held
				waitFor(t, "all requests to be accepted", func() bool { return taken.taken.Load() == requests })
				change(s)
				s.Queues.(interface{ Update() }).Update()
				close(free)
				wg.Wait()
			})
		}
	}
}

// Guards against a stream that is broken off as its upstream is replaced at its address, though another one fits, and
// against an answer of the successor.
func TestStreamGoesOnElsewhereWhenItsUpstreamIsReplaced(t *testing.T) {
	for service, engine := range map[string]bool{"engine": true, "plain service": false} {
		t.Run(service, func(t *testing.T) {
			t.Parallel()
			var s *testProxy
			u := startUpstream(t, func(n int, r *http.Request, c net.Conn) bool {
				writeStreamHead(c, r.Header.Get("Id"))
				writeChunk(c, eventText(1))
				s.relistOne(0, func(r *magno.Replica) { r.StartedAt = 7 })
				return waitUntilClosed(n, r, c)
			})
			v := startUpstream(t, streamUpTo(2, 2))
			s = newPlannedProxy(t, magno.RouteStream, engine, u, v)
			res, body, err := s.request(t)
			checkWhole(t, 2, res, body, err)
			if n := u.requestCount(); n != 1 {
				t.Errorf("the successor at the address got %d requests", n-1)
			}
		})
	}
}
