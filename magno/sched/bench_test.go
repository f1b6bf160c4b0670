package sched

import (
	"fmt"
	"testing"

	"magnoliastall.example/magno"
)

// BenchmarkDecide measures the life of one job: Offer, Next and Done, on an
// upstream that has seen requests for that many adapters. In the case "full"
// three jobs of four come too many and the queue stands at its bound.
func BenchmarkDecide(b *testing.B) {
	for _, tt := range []struct{ adapters, every int }{{3000, 1}, {130000, 1}, {3000, 4}, {130000, 4}} {
		name := fmt.Sprintf("adapters=%d/full=%v", tt.adapters, tt.every > 1)
		b.Run(name, func(b *testing.B) {
			d := newDesk(tt.adapters)
			d.every = tt.every
			for range 5000 {
				d.job()
			}
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				d.job()
			}
			b.ReportMetric(float64(d.s.queue.Len()), "queued")
		})
	}
}

// BenchmarkCold measures offers that are each for another adapter while no
// load ends: the most adapters that can be waited for are.
func BenchmarkCold(b *testing.B) {
	d := newDesk(130000)
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

// BenchmarkBacklog measures the report that rides on each answer.
func BenchmarkBacklog(b *testing.B) {
	d := newDesk(3000)
	d.every = 1
	for range 5000 {
		d.job()
	}
	b.ReportAllocs()
	for b.Loop() {
		d.s.Backlog()
	}
}

// desk sends jobs to a scheduler and ends them in order.
type desk struct {
	clock   *magno.Clock
	s       *Sched
	refs    []magno.Ref
	ids     []string
	running []string
	n       int
	// every is how many jobs are offered for each that ends.
	every int
}

func newDesk(adapters int) *desk {
	clock := magno.NewClock(1_000_000)
	d := &desk{clock: clock, s: &Sched{Clock: clock,
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

// job offers one job, half of them for eight adapters and half for any, and
// carries out what the scheduler wants.
func (d *desk) job() {
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
	if d.n%d.every == 0 && len(d.running) > 8 {
		d.s.Done(d.running[0], true)
		d.running = d.running[1:]
	}
}
