package queue

import (
	"testing"

	"magnoliastall.example/magno"
)

// TestFailures replays failures under load, with the queue and with the policy without it.
func TestFailures(t *testing.T) {
	for _, f := range []struct {
		name  string
		level float64
		// fail is called before the load is replayed.
		fail func(s *scene)
		want expectation
	}{
		// The share of entries that died must go to the others within a few hellos.
		{"entries die", 0.9, func(s *scene) {
			s.at(4000, func() {
				for _, f := range s.fronts[:8] {
					f.dead = true
				}
			})
		}, notWorse},
		// Entries that don't hear of each other go by their own observation.
		{"entries cut off from each other", 1.2, func(s *scene) {
			s.noHellos = true
			for _, f := range s.fronts {
				f.queue.SetPeers(1, 0)
			}
		}, better},
		{"an upstream turns slow", 0.7, func(s *scene) {
			s.slow = func(up int, at magno.Millis) bool { return up == 0 && at > 3000 }
		}, better},
		// A window must not stay small after an upstream comes back.
		{"an upstream flaps", 0.6, func(s *scene) {
			for at := magno.Millis(2000); at < 8000; at += 1000 {
				s.at(at, func() { s.stop(0, false) })
				s.at(at+300, func() { s.restart(0) })
			}
		}, notWorse},
		// Requests that never get an answer must not take the whole window.
		{"an upstream hangs", 0.5, func(s *scene) {
			s.at(3000, func() { s.ups[2].hung = true })
			s.at(7000, func() { s.ups[2].hung = false })
		}, better},
		{"an upstream restarts", 0.8, func(s *scene) {
			s.at(3000, func() { s.stop(1, true) })
			s.at(6000, func() { s.restart(1) })
		}, better},
		{"two of three upstreams are lost", 0.6, func(s *scene) {
			s.at(3000, func() { s.stop(1, true) })
			s.at(3000, func() { s.stop(2, true) })
			s.at(8000, func() { s.restart(1); s.restart(2) })
		}, better},
		{"the retry budget is used up", 1.3, func(s *scene) { s.noRetries = true }, better},
	} {
		t.Run(f.name, func(t *testing.T) {
			play := func(direct bool) (sum outcome) {
				for seed := range uint64(sceneSeeds) {
					s := newScene(seed+1, 30, 3, direct)
					f.fail(s)
					s.load(0, 12000, steady(f.level))
					s.run(12000 + 2*scenePatient)
					sum.add(s.outcome(0, 12000))
					if s.noRetries && s.resent > 0 {
						t.Errorf("%d requests were sent again without retry budget", s.resent)
					}
				}
				return sum
			}
			compareOutcomes(t, play(true), play(false), f.want)
		})
	}
}

// TestFrozenEntry guards against an entry that resumes and sends what can't be answered any more, or
// stays slow.
func TestFrozenEntry(t *testing.T) {
	s := newScene(1, 30, 3, false)
	f := s.fronts[0]
	s.load(0, 15000, steady(0.6))
	s.at(3000, func() { f.frozen = true })
	s.at(7000, func() {
		f.frozen = false
		now := s.clock.Now()
		for _, st := range f.queue.Next().Starts {
			if r := f.waiting[st.ID]; now > r.at+scenePatient {
				t.Errorf("sent %s, whose deadline has passed", st.ID)
			}
			f.queue.Done(st.ID, Result{Void: true})
			f.waiting[st.ID].refused = true
			delete(f.waiting, st.ID)
		}
		s.next(f)
	})
	s.run(25000)
	if o := s.outcome(9000, 15000); o.onTime < o.total()*97/100 {
		t.Errorf("after the freeze: %v", o)
	}
}

func newQueue(ups ...Upstream) (*Queue, *magno.Clock) {
	clock := magno.NewClock(magno.Hour)
	q := &Queue{Clock: clock, Seed: 1}
	q.Update(ups)
	return q, clock
}

func item(clock *magno.Clock, id string) Item {
	return Item{ID: id, StartBy: clock.Now() + 200, Deadline: clock.Now() + 3000}
}

func offer(t *testing.T, q *Queue, items ...Item) {
	t.Helper()
	for _, it := range items {
		if refusal := q.Offer(it); refusal != nil {
			t.Fatal(refusal)
		}
	}
}

// TestCallerLeaves guards against sending a request whose caller left while it waited.
func TestCallerLeaves(t *testing.T) {
	q, clock := newQueue(Upstream{Name: "a", Slots: 1})
	offer(t, q, item(clock, "1"), item(clock, "2"), item(clock, "3"))
	if d := q.Next(); len(d.Starts) != 1 || d.Starts[0].ID != "1" {
		t.Fatalf("started %v", d.Starts)
	}
	if q.Cancel("1") || !q.Cancel("2") || q.Cancel("2") {
		t.Error("Cancel must be true once, for a request that waits")
	}
	clock.Advance(50)
	q.Done("1", Result{Took: 50, OK: true})
	if d := q.Next(); len(d.Starts) != 1 || d.Starts[0].ID != "3" {
		t.Errorf("started %v after the second left", d.Starts)
	}
}

// TestLeaving guards against waiting requests that are sent to an upstream that leaves or rests.
func TestLeaving(t *testing.T) {
	q, clock := newQueue(Upstream{Name: "a", Slots: 1}, Upstream{Name: "b", Slots: 1})
	offer(t, q, item(clock, "1"))
	q.Update([]Upstream{{Name: "a", Slots: 1, Leaving: true}, {Name: "b", Slots: 1}})
	q.Rest("b", clock.Now()+100)
	if d := q.Next(); len(d.Starts) != 0 {
		t.Fatalf("started %v", d.Starts)
	}
	clock.Advance(100)
	if d := q.Next(); len(d.Starts) != 1 || d.Starts[0].Upstream != "b" {
		t.Errorf("started %v after the rest", d.Starts)
	}
	q.Update([]Upstream{{Name: "a", Slots: 1, Leaving: true}})
	if refusal := q.Offer(item(clock, "2")); refusal == nil || refusal.Kind != magno.KindNoUpstream || refusal.After <= 0 {
		t.Errorf("refusal %v without a usable upstream", refusal)
	}
}

// TestRefusal guards against requests that wait for their deadline in vain.
func TestRefusal(t *testing.T) {
	q, clock := newQueue(Upstream{Name: "a", Slots: 1})
	offer(t, q, item(clock, "first"))
	q.Next()
	clock.Advance(100)
	q.Done("first", Result{Took: 100, OK: true})
	clock.Advance(learnTime)
	refused := 0
	for i := range 100 {
		if refusal := q.Offer(Item{ID: string(rune('A' + i)), StartBy: clock.Now(), Deadline: clock.Now() + 1000}); refusal != nil {
			refused++
			if refusal.Kind != magno.KindBusy || refusal.After < minRetryAfter || refusal.After > maxRetryAfter {
				t.Fatalf("refusal %v, after %d", refusal, refusal.After)
			}
		}
	}
	if waiting := q.Stats().Waiting; waiting < 9 || waiting > 15 || refused+waiting != 100 {
		t.Errorf("%d wait and %d are refused with room for about 12", waiting, refused)
	}
	q.Rest("a", clock.Now()+1000)
	if d := q.Next(); q.Stats().Waiting != 0 || len(d.Rejections) == 0 {
		t.Errorf("%d requests still wait for an upstream that rests past their deadline", q.Stats().Waiting)
	}
}

// TestHangsAtStart guards against an upstream that hangs as the entry starts, and stops all requests.
func TestHangsAtStart(t *testing.T) {
	q, clock := newQueue(Upstream{Name: "a", Slots: 1}, Upstream{Name: "b", Slots: 1})
	q.SetPeers(30, 0)
	offer(t, q, item(clock, "1"), item(clock, "2"))
	first := q.Next()
	clock.Advance(firstOverdue)
	second := q.Next()
	if len(first.Starts) != 1 || len(second.Starts) != 1 || first.Starts[0].Upstream == second.Starts[0].Upstream {
		t.Errorf("started %v, then %v, want one at each upstream", first.Starts, second.Starts)
	}
}
