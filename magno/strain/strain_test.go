package strain

import (
	"testing"

	"magnoliastall.example/magno"
)

// play observes lags, one each Every, and returns how many found it strained.
func play(s *Detector, now *magno.Millis, lag magno.Millis, n int) int {
	strained := 0
	for range n {
		*now += Interval
		if s.Observe(lag, *now) != Normal {
			strained++
		}
	}
	return strained
}

// A burst comes to a small machine, whose processor falls behind. It stops
// asking for more within a second, and is back when the work is done.
func TestStrainedWhileBehind(t *testing.T) {
	var s Detector
	now := magno.Hour
	if n := play(&s, &now, 3, 100); n != 0 {
		t.Fatalf("strained in %d of 100 calm looks", n)
	}
	if n := play(&s, &now, 200, 20); n < 10 {
		t.Errorf("strained in %d of 20 looks while far behind", n)
	}
	play(&s, &now, 2, 100)
	if s.Observe(2, now) != Normal {
		t.Error("still strained five seconds after the work was done")
	}
}

// One pause, of the collector or of the machine, is no strain.
func TestOnePauseIsNoStrain(t *testing.T) {
	var s Detector
	now := magno.Hour
	play(&s, &now, 3, 50)
	if n := play(&s, &now, 300, 1) + play(&s, &now, 3, 20); n != 0 {
		t.Errorf("strained in %d looks after one pause", n)
	}
}

// The lag lies between the marks. The answer stays what it was, instead of
// changing with each look.
func TestNoFlappingBetweenTheMarks(t *testing.T) {
	var s Detector
	now := magno.Hour
	play(&s, &now, 200, 20)
	if n := play(&s, &now, 25, 100); n != 100 {
		t.Errorf("strained in %d of 100 looks, want all", n)
	}
}

// The work is far more than the processor can do. What comes is refused at once
// until the instance has caught up to where it only asks for no more.
func TestFarBehindRefuses(t *testing.T) {
	var s Detector
	now := magno.Hour
	play(&s, &now, 400, 20)
	if got := s.Observe(400, now); got != Overloaded {
		t.Fatalf("level %d while far behind", got)
	}
	for range 40 {
		now += Interval
		s.Observe(20, now)
	}
	if got := s.Observe(20, now); got != Strained {
		t.Errorf("level %d when nearly caught up", got)
	}
}
