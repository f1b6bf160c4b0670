// Package scene plays loads on the decisions that entries and agents run, with a
// driven clock and without I/O.
//
//	Asks --> route (each entry) --> gate (each agent) --> engine
//	              ^                     |
//	              '----- reports -------'
//
// Load pattern: whatever a test draws up: clumps, adapters that nobody asked for
// before, engines that vanish. Played on the bench, one such moment is seconds
// of a day among thousands of requests, and a change of it is lost in the noise.
// Here the same requests come at the same milliseconds each time.
package scene

import (
	"fmt"
	"math/rand/v2"
	"slices"

	"magnoliastall.example/magno"
	"magnoliastall.example/magno/gate"
	"magnoliastall.example/magno/route"
)

// How engines work; by the sheets of both deployments.
const (
	// readRate is prompt tokens a millisecond, token the time that one of the
	// answer takes, load that of an adapter from the store.
	readRate = 38.4
	token    = 6.0
	// stride is the tokens of an event, gap the pause that streams may have.
	stride = 6
	gap    = 250 * magno.Millis(1)
	load   = 250 * magno.Millis(1)
	// freely is how many adapters are loaded at once before each takes longer.
	freely = 8
	// base is the time of the base model's load.
	base = 1900 * magno.Millis(1)
	// pauseEvents is the longest pause of a stream on average, in events.
	pauseEvents = 2.5
	// slots, batch, memory and tokens bound an engine.
	slots  = 22
	batch  = 32
	memory = 70_000.0
	tokens = 126_000
)

// How processes work.
const (
	tick = 5 * magno.Millis(1)
	// reportEvery is how often an agent asks its engine, tellEvery how often an
	// entry asks an agent that it has no fresher word of.
	reportEvery = 30 * magno.Millis(1)
	tellEvery   = 250 * magno.Millis(1)
	// choices is how many engines a request is offered to, declines how many of
	// them may say that another is better by now.
	choices  = 3
	declines = 2
	// lateLeft is what must be left of a request to be worth beginning.
	lateLeft = 200 * magno.Millis(1)
	model    = "m"
)

// Ask is a request of a scene.
type Ask struct {
	// At is when it comes, to which Entry.
	At      magno.Millis
	Entry   int
	Adapter string
	Prompt  int
	Output  int
	// Hint is the caller's estimate of Output, zero for none.
	Hint int
	// Rank is its urgency, 0 first; Aim the time to its first token, Limit that
	// to its end.
	Rank       int
	Aim, Limit magno.Millis
	// Stubborn callers come back at once when they are refused, so many times.
	Stubborn int
}

// Result is what became of the asks, as shares of them.
type Result struct {
	InAim, Late, Refused, Failed float64
	// Loads counts adapters brought from the store.
	Loads int
}

// Shape is what differs between fleets; zero values mean the constants above.
type Shape struct {
	// Slots and Batch bound what an engine holds and runs.
	Slots, Batch int
	// Tell is how often an entry asks an agent that it has no fresher word of.
	Tell magno.Millis
	// Freely is how many adapters the store loads at once before each takes longer.
	Freely int
}

// Scene is what is played. Fields are set before Play.
type Scene struct {
	Seed             uint64
	Entries, Engines int
	Shape            Shape
	Asks             []Ask
	// Lose engines at a time, Grey ones fail so large a share of what they run.
	Lose map[int]magno.Millis
	Grey map[int]float64
	// Slow are engines that take so many times as long for a token. Where there are any,
	// streams pause, and those that pause for too long count as late.
	Slow map[int]float64
	// Join are engines that come at a time, empty and without their base model.
	Join map[int]magno.Millis
	// Cold engines begin without their base model.
	Cold bool
	// Count tells which asks count; nil for all.
	Count func(Ask) bool
	// Tuning is of all routers; empty for that of the entries.
	Tuning route.Tuning

	clock   *magno.Clock
	rand    *rand.Rand
	routers []*route.Router
	engines []*engine
	flights map[string]*flight
	done    Result
	loads   int
}

// count adds an ask to one of the shares.
func (s *Scene) count(share *float64, f *flight) {
	if s.Count == nil || s.Count(f.Ask) {
		*share++
	}
	delete(s.flights, f.id)
}

// flight is an ask on its way.
type flight struct {
	Ask
	id    string
	tries int
	avoid []string
	at    string
	began magno.Millis
	// again is when a refused caller comes back.
	again magno.Millis
}

// engine is one with its agent's gate.
type engine struct {
	name    string
	gate    *gate.Gate
	lost    bool
	born    magno.Millis
	ready   magno.Millis
	held    map[string]int64
	known   map[string]bool
	loading map[string]magno.Millis
	orders  int64
	// free is when all prompts are read; runs end at their times.
	free magno.Millis
	runs map[string]run
}

type run struct {
	first, end magno.Millis
	fails      bool
	// pause is the longest between two of its events, where Scene.Slow is set.
	pause magno.Millis
}

// Play returns what became of the asks.
func (s *Scene) Play() Result {
	s.setup()
	last := s.Asks[len(s.Asks)-1].At
	next := 0
	for len(s.flights) > 0 || next < len(s.Asks) || s.clock.Now() < start+last {
		now := s.clock.Now() - start
		for ; next < len(s.Asks) && s.Asks[next].At <= now; next++ {
			s.arrive(s.Asks[next], next)
		}
		s.returning()
		for i, e := range s.engines {
			s.step(i, e)
		}
		s.clock.Advance(tick)
	}
	r := s.done
	n := r.InAim + r.Late + r.Refused + r.Failed
	return Result{InAim: r.InAim / n, Late: r.Late / n, Refused: r.Refused / n, Failed: r.Failed / n, Loads: s.loads}
}

// start is the time of day at which scenes begin: a clock never shows zero.
const start = magno.Hour

func (s *Scene) setup() {
	s.clock = magno.NewClock(start)
	s.rand = rand.New(rand.NewPCG(s.Seed, 1)) //nolint:gosec // no secret
	s.flights = map[string]*flight{}
	if s.Tuning == (route.Tuning{}) {
		s.Tuning = route.PermitTuning()
	}
	s.Shape.fill()
	slices.SortStableFunc(s.Asks, func(a, b Ask) int { return int(a.At - b.At) })
	for i := range s.Engines {
		e := &engine{
			name: fmt.Sprintf("e%d@1", i), gate: &gate.Gate{Clock: s.clock}, born: 1, ready: start,
			held: map[string]int64{}, known: map[string]bool{}, loading: map[string]magno.Millis{}, runs: map[string]run{},
		}
		if s.Cold {
			e.ready = 0
		}
		e.gate.SetSpec(gate.Spec{Replica: e.name, ID: e.name, Engine: magno.Engine{
			Models: []magno.Model{{Name: model, Size: 66_000, Adapter: 12, Load: base, Disk: base / 2}},
			Slots:  s.Shape.Slots, Memory: memory, Tokens: tokens, Batch: s.Shape.Batch, Stride: stride,
		}})
		_, joins := s.Join[i]
		e.lost = joins
		s.engines = append(s.engines, e)
	}
	for i := range s.Entries {
		s.routers = append(s.routers, &route.Router{Clock: s.clock, Seed: s.Seed + uint64(i), DataCentre: "x", Tuning: s.Tuning})
	}
	s.list()
}

// list tells all entries which engines there are.
func (s *Scene) list() {
	var targets []magno.Target
	for _, e := range s.engines {
		if !e.lost {
			targets = append(targets, magno.Target{Name: e.name, DataCentre: "x"})
		}
	}
	for _, r := range s.routers {
		r.Update(targets)
	}
}

func (s *Shape) fill() {
	if s.Slots == 0 {
		s.Slots = slots
	}
	if s.Batch == 0 {
		s.Batch = batch
	}
	if s.Tell == 0 {
		s.Tell = tellEvery
	}
	if s.Freely == 0 {
		s.Freely = freely
	}
}

func (s *Scene) engine(name string) *engine {
	for _, e := range s.engines {
		if e.name == name {
			return e
		}
	}
	return nil
}

func (s *Scene) arrive(a Ask, n int) {
	f := &flight{Ask: a, id: fmt.Sprint(n), began: s.clock.Now()}
	s.flights[f.id] = f
	s.offer(f)
}

// offer asks the agents of the best engines in turn. The first may say that another
// is better by now.
func (s *Scene) offer(f *flight) {
	router := s.routers[f.Entry]
	q := magno.Query{Ref: magno.Ref{Adapter: gate.QualifiedName(model, f.Adapter)}, Aim: f.Aim, Gap: gap, Avoid: f.avoid}
	choice := router.Choose(q)
	for range declines {
		if !s.declined(f, choice) {
			break
		}
		choice = router.Choose(q)
	}
	for _, name := range choice.Names[:min(len(choice.Names), choices)] {
		e := s.engine(name)
		if e.lost {
			continue
		}
		router.Sent(name, f.Prompt)
		if e.gate.Offer(s.ask(f)) == nil {
			f.at = name
			return
		}
		router.Sent(name, -f.Prompt)
	}
	s.refused(f)
}

// declined asks the first of a choice, and brings its word to the router if it says
// that another is better.
func (s *Scene) declined(f *flight, choice magno.Choice) bool {
	if len(choice.Names) == 0 {
		return false
	}
	e := s.engine(choice.Names[0])
	a := s.ask(f)
	a.DeclineAbove = choice.Most
	if e.lost || !e.gate.Declines(&a) {
		return false
	}
	s.routers[f.Entry].Report(e.name, e.gate.Backlog())
	return true
}

// ask is a flight as a gate sees it.
func (s *Scene) ask(f *flight) gate.Request {
	now := s.clock.Now()
	left := f.began + f.Limit - now
	return gate.Request{
		ID: f.id, Model: model, Adapter: f.Adapter, Prompt: f.Prompt, MaxOutput: f.Output, ExpectedOutput: f.Hint, Rank: f.Rank,
		StartTarget: f.Aim - (now - f.began), MaxWait: left - lateLeft, TimeLeft: left, MaxGap: gap,
	}
}

// refused ends a flight, or has a stubborn caller come back.
func (s *Scene) refused(f *flight) {
	f.at, f.avoid = "", nil
	f.tries++
	if f.tries <= f.Stubborn && s.clock.Now()-f.began < f.Limit/2 {
		f.again = s.clock.Now() + tick
		return
	}
	s.count(&s.done.Refused, f)
}

// returning offers those that came back.
func (s *Scene) returning() {
	for _, id := range s.ids() {
		if f := s.flights[id]; f.again > 0 && s.clock.Now() >= f.again {
			f.again = 0
			s.offer(f)
		}
	}
}

// ids are those of all flights, in an order that doesn't change.
func (s *Scene) ids() []string {
	list := make([]string, 0, len(s.flights))
	for id := range s.flights {
		list = append(list, id)
	}
	slices.Sort(list)
	return list
}
