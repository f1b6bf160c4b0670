package keep

import (
	"context"
	"log/slog"
	"time"

	"magnoliastall.example/magno"
)

const (
	// reportInterval is how often the engine is asked for its state; that is free
	// from its own machine, and costs a third of a millisecond here.
	reportInterval = 100 * magno.Millis(1)
	// waitingReportInterval is the same while requests wait, mostly for an adapter that
	// takes 250 ms: they begin that much later than it came.
	waitingReportInterval = 30 * magno.Millis(1)
	// engineTimeout bounds a call of the engine. It answers within a few
	// milliseconds, or is dark.
	engineTimeout = 300 * magno.Millis(1)
	// downAfter is how many reports in a row must fail until the engine counts
	// as down: one may meet a full queue of new connections.
	downAfter = 2
	// fenceStep is by how much a fence is raised that the engine calls too
	// low; it doubles with each refusal that follows.
	fenceStep = 1000
)

// engineClient is what the goroutine that speaks to the engine knows.
type engineClient struct {
	*Controller
	fence  int64
	step   int64
	misses int
}

// serveEngine asks for reports and gives orders until ctx ends.
func (k *Controller) serveEngine(ctx context.Context) {
	s := &engineClient{Controller: k, fence: k.Fence, step: fenceStep}
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
		timer.Reset(wait.Span())
	}
}

// report brings the engine's state to the gate.
func (s *engineClient) report(ctx context.Context) {
	asked := s.Clock.Now()
	call, cancel := context.WithTimeout(ctx, engineTimeout.Span())
	defer cancel()
	r, err := s.Engine.Report(call)
	if ctx.Err() != nil {
		return
	}
	if err != nil {
		s.misses++
		if s.misses == downAfter {
			s.Log.Warn("engine down", "error", err, "misses", s.misses)
			s.post(ctx, func() { s.down = true })
		}
		return
	}
	back := s.misses >= downAfter
	s.misses = 0
	if back {
		s.Log.Info("engine back", "born", r.Born)
	}
	s.post(ctx, func() { s.applyReport(r, asked) })
}

// applyReport brings a report to the gate; it runs on the gate's goroutine.
func (k *Controller) applyReport(r *magno.Report, asked magno.Millis) {
	if k.engineStart != r.Born {
		k.Log.Info("engine", "born", r.Born, "before", k.engineStart, "models", len(r.Held))
	}
	k.engineStart, k.reportAskedAt, k.down = r.Born, asked, false
	k.gate.ApplyReport(r, asked)
}

// order gives one command and tells the gate what became of it.
func (s *engineClient) order(ctx context.Context, c magno.Command) {
	on := s.basis(ctx)
	c.Replica, c.Holder, c.Fence = on.id, s.Self, s.fence
	call, cancel := context.WithTimeout(ctx, engineTimeout.Span())
	defer cancel()
	o, err := s.Engine.Order(call, c)
	level := slog.LevelInfo
	if err != nil || o == magno.OrderFenced {
		level = slog.LevelWarn
	}
	s.Log.Log(ctx, level, "order", "load", c.Load, "model", c.Model, "adapter", c.Adapter, "version", c.Version,
		"fence", c.Fence, "outcome", o, "error", err, "age", on.age, "rev", on.revision)
	if o == magno.OrderFenced {
		// Another start of this process, with a clock ahead of ours, gave
		// orders. Only a higher fence is heard again.
		s.fence += s.step
		s.step *= 2
	}
	s.stats.orders.Inc()
	at := s.Clock.Now()
	s.post(ctx, func() { s.gate.ApplyOutcome(c, o, at) })
}

// basis is what an order rests on: the incarnation that it is for, with the
// revision that told it, and how old the engine's last report is.
type basis struct {
	id       string
	revision int64
	age      magno.Millis
}

// basis asks the gate's goroutine.
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
