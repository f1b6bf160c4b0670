package gate

import (
	"fmt"
	"testing"

	"magnoliastall.example/magno"
)

// harness drives a gate with a fake engine.
type harness struct {
	t     *testing.T
	clock *magno.Clock
	gate  *Gate
	// held, loading and slots are the engine's state.
	held    map[string]int64
	loading map[string]magno.Millis
	slots   int
	running int
	orders  int64
	granted map[string]bool
	refused map[string]*magno.Refusal
}

const model = "m"

func newHarness(t *testing.T, slots int) *harness {
	clock := magno.NewClock(magno.Hour)
	h := &harness{
		t: t, clock: clock, gate: &Gate{Clock: clock}, held: map[string]int64{}, loading: map[string]magno.Millis{},
		slots: slots, granted: map[string]bool{}, refused: map[string]*magno.Refusal{},
	}
	h.gate.SetSpec(h.spec())
	h.report()
	return h
}

func (h *harness) spec() Spec {
	return Spec{Replica: "r@1", ID: "r", Engine: magno.Engine{
		Models: []magno.Model{{Name: model, Size: 1000, Adapter: 10, Load: 3200, Disk: 1300}},
		Slots:  h.slots, Memory: 1000 + 10*float64(h.slots), Tokens: 100_000, Batch: 64, Stride: 6,
	}}
}

// report sends the engine's report to the gate.
func (h *harness) report() {
	now := h.clock.Now()
	r := &magno.Report{StartedAt: 1, Orders: h.orders, Running: h.running, Loaded: map[string]map[string]int64{model: {}}}
	for name, end := range h.loading {
		if now >= end {
			h.held[name] = 1
			delete(h.loading, name)
			continue
		}
		r.Loading = append(r.Loading, magno.Pin{Model: model, Adapter: name, Number: 1})
	}
	for name, version := range h.held {
		r.Loaded[model][name] = version
	}
	h.gate.ApplyReport(r, now)
}

// step lets the gate decide and the engine execute its commands. If lost returns true, the
// command is executed and its reply is lost.
func (h *harness) step(lost func() bool) {
	decisions := h.gate.Decide()
	for _, g := range decisions.Grants {
		h.granted[g.ID] = true
	}
	for _, t := range decisions.Rejections {
		h.refused[t.ID] = t.Refusal
	}
	for _, c := range h.gate.Commands() {
		h.execute(c)
		outcome := magno.OrderAccepted
		if lost != nil && lost() {
			outcome = magno.OrderUnknown
		}
		h.gate.ApplyOutcome(c, outcome, h.clock.Now())
	}
}

func (h *harness) execute(c magno.Command) {
	h.orders++
	if !c.Load {
		delete(h.held, c.Adapter)
		return
	}
	h.loading[c.Adapter] = h.clock.Now() + 250
	if n := len(h.held) + len(h.loading); n > h.slots {
		h.t.Fatalf("the engine was commanded to hold %d adapters in %d slots", n, h.slots)
	}
}

// run advances the clock by span, with a report every 30 ms.
func (h *harness) run(span magno.Millis, lost func() bool) {
	for end := h.clock.Now() + span; h.clock.Now() < end; h.clock.Advance(30) {
		h.report()
		h.step(lost)
	}
}

func (h *harness) request(id, adapter string, prompt int) Request {
	return Request{ID: id, Model: model, Adapter: adapter, Prompt: prompt, MaxOutput: 100, StartTarget: 800, MaxWait: 3000, TimeLeft: 12000, MaxGap: 250}
}

func (h *harness) offer(a Request) {
	if r := h.gate.Offer(a); r != nil {
		h.refused[a.ID] = r
	}
}

// Ten long prompts arrive together. Prefilled at once they would stall every stream for over
// half a second, where 250 ms are allowed. The gate spaces them, so that the prefill in each
// window leaves room for an event.
func TestBurstOfPromptsIsSpaced(t *testing.T) {
	h := newHarness(t, 8)
	h.held["a"] = 1
	h.report()
	const prompt = 2400 // 75 ms of prefill
	for i := range 10 {
		a := h.request(fmt.Sprint(i), "a", prompt)
		h.offer(a)
	}
	var at []magno.Millis
	for range 200 {
		s := h.gate.Decide()
		for range s.Grants {
			at = append(at, h.clock.Now())
		}
		h.clock.Advance(10)
	}
	if len(at) != 10 {
		t.Fatalf("%d of 10 prompts were admitted", len(at))
	}
	p := &h.gate.pacer
	event := p.engine.EventInterval()
	span := 250 - event
	for i, from := range at {
		tokens := 0
		for _, other := range at[i:] {
			if other < from+span {
				tokens += prompt
			}
		}
		if read := p.prefillTime(tokens); read+event > span {
			t.Errorf("prompts with %d ms of prefill were admitted within %d ms, and an event takes %d ms", read, span, event)
		}
	}
}

// A prompt that needs more than a whole window is admitted once the window is empty, though
// shorter ones keep arriving.
func TestPromptLongerThanWindowIsAdmitted(t *testing.T) {
	h := newHarness(t, 8)
	h.held["a"] = 1
	h.report()
	h.offer(h.request("first", "a", 3000))
	h.run(30, nil)
	h.offer(h.request("long", "a", 9000))
	h.run(600, nil)
	if !h.granted["long"] {
		t.Error("the long prompt was not admitted")
	}
}

// An engine starts to leave while requests wait for their adapters. They must be refused at
// once, so that they can run elsewhere: started two seconds later, they would be cut off with
// the engine.
func TestLeavingEngineRefusesQueuedRequests(t *testing.T) {
	h := newHarness(t, 2)
	h.offer(h.request("1", "a", 100))
	spec := h.spec()
	spec.Leaving = true
	h.gate.SetSpec(spec)
	h.run(600, nil)
	if h.granted["1"] || h.refused["1"] == nil {
		t.Error("a queued request was not refused when the engine began to leave")
	}
	h.offer(h.request("2", "a", 100))
	if h.refused["2"] == nil {
		t.Error("a leaving engine accepted a new request")
	}
}

// An engine restarts under the same name. Its adapters are gone, so requests must wait for
// their loads; sent at once, they would fail.
func TestRestartedEngineHoldsNothing(t *testing.T) {
	h := newHarness(t, 2)
	h.offer(h.request("1", "a", 100))
	h.run(600, nil)
	if !h.granted["1"] {
		t.Fatal("the first request was not admitted")
	}
	h.gate.ApplyReport(&magno.Report{StartedAt: 2}, h.clock.Now())
	h.offer(h.request("2", "a", 100))
	h.gate.Decide()
	if c := h.gate.Commands(); len(c) != 1 || !c[0].Load || c[0].Adapter != "" {
		t.Errorf("commands are %v, want a load of the base model", c)
	}
}

// An engine restarts between two reports and has its base model loaded again. The restart must
// be noticed by the start time or by the command count, or requests that are gone would occupy
// the batch.
func TestRestartFreesCapacity(t *testing.T) {
	for name, report := range map[string]*magno.Report{
		"another start": {StartedAt: 2, Orders: 9}, "orders counted anew": {StartedAt: 1, Orders: 0},
	} {
		h := newHarness(t, 2)
		spec := h.spec()
		spec.Engine.Batch = 1
		h.gate.SetSpec(spec)
		h.held["a"] = 1
		h.orders = 5
		h.report()
		h.offer(h.request("1", "a", 100))
		h.run(60, nil)
		h.offer(h.request("2", "a", 100))
		h.run(300, nil)
		if !h.granted["1"] || h.granted["2"] {
			t.Fatal("want exactly the first request admitted with a batch of one")
		}
		report.Loaded = map[string]map[string]int64{model: {"a": 1}}
		h.gate.ApplyReport(report, h.clock.Now())
		h.step(nil)
		if !h.granted["2"] {
			t.Errorf("%s: a request from before the restart still occupies the batch", name)
		}
	}
}

// A request whose MaxWait is shorter than the expected wait at a full engine is refused at
// once, with a time after which to retry.
func TestWaitOverLimitIsRefusedAtOnce(t *testing.T) {
	h := newHarness(t, 2)
	h.held["a"] = 1
	h.report()
	for i := range 200 {
		h.offer(h.request(fmt.Sprint(i), "a", 2400))
	}
	a := h.request("last", "a", 2400)
	a.MaxWait = 500
	r := h.gate.Offer(a)
	if r == nil || r.Kind != magno.KindBusy || r.After <= 0 {
		t.Errorf("got %v, want a busy refusal with a retry time", r)
	}
}

// More adapters are requested than can be loaded in time. Requests whose adapter cannot be
// ready in time are refused as soon as that is known, not at the end of their MaxWait.
func TestAdapterThatCannotComeInTimeIsRefusedEarly(t *testing.T) {
	h := newHarness(t, 30)
	start := h.clock.Now()
	for i := range 20 {
		a := h.request(fmt.Sprint("hot", i), fmt.Sprint("a", i%10), 100)
		a.MaxWait = 4000
		h.offer(a)
	}
	late := h.request("late", "rare", 100)
	late.MaxWait = 2500
	g := h.gate
	g.queue = append(g.queue, &queuedRequest{Request: late, queuedAt: start, startBy: start + 800, giveUpAt: start + 2500, deadline: start + 12000})
	for h.refused["late"] == nil && h.clock.Now() < start+2400 {
		h.run(30, nil)
	}
	if waited := h.clock.Now() - start; waited > 1000 {
		t.Errorf("the request was refused after %d ms, want 1000 at most", waited)
	}
}

// A request names a model that the engine isn't configured for, so it is never loaded. Guards against a
// request that waits until it gives up, and against a refusal of one that the engine holds all the same.
func TestModelThatIsNotConfiguredIsRefusedAtOnce(t *testing.T) {
	h := newHarness(t, 2)
	for _, adapter := range []string{"", "a"} {
		a := h.request("unknown", adapter, 100)
		a.Model = "other"
		if r := h.gate.Offer(a); r == nil || r.Kind != magno.KindLoading || r.After <= 0 {
			t.Errorf("adapter %q: got %v, want a refusal with a retry time", adapter, r)
		}
	}
	h.gate.ApplyReport(&magno.Report{StartedAt: 1, Loaded: map[string]map[string]int64{model: {}, "other": {}}}, h.clock.Now())
	a := h.request("held", "", 100)
	a.Model = "other"
	if r := h.gate.Offer(a); r != nil {
		t.Errorf("a request for a model that the engine holds is refused: %v", r)
	}
}

// A request that is late on arrival finds an idle engine. Guards against refusing what can still be served,
// and against a grant after the time at which the request gives up, when the gate was not asked for a while.
func TestLateRequestIsServedUntilItGivesUp(t *testing.T) {
	for _, c := range []struct {
		pause  magno.Millis
		served bool
	}{{20, true}, {3000, false}} {
		h := newHarness(t, 2)
		h.held["a"] = 1
		h.report()
		a := h.request("late", "a", 100)
		a.StartTarget = -500
		h.offer(a)
		h.clock.Advance(c.pause)
		h.step(nil)
		if h.granted["late"] != c.served || (h.refused["late"] != nil) == c.served {
			t.Errorf("after %d ms: granted %v, refused %v", c.pause, h.granted["late"], h.refused["late"])
		}
		h.run(3000, nil)
		if h.granted["late"] != c.served {
			t.Errorf("granted after it was refused")
		}
	}
}

// Requests for eight loaded adapters wait for prefill when one for an adapter that is not
// loaded arrives. Its load starts at once, so the eight must not count towards its wait; with
// them it was refused.
func TestWaitForALoadCountsLoadsOnly(t *testing.T) {
	h := newHarness(t, 12)
	for i := range 8 {
		h.held[fmt.Sprint("a", i)] = 1
	}
	h.report()
	for i := range 8 {
		h.offer(h.request(fmt.Sprint(i), fmt.Sprint("a", i), 1200))
	}
	a := h.request("x", "x", 100)
	a.MaxWait = 1200
	if r := h.gate.Offer(a); r != nil {
		t.Errorf("refused: %s", r.Detail)
	}
	if wait := h.gate.Backlog().LoadWait; wait > 2*magno.Millis(initialColdLoad) {
		t.Errorf("the reported load wait is %d ms, want that of one load", wait)
	}
}

func BenchmarkOfferAndNext(b *testing.B) {
	clock := magno.NewClock(magno.Hour)
	h := &harness{clock: clock, slots: 30, held: map[string]int64{"a": 1}, loading: map[string]magno.Millis{}}
	g := &Gate{Clock: clock}
	h.gate = g
	g.SetSpec(h.spec())
	h.report()
	for i := 0; b.Loop(); i++ {
		id := fmt.Sprint(i)
		_ = g.Offer(h.request(id, "a", 400))
		g.Decide()
		g.Done(id, true)
		clock.Advance(15)
	}
}
