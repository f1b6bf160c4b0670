package keep

import (
	"context"
	"log/slog"
	"time"

	"magnoliastall.example/magno"
)

const (
	// reportInterval is the interval of reports. A report is free when it is requested from the
	// engine's own machine, and takes a third of a millisecond of this process.
	reportInterval = 100 * magno.Millis(1)
	// waitingReportInterval is the interval while requests wait, mostly for an adapter that takes
	// 250 ms to load. It is also the longest delay between the end of the load and their start.
	waitingReportInterval = 30 * magno.Millis(1)
	// engineTimeout bounds a call to the engine, which answers within a few milliseconds or not at
	// all.
	engineTimeout = 300 * magno.Millis(1)
	// downAfter is the number of consecutive reports that must fail before the engine counts as
	// down. A single one may fail because the queue of new connections is full.
	downAfter = 2
	// fenceStep is by how much the fencing token is raised when the engine refuses it as too low.
	// It doubles with each further refusal.
	fenceStep = 1000
)

// engineClient is the state of the goroutine that communicates with the engine.
type engineClient struct {
	*Controller
	fence          int64
	fenceIncrement int64
	misses         int
}

// serveEngine fetches reports and sends orders until ctx is done.
func (k *Controller) serveEngine(ctx context.Context) {
	s := &engineClient{Controller: k, fence: k.Fence, fenceIncrement: fenceStep}
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case list := <-k.commands:
			for _, c := range list {
				s.order(ctx, c)
			}
			k.post(ctx, func() { k.sending = false })
		case <-timer.C:
		}
		s.report(ctx)
		wait := reportInterval
		if s.hasWaiting.Load() {
			wait = waitingReportInterval
		}
		timer.Reset(wait.Duration())
	}
}

// report fetches a report from the engine and passes it to the gate.
func (s *engineClient) report(ctx context.Context) {
	requestedAt := s.Clock.Now()
	call, cancel := context.WithTimeout(ctx, engineTimeout.Duration())
	defer cancel()
	r, err := s.Engine.Report(call)
	if ctx.Err() != nil {
		return
	}
	if err != nil {
		s.misses++
		if s.misses == downAfter {
			s.Log.Warn("engine down", "error", err, "misses", s.misses)
			s.post(ctx, func() {
				s.down = true
				s.refuseWaiting("the engine doesn't answer")
			})
		}
		return
	}
	back := s.misses >= downAfter
	s.misses = 0
	if back {
		s.Log.Info("engine back", "born", r.StartedAt)
	}
	s.post(ctx, func() { s.applyReport(r, requestedAt) })
}

// applyReport passes a report to the gate. It runs on the gate's goroutine.
func (k *Controller) applyReport(r *magno.Report, requestedAt magno.Millis) {
	if k.engineStart != r.StartedAt {
		k.Log.Info("engine", "born", r.StartedAt, "before", k.engineStart, "models", len(r.Loaded))
	}
	k.engineStart, k.reportAskedAt, k.down = r.StartedAt, requestedAt, false
	was := k.gate.Limit()
	k.gate.ApplyReport(r, requestedAt)
	if k.isSuperseded() {
		k.refuseWaiting("a later incarnation is here, started at %d", k.engineStart)
	}
	k.recordRate(k.gate.PrefillRate())
	if is := k.gate.Limit(); is != nil && (was == nil || was.Limited != is.Limited || was.Rate != is.Rate) {
		k.logLimit("")
	}
}

// order sends one command to the engine and passes the outcome to the gate.
func (s *engineClient) order(ctx context.Context, c magno.Command) {
	b := s.basis(ctx)
	c.Replica, c.Holder, c.Fence = b.id, s.Self, s.fence
	call, cancel := context.WithTimeout(ctx, engineTimeout.Duration())
	defer cancel()
	o, err := s.Engine.Order(call, c)
	level := slog.LevelInfo
	if err != nil || o == magno.OrderFenced {
		level = slog.LevelWarn
	}
	s.Log.Log(ctx, level, "order", "load", c.Load, "model", c.Model, "adapter", c.Adapter, "version", c.Version,
		"fence", c.Fence, "outcome", o, "error", err, "age", b.age, "rev", b.revision)
	if o == magno.OrderFenced {
		// An earlier start of this process, with its clock ahead, sent orders. The engine accepts
		// only a higher fencing token.
		s.fence += s.fenceIncrement
		s.fenceIncrement *= 2
	}
	s.stats.orders.Inc()
	at := s.Clock.Now()
	s.post(ctx, func() { s.gate.ApplyOutcome(c, o, at) })
}

// basis is the data that an order is based on: the ID of the incarnation that it is for, the
// revision of the spec that has it, and the age of the engine's latest report.
type basis struct {
	id       string
	revision magno.Revision
	age      magno.Millis
}

// basis reads the current basis on the gate's goroutine.
func (s *engineClient) basis(ctx context.Context) basis {
	ch := make(chan basis, 1)
	if !s.post(ctx, func() { ch <- basis{s.gate.Spec().ID, s.specRevision, s.reportAge()} }) {
		return basis{}
	}
	select {
	case b := <-ch:
		return b
	case <-ctx.Done():
		return basis{}
	}
}
