package allow

import (
	"testing"

	"pgregory.net/rapid"

	"magnoliastall.example/magno"
)

const (
	modelRatio  = 0.2
	modelSlack  = 40.0
	modelWindow = 10 * magno.Second
	modelStep   = 100 * magno.Millis(1)
	// learnDelay is how long entries may not know of one that has started.
	learnDelay = 2 * magno.Second
)

// fleet plays entries that share a budget and counts what their upstreams get.
type fleet struct {
	clock   *magno.Clock
	entries []*entry
	// requests and retries are the times of all that was sent.
	requests, retries []magno.Millis
}

// entry is a process with the retries that wait for an upstream.
type entry struct {
	budget    *Budget
	startedAt magno.Millis
	// weight is its part of the traffic.
	weight  float64
	waiting int
}

func (f *fleet) start(e *entry) {
	e.startedAt, e.waiting = f.clock.Now(), 0
	e.budget = &Budget{Clock: f.clock, Ratio: modelRatio, Slack: modelSlack, WindowLength: modelWindow, StartedAt: e.startedAt}
}

// part returns an entry's part of the slack. It doesn't count those that it can't know yet.
func (f *fleet) part(e *entry) float64 {
	n := 0
	for _, other := range f.entries {
		if other == e || f.clock.Now()-max(other.startedAt, e.startedAt) >= learnDelay {
			n++
		}
	}
	return 1 / float64(n)
}

// play sends requests for a step. Those that fail are repeated at once, or wait until release.
func (f *fleet) play(rate, failing float64, wait bool) {
	f.clock.Advance(modelStep)
	total := 0.0
	for _, e := range f.entries {
		total += e.weight
	}
	for _, e := range f.entries {
		n := int(rate * e.weight / total)
		for i := range n {
			e.budget.RecordRequest()
			f.requests = append(f.requests, f.clock.Now())
			if float64(i) >= failing*float64(n) || !e.budget.Reserve(f.part(e)) {
				continue
			}
			e.waiting++
			if !wait {
				f.release(e)
			}
		}
	}
}

// release sends the retries of an entry that wait.
func (f *fleet) release(e *entry) {
	for ; e.waiting > 0; e.waiting-- {
		if e.budget.Spend(f.part(e)) {
			f.retries = append(f.retries, f.clock.Now())
		}
	}
}

// excess returns how many retries the worst window has beyond the limit. The requests are those
// of the window, of the one before or of the one half a window before, whichever has most.
func (f *fleet) excess() float64 {
	count := func(list []magno.Millis, from, to magno.Millis) float64 {
		n := 0.0
		for _, at := range list {
			if at > from && at <= to {
				n++
			}
		}
		return n
	}
	worst := -modelSlack
	last := magno.Millis(0)
	for _, at := range f.retries {
		if at == last {
			continue
		}
		last = at
		requests := 0.0
		for _, earlier := range []magno.Millis{0, modelWindow / 2, modelWindow} {
			requests = max(requests, count(f.requests, at-modelWindow-earlier, at-earlier))
		}
		worst = max(worst, count(f.retries, at-modelWindow, at)-modelRatio*requests-modelSlack)
	}
	return worst
}

// Guards against processes that use their retries, are killed and use them again: what an
// earlier life sent within the window counts together with what the next ones send. Entries are
// also added, get uneven parts of the traffic, and retries wait for an upstream.
func TestLivesTogetherStayWithinTheBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := &fleet{clock: magno.NewClock(magno.Hour)}
		for range rapid.IntRange(1, 8).Draw(t, "entries") {
			e := &entry{weight: float64(rapid.IntRange(1, 4).Draw(t, "weight"))}
			f.start(e)
			f.entries = append(f.entries, e)
		}
		rate := float64(rapid.IntRange(0, 60).Draw(t, "rate"))
		for range 2 * modelWindow / modelStep { // all have run for long
			f.play(rate, 0, false)
		}
		for range rapid.IntRange(2, 8).Draw(t, "phases") {
			rate = float64(rapid.IntRange(0, 60).Draw(t, "rate"))
			failing, wait := rapid.SampledFrom([]float64{0, 0.2, 1, 1}).Draw(t, "failing"), rapid.Bool().Draw(t, "wait")
			for range rapid.IntRange(1, 60).Draw(t, "steps") {
				f.play(rate, failing, wait)
			}
			for _, e := range f.entries {
				f.release(e)
			}
			switch rapid.IntRange(0, 3).Draw(t, "event") {
			case 0:
				for _, e := range f.entries {
					f.start(e)
				}
			case 1:
				for _, e := range f.entries {
					if rapid.Bool().Draw(t, "killed") {
						f.start(e)
					}
				}
			case 2:
				e := &entry{weight: 1}
				f.start(e)
				f.entries = append(f.entries, e)
			}
		}
		if excess := f.excess(); excess > 0 {
			t.Fatalf("%.0f retries over the limit", excess)
		}
	})
}

// Guards against retries that wait for an upstream while it is gone, and reach it together with
// those that are reserved after it came back.
func TestRetriesThatWaitCountWhenTheyAreSent(t *testing.T) {
	f := &fleet{clock: magno.NewClock(magno.Hour)}
	e := &entry{weight: 1}
	f.start(e)
	f.entries = []*entry{e}
	for range 2 * modelWindow / modelStep {
		f.play(15, 0, false)
	}
	for range modelWindow / modelStep {
		f.play(15, 1, true)
	}
	f.release(e)
	for range modelWindow / modelStep {
		f.play(15, 1, false)
	}
	if len(f.retries) == 0 || f.excess() > 0 {
		t.Errorf("%d retries were sent, %.0f over the limit", len(f.retries), f.excess())
	}
}

// Guards against a process that is killed while a retry waits, or whose request ends without one:
// what is returned can be reserved again.
func TestReturnedRetriesCanBeReserved(t *testing.T) {
	clock := magno.NewClock(magno.Hour)
	b := &Budget{Clock: clock, Slack: 10, WindowLength: modelWindow}
	n := 0
	for b.Reserve(1) {
		n++
	}
	for range n {
		b.Return()
	}
	again := 0
	for b.Reserve(1) {
		again++
	}
	if n == 0 || n != again {
		t.Errorf("%d retries were reserved, %d after all of them were returned", n, again)
	}
}
