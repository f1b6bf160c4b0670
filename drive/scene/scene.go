// Package scene simulates the routing and admission decisions of entries and agents, with
// a simulated clock and without I/O.
//
//	Requests --> route (each entry) --> gate (each agent) --> engine
//	                  ^
//
//	                  '----- reports -------'
//
// Load pattern: whatever a test defines, such as bursts, adapters that were not requested
// before, engines that fail. On the test bench such an event lasts seconds within a day of
// traffic, and an effect on it is lost in noise. Here the same requests arrive at the same
// milliseconds in each run.
package scene

import (
	"fmt"
	"math/rand/v2"
	"slices"

	"magnoliastall.example/magno"
	"magnoliastall.example/magno/gate"
	"magnoliastall.example/magno/route"
)

// Engine parameters, from the specifications of both deployments.
const (
	// promptRate is in prompt tokens per millisecond, tokenTime the time per output token,
	// and loadTime the time to load an adapter from the store.
	promptRate = 38.4
	tokenTime  = 6.0
	// tokensPerEvent is the number of tokens per stream event, maxGap the longest allowed
	// pause in a stream.
	tokensPerEvent = 6
	maxGap         = 250 * magno.Millis(1)
	loadTime       = 250 * magno.Millis(1)
	// parallelLoads is the number of adapters that can load at once before each load slows
	// down.
	parallelLoads = 8
	// baseLoadTime is the time to load the base model.
	baseLoadTime = 1900 * magno.Millis(1)
	// meanPauseEvents is the mean of a stream's longest pause, in events.
	meanPauseEvents = 2.5
	// slots, batch, memory and tokens are the limits of an engine.
	slots  = 22
	batch  = 32
	memory = 70_000.0
	tokens = 126_000
)

// Process parameters.
const (
	tickInterval = 5 * magno.Millis(1)
	// reportInterval is how often an agent polls its engine, backlogInterval how often an
	// entry asks an agent for its backlog when it has no newer report.
	reportInterval  = 30 * magno.Millis(1)
	backlogInterval = 250 * magno.Millis(1)
	// maxOffers is the number of engines that a request is offered to, maxDeclines how
	// many of them may decline because another engine is better by then.
	maxOffers   = 3
	maxDeclines = 2
	// minTimeLeft is the minimum time left before a request's timeout for it to be
	// started.
	minTimeLeft = 200 * magno.Millis(1)
	model       = "m"
)

// Request is a request of a scenario.
type Request struct {
	// At is the arrival time, Entry the index of the entry.
	At      magno.Millis
	Entry   int
	Adapter string
	Prompt  int
	Output  int
	// ExpectedOutput is the caller's estimate of Output, zero for none.
	ExpectedOutput int
	// Rank is the priority, 0 first. StartTarget is the target time to the first token,
	// Timeout the time limit for the whole response.
	Rank                 int
	StartTarget, Timeout magno.Millis
	// Retries is how many times the caller retries at once when it is refused.
	Retries int
}

// Result holds the outcomes of the requests as shares of all.
type Result struct {
	OnTime, Late, Refused, Failed float64
	// Loads counts the adapters loaded from the store.
	Loads int
}

// Fleet holds the parameters that differ between fleets; zero values mean the constants
// above.
type Fleet struct {
	// Slots and Batch limit the adapters that an engine holds and the requests that it
	// runs.
	Slots, Batch int
	// BacklogInterval is how often an entry asks an agent for its backlog when it has no
	// newer report.
	BacklogInterval magno.Millis
	// ParallelLoads is the number of adapters that the store can load at once before each
	// load slows down.
	ParallelLoads int
}

// Scenario is a simulated fleet with its requests and faults. Exported fields are set
// before Run.
type Scenario struct {
	Seed             uint64
	Entries, Engines int
	Fleet            Fleet
	Requests         []Request
	// FailAt maps engines to the time at which they fail, ErrorRate to the share of
	// requests that they fail while they report good health.
	FailAt    map[int]magno.Millis
	ErrorRate map[int]float64
	// Slowdown maps engines to a factor of their time per token. When it is not empty,
	// streams pause, and those with too long a pause count as late.
	Slowdown map[int]float64
	// JoinAt maps engines to the time at which they join, empty and without their base
	// model.
	JoinAt map[int]magno.Millis
	// ColdStart starts engines without their base model.
	ColdStart bool
	// Counted selects the requests that count; nil selects all.
	Counted func(Request) bool
	// Tuning applies to all routers; the zero value means the tuning of the entries.
	Tuning route.Tuning

	clock   *magno.Clock
	rand    *rand.Rand
	routers []*route.Router
	engines []*engine
	pending map[string]*pendingRequest
	counts  Result
	loads   int
}

// record adds a request to one of the shares.
func (s *Scenario) record(count *float64, p *pendingRequest) {
	if s.Counted == nil || s.Counted(p.Request) {
		*count++
	}
	delete(s.pending, p.id)
}

// pendingRequest is a request that has not ended.
type pendingRequest struct {
	Request
	id        string
	tries     int
	avoid     []string
	assigned  string
	startedAt magno.Millis
	// retryAt is when a refused caller retries, zero for not at all.
	retryAt magno.Millis
}

// engine is a simulated engine with the gate of its agent.
type engine struct {
	name    string
	gate    *gate.Gate
	down    bool
	born    magno.Millis
	readyAt magno.Millis
	held    map[string]int64
	cached  map[string]bool
	loading map[string]magno.Millis
	orders  int64
	// promptsDoneAt is when all accepted prompts are processed; runs end at their own
	// times.
	promptsDoneAt magno.Millis
	runs          map[string]run
}

type run struct {
	firstToken, end magno.Millis
	fails           bool
	// longestPause is the longest pause between two events, where Scenario.Slowdown is
	// set.
	longestPause magno.Millis
}

// Run simulates the scenario and returns the outcomes of the requests.
func (s *Scenario) Run() Result {
	s.setup()
	last := s.Requests[len(s.Requests)-1].At
	next := 0
	for len(s.pending) > 0 || next < len(s.Requests) || s.clock.Now() < startTime+last {
		now := s.clock.Now() - startTime
		for ; next < len(s.Requests) && s.Requests[next].At <= now; next++ {
			s.arrive(s.Requests[next], next)
		}
		s.retryRefused()
		for i, e := range s.engines {
			s.stepEngine(i, e)
		}
		s.clock.Advance(tickInterval)
	}
	r := s.counts
	n := r.OnTime + r.Late + r.Refused + r.Failed
	return Result{OnTime: r.OnTime / n, Late: r.Late / n, Refused: r.Refused / n, Failed: r.Failed / n, Loads: s.loads}
}

// startTime is when scenarios begin; not zero, as clocks never show zero.
const startTime = magno.Hour

func (s *Scenario) setup() {
	s.clock = magno.NewClock(startTime)
	s.rand = rand.New(rand.NewPCG(s.Seed, 1)) //nolint:gosec // no secret
	s.pending = map[string]*pendingRequest{}
	if s.Tuning == (route.Tuning{}) {
		s.Tuning = route.PermitTuning()
	}
	s.Fleet.setDefaults()
	slices.SortStableFunc(s.Requests, func(a, b Request) int { return int(a.At - b.At) })
	for i := range s.Engines {
		e := &engine{
			name: fmt.Sprintf("e%d@1", i), gate: &gate.Gate{Clock: s.clock}, born: 1, readyAt: startTime,
			held: map[string]int64{}, cached: map[string]bool{}, loading: map[string]magno.Millis{}, runs: map[string]run{},
		}
		if s.ColdStart {
			e.readyAt = 0
		}
		e.gate.SetSpec(gate.Spec{Replica: e.name, ID: e.name, Engine: magno.Engine{
			Models: []magno.Model{{Name: model, Size: 66_000, Adapter: 12, Load: baseLoadTime, Disk: baseLoadTime / 2}},
			Slots:  s.Fleet.Slots, Memory: memory, Tokens: tokens, Batch: s.Fleet.Batch, Stride: tokensPerEvent,
		}})
		_, joins := s.JoinAt[i]
		e.down = joins
		s.engines = append(s.engines, e)
	}
	for i := range s.Entries {
		s.routers = append(s.routers, &route.Router{Clock: s.clock, Seed: s.Seed + uint64(i), DataCentre: "x", Tuning: s.Tuning})
	}
	s.updateTargets()
}

// updateTargets sends the current list of engines to all entries.
func (s *Scenario) updateTargets() {
	var targets []magno.Target
	for _, e := range s.engines {
		if !e.down {
			targets = append(targets, magno.Target{Name: e.name, DataCentre: "x"})
		}
	}
	for _, r := range s.routers {
		r.Update(targets)
	}
}

func (f *Fleet) setDefaults() {
	if f.Slots == 0 {
		f.Slots = slots
	}
	if f.Batch == 0 {
		f.Batch = batch
	}
	if f.BacklogInterval == 0 {
		f.BacklogInterval = backlogInterval
	}
	if f.ParallelLoads == 0 {
		f.ParallelLoads = parallelLoads
	}
}

func (s *Scenario) engine(name string) *engine {
	for _, e := range s.engines {
		if e.name == name {
			return e
		}
	}
	return nil
}

func (s *Scenario) arrive(r Request, n int) {
	p := &pendingRequest{Request: r, id: fmt.Sprint(n), startedAt: s.clock.Now()}
	s.pending[p.id] = p
	s.offer(p)
}

// offer offers a request to the best engines in turn. The first of them may decline
// because another is better by then.
func (s *Scenario) offer(p *pendingRequest) {
	router := s.routers[p.Entry]
	query := magno.Query{Ref: magno.Ref{Adapter: gate.QualifiedName(model, p.Adapter)}, Aim: p.StartTarget, Gap: maxGap, Avoid: p.avoid}
	choice := router.Choose(query)
	for range maxDeclines {
		if !s.declined(p, choice) {
			break
		}
		choice = router.Choose(query)
	}
	for _, name := range choice.Names[:min(len(choice.Names), maxOffers)] {
		e := s.engine(name)
		if e.down {
			continue
		}
		router.Sent(name, p.Prompt)
		if e.gate.Offer(s.gateRequest(p)) == nil {
			p.assigned = name
			return
		}
		router.Sent(name, -p.Prompt)
	}
	s.refuse(p)
}

// declined asks the first engine of a choice whether it declines, and if so reports the
// engine's backlog to the router.
func (s *Scenario) declined(p *pendingRequest, choice magno.Choice) bool {
	if len(choice.Names) == 0 {
		return false
	}
	e := s.engine(choice.Names[0])
	request := s.gateRequest(p)
	request.DeclineAbove = choice.MaxWait
	if e.down || !e.gate.Declines(&request) {
		return false
	}
	s.routers[p.Entry].Report(e.name, e.gate.Backlog())
	return true
}

// gateRequest converts a pending request to the form that gates take.
func (s *Scenario) gateRequest(p *pendingRequest) gate.Request {
	now := s.clock.Now()
	left := p.startedAt + p.Timeout - now
	return gate.Request{
		ID: p.id, Model: model, Adapter: p.Adapter, Prompt: p.Prompt, MaxOutput: p.Output, ExpectedOutput: p.ExpectedOutput, Rank: p.Rank,
		StartTarget: p.StartTarget - (now - p.startedAt), MaxWait: left - minTimeLeft, TimeLeft: left, MaxGap: maxGap,
	}
}

// refuse ends a request, or schedules a retry if its caller still retries.
func (s *Scenario) refuse(p *pendingRequest) {
	p.assigned, p.avoid = "", nil
	p.tries++
	if p.tries <= p.Retries && s.clock.Now()-p.startedAt < p.Timeout/2 {
		p.retryAt = s.clock.Now() + tickInterval
		return
	}
	s.record(&s.counts.Refused, p)
}

// retryRefused offers the requests whose callers retry now.
func (s *Scenario) retryRefused() {
	for _, id := range s.pendingIDs() {
		if f := s.pending[id]; f.retryAt > 0 && s.clock.Now() >= f.retryAt {
			f.retryAt = 0
			s.offer(f)
		}
	}
}

// pendingIDs returns the IDs of all pending requests in sorted order.
func (s *Scenario) pendingIDs() []string {
	list := make([]string, 0, len(s.pending))
	for id := range s.pending {
		list = append(list, id)
	}
	slices.Sort(list)
	return list
}
