package length

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
)

// draw returns an output around a median with a spread in natural logarithms.
func draw(rng *rand.Rand, median, spread float64) int {
	return max(int(median*math.Exp(spread*rng.NormFloat64())), 1)
}

// meanOf is the mean of a lognormal distribution.
func meanOf(median, spread float64) float64 { return median * math.Exp(spread*spread/2) }

func wantWithin(t *testing.T, what string, got, want, share float64) {
	t.Helper()
	if math.Abs(got-want) > share*want {
		t.Errorf("%s is %.1f, want %.1f within %.0f%%", what, got, want, 100*share)
	}
}

// The pool's callers use about a sixth of the declared maximum. Guards against estimates that are off,
// and against an estimate where nothing is known, which would replace the reservations.
func TestLengthsAreLearned(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	var table Table
	d := table.Estimate("a", 1200, 0)
	if d.Known() {
		t.Error("a length is known before any request")
	}
	for i := range 400 {
		table.Add(fmt.Sprint("key", i%4), 1200, 0, draw(rng, 200, 0.4))
	}
	d = table.Estimate("key1", 1200, 0)
	wantWithin(t, "mean", d.Mean(), meanOf(200, 0.4), 0.15)
	wantWithin(t, "deviation", math.Sqrt(d.Variance()), 90, 0.4)
	wantWithin(t, "median", d.Quantile(0.5), 200, 0.2)
	if d := table.Estimate("key1", 1200, 300); d.Known() {
		t.Error("a length is known by hints, which nobody gave")
	}
	d = table.Estimate("new", 1200, 0)
	wantWithin(t, "mean of an unknown key", d.Mean(), meanOf(200, 0.4), 0.15)
	if d := table.Estimate("new", 0, 0); d.Known() {
		t.Error("a length is known of a request that declares none")
	}
}

// Hints are right at the median and often far off. Guards against taking them at their word, and
// against estimates above the declared maximum.
func TestHintsAreCorrected(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	var table Table
	for range 600 {
		hint := 100 + rng.IntN(400)
		table.Add("k", 4000, hint, draw(rng, 2*float64(hint), 0.8))
	}
	d := table.Estimate("k", 4000, 200)
	wantWithin(t, "mean", d.Mean(), meanOf(400, 0.8), 0.4)
	d = table.Estimate("k", 250, 200)
	if mean := d.Mean(); mean > 250 {
		t.Errorf("the mean is %.0f of at most 250", mean)
	}
}

// A customer's answers become five times as long. Guards against estimates that are too low for more
// than 50 requests, while the engine preempts.
func TestChangedHabitIsFollowedWithin50Requests(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 3))
	var table Table
	for i := range 2000 {
		table.Add("other", 1000, 0, draw(rng, 80, 0.3))
		if i%4 == 0 {
			table.Add("k", 1000, 0, draw(rng, 80, 0.3))
		}
	}
	for range 50 {
		table.Add("k", 1000, 0, draw(rng, 400, 0.3))
	}
	d := table.Estimate("k", 1000, 0)
	wantWithin(t, "mean", d.Mean(), meanOf(400, 0.3), 0.15)
	d = table.Estimate("other", 1000, 0)
	wantWithin(t, "mean of another key", d.Mean(), meanOf(80, 0.3), 0.15)
}

// Guards against remaining lengths that fall to zero for a request that exceeds its estimate: it would
// count as one that is about to end.
func TestRemainingLengthDependsOnWhatWasProduced(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 4))
	var table Table
	for range 500 { // half of the answers are short
		table.Add("k", 1000, 0, draw(rng, 30, 0.1))
		table.Add("k", 1000, 0, draw(rng, 600, 0.1))
	}
	d := table.Estimate("k", 1000, 0)
	wantWithin(t, "mean", d.Mean(), 315, 0.2)
	rest, _ := d.Remaining(100, math.Inf(1))
	wantWithin(t, "rest after 100", rest, 500, 0.15)
	rest, variance := d.Remaining(100, 64)
	if rest != 64 || variance != 0 {
		t.Errorf("the next tokens are %.0f, variance %.0f, want 64 and 0", rest, variance)
	}
	rest, _ = d.Remaining(900, math.Inf(1))
	wantWithin(t, "rest after more than ever", rest, 100, 0.01)
	if rest, _ = d.Remaining(1000, math.Inf(1)); rest != 0 {
		t.Errorf("the rest is %.0f at the declared maximum", rest)
	}
}

// Guards against memory that grows with the number of keys, and against the loss of a key in use.
func TestKeysAreBounded(t *testing.T) {
	var table Table
	for i := range 3 * maxKeys {
		table.Add("used", 1000, 0, 500)
		table.Add(fmt.Sprint(i), 1000, 0, 50)
	}
	if n := table.keys.Len(); n != maxKeys {
		t.Errorf("there are %d keys, want %d", n, maxKeys)
	}
	d := table.Estimate("used", 1000, 0)
	wantWithin(t, "mean of the key in use", d.Mean(), 500, 0.1)
	table.Reset()
	if d := table.Estimate("used", 1000, 0); d.Known() {
		t.Error("a length is known after the reset")
	}
}

func fullTable() *Table {
	table := &Table{}
	for i := range 4 * maxKeys {
		table.Add(fmt.Sprint("route/customer", i%maxKeys), 1000, 0, 50+i%400)
	}
	return table
}

func BenchmarkAdd(b *testing.B) {
	table := fullTable()
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		table.Add("route/customer7", 1000, 0, 50+i%400)
	}
}

func BenchmarkEstimate(b *testing.B) {
	table := fullTable()
	b.ReportAllocs()
	for b.Loop() {
		d := table.Estimate("route/customer7", 1000, 0)
		_, _ = d.Remaining(100, 256)
	}
}
