package gate

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"magnoliastall.example/magno"
)

// The fake engine of the state machine: small, so that every limit is met.
const (
	machineSlots = 3
	machineBatch = 4
	// machineLoad and machineModel are its times of loading, machineOld the
	// longest that an adapter may be given out after a newer version was
	// declared, with two reports on top.
	machineLoad  = 250 * magno.Millis(1)
	machineModel = 400 * magno.Millis(1)
	machineOld   = renewSpread + 100
	// machineTick is the longest pause between two looks.
	machineTick = 120 * magno.Millis(1)
)

// machine plays a gate against the oracle.
type machine struct {
	clock  *magno.Clock
	gate   *Gate
	engine *oracle
	spec   Spec
	// life counts restarts; told is the life that the gate was last told of.
	life, told int
	// open are requests that have no outcome yet, with the time by which they
	// must; running were let through and have not ended. All end by their
	// deadlines.
	open     map[string]Request
	until    map[string]magno.Millis
	running  map[string]Request
	deadline map[string]magno.Millis
	// late is a report on its way, as of lateAt in lateLife.
	late     *magno.Report
	lateAt   magno.Millis
	lateLife int
	// declared is when the newest version of an adapter was told.
	declared map[string]magno.Millis
	n        int
}

func newMachine() *machine {
	clock := magno.NewClock(magno.Hour)
	m := &machine{
		clock: clock, gate: &Gate{Clock: clock}, open: map[string]Request{}, until: map[string]magno.Millis{},
		running: map[string]Request{}, deadline: map[string]magno.Millis{}, declared: map[string]magno.Millis{},
		spec: Spec{Replica: "r@1", ID: "r", Pins: map[string]int64{}, Engine: magno.Engine{
			Models: []magno.Model{{Name: model, Size: 1000, Adapter: 10, Load: machineModel, Disk: machineModel}},
			Slots:  machineSlots, Memory: 2000, Tokens: 20_000, Batch: machineBatch,
		}},
		engine: &oracle{born: 1, newest: map[string]int64{}},
	}
	m.engine.empty()
	m.specify()
	m.report()
	return m
}

func (m *machine) specify() {
	spec := m.spec
	spec.Pins = maps.Clone(spec.Pins)
	m.gate.SetSpec(spec)
}

func (m *machine) report() {
	m.asked()
	m.answered()
}

// asked has the engine write a report, which answered delivers: orders may be
// given in between.
func (m *machine) asked() {
	r := m.engine.state(m.clock.Now())
	r.Running = len(m.running)
	m.late, m.lateAt, m.lateLife = r, m.clock.Now(), m.life
}

func (m *machine) answered() {
	if m.late == nil || m.lateLife != m.life {
		return // the connection broke with the engine
	}
	m.gate.ApplyReport(m.late, m.lateAt)
	m.late, m.told = nil, m.lateLife
}

// clump offers a few requests at once.
func (m *machine) clump(t *rapid.T) {
	for range rapid.IntRange(1, 6).Draw(t, "clump") {
		m.offer(t)
	}
}

// offer draws a request; the gate either refuses it at once or owes it an
// outcome.
func (m *machine) offer(t *rapid.T) {
	m.n++
	a := Request{
		ID: fmt.Sprint(m.n), Model: model, Adapter: fmt.Sprint("a", rapid.IntRange(0, 4).Draw(t, "adapter")),
		Prompt: rapid.SampledFrom([]int{1, 1, 50, 50, 300, 2000, 9000}).Draw(t, "prompt"), MaxOutput: 100, Rank: rapid.IntRange(0, 3).Draw(t, "rank"), StartTarget: 500,
		MaxGap:  rapid.SampledFrom([]magno.Millis{0, 150, 250, 600}).Draw(t, "gap"),
		MaxWait: magno.Millis(rapid.IntRange(50, 3000).Draw(t, "patience")),
	}
	a.TimeLeft = a.MaxWait + 4000
	if r := m.gate.Offer(a); r != nil {
		if r.After <= 0 {
			t.Fatalf("refused without a time to come back: %v", r)
		}
		return
	}
	m.take(a)
}

func (m *machine) take(a Request) {
	now := m.clock.Now()
	m.open[a.ID], m.until[a.ID], m.deadline[a.ID] = a, now+a.MaxWait, now+a.TimeLeft
}

// look lets the gate decide, and checks what it does.
func (m *machine) look(t *rapid.T) {
	now := m.clock.Now()
	m.engine.settle(now)
	for id := range m.running {
		if now >= m.deadline[id] {
			delete(m.running, id)
		}
	}
	s := m.gate.Decide()
	for _, g := range s.Grants {
		m.granted(t, g, now)
	}
	for _, turned := range s.Rejections {
		if _, ok := m.open[turned.ID]; !ok {
			t.Fatalf("%s is refused, which has its outcome already or never came", turned.ID)
		}
		delete(m.open, turned.ID)
	}
	for id := range m.open {
		if m.spec.Leaving {
			t.Fatalf("%s waits at an engine that leaves", id)
		}
		if now >= m.until[id] {
			t.Fatalf("%s still waits %d ms after its patience", id, now-m.until[id])
		}
	}
	m.command(t, now)
}

func (m *machine) granted(t *rapid.T, g Grant, now magno.Millis) {
	a, ok := m.open[g.ID]
	switch {
	case !ok:
		t.Fatalf("%s begins, which has its outcome already or never came", g.ID)
	case m.spec.Leaving:
		t.Fatalf("%s begins at an engine that leaves", g.ID)
	}
	delete(m.open, g.ID)
	m.running[g.ID] = a
	if len(m.running) > machineBatch {
		t.Fatalf("%d requests run in %d places", len(m.running), machineBatch)
	}
	if m.told != m.life {
		return // nobody could know yet that the engine is empty
	}
	held, ok := m.engine.held[a.Adapter]
	if !ok {
		t.Fatalf("%s begins without its adapter %s; held are %v", g.ID, a.Adapter, m.engine.held)
	}
	if held < m.engine.newest[a.Adapter] && now > m.declared[a.Adapter]+machineOld {
		t.Fatalf("%s begins on version %d of %s, %d ms after a newer one was declared", g.ID, held, a.Adapter, now-m.declared[a.Adapter])
	}
}

// command has the engine obey; orders and answers may be lost.
func (m *machine) command(t *rapid.T, now magno.Millis) {
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
		outcome := m.engine.obey(t, c, used, now)
		if fate == "answer lost" {
			outcome = magno.OrderUnknown
		}
		m.gate.ApplyOutcome(c, outcome, now)
	}
}

// tick lets time pass, with looks no further apart than the agent's.
func (m *machine) tick(t *rapid.T) {
	m.clock.Advance(magno.Millis(rapid.IntRange(1, int(machineTick)).Draw(t, "pause")))
	m.look(t)
}

// run lets a second pass as it does in an agent, with a report before each look
// but a few.
func (m *machine) run(t *rapid.T) {
	for range rapid.IntRange(1, 12).Draw(t, "looks") {
		m.asked()
		m.clock.Advance(15)
		m.look(t)
		if rapid.IntRange(0, 4).Draw(t, "lost") > 0 {
			m.answered()
		}
		m.clock.Advance(15)
		m.look(t)
	}
}

// fault draws one of what is rare.
func (m *machine) fault(t *rapid.T) {
	switch rapid.IntRange(0, 9).Draw(t, "fault") {
	case 0:
		m.restart(t)
	case 1:
		m.leave(t)
	default:
		m.declare(t)
	}
}

// end ends one of the requests that run.
func (m *machine) end(t *rapid.T) {
	if len(m.running) == 0 {
		m.tick(t)
		return
	}
	id := rapid.SampledFrom(slices.Sorted(maps.Keys(m.running))).Draw(t, "ended")
	delete(m.running, id)
	m.gate.Done(id, rapid.Bool().Draw(t, "well"))
}

// give up: a caller leaves while its request waits.
func (m *machine) giveUp(t *rapid.T) {
	if len(m.open) == 0 {
		m.tick(t)
		return
	}
	id := rapid.SampledFrom(slices.Sorted(maps.Keys(m.open))).Draw(t, "left")
	delete(m.open, id)
	m.gate.Done(id, false)
}

// restart empties the engine under the same name. Its runs are gone.
func (m *machine) restart(t *rapid.T) {
	m.life++
	m.engine.born++
	m.engine.empty()
	m.running = map[string]Request{}
	m.report()
	m.look(t)
}

// declare tells of a newer version of an adapter.
func (m *machine) declare(t *rapid.T) {
	name := fmt.Sprint("a", rapid.IntRange(0, 4).Draw(t, "adapter"))
	m.engine.newest[name] = max(m.engine.newest[name], 1) + 1
	m.spec.Pins[QualifiedName(model, name)] = m.engine.newest[name]
	m.declared[name] = m.clock.Now()
	m.specify()
}

// leave has the engine leave, or another incarnation come in its place.
func (m *machine) leave(t *rapid.T) {
	if !m.spec.Leaving {
		m.spec.Leaving = true
		m.specify()
		m.look(t)
		return
	}
	m.life++
	m.engine.born++
	m.engine.empty()
	m.running = map[string]Request{}
	m.spec.Leaving, m.spec.Replica = false, fmt.Sprintf("r@%d", m.engine.born)
	m.specify()
	m.report()
}

// Requests, losses of orders and answers, restarts, new versions, departures and
// callers that leave come in any order. Whatever it is: the engine is never
// ordered above its slots, or to drop what runs use; each request has one
// outcome, and by the end of its patience; it begins only where its adapter is,
// in a version that may still be given out; and nothing begins, or waits, at an
// engine that leaves. Otherwise engines crash, and callers wait for nothing.
func TestOrderBookAgainstAnEngine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newMachine()
		t.Repeat(map[string]func(*rapid.T){
			"offer": m.offer, "clump": m.clump, "tick": m.tick, "run": m.run, "run on": m.run,
			"asked": func(*rapid.T) { m.asked() }, "answered": func(*rapid.T) { m.answered() }, "end": m.end, "give up": m.giveUp, "fault": m.fault,
		})
		m.calm(t)
	})
}

// calm ends all faults: what is offered then is served, whatever came before.
func (m *machine) calm(t *rapid.T) {
	m.spec.Leaving = false
	m.specify()
	a := Request{ID: "last", Model: model, Adapter: "a0", Prompt: 100, MaxOutput: 10, StartTarget: 500, MaxWait: 8000, TimeLeft: 9000}
	for range 300 {
		m.clock.Advance(30)
		m.report()
		m.look(t)
		for id := range m.running {
			delete(m.running, id)
			m.gate.Done(id, true)
			if id == a.ID {
				return
			}
		}
		if _, open := m.open[a.ID]; !open && m.gate.Offer(a) == nil {
			m.take(a)
		}
	}
	t.Fatalf("after nine calm seconds a request was not served; open %v, held %v", m.open, m.engine.held)
}
