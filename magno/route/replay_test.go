package route

import (
	"fmt"
	"slices"
	"testing"

	"magnoliastall.example/magno"
)

// Guards against decisions that differ between two runs of one seed, so that a figure can't be reproduced.
func TestRunsOfOneSeedAreEqual(t *testing.T) {
	run := func() outcome {
		s := speedDraw(1)
		s.span, s.demand = 16*magno.Second, 0.9
		return *s.run()
	}
	first := run()
	for n := range 4 {
		if again := run(); again != first {
			t.Fatalf("run %d: %v, the first %v", n+2, &again, &first)
		}
	}
}

// Guards against the same where requests want a build, or no candidate is usable: all targets are compared then.
func TestChoicesAmongAllAreEqual(t *testing.T) {
	choose := func(seed uint64) (names []string) {
		r := &Router{Clock: magno.NewClock(magno.Hour), Seed: seed}
		var targets []magno.Target
		for i := range 12 {
			targets = append(targets, magno.Target{Name: fmt.Sprint("t", i), Build: "b"})
		}
		r.Update(targets)
		for i := range 5 {
			r.Ended(fmt.Sprint("t", i), 1, 1, false)
		}
		for range 20 {
			names = append(names, r.Choose(magno.Query{Build: "b"}).Names...)
		}
		return names
	}
	first := choose(1)
	for range 4 {
		if again := choose(1); !slices.Equal(again, first) {
			t.Fatalf("got %v, and %v before", again, first)
		}
	}
	if slices.Equal(choose(2), first) {
		t.Error("routers of two seeds choose the same among equals")
	}
}
