// Package loop runs the event loop of a scheduler for one upstream and carries out its decisions.
//
//	serve ----Do----> steps --+--> loop: Scheduler.Offer, Next ... --+--> start: caller's goroutine runs the upstream
//	probe --reset---> steps --|                                      |--> load, unload: a goroutine each
//	loads --ended---> steps --+                                      +--> refuse: final answer at once
//
// One goroutine owns the scheduler, so that schedulers need no locks and the same single-threaded
// code runs in simulations.
package loop

import (
	"context"
	"fmt"
	"log/slog"
	"sync/atomic"
	"time"

	"golang.org/x/sync/singleflight"

	"magnoliastall.example/magno"
	"magnoliastall.example/magno/crash"
	"magnoliastall.example/magno/event"
)

const (
	// stepQueueSize bounds the queue of steps for the loop's goroutine. If it is full, senders
	// block, which slows down callers but not the engine.
	stepQueueSize = 1024
	// tickInterval is how often the scheduler checks deadlines while jobs wait and nothing else
	// happens. It is well below the shortest wait that callers allow. While no job waits, the loop
	// sleeps.
	tickInterval magno.Millis = 10
	// defaultOrderTimeout bounds an order, so that one that the upstream never answers does not
	// occupy a slot forever.
	defaultOrderTimeout = 30 * time.Second
	// reportLag is how long after an order the upstream's report may still show the state before
	// it.
	reportLag = 5 * magno.Second
	// maxOffers is how often a job is offered in total if the upstream does not start it.
	maxOffers = 3
)

// Loop runs jobs on one upstream. It implements magno.Task.
type Loop struct {
	// These fields must be set before Run.
	Clock     *magno.Clock
	Scheduler magno.Scheduler
	Upstream  magno.Upstream
	// Fence is sent with every order. Each start of an agent has a higher one.
	Fence  int64
	Events *event.Ring
	Log    *slog.Logger
	// Suspects records requests under which the upstream ended. It may be nil.
	Suspects *crash.Suspects
	// OnRestCut is called when a rest of the upstream ends before its time, by a restart. It may be
	// nil and must not block.
	OnRestCut func()
	// Self is the name of this instance, Pool the pool of the upstream. They identify the upstream
	// among others.
	Self, Pool string

	// orderTimeout is defaultOrderTimeout except in tests.
	orderTimeout time.Duration
	steps        chan func()
	// loadWanted holds one value while jobs wait for adapters.
	loadWanted chan struct{}
	// needsDecision is true if a step since the last call of Scheduler.Next may change its result.
	// Only the loop's goroutine accesses it.
	needsDecision bool
	// ended is closed when Run returns. There are no decisions after that.
	ended chan struct{}
	// waiting maps the ID of each job that has neither started nor been refused. Only the loop's
	// goroutine accesses it.
	waiting map[string]*pending
	// boot is the boot number of the upstream's present incarnation, zero before the first probe.
	boot atomic.Int64
	// endedBoot is the boot number of the incarnation that ended last, zero if none is known.
	endedBoot atomic.Int64
	// presumed holds the ends that aren't confirmed yet. Only the loop's goroutine accesses it.
	presumed   []presumed
	lifeChecks singleflight.Group
	// turnEnded is closed to end the wait in Load. It is nil if there is none.
	turnEnded chan struct{}
	// ordersInFlight counts the loads and unloads under way; lastOrderAt is when the latest one
	// ended.
	ordersInFlight int
	lastOrderAt    magno.Millis
	// loadsInFlight counts the loads among ordersInFlight.
	loadsInFlight int
	// backlog is the scheduler's latest backlog, for other goroutines.
	backlog atomic.Pointer[backlogAt]
}

// backlogAt is a backlog and when it was taken.
type backlogAt struct {
	magno.Backlog
	at magno.Millis
}

// pending is a job that waits to be started.
type pending struct {
	ref magno.Ref
	// offeredAt is when the job was offered, loadedAt when its adapter was loaded, zero until then.
	offeredAt, loadedAt magno.Millis
	// decision receives exactly one value.
	decision chan decision
}

// decision ends the wait of a job. The job may start unless refusal is set.
type decision struct {
	refusal *magno.Refusal
	// queueTime is the whole wait, stallTime the part of it spent on loading the adapter.
	queueTime, stallTime magno.Millis
}

// New returns a loop whose exported fields have yet to be set.
func New() *Loop {
	return &Loop{
		orderTimeout: defaultOrderTimeout,
		steps:        make(chan func(), stepQueueSize),
		loadWanted:   make(chan struct{}, 1),
		ended:        make(chan struct{}),
		waiting:      map[string]*pending{},
	}
}

// postUpdate queues a step that does not require a new decision. Thousands of token updates
// arrive per second, and a decision after each cost more than the tokens themselves.
func (l *Loop) postUpdate(step func()) {
	select {
	case l.steps <- step:
	case <-l.ended:
	}
}

// post queues a step for the loop's goroutine. It returns false if the loop has ended.
func (l *Loop) post(step func()) bool {
	select {
	case l.steps <- func() { step(); l.needsDecision = true }:
		return true
	case <-l.ended:
		return false
	}
}

// Name implements magno.Task.
func (l *Loop) Name() string { return "loop" }

// Run runs the event loop until ctx is done, then waits for the orders under way.
func (l *Loop) Run(ctx context.Context) error {
	defer close(l.ended)
	timer := time.NewTimer(tickInterval.Duration())
	defer timer.Stop()
	for {
		var due <-chan time.Time
		if len(l.waiting) > 0 {
			timer.Reset(tickInterval.Duration())
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
		l.applyOrders(ctx)
	}
}

// drainSteps executes all queued steps, so that a burst of them requires only one decision, which
// is based on all of them.
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
	return magno.Refuse(magno.KindLeaving, "the agent has ended").WithRetryAfter(magno.Second)
}

// applyOrders carries out the scheduler's orders.
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
	now := l.Clock.Now()
	backlog := l.Scheduler.Backlog()
	before := l.backlog.Swap(&backlogAt{Backlog: backlog, at: now})
	if before != nil && before.Aged(now-before.at).Rest > 0 && backlog.Rest == 0 && l.OnRestCut != nil {
		l.OnRestCut()
	}
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
	d := decision{refusal: refusal, queueTime: l.Clock.Now() - p.offeredAt}
	if p.loadedAt > 0 {
		d.stallTime = p.loadedAt - p.offeredAt
	}
	p.decision <- d
}

// Do runs work and returns its result or a *magno.Refusal. It returns only after the work has
// ended, even if ctx is done earlier.
func (l *Loop) Do(ctx context.Context, w magno.Work, emit func(magno.Piece)) (magno.Result, error) {
	id := w.Job.ID
	for try := 1; ; try++ {
		d := l.offer(ctx, w.Job)
		if d.refusal != nil {
			// A refusal by the scheduler is final: if a job whose adapter cannot be loaded in time
			// were offered again, it would wait as long once more.
			l.Events.Add("refused", w.Job.ID, "kind="+string(d.refusal.Kind))
			return magno.Result{}, d.refusal
		}
		result, err := l.execute(ctx, w, d, emit)
		refusal, ok := err.(*magno.Refusal) //nolint:errorlint // execute returns it unwrapped
		if !ok || refusal.Kind != magno.KindLoading || refusal.Run != magno.RunNo || try == maxOffers || ctx.Err() != nil {
			return result, err
		}
		// The upstream no longer has the adapter, because it has restarted and the probe has not
		// detected that yet. It has not started the job, so the job may be offered again.
		l.Events.Add("again", id, "reason="+string(refusal.Kind))
		w.Job.ID = fmt.Sprintf("%s.%d", id, try)
	}
}

// execute runs work that may start.
func (l *Loop) execute(ctx context.Context, w magno.Work, d decision, emit func(magno.Piece)) (magno.Result, error) {
	l.Events.Add("start", w.Job.ID, fmt.Sprintf("ref=%s queue=%d stall=%d", w.Job.Ref, d.queueTime, d.stallTime))
	boot := l.runningBoot()
	result, err := l.Upstream.Run(ctx, w, func(p magno.Piece) {
		l.postUpdate(func() { l.Scheduler.Tokens(w.Job.ID, p.Tokens) })
		emit(p)
	})
	result.Queue = d.queueTime
	result.Stall = d.stallTime
	if err == nil && result.Ref != w.Job.Ref {
		err = magno.Refuse(magno.KindInternal, "the upstream ran %s instead of %s", result.Ref, w.Job.Ref).WithRun(magno.RunYes)
	}
	l.post(func() { l.Scheduler.Done(w.Job.ID, err == nil) })
	if refusal, ok := err.(*magno.Refusal); ok { //nolint:errorlint // upstreams return it unwrapped
		l.recordIfEnded(ctx, &w.Job, boot, refusal)
	}
	l.Events.Add("ended", w.Job.ID, fmt.Sprintf("ok=%t tokens=%d", err == nil, result.Output))
	return result, err
}

// offer offers a job to the scheduler and waits until it may start or is refused.
func (l *Loop) offer(ctx context.Context, job magno.Job) decision {
	p := &pending{ref: job.Ref, decision: make(chan decision, 1)}
	if !l.post(func() { l.enqueue(job, p) }) {
		return decision{refusal: endedRefusal()}
	}
	select {
	case d := <-p.decision:
		return d
	case <-l.ended:
		return l.finalDecision(p)
	case <-ctx.Done():
	}
	l.post(func() {
		if l.waiting[job.ID] == p {
			l.Scheduler.Cancel(job.ID)
			l.resolve(job.ID, magno.Refuse(magno.KindCancelled, "the caller went away").WithRun(magno.RunNo))
		}
	})
	select {
	case d := <-p.decision:
		return d
	case <-l.ended:
		return l.finalDecision(p)
	}
}

// finalDecision returns the decision on a job after the loop has ended: the one that was sent, or
// else a refusal.
func (l *Loop) finalDecision(p *pending) decision {
	select {
	case d := <-p.decision:
		return d
	default:
		return decision{refusal: endedRefusal()}
	}
}

// enqueue passes a job to the scheduler.
func (l *Loop) enqueue(job magno.Job, p *pending) {
	if l.waiting[job.ID] != nil {
		// If a peer sends an attempt twice, the second must not replace the first, which would then
		// wait until the loop ends.
		refusal := magno.Refuse(magno.KindInternal, "the attempt %s waits here already", job.ID)
		p.decision <- decision{refusal: refusal.WithRun(magno.RunNo)}
		return
	}
	p.offeredAt = l.Clock.Now()
	l.waiting[job.ID] = p
	if refusal := l.Scheduler.Offer(job); refusal != nil {
		l.resolve(job.ID, refusal)
	}
}

// markLoaded records for the jobs that wait for ref that it is loaded. From then on they wait for
// capacity, which does not count as load stall.
func (l *Loop) markLoaded(ref magno.Ref) {
	for _, p := range l.waiting {
		if p.ref == ref && p.loadedAt == 0 {
			p.loadedAt = l.Clock.Now()
		}
	}
}
