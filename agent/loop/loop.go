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
	// ringSize bounds messages on their way to the scheduler; a full ring
	// makes senders wait, which slows callers and not the engine.
	ringSize = 1024
	// tick is how often the scheduler looks at deadlines while jobs wait and
	// nothing else happens, in milliseconds: well under the shortest wait a
	// caller states. While none waits the loop sleeps.
	tick magno.Millis = 10
	// orderLimit ends an order that the upstream never answers, so that a
	// slot in transition doesn't stay held by an order that is dead.
	orderLimit = 30 * time.Second
	// cutSpan is the time within which streams cut by one crash end, in
	// milliseconds.
	cutSpan magno.Millis = 20
	// settled is how long after an order the upstream's report may lag, in
	// milliseconds.
	settled = 5 * magno.Second
	// restarts is how often a job that the upstream didn't begin is offered
	// again.
	restarts = 3
)

// Loop runs jobs on one upstream. It implements magno.Duty.
type Loop struct {
	// These fields are set before Run.
	Clock    *magno.Clock
	Sched    magno.Scheduler
	Upstream magno.Upstream
	// Fence grows with each start of an agent and goes with every order.
	Fence  int64
	Events *event.Ring
	Log    *slog.Logger
	// Suspects is told of requests whose streams the upstream cut. It may be
	// nil.
	Suspects *crash.Suspects

	// limit is orderLimit but in tests.
	limit time.Duration
	ring  chan func()
	// wanting holds one value while jobs wait for adapters.
	wanting chan struct{}
	// decide is true when a step since the last decisions may change them.
	// Only the loop's goroutine touches it.
	decide bool
	// ended is closed when Run returns; nothing is decided from then on.
	ended chan struct{}
	// waiting holds each job that was offered and has neither started nor
	// been refused. Only the loop's goroutine touches it.
	waiting map[string]*pending
	// cut holds the fingerprints of streams that the upstream cut at about
	// the same time, since cutAt.
	cut   []uint64
	cutAt magno.Millis
	// loading ends the wait of Load; nil when nothing waits.
	loading chan struct{}
	// orders counts load and unload goroutines that have not reported;
	// ordersAt is when the last one did.
	orders   int
	ordersAt magno.Millis
	// loads counts those that are loads.
	loads int
	// backlog is the scheduler's latest, for readers on other goroutines.
	backlog atomic.Pointer[magno.Backlog]
}

// pending is a job on its way to a start.
type pending struct {
	ref magno.Ref
	// offered is when it came; loaded when its adapter was there, zero while
	// it isn't.
	offered, loaded magno.Millis
	// verdict takes exactly one value.
	verdict chan verdict
}

// verdict ends the wait of a job: it may start unless refusal is set.
type verdict struct {
	refusal *magno.Refusal
	// queue is the whole wait, stall the part of it that the adapter's load
	// took.
	queue, stall magno.Millis
}

// New returns a loop ready for its fields.
func New() *Loop {
	return &Loop{
		limit:   orderLimit,
		ring:    make(chan func(), ringSize),
		wanting: make(chan struct{}, 1),
		ended:   make(chan struct{}),
		waiting: map[string]*pending{},
	}
}

// note hands over a step after which nothing need be decided. Tokens come by
// the thousand a second, and deciding after each cost more than the tokens.
func (l *Loop) note(step func()) {
	select {
	case l.ring <- step:
	case <-l.ended:
	}
}

// post hands a step to the loop's goroutine; false means that it has ended.
func (l *Loop) post(step func()) bool {
	select {
	case l.ring <- func() { step(); l.decide = true }:
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
	timer := time.NewTimer(tick.Span())
	defer timer.Stop()
	for {
		var due <-chan time.Time
		if len(l.waiting) > 0 || len(l.cut) > 0 {
			timer.Reset(tick.Span())
			due = timer.C
		}
		select {
		case <-ctx.Done():
			l.finish()
			return nil
		case step := <-l.ring:
			step()
		case <-due:
			l.decide = true
		}
		l.more()
		if !l.decide {
			continue
		}
		l.decide = false
		l.suspect()
		l.carry(ctx)
	}
}

// more takes what else is in the ring, so that decisions are made on all that
// is known and a burst costs one pass.
func (l *Loop) more() {
	for range len(l.ring) {
		step := <-l.ring
		step()
	}
}

func (l *Loop) finish() {
	for l.orders > 0 {
		step := <-l.ring
		step()
	}
	for id := range l.waiting {
		l.tell(id, stopped())
	}
}

func stopped() *magno.Refusal {
	return magno.Refuse(magno.KindLeaving, "the agent has ended").Later(magno.Second)
}

// carry carries out what the scheduler wants done.
func (l *Loop) carry(ctx context.Context) {
	for _, order := range l.Sched.Next() {
		switch order.Kind {
		case magno.OrderStart:
			l.tell(order.Job.ID, nil)
		case magno.OrderRefuse:
			l.tell(order.Job.ID, order.Refusal)
		case magno.OrderLoad:
			l.order(ctx, order)
		case magno.OrderUnload:
			l.order(ctx, order)
		}
	}
	backlog := l.Sched.Backlog()
	l.backlog.Store(&backlog)
	if backlog.Loads > 0 {
		select {
		case l.wanting <- struct{}{}:
		default:
		}
	}
}

func (l *Loop) tell(id string, refusal *magno.Refusal) {
	p, ok := l.waiting[id]
	if !ok {
		return
	}
	delete(l.waiting, id)
	v := verdict{refusal: refusal, queue: l.Clock.Now() - p.offered}
	if p.loaded > 0 {
		v.stall = p.loaded - p.offered
	}
	p.verdict <- v
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
		result, err := l.once(ctx, w, v, emit)
		refusal, ok := err.(*magno.Refusal) //nolint:errorlint // once returns it bare
		if !ok || refusal.Kind != magno.KindLoading || refusal.Run != magno.RunNo || try == restarts || ctx.Err() != nil {
			return result, err
		}
		// The upstream no longer has the adapter: it restarted, and the probe
		// has not noticed yet. It did not begin, so the job may wait again.
		l.Events.Add("again", id, "reason="+string(refusal.Kind))
		w.Job.ID = fmt.Sprintf("%s.%d", id, try)
	}
}

// once runs work that may start.
func (l *Loop) once(ctx context.Context, w magno.Work, v verdict, emit func(magno.Piece)) (magno.Result, error) {
	l.Events.Add("start", w.Job.ID, fmt.Sprintf("ref=%s queue=%d stall=%d", w.Job.Ref, v.queue, v.stall))
	result, err := l.Upstream.Run(ctx, w, func(p magno.Piece) {
		l.note(func() { l.Sched.Tokens(w.Job.ID, p.Tokens) })
		emit(p)
	})
	result.Queue = v.queue
	result.Stall = v.stall
	if err == nil && result.Ref != w.Job.Ref {
		err = magno.Refuse(magno.KindInternal, "the upstream ran %s instead of %s", result.Ref, w.Job.Ref).Ran(magno.RunYes)
	}
	l.post(func() { l.done(w.Job, err) })
	l.Events.Add("ended", w.Job.ID, fmt.Sprintf("ok=%t tokens=%d", err == nil, result.Output))
	return result, err
}

// done ends a job that was started.
func (l *Loop) done(job magno.Job, err error) {
	l.Sched.Done(job.ID, err == nil)
	refusal, ok := err.(*magno.Refusal) //nolint:errorlint // once gives it bare
	if !ok || refusal.Kind != magno.KindInterrupted || job.Print == 0 {
		return
	}
	if len(l.cut) == 0 {
		l.cutAt = l.Clock.Now()
	}
	l.cut = append(l.cut, job.Print)
}

// suspect takes all streams that were cut together for suspects of one crash.
// The probe would tell of the restart too late: by then the callers' second
// attempts have crashed another upstream.
func (l *Loop) suspect() {
	if len(l.cut) == 0 || l.Clock.Now() < l.cutAt+cutSpan {
		return
	}
	if l.Suspects != nil {
		l.Suspects.RecordCrash(l.cut)
	}
	l.Events.Add("suspect", "", fmt.Sprintf("streams=%d", len(l.cut)))
	l.cut = nil
}

// offer waits until the job may start or is refused.
func (l *Loop) offer(ctx context.Context, job magno.Job) verdict {
	p := &pending{ref: job.Ref, verdict: make(chan verdict, 1)}
	if !l.post(func() { l.take(job, p) }) {
		return verdict{refusal: stopped()}
	}
	select {
	case v := <-p.verdict:
		return v
	case <-l.ended:
		return l.last(p)
	case <-ctx.Done():
	}
	l.post(func() {
		if l.waiting[job.ID] == p {
			l.Sched.Cancel(job.ID)
			l.tell(job.ID, magno.Refuse(magno.KindCancelled, "the caller went away").Ran(magno.RunNo))
		}
	})
	select {
	case v := <-p.verdict:
		return v
	case <-l.ended:
		return l.last(p)
	}
}

// last is the verdict of a job when the loop has ended: what it was told, or
// else that it will not run.
func (l *Loop) last(p *pending) verdict {
	select {
	case v := <-p.verdict:
		return v
	default:
		return verdict{refusal: stopped()}
	}
}

// take offers a job to the scheduler.
func (l *Loop) take(job magno.Job, p *pending) {
	if l.waiting[job.ID] != nil {
		// A peer that sends one attempt twice would leave the first without a
		// verdict, waiting until the loop ends.
		refusal := magno.Refuse(magno.KindInternal, "the attempt %s waits here already", job.ID)
		p.verdict <- verdict{refusal: refusal.Ran(magno.RunNo)}
		return
	}
	p.offered = l.Clock.Now()
	l.waiting[job.ID] = p
	if refusal := l.Sched.Offer(job); refusal != nil {
		l.tell(job.ID, refusal)
	}
}

// arrived notes when the jobs that wait for ref got it: from here on they
// wait for a place, which is no load stall.
func (l *Loop) arrived(ref magno.Ref) {
	for _, p := range l.waiting {
		if p.ref == ref && p.loaded == 0 {
			p.loaded = l.Clock.Now()
		}
	}
}
