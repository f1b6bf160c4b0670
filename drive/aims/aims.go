// Package aims compares results with the aims that the project has set itself:
// load stalls and batch efficiency against baselines of the same run, and what
// an overload or a hot caller does to the others.
package aims

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"magnoliastall.example/drive/load"
	"magnoliastall.example/drive/sim"
	"magnoliastall.example/drive/tally"
)

// The aims' figures.
const (
	stallRatio  = 0.25 // p99 stall against the best baseline, at most
	batchRatio  = 1.3  // batch efficiency against the best baseline, at least
	boundRatio  = 0.9  // batch efficiency against the bound, at least
	goodRatio   = 0.95 // goodput at 3 times capacity against that at capacity, at least
	keptShare   = 0.99 // admitted requests in time at 3 times capacity, at least
	othersRatio = 1.1  // others' p95 with a hot caller against without, at most
)

// The deployments: one weighs stalls more, the other batch efficiency.
const (
	delta   = "delta"
	cursada = "cursada"
)

// Aim is one aim with what was measured.
type Aim struct {
	Deploy string
	Name   string
	// Want is the limit, Got the figure; More is true when Got may not be
	// under Want.
	Want, Got float64
	More      bool
	// From says what the figure was made of.
	From string
}

// Met is true when the figure keeps the limit.
func (a *Aim) Met() bool {
	if a.More {
		return a.Got >= a.Want
	}
	return a.Got <= a.Want
}

// results finds lines by case and policy.
type results map[string]*tally.Line

func (r results) get(scene, policy string) *tally.Line { return r[scene+"/"+policy] }

// From works out the aims that lines over all customers have figures for.
func From(deploy string, lines []tally.Line) []Aim {
	r := results{}
	for i := range lines {
		if l := &lines[i]; l.Customer == "all" || l.Policy == sim.Bound {
			r[l.Case+"/"+l.Policy] = l
		}
	}
	var list []Aim
	add := func(a Aim, ok bool) {
		if ok {
			a.Deploy = deploy
			list = append(list, a)
		}
	}
	for _, baselines := range [][]string{{"random", "least"}, {"hash"}} {
		if deploy == cursada {
			add(r.stall(baselines))
		}
		if deploy == delta {
			add(r.batch(baselines))
		}
	}
	if deploy == delta {
		add(r.bound())
	}
	add(r.goodput())
	add(r.kept())
	add(r.others())
	return list
}

// best returns the baseline for which better is true against all others.
func (r results) best(scene string, names []string, better func(a, b *tally.Line) bool) *tally.Line {
	var best *tally.Line
	for _, name := range names {
		if l := r.get(scene, name); l != nil && (best == nil || better(l, best)) {
			best = l
		}
	}
	return best
}

func (r results) stall(names []string) (Aim, bool) {
	ours := r.get(load.Steady, sim.Ours)
	base := r.best(load.Steady, names, func(a, b *tally.Line) bool { return a.Stall.P99 < b.Stall.P99 })
	if ours == nil || base == nil || base.Stall.P99 == 0 {
		return Aim{}, false
	}
	return Aim{
		Name: "p99 load stall against " + strings.Join(names, ", "), Want: stallRatio,
		Got:  float64(ours.Stall.P99) / float64(base.Stall.P99),
		From: fmt.Sprintf("%d ms, %s %d ms", ours.Stall.P99, base.Policy, base.Stall.P99),
	}, true
}

func (r results) batch(names []string) (Aim, bool) {
	ours := r.get(load.Steady, sim.Ours)
	base := r.best(load.Steady, names, func(a, b *tally.Line) bool { return a.Batch > b.Batch })
	if ours == nil || base == nil || base.Batch == 0 {
		return Aim{}, false
	}
	return Aim{
		Name: "batch efficiency against " + strings.Join(names, ", "), Want: batchRatio, More: true,
		Got: ours.Batch / base.Batch, From: fmt.Sprintf("%.3f, %s %.3f", ours.Batch, base.Policy, base.Batch),
	}, true
}

func (r results) bound() (Aim, bool) {
	ours, bound := r.get(load.Steady, sim.Ours), r.get(load.Steady, sim.Bound)
	if ours == nil || bound == nil || bound.Batch == 0 {
		return Aim{}, false
	}
	return Aim{
		Name: "batch efficiency against the bound", Want: boundRatio, More: true,
		Got: ours.Batch / bound.Batch, From: fmt.Sprintf("%.3f, bound %.3f", ours.Batch, bound.Batch),
	}, true
}

func (r results) goodput() (Aim, bool) {
	full, over := r.get(load.Full, sim.Ours), r.get(load.Over3, sim.Ours)
	if full == nil || over == nil || full.Goodput == 0 {
		return Aim{}, false
	}
	return Aim{
		Name: "goodput at 3 times capacity against that at capacity", Want: goodRatio, More: true,
		Got: over.Goodput / full.Goodput, From: fmt.Sprintf("%.0f, %.0f tokens/s", over.Goodput, full.Goodput),
	}, true
}

func (r results) kept() (Aim, bool) {
	over := r.get(load.Over3, sim.Ours)
	if over == nil {
		return Aim{}, false
	}
	return Aim{
		Name: "admitted requests in time at 3 times capacity", Want: keptShare, More: true,
		Got: over.Kept(), From: fmt.Sprintf("%d of %d", over.Good, over.Admitted),
	}, true
}

func (r results) others() (Aim, bool) {
	calm, hot := r.get(load.Steady, sim.Ours), r.get(load.HotCaller, sim.Ours)
	if calm == nil || hot == nil || calm.Other.P95 == 0 {
		return Aim{}, false
	}
	return Aim{
		Name: "others' p95 with a hot caller against without", Want: othersRatio,
		Got:  float64(hot.Other.P95) / float64(calm.Other.P95),
		From: fmt.Sprintf("%d, %d ms", hot.Other.P95, calm.Other.P95),
	}, true
}

// Print writes aims as a table.
func Print(w io.Writer, list []Aim) error {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for i := range list {
		a := &list[i]
		sign, met := "<=", "missed"
		if a.More {
			sign = ">="
		}
		if a.Met() {
			met = "met"
		}
		fmt.Fprintf(tw, "%s\t%s\t%s %.2f\t%.3f\t%s\t%s\n", a.Deploy, a.Name, sign, a.Want, a.Got, met, a.From)
	}
	return tw.Flush()
}
