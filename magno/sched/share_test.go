package sched

import (
	"fmt"
	"testing"

	"magnoliastall.example/magno"
)

// One customer, of weight 3, gives its jobs 15 seconds, another, of weight 1,
// gives them a minute and sends twice what the engine can do. If the longer
// deadlines bought a larger part of the queue, the first would be refused
// beside an engine that works for the second; if the second were admitted by
// what is queued at the moment, work of the first that comes meanwhile would
// make it late. Each must get nine tenths of its max-min part of what the
// engine can do, and at most one in a hundred of the admitted may be late.
func TestDeadlinesBuyNoShare(t *testing.T) {
	tests := []struct {
		name string
		// rate is what the first sends, fair its max-min part of capacity.
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
			e.play(seconds*magno.Second, func() { quick(); patient() })
			part := func(customer string) float64 {
				n := 0
				for i := range callers {
					n += len(e.took[fmt.Sprint(customer, i)])
				}
				return float64(n) / capacity / seconds
			}
			if got := part("quick"); got < 0.9*tt.fair {
				t.Errorf("the first gets %.3f of the engine, its part is %.2f", got, tt.fair)
			}
			if got := part("patient"); got < 0.9*(1-tt.fair) {
				t.Errorf("the second gets %.3f of the engine, its part is %.2f", got, 1-tt.fair)
			}
			if e.late*100 > e.good() {
				t.Errorf("%d in time, %d late", e.good(), e.late)
			}
		})
	}
}
