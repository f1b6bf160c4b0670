// Package loop carries out a scheduler's decisions for one upstream.
//
//	serve ----Do----> ring --+--> loop: Scheduler.Offer, Next ... --+--> start: caller's goroutine runs the upstream
//	probe --reset---> ring --|                                     |--> load, unload: a goroutine each
//	loads --ended---> ring --+                                     +--> refuse: final answer at once
//
// One goroutine owns the scheduler, so that its decisions need no locks and
// read like the single-threaded code that the experiments run.
package loop

import (
	"context"
	"fmt"
	"log/slog"
	"sync/atomic"
	"time"

	"magnoliastall.example/magno"
	"magnoliastall.example/magno/crash"
	"magnoliastall.example/magno/event"
)

// Figures of the loop.
const (
	// stepQueueSize bounds messages on their way to the scheduler; a full ring
	// makes senders wait, which slows callers and not the engine.
	stepQueueSize = 1024
	// tickInterval is how often the scheduler looks at deadlines while jobs wait and
	// nothing else happens, in milliseconds: well under the shortest wait a
	// caller states. While none waits the loop sleeps.
	tickInterval magno.Millis = 10
	// defaultOrderTimeout ends an order that the upstream never answers, so that a
	// slot in transition doesn't stay held by an order that is dead.
	defaultOrderTimeout = 30 * time.Second
	// crashWindow is the time within which streams cut by one crash end, in
	// milliseconds.
	crashWindow magno.Millis = 20
	// reportLag is how long after an order the upstream's report may lag, in
	// milliseconds.
	reportLag = 5 * magno.Second
	// maxOffers is how often a job that the upstream didn't begin is offered
	// again.
	maxOffers = 3
)

// Loop runs jobs on one upstream. It implements magno.Duty.
type Loop struct {
	// These fields are set before Run.
	Clock     *magno.Clock
	Scheduler magno.Scheduler
	Upstream  magno.Upstream
	// Fence grows with each start of an agent and goes with every order.
	Fence  int64
	Events *event.Ring
	Log    *slog.Logger
	// Suspects is told of requests whose streams the upstream cut. It may be
	// nil.
	Suspects *crash.Suspects

	// orderTimeout is orderLimit but in tests.
	orderTimeout time.Duration
	steps        chan func()
	// loadWanted holds one value while jobs wait for adapters.
	loadWanted chan struct{}
	// needsDecision is true when a step since the last decisions may change them.
	// Only the loop's goroutine touches it.
	needsDecision bool
	// ended is closed when Run returns; nothing is decided from then on.
	ended chan struct{}
	// waiting holds each job that was offered and has neither started nor
	// been refused. Only the loop's goroutine touches it.
	waiting map[string]*pending
	// cutStreams holds the fingerprints of streams that the upstream cutStreams at about
	// the same time, since cutAt.
	cutStreams []uint64
	firstCutAt magno.Millis
	// turnEnded ends the wait of Load; nil when nothing waits.
	turnEnded chan struct{}
	// ordersInFlight counts load and unload goroutines that have not reported;
	// ordersAt is when the last one did.
	ordersInFlight int
	lastOrderAt    magno.Millis
	// loadsInFlight counts those that are loadsInFlight.
	loadsInFlight int
	// backlog is the scheduler's latest, for readers on other goroutines.
	backlog atomic.Pointer[magno.Backlog]
}

// pending is a job on its way to a start.
type pending struct {
	ref magno.Ref
	// offeredAt is when it came; loadedAt when its adapter was there, zero while
	// it isn't.
	offeredAt, loadedAt magno.Millis
	// decision takes exactly one value.
	decision chan decision
}

// decision ends the wait of a job: it may start unless refusal is set.
type decision struct {
	refusal *magno.Refusal
	// queueTime is the whole wait, stallTime the part of it that the adapter's load
	// took.
	queueTime, stallTime magno.Millis
}

// New returns a loop ready for its fields.
func New() *Loop {
	return &Loop{
		orderTimeout: defaultOrderTimeout,
		steps:        make(chan func(), stepQueueSize),
		loadWanted:   make(chan struct{}, 1),
		ended:        make(chan struct{}),
		waiting:      map[string]*pending{},
	}
}

// postUpdate hands over a step after which nothing need be decided. Tokens come by
// the thousand a second, and deciding after each cost more than the tokens.
func (l *Loop) postUpdate(step func()) {
	select {
	case l.steps <- step:
	case <-l.ended:
	}
}

// post hands a step to the loop's goroutine; false means that it has ended.
func (l *Loop) post(step func()) bool {
	select {
	case l.steps <- func() { step(); l.needsDecision = true }:
		return true
	case <-l.ended:
		return false
	}
}

// Name implements magno.Duty.
func (l *Loop) Name() string { return "loop" }

// Run decides until ctx ends, then waits for the orders under way.
func (l *Loop) Run(ctx context.Context) error {
	defer close(l.ended)
	timer := time.NewTimer(tickInterval.Span())
	defer timer.Stop()
	for {
		var due <-chan time.Time
		if len(l.waiting) > 0 || len(l.cutStreams) > 0 {
			timer.Reset(tickInterval.Span())
			due = timer.C
		}
		select {
		case <-ctx.Done():
			l.finish()
			return nil
		case step := <-l.steps:
			step()
		case <-due:
			l.needsDecision = true
		}
		l.drainSteps()
		if !l.needsDecision {
			continue
		}
		l.needsDecision = false
		l.reportSuspects()
		l.applyOrders(ctx)
	}
}

// drainSteps takes what else is in the ring, so that decisions are made on all that
// is known and a burst costs one pass.
func (l *Loop) drainSteps() {
	for range len(l.steps) {
		step := <-l.steps
		step()
	}
}

func (l *Loop) finish() {
	for l.ordersInFlight > 0 {
		step := <-l.steps
		step()
	}
	for id := range l.waiting {
		l.resolve(id, endedRefusal())
	}
}

func endedRefusal() *magno.Refusal {
	return magno.Refuse(magno.KindLeaving, "the agent has ended").Later(magno.Second)
}

// applyOrders carries out what the scheduler wants done.
func (l *Loop) applyOrders(ctx context.Context) {
	for _, order := range l.Scheduler.Next() {
		switch order.Kind {
		case magno.OrderStart:
			l.resolve(order.Job.ID, nil)
		case magno.OrderRefuse:
			l.resolve(order.Job.ID, order.Refusal)
		case magno.OrderLoad:
			l.order(ctx, order)
		case magno.OrderUnload:
			l.order(ctx, order)
		}
	}
	backlog := l.Scheduler.Backlog()
	l.backlog.Store(&backlog)
	if backlog.Loads > 0 {
		select {
		case l.loadWanted <- struct{}{}:
		default:
		}
	}
}

func (l *Loop) resolve(id string, refusal *magno.Refusal) {
	p, ok := l.waiting[id]
	if !ok {
		return
	}
	delete(l.waiting, id)
	v := decision{refusal: refusal, queueTime: l.Clock.Now() - p.offeredAt}
	if p.loadedAt > 0 {
		v.stallTime = p.loadedAt - p.offeredAt
	}
	p.decision <- v
}

// Do runs work and returns its result, or a *magno.Refusal. It returns when
// the work has ended, also when ctx ends before.
func (l *Loop) Do(ctx context.Context, w magno.Work, emit func(magno.Piece)) (magno.Result, error) {
	id := w.Job.ID
	for try := 1; ; try++ {
		v := l.offer(ctx, w.Job)
		if v.refusal != nil {
			// The scheduler's word is final: offered again, a job that can't
			// be loaded in time would wait as long once more.
			l.Events.Add("refused", w.Job.ID, "kind="+string(v.refusal.Kind))
			return magno.Result{}, v.refusal
		}
		result, err := l.execute(ctx, w, v, emit)
		refusal, ok := err.(*magno.Refusal) //nolint:errorlint // once returns it bare
		if !ok || refusal.Kind != magno.KindLoading || refusal.Run != magno.RunNo || try == maxOffers || ctx.Err() != nil {
			return result, err
		}
		// The upstream no longer has the adapter: it restarted, and the probe
		// has not noticed yet. It did not begin, so the job may wait again.
		l.Events.Add("again", id, "reason="+string(refusal.Kind))
		w.Job.ID = fmt.Sprintf("%s.%d", id, try)
	}
}

// execute runs work that may start.
func (l *Loop) execute(ctx context.Context, w magno.Work, v decision, emit func(magno.Piece)) (magno.Result, error) {
	l.Events.Add("start", w.Job.ID, fmt.Sprintf("ref=%s queue=%d stall=%d", w.Job.Ref, v.queueTime, v.stallTime))
	result, err := l.Upstream.Run(ctx, w, func(p magno.Piece) {
		l.postUpdate(func() { l.Scheduler.Tokens(w.Job.ID, p.Tokens) })
		emit(p)
	})
	result.Queue = v.queueTime
	result.Stall = v.stallTime
	if err == nil && result.Ref != w.Job.Ref {
		err = magno.Refuse(magno.KindInternal, "the upstream ran %s instead of %s", result.Ref, w.Job.Ref).Ran(magno.RunYes)
	}
	l.post(func() { l.done(w.Job, err) })
	l.Events.Add("ended", w.Job.ID, fmt.Sprintf("ok=%t tokens=%d", err == nil, result.Output))
	return result, err
}

// done ends a job that was started.
func (l *Loop) done(job magno.Job, err error) {
	l.Scheduler.Done(job.ID, err == nil)
	refusal, ok := err.(*magno.Refusal) //nolint:errorlint // once gives it bare
	if !ok || refusal.Kind != magno.KindInterrupted || job.Print == 0 {
		return
	}
	if len(l.cutStreams) == 0 {
		l.firstCutAt = l.Clock.Now()
	}
	l.cutStreams = append(l.cutStreams, job.Print)
}

// reportSuspects takes all streams that were cut together for suspects of one crash.
// The probe would tell of the restart too late: by then the callers' second
// attempts have crashed another upstream.
func (l *Loop) reportSuspects() {
	if len(l.cutStreams) == 0 || l.Clock.Now() < l.firstCutAt+crashWindow {
		return
	}
	if l.Suspects != nil {
		l.Suspects.RecordCrash(l.cutStreams)
	}
	l.Events.Add("suspect", "", fmt.Sprintf("streams=%d", len(l.cutStreams)))
	l.cutStreams = nil
}

// offer waits until the job may start or is refused.
func (l *Loop) offer(ctx context.Context, job magno.Job) decision {
	p := &pending{ref: job.Ref, decision: make(chan decision, 1)}
	if !l.post(func() { l.enqueue(job, p) }) {
		return decision{refusal: endedRefusal()}
	}
	select {
	case v := <-p.decision:
		return v
	case <-l.ended:
		return l.finalDecision(p)
	case <-ctx.Done():
	}
	l.post(func() {
		if l.waiting[job.ID] == p {
			l.Scheduler.Cancel(job.ID)
			l.resolve(job.ID, magno.Refuse(magno.KindCancelled, "the caller went away").Ran(magno.RunNo))
		}
	})
	select {
	case v := <-p.decision:
		return v
	case <-l.ended:
		return l.finalDecision(p)
	}
}

// finalDecision is the verdict of a job when the loop has ended: what it was told, or
// else that it will not run.
func (l *Loop) finalDecision(p *pending) decision {
	select {
	case v := <-p.decision:
		return v
	default:
		return decision{refusal: endedRefusal()}
	}
}

// enqueue offers a job to the scheduler.
func (l *Loop) enqueue(job magno.Job, p *pending) {
	if l.waiting[job.ID] != nil {
		// A peer that sends one attempt twice would leave the first without a
		// verdict, waiting until the loop ends.
		refusal := magno.Refuse(magno.KindInternal, "the attempt %s waits here already", job.ID)
		p.decision <- decision{refusal: refusal.Ran(magno.RunNo)}
		return
	}
	p.offeredAt = l.Clock.Now()
	l.waiting[job.ID] = p
	if refusal := l.Scheduler.Offer(job); refusal != nil {
		l.resolve(job.ID, refusal)
	}
}

// markLoaded notes when the jobs that wait for ref got it: from here on they
// wait for a place, which is no load stall.
func (l *Loop) markLoaded(ref magno.Ref) {
	for _, p := range l.waiting {
		if p.ref == ref && p.loadedAt == 0 {
			p.loadedAt = l.Clock.Now()
		}
	}
}
