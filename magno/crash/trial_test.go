package crash

import (
	"testing"

	"magnoliastall.example/magno"
)

// Guards against a sound request that upstreams' own ends hit three times in a row and that is refused
// for as long as records are kept, and against trying one that does end upstreams again and again.
func TestRefusedRequestIsTried(t *testing.T) {
	for _, c := range []struct {
		name  string
		ends  int
		waits []magno.Millis
		// trials are the grants after each wait.
		trials []bool
		// during is called when a trial was granted.
		during  func(s *Suspects)
		refused bool
	}{
		{"before the wait is over", 3, []magno.Millis{TrialWait - 1}, []bool{false}, nil, true},
		{"that was refused by chance", 3, []magno.Millis{TrialWait, TrialWait}, []bool{true, false}, func(s *Suspects) { s.Clear(1) }, false},
		{"that ends upstreams", 3, []magno.Millis{TrialWait, TrialWait, TrialWait}, []bool{true, false, false}, func(s *Suspects) { endAll(s, 90, 1) }, true},
		{"whose trials say nothing", 3, []magno.Millis{TrialWait, 1, TrialWait, TrialWait}, []bool{true, false, true, false}, nil, true},
		{"under which more upstreams ended", 4, []magno.Millis{TrialWait, TrialWait}, []bool{false, false}, nil, true},
		{"that isn't refused", 2, []magno.Millis{TrialWait}, []bool{false}, nil, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			clock := magno.NewClock(magno.Hour)
			s := newSuspects(clock, 4)
			for u := range c.ends {
				endAll(s, uint64(u+1), 1)
			}
			for i, wait := range c.waits {
				clock.Advance(wait)
				got := s.GrantTrial(1)
				if got != c.trials[i] {
					t.Fatalf("after wait %d a trial was granted: %v", i, got)
				}
				if got && c.during != nil {
					c.during(s)
				}
			}
			if got := s.MustRefuse(1); got != c.refused {
				t.Errorf("refused: %v", got)
			}
		})
	}
}

// Guards against a process that starts, takes over and doesn't know yet how a trial ended that its
// predecessor granted.
func TestStartedProcessWaitsBeforeTrials(t *testing.T) {
	clock := magno.NewClock(magno.Hour)
	before, after := newSuspects(clock, 4), newSuspects(clock, 4)
	for u := range uint64(3) {
		endAll(before, u+1, 1)
	}
	clock.Advance(TrialWait)
	if !before.GrantTrial(1) {
		t.Fatal("no trial")
	}
	after.Merge(before.List())
	clock.Advance(TrialWait - 1)
	if after.GrantTrial(1) {
		t.Error("tried by a process that has just started")
	}
	endAll(before, 90, 1)
	after.Merge(before.List())
	clock.Advance(TrialWait)
	if after.GrantTrial(1) {
		t.Error("tried again after a trial ended an upstream")
	}
}
