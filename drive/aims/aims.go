// Package aims compares results with the performance targets of the project: load stalls
// and batch efficiency relative to baselines of the same run, and the effect of an
// overload or a hot caller on other requests.
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

// Limits of the targets.
const (
	maxStallRatio   = 0.25 // p99 stall relative to the best baseline
	minBatchRatio   = 1.3  // batch efficiency relative to the best baseline
	minBoundRatio   = 0.9  // batch efficiency relative to the bound
	minGoodputRatio = 0.95 // goodput at 3 times capacity relative to that at capacity
	minInTime       = 0.99 // share of admitted requests in time at 3 times capacity
	maxOthersRatio  = 1.1  // p95 of other callers with a hot caller relative to that without
)

// The deployments: cursada has the targets for stalls, delta those for batch efficiency.
const (
	delta   = "delta"
	cursada = "cursada"
)

// Target is one target with its measured value.
type Target struct {
	Deployment string
	Name       string
	// Limit is the target, a minimum if AtLeast is true and a maximum otherwise. Value is
	// the measured value.
	Limit, Value float64
	AtLeast      bool
	// Detail describes the figures that Value was calculated from.
	Detail string
}

// Met returns whether the target is met.
func (a *Target) Met() bool {
	if a.AtLeast {
		return a.Value >= a.Limit
	}
	return a.Value <= a.Limit
}

// results maps "case/policy" to a line of results.
type results map[string]*tally.Line

func (r results) get(scene, policy string) *tally.Line { return r[scene+"/"+policy] }

// Evaluate returns the targets for which the lines over all customers have figures.
func Evaluate(deploy string, lines []tally.Line) []Target {
	r := results{}
	for i := range lines {
		if l := &lines[i]; l.Customer == "all" || l.Policy == sim.PolicyBound {
			r[l.Case+"/"+l.Policy] = l
		}
	}
	var list []Target
	add := func(a Target, ok bool) {
		if ok {
			a.Deployment = deploy
			list = append(list, a)
		}
	}
	for _, baselines := range [][]string{{"random", "least"}, {"hash"}} {
		if deploy == cursada {
			add(r.stall(baselines))
		}
		if deploy == delta {
			add(r.batchEfficiency(baselines))
		}
	}
	if deploy == delta {
		add(r.bound())
	}
	add(r.goodput())
	add(r.inTime())
	add(r.hotCaller())
	return list
}

// best returns the best line of the named baselines.
func (r results) best(scene string, names []string, better func(a, b *tally.Line) bool) *tally.Line {
	var best *tally.Line
	for _, name := range names {
		if l := r.get(scene, name); l != nil && (best == nil || better(l, best)) {
			best = l
		}
	}
	return best
}

func (r results) stall(names []string) (Target, bool) {
	ours := r.get(load.Steady, sim.PolicyOurs)
	base := r.best(load.Steady, names, func(a, b *tally.Line) bool { return a.Stall.P99 < b.Stall.P99 })
	if ours == nil || base == nil || base.Stall.P99 == 0 {
		return Target{}, false
	}
	return Target{
		Name: "p99 load stall against " + strings.Join(names, ", "), Limit: maxStallRatio,
		Value:  float64(ours.Stall.P99) / float64(base.Stall.P99),
		Detail: fmt.Sprintf("%d ms, %s %d ms", ours.Stall.P99, base.Policy, base.Stall.P99),
	}, true
}

func (r results) batchEfficiency(names []string) (Target, bool) {
	ours := r.get(load.Steady, sim.PolicyOurs)
	base := r.best(load.Steady, names, func(a, b *tally.Line) bool { return a.BatchEfficiency > b.BatchEfficiency })
	if ours == nil || base == nil || base.BatchEfficiency == 0 {
		return Target{}, false
	}
	return Target{
		Name: "batch efficiency against " + strings.Join(names, ", "), Limit: minBatchRatio, AtLeast: true,
		Value: ours.BatchEfficiency / base.BatchEfficiency, Detail: fmt.Sprintf("%.3f, %s %.3f", ours.BatchEfficiency, base.Policy, base.BatchEfficiency),
	}, true
}

func (r results) bound() (Target, bool) {
	ours, bound := r.get(load.Steady, sim.PolicyOurs), r.get(load.Steady, sim.PolicyBound)
	if ours == nil || bound == nil || bound.BatchEfficiency == 0 {
		return Target{}, false
	}
	return Target{
		Name: "batch efficiency against the bound", Limit: minBoundRatio, AtLeast: true,
		Value: ours.BatchEfficiency / bound.BatchEfficiency, Detail: fmt.Sprintf("%.3f, bound %.3f", ours.BatchEfficiency, bound.BatchEfficiency),
	}, true
}

func (r results) goodput() (Target, bool) {
	full, over := r.get(load.Full, sim.PolicyOurs), r.get(load.Over3, sim.PolicyOurs)
	if full == nil || over == nil || full.Goodput == 0 {
		return Target{}, false
	}
	return Target{
		Name: "goodput at 3 times capacity against that at capacity", Limit: minGoodputRatio, AtLeast: true,
		Value: over.Goodput / full.Goodput, Detail: fmt.Sprintf("%.0f, %.0f tokens/s", over.Goodput, full.Goodput),
	}, true
}

func (r results) inTime() (Target, bool) {
	over := r.get(load.Over3, sim.PolicyOurs)
	if over == nil {
		return Target{}, false
	}
	return Target{
		Name: "admitted requests in time at 3 times capacity", Limit: minInTime, AtLeast: true,
		Value: over.InTimeShare(), Detail: fmt.Sprintf("%d of %d", over.InTime, over.Admitted),
	}, true
}

func (r results) hotCaller() (Target, bool) {
	calm, hot := r.get(load.Steady, sim.PolicyOurs), r.get(load.HotCaller, sim.PolicyOurs)
	if calm == nil || hot == nil || calm.OtherLatency.P95 == 0 {
		return Target{}, false
	}
	return Target{
		Name: "others' p95 with a hot caller against without", Limit: maxOthersRatio,
		Value:  float64(hot.OtherLatency.P95) / float64(calm.OtherLatency.P95),
		Detail: fmt.Sprintf("%d, %d ms", hot.OtherLatency.P95, calm.OtherLatency.P95),
	}, true
}

// Print writes the targets as a table.
func Print(w io.Writer, list []Target) error {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for i := range list {
		a := &list[i]
		sign, met := "<=", "missed"
		if a.AtLeast {
			sign = ">="
		}
		if a.Met() {
			met = "met"
		}
		fmt.Fprintf(tw, "%s\t%s\t%s %.2f\t%.3f\t%s\t%s\n", a.Deployment, a.Name, sign, a.Limit, a.Value, met, a.Detail)
	}
	return tw.Flush()
}
