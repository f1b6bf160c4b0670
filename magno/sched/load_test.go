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
	// capacity is how many jobs of a second each the test engine ends in a
	// second.
	capacity = 8
)

// engine is one upstream under a scheduler: places that make a token a step,
// and loads that take their time. It keeps what each caller received.
type engine struct {
	clock   *magno.Clock
	s       *Sched
	rand    *rand.Rand
	factor  int
	running []*testRun
	load    magno.Ref
	loadEnd magno.Millis
	loads   map[magno.Ref]int
	n       int
	// took holds the times of answers within their deadline by caller, late
	// counts admitted jobs that missed it, refused those never admitted.
	took    map[string][]magno.Millis
	offered map[string]int
	late    int
	lateOf  map[string]int
	refused map[magno.Kind]int
}

type testRun struct {
	job  magno.Job
	left int
}

func newEngine(slots int) *engine {
	clock := magno.NewClock(1_000_000)
	return &engine{clock: clock, rand: rand.New(rand.NewPCG(1, 1)), factor: 1,
		s: &Sched{Clock: clock, Limits: magno.Limits{
			Slots: slots, Batch: capacity, Tokens: 64, Step: testStep, Load: 300}},
		loads: map[magno.Ref]int{}, took: map[string][]magno.Millis{},
		offered: map[string]int{}, lateOf: map[string]int{}, refused: map[magno.Kind]int{}}
}

// job is a second of work of one caller.
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

// play runs for that long; arrive is called before each step.
func (e *engine) play(length magno.Millis, arrive func()) {
	for end := e.clock.Now() + length; e.clock.Now() < end; {
		arrive()
		e.carryOut()
		e.clock.Advance(testStep * magno.Millis(e.factor))
		e.step()
	}
}

func (e *engine) carryOut() {
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
			e.lateOf[o.Job.Caller]++
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
		if r.left < r.job.Output { // the first step read the prompt
			e.s.Tokens(r.job.ID, 1)
		}
		if r.left > 0 {
			return false
		}
		e.s.Done(r.job.ID, true)
		if now > r.job.Deadline {
			e.late++
			e.lateOf[r.job.Caller]++
		} else {
			e.took[r.job.Caller] = append(e.took[r.job.Caller], now-r.job.Arrived)
		}
		return true
	})
}

// poisson calls arrive at rate a second on the average.
func (e *engine) poisson(rate float64, arrive func()) func() {
	return func() {
		for range 3 {
			if e.rand.Float64() < rate/3*float64(testStep)*float64(e.factor)/1000 {
				arrive()
			}
		}
	}
}

func (e *engine) good() int {
	n := 0
	for _, took := range e.took {
		n += len(took)
	}
	return n
}

func p95(took []magno.Millis) magno.Millis {
	took = slices.Sorted(slices.Values(took))
	return took[len(took)*95/100]
}

// Three times as much work comes as the engine can do, for five minutes.
// Callers must be told at once, and those who were not must get their answers
// in time, as many as when just enough work comes.
func TestOverload(t *testing.T) {
	run := func(rate float64) *engine {
		e := newEngine(8)
		e.play(5*magno.Minute, e.poisson(rate, func() {
			e.offer(job(fmt.Sprint(e.rand.IntN(20)), e.rand.IntN(6)), 10*magno.Second)
		}))
		return e
	}
	full, over := run(capacity), run(3*capacity)
	if over.good()*100 < full.good()*95 {
		t.Errorf("%d answers in time under overload, %d at capacity", over.good(), full.good())
	}
	if admitted := over.good() + over.late; over.late*100 > admitted {
		t.Errorf("%d of %d admitted were late", over.late, admitted)
	}
}

// A burst of three times the rate comes for five seconds of each minute. Only
// what can't be done in time may be refused, and nobody may be late.
func TestBurst(t *testing.T) {
	e := newEngine(8)
	offer := func() { e.offer(job(fmt.Sprint(e.rand.IntN(20)), e.rand.IntN(6)), 20*magno.Second) }
	for range 5 {
		e.play(5*magno.Second, e.poisson(2*capacity, offer))
		e.play(55*magno.Second, e.poisson(0.6*capacity, offer))
	}
	if e.late*100 > e.good() || len(e.refused) > 0 {
		t.Errorf("%d in time, %d late, refused %v", e.good(), e.late, e.refused)
	}
}

// One caller begins to send ten times its share. The others must hardly
// notice, and refusals must say whose fault it is.
func TestHotCaller(t *testing.T) {
	run := func(hot float64) (e *engine, others []magno.Millis, offered int) {
		e = newEngine(8)
		calm := e.poisson(0.7*capacity, func() { e.offer(job(fmt.Sprint(e.rand.IntN(10)), e.rand.IntN(6)), 10*magno.Second) })
		heat := e.poisson(hot, func() { e.offer(job("hot", e.rand.IntN(6)), 10*magno.Second) })
		e.play(5*magno.Minute, func() { calm(); heat() })
		for caller, took := range e.took {
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
		t.Errorf("the others got %d answers to %d requests", len(after), offered)
	}
	if e.refused[magno.KindShare] == 0 || len(e.took["hot"]) == 0 {
		t.Errorf("hot caller: %d answers, refused %v", len(e.took["hot"]), e.refused)
	}
	if a, b := p95(after), p95(before); a > b+magno.Second {
		t.Errorf("p95 of the others went from %d to %d ms", b, a)
	}
}

// Timetable drafts of twenty times the length come among advisor questions
// and would fill the batch. Questions must not wait for a draft to end, and
// drafts must be served as well.
func TestLongAmongShort(t *testing.T) {
	e := newEngine(8)
	short := e.poisson(2, func() { e.offer(job("short", e.rand.IntN(4)), 10*magno.Second) })
	long := e.poisson(0.35, func() {
		j := job("long", e.rand.IntN(4))
		j.Output *= 20
		e.offer(j, 3*magno.Minute)
	})
	e.play(10*magno.Minute, func() { short(); long() })
	if got := p95(e.took["short"]); got > 4*magno.Second {
		t.Errorf("p95 of short jobs is %d ms, a long one runs 20000", got)
	}
	if len(e.took["long"]) < 100 {
		t.Errorf("%d long jobs served, refused %v, late %d", len(e.took["long"]), e.refused, e.late)
	}
}

// A step begins to take four times as long, and the engine doesn't say so.
// Admission must learn it from the runs, or all admitted jobs would be late.
func TestSlowEngine(t *testing.T) {
	e := newEngine(8)
	offer := func() { e.offer(job(fmt.Sprint(e.rand.IntN(20)), e.rand.IntN(6)), 20*magno.Second) }
	e.play(magno.Minute, e.poisson(0.8*capacity, offer))
	e.factor = 4
	e.play(30*magno.Second, e.poisson(0.8*capacity, offer))
	good, late := e.good(), e.late
	e.play(5*magno.Minute, e.poisson(0.8*capacity, offer))
	good, late = e.good()-good, e.late-late
	if late*20 > good || good < 300 {
		t.Errorf("once it is slow: %d in time, %d late, refused %v", good, late, e.refused)
	}
}

// As many adapters as there are slots have twice as many jobs as the engine
// can do, and now and then a job for another adapter comes. Most of these must
// be served and the rest refused at once, or a popular customer would shut out
// all others.
func TestColdAdapterAmongHotOnes(t *testing.T) {
	e := newEngine(2)
	hot := e.poisson(2*capacity, func() { e.offer(job(fmt.Sprint(e.rand.IntN(9)), e.rand.IntN(2)), 10*magno.Second) })
	e.play(20*magno.Second, hot)
	for range 10 {
		e.offer(job("cold", 7), 30*magno.Second)
		e.play(30*magno.Second, hot)
	}
	if got := len(e.took["cold"]); got < 6 {
		t.Errorf("%d of 10 jobs of the cold adapter were served in time, refused %v", got, e.refused)
	}
	if n := e.lateOf["cold"]; n > 0 {
		t.Errorf("%d jobs of the cold adapter were late", n)
	}
}

// An adapter that was cold becomes the hottest. It may be thrown out again
// while its demand is still under that of the others, for some seconds; then it
// must stay, and its jobs must not wait for more than a load and a place.
func TestHotKey(t *testing.T) {
	e := newEngine(4)
	tail := e.poisson(0.4*capacity, func() { e.offer(job("tail", e.rand.IntN(12)), 20*magno.Second) })
	e.play(magno.Minute, tail)
	key := e.poisson(0.4*capacity, func() { e.offer(job("key", 99), 20*magno.Second) })
	hot := magno.Ref{Adapter: "ad99", Version: "1"}
	e.play(15*magno.Second, func() { tail(); key() })
	before := e.loads[hot]
	e.play(2*magno.Minute, func() { tail(); key() })
	if n := e.loads[hot]; n != before || n > 4 {
		t.Errorf("the hot key was loaded %d times, %d of them early on", n, before)
	}
	if got := p95(e.took["key"]); got > 3*magno.Second {
		t.Errorf("p95 of the hot key's jobs is %d ms", got)
	}
}
