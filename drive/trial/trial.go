// Package trial runs an experiment: policies on the same arrivals, over cases
// and seeds, a few runs at a time.
package trial

import (
	"context"
	"fmt"
	"sync"

	"magnoliastall.example/drive/bound"
	"magnoliastall.example/drive/load"
	"magnoliastall.example/drive/sim"
	"magnoliastall.example/drive/tally"
	"magnoliastall.example/magno"
)

// MaxConcurrentRuns is how many runs go on at once at most: machines are shared.
const MaxConcurrentRuns = 4

const (
	// probe is the length of the run that measures capacity, and half of it
	// is its ramp.
	probe = 4 * magno.Minute
	// probeLoad is the load of that run against an estimate.
	probeLoad = 1.6
	// probeSeed keeps the capacity the same whatever seeds are compared.
	probeSeed = 4711
)

// Trial is one experiment. Its fields are set before Run.
type Trial struct {
	Deployment load.Deployment
	Cases      []string
	Policies   []sim.Policy
	// Seeds are run one by one from Seed.
	Seed  uint64
	Seeds int
	// Load is against the measured capacity; some cases set their own.
	Load     float64
	Duration magno.Millis
	// WarmUp is the first part of a run, which isn't counted.
	WarmUp       magno.Millis
	ZipfExponent float64
	StallWeight  float64
	// Progress is called after each run, by one goroutine at a time. It may
	// be nil.
	Progress func(r *Result)

	// Capacity is requests a second over all pools, set by Run when zero.
	Capacity float64
}

// Result is one run.
type Result struct {
	Case   string
	Policy string
	Seed   uint64
	Load   float64
	// Tally is nil for the bound, Bound for all else.
	Tally *tally.Tally
	Bound *bound.Bound
}

type task struct {
	scene string
	seed  uint64
}

// Run returns the results in order of case, policy and seed.
func (t *Trial) Run(ctx context.Context) ([]Result, error) {
	if t.Capacity == 0 {
		c, err := t.MeasureCapacity()
		if err != nil {
			return nil, err
		}
		t.Capacity = c
	}
	var tasks []task
	for _, c := range t.Cases {
		for i := range t.Seeds {
			tasks = append(tasks, task{c, t.Seed + uint64(i)})
		}
	}
	results := make([][]Result, len(tasks))
	errs := make(chan error, len(tasks))
	todo := make(chan int)
	var wg sync.WaitGroup
	var mu sync.Mutex
	for range MaxConcurrentRuns {
		wg.Go(func() {
			for i := range todo {
				rs, err := t.one(tasks[i], &mu)
				results[i] = rs
				if err != nil {
					errs <- err
				}
			}
		})
	}
	for i := range tasks {
		if ctx.Err() != nil {
			break
		}
		todo <- i
	}
	close(todo)
	wg.Wait()
	close(errs)
	if err := <-errs; err != nil {
		return nil, err
	}
	return t.sorted(tasks, results), ctx.Err()
}

// one plays a case and seed with each policy, on the same arrivals.
func (t *Trial) one(k task, mu *sync.Mutex) ([]Result, error) {
	l := t.load(k.scene, k.seed)
	arrivals := l.Arrivals()
	results := make([]Result, 0, len(t.Policies))
	for _, p := range t.Policies {
		r := Result{Case: k.scene, Policy: p.Name, Seed: k.seed, Load: load.CaseLoad(k.scene, t.Load)}
		var err error
		if p == sim.Policies[sim.PolicyBound] {
			r.Bound = bound.New(l, arrivals)
		} else {
			r.Tally, err = (&sim.Sim{Workload: l, Policy: p, Arrivals: arrivals}).Run()
		}
		if err != nil {
			return nil, fmt.Errorf("%s with %s, seed %d: %w", k.scene, p.Name, k.seed, err)
		}
		results = append(results, r)
		if t.Progress != nil {
			mu.Lock()
			t.Progress(&r)
			mu.Unlock()
		}
	}
	return results, nil
}

func (t *Trial) load(scene string, seed uint64) *load.Workload {
	return &load.Workload{
		Deployment: t.Deployment, Case: scene, Seed: seed, Duration: t.Duration, WarmUp: t.WarmUp, ZipfExponent: t.ZipfExponent, StallWeight: t.StallWeight,
		Rate: t.Capacity * load.CaseLoad(scene, t.Load),
	}
}

func (t *Trial) sorted(tasks []task, results [][]Result) []Result {
	var out []Result
	for _, c := range t.Cases {
		for p := range t.Policies {
			for i, k := range tasks {
				if k.scene == c && p < len(results[i]) {
					out = append(out, results[i][p])
				}
			}
		}
	}
	return out
}

// MeasureCapacity returns the capacity in requests a second over all pools: the engine
// tokens a second that the deployment's engines complete when they are
// overloaded, every request needs no adapter and the least-loaded engine gets
// it, over the mean tokens of a request. It is the engines' own limit; the
// weight store's limit comes on top and shows in the results.
func (t *Trial) MeasureCapacity() (float64, error) {
	half, err := t.saturate(probe / 2)
	if err != nil {
		return 0, err
	}
	whole, err := t.saturate(probe)
	if err != nil {
		return 0, err
	}
	return (whole - half) / (float64(probe/2) / float64(magno.Second)), nil
}

// saturate returns how many mean requests of all pools are served in a run of
// that length.
func (t *Trial) saturate(length magno.Millis) (float64, error) {
	l := &load.Workload{Deployment: t.Deployment, Case: load.Steady, Seed: probeSeed, Duration: length, ZipfExponent: t.ZipfExponent, StallWeight: t.StallWeight}
	l.Rate = probeLoad * estimate(&t.Deployment)
	arrivals := l.Arrivals()
	total := 0
	for i := range arrivals {
		arrivals[i].Job.Ref = magno.Ref{}
		total += arrivals[i].Job.Prompt + arrivals[i].OutputTokens
	}
	tl, err := (&sim.Sim{Workload: l, Policy: sim.Policies["least"], Arrivals: arrivals}).Run()
	if err != nil {
		return 0, err
	}
	return float64(tl.All().ServedTokens) / (float64(total) / float64(len(arrivals))), nil
}

// estimate is the rate at which the engines' steps are full of tokens.
func estimate(d *load.Deployment) float64 {
	work := 0.0
	for i := range d.Classes {
		if c := &d.Classes[i]; c.Pool == load.PoolReading {
			work += c.Share * float64(c.Prompt+c.Output)
		}
	}
	perSecond := float64(d.Engines*d.Limits.Tokens) * float64(magno.Second) / float64(d.Limits.Step)
	return perSecond / work
}
