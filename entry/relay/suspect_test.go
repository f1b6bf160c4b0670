package relay

import (
	"bufio"
	"context"
	"crypto/rand"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"magnoliastall.example/magno"
	"magnoliastall.example/magno/crash"
)

// breakOff ends the connection without an answer.
func breakOff(int, *http.Request, net.Conn) bool { return false }

// startUpstreamThatEnds starts an upstream that breaks off each request and ends with the second. onEnd, if
// set, is called as it ends.
func startUpstreamThatEnds(t *testing.T, onEnd func()) *fakeUpstream {
	t.Helper()
	var u *fakeUpstream
	u = startUpstream(t, func(n int, _ *http.Request, _ net.Conn) bool {
		if n == 2 {
			_ = u.listener.Close()
			if onEnd != nil {
				onEnd()
			}
		}
		return false
	})
	return u
}

// send sends a request whose answer doesn't matter, post one to a path.
func (s *testProxy) send(t *testing.T, method, id string) {
	t.Helper()
	if _, _, err := s.get(t, method, id); err != nil {
		t.Log(err)
	}
}

func (s *testProxy) post(t *testing.T, path string) {
	t.Helper()
	if _, _, err := s.do(t, http.MethodPost, path, rand.Text(), ""); err != nil {
		t.Log(err)
	}
}

// awaitChecks waits until no upstream is being checked.
func (s *testProxy) awaitChecks(t *testing.T) {
	t.Helper()
	waitFor(t, "the checks of upstreams", func() bool { return s.ends.active.Load() == 0 })
}

// endCounts returns the requests under which upstreams ended, by the number of ends.
func (s *testProxy) endCounts() (counts []int) {
	for _, rec := range s.Suspects.List() {
		counts = append(counts, s.Suspects.Count(rec.Fingerprint))
	}
	return counts
}

// Guards against sending a request on because the end of an upstream under it isn't recognised: by
// refused connections, by another incarnation at the address, by an engine's agent, with a body or
// without.
func TestEndOfAnUpstreamIsRecognised(t *testing.T) {
	for _, c := range []struct {
		name   string
		kind   magno.RouteKind
		method string
		end    func(s *testProxy, u *fakeUpstream)
	}{
		{"connections refused, no body", magno.RouteIdempotent, http.MethodGet, func(_ *testProxy, u *fakeUpstream) { _ = u.listener.Close() }},
		{"connections refused, body", magno.RouteOnce, http.MethodPost, func(_ *testProxy, u *fakeUpstream) { _ = u.listener.Close() }},
		{"another incarnation", magno.RouteIdempotent, http.MethodGet, func(s *testProxy, u *fakeUpstream) {
			s.Book.ApplyRead([]magno.Change{
				{Key: "u0", Revision: 2, Deleted: true},
				{Key: "v0", Revision: 2, Replica: &magno.Replica{ID: "v0", Service: "s", Address: u.addr, DataCentre: "x", Slots: 4}},
			}, 2, true)
		}},
		{"the agent says so", magno.RouteStream, http.MethodGet, func(s *testProxy, _ *fakeUpstream) { s.permits.down.Store(true) }},
	} {
		t.Run(c.name, func(t *testing.T) {
			var s *testProxy
			var u *fakeUpstream
			u = startUpstream(t, func(int, *http.Request, net.Conn) bool {
				c.end(s, u)
				return false
			})
			s = newTestProxy(t, c.kind, false, u)
			s.send(t, c.method, "1")
			s.awaitChecks(t)
			if got := s.endCounts(); len(got) != 1 || got[0] != 1 {
				t.Errorf("ends are %v, want one of one request", got)
			}
		})
	}
}

// Guards against counting an end where there was none: a connection that is cut while the upstream
// lives on, or an upstream that leaves as planned.
func TestCutsAndDeparturesAreNoEnds(t *testing.T) {
	t.Run("cut", func(t *testing.T) {
		u := startUpstream(t, func(n int, r *http.Request, c net.Conn) bool {
			if n%2 == 1 {
				return false
			}
			writeResponse(c, r.Header.Get("Id"), http.StatusNotFound, "")
			return true
		})
		s := newTestProxy(t, magno.RouteOnce, false, u)
		for _, id := range []string{"1", "2", "3", "4", "5", "6"} {
			s.post(t, "/p/"+id)
		}
		s.awaitChecks(t)
		if got := s.endCounts(); len(got) != 0 {
			t.Errorf("ends are %v, want none", got)
		}
	})
	t.Run("leaving", func(t *testing.T) {
		var s *testProxy
		var u *fakeUpstream
		u = startUpstream(t, func(int, *http.Request, net.Conn) bool {
			s.Book.ApplyRead([]magno.Change{{
				Key: "u0", Revision: 2, Replica: &magno.Replica{ID: "u0", Service: "s", Address: u.addr, DataCentre: "x", Slots: 4, Leaving: true},
			}}, 2, true)
			_ = u.listener.Close()
			return false
		})
		s = newTestProxy(t, magno.RouteOnce, false, u)
		s.send(t, http.MethodPost, "1")
		s.awaitChecks(t)
		if got := s.endCounts(); len(got) != 0 {
			t.Errorf("ends are %v, want none", got)
		}
	})
}

// Guards against missing a request whose caller leaves just before the upstream ends under it.
func TestCancelledRunCountsIfItsUpstreamEnds(t *testing.T) {
	reached := make(chan struct{}, 2)
	var u *fakeUpstream
	u = startUpstream(t, func(_ int, r *http.Request, c net.Conn) bool {
		reached <- struct{}{}
		if r.RequestURI == "/p/patient" {
			_ = u.listener.Close()
			return false
		}
		_, _ = bufio.NewReader(c).ReadByte() // until the connection closes
		return false
	})
	s := newTestProxy(t, magno.RouteOnce, false, u)
	c, err := net.Dial("tcp", s.server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	_, _ = c.Write([]byte("POST /p/leaves HTTP/1.1\r\nHost: h.example\r\nId: 1\r\nContent-Length: 0\r\n\r\n"))
	<-reached
	_ = c.Close()
	waitFor(t, "the request to be cancelled", func() bool {
		s.ends.mu.Lock()
		defer s.ends.mu.Unlock()
		return len(s.ends.cancelled) == 1
	})
	s.post(t, "/p/patient")
	s.awaitChecks(t)
	if got := s.endCounts(); len(got) != 2 {
		t.Errorf("ends are %v, want one of each request", got)
	}
}

// Guards against sending a request that was found to end upstreams while it waited for a permit, or
// after its first send.
func TestSuspectIsNotSentAfterAWait(t *testing.T) {
	for _, c := range []struct {
		name string
		// duringPermit is true if the third end becomes known during the wait.
		duringPermit bool
		status       int
	}{
		{"for a permit", true, http.StatusServiceUnavailable},
		{"after its first send", false, http.StatusBadGateway},
	} {
		t.Run(c.name, func(t *testing.T) {
			var s *testProxy
			thirdEnd := func() {
				for _, rec := range s.Suspects.List() {
					s.Suspects.RecordEnd(rec.Fingerprint, magno.UpstreamEnd{Upstream: 10, Pool: rec.Ends[0].Pool})
				}
			}
			first := startUpstream(t, func(n int, _ *http.Request, _ net.Conn) bool {
				if n == 2 {
					thirdEnd()
				}
				return false
			})
			second := startUpstream(t, breakOff)
			s = newTestProxy(t, magno.RouteStream, true, first, second)
			s.permits.down.Store(true)
			s.send(t, http.MethodGet, "1")
			s.awaitChecks(t)
			if got := s.endCounts(); len(got) != 1 || got[0] != 2 {
				t.Fatalf("ends are %v, want two of one request", got)
			}
			if c.duringPermit {
				s.permits.onAcquire = func(string) { thirdEnd() }
			}
			res, _, err := s.get(t, http.MethodGet, "2")
			if err != nil || res.StatusCode != c.status {
				t.Errorf("%v %v, want %d", res, err, c.status)
			}
			if n := second.requestCount(); n != 1 {
				t.Errorf("sent %d times after the third end", n-1)
			}
		})
	}
}

// Guards against holding an end against requests that were sent to the upstream only after it. Behind a
// proxy it still accepts connections, and breaks them off.
func TestRequestsAfterAnEndAreNoSuspects(t *testing.T) {
	u := startUpstream(t, breakOff)
	s := newTestProxy(t, magno.RouteOnce, false, u)
	s.post(t, "/p/ran")
	s.post(t, "/p/later")
	s.Book.ApplyRead([]magno.Change{
		{Key: "u0", Revision: 2, Deleted: true},
		{Key: "v0", Revision: 2, Replica: &magno.Replica{ID: "v0", Service: "s", Address: u.addr, DataCentre: "x", Slots: 4}},
	}, 2, true)
	s.awaitChecks(t)
	if got := s.endCounts(); len(got) != 1 || got[0] != 1 {
		t.Errorf("ends are %v, want one of the first request", got)
	}
}

// Guards against an upstream's end being charged to requests that broke off long before it.
func TestEarlierBreakIsNoPartOfALaterEnd(t *testing.T) {
	s := newTestProxy(t, magno.RouteOnce, false, startUpstreamThatEnds(t, nil))
	s.post(t, "/p/early")
	time.Sleep((cancelWindow + 100).Duration())
	s.post(t, "/p/late")
	s.awaitChecks(t)
	if got := s.endCounts(); len(got) != 1 {
		t.Errorf("ends are %v, want one of the later request", got)
	}
}

// Guards against taking a request for another customer's, or not knowing it again when it comes from
// another address under a new id.
func TestFingerprintIdentifiesRequestAndCustomer(t *testing.T) {
	fingerprint := func(method, target, remote, customer, body string) uint64 {
		r := httptest.NewRequest(method, target, nil)
		r.RemoteAddr = remote
		r.Header.Set("Id", rand.Text())
		return (&job{r: r, customer: &magno.Customer{Name: customer}, body: [][]byte{[]byte(body)}}).computeFingerprint()
	}
	base := fingerprint("GET", "/p/1?q=a", "10.0.0.1:1000", "k", "")
	if got := fingerprint("GET", "/p/1?q=a", "10.0.0.2:2000", "k", ""); got != base || got == 0 {
		t.Errorf("a request that comes again has fingerprint %x, want %x", got, base)
	}
	for what, got := range map[string]uint64{
		"method":   fingerprint("POST", "/p/1?q=a", "10.0.0.1:1000", "k", ""),
		"path":     fingerprint("GET", "/p/2?q=a", "10.0.0.1:1000", "k", ""),
		"query":    fingerprint("GET", "/p/1?q=b", "10.0.0.1:1000", "k", ""),
		"customer": fingerprint("GET", "/p/1?q=a", "10.0.0.1:1000", "l", ""),
		"body":     fingerprint("GET", "/p/1?q=a", "10.0.0.1:1000", "k", "b"),
	} {
		if got == base {
			t.Errorf("a request with another %s has the same fingerprint", what)
		}
	}
}

// grantTrials grants every trial.
type grantTrials struct {
	asked   int
	resting bool
}

func (g *grantTrials) Ask(context.Context, []uint64) bool {
	g.asked++
	return true
}

func (g *grantTrials) MayTry([]uint64) bool { return true }

// AskUnproven grants the first request.
func (g *grantTrials) AskUnproven(context.Context, []uint64) bool {
	g.asked++
	return g.asked == 1
}

func (g *grantTrials) MayAsk([]uint64) bool { return !g.resting }

// Guards against requests with a part that ended a whole pool, which are sent all at once when upstreams are back:
// each asks right before it is sent, also when it is sent again, and one that may not ask is refused at once.
func TestRequestWithAPartInDoubtAsksBeforeItIsSent(t *testing.T) {
	u, v := startUpstream(t, breakOff), startUpstream(t, breakOff)
	s := newTestProxy(t, magno.RouteStream, true, u, v)
	trials := &grantTrials{}
	s.Trials, s.Suspects.Clock = trials, magno.NewClock(magno.Hour)
	for n := range uint64(4) {
		s.Suspects.RecordEnd(crash.PartPrint("dead"), magno.UpstreamEnd{Upstream: n + 1, Age: 2 * magno.Second})
	}
	get := func(id string) int {
		res, _, err := s.doWith(t, http.MethodGet, "/p/"+id, http.Header{"Id": {id}, "Part": {"dead"}})
		if err != nil {
			t.Fatal(err)
		}
		return res.StatusCode
	}
	if status := get("1"); status != http.StatusBadGateway || u.requestCount()+v.requestCount() != 1 || trials.asked != 2 {
		t.Errorf("got %d after %d sends and %d asks, want 502 after one send and two asks", status, u.requestCount()+v.requestCount(), trials.asked)
	}
	trials.resting = true
	if status := get("2"); status != http.StatusServiceUnavailable || trials.asked != 2 || len(s.permits.asked) != 2 {
		t.Errorf("got %d after %d asks, want a refusal at once", status, trials.asked)
	}
}

// Guards against a part that many streams share and that is taken for the cause, since upstreams are killed so often that
// no long stream completes.
func TestStreamUnderWayClearsItsParts(t *testing.T) {
	for _, c := range []struct {
		name  string
		pause magno.Millis
		ends  int
	}{
		{"it ends as it begins", 0, 2},
		{"it ends under way", beginTime + 50, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			var s *testProxy
			u := startUpstream(t, func(_ int, r *http.Request, conn net.Conn) bool {
				writeStreamHead(conn, r.Header.Get("Id"))
				writeChunk(conn, eventText(1))
				time.Sleep(c.pause.Duration())
				writeChunk(conn, eventText(2))
				time.Sleep(20 * time.Millisecond)
				s.permits.down.Store(true)
				return false
			})
			s = newTestProxy(t, magno.RouteStream, true, u)
			s.allowDelays()
			s.Suspects.Clock = magno.NewClock(magno.Hour)
			s.Suspects.RecordEnd(crash.PartPrint("shared"), magno.UpstreamEnd{Upstream: 1, Age: magno.Second})
			_, _, _ = s.doWith(t, http.MethodGet, "/p/1", http.Header{"Id": {"1"}, "Part": {"shared"}}) // it is cut
			s.awaitChecks(t)
			if n := s.Suspects.Count(crash.PartPrint("shared")); n != c.ends {
				t.Errorf("%d ends under the part, want %d", n, c.ends)
			}
		})
	}
}

// Guards against a refused request that is tried and then sent to further upstreams, and against one
// that completes in its trial and stays refused.
func TestTriedRequestIsSentOnce(t *testing.T) {
	for _, c := range []struct {
		name   string
		answer func(int, *http.Request, net.Conn) bool
		status int
		asked  int
	}{
		{"ends the upstream", breakOff, http.StatusBadGateway, 2},
		{"completes", streamOneEvent, http.StatusOK, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			u, v := startUpstream(t, c.answer), startUpstream(t, c.answer)
			s := newTestProxy(t, magno.RouteStream, true, u, v)
			trials := &grantTrials{}
			s.Trials = trials
			s.permits.down.Store(true)
			r := httptest.NewRequest(http.MethodGet, "/p/1", nil)
			r.Host = "h.example"
			j := &job{Handler: s.Handler, r: r}
			for n := range uint64(3) {
				s.Suspects.RecordEnd(j.computeFingerprint(), magno.UpstreamEnd{Upstream: n + 1})
			}
			res, _, err := s.get(t, http.MethodGet, "1")
			if err != nil || res.StatusCode != c.status {
				t.Errorf("got %v %v, want %d", res, err, c.status)
			}
			if n := u.requestCount() + v.requestCount(); n != 1 {
				t.Errorf("sent %d times in its trial", n)
			}
			s.awaitChecks(t)
			s.send(t, http.MethodGet, "2")
			if trials.asked != c.asked {
				t.Errorf("asked for %d trials, want %d", trials.asked, c.asked)
			}
		})
	}
}

// Guards against a request that ends each upstream that runs it and isn't recognised, because another
// connection to the upstream broke shortly before, while it lived on: at once, or after the checks of that break.
func TestEndAfterAnotherBreakIsRecognised(t *testing.T) {
	for _, c := range []struct {
		name  string
		kind  magno.RouteKind
		pause magno.Millis
	}{
		{"plain service", magno.RouteOnce, 0},
		{"plain service, later", magno.RouteOnce, firstEndCheck + endCheckStep + 70},
		{"engine", magno.RouteStream, 0},
		{"engine, later", magno.RouteStream, firstEndCheck + endCheckStep + 70},
	} {
		t.Run(c.name, func(t *testing.T) {
			var s *testProxy
			u := startUpstreamThatEnds(t, func() { s.permits.down.Store(c.kind == magno.RouteStream) })
			s = newTestProxy(t, c.kind, false, u)
			s.post(t, "/p/reset")
			time.Sleep(c.pause.Duration())
			s.post(t, "/p/fatal")
			s.awaitChecks(t)
			r := httptest.NewRequest(http.MethodPost, "/p/fatal", nil)
			r.Host = "h.example"
			fatal := &job{Handler: s.Handler, r: r, body: [][]byte{[]byte("body")}}
			if n := s.Suspects.Count(fatal.computeFingerprint()); n != 1 {
				t.Errorf("%d ends are known under the request, want one", n)
			}
		})
	}
}
