package gate

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"magnoliastall.example/magno"
)

// All slots are in use by streams that run for seconds when a request for another adapter
// arrives. Its wait must include that for a slot. Counted as 250 ms, the time of a load, it
// attracted further requests while other engines had free slots, and callers were refused after
// waiting for over a second.
func TestBacklogCountsWaitForSlot(t *testing.T) {
	h := newHarness(t, 2)
	for i := range 2 {
		a := h.request(fmt.Sprint(i), fmt.Sprint("a", i), 100)
		a.ExpectedOutput, a.MaxOutput = 600, 1200 // a hundred events of at least 42 ms
		h.offer(a)
	}
	h.run(1500, nil)
	if !h.granted["0"] || !h.granted["1"] {
		t.Fatal("the first two requests were not admitted")
	}
	if wait := h.gate.Backlog().LoadWait; wait < 2*magno.Second {
		t.Errorf("the load wait is %d ms while both slots are in use for seconds", wait)
	}
	a := h.request("x", "x", 100)
	a.MaxWait = 1000
	if r := h.gate.Offer(a); r == nil || r.After <= 0 {
		t.Errorf("got %v, want a refusal with a retry time", r)
	}
	h.gate.Done("0", true)
	if wait := h.gate.Backlog().LoadWait; wait > 500 {
		t.Errorf("the load wait is %d ms while a slot can be freed at once", wait)
	}
}

// After a power failure the engine loads its base model from disk. Requests that can wait for
// it must be accepted: with the load counted twice, all were refused and their callers retried
// late.
func TestBaseModelWaitIsCountedOnce(t *testing.T) {
	h := newHarness(t, 6)
	empty := &magno.Report{StartedAt: 2, Loaded: map[string]map[string]int64{}, LocalModels: []string{model}}
	h.gate.ApplyReport(empty, h.clock.Now())
	h.gate.Decide()
	for _, c := range h.gate.Commands() {
		h.gate.ApplyOutcome(c, magno.OrderAccepted, h.clock.Now())
	}
	for i := range 4 {
		a := h.request(fmt.Sprint(i), fmt.Sprint("a", i), 100)
		a.MaxWait = 2700
		if r := h.gate.Offer(a); r != nil {
			t.Errorf("refused: %s", r.Detail)
		}
	}
	before := h.gate.Backlog().LoadWait
	h.clock.Advance(1000)
	if after := h.gate.Backlog().LoadWait; after > before-900 {
		t.Errorf("the load wait is %d ms, and %d ms a second later", before, after)
	}
}

// An engine caches some adapters in its memory, and how many shows only in load times. If the
// number is overestimated, more loads go to the store than it can serve at once, and callers
// are told a tenth of their wait.
func TestEngineCacheSizeIsLearned(t *testing.T) {
	const keeps = 12
	var inv inventory
	inv.setup()
	inv.spec = &Spec{}
	var order []string                 // most recently used last
	rng := rand.New(rand.NewPCG(1, 2)) //nolint:gosec // no secret
	for range 3000 {
		name := fmt.Sprint("m/a", rng.IntN(40))
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
		inv.recordLoad(loadStart{rank: inv.rank(name)}, took)
		inv.recent.Add(name, struct{}{})
		inv.updateRanks()
		for j, other := range order {
			if other == name {
				order = append(order[:j], order[j+1:]...)
				break
			}
		}
		order = append(order, name)
	}
	if inv.cacheSize < keeps-2 || inv.cacheSize > keeps+2 {
		t.Errorf("estimated cache size is %d, want about %d", inv.cacheSize, keeps)
	}
	if cold := inv.coldLoadTime(); cold < 240 || cold > 260 {
		t.Errorf("estimated time of a cold load is %d ms, want about 250", cold)
	}
}

// BenchmarkDeclines measures the decision to decline, with 60 running requests and 40 queued
// ones that wait for as many adapters.
func BenchmarkDeclines(b *testing.B) {
	clock := magno.NewClock(magno.Hour)
	h := &harness{clock: clock, slots: 6, held: map[string]int64{}, loading: map[string]magno.Millis{}, gate: &Gate{Clock: clock}}
	h.gate.SetSpec(h.spec())
	for i := range 6 {
		h.held[fmt.Sprint("a", i)] = 1
	}
	h.report()
	for i := range 100 {
		a := h.request(fmt.Sprint(i), fmt.Sprint("a", i%6), 1)
		if i >= 60 {
			a.Adapter = fmt.Sprint("b", i)
		}
		a.MaxWait = magno.Hour
		_ = h.gate.Offer(a)
		h.gate.Decide()
	}
	a := h.request("x", "x", 100)
	a.DeclineAbove = 100
	b.ReportAllocs()
	for b.Loop() {
		h.gate.Declines(&a)
	}
}

// An entry's state of an engine is 250 ms old, and a burst has arrived since. The engine must
// decline a request if its wait exceeds DeclineAbove, and only then.
func TestEngineDeclinesWhenItsWaitHasGrown(t *testing.T) {
	h := newHarness(t, 2)
	h.held["a"] = 1
	h.report()
	a := h.request("x", "a", 100)
	a.DeclineAbove = 60
	if h.gate.Declines(&a) {
		t.Error("an idle engine declined")
	}
	for i := range 8 {
		h.offer(h.request(fmt.Sprint(i), "a", 2400))
	}
	h.gate.Decide()
	if !h.gate.Declines(&a) {
		t.Error("an engine with 8 long prompts queued did not decline")
	}
	a.DeclineAbove = 0
	if h.gate.Declines(&a) {
		t.Error("a request without DeclineAbove was declined")
	}
}
