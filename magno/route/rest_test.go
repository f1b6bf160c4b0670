package route

import (
	"slices"
	"testing"

	"magnoliastall.example/magno"
)

func restRouter(names ...string) (*Router, *magno.Clock) {
	clock := magno.NewClock(magno.Hour)
	r := &Router{Clock: clock, Tuning: PlainTuning()}
	var list []magno.Target
	for _, name := range names {
		list = append(list, magno.Target{Name: name})
	}
	r.Update(list)
	return r, clock
}

// Guards against an upstream that turned a request away being chosen before its time.
func TestRestingTargetIsNotChosen(t *testing.T) {
	r, clock := restRouter("a", "b")
	r.Rest("a", clock.Now()+3000)
	r.Rest("a", clock.Now()+1000)
	for range 50 {
		if c := r.Choose(magno.Query{}); len(c.Names) != 1 || c.Names[0] != "b" {
			t.Fatalf("chose %v", c.Names)
		}
	}
	clock.Advance(3000)
	if c := r.Choose(magno.Query{}); len(c.Names) != 2 {
		t.Errorf("chose among %v after the rest", c.Names)
	}
}

// Guards against a target that is left alone to the end of its rest, though it restarted.
func TestRestartedTargetIsChosen(t *testing.T) {
	r, clock := restRouter("a", "b")
	r.Rest("a", clock.Now()+3000)
	r.EndRest("a")
	r.EndRest("gone")
	if c := r.Choose(magno.Query{}); len(c.Names) != 2 {
		t.Errorf("chose among %v after the restart", c.Names)
	}
}

// Guards against a request waiting, or being told to return at any time, while all targets rest.
func TestAllTargetsRest(t *testing.T) {
	r, clock := restRouter("a", "b", "c")
	r.Rest("a", clock.Now()+3000)
	r.Rest("b", clock.Now()+2000)
	r.Rest("c", clock.Now()+1000)
	r.Report("c", magno.Backlog{Down: true})
	if c := r.Choose(magno.Query{}); len(c.Names) != 0 || c.RetryAfter != 2000 {
		t.Errorf("got %+v, want the end of b's rest", c)
	}
	if c := r.Choose(magno.Query{Avoid: []string{"b"}}); c.RetryAfter != 3000 {
		t.Errorf("got %+v, want the end of a's rest", c)
	}
}

// Guards against a refusal while a target outside of the few that were considered is free.
func TestTargetOutsideTheUsualCandidatesIsFound(t *testing.T) {
	names := make([]string, 64)
	for i := range names {
		names[i] = string(rune('A' + i))
	}
	r, clock := restRouter(names...)
	for _, name := range names[1:] {
		r.Rest(name, clock.Now()+1000)
	}
	for _, q := range []magno.Query{{}, {Ref: magno.Ref{Adapter: "m/a"}}} {
		if c := r.Choose(q); len(c.Names) != 1 || c.Names[0] != names[0] {
			t.Errorf("chose %v, want the one that doesn't rest", c.Names)
		}
	}
}

// routedAt returns the first choices for an adapter at the given times after the report of its
// only holder, u0.
func routedAt(b magno.Backlog, customer string, times ...magno.Millis) []string {
	r, clock := newRoute(2)
	b.Warm = []uint32{ref(1).Hash()}
	r.Report("u0", b)
	start := clock.Now()
	var names []string
	for _, at := range times {
		clock.Advance(start + at - clock.Now())
		names = append(names, r.Route(magno.Query{Ref: ref(1), Customer: customer})[0])
	}
	return names
}

// Guards against work for an upstream during the rest that it stated, and against work that is
// kept away by that afterwards. Work that is queued there, and the wait that an agent states
// without its rest, counts less with the age of the report.
func TestReportedRestEndsAtItsTime(t *testing.T) {
	times := []magno.Millis{0, 55 * magno.Second, 61 * magno.Second}
	queue := map[string]magno.Millis{"queued": magno.Minute + 100}
	tests := []struct {
		name     string
		backlog  magno.Backlog
		customer string
		want     []string
	}{
		{"rest alone", magno.Backlog{Wait: magno.Minute, Rest: magno.Minute}, "", []string{"u1", "u1", "u0"}},
		{"short queue", magno.Backlog{Wait: magno.Minute + 100, Rest: magno.Minute}, "", []string{"u1", "u1", "u0"}},
		{"long queue", magno.Backlog{Wait: 3 * magno.Minute, Rest: magno.Minute}, "", []string{"u1", "u1", "u1"}},
		{"others' queue", magno.Backlog{Wait: magno.Minute, Rest: magno.Minute, Waits: queue}, "other", []string{"u1", "u1", "u0"}},
		{"own queue", magno.Backlog{Wait: magno.Minute, Rest: magno.Minute, Waits: queue}, "queued", []string{"u1", "u1", "u0"}},
		{"agent of an earlier version", magno.Backlog{Wait: magno.Minute}, "", []string{"u1", "u1", "u1"}},
	}
	for _, tt := range tests {
		if got := routedAt(tt.backlog, tt.customer, times...); !slices.Equal(got, tt.want) {
			t.Errorf("%s: chose %v at %v ms, want %v", tt.name, got, times, tt.want)
		}
	}
}
