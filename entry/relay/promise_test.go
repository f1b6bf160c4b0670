package relay

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"testing"
	"time"

	"magnoliastall.example/magno"
	"magnoliastall.example/magno/gate"
)

// slowLimits grants each request after a while.
type slowLimits struct {
	fakeLimits
	after time.Duration
}

func (l *slowLimits) Take(context.Context, string, float64) magno.LimitGrant {
	time.Sleep(l.after)
	return magno.LimitGrant{Granted: true}
}

// A request waits, and hardly any of its time is left when it may be sent. Guards against a send that
// the caller can have no answer from: it counts as a run, so that the caller isn't told that the
// request did not run, and takes capacity from others.
func TestRequestWithHardlyAnyTimeLeftIsNotSent(t *testing.T) {
	const timeout = 320 * magno.Millis(1) // of which deadlineMargin is for the way back
	for _, c := range []struct {
		name string
		kind magno.RouteKind
		set  func(s *testProxy)
	}{
		{"plain service", magno.RouteOnce, func(s *testProxy) {
			s.Notices.Record(s.pools.replicas[0], magno.Notice{Limited: true, Rate: 10}, 0)
			s.Limits = &slowLimits{after: 290 * time.Millisecond}
		}},
		{"queued", magno.RouteOnce, func(s *testProxy) {
			s.withQueues(t)
			s.Notices.Record(s.pools.replicas[0], magno.Notice{Limited: true, Rate: 10}, 0)
			s.Limits = &slowLimits{after: 290 * time.Millisecond}
		}},
		{"permit", magno.RouteStream, func(s *testProxy) {
			s.permits.onAcquire = func(string) { time.Sleep(250 * time.Millisecond) }
		}},
		{"no agent", magno.RouteStream, func(s *testProxy) {
			s.permits.agentLost = true
			s.permits.decide = func(context.Context, string) *gate.PermitReply {
				time.Sleep(250 * time.Millisecond)
				return nil
			}
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			u := startUpstream(t, answerRequest)
			s := newTestProxy(t, c.kind, false, u)
			s.changes[0].Plan.Routes[0].Timeout = timeout
			c.set(s)
			res, _, err := s.get(t, http.MethodPost, "1")
			if err != nil || !promisesNotRun(res.StatusCode) || res.Header.Get("Retry-After") == "" {
				t.Errorf("got %v %v, want a refusal with Retry-After", res, err)
			}
			if n := u.requestCount(); n != 0 {
				t.Errorf("it was sent %d times", n)
			}
		})
	}
}

// An upstream takes longer than the time after which a request is tried elsewhere. Guards against an
// answer that is cut off although no retry can follow: the late answer is the only one to be had.
func TestLateAnswerIsAwaitedIfThereIsNoRetry(t *testing.T) {
	slow := func(_ int, r *http.Request, c net.Conn) bool {
		time.Sleep(1100 * time.Millisecond) // longer than all timeouts of a first try
		return answerRequest(0, r, c)
	}
	slowStream := func(_ int, r *http.Request, c net.Conn) bool {
		from, _ := strconv.Atoi(r.Header.Get("From"))
		writeStreamHead(c, r.Header.Get("Id"))
		time.Sleep(1100 * time.Millisecond)
		writeChunk(c, eventText(from+1))
		fmt.Fprint(c, "0\r\n\r\n")
		return true
	}
	pausing := func(_ int, r *http.Request, c net.Conn) bool {
		writeStreamHead(c, r.Header.Get("Id"))
		writeChunk(c, eventText(1))
		time.Sleep(1100 * time.Millisecond)
		writeChunk(c, eventText(2))
		fmt.Fprint(c, "0\r\n\r\n")
		return true
	}
	for _, c := range []struct {
		name   string
		kind   magno.RouteKind
		script func(int, *http.Request, net.Conn) bool
		queued bool
		from   string
		body   string
	}{
		{"plain service", magno.RouteIdempotent, slow, false, "", "yes"},
		{"plain service, single run", magno.RouteOnce, slow, false, "", "yes"},
		{"queued", magno.RouteIdempotent, slow, true, "", "yes"},
		{"first event", magno.RouteStream, slowStream, false, "", eventText(1)},
		{"next event", magno.RouteStream, pausing, false, "", eventText(1) + eventText(2)},
		{"stream taken up", magno.RouteStream, slowStream, false, "1", eventText(2)},
	} {
		for why, upstreams := range map[string]int{"the budget is used up": 2, "there is no other upstream": 1} {
			t.Run(c.name+", "+why, func(t *testing.T) {
				t.Parallel() // each waits for over a second
				var ups []*fakeUpstream
				for range upstreams {
					ups = append(ups, startUpstream(t, c.script))
				}
				s := newTestProxy(t, c.kind, true, ups...)
				s.changes[0].Plan.Routes[0].Timeout = magno.Minute
				if upstreams > 1 {
					s.pools.retries = 0
				}
				if c.queued {
					s.withQueues(t)
				}
				h := http.Header{"Id": {"1"}, "Time": {"15000"}} // far more than a loaded machine needs
				if c.from != "" {
					h.Set("From", c.from)
				}
				res, body, err := s.doWith(t, http.MethodPost, "/p/1", h)
				if err != nil || res.StatusCode != http.StatusOK || body != c.body {
					t.Errorf("got %v %q %v, want the late answer", res, body, err)
				}
				s.pools.checkBudget(t, 0)
			})
		}
	}
}
