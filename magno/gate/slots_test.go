package gate

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"magnoliastall.example/magno"
)

// All slots are in use by streams that go on for seconds, and a request comes for
// another adapter. Counted by loads only, its wait was told as a quarter of a
// second; entries sent it and more of its kind here, beside engines with free
// slots, and callers were refused after waiting for over a second.
func TestWaitForASlotIsTold(t *testing.T) {
	w := newWorld(t, 2)
	for i := range 2 {
		a := w.ask(fmt.Sprint(i), fmt.Sprint("a", i), 100)
		a.ExpectedOutput, a.MaxOutput = 600, 1200 // a hundred events of 42 ms and more
		w.offer(a)
	}
	w.run(1500, nil)
	if !w.granted["0"] || !w.granted["1"] {
		t.Fatal("the first two didn't begin")
	}
	if wait := w.gate.Backlog().LoadWait; wait < 2*magno.Second {
		t.Errorf("entries are told %d ms while both slots are in use for seconds", wait)
	}
	a := w.ask("x", "x", 100)
	a.MaxWait = 1000
	if r := w.gate.Offer(a); r == nil || r.After <= 0 {
		t.Errorf("got %v, want a refusal at once with a time to come back", r)
	}
	w.gate.Done("0", true)
	if wait := w.gate.Backlog().LoadWait; wait > 500 {
		t.Errorf("entries are told %d ms while a slot can be had at once", wait)
	}
}

// All power was lost, and the engine loads its base model from its disk. Each of
// the requests that come meanwhile can wait for that; told as twice as long, all
// were refused, and their callers came back late.
func TestWaitForABaseModelIsToldOnce(t *testing.T) {
	w := newWorld(t, 6)
	empty := &magno.Report{Born: 2, Held: map[string]map[string]int64{}, Warm: []string{model}}
	w.gate.ApplyReport(empty, w.clock.Now())
	w.gate.Decide()
	for _, c := range w.gate.Commands() {
		w.gate.ApplyOutcome(c, magno.OrderAccepted, w.clock.Now())
	}
	for i := range 4 {
		a := w.ask(fmt.Sprint(i), fmt.Sprint("a", i), 100)
		a.MaxWait = 2700
		if r := w.gate.Offer(a); r != nil {
			t.Errorf("refused: %s", r.Detail)
		}
	}
	before := w.gate.Backlog().LoadWait
	w.clock.Advance(1000)
	if after := w.gate.Backlog().LoadWait; after > before-900 {
		t.Errorf("entries are told %d ms, and a second later %d", before, after)
	}
}

// An engine has few slots and keeps some adapters in its memory. How many shows
// by the times of its loads only. Taken for kept when they weren't, loads went to
// the store beyond its room, and callers were told a tenth of their wait.
func TestWhatAnEngineKeepsIsLearned(t *testing.T) {
	const keeps = 12
	var s shelf
	s.setup()
	s.spec = &Spec{}
	var order []string                  // the newest last
	draw := rand.New(rand.NewPCG(1, 2)) //nolint:gosec // no secret
	for range 3000 {
		name := fmt.Sprint("m/a", draw.IntN(40))
		at := -1
		for j, other := range order {
			if other == name {
				at = len(order) - 1 - j
			}
		}
		took := magno.Millis(250)
		if at >= 0 && at < keeps {
			took = 25
		}
		s.loaded(loading{rank: s.rank(name)}, took)
		s.known.Add(name, struct{}{})
		s.rankAll()
		for j, other := range order {
			if other == name {
				order = append(order[:j], order[j+1:]...)
				break
			}
		}
		order = append(order, name)
	}
	if s.keeps < keeps-2 || s.keeps > keeps+2 {
		t.Errorf("%d adapters count as kept, want %d or so", s.keeps, keeps)
	}
	if cold := s.cold(); cold < 240 || cold > 260 {
		t.Errorf("a load from the store is taken for %d ms, want 250", cold)
	}
}

// BenchmarkDeclines measures the first answer to an entry, with 60 requests under
// way and 40 more that wait for as many adapters.
func BenchmarkDeclines(b *testing.B) {
	clock := magno.NewClock(magno.Hour)
	w := &world{clock: clock, slots: 6, held: map[string]int64{}, loading: map[string]magno.Millis{}, gate: &Gate{Clock: clock}}
	w.gate.SetSpec(w.spec())
	for i := range 6 {
		w.held[fmt.Sprint("a", i)] = 1
	}
	w.report()
	for i := range 100 {
		a := w.ask(fmt.Sprint(i), fmt.Sprint("a", i%6), 1)
		if i >= 60 {
			a.Adapter = fmt.Sprint("b", i)
		}
		a.MaxWait = magno.Hour
		_ = w.gate.Offer(a)
		w.gate.Decide()
	}
	a := w.ask("x", "x", 100)
	a.DeclineAbove = 100
	b.ReportAllocs()
	for b.Loop() {
		w.gate.Declines(&a)
	}
}

// An entry's word of an engine is a quarter of a second old, and a clump came
// since. Where the wait is longer than the entry thought another engine worth, it
// is told so at once; where it is not, the request is taken.
func TestEngineDeclinesWhenItsWaitHasGrown(t *testing.T) {
	w := newWorld(t, 2)
	w.held["a"] = 1
	w.report()
	a := w.ask("x", "a", 100)
	a.DeclineAbove = 60
	if w.gate.Declines(&a) {
		t.Error("an idle engine declined")
	}
	for i := range 8 {
		w.offer(w.ask(fmt.Sprint(i), "a", 2400))
	}
	w.gate.Decide()
	if !w.gate.Declines(&a) {
		t.Error("an engine behind 8 long prompts didn't decline")
	}
	a.DeclineAbove = 0
	if w.gate.Declines(&a) {
		t.Error("a request that any wait is right for was declined")
	}
}
