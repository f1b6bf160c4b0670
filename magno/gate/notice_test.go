package gate

import (
	"fmt"
	"testing"

	"magnoliastall.example/magno"
)

// limitedHarness has an adapter loaded and an engine that names a limit.
func limitedHarness(t *testing.T, rate float64) *harness {
	t.Helper()
	h := newHarness(t, 4)
	h.held["a"] = 1
	h.report()
	if !h.gate.NameLimit(rate, h.clock.Now()) {
		t.Fatal("the limit is no change")
	}
	return h
}

func limitedRequest(id string, patience magno.Millis) Request {
	return Request{ID: id, Model: model, Adapter: "a", Prompt: 10, MaxOutput: 20, StartTarget: 800, MaxWait: patience, TimeLeft: 2 * patience}
}

// Guards against the entries together sending more than an engine's limit, however many they
// are: each of 300 asks for a permit twice a second.
func TestEngineLimitHoldsForAnyNumberOfEntries(t *testing.T) {
	const entries, rate = 300, 2.0
	h := limitedHarness(t, rate)
	var grantedAt []magno.Millis
	for step := range 800 {
		for e := range 6 {
			id := fmt.Sprintf("e%d/%d", (6*step+e)%entries, step)
			if h.gate.Offer(limitedRequest(id, 1500)) == nil {
				defer h.gate.Done(id, true)
			}
		}
		for _, g := range h.gate.Decide().Grants {
			grantedAt = append(grantedAt, h.clock.Now())
			h.gate.Done(g.ID, true)
		}
		h.clock.Advance(10)
	}
	for i, at := range grantedAt {
		n := 0
		for _, other := range grantedAt[:i+1] {
			if at-other < 4*magno.Second {
				n++
			}
		}
		if n > int(rate*4)+1 {
			t.Fatalf("%d requests in 4 s", n)
		}
	}
	if len(grantedAt) < 15 {
		t.Errorf("only %d requests in 8 s", len(grantedAt))
	}
}

// Guards against requests waiting for a turn that can't come in time: those that were queued
// before the engine named its limit, and those that arrive later.
func TestRequestsOverTheLimitAreRefusedAtOnce(t *testing.T) {
	h := newHarness(t, 4)
	h.held["a"] = 1
	h.report()
	h.running = 64 // a full batch
	h.report()
	for i := range 6 {
		if r := h.gate.Offer(limitedRequest(fmt.Sprint(i), 20*magno.Second)); r != nil {
			t.Fatal(r)
		}
	}
	h.clock.Advance(10)
	h.gate.NameLimit(0.2, h.clock.Now())
	if n := len(h.gate.Decide().Rejections); n != 3 {
		t.Errorf("%d of 6 queued requests were refused, want those that start after 20 s", n)
	}
	r := h.gate.Offer(limitedRequest("late", 10*magno.Second))
	if r == nil || r.Kind != magno.KindBusy || r.After < magno.Second {
		t.Errorf("a request that can't start in time got %+v", r)
	}
}

// Guards against other entries choosing an engine whose limit is used up.
func TestWaitIncludesTheLimit(t *testing.T) {
	h := limitedHarness(t, 2)
	req := limitedRequest("x", 10*magno.Second)
	req.DeclineAbove = 100
	if wait := h.gate.Backlog().Wait; wait < 500 || !h.gate.Declines(&req) {
		t.Errorf("a wait of %d ms is reported until the first request may start, and it declines nothing", wait)
	}
	if r := h.gate.Offer(limitedRequest("y", 10*magno.Second)); r != nil {
		t.Fatal(r)
	}
	h.gate.Decide()
	h.clock.Advance(600)
	d := h.gate.Decide()
	if len(d.Grants) != 1 || d.Grants[0].Waits[CauseLimit] < 500 {
		t.Errorf("got %+v, want one request that waited for the limit", d)
	}
}

// Guards against a limit outliving its reason: it ends with an answer to a request that was
// granted under it, with a report, and with a restart of the engine.
func TestEngineLimitEnds(t *testing.T) {
	for name, end := range map[string]func(h *harness){
		"answer": func(h *harness) {
			if h.gate.EndLimit("unknown") {
				t.Error("the answer to an unknown request ended the limit")
			}
			_ = h.gate.Offer(limitedRequest("x", 10*magno.Second))
			h.clock.Advance(1100)
			h.gate.Decide()
			h.gate.EndLimit("x")
		},
		"report": func(h *harness) {
			h.gate.ApplyReport(&magno.Report{StartedAt: 1, Notice: magno.Notice{Limited: true, Rate: 1}}, h.clock.Now())
			h.clock.Advance(100)
			h.gate.ApplyReport(&magno.Report{StartedAt: 1}, h.clock.Now())
		},
		"restart": func(h *harness) { h.gate.ApplyReport(&magno.Report{StartedAt: 2}, h.clock.Now()) },
	} {
		t.Run(name, func(t *testing.T) {
			h := limitedHarness(t, 1)
			if s := h.gate.Limit(); s == nil || !s.Limited {
				t.Fatal("no limit")
			}
			end(h)
			if s := h.gate.Limit(); s != nil && s.Limited {
				t.Error("the limit has not ended")
			}
		})
	}
}

// Guards against reports of an engine that names its limit in answers only ending the limit.
func TestReportWithoutLimitDoesNotEndIt(t *testing.T) {
	h := limitedHarness(t, 1)
	h.clock.Advance(100)
	h.report()
	if s := h.gate.Limit(); s == nil || !s.Limited {
		t.Error("a report ended the limit")
	}
}

// Guards against entries that have not noticed an engine's restart bringing back the limit of its
// earlier life.
func TestLimitFromBeforeARestartIsIgnored(t *testing.T) {
	h := limitedHarness(t, 1)
	statedAt := h.clock.Now()
	if h.gate.RestartAge() != 0 {
		t.Error("a start counts as a restart")
	}
	h.clock.Advance(100)
	h.gate.ApplyReport(&magno.Report{StartedAt: 2}, h.clock.Now())
	h.clock.Advance(100)
	if age := h.gate.RestartAge(); age != 100 {
		t.Errorf("the restart was %d ms ago, want 100", age)
	}
	if h.gate.NameLimit(1, statedAt) || h.gate.Limit() != nil {
		t.Error("the limit is back")
	}
	if !h.gate.NameLimit(1, h.clock.Now()) {
		t.Error("a new limit is ignored")
	}
}

// Guards against an engine that stated that it leaves getting further requests while the list
// shows it as ready.
func TestEngineThatStatesItLeavesTakesNothing(t *testing.T) {
	h := newHarness(t, 4)
	h.held["a"] = 1
	h.report()
	h.running = 64
	h.report()
	if r := h.gate.Offer(limitedRequest("x", magno.Second)); r != nil {
		t.Fatal(r)
	}
	if !h.gate.SetLeaving() || h.gate.SetLeaving() || h.gate.LeavingAge() == 0 {
		t.Error("the statement is no change, or one twice")
	}
	if r := h.gate.Offer(limitedRequest("y", magno.Second)); r == nil || r.Kind != magno.KindLeaving {
		t.Errorf("a further request got %v", r)
	}
	if d := h.gate.Decide(); len(d.Rejections) != 1 || d.Rejections[0].Refusal.Kind != magno.KindLeaving {
		t.Errorf("a queued request: got %+v", d)
	}
	h.clock.Advance(10)
	h.report()
	if h.gate.LeavingAge() == 0 {
		t.Error("a report without the statement undid it")
	}
	h.gate.ApplyReport(&magno.Report{StartedAt: 2}, h.clock.Now())
	if h.gate.LeavingAge() > 0 {
		t.Error("the engine still leaves after its restart")
	}
}
