package gate

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"magnoliastall.example/magno"
)

// The fake engine of the state machine is small, so that every limit is reached.
const (
	machineSlots = 3
	machineBatch = 4
	// machineLoad and machineModel are its load times. machineMaxOutdated is the longest time
	// for which an outdated version may be used: updateSpread plus about two reports.
	machineLoad        = 250 * magno.Millis(1)
	machineModel       = 400 * magno.Millis(1)
	machineMaxOutdated = updateSpread + 100
	// machineTick is the longest time between two decisions.
	machineTick = 120 * magno.Millis(1)
)

// gateMachine is a rapid state machine that runs a gate against the oracle.
type gateMachine struct {
	clock  *magno.Clock
	gate   *Gate
	engine *oracle
	spec   Spec
	// epoch counts restarts of the engine; knownEpoch is the epoch of the last report that the
	// gate has received.
	epoch, knownEpoch int
	// open are the requests without an outcome, and until the times by which they must have
	// one. running are the admitted requests that have not ended; all end by their deadlines.
	open     map[string]Request
	until    map[string]magno.Millis
	running  map[string]Request
	deadline map[string]magno.Millis
	// report is in transit. It was written at reportAt in reportEpoch.
	report      *magno.Report
	reportAt    magno.Millis
	reportEpoch int
	// declaredAt is when each version of an adapter was declared, from the second on.
	declaredAt map[string][]magno.Millis
	lastID     int
}

func newGateMachine() *gateMachine {
	clock := magno.NewClock(magno.Hour)
	m := &gateMachine{
		clock: clock, gate: &Gate{Clock: clock}, open: map[string]Request{}, until: map[string]magno.Millis{},
		running: map[string]Request{}, deadline: map[string]magno.Millis{}, declaredAt: map[string][]magno.Millis{},
		spec: Spec{Replica: "r@1", ID: "r", Pins: map[string]int64{}, Engine: magno.Engine{
			Models: []magno.Model{{Name: model, Size: 1000, Adapter: 10, Load: machineModel, Disk: machineModel}},
			Slots:  machineSlots, Memory: 2000, Tokens: 20_000, Batch: machineBatch,
		}},
		engine: &oracle{born: 1, newest: map[string]int64{}},
	}
	m.engine.reset()
	m.setSpec()
	m.exchangeReport()
	return m
}

func (m *gateMachine) setSpec() {
	spec := m.spec
	spec.Pins = maps.Clone(spec.Pins)
	m.gate.SetSpec(spec)
}

func (m *gateMachine) exchangeReport() {
	m.takeReport()
	m.deliverReport()
}

// takeReport has the engine write a report. deliverReport delivers it, possibly after further
// commands were issued.
func (m *gateMachine) takeReport() {
	r := m.engine.report(m.clock.Now())
	r.Running = len(m.running)
	m.report, m.reportAt, m.reportEpoch = r, m.clock.Now(), m.epoch
}

func (m *gateMachine) deliverReport() {
	if m.report == nil || m.reportEpoch != m.epoch {
		return // the connection was lost with the engine
	}
	m.gate.ApplyReport(m.report, m.reportAt)
	m.report, m.knownEpoch = nil, m.reportEpoch
}

// offerBurst offers several requests at once.
func (m *gateMachine) offerBurst(t *rapid.T) {
	for range rapid.IntRange(1, 6).Draw(t, "clump") {
		m.offer(t)
	}
}

// offer draws a request. Unless the gate refuses it at once, it must get an outcome.
func (m *gateMachine) offer(t *rapid.T) {
	m.lastID++
	a := Request{
		ID: fmt.Sprint(m.lastID), Model: model, Adapter: fmt.Sprint("a", rapid.IntRange(0, 4).Draw(t, "adapter")),
		Prompt: rapid.SampledFrom([]int{1, 1, 50, 50, 300, 2000, 9000}).Draw(t, "prompt"), MaxOutput: 100, Rank: rapid.IntRange(0, 3).Draw(t, "rank"), StartTarget: 500,
		MaxGap:       rapid.SampledFrom([]magno.Millis{0, 150, 250, 600}).Draw(t, "gap"),
		Customer:     rapid.SampledFrom([]string{"", "a", "b", "c"}).Draw(t, "customer"),
		MaxWait:      magno.Millis(rapid.IntRange(50, 3000).Draw(t, "patience")),
		DeclineAbove: rapid.SampledFrom([]magno.Millis{0, 20, 100, 400}).Draw(t, "most"),
		RoundTrip:    rapid.SampledFrom([]magno.Millis{0, 2, 40}).Draw(t, "trip"),
	}
	a.TimeLeft = a.MaxWait + 4000
	if r := m.gate.Offer(a); r != nil {
		if r.After <= 0 {
			t.Fatalf("refused without a retry time: %v", r)
		}
		return
	}
	m.track(a)
}

func (m *gateMachine) track(a Request) {
	now := m.clock.Now()
	m.open[a.ID], m.until[a.ID], m.deadline[a.ID] = a, now+a.MaxWait, now+a.TimeLeft
}

// decide calls the gate's Decide and checks the decisions.
func (m *gateMachine) decide(t *rapid.T) {
	now := m.clock.Now()
	m.engine.finishLoads(now)
	for id := range m.running {
		if now >= m.deadline[id] {
			delete(m.running, id)
		}
	}
	decisions := m.gate.Decide()
	for _, g := range decisions.Grants {
		m.granted(t, g, now)
	}
	for _, rejection := range decisions.Rejections {
		if _, ok := m.open[rejection.ID]; !ok {
			t.Fatalf("%s is refused, but it has an outcome already or was never queued", rejection.ID)
		}
		delete(m.open, rejection.ID)
		if after := rejection.Refusal.After; after <= 0 || after > maxRetryAfter {
			t.Fatalf("%s is refused with a retry time of %d ms", rejection.ID, after)
		}
	}
	for _, x := range decisions.Declines {
		m.declined(t, &x, now)
	}
	m.checkOrder(t)
	for id := range m.open {
		if m.spec.Leaving {
			t.Fatalf("%s is queued at an engine that is leaving", id)
		}
		if now >= m.until[id] {
			t.Fatalf("%s is still queued %d ms after its MaxWait", id, now-m.until[id])
		}
	}
	m.executeCommands(t, now)
}

// declined checks that a request was handed back only where its entry knows a better engine and
// its adapter isn't being loaded here.
func (m *gateMachine) declined(t *rapid.T, x *Decline, now magno.Millis) {
	a, ok := m.open[x.ID]
	if !ok {
		t.Fatalf("%s is handed back, but it has an outcome already or was never queued", x.ID)
	}
	delete(m.open, x.ID)
	switch offered := m.until[x.ID] - a.MaxWait; {
	case a.DeclineAbove == 0:
		t.Fatalf("%s is handed back although no other engine is better", x.ID)
	case x.Expected <= a.DeclineAbove+handBackTrips*a.RoundTrip:
		t.Fatalf("%s is handed back with a wait of %d ms left, which is no longer than elsewhere", x.ID, x.Expected)
	case now+handBackTrips*a.RoundTrip+a.DeclineAbove > offered+a.StartTarget:
		t.Fatalf("%s is handed back although it will be late elsewhere", x.ID)
	case m.gate.inventory.changing(a.qualifiedName()):
		t.Fatalf("%s is handed back while its adapter is loaded", x.ID)
	}
}

// checkOrder checks that among the queued requests that can be on time a lower rank never
// precedes a higher one, nor a later start an earlier one of its rank and customer.
// Late ones that would give up are among them, and first in their rank.
func (m *gateMachine) checkOrder(t *rapid.T) {
	var before *queuedRequest
	last := map[string]*queuedRequest{}
	check := func(before, w *queuedRequest, order int) {
		if order > 0 {
			t.Fatalf("%s (rank %d, start by %d) is queued before %s (rank %d, start by %d)", before.ID, before.Rank, before.startBy, w.ID, w.Rank, w.startBy)
		}
	}
	for _, w := range m.gate.queue {
		if w.late && !w.promoted {
			continue
		}
		if before != nil && !sameClass(before, w) {
			check(before, w, compareQueued(before, w))
		}
		if earlier := last[w.Customer]; earlier != nil {
			check(earlier, w, compareQueued(earlier, w))
		}
		before, last[w.Customer] = w, w
	}
}

func (m *gateMachine) granted(t *rapid.T, g Grant, now magno.Millis) {
	a, ok := m.open[g.ID]
	switch {
	case !ok:
		t.Fatalf("%s is admitted, but it has an outcome already or was never queued", g.ID)
	case m.spec.Leaving:
		t.Fatalf("%s is admitted at an engine that is leaving", g.ID)
	}
	delete(m.open, g.ID)
	m.running[g.ID] = a
	if len(m.running) > machineBatch {
		t.Fatalf("%d requests run in a batch of %d", len(m.running), machineBatch)
	}
	if m.knownEpoch != m.epoch {
		return // the gate cannot know yet that the engine is empty
	}
	held, ok := m.engine.held[a.Adapter]
	if !ok {
		t.Fatalf("%s is admitted without its adapter %s; loaded are %v", g.ID, a.Adapter, m.engine.held)
	}
	if held >= max(m.engine.newest[a.Adapter], 1) {
		return
	}
	if ago := now - m.declaredAt[a.Adapter][max(held, 1)-1]; ago > machineMaxOutdated {
		t.Fatalf("%s is admitted on version %d of %s, %d ms after the next one was declared", g.ID, held, a.Adapter, ago)
	}
}

// executeCommands has the engine execute the gate's commands; commands and replies may be lost.
func (m *gateMachine) executeCommands(t *rapid.T, now magno.Millis) {
	used := map[string]bool{}
	for _, a := range m.running {
		used[a.Adapter] = true
	}
	for _, c := range m.gate.Commands() {
		fate := rapid.SampledFrom([]string{"told", "told", "told", "answer lost", "order lost"}).Draw(t, "fate")
		if fate == "order lost" {
			m.gate.ApplyOutcome(c, magno.OrderUnknown, now)
			continue
		}
		outcome := m.engine.execute(t, c, used, now)
		if fate == "answer lost" {
			outcome = magno.OrderUnknown
		}
		m.gate.ApplyOutcome(c, outcome, now)
	}
}

// tick advances the clock, by no more than the agent's interval between decisions.
func (m *gateMachine) tick(t *rapid.T) {
	m.clock.Advance(magno.Millis(rapid.IntRange(1, int(machineTick)).Draw(t, "pause")))
	m.decide(t)
}

// run advances the clock by up to 360 ms as in an agent, with a report before most decisions.
func (m *gateMachine) run(t *rapid.T) {
	for range rapid.IntRange(1, 12).Draw(t, "looks") {
		m.takeReport()
		m.clock.Advance(15)
		m.decide(t)
		if rapid.IntRange(0, 4).Draw(t, "lost") > 0 {
			m.deliverReport()
		}
		m.clock.Advance(15)
		m.decide(t)
	}
}

// fault draws a rare event.
func (m *gateMachine) fault(t *rapid.T) {
	switch rapid.IntRange(0, 9).Draw(t, "fault") {
	case 0:
		m.restart(t)
	case 1:
		m.leave(t)
	default:
		m.declare(t)
	}
}

// end finishes one of the running requests.
func (m *gateMachine) end(t *rapid.T) {
	if len(m.running) == 0 {
		m.tick(t)
		return
	}
	id := rapid.SampledFrom(slices.Sorted(maps.Keys(m.running))).Draw(t, "ended")
	delete(m.running, id)
	m.gate.Done(id, rapid.Bool().Draw(t, "well"))
}

// giveUp disconnects the caller of a queued request.
func (m *gateMachine) giveUp(t *rapid.T) {
	if len(m.open) == 0 {
		m.tick(t)
		return
	}
	id := rapid.SampledFrom(slices.Sorted(maps.Keys(m.open))).Draw(t, "left")
	delete(m.open, id)
	m.gate.Done(id, false)
}

// restart restarts the engine under the same name, without its adapters and requests.
func (m *gateMachine) restart(t *rapid.T) {
	m.epoch++
	m.engine.born++
	m.engine.reset()
	m.running = map[string]Request{}
	m.exchangeReport()
	m.decide(t)
}

// declare declares a newer version of an adapter.
func (m *gateMachine) declare(t *rapid.T) {
	name := fmt.Sprint("a", rapid.IntRange(0, 4).Draw(t, "adapter"))
	m.engine.newest[name] = max(m.engine.newest[name], 1) + 1
	m.spec.Pins[QualifiedName(model, name)] = m.engine.newest[name]
	m.declaredAt[name] = append(m.declaredAt[name], m.clock.Now())
	m.setSpec()
}

// leave has the engine leave, or replaces an engine that is leaving by another incarnation.
func (m *gateMachine) leave(t *rapid.T) {
	if !m.spec.Leaving {
		m.spec.Leaving = true
		m.setSpec()
		m.decide(t)
		return
	}
	m.epoch++
	m.engine.born++
	m.engine.reset()
	m.running = map[string]Request{}
	m.spec.Leaving, m.spec.Replica = false, fmt.Sprintf("r@%d", m.engine.born)
	m.setSpec()
	m.exchangeReport()
}

// Requests, lost commands and replies, restarts, new versions, departures and disconnecting
// callers occur in any order. In all cases:
//   - the engine is never commanded to exceed its slots, which would crash it, or to unload an adapter in use;
//   - each request has exactly one outcome, by the end of its MaxWait;
//   - a request starts only where its adapter is loaded, in a version that may still be used;
//   - nothing starts or waits at an engine that is leaving;
//   - a request is handed back only if it would be late here and on time at another engine, by what its entry knows;
//   - a refusal states a time after which to retry;
//   - requests that can be on time are queued by rank and then by start time.
func TestGateAgainstEngineModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newGateMachine()
		t.Repeat(map[string]func(*rapid.T){
			"offer": m.offer, "clump": m.offerBurst, "tick": m.tick, "run": m.run, "run on": m.run,
			"asked": func(*rapid.T) { m.takeReport() }, "answered": func(*rapid.T) { m.deliverReport() }, "end": m.end, "give up": m.giveUp, "fault": m.fault,
		})
		m.checkRecovery(t)
	})
}

// recover checks that a request is served once there are no further faults, whatever happened
// before.
func (m *gateMachine) checkRecovery(t *rapid.T) {
	m.spec.Leaving = false
	m.setSpec()
	a := Request{ID: "last", Model: model, Adapter: "a0", Prompt: 100, MaxOutput: 10, StartTarget: 500, MaxWait: 8000, TimeLeft: 9000}
	for range 300 {
		m.clock.Advance(30)
		m.exchangeReport()
		m.decide(t)
		for id := range m.running {
			delete(m.running, id)
			m.gate.Done(id, true)
			if id == a.ID {
				return
			}
		}
		if _, open := m.open[a.ID]; !open && m.gate.Offer(a) == nil {
			m.track(a)
		}
	}
	t.Fatalf("a request was not served within 9 s without faults; open %v, loaded %v", m.open, m.engine.held)
}
