package sched

import (
	"fmt"
	"testing"

	"magnoliastall.example/magno"
)

// One customer, of weight 3, has deadlines of 15 seconds. Another, of weight 1, has
// deadlines of a minute and sends twice the engine's capacity. If longer deadlines
// gave a larger share of the queue, the first would be refused while the engine
// works for the second. If the second were admitted only by what is queued on
// arrival, later jobs of the first would make it late. Each must get nine tenths of
// its max-min fair share of the capacity, and at most one in a hundred admitted jobs
// may be late.
func TestLongDeadlinesGainNoShare(t *testing.T) {
	tests := []struct {
		name string
		// rate is the first customer's load and fair its max-min fair share, both as
		// fractions of the capacity.
		rate, fair float64
	}{
		{"under its share", 0.5, 0.5},
		{"just under", 0.7, 0.7},
		{"over it", 2, 0.75},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			const seconds, callers = 300, 20
			e := newEngine(8)
			e.s.Weights = map[string]float64{"quick": 3, "patient": 1}
			offer := func(customer string, patience magno.Millis) func() {
				return func() {
					j := job(customer, e.rand.IntN(6))
					j.Customer, j.Caller = customer, fmt.Sprint(customer, e.rand.IntN(callers))
					e.offer(j, patience)
				}
			}
			quick := e.poisson(tt.rate*capacity, offer("quick", 15*magno.Second))
			patient := e.poisson(2*capacity, offer("patient", magno.Minute))
			e.simulate(seconds*magno.Second, func() { quick(); patient() })
			part := func(customer string) float64 {
				n := 0
				for i := range callers {
					n += len(e.latencies[fmt.Sprint(customer, i)])
				}
				return float64(n) / capacity / seconds
			}
			if got := part("quick"); got < 0.9*tt.fair {
				t.Errorf("the first customer gets %.3f of the capacity, its fair share is %.2f", got, tt.fair)
			}
			if got := part("patient"); got < 0.9*(1-tt.fair) {
				t.Errorf("the second customer gets %.3f of the capacity, its fair share is %.2f", got, 1-tt.fair)
			}
			if e.late*100 > e.inTime() {
				t.Errorf("%d jobs in time, %d late", e.inTime(), e.late)
			}
		})
	}
}
