package route

import (
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
