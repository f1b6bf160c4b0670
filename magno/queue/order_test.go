package queue

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"magnoliastall.example/magno"
)

// TestOrder guards against another order than: on time before late, rank, start-by time.
func TestOrder(t *testing.T) {
	q, clock := newQueue(Upstream{Name: "a", Slots: 1})
	now := clock.Now()
	end := now + 30000
	offer(t, q,
		Item{ID: "late", StartBy: now - 10, Deadline: end},
		Item{ID: "later", StartBy: now + 300, Deadline: end, Rank: 1},
		Item{ID: "last", StartBy: now + 400, Deadline: end},
		Item{ID: "soon", StartBy: now + 200, Deadline: end},
	)
	var got []string
	for range 4 {
		d := q.Next()
		for _, s := range d.Starts {
			got = append(got, s.ID)
			clock.Advance(10)
			q.Done(s.ID, Result{Took: 10, OK: true})
		}
	}
	if want := []string{"soon", "last", "later", "late"}; !slices.Equal(got, want) {
		t.Errorf("order %v, want %v", got, want)
	}
}

// TestCustomers guards against a customer with many requests that delays the others.
func TestCustomers(t *testing.T) {
	q, clock := newQueue(Upstream{Name: "a", Slots: 1})
	q.Weight = func(customer string) float64 { return map[string]float64{"big": 1, "small": 1, "double": 2}[customer] }
	for i := range 40 {
		it := item(clock, fmt.Sprint("big", i))
		it.Customer, it.StartBy, it.Deadline = "big", it.StartBy+10000, it.Deadline+60000
		offer(t, q, it)
	}
	for i := range 8 {
		for _, name := range []string{"small", "double"} {
			it := item(clock, fmt.Sprint(name, i))
			it.Customer, it.StartBy, it.Deadline = name, it.StartBy+20000, it.Deadline+60000
			offer(t, q, it)
		}
	}
	count := map[string]int{}
	for n := 0; n < 12; {
		for _, s := range q.Next().Starts {
			if n++; n <= 12 {
				count[s.ID[:3]]++
			}
			clock.Advance(10)
			q.Done(s.ID, Result{Took: 10, OK: true})
		}
	}
	if count["big"] != 3 || count["sma"] != 3 || count["dou"] != 6 {
		t.Errorf("starts by customer: %v, want shares of 1, 1 and 2", count)
	}
}

// TestNoneStarves guards against late requests that get nothing while others can be on time.
func TestNoneStarves(t *testing.T) {
	q, clock := newQueue(Upstream{Name: "a", Slots: 1})
	offer(t, q, Item{ID: "late", StartBy: clock.Now() - 1, Deadline: clock.Now() + 60000})
	for i := range 3 * lateTurn {
		offer(t, q, Item{ID: fmt.Sprint(i), StartBy: clock.Now() + 20000, Deadline: clock.Now() + 70000})
		for _, s := range q.Next().Starts {
			if s.ID == "late" {
				return
			}
			clock.Advance(10)
			q.Done(s.ID, Result{Took: 10, OK: true})
			offer(t, q, Item{ID: fmt.Sprint("more", i), StartBy: clock.Now() + 20000, Deadline: clock.Now() + 70000})
		}
	}
	t.Error("the late request never started")
}

// TestAvoid guards against a second send to the upstream that shed a request while another is usable,
// and against a refusal where no other is.
func TestAvoid(t *testing.T) {
	q, clock := newQueue(Upstream{Name: "a", Slots: 2}, Upstream{Name: "b", Slots: 2})
	again := item(clock, "1")
	again.Avoid = []string{"a"}
	for range 20 {
		offer(t, q, again)
		d := q.Next()
		if len(d.Starts) != 1 || d.Starts[0].Upstream != "b" {
			t.Fatalf("started %v", d.Starts)
		}
		q.Done("1", Result{Void: true})
	}
	q.Update([]Upstream{{Name: "a", Slots: 2}})
	offer(t, q, again)
	if d := q.Next(); len(d.Starts) != 1 || d.Starts[0].Upstream != "a" {
		t.Errorf("started %v with one upstream left", d.Starts)
	}
}

// TestGrows guards against a window that holds requests back while answers come without a wait, and
// against one that stays small after sheds or failures.
func TestGrows(t *testing.T) {
	for _, first := range []Result{{Took: 20, OK: true}, {Shed: true}, {}} {
		q, clock := newQueue(Upstream{Name: "a", Slots: 6})
		q.SetPeers(30, 0)
		var running []string
		for n := range 60 {
			offer(t, q, Item{ID: fmt.Sprint(n), StartBy: clock.Now() + 90000, Deadline: clock.Now() + 99000})
		}
		answers := 0
		for ; q.Stats().InFlight < 3 && answers < 10; answers++ {
			for len(running) == 0 {
				clock.Advance(20)
				for _, s := range q.Next().Starts {
					running = append(running, s.ID)
				}
			}
			res := Result{Took: 20, OK: true}
			if answers < 2 {
				res = first
			}
			q.Done(running[0], res)
			running = running[1:]
			for _, s := range q.Next().Starts {
				running = append(running, s.ID)
			}
		}
		if q.Stats().InFlight < 3 {
			t.Errorf("after two of %+v the window is %.2f after %d answers", first, q.Stats().Window, answers)
		}
	}
}

// TestInvariants guards against requests that are lost, decided on twice, or sent past the bounds.
func TestInvariants(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		clock := magno.NewClock(magno.Hour)
		q := &Queue{Clock: clock, Seed: rapid.Uint64().Draw(rt, "seed")}
		ups := []Upstream{{Name: "a", Slots: 2}, {Name: "b", Slots: 3}}
		q.Update(ups)
		waiting, running := map[string]Item{}, map[string]string{}
		leaving := map[string]bool{}
		for i := range rapid.IntRange(1, 80).Draw(rt, "steps") {
			switch rapid.IntRange(0, 6).Draw(rt, "op") {
			case 0, 1:
				it := Item{ID: fmt.Sprint(i), Rank: rapid.IntRange(0, 2).Draw(rt, "rank"),
					StartBy: clock.Now() + magno.Millis(rapid.IntRange(-50, 500).Draw(rt, "by")), Deadline: clock.Now() + magno.Millis(rapid.IntRange(0, 2000).Draw(rt, "end"))}
				if q.Offer(it) == nil {
					waiting[it.ID] = it
				}
			case 2:
				for id := range waiting {
					if !q.Cancel(id) {
						rt.Fatalf("%s was lost", id)
					}
					delete(waiting, id)
					break
				}
			case 3, 4:
				for id := range running {
					res := Result{Took: magno.Millis(rapid.IntRange(0, 300).Draw(rt, "took")), OK: rapid.Bool().Draw(rt, "ok"), Shed: rapid.Bool().Draw(rt, "shed")}
					q.Done(id, res)
					delete(running, id)
					break
				}
			case 5:
				leaving["a"] = !leaving["a"]
				q.Update([]Upstream{{Name: "a", Slots: 2, Leaving: leaving["a"]}, ups[1]})
			}
			clock.Advance(magno.Millis(rapid.IntRange(0, 200).Draw(rt, "pass")))
			d := q.Next()
			for _, s := range d.Starts {
				if _, ok := waiting[s.ID]; !ok || leaving[s.Upstream] || waiting[s.ID].Deadline < clock.Now() {
					rt.Fatalf("started %v, which doesn't wait, past its deadline or at an upstream that leaves", s)
				}
				delete(waiting, s.ID)
				running[s.ID] = s.Upstream
			}
			for _, r := range d.Rejections {
				if _, ok := waiting[r.ID]; !ok || r.Refusal == nil {
					rt.Fatalf("rejected %s, which doesn't wait", r.ID)
				}
				delete(waiting, r.ID)
			}
			if s := q.Stats(); s.Waiting != len(waiting) || s.InFlight != len(running) {
				rt.Fatalf("%d wait and %d run, want %d and %d", s.Waiting, s.InFlight, len(waiting), len(running))
			}
			if len(waiting) > 0 && d.Wake <= clock.Now() {
				rt.Fatalf("wake at %d, now %d", d.Wake, clock.Now())
			}
		}
	})
}

// BenchmarkQueue measures a request at an entry of 96 in front of 96 request slots, with 1,000 waiting.
func BenchmarkQueue(b *testing.B) {
	clock := magno.NewClock(magno.Hour)
	q := &Queue{Clock: clock, Seed: 1}
	var ups []Upstream
	for i := range 16 {
		ups = append(ups, Upstream{Name: fmt.Sprint("u", i), Slots: 6})
	}
	q.Update(ups)
	q.SetPeers(96, 0.01)
	n := 0
	add := func() {
		n++
		q.Offer(Item{ID: fmt.Sprint(n), Rank: n % 3, StartBy: clock.Now() + magno.Millis(n%400), Deadline: clock.Now() + magno.Hour})
	}
	for range 1000 {
		add()
	}
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		add()
		clock.Advance(20)
		for _, s := range q.Next().Starts {
			q.Done(s.ID, Result{Took: 60, OK: true})
		}
	}
}

// TestUnknownUpstream guards against an upstream that restarts and gets all requests, since no answer
// says how long it takes.
func TestUnknownUpstream(t *testing.T) {
	q, clock := newQueue(Upstream{Name: "a", Slots: 100})
	for i := range 20 {
		id := fmt.Sprint("first", i)
		offer(t, q, item(clock, id))
		q.Next()
		clock.Advance(60)
		q.Done(id, Result{Took: 60, OK: true})
	}
	q.Update([]Upstream{{Name: "a", Slots: 100}, {Name: "b", Slots: 100}})
	sent := map[string]int{}
	for i := range 40 {
		id := fmt.Sprint("later", i)
		offer(t, q, item(clock, id))
		for _, st := range q.Next().Starts {
			sent[st.Upstream]++
			q.Done(st.ID, Result{Void: true})
		}
		clock.Advance(60)
	}
	if sent["a"] < 10 || sent["b"] < 10 {
		t.Errorf("sent %v, want about half to each", sent)
	}
}
