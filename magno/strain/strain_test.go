package strain

import (
	"testing"

	"magnoliastall.example/magno"
)

// observe passes n equal lags to the detector, one per Interval, and returns for how
// many of them the level was not Normal.
func observe(s *Detector, now *magno.Millis, lag magno.Millis, n int) int {
	strained := 0
	for range n {
		*now += Interval
		if s.Observe(lag, *now) != Normal {
			strained++
		}
	}
	return strained
}

// A burst of work makes the processor of a small machine fall behind. The instance must
// become strained within a second, and normal again once the work is done.
func TestStrainedWhileBehind(t *testing.T) {
	var s Detector
	now := magno.Hour
	if n := observe(&s, &now, 3, 100); n != 0 {
		t.Fatalf("strained in %d of 100 observations with a low lag", n)
	}
	if n := observe(&s, &now, 200, 20); n < 10 {
		t.Errorf("strained in only %d of 20 observations with a high lag", n)
	}
	observe(&s, &now, 2, 100)
	if s.Observe(2, now) != Normal {
		t.Error("still strained after five seconds with a low lag")
	}
}

// A single pause, by the garbage collector or the machine, must not count as strain.
func TestOnePauseIsNoStrain(t *testing.T) {
	var s Detector
	now := magno.Hour
	observe(&s, &now, 3, 50)
	if n := observe(&s, &now, 300, 1) + observe(&s, &now, 3, 20); n != 0 {
		t.Errorf("strained in %d observations after one pause", n)
	}
}

// While the lag is between the thresholds, the level must stay as it was and not change
// with each observation.
func TestNoFlappingBetweenThresholds(t *testing.T) {
	var s Detector
	now := magno.Hour
	observe(&s, &now, 200, 20)
	if n := observe(&s, &now, 25, 100); n != 100 {
		t.Errorf("strained in %d of 100 observations, want all", n)
	}
}

// With far more work than the processor can do, the instance must be overloaded. Once
// the lag falls, it must return to strained, not directly to normal.
func TestOverloadedUntilCaughtUp(t *testing.T) {
	var s Detector
	now := magno.Hour
	observe(&s, &now, 400, 20)
	if got := s.Observe(400, now); got != Overloaded {
		t.Fatalf("level %d with a lag of 400 ms, want overloaded", got)
	}
	for range 40 {
		now += Interval
		s.Observe(20, now)
	}
	if got := s.Observe(20, now); got != Strained {
		t.Errorf("level %d with a lag of 20 ms, want strained", got)
	}
}
