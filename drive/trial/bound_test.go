package trial

import (
	"testing"

	"magnoliastall.example/drive/bound"
	"magnoliastall.example/drive/load"
	"magnoliastall.example/drive/sim"
	"magnoliastall.example/magno"
)

// A bound that a policy exceeds is wrong, and so is every comparison with it. An early
// version of the bound was exceeded.
func TestNoPolicyExceedsTheBound(t *testing.T) {
	for seed := uint64(1); seed <= 2; seed++ {
		for _, scene := range []string{load.Steady, load.Over3} {
			d, err := load.FindDeployment("cursada")
			if err != nil {
				t.Fatal(err)
			}
			l := &load.Workload{Deployment: d, Case: scene, Seed: seed, Rate: capacities["cursada"] * load.CaseLoad(scene, 0.8),
				Duration: 30 * magno.Second, ZipfExponent: 1.5, StallWeight: -1}
			arrivals := l.Arrivals()
			for i := range arrivals {
				arrivals[i].Job.Deadline += 4 * magno.Minute // no request is refused, as the bound on stalls assumes
			}
			b := bound.New(l, arrivals)
			for _, name := range []string{"hash", sim.PolicyOurs} {
				tl, err := (&sim.Sim{Workload: l, Policy: sim.Policies[name], Arrivals: arrivals}).Run()
				if err != nil {
					t.Fatal(err)
				}
				got := tl.Lines(l.Duration.Duration().Seconds())[0]
				if got.BatchEfficiency > b.BatchEfficiency || got.Goodput > b.Goodput {
					t.Errorf("seed %d %s %s: batch efficiency %.3f, bound %.3f; %.0f tokens/s, bound %.0f",
						seed, scene, name, got.BatchEfficiency, b.BatchEfficiency, got.Goodput, b.Goodput)
				}
				if refused := got.Offered - got.Served; refused == 0 && got.Stall.Mean < b.MeanStall {
					t.Errorf("seed %d %s %s: mean stall %.0f ms below the bound of %.0f ms", seed, scene, name, got.Stall.Mean, b.MeanStall)
				}
			}
		}
	}
}
