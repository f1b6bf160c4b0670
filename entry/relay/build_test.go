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
	"magnoliastall.example/magno/origin"
)

// fakeOrigins knows the origins of the attempts in known.
type fakeOrigins struct {
	mu    sync.Mutex
	known map[string]origin.Origin
}

func (o *fakeOrigins) Record(attempt string, at origin.Origin) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.known[attempt] = at
}

func (o *fakeOrigins) Find(_ context.Context, q origin.Query) *origin.Origin {
	o.mu.Lock()
	defer o.mu.Unlock()
	if at, ok := o.known[q.Attempt]; ok {
		return &at
	}
	return nil
}

// streamUpTo returns a script that streams the events after the one asked for up to last, and breaks off
// there unless that is the end of the stream.
func streamUpTo(last, end int) func(int, *http.Request, net.Conn) bool {
	return func(_ int, r *http.Request, c net.Conn) bool {
		from, _ := strconv.Atoi(r.Header.Get("From"))
		writeStreamHead(c, r.Header.Get("Id"))
		for n := from + 1; n <= last; n++ {
			writeChunk(c, eventText(n))
		}
		if last < end {
			return false
		}
		fmt.Fprint(c, "0\r\n\r\n")
		return true
	}
}

// newBuildProxy returns a proxy whose upstreams have these builds. Each streams up to the event in ends,
// of three.
func newBuildProxy(t *testing.T, builds []string, ends ...int) (*testProxy, []*fakeUpstream, *fakeOrigins) {
	t.Helper()
	var ups []*fakeUpstream
	for _, end := range ends {
		ups = append(ups, startUpstream(t, streamUpTo(end, 3)))
	}
	s := newTestProxy(t, magno.RouteStream, true, ups...)
	s.setBuilds(builds...)
	origins := &fakeOrigins{known: map[string]origin.Origin{}}
	s.Origins = origins
	return s, ups, origins
}

// Guards against a stream that breaks off and goes on at another build within one answer, against binding
// it to an upstream that made no event, and against ending it though its build serves elsewhere.
func TestStreamGoesOnAtItsBuildOnly(t *testing.T) {
	whole := eventText(1) + eventText(2) + eventText(3)
	for _, c := range []struct {
		name   string
		builds []string
		ends   []int
		body   string
		sends  []int
	}{
		{"its build serves elsewhere", []string{"v1", "v2", "v1"}, []int{1, 3, 3}, whole, []int{1, 0, 1}},
		{"only another build serves", []string{"v1", "v2"}, []int{1, 3}, eventText(1), []int{1, 0}},
		{"no event before", []string{"v1", "v2"}, []int{0, 3}, whole, []int{1, 1}},
		{"none states a build", []string{"", ""}, []int{1, 3}, whole, []int{1, 1}},
	} {
		t.Run(c.name, func(t *testing.T) {
			s, ups, origins := newBuildProxy(t, c.builds, c.ends...)
			_, body, err := s.get(t, http.MethodPost, "1")
			if body != c.body || (err == nil) != (c.body == whole) {
				t.Errorf("got %q, %v, want %q", body, err, c.body)
			}
			for i, u := range ups {
				if u.requestCount() != c.sends[i] {
					t.Errorf("upstream %d of %q got %d requests, want %d", i, c.builds[i], u.requestCount(), c.sends[i])
				}
			}
			if at := origins.known["1"]; c.sends[0] == 1 && c.ends[0] > 0 && at.Build != c.builds[0] {
				t.Errorf("recorded at %q, want %q", at.Build, c.builds[0])
			}
		})
	}
}

// Guards against a stream that its caller takes up and that goes on at another build, against one whose
// origin is guessed, and against refusing one that can go on.
func TestStreamIsTakenUpAtItsBuildOnly(t *testing.T) {
	began := map[string]origin.Origin{"old": {Service: "s", Build: "v1"}, "elsewhere": {Service: "t", Build: "v1"}}
	for _, c := range []struct {
		name    string
		builds  []string
		resumes string
		status  int
		sends   []int
	}{
		{"its build serves", []string{"v2", "v1"}, "old", http.StatusOK, []int{0, 1}},
		{"only another build serves", []string{"v2", "v2"}, "old", http.StatusServiceUnavailable, []int{0, 0}},
		{"not known where it began", []string{"v1", "v1"}, "lost", http.StatusServiceUnavailable, []int{0, 0}},
		{"not stated where it began", []string{"v1", "v1"}, "", http.StatusServiceUnavailable, []int{0, 0}},
		{"began at another service", []string{"v1", "v1"}, "elsewhere", http.StatusServiceUnavailable, []int{0, 0}},
	} {
		t.Run(c.name, func(t *testing.T) {
			s, ups, origins := newBuildProxy(t, c.builds, 3, 3)
			for attempt, at := range began {
				origins.known[attempt] = at
			}
			res, body, err := s.doWith(t, http.MethodPost, "/p/1", http.Header{"Id": {"new"}, "From": {"1"}, "Resumes": {c.resumes}})
			if err != nil || res.StatusCode != c.status {
				t.Fatalf("got %v %q %v, want %d", res, body, err, c.status)
			}
			for i, u := range ups {
				if u.requestCount() != c.sends[i] {
					t.Errorf("upstream %d of %q got %d requests, want %d", i, c.builds[i], u.requestCount(), c.sends[i])
				}
			}
			switch {
			case c.status == http.StatusOK && (body != eventText(2)+eventText(3) || origins.known["new"].Build != "v1"):
				t.Errorf("got %q, recorded at %q", body, origins.known["new"].Build)
			case c.status != http.StatusOK && res.Header.Get("Retry-After") == "":
				t.Error("no Retry-After")
			}
		})
	}
}

// Guards against taking an upstream for the build that it had in an earlier life under the same name: the
// list changes while the request waits for its permit, or is out of date.
func TestUpstreamThatRestartsWithAnotherBuildIsNotTakenForTheOldOne(t *testing.T) {
	for _, c := range []struct {
		name string
		// change is called while the request waits for a permit.
		change func(s *testProxy)
		served bool
	}{
		{"unchanged", func(*testProxy) {}, true},
		{"the list names another build", func(s *testProxy) { s.setBuilds("v2") }, false},
		{"its agent saw it restart", func(s *testProxy) { s.permits.engineStart.Store(2000) }, false},
		{"the list is out of date", func(s *testProxy) { s.bookClock.Advance(staleConfigAge + 1) }, false},
		{"the list is out of date, its agent knows", func(s *testProxy) {
			s.bookClock.Advance(staleConfigAge + 1)
			s.permits.engineStart.Store(1000)
		}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			s, ups, origins := newBuildProxy(t, []string{"v1"}, 3)
			s.startAt(1000)
			origins.known["old"] = origin.Origin{Service: "s", Build: "v1"}
			s.permits.onAcquire = func(string) { c.change(s) }
			res, body, err := s.doWith(t, http.MethodPost, "/p/1", http.Header{"Id": {"new"}, "From": {"1"}, "Resumes": {"old"}})
			if err != nil || (res.StatusCode == http.StatusOK) != c.served || (!c.served && !promisesNotRun(res.StatusCode)) {
				t.Fatalf("got %v %q %v, want it served: %v", res, body, err, c.served)
			}
			if sent := ups[0].requestCount() > 0; sent != c.served {
				t.Errorf("sent: %v", sent)
			}
		})
	}
}

// Guards against recording a build that the upstream may not have, and against going on after its events.
func TestStreamOfAnUncertainBuildIsNotResumed(t *testing.T) {
	s, ups, origins := newBuildProxy(t, []string{"v1", "v1"}, 1, 3)
	s.startAt(1000, 1000)
	s.permits.onAcquire = func(string) { s.permits.engineStart.Store(2000) }
	_, body, err := s.get(t, http.MethodPost, "1")
	if err == nil || body != eventText(1) || ups[1].requestCount() != 0 {
		t.Errorf("got %q, %v; %d requests to the other upstream, want none", body, err, ups[1].requestCount())
	}
	if at, ok := origins.known["1"]; ok {
		t.Errorf("recorded at %q", at.Build)
	}
}
