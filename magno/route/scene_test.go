package route

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"

	"magnoliastall.example/magno"
	"magnoliastall.example/magno/gate"
)

// The load of the scene: engines of one pool that differ in speed, streams with a limit on
// pauses, and entries that choose from reports of the recent past.
const (
	sceneModel    = "m"
	sceneEngines  = 12
	sceneEntries  = 4
	sceneAdapters = 2000
	// zipfExponent gives the most requested adapter several times an engine's share.
	zipfExponent = 1.2
	sceneTick    = 5 * magno.Millis(1)
	// warmUp is the time in which engines load what is often used; it isn't counted.
	warmUp = 10 * magno.Second
	// settleTime is the time after the change from which on learned rates are checked.
	settleTime = 5 * magno.Second
	// reportAge is the time between two reports of an engine to one entry.
	reportAge = 250 * magno.Millis(1)
	// engineReportAge is the time between two reports of an engine to its agent.
	engineReportAge = 30 * magno.Millis(1)
	// maxSceneDeclines and maxSceneTries are those of entry/relay.
	maxSceneDeclines, maxSceneTries = 2, 3
	// loadSpan is the time of an adapter load, freeLoads how many the weight store serves at
	// once without delay.
	loadSpan  = 288
	freeLoads = 11
	// batch, adapterSlots, stride, chunk, stepSpan and readRate describe an engine of relative
	// step time 1.
	batch, adapterSlots, stride, chunk = 32, 19, 3, 2048
	stepSpan, readRate                 = 8.2, 25.8
	// sceneGap is the longest allowed pause. pauseSpread is the standard deviation of the
	// longest pauses of streams relative to their mean.
	sceneGap    = 300
	pauseSpread = 0.3
)

// meanPauses are the mean longest pauses of streams at an engine of relative step time 1, by
// quarters of the batch in use, as measured in this scene.
var meanPauses = [...]float64{130, 165, 185, 205}

// kindOfRequest is one route of the scene.
type kindOfRequest struct {
	share          float64
	prompt, events int
	aim, gap       magno.Millis
	rank           int
}

var sceneKinds = []kindOfRequest{
	{share: 0.7, prompt: 800, events: 36, aim: 500, gap: sceneGap, rank: 1},
	{share: 0.1, prompt: 800, events: 36, aim: 1000, gap: sceneGap, rank: 1},
	{share: 0.2, prompt: 2400, events: 3, aim: 600, gap: sceneGap, rank: 0},
}

// knowledge is what the routers of a scene know of the engines.
type knowledge int

const (
	knowsReports knowledge = iota // what agents learn, in reports of the recent past
	knowsSpeeds                   // the true speeds and the engines' state at each moment
)

func (k knowledge) String() string { return [...]string{"reports", "speeds"}[k] }

// scene is one run. Its fields are set before use.
type scene struct {
	know knowledge
	// before and after are the relative step times of the engines until and from the middle.
	before, after []float64
	// demand is the share of capacity that is asked for.
	demand float64
	seed   uint64
	span   magno.Millis

	clock   *magno.Clock
	rng     *rand.Rand
	routers []*Router
	engines []*sceneEngine
	byName  map[string]*sceneEngine
	out     outcome
}

// outcome counts a scene's results.
type outcome struct {
	requests, onTime, firstLate, pauseLate, refused int
	// remote counts the requests that were sent to another data centre.
	remote, loads int
	// rateError sums the absolute logarithms of the rates that agents learned over the true
	// ones, of rates samples: those of engines that have changed.
	rateError float64
	rates     int
}

func (o *outcome) add(other *outcome) {
	o.requests += other.requests
	o.onTime += other.onTime
	o.firstLate += other.firstLate
	o.pauseLate += other.pauseLate
	o.refused += other.refused
	o.remote += other.remote
	o.loads += other.loads
	o.rateError += other.rateError
	o.rates += other.rates
}

func (o *outcome) meanRateError() float64 { return o.rateError / float64(max(o.rates, 1)) }

func (o *outcome) share() float64 { return float64(o.onTime) / float64(max(o.requests, 1)) }

func (o *outcome) String() string {
	n := float64(max(o.requests, 1))
	return fmt.Sprintf("on time %.4f (first event late %.3f, pause %.3f, refused %.3f), remote %.3f, loads %d of %d, rate error %.2f",
		o.share(), float64(o.firstLate)/n, float64(o.pauseLate)/n, float64(o.refused)/n, float64(o.remote)/n, o.loads, o.requests, o.meanRateError())
}

type sceneRequest struct {
	kind    *kindOfRequest
	id      string
	adapter string
	entry   int
	arrived magno.Millis
	engine  *sceneEngine
	left    float64 // prompt tokens
	tokens  int
	first   float64
	last    float64
	longest float64
}

// sceneEngine is an engine with its agent's gate.
type sceneEngine struct {
	name    string
	dc      string
	speed   float64 // relative step time
	gate    *gate.Gate
	waiting map[string]*sceneRequest
	prompts []*sceneRequest
	running []*sceneRequest
	held    map[string]int64
	loading map[string]float64
	orders  int64
	freeAt  float64
}

// capacity is the rate, in requests per second, that an engine of relative step time 1 can
// serve: with all slots in use, steps with prompts between them.
func sceneCapacity() float64 {
	tokens, read := 0.0, 0.0
	for _, k := range sceneKinds {
		tokens += k.share * float64((k.events-1)*stride+1)
		read += k.share * float64(k.prompt) / readRate
	}
	return 1000 * batch / (tokens*stepSpan + batch*read)
}

func (s *scene) run() *outcome {
	s.clock = magno.NewClock(magno.Hour)
	s.rng = rand.New(rand.NewPCG(s.seed, 7)) //nolint:gosec // no secret
	s.byName = map[string]*sceneEngine{}
	var targets []magno.Target
	for i := range s.before {
		e := &sceneEngine{
			name: fmt.Sprintf("e%d", i), dc: fmt.Sprintf("d%d", i%2), speed: s.before[i], gate: &gate.Gate{Clock: s.clock},
			waiting: map[string]*sceneRequest{}, held: map[string]int64{}, loading: map[string]float64{}, freeAt: float64(s.clock.Now()),
		}
		e.gate.SetSpec(gate.Spec{Replica: e.name + "@1", ID: e.name, Engine: magno.Engine{
			Models: []magno.Model{{Name: sceneModel, Size: 1000, Adapter: 10, Load: 3200, Disk: 1300}},
			Slots:  adapterSlots, Memory: 1000 + 10*adapterSlots, Tokens: 126_376, Batch: batch, Stride: stride,
		}})
		e.report(s.clock.Now())
		s.engines, s.byName[e.name] = append(s.engines, e), e
		targets = append(targets, magno.Target{Name: e.name, DataCentre: e.dc})
	}
	for i := range sceneEntries {
		r := &Router{Clock: s.clock, Seed: s.seed*100 + uint64(i), DataCentre: fmt.Sprintf("d%d", i%2), Tuning: PermitTuning()}
		r.Update(targets)
		s.routers = append(s.routers, r)
	}
	weights := make([]float64, sceneAdapters)
	sum := 0.0
	for i := range weights {
		sum += math.Pow(float64(i+1), -zipfExponent)
		weights[i] = sum
	}
	rate := 0.0
	for _, f := range s.before {
		rate += s.demand * sceneCapacity() / f / 1000
	}
	start := s.clock.Now()
	next := float64(start)
	n := 0
	for s.clock.Now() < start+s.span {
		now := s.clock.Now()
		if now == start+s.span/2 {
			for i, e := range s.engines {
				e.speed = s.after[i]
			}
		}
		s.deliverReports(now)
		if since := now - start - s.span/2; since%magno.Second == 0 && since >= settleTime {
			s.observeRates()
		}
		for next <= float64(now) {
			next += s.rng.ExpFloat64() / rate
			n++
			at, _ := slices.BinarySearch(weights, s.rng.Float64()*sum)
			r := &sceneRequest{kind: s.drawKind(), id: fmt.Sprint(n), adapter: fmt.Sprint("a", at), entry: s.rng.IntN(sceneEntries), arrived: now}
			if s.counts(r) {
				s.out.requests++
			}
			s.send(r)
		}
		for _, e := range s.engines {
			s.advance(e, now)
		}
		s.clock.Advance(sceneTick)
	}
	return &s.out
}

func (s *scene) drawKind() *kindOfRequest {
	x := s.rng.Float64()
	for i := range sceneKinds {
		if x -= sceneKinds[i].share; x < 0 {
			return &sceneKinds[i]
		}
	}
	return &sceneKinds[0]
}

// deliverReports brings the engines' reports to the agents, and those of the agents to the
// entries, each at its own moment.
func (s *scene) deliverReports(now magno.Millis) {
	for i, e := range s.engines {
		if (now+magno.Millis(5*i))%engineReportAge < sceneTick {
			e.report(now)
		}
		for j, r := range s.routers {
			if (now+magno.Millis(35*i+60*j))%reportAge < sceneTick {
				r.Report(e.name, s.backlog(e))
			}
		}
	}
}

// send chooses an engine as entry/relay does.
func (s *scene) send(r *sceneRequest) {
	router := s.routers[r.entry]
	if s.know == knowsSpeeds {
		for _, e := range s.engines {
			router.Report(e.name, s.backlog(e))
		}
	}
	q := magno.Query{Ref: magno.Ref{Adapter: gate.QualifiedName(sceneModel, r.adapter)}, Work: r.kind.prompt, Aim: r.kind.aim, Gap: r.kind.gap}
	c := router.Choose(q)
	for range maxSceneDeclines {
		declined, ok := s.offer(r, s.byName[c.Names[0]], c.MaxWait)
		if ok {
			return
		}
		if !declined {
			c.Names = c.Names[1:]
			break
		}
		router.Report(c.Names[0], s.backlog(s.byName[c.Names[0]])) // the reply carries the status
		c = router.Choose(q)
	}
	for _, name := range c.Names[:min(len(c.Names), maxSceneTries)] {
		if _, ok := s.offer(r, s.byName[name], 0); ok {
			return
		}
	}
	if s.counts(r) {
		s.out.refused++
	}
}

func (s *scene) offer(r *sceneRequest, e *sceneEngine, maxWait magno.Millis) (declined, ok bool) {
	k := r.kind
	waited := s.clock.Now() - r.arrived
	req := gate.Request{
		ID: "x/" + r.id, Model: sceneModel, Adapter: r.adapter, Prompt: k.prompt, MaxOutput: k.events * stride, ExpectedOutput: k.events * stride,
		Rank: k.rank, StartTarget: k.aim - waited, MaxWait: 2400 - waited, TimeLeft: 12_000, MaxGap: k.gap, DeclineAbove: maxWait,
	}
	if e.gate.Declines(&req) {
		return true, false
	}
	if e.gate.Offer(req) != nil {
		return false, false
	}
	e.waiting[req.ID], r.engine = r, e
	router := s.routers[r.entry]
	router.Sent(e.name, k.prompt)
	if router.DataCentre != e.dc && s.counts(r) {
		s.out.remote++
	}
	return false, true
}

// advance runs an engine and its gate until now.
func (s *scene) advance(e *sceneEngine, now magno.Millis) {
	for name, end := range e.loading {
		if float64(now) >= end {
			e.held[name] = 1
			delete(e.loading, name)
		}
	}
	for e.freeAt <= float64(now) {
		e.step()
	}
	e.running = slices.DeleteFunc(e.running, func(r *sceneRequest) bool {
		if r.tokens < (r.kind.events-1)*stride+1 {
			return false
		}
		s.finish(e, r)
		return true
	})
	d := e.gate.Decide()
	for _, g := range d.Grants {
		r := e.waiting[g.ID]
		delete(e.waiting, g.ID)
		r.left = float64(r.kind.prompt)
		e.prompts = append(e.prompts, r)
	}
	for _, t := range d.Rejections {
		r := e.waiting[t.ID]
		delete(e.waiting, t.ID)
		if s.counts(r) {
			s.out.refused++
		}
		s.routers[r.entry].Sent(e.name, -r.kind.prompt)
	}
	for _, c := range e.gate.Commands() {
		s.execute(e, c)
	}
}

// step runs one step: a chunk of the prompts, and a token of each stream.
func (e *sceneEngine) step() {
	took, left := stepSpan*e.speed, float64(chunk)
	decoding := len(e.running)
	for left > 0 && len(e.prompts) > 0 {
		r := e.prompts[0]
		n := min(left, r.left)
		r.left -= n
		left -= n
		took += n / readRate * e.speed
		if r.left > 0 {
			break
		}
		e.running, e.prompts = append(e.running, r), e.prompts[1:]
	}
	e.freeAt += took
	for _, r := range e.running[:decoding] {
		r.tokens++
		if (r.tokens-1)%stride == 0 {
			r.longest, r.last = max(r.longest, e.freeAt-r.last), e.freeAt
		}
	}
	for _, r := range e.running[decoding:] {
		r.tokens, r.first, r.last = 1, e.freeAt, e.freeAt
	}
}

func (s *scene) finish(e *sceneEngine, r *sceneRequest) {
	k := r.kind
	id := "x/" + r.id
	e.gate.RecordPause(id, magno.Millis(r.longest))
	e.gate.Done(id, true)
	s.routers[r.entry].Ended(e.name, k.prompt, s.clock.Now()-r.arrived, true)
	switch {
	case !s.counts(r):
	case r.first > float64(r.arrived+k.aim):
		s.out.firstLate++
	case r.longest > float64(k.gap):
		s.out.pauseLate++
	default:
		s.out.onTime++
	}
}

func (s *scene) execute(e *sceneEngine, c magno.Command) {
	e.orders++
	e.gate.ApplyOutcome(c, magno.OrderAccepted, s.clock.Now())
	if !c.Load {
		delete(e.held, c.Adapter)
		return
	}
	if s.clock.Now() >= magno.Hour+warmUp {
		s.out.loads++
	}
	all := 1
	for _, other := range s.engines {
		all += len(other.loading)
	}
	e.loading[c.Adapter] = float64(s.clock.Now()) + loadSpan*max(1, float64(all)/freeLoads)
}

func (e *sceneEngine) report(now magno.Millis) {
	r := &magno.Report{StartedAt: 1, Orders: e.orders, Running: len(e.running) + len(e.prompts), Loaded: map[string]map[string]int64{sceneModel: e.held}}
	for name := range e.loading {
		r.Loading = append(r.Loading, magno.Pin{Model: sceneModel, Adapter: name, Number: 1})
	}
	for _, run := range e.running {
		r.Streams = append(r.Streams, magno.Stream{ID: run.id, Events: 1 + (run.tokens-1)/stride})
	}
	e.gate.ApplyReport(r, now)
}

// counts reports whether a request arrived after the engines had loaded what is often used.
func (s *scene) counts(r *sceneRequest) bool { return r.arrived >= magno.Hour+warmUp }

// observeRates compares the learned rates of the engines that have changed with the true ones.
func (s *scene) observeRates() {
	for i, e := range s.engines {
		if s.before[i] == s.after[i] {
			continue
		}
		s.out.rateError += math.Abs(math.Log(e.gate.Backlog().Rate * e.speed / readRate))
		s.out.rates++
	}
}

// backlog is what the agent of an engine reports, with the truth about its speed where the
// routers of the scene know it.
func (s *scene) backlog(e *sceneEngine) magno.Backlog {
	b := e.gate.Backlog()
	if s.know == knowsReports {
		return b
	}
	b.Rate = math.Round(readRate / e.speed)
	mean := e.speed * meanPauses[min(4*b.Running/batch, 3)]
	variance := math.Log1p(pauseSpread * pauseSpread)
	late := math.Erfc((math.Log(sceneGap/mean)+variance/2)/math.Sqrt(2*variance)) / 2
	b.EventGap = magno.Millis(sceneGap / -math.Log(max(late, 1e-6))) // the router's estimate is then late
	return b
}
