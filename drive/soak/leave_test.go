package soak

import (
	"fmt"
	"testing"
	"time"

	"magnoliastall.example/platform/fake"
)

// Guards against requests for an upstream that leaves while the instance list, which is not
// available, still shows it as ready.
func TestLeavingUpstreamGetsNoNewRequests(t *testing.T) {
	s := startSoak(t)
	plain := s.fleet.plains[0].worker
	var engine *fake.Worker
	s.sendFor(func() {
		time.Sleep(time.Second)
		s.fleet.store.Down.Store(true)
		engine = s.fleet.engines[s.enginesByLoad()[0]].worker
		engine.SetNotice(fake.Notice{Leaving: true})
		plain.SetNotice(fake.Notice{Leaving: true})
		time.Sleep(6 * time.Second)
	})
	for name, w := range map[string]*fake.Worker{"engine": engine, "plain service": plain} {
		t.Run(name, func(t *testing.T) {
			broken := s.observer().checkLeaving(w)
			if len(broken) > 0 {
				t.Errorf("%d requests, the first: %s", len(broken), broken[0])
			}
			if len(w.Arrivals()) == 0 {
				t.Error("got no request at all")
			}
		})
	}
}

// Guards against a check that can't fail.
func TestLeavingCheckFindsLateRequests(t *testing.T) {
	w := &fake.Worker{ID: "w"}
	w.Start()
	w.SetNotice(fake.Notice{Leaving: true})
	began := time.Now()
	for i := range 3 {
		w.Arrive(fmt.Sprint(i), "")
	}
	o := &observer{
		entry:     func(string) int { return 0 },
		sentAt:    func(id string) time.Time { return began.Add(time.Duration(id[0]-'0') * 1500 * time.Millisecond) },
		disturbed: func(int, *fake.Worker, time.Time, time.Time) bool { return false },
	}
	if broken := o.checkLeaving(w); len(broken) != 1 {
		t.Errorf("got %q, want the request of 3 s after", broken)
	}
	w = &fake.Worker{ID: "w"}
	w.Start()
	w.SetNotice(fake.Notice{Leaving: true})
	w.ArriveUnanswered("0", "")
	w.Arrive("2", "")
	if broken := o.checkLeaving(w); len(broken) != 0 {
		t.Errorf("an entry that got no answer before: %q", broken)
	}
	w.Arrive("5", "")
	if broken := o.checkLeaving(w); len(broken) != 1 {
		t.Errorf("got %q, want the request of 4.5 s after the first answer", broken)
	}
}
