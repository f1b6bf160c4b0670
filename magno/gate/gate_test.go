package gate

import (
	"fmt"
	"testing"

	"magnoliastall.example/magno"
)

// world is a gate beside a fake engine.
type world struct {
	t     *testing.T
	clock *magno.Clock
	gate  *Gate
	// held, loading and slots are the engine's.
	held    map[string]int64
	loading map[string]magno.Millis
	slots   int
	running int
	orders  int64
	granted map[string]bool
	turned  map[string]*magno.Refusal
}

const model = "m"

func newWorld(t *testing.T, slots int) *world {
	clock := magno.NewClock(magno.Hour)
	w := &world{
		t: t, clock: clock, gate: &Gate{Clock: clock}, held: map[string]int64{}, loading: map[string]magno.Millis{},
		slots: slots, granted: map[string]bool{}, turned: map[string]*magno.Refusal{},
	}
	w.gate.SetSpec(w.spec())
	w.report()
	return w
}

func (w *world) spec() Spec {
	return Spec{Replica: "r@1", ID: "r", Engine: magno.Engine{
		Models: []magno.Model{{Name: model, Size: 1000, Adapter: 10, Load: 3200, Disk: 1300}},
		Slots:  w.slots, Memory: 1000 + 10*float64(w.slots), Tokens: 100_000, Batch: 64, Stride: 6,
	}}
}

// report tells the gate what the engine holds.
func (w *world) report() {
	now := w.clock.Now()
	r := &magno.Report{Born: 1, Orders: w.orders, Running: w.running, Held: map[string]map[string]int64{model: {}}}
	for name, end := range w.loading {
		if now >= end {
			w.held[name] = 1
			delete(w.loading, name)
			continue
		}
		r.Coming = append(r.Coming, magno.Pin{Model: model, Adapter: name, Number: 1})
	}
	for name, version := range w.held {
		r.Held[model][name] = version
	}
	w.gate.ApplyReport(r, now)
}

// step lets the gate decide and the engine obey. Lost orders are obeyed without
// an answer.
func (w *world) step(lost func() bool) {
	s := w.gate.Decide()
	for _, g := range s.Grants {
		w.granted[g.ID] = true
	}
	for _, t := range s.Rejections {
		w.turned[t.ID] = t.Refusal
	}
	for _, c := range w.gate.Commands() {
		w.obey(c)
		outcome := magno.OrderAccepted
		if lost != nil && lost() {
			outcome = magno.OrderUnknown
		}
		w.gate.ApplyOutcome(c, outcome, w.clock.Now())
	}
}

func (w *world) obey(c magno.Command) {
	w.orders++
	if !c.Load {
		delete(w.held, c.Adapter)
		return
	}
	w.loading[c.Adapter] = w.clock.Now() + 250
	if n := len(w.held) + len(w.loading); n > w.slots {
		w.t.Fatalf("the engine was ordered to hold %d adapters in %d slots", n, w.slots)
	}
}

// run plays for so long, with a report each 30 ms.
func (w *world) run(span magno.Millis, lost func() bool) {
	for end := w.clock.Now() + span; w.clock.Now() < end; w.clock.Advance(30) {
		w.report()
		w.step(lost)
	}
}

func (w *world) ask(id, adapter string, prompt int) Request {
	return Request{ID: id, Model: model, Adapter: adapter, Prompt: prompt, MaxOutput: 100, StartTarget: 800, MaxWait: 3000, TimeLeft: 12000, MaxGap: 250}
}

func (w *world) offer(a Request) {
	if r := w.gate.Offer(a); r != nil {
		w.turned[a.ID] = r
	}
}

// Ten long prompts come within the same moment. Read at once, they would stop
// every stream of the engine for over half a second, where 250 ms are allowed.
// They are spaced, so that what is read leaves room for an event in each window.
func TestBurstOfPromptsIsSpaced(t *testing.T) {
	w := newWorld(t, 8)
	w.held["a"] = 1
	w.report()
	const prompt = 2400 // 75 ms
	for i := range 10 {
		a := w.ask(fmt.Sprint(i), "a", prompt)
		w.offer(a)
	}
	var at []magno.Millis
	for range 200 {
		s := w.gate.Decide()
		for range s.Grants {
			at = append(at, w.clock.Now())
		}
		w.clock.Advance(10)
	}
	if len(at) != 10 {
		t.Fatalf("%d of 10 began", len(at))
	}
	p := &w.gate.pace
	event := p.engine.Event()
	span := 250 - event
	for i, from := range at {
		tokens := 0
		for _, other := range at[i:] {
			if other < from+span {
				tokens += prompt
			}
		}
		if read := p.time(tokens); read+event > span {
			t.Errorf("prompts of %d ms began within %d ms, and an event takes %d", read, span, event)
		}
	}
}

// A prompt that takes longer than a whole window comes while shorter ones go on
// coming. It gets its turn once the window is empty.
func TestVeryLongPromptIsReadAtLast(t *testing.T) {
	w := newWorld(t, 8)
	w.held["a"] = 1
	w.report()
	w.offer(w.ask("first", "a", 3000))
	w.run(30, nil)
	w.offer(w.ask("long", "a", 9000))
	w.run(600, nil)
	if !w.granted["long"] {
		t.Error("the long prompt still waits")
	}
}

// Requests wait at an engine whose adapters aren't there yet, and operators
// take that engine away. The callers' requests must go elsewhere at once:
// begun there two seconds later, they would be cut off with it.
func TestLeavingEngineTurnsAwayWhatWaits(t *testing.T) {
	w := newWorld(t, 2)
	w.offer(w.ask("1", "a", 100))
	spec := w.spec()
	spec.Leaving = true
	w.gate.SetSpec(spec)
	w.run(600, nil)
	if w.granted["1"] || w.turned["1"] == nil {
		t.Error("a request that waited began at an engine that leaves")
	}
	w.offer(w.ask("2", "a", 100))
	if w.turned["2"] == nil {
		t.Error("a leaving engine took a new request")
	}
}

// The engine restarts empty, under the name that it had. What it held is gone,
// and requests wait for their adapters' loads instead of being sent to fail.
func TestRestartedEngineHoldsNothing(t *testing.T) {
	w := newWorld(t, 2)
	w.offer(w.ask("1", "a", 100))
	w.run(600, nil)
	if !w.granted["1"] {
		t.Fatal("the first request didn't begin")
	}
	w.gate.ApplyReport(&magno.Report{Born: 2}, w.clock.Now())
	w.offer(w.ask("2", "a", 100))
	w.gate.Decide()
	if c := w.gate.Commands(); len(c) != 1 || !c[0].Load || c[0].Adapter != "" {
		t.Errorf("ordered %v, want the base model first", c)
	}
}

// The engine restarts within one report, with its base model there again. What
// ran before is gone and must not keep the places of what comes; whether it says
// when it started, or only counts its orders anew, it is noticed.
func TestRestartFreesThePlaces(t *testing.T) {
	for name, report := range map[string]*magno.Report{
		"another start": {Born: 2, Orders: 9}, "orders counted anew": {Born: 1, Orders: 0},
	} {
		w := newWorld(t, 2)
		spec := w.spec()
		spec.Engine.Batch = 1
		w.gate.SetSpec(spec)
		w.held["a"] = 1
		w.orders = 5
		w.report()
		w.offer(w.ask("1", "a", 100))
		w.run(60, nil)
		w.offer(w.ask("2", "a", 100))
		w.run(300, nil)
		if !w.granted["1"] || w.granted["2"] {
			t.Fatal("one place, and not one request in it")
		}
		report.Held = map[string]map[string]int64{model: {"a": 1}}
		w.gate.ApplyReport(report, w.clock.Now())
		w.step(nil)
		if !w.granted["2"] {
			t.Errorf("%s: a request that is gone still keeps its place", name)
		}
	}
}

// An engine is full, with a queue behind it. A caller whose patience is shorter
// than the wait is told so at once, and when to come back.
func TestHopelessWaitIsRefusedAtOnce(t *testing.T) {
	w := newWorld(t, 2)
	w.held["a"] = 1
	w.report()
	for i := range 200 {
		w.offer(w.ask(fmt.Sprint(i), "a", 2400))
	}
	a := w.ask("last", "a", 2400)
	a.MaxWait = 500
	r := w.gate.Offer(a)
	if r == nil || r.Kind != magno.KindBusy || r.After <= 0 {
		t.Errorf("got %v, want a refusal with a time to come back", r)
	}
}

// Many adapters are asked for at once, more than can be loaded in time. Callers
// whose adapter can't come are told so as soon as that shows, and not at the end
// of their patience.
func TestAdapterThatCannotComeInTimeIsRefusedEarly(t *testing.T) {
	w := newWorld(t, 30)
	start := w.clock.Now()
	for i := range 20 {
		a := w.ask(fmt.Sprint("hot", i), fmt.Sprint("a", i%10), 100)
		a.MaxWait = 4000
		w.offer(a)
	}
	late := w.ask("late", "rare", 100)
	late.MaxWait = 2500
	g := w.gate
	g.queue = append(g.queue, &waiting{Request: late, came: start, due: start + 800, until: start + 2500, end: start + 12000})
	for w.turned["late"] == nil && w.clock.Now() < start+2400 {
		w.run(30, nil)
	}
	if waited := w.clock.Now() - start; waited > 1000 {
		t.Errorf("it was refused after %d ms", waited)
	}
}

// Requests for eight adapters that are there wait for their turn to be read, and
// one comes for an adapter that isn't. Nothing else is to be loaded, so its load
// begins at once; counted behind the eight, it was refused.
func TestWaitForALoadCountsLoadsOnly(t *testing.T) {
	w := newWorld(t, 12)
	for i := range 8 {
		w.held[fmt.Sprint("a", i)] = 1
	}
	w.report()
	for i := range 8 {
		w.offer(w.ask(fmt.Sprint(i), fmt.Sprint("a", i), 1200))
	}
	a := w.ask("x", "x", 100)
	a.MaxWait = 1200
	if r := w.gate.Offer(a); r != nil {
		t.Errorf("refused: %s", r.Detail)
	}
	if wait := w.gate.Backlog().LoadWait; wait > 2*magno.Millis(priorCold) {
		t.Errorf("entries are told that a load takes %d ms", wait)
	}
}

func BenchmarkOfferAndNext(b *testing.B) {
	clock := magno.NewClock(magno.Hour)
	w := &world{clock: clock, slots: 30, held: map[string]int64{"a": 1}, loading: map[string]magno.Millis{}}
	g := &Gate{Clock: clock}
	w.gate = g
	g.SetSpec(w.spec())
	w.report()
	for i := 0; b.Loop(); i++ {
		id := fmt.Sprint(i)
		_ = g.Offer(w.ask(id, "a", 400))
		g.Decide()
		g.Done(id, true)
		clock.Advance(15)
	}
}
