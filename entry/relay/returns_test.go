package relay

import (
	"fmt"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strconv"
	"testing"

	"magnoliastall.example/magno"
	"magnoliastall.example/magno/view"
)

// returnsFixture is a handler for a service of 8 upstreams with 4 request slots each, at a time
// that the test sets.
type returnsFixture struct {
	*Handler
	revision magno.Revision
}

func newReturnsFixture(upstreams int) *returnsFixture {
	clock := magno.NewClock(magno.Hour)
	f := &returnsFixture{Handler: &Handler{Clock: clock, Book: &view.Store{Clock: clock}, Log: slog.New(slog.DiscardHandler)}}
	f.list(upstreams, false)
	return f
}

// list lists a number of upstreams, of which all may be leaving.
func (f *returnsFixture) list(upstreams int, leaving bool) {
	f.revision++
	changes := []magno.Change{{Key: "plan", Revision: f.revision, Plan: &magno.Plan{Version: int64(f.revision), Services: []magno.Service{{Name: "s"}}}}}
	for i := range upstreams {
		r := &magno.Replica{ID: fmt.Sprint("u", i), Service: "s", Address: fmt.Sprintf("127.0.0.1:%d", i+1), DataCentre: "x", Slots: 4, Leaving: leaving}
		changes = append(changes, magno.Change{Key: r.ID, Revision: f.revision, Replica: r})
	}
	f.Book.ApplyRead(changes, f.revision, true)
}

// overload serves 100 requests a second for two seconds and refuses as many, so that the capacity
// is known.
func (f *returnsFixture) overload(t *testing.T) {
	t.Helper()
	for range 200 {
		f.returns.served("s", f.Clock)
		f.refuse(t, magno.KindBusy, 0)
		f.Clock.Advance(10)
	}
	f.Clock.Advance(5 * magno.Second) // all reservations expire
}

// refuse refuses a request of rank 1 that has 15 s left, and returns its Retry-After.
func (f *returnsFixture) refuse(t *testing.T, kind magno.Kind, after magno.Millis) magno.Millis {
	t.Helper()
	now, w := f.Clock.Now(), httptest.NewRecorder()
	j := &job{
		Handler: f.Handler, w: w, r: httptest.NewRequest(http.MethodPost, "http://h.example/p/1", nil), route: &magno.Route{Name: "r", Rank: 1},
		service: &magno.Service{Name: "s"}, snap: f.Book.Current(), received: now, deadline: now + 15*magno.Second,
	}
	j.refuse(magno.Refuse(kind, "refused").WithRetryAfter(after))
	seconds, err := strconv.ParseFloat(w.Header().Get("Retry-After"), 64)
	if err != nil {
		t.Fatalf("Retry-After of kind %s: %v", kind, err)
	}
	return magno.Millis(seconds*1000 + 0.5)
}

// last refuses 100 requests and returns the longest Retry-After.
func (f *returnsFixture) last(t *testing.T, kind magno.Kind) magno.Millis {
	t.Helper()
	last := magno.Millis(0)
	for range 100 {
		last = max(last, f.refuse(t, kind, 200))
	}
	return last
}

// Guards against 100 callers, refused at once by a service of 100 requests a second, that return
// together or after the third of their time for which callers wait. A refusal that isn't due to a
// lack of capacity must keep its time.
func TestRefusedCallersReturnOneAfterTheOther(t *testing.T) {
	for _, tt := range []struct {
		kind     magno.Kind
		min, max magno.Millis
	}{
		{magno.KindBusy, 1000, 1600},
		{magno.KindLoading, 1000, 1600},
		{magno.KindQuota, 200, 200},
		{magno.KindNoUpstream, 200, 200},
		{magno.KindLeaving, 200, 200},
	} {
		f := newReturnsFixture(8)
		f.overload(t)
		if got := f.last(t, tt.kind); got < tt.min || got > tt.max {
			t.Errorf("%s: the last caller is told to return after %d ms, want %d to %d", tt.kind, got, tt.min, tt.max)
		}
	}
}

// Guards against a longer Retry-After of a single refusal.
func TestSingleRefusalKeepsItsTime(t *testing.T) {
	f := newReturnsFixture(8)
	f.overload(t)
	if got := f.refuse(t, magno.KindBusy, 200); got != 200 {
		t.Errorf("told to return after %d ms, want 200", got)
	}
}

// Guards against a plan and a learned capacity that outlive a change of the pool by a quarter or more:
// callers kept away by them would miss new capacity.
func TestPlanOfAChangedPoolIsVoid(t *testing.T) {
	for _, tt := range []struct {
		name      string
		upstreams int
		leaving   bool
		kept      bool
	}{
		{"one of eight left", 7, false, true},
		{"two of eight left", 6, false, false},
		{"twice as many", 16, false, false},
		{"all leave", 8, true, false},
		{"none", 0, false, false},
	} {
		f := newReturnsFixture(8)
		f.overload(t)
		f.last(t, magno.KindBusy)
		f.list(tt.upstreams, tt.leaving)
		f.Clock.Advance(poolCountInterval) // the slots are counted once in that time
		f.last(t, magno.KindBusy)
		if got := f.refuse(t, magno.KindBusy, 200) > 200; got != tt.kept {
			t.Errorf("%s: the plan is kept: %v", tt.name, got)
		}
	}
}
