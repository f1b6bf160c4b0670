package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"

	"magnoliastall.example/drive/plot"
	"magnoliastall.example/drive/sim"
	"magnoliastall.example/drive/tally"
)

// curveStallWeights are the Stall settings that the curve covers.
var curveStallWeights = []float64{0, 0.1, 0.25, 0.5, 0.75, 1}

// runCurve measures our policy at each Stall setting, applied to every profile.
func runCurve(ctx context.Context, cfg *simConfig) error {
	one := *cfg
	one.Policy, one.Case, one.Wide = sim.PolicyOurs, "steady", false
	var lines []tally.Line
	batch := plot.Series{Name: "batch efficiency (%)"}
	mean := plot.Series{Name: "mean load stall (s)"}
	p95 := plot.Series{Name: "p95 load stall (s)"}
	capacity := 0.0
	for _, stall := range curveStallWeights {
		one.Stall = stall
		t, err := newTrial(&one)
		if err != nil {
			return err
		}
		t.Capacity = capacity
		results, err := t.Run(ctx)
		if err != nil {
			return err
		}
		capacity = t.Capacity
		l := mergeSeeds(&one, t, results)[0]
		l.Policy = fmt.Sprintf("stall=%g", stall)
		lines = append(lines, l)
		batch.X, batch.Y = append(batch.X, stall), append(batch.Y, 100*l.BatchEfficiency)
		mean.X, mean.Y = append(mean.X, stall), append(mean.Y, l.Stall.Mean/1000)
		p95.X, p95.Y = append(p95.X, stall), append(p95.Y, float64(l.Stall.P95)/1000)
	}
	printLines := tally.PrintTable
	if cfg.Page {
		printLines = tally.PrintMarkdown
	}
	if err := printLines(os.Stdout, lines); err != nil || cfg.Out == "" {
		return err
	}
	if err := os.MkdirAll(cfg.Out, 0o755); err != nil {
		return err
	}
	p := plot.Plot{Title: cfg.Deploy + ": Stall setting of every profile", XLabel: "Stall setting", Series: []plot.Series{batch, mean, p95}}
	return p.Curve(filepath.Join(cfg.Out, cfg.Deploy+"-curve.svg"))
}

// writeCharts draws the results of several cases, with one bar per policy.
func writeCharts(cfg *simConfig, lines []tally.Line) error {
	kinds := []struct {
		file, label string
		value       func(l *tally.Line) float64
	}{
		{"stall", "p99 load stall (s)", func(l *tally.Line) float64 { return float64(l.Stall.P99) / 1000 }},
		{"good", "answered within the deadline (% of requests)", func(l *tally.Line) float64 {
			return 100 * float64(l.InTime) / float64(max(1, l.Offered))
		}},
		{"batch", "batch efficiency", func(l *tally.Line) float64 { return l.BatchEfficiency }},
	}
	for _, k := range kinds {
		p := plot.Plot{Title: cfg.Deploy + ": " + k.label, YLabel: k.label, Groups: cfg.cases()}
		index := map[string]int{}
		for i := range lines {
			l := &lines[i]
			if l.Policy == sim.PolicyBound || (l.Customer != "all" && l.Customer != "") {
				continue
			}
			at, ok := index[l.Policy]
			if !ok {
				at = len(p.Series)
				index[l.Policy] = at
				p.Series = append(p.Series, plot.Series{Name: l.Policy})
			}
			p.Series[at].Y = append(p.Series[at].Y, k.value(l))
		}
		if err := p.Bars(filepath.Join(cfg.Out, cfg.Deploy+"-"+k.file+".svg")); err != nil {
			return err
		}
	}
	return nil
}
