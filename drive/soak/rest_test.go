package soak

import (
	"fmt"
	"testing"
	"time"

	"magnoliastall.example/platform/fake"
)

// Guards against entries going on to send to an upstream that turned a request away and stated when
// it accepts requests again.
func TestUpstreamThatTurnsRequestsAwayIsLeftAlone(t *testing.T) {
	s := startSoak(t)
	plain := s.fleet.plains[0].worker
	var engine *fake.Worker
	s.sendFor(func() {
		time.Sleep(time.Second)
		engine = s.fleet.engines[s.enginesByLoad()[0]].worker
		engine.SetNotice(fake.Notice{Rest: 3 * time.Second})
		plain.SetNotice(fake.Notice{Rest: 3 * time.Second})
		time.Sleep(7 * time.Second)
	})
	for name, w := range map[string]*fake.Worker{"engine": engine, "plain service": plain} {
		t.Run(name, func(t *testing.T) {
			broken := s.observer().checkRest(w)
			if len(broken) > 0 {
				t.Errorf("%d times, the first: %s", len(broken), broken[0])
			}
			if len(w.Arrivals()) == 0 {
				t.Error("got no request at all")
			}
		})
	}
}

// Guards against a check that can't fail.
func TestRestCheckFindsRequests(t *testing.T) {
	w := &fake.Worker{ID: "w"}
	w.Start()
	w.SetNotice(fake.Notice{Rest: time.Minute})
	w.Arrive("0", "")
	time.Sleep(restDelay + time.Millisecond)
	for i := range 3 {
		w.Arrive(fmt.Sprint(i), "")
	}
	o := &observer{
		entry:     func(string) int { return 0 },
		disturbed: func(int, *fake.Worker, time.Time, time.Time) bool { return false },
	}
	if broken := o.checkRest(w); len(broken) != 1 {
		t.Errorf("got %q, want three requests after the first", broken)
	}
}
