package tally

import (
	"math"
	"testing"

	"magnoliastall.example/magno"
)

// Guards against a fairness index that reports a customer with little demand as treated
// badly, or hides that a customer takes the share of another.
func TestFairness(t *testing.T) {
	tests := []struct {
		name string
		// asked and got are the tokens of a customer of weight 3 and of one of weight 1.
		asked, got [2]int
		jain, part float64
	}{
		{"all served", [2]int{100, 50}, [2]int{100, 50}, 1, 1},
		{"by weight", [2]int{1000, 1000}, [2]int{300, 100}, 1, 1},
		{"little asked", [2]int{10, 1000}, [2]int{10, 390}, 1, 1},
		{"even halves", [2]int{1000, 1000}, [2]int{200, 200}, 0.8, 2.0 / 3},
		{"one starved", [2]int{1000, 1000}, [2]int{0, 400}, 0.5, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			tl := New([]magno.Customer{{Name: "a", Weight: 3}, {Name: "b", Weight: 1}})
			for i, name := range []string{"a", "b"} {
				add := func(tokens int, refusal *magno.Refusal) {
					job := magno.Job{Customer: name, Output: tokens, Deadline: 10}
					tl.Add(Answer{Job: job, Refusal: refusal, Admitted: refusal == nil, Latency: 5, Engine: true})
				}
				add(tt.got[i], nil)
				add(tt.asked[i]-tt.got[i], magno.Refuse(magno.KindBusy, "full"))
			}
			jain, _, part := tl.Fairness()
			if math.Abs(jain-tt.jain) > 0.01 || math.Abs(part-tt.part) > 0.01 {
				t.Errorf("Jain %.3f, worst share %.3f", jain, part)
			}
		})
	}
}

// A policy that refuses the requests that would stall has short stalls. StallWithRefused
// must count the refused requests as well.
func TestRefusedLoadsCountAsStalls(t *testing.T) {
	tl := New(nil)
	job := magno.Job{Customer: "a", Output: 1, Arrived: 100, Deadline: 20100}
	tl.Add(Answer{Job: job, Admitted: true, Engine: true, Stall: 7, Latency: 50})
	tl.Add(Answer{Job: job, Engine: true, Refusal: magno.Refuse(magno.KindLoading, "no")})
	tl.Add(Answer{Job: job, Engine: true, Admitted: true, Latency: 30000})
	l := tl.Lines(1)[0]
	if l.Stall.P99 > 10 || l.StallWithRefused.P99 < 19900 || l.InTime != 1 || l.Served != 2 || l.InTimeShare() != 0.5 {
		t.Errorf("%+v", l)
	}
}
