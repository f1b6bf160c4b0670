package gate

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"

	"magnoliastall.example/magno"
)

// The replays run several gates, each with a model of an engine, and an entry's choice as a
// function of reports that are up to 250 ms old. There is no network: calls arrive after half of
// replayTrip.
//
//	arrivals --> ask --> offer --> gate --> prefill --> decode --> count
//	              ^                 |
//	              '-- declined, refused
const (
	replayTick    = 5 * magno.Millis(1)
	replayReport  = 30 * magno.Millis(1)
	replayPoll    = 250 * magno.Millis(1)
	replayTrip    = 10 * magno.Millis(1)
	replaySlack   = 10 * magno.Millis(1)
	replayBatch   = 32
	replayStride  = 6
	maxHandBacks  = 2
	replayRefused = 3
)

// replayKind is a kind of request.
type replayKind struct {
	name           string
	prompt, events int
	rank           int
	target, wait   magno.Millis
	// value is that of an answer on time, late that of a late one.
	value, late float64
	// home is the number of the only engine that it may go to, counted from one, zero for any.
	home int
	// declared is the declared maximum of output tokens, zero for what it produces. Events are
	// drawn around the median events with the given spread in natural logarithms.
	declared int
	spread   float64
	// hintSpread is the spread of the hint around the output, zero for no hint.
	hintSpread float64
	customer   string
}

// replayLoad is a load: rate returns the requests of a kind per second at a time.
type replayLoad struct {
	speeds []float64 // prompt tokens per ms of each engine
	kinds  []replayKind
	rate   func(kind int, at magno.Millis) float64
	// slowAt is when the first engine becomes three times slower, zero for never.
	slowAt magno.Millis
	span   magno.Millis
	// tokens and batch are the limits of the engines, zero for the usual ones. With tokens the
	// engines preempt streams when their token memory is full.
	tokens, batch int
	// longFrom is when answers become longAfter times as long, zero for never.
	longFrom  magno.Millis
	longTimes float64
}

// replayEngine is a model of an engine: it prefills prompts in the order of their arrival, and
// running streams make events meanwhile at half the speed.
type replayEngine struct {
	gate *Gate
	// speed is in prompt tokens per ms.
	speed   float64
	prefill []*replayRequest
	decode  []*replayRequest
	// reported is the wait that entries know, sent the prompt tokens that they have sent since.
	reported magno.Millis
	sent     int
	// waiting has the requests that wait for a permit, by ID.
	waiting map[string]*replayRequest
}

type replayRequest struct {
	replayKind
	// kind is the index of its kind in the load.
	kind              int
	id                string
	arrived, deadline magno.Millis
	// unread is the prompt tokens that are not prefilled, made the events so far, the first one at first.
	unread, made float64
	first        magno.Millis
	// declines and refusals count those answers, asks the engines that were asked.
	declines, refusals, asks int
	// avoid lists the engines that declined or refused it.
	avoid   []int
	refused bool
	hint    int
	// preempted is true once the engine has preempted it.
	preempted bool
}

// replayResult counts outcomes by kind.
type replayResult struct {
	all, onTime, late, refused []int
	value                      float64
	// declines counts the queued requests that were handed back, returned those that went to an
	// engine a second time. maxAsks is the highest number of engines asked for one request.
	declines, returned, maxAsks int
	// preempted counts the requests that engines preempted.
	preempted int
	// blocked counts the decisions at which the first request in the queue waited, by what it
	// waited for.
	blocked map[Cause]int
}

func (r *replayResult) String() string {
	return fmt.Sprintf("all %v on time %v late %v refused %v, value %.0f, handed back %d", r.all, r.onTime, r.late, r.refused, r.value, r.declines)
}

type replay struct {
	load    replayLoad
	clock   *magno.Clock
	engines []*replayEngine
	rng     *rand.Rand
	// lengths draws outputs and hints, so that arrivals are the same with all lengths.
	lengths *rand.Rand
	// due has the messages that arrive, by time.
	due    map[magno.Millis][]func()
	result replayResult
	lastID int
	// carry is the part of a request of each kind that is yet to arrive.
	carry []float64
}

func newReplay(load replayLoad, once bool, seed uint64) *replay {
	r := &replay{load: load, clock: magno.NewClock(magno.Hour), rng: rand.New(rand.NewPCG(seed, 1)), due: map[magno.Millis][]func(){}}
	n := len(load.kinds)
	r.lengths = rand.New(rand.NewPCG(seed, 2))
	r.result = replayResult{blocked: map[Cause]int{}, all: make([]int, n), onTime: make([]int, n), late: make([]int, n), refused: make([]int, n)}
	r.carry = make([]float64, n)
	for i, speed := range load.speeds {
		g := &Gate{Clock: r.clock, OrderByEstimate: true, evaluateOnce: once}
		g.SetSpec(Spec{Replica: fmt.Sprintf("r%d@1", i), ID: fmt.Sprint("r", i), Engine: magno.Engine{
			Models: []magno.Model{{Name: model, Size: 1000, Adapter: 10, Load: 3200, Disk: 1300}},
			Slots:  8, Memory: 2000, Tokens: cmp.Or(load.tokens, 126_376), Batch: cmp.Or(load.batch, replayBatch), Stride: replayStride,
		}})
		r.engines = append(r.engines, &replayEngine{gate: g, speed: speed, waiting: map[string]*replayRequest{}})
	}
	return r
}

// after calls f once d has passed, rounded up to a tick.
func (r *replay) after(d magno.Millis, f func()) {
	at := r.clock.Now() + max(d, replayTick)
	at = (at + replayTick - 1) / replayTick * replayTick
	r.due[at] = append(r.due[at], f)
}

// run plays the load and returns the outcomes.
func (r *replay) run() *replayResult {
	start := r.clock.Now()
	for r.clock.Now()-start < r.load.span+15*magno.Second {
		now := r.clock.Now()
		since := now - start
		if r.load.slowAt > 0 && since == r.load.slowAt {
			r.engines[0].speed /= 3
		}
		if since%replayReport == 0 {
			for _, e := range r.engines {
				r.report(e, now)
			}
		}
		if since%replayPoll == 0 {
			for _, e := range r.engines {
				e.reported, e.sent = e.gate.Backlog().Wait, 0
			}
		}
		for _, f := range r.due[now] {
			f()
		}
		delete(r.due, now)
		if since < r.load.span {
			r.arrivals(since, now)
		}
		for _, e := range r.engines {
			e.step(now, r)
			if since%(4*replayTick) == 0 {
				r.decide(e)
			}
		}
		r.clock.Advance(replayTick)
	}
	return &r.result
}

func (r *replay) arrivals(since, now magno.Millis) {
	for i, k := range r.load.kinds {
		r.carry[i] += r.load.rate(i, since) * float64(replayTick) / float64(magno.Second) * (0.5 + r.rng.Float64())
		for ; r.carry[i] >= 1; r.carry[i]-- {
			r.lastID++
			req := &replayRequest{replayKind: k, kind: i, id: fmt.Sprint(r.lastID), arrived: now, deadline: now + 12*magno.Second}
			r.drawLength(req, since)
			r.result.all[i]++
			r.ask(req)
		}
	}
}

// choose returns the engine with the least known wait, and up to which wait it is the best one.
func (r *replay) choose(req *replayRequest) (int, magno.Millis) {
	best, second, bestWait, secondWait := -1, -1, magno.Hour, magno.Hour
	for i, e := range r.engines {
		if slices.Contains(req.avoid, i) || req.home > 0 && req.home != i+1 {
			continue
		}
		wait := e.reported + magno.Millis(float64(e.sent)/e.gate.pacer.engine.PrefillRate())
		switch {
		case best < 0 || wait < bestWait:
			best, second, bestWait, secondWait = i, best, wait, bestWait
		case second < 0 || wait < secondWait:
			second, secondWait = i, wait
		}
	}
	if second < 0 {
		return best, 0
	}
	return best, secondWait + replaySlack
}

// ask chooses an engine and sends the request to it.
func (r *replay) ask(req *replayRequest) {
	now := r.clock.Now()
	until := min(req.arrived+req.wait, req.deadline-200)
	if now >= until {
		r.refuse(req)
		return
	}
	i, above := r.choose(req)
	if i < 0 { // all were asked
		r.result.returned++
		req.avoid = nil
		i, _ = r.choose(req)
		above = 0
	}
	if req.declines >= maxHandBacks {
		above = 0
	}
	e := r.engines[i]
	e.sent += req.prompt
	req.asks++
	r.result.maxAsks = max(r.result.maxAsks, req.asks)
	r.after(replayTrip/2, func() { r.offer(e, i, req, above) })
}

func (r *replay) offer(e *replayEngine, i int, req *replayRequest, above magno.Millis) {
	now := r.clock.Now()
	a := Request{
		ID: req.id, Model: model, Prompt: req.prompt, MaxOutput: cmp.Or(req.declared, req.events*replayStride), Rank: req.rank,
		Route: req.name, Customer: req.customer, ExpectedOutput: req.hint,
		StartTarget: req.arrived + req.target - now, MaxWait: min(req.arrived+req.wait, req.deadline-200) - now, TimeLeft: req.deadline - now,
		DeclineAbove: above, RoundTrip: replayTrip, MaxGap: 300,
	}
	if e.gate.Declines(&a) {
		r.declined(e, i, req)
		return
	}
	if refusal := e.gate.Offer(a); refusal != nil {
		r.refusedAt(i, req)
		return
	}
	e.waiting[req.id] = req
	r.decide(e)
}

func (r *replay) declined(e *replayEngine, i int, req *replayRequest) {
	req.declines++
	req.avoid = append(req.avoid, i)
	e.reported, e.sent = e.gate.Backlog().Wait, 0 // the reply brings the status
	r.after(replayTrip/2, func() { r.ask(req) })
}

func (r *replay) refusedAt(i int, req *replayRequest) {
	req.refusals++
	req.avoid = append(req.avoid, i)
	req.declines = maxHandBacks
	if req.refusals >= min(replayRefused, len(r.engines)) || req.home > 0 {
		r.refuse(req)
		return
	}
	r.after(replayTrip/2, func() { r.ask(req) })
}

func (r *replay) refuse(req *replayRequest) {
	if !req.refused {
		req.refused = true
		r.result.refused[req.kind]++
	}
}

func (r *replay) decide(e *replayEngine) {
	i := slices.Index(r.engines, e)
	if len(e.gate.queue) > 0 {
		r.result.blocked[e.gate.cause(&e.gate.queue[0].Request)]++
	}
	d := e.gate.Decide()
	for _, g := range d.Grants {
		req := e.waiting[g.ID]
		delete(e.waiting, g.ID)
		req.unread = float64(req.prompt)
		r.after(replayTrip, func() { e.prefill = append(e.prefill, req) })
	}
	for _, rejection := range d.Rejections {
		req := e.waiting[rejection.ID]
		delete(e.waiting, rejection.ID)
		r.refusedAt(i, req)
	}
	for _, x := range d.Declines {
		req := e.waiting[x.ID]
		delete(e.waiting, x.ID)
		r.result.declines++
		r.declined(e, i, req)
	}
}

// step advances an engine by one tick.
func (e *replayEngine) step(now magno.Millis, r *replay) {
	budget := e.speed * float64(replayTick)
	pace := 1.0
	if len(e.prefill) > 0 {
		pace = 0.5
	}
	for budget > 0 && len(e.prefill) > 0 {
		req := e.prefill[0]
		if !e.fits(r.load.tokens, req) {
			break
		}
		used := min(budget, req.unread)
		req.unread -= used
		budget -= used
		if req.unread <= 0 {
			if req.first == 0 {
				req.made, req.first = 1, now+replayTrip/2
				r.count(req)
			}
			e.prefill = e.prefill[1:]
			e.decode = append(e.decode, req)
		}
	}
	perEvent := 12.0 * replayStride * 32 / e.speed / 1.5
	e.decode = slices.DeleteFunc(e.decode, func(req *replayRequest) bool {
		req.made += pace * float64(replayTick) / perEvent
		if int(req.made) >= req.events {
			if r.load.tokens > 0 {
				e.gate.RecordOutput(req.id, req.events*replayStride)
			}
			e.gate.Done(req.id, true)
			return true
		}
		return false
	})
	e.preempt(r)
}

func (r *replay) count(req *replayRequest) {
	if req.first-req.arrived <= req.target {
		r.result.onTime[req.kind]++
		r.result.value += req.value
		return
	}
	r.result.late[req.kind]++
	r.result.value += req.late
}

func (r *replay) report(e *replayEngine, now magno.Millis) {
	rep := &magno.Report{StartedAt: 1, Running: len(e.decode) + len(e.prefill), Loaded: map[string]map[string]int64{model: {}}}
	for _, req := range e.decode {
		rep.Streams = append(rep.Streams, magno.Stream{ID: req.id, Events: int(req.made)})
	}
	e.gate.ApplyReport(rep, now)
}
