package sched

import (
	"fmt"
	"testing"

	"magnoliastall.example/magno"
)

// BenchmarkDecide measures Offer, Next and Done for one job, on an upstream that has
// had requests for the given number of adapters. In the cases with full=true, four
// jobs are offered for each that ends, and the queue stays at its bound.
func BenchmarkDecide(b *testing.B) {
	for _, tt := range []struct{ adapters, every int }{{3000, 1}, {130000, 1}, {3000, 4}, {130000, 4}} {
		name := fmt.Sprintf("adapters=%d/full=%v", tt.adapters, tt.every > 1)
		b.Run(name, func(b *testing.B) {
			d := newBenchDriver(tt.adapters)
			d.offersPerDone = tt.every
			for range 5000 {
				d.cycle()
			}
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				d.cycle()
			}
			b.ReportMetric(float64(d.s.queue.Len()), "queued")
		})
	}
}

// BenchmarkCold measures offers that each need another adapter while no load ends,
// so that as many loads are pending as admission allows.
func BenchmarkCold(b *testing.B) {
	d := newBenchDriver(130000)
	offer := func() {
		d.n++
		d.clock.Advance(1)
		now := d.clock.Now()
		_ = d.s.Offer(magno.Job{ID: d.ids[d.n%len(d.ids)], Customer: "a", Caller: d.ids[d.n%50], Output: 200,
			Ref: d.refs[d.n%len(d.refs)], Arrived: now, Deadline: now + magno.Hour})
		d.s.Next()
	}
	for range 2000 {
		offer()
	}
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		offer()
	}
	b.ReportMetric(float64(d.s.queue.Unready()), "wanted")
}

// BenchmarkBacklog measures the report that is sent with each answer.
func BenchmarkBacklog(b *testing.B) {
	d := newBenchDriver(3000)
	d.offersPerDone = 1
	for range 5000 {
		d.cycle()
	}
	b.ReportAllocs()
	for b.Loop() {
		d.s.Backlog()
	}
}

// benchDriver offers jobs to a scheduler and ends the started ones in order.
type benchDriver struct {
	clock   *magno.Clock
	s       *Sched
	refs    []magno.Ref
	ids     []string
	running []string
	n       int
	// offersPerDone is the number of jobs offered for each one that ends.
	offersPerDone int
}

func newBenchDriver(adapters int) *benchDriver {
	clock := magno.NewClock(1_000_000)
	d := &benchDriver{clock: clock, s: &Sched{Clock: clock,
		Limits: magno.Limits{Slots: 8, Batch: 16, Tokens: 64, Step: 10, Load: 300}}}
	d.refs = make([]magno.Ref, adapters)
	for i := range d.refs {
		d.refs[i] = magno.Ref{Adapter: fmt.Sprintf("ad%d", i), Version: "1"}
	}
	d.ids = make([]string, 1<<16)
	for i := range d.ids {
		d.ids[i] = fmt.Sprint(i)
	}
	return d
}

// cycle offers one job and carries out the scheduler's orders. Half of the jobs use
// one of eight adapters, the other half any adapter.
func (d *benchDriver) cycle() {
	d.n++
	d.clock.Advance(1)
	ref := d.refs[d.n%8]
	if d.n%2 == 0 {
		ref = d.refs[(d.n*7919)%len(d.refs)]
	}
	now := d.clock.Now()
	_ = d.s.Offer(magno.Job{ID: d.ids[d.n%len(d.ids)], Customer: "abc"[d.n%3 : d.n%3+1], Caller: d.ids[d.n%50],
		Urgency: d.n % 10, Stall: 0.5, Prompt: 1000, Output: 200, Ref: ref, Arrived: now, Deadline: now + magno.Minute})
	for _, o := range d.s.Next() {
		switch o.Kind {
		case magno.OrderStart:
			d.running = append(d.running, o.Job.ID)
		case magno.OrderLoad:
			d.s.Loaded(o.Ref, true)
		case magno.OrderUnload:
			d.s.Unloaded(o.Ref)
		}
	}
	if d.n%d.offersPerDone == 0 && len(d.running) > 8 {
		d.s.Done(d.running[0], true)
		d.running = d.running[1:]
	}
}
