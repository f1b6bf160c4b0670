package aims

import (
	"testing"

	"magnoliastall.example/drive/load"
	"magnoliastall.example/drive/sim"
	"magnoliastall.example/drive/tally"
)

// Guards against missed targets reported as met, and against comparison with a baseline
// other than the best.
func TestFrom(t *testing.T) {
	line := func(scene, policy string, p99 int64, batch, goodput float64) tally.Line {
		return tally.Line{Case: scene, Policy: policy, Customer: "all", BatchEfficiency: batch, Goodput: goodput,
			Stall: tally.Distribution{P99: p99}, OtherLatency: tally.Distribution{P95: p99}, Admitted: 1000, InTime: 989}
	}
	lines := []tally.Line{
		line(load.Steady, "random", 9000, 0.5, 1), line(load.Steady, "least", 4000, 0.6, 1),
		line(load.Steady, sim.PolicyOurs, 1000, 0.78, 1), line(load.Full, sim.PolicyOurs, 1000, 0.9, 100),
		line(load.Over3, sim.PolicyOurs, 1000, 0.9, 94), line(load.HotCaller, sim.PolicyOurs, 1101, 0.9, 1),
		{Case: load.Steady, Policy: sim.PolicyBound, Customer: tally.BoundCustomer, BatchEfficiency: 0.86},
	}
	tests := []struct {
		deploy string
		met    []bool
	}{
		{"cursada", []bool{true, false, false, false}},
		{"delta", []bool{true, true, false, false, false}},
	}
	for _, tt := range tests {
		got := Evaluate(tt.deploy, lines)
		if len(got) != len(tt.met) {
			t.Fatalf("%s: got %d targets, want %d", tt.deploy, len(got), len(tt.met))
		}
		for i, a := range got {
			if a.Met() != tt.met[i] {
				t.Errorf("%s: %s: got %.3f, limit %.3f, met %v", tt.deploy, a.Name, a.Value, a.Limit, a.Met())
			}
		}
	}
}
