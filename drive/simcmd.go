package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	"magnoliastall.example/drive/aims"
	_ "magnoliastall.example/drive/basel"
	"magnoliastall.example/drive/bound"
	_ "magnoliastall.example/drive/fifo"
	"magnoliastall.example/drive/load"
	"magnoliastall.example/drive/sim"
	"magnoliastall.example/drive/tally"
	"magnoliastall.example/drive/trial"
	"magnoliastall.example/magno"
	_ "magnoliastall.example/magno/route"
	_ "magnoliastall.example/magno/sched"
	"magnoliastall.example/magno/setup"
)

// simConfig holds the settings of drive sim.
type simConfig struct {
	Deploy string  `json:"deploy" help:"deployment: delta or cursada"`
	Case   string  `json:"case" help:"cases, separated by commas, or all"`
	Policy string  `json:"policy" help:"policies, separated by commas: random, least, hash, ours, free, bound"`
	Seed   uint64  `json:"seed" help:"first seed"`
	Seeds  int     `json:"seeds" help:"number of seeds"`
	Load   float64 `json:"load" help:"load against measured capacity"`
	For    string  `json:"for" help:"length of a run in driven time, such as 20m"`
	Warm   string  `json:"warm" help:"first part of a run that isn't counted"`
	Zipf   float64 `json:"zipf" help:"exponent of adapter popularity"`
	Stall  float64 `json:"stall" help:"Stall setting of every profile, 0 to 1; -1 keeps the profiles' own"`
	Out    string  `json:"out" help:"directory for JSON lines and plots"`
	Page   bool    `json:"page" help:"print the table in Markdown"`
	Wide   bool    `json:"wide" help:"also a row for each customer"`
	Curve  bool    `json:"curve" help:"instead, ours over the Stall setting"`
}

// Check returns an error for the first setting that is out of range.
func (c *simConfig) Check() error {
	if _, err := load.FindDeployment(c.Deploy); err != nil {
		return &setup.Error{Key: "deploy", Message: err.Error()}
	}
	for _, name := range c.cases() {
		if err := load.CheckCase(name); err != nil {
			return &setup.Error{Key: "case", Message: err.Error()}
		}
	}
	for _, name := range strings.Split(c.Policy, ",") {
		if _, ok := sim.Policies[name]; !ok {
			return &setup.Error{Key: "policy", Message: fmt.Sprintf("no policy named %q", name)}
		}
	}
	d, err := time.ParseDuration(c.For)
	if err != nil || d < time.Minute || d > 24*time.Hour {
		return &setup.Error{Key: "for", Message: fmt.Sprintf("%q is not a duration from 1m to 24h", c.For)}
	}
	if w, err := time.ParseDuration(c.Warm); err != nil || w < 0 || w >= d {
		return &setup.Error{Key: "warm", Message: fmt.Sprintf("%q is not a duration below %s", c.Warm, c.For)}
	}
	for _, err := range []error{
		setup.Range("seeds", c.Seeds, 1, 1000), setup.Range("load", c.Load, 0.01, 10),
		setup.Range("zipf", c.Zipf, 0, 5), setup.Range("stall", c.Stall, -1, 1),
	} {
		if err != nil {
			return err
		}
	}
	return nil
}

func (c *simConfig) cases() []string {
	if c.Case == "all" {
		return load.Cases
	}
	return strings.Split(c.Case, ",")
}

func runSim(ctx context.Context, args []string) int {
	cfg := &simConfig{
		Deploy: "delta", Case: load.Steady, Policy: "random,least,hash,ours,bound", Seed: 1, Seeds: 1,
		Load: 0.8, For: "20m", Warm: "2m", Zipf: 1.5, Stall: -1,
	}
	if err := setup.Load("drive sim", args, cfg); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			return 0
		}
		fmt.Fprintln(os.Stderr, "drive sim:", err)
		return setup.ExitUsage
	}
	command := simulate
	if cfg.Curve {
		command = runCurve
	}
	if err := command(ctx, cfg); err != nil {
		fmt.Fprintln(os.Stderr, "drive sim:", err)
		return 1
	}
	return 0
}

func simulate(ctx context.Context, cfg *simConfig) error {
	t, err := newTrial(cfg)
	if err != nil {
		return err
	}
	began := time.Now()
	results, err := t.Run(ctx)
	if err != nil {
		return err
	}
	fmt.Printf("%s: capacity %.1f requests/s, %d runs of %s in %.1f s\n",
		cfg.Deploy, t.Capacity, len(results), cfg.For, time.Since(began).Seconds())
	lines := mergeSeeds(cfg, t, results)
	printLines := tally.PrintTable
	if cfg.Page {
		printLines = tally.PrintMarkdown
	}
	if err := printLines(os.Stdout, lines); err != nil {
		return err
	}
	if err := aims.Print(os.Stdout, aims.Evaluate(cfg.Deploy, lines)); err != nil || cfg.Out == "" {
		return err
	}
	if err := writeLines(filepath.Join(cfg.Out, cfg.Deploy+".jsonl"), cfg, t, results); err != nil {
		return err
	}
	return writeCharts(cfg, lines)
}

func newTrial(cfg *simConfig) (*trial.Trial, error) {
	deploy, err := load.FindDeployment(cfg.Deploy)
	if err != nil {
		return nil, err
	}
	length, err := time.ParseDuration(cfg.For)
	if err != nil {
		return nil, err
	}
	warm, err := time.ParseDuration(cfg.Warm)
	if err != nil {
		return nil, err
	}
	t := &trial.Trial{
		Deployment: deploy, Cases: cfg.cases(), Seed: cfg.Seed, Seeds: cfg.Seeds,
		Load: cfg.Load, Duration: magno.ToMillis(length), WarmUp: magno.ToMillis(warm), ZipfExponent: cfg.Zipf, StallWeight: cfg.Stall,
		Progress: func(r *trial.Result) {
			fmt.Fprintf(os.Stderr, "%s %s seed %d\n", r.Case, r.Policy, r.Seed)
		},
	}
	for _, name := range strings.Split(cfg.Policy, ",") {
		t.Policies = append(t.Policies, sim.Policies[name])
	}
	return t, nil
}

// mergeSeeds returns the lines of each case and policy, summed over all seeds.
func mergeSeeds(cfg *simConfig, t *trial.Trial, results []trial.Result) []tally.Line {
	var lines []tally.Line
	for i := 0; i < len(results); i += t.Seeds {
		lines = append(lines, summarize(cfg, t, results[i:i+t.Seeds])...)
	}
	return lines
}

// summarize sums up runs of one case and policy and labels their lines.
func summarize(cfg *simConfig, t *trial.Trial, runs []trial.Result) []tally.Line {
	var lines []tally.Line
	if runs[0].Bound != nil {
		bounds := make([]*bound.Bound, 0, len(runs))
		for i := range runs {
			bounds = append(bounds, runs[i].Bound)
		}
		lines = []tally.Line{bound.Mean(bounds).Line()}
	} else {
		sum := tally.New(t.Deployment.Customers)
		for i := range runs {
			sum.Merge(runs[i].Tally)
		}
		lines = sum.Lines(float64(t.Duration-t.WarmUp) / float64(magno.Second) * float64(len(runs)))
	}
	if !cfg.Wide {
		lines = lines[:1]
	}
	for i := range lines {
		lines[i].Deploy, lines[i].Case, lines[i].Policy = cfg.Deploy, runs[0].Case, runs[0].Policy
		lines[i].Seed, lines[i].Load = runs[0].Seed, runs[0].Load
	}
	return lines
}

func writeLines(path string, cfg *simConfig, t *trial.Trial, results []trial.Result) error {
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		return err
	}
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	wide := *cfg
	wide.Wide = true
	for i := range results {
		if err := tally.WriteJSON(f, summarize(&wide, t, results[i:i+1])); err != nil {
			return errors.Join(err, f.Close())
		}
	}
	return f.Close()
}
