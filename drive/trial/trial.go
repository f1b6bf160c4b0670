// Package trial runs an experiment: several policies on the same arrivals, over cases and
// seeds, with a few runs at a time.
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

// MaxConcurrentRuns limits the runs at the same time, because machines are shared with
// other work.
const MaxConcurrentRuns = 4

const (
	// measureDuration is the length of the run that measures capacity; its first half is
	// the ramp-up.
	measureDuration = 4 * magno.Minute
	// measureLoad is the load of that run relative to the estimated capacity.
	measureLoad = 1.6
	// measureSeed is fixed, so that the capacity does not depend on the seeds under
	// comparison.
	measureSeed = 4711
)

// Trial is one experiment. Its fields are set before Run.
type Trial struct {
	Deployment load.Deployment
	Cases      []string
	Policies   []sim.Policy
	// Seeds is the number of consecutive seeds, starting with Seed.
	Seed  uint64
	Seeds int
	// Load is relative to the measured capacity; some cases override it.
	Load     float64
	Duration magno.Millis
	// WarmUp is the first part of a run, which is not measured.
	WarmUp       magno.Millis
	ZipfExponent float64
	StallWeight  float64
	// Progress is called after each run, never concurrently. It may be nil.
	Progress func(r *Result)

	// Capacity is in requests per second over all pools. Run measures it if it is zero.
	Capacity float64
}

// Result is the result of one run.
type Result struct {
	Case   string
	Policy string
	Seed   uint64
	Load   float64
	// Tally is nil for the bound, Bound for every other policy.
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
				rs, err := t.runTask(tasks[i], &mu)
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

// runTask runs a case and seed with each policy on the same arrivals.
func (t *Trial) runTask(k task, mu *sync.Mutex) ([]Result, error) {
	l := t.workload(k.scene, k.seed)
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

func (t *Trial) workload(scene string, seed uint64) *load.Workload {
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

// MeasureCapacity returns the capacity in requests per second over all pools: the token
// throughput of the deployment's engines when they are overloaded, no request needs an
// adapter and each goes to the least-loaded engine, divided by the mean tokens of a
// request. It is the limit of the engines alone; the limit of the weight store shows in the
// results.
func (t *Trial) MeasureCapacity() (float64, error) {
	half, err := t.saturate(measureDuration / 2)
	if err != nil {
		return 0, err
	}
	whole, err := t.saturate(measureDuration)
	if err != nil {
		return 0, err
	}
	return (whole - half) / (float64(measureDuration/2) / float64(magno.Second)), nil
}

// saturate returns how many requests of mean size, over all pools, are served in an
// overloaded run of that length.
func (t *Trial) saturate(length magno.Millis) (float64, error) {
	l := &load.Workload{Deployment: t.Deployment, Case: load.Steady, Seed: measureSeed, Duration: length, ZipfExponent: t.ZipfExponent, StallWeight: t.StallWeight}
	l.Rate = measureLoad * estimateCapacity(&t.Deployment)
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

// estimateCapacity returns the request rate at which the engines' steps are full.
func estimateCapacity(d *load.Deployment) float64 {
	work := 0.0
	for i := range d.Classes {
		if c := &d.Classes[i]; c.Pool == load.PoolReading {
			work += c.Share * float64(c.Prompt+c.Output)
		}
	}
	perSecond := float64(d.Engines*d.Limits.Tokens) * float64(magno.Second) / float64(d.Limits.Step)
	return perSecond / work
}
