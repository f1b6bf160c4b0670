package sched

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"magnoliastall.example/magno"
)

const (
	testStep = 10 * magno.Millis(1)
	// capacity is the number of jobs per second, of one second each, that the test
	// engine can complete.
	capacity = 8
)

// engine simulates one upstream under a scheduler. Each running job generates one
// token per step, and a load takes 300 ms. It records the results by caller.
type engine struct {
	clock      *magno.Clock
	s          *Sched
	rand       *rand.Rand
	stepFactor int
	running    []*testRun
	load       magno.Ref
	loadEnd    magno.Millis
	loads      map[magno.Ref]int
	n          int
	// latencies holds the latencies of answers within their deadline by caller, late
	// counts admitted jobs that missed it, and refused those that were not admitted.
	latencies    map[string][]magno.Millis
	offered      map[string]int
	late         int
	lateByCaller map[string]int
	refused      map[magno.Kind]int
}

type testRun struct {
	job  magno.Job
	left int
}

func newEngine(slots int) *engine {
	clock := magno.NewClock(1_000_000)
	return &engine{clock: clock, rand: rand.New(rand.NewPCG(1, 1)), stepFactor: 1,
		s: &Sched{Clock: clock, Limits: magno.Limits{
			Slots: slots, Batch: capacity, Tokens: 64, Step: testStep, Load: 300}},
		loads: map[magno.Ref]int{}, latencies: map[string][]magno.Millis{},
		offered: map[string]int{}, lateByCaller: map[string]int{}, refused: map[magno.Kind]int{}}
}

// job returns a job of one caller that runs for a second.
func job(caller string, adapter int) magno.Job {
	return magno.Job{Customer: "b", Caller: caller, Output: 99, Stall: 0.5,
		Ref: magno.Ref{Adapter: fmt.Sprintf("ad%d", adapter), Version: "1"}}
}

func (e *engine) offer(j magno.Job, patience magno.Millis) {
	e.n++
	e.offered[j.Caller]++
	j.ID = fmt.Sprint(e.n)
	j.Arrived = e.clock.Now()
	j.Deadline = j.Arrived + patience
	if r := e.s.Offer(j); r != nil {
		e.refused[r.Kind]++
	}
}

// simulate runs the engine for length and calls arrive before each step.
func (e *engine) simulate(length magno.Millis, arrive func()) {
	for end := e.clock.Now() + length; e.clock.Now() < end; {
		arrive()
		e.applyOrders()
		e.clock.Advance(testStep * magno.Millis(e.stepFactor))
		e.step()
	}
}

func (e *engine) applyOrders() {
	for _, o := range e.s.Next() {
		switch o.Kind {
		case magno.OrderStart:
			e.running = append(e.running, &testRun{o.Job, o.Job.Output + 1})
		case magno.OrderLoad:
			e.load, e.loadEnd = o.Ref, e.clock.Now()+300
			e.loads[o.Ref]++
		case magno.OrderUnload:
			e.s.Unloaded(o.Ref)
		case magno.OrderRefuse:
			e.late++
			e.lateByCaller[o.Job.Caller]++
		}
	}
}

func (e *engine) step() {
	now := e.clock.Now()
	if e.loadEnd != 0 && now >= e.loadEnd {
		e.loadEnd = 0
		e.s.Loaded(e.load, true)
	}
	e.running = slices.DeleteFunc(e.running, func(r *testRun) bool {
		r.left--
		if r.left < r.job.Output { // the first step reads the prompt
			e.s.Tokens(r.job.ID, 1)
		}
		if r.left > 0 {
			return false
		}
		e.s.Done(r.job.ID, true)
		if now > r.job.Deadline {
			e.late++
			e.lateByCaller[r.job.Caller]++
		} else {
			e.latencies[r.job.Caller] = append(e.latencies[r.job.Caller], now-r.job.Arrived)
		}
		return true
	})
}

// poisson returns a function, to be called before each step, that calls arrive at
// random, rate times per second on average.
func (e *engine) poisson(rate float64, arrive func()) func() {
	return func() {
		for range 3 {
			if e.rand.Float64() < rate/3*float64(testStep)*float64(e.stepFactor)/1000 {
				arrive()
			}
		}
	}
}

func (e *engine) inTime() int {
	n := 0
	for _, took := range e.latencies {
		n += len(took)
	}
	return n
}

func p95(took []magno.Millis) magno.Millis {
	took = slices.Sorted(slices.Values(took))
	return took[len(took)*95/100]
}

// Jobs arrive at three times the engine's capacity for five minutes. The excess must
// be refused on arrival: nearly as many jobs must end in time as at capacity, and
// at most one in a hundred admitted jobs may be late.
func TestOverload(t *testing.T) {
	run := func(rate float64) *engine {
		e := newEngine(8)
		e.simulate(5*magno.Minute, e.poisson(rate, func() {
			e.offer(job(fmt.Sprint(e.rand.IntN(20)), e.rand.IntN(6)), 10*magno.Second)
		}))
		return e
	}
	full, over := run(capacity), run(3*capacity)
	if over.inTime()*100 < full.inTime()*95 {
		t.Errorf("%d answers in time at three times the capacity, %d at capacity", over.inTime(), full.inTime())
	}
	if admitted := over.inTime() + over.late; over.late*100 > admitted {
		t.Errorf("%d of %d admitted jobs were late", over.late, admitted)
	}
}

// For five seconds of each minute jobs arrive at twice the engine's capacity, and
// otherwise below it. All can end in time, so none may be refused and at most one in
// a hundred may be late.
func TestBurst(t *testing.T) {
	e := newEngine(8)
	offer := func() { e.offer(job(fmt.Sprint(e.rand.IntN(20)), e.rand.IntN(6)), 20*magno.Second) }
	for range 5 {
		e.simulate(5*magno.Second, e.poisson(2*capacity, offer))
		e.simulate(55*magno.Second, e.poisson(0.6*capacity, offer))
	}
	if e.late*100 > e.inTime() || len(e.refused) > 0 {
		t.Errorf("%d in time, %d late, refused %v", e.inTime(), e.late, e.refused)
	}
}

// One caller sends ten times as much as each of the others. The others' answers and
// latencies must hardly change, and the hot caller must get refusals of the kind
// for callers over their share.
func TestHotCaller(t *testing.T) {
	run := func(hot float64) (e *engine, others []magno.Millis, offered int) {
		e = newEngine(8)
		normal := e.poisson(0.7*capacity, func() { e.offer(job(fmt.Sprint(e.rand.IntN(10)), e.rand.IntN(6)), 10*magno.Second) })
		excess := e.poisson(hot, func() { e.offer(job("hot", e.rand.IntN(6)), 10*magno.Second) })
		e.simulate(5*magno.Minute, func() { normal(); excess() })
		for caller, took := range e.latencies {
			if caller != "hot" {
				others = append(others, took...)
				offered += e.offered[caller]
			}
		}
		return e, others, offered
	}
	_, before, _ := run(0)
	e, after, offered := run(0.7 * capacity)
	if len(after)*100 < offered*97 {
		t.Errorf("the other callers got %d answers to %d requests", len(after), offered)
	}
	if e.refused[magno.KindShare] == 0 || len(e.latencies["hot"]) == 0 {
		t.Errorf("hot caller: %d answers, refused %v", len(e.latencies["hot"]), e.refused)
	}
	if a, b := p95(after), p95(before); a > b+magno.Second {
		t.Errorf("p95 latency of the other callers went from %d to %d ms", b, a)
	}
}

// Jobs of twenty times the usual length arrive among short ones and could occupy the
// whole batch. Short jobs must not wait for a long one to end, and long jobs must
// still be served.
func TestLongAmongShort(t *testing.T) {
	e := newEngine(8)
	short := e.poisson(2, func() { e.offer(job("short", e.rand.IntN(4)), 10*magno.Second) })
	long := e.poisson(0.35, func() {
		j := job("long", e.rand.IntN(4))
		j.Output *= 20
		e.offer(j, 3*magno.Minute)
	})
	e.simulate(10*magno.Minute, func() { short(); long() })
	if got := p95(e.latencies["short"]); got > 4*magno.Second {
		t.Errorf("p95 latency of short jobs is %d ms; a long job runs for 20000 ms", got)
	}
	if len(e.latencies["long"]) < 100 {
		t.Errorf("%d long jobs served, refused %v, late %d", len(e.latencies["long"]), e.refused, e.late)
	}
}

// Steps become four times as long, and the limits that the engine reports do not
// change. Admission must adapt to the observed run times; otherwise all admitted
// jobs would be late.
func TestSlowEngine(t *testing.T) {
	e := newEngine(8)
	offer := func() { e.offer(job(fmt.Sprint(e.rand.IntN(20)), e.rand.IntN(6)), 20*magno.Second) }
	e.simulate(magno.Minute, e.poisson(0.8*capacity, offer))
	e.stepFactor = 4
	e.simulate(30*magno.Second, e.poisson(0.8*capacity, offer))
	good, late := e.inTime(), e.late
	e.simulate(5*magno.Minute, e.poisson(0.8*capacity, offer))
	good, late = e.inTime()-good, e.late-late
	if late*20 > good || good < 300 {
		t.Errorf("with slow steps: %d in time, %d late, refused %v", good, late, e.refused)
	}
}

// Two adapters, as many as there are slots, have jobs at twice the engine's capacity,
// and now and then a job arrives for a third adapter. Most of the latter must be
// served and the rest refused on arrival; otherwise the adapters in demand would
// keep all others out.
func TestColdAdapterAmongHotOnes(t *testing.T) {
	e := newEngine(2)
	hot := e.poisson(2*capacity, func() { e.offer(job(fmt.Sprint(e.rand.IntN(9)), e.rand.IntN(2)), 10*magno.Second) })
	e.simulate(20*magno.Second, hot)
	for range 10 {
		e.offer(job("cold", 7), 30*magno.Second)
		e.simulate(30*magno.Second, hot)
	}
	if got := len(e.latencies["cold"]); got < 6 {
		t.Errorf("%d of 10 jobs of the third adapter ended in time, refused %v", got, e.refused)
	}
	if n := e.lateByCaller["cold"]; n > 0 {
		t.Errorf("%d jobs of the third adapter were late", n)
	}
}

// An adapter without earlier demand becomes the one with the most. It may be evicted
// during the first seconds, while its recorded demand is below the others'. After
// that it must stay loaded, and its jobs must wait at most for a load and a place.
func TestHotKey(t *testing.T) {
	e := newEngine(4)
	tail := e.poisson(0.4*capacity, func() { e.offer(job("tail", e.rand.IntN(12)), 20*magno.Second) })
	e.simulate(magno.Minute, tail)
	key := e.poisson(0.4*capacity, func() { e.offer(job("key", 99), 20*magno.Second) })
	hot := magno.Ref{Adapter: "ad99", Version: "1"}
	e.simulate(15*magno.Second, func() { tail(); key() })
	before := e.loads[hot]
	e.simulate(2*magno.Minute, func() { tail(); key() })
	if n := e.loads[hot]; n != before || n > 4 {
		t.Errorf("the hot adapter was loaded %d times, %d of them in the first 15 s", n, before)
	}
	if got := p95(e.latencies["key"]); got > 3*magno.Second {
		t.Errorf("p95 latency of the hot adapter's jobs is %d ms", got)
	}
}
