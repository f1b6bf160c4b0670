package limit

import (
	"fmt"
	"testing"

	"magnoliastall.example/magno"
)

// customers returns sixteen customers of very different rates, with limits of 1.8 times
// their usual load.
func customers() []Customer {
	var list []Customer
	for i := range 16 {
		rate := 200 / float64((i+1)*(i+1))
		limit := max(rate*1500*1.8, 4200)
		list = append(list, Customer{Name: fmt.Sprint("c", i), Rate: rate, Cost: 1300, Limit: magno.Limit{Rate: limit, Burst: limit, Tokens: true}})
	}
	return list
}

// firstEntries returns the indices of the first n entries.
func firstEntries(n int) (list []int) {
	for i := range n {
		list = append(list, i)
	}
	return list
}

// maxShortfall is the maximum share of load within the limits that may be refused.
const maxShortfall = 0.1

type scenario struct {
	name string
	make func(entries int) *Simulation
}

// restartEntries returns actions that kill the first n entries at one time and restart
// them empty at another.
func restartEntries(n int, from, to magno.Millis) map[magno.Millis]func(*Simulation) {
	return map[magno.Millis]func(*Simulation){
		from: func(w *Simulation) { w.Apply(firstEntries(n), func(i int) { w.Down[i] = true }) },
		to:   func(w *Simulation) { w.Apply(firstEntries(n), func(i int) { w.Down[i] = false; w.fleet.start(i) }) },
	}
}

// newSimulation returns n entries with the usual load.
func newSimulation(n int) *Simulation {
	return &Simulation{Entries: n, Customers: customers(), Duration: 30 * magno.Second}
}

// killAll returns a simulation in which all processes are killed just after a customer
// with a large burst began to send eight times its usual rate.
func killAll(n int) *Simulation {
	w := newSimulation(n)
	w.Customers[1].Limit.Burst = 4 * w.Customers[1].Limit.Rate
	w.Actions = restartEntries(n, 13*magno.Second, 13500)
	w.Actions[9*magno.Second] = func(w *Simulation) { w.Customers[1].Rate *= 8 }
	return w
}

func scenarios() []scenario {
	return []scenario{
		{"calm", newSimulation},
		{"one at eight times its usual", func(n int) *Simulation {
			w := newSimulation(n)
			w.Customers[1].Rate *= 8
			return w
		}},
		{"a small one at eight times its usual", func(n int) *Simulation {
			w := newSimulation(n)
			w.Customers[9].Rate *= 8
			return w
		}},
		{"few connections", func(n int) *Simulation {
			w := newSimulation(n)
			for i := range w.Customers {
				w.Customers[i].EntryCount = 2
			}
			return w
		}},
		{"limits lowered to a tenth", func(n int) *Simulation {
			w := newSimulation(n)
			w.Actions = map[magno.Millis]func(*Simulation){5 * magno.Second: func(w *Simulation) {
				for _, c := range w.Customers[:3] {
					w.SetLimit(c.Name, magno.Limit{Rate: c.Limit.Rate / 10, Burst: c.Limit.Burst / 10, Tokens: true})
				}
			}}
			return w
		}},
		{"the first four are killed, one at eight times", func(n int) *Simulation {
			w := newSimulation(n)
			w.Customers[1].Rate *= 8
			w.Actions = restartEntries(4, 6*magno.Second, 7*magno.Second)
			return w
		}},
		{"six in ten are killed", func(n int) *Simulation {
			w := newSimulation(n)
			w.Actions = restartEntries(n*6/10, 6*magno.Second, 7*magno.Second)
			return w
		}},
		{"all lose power, one at eight times its usual", func(n int) *Simulation {
			w := newSimulation(n)
			w.Customers[1].Rate *= 8
			w.Actions = restartEntries(n, 6*magno.Second, 8*magno.Second)
			return w
		}},
		{"all processes are killed just after one with a large burst began", killAll},
		{"a third is cut off, one at eight times", func(n int) *Simulation {
			w := newSimulation(n)
			w.Customers[1].Rate *= 8
			w.Actions = map[magno.Millis]func(*Simulation){
				6 * magno.Second:  func(w *Simulation) { w.Apply(firstEntries(n/3), func(i int) { w.Partitioned[i] = true }) },
				15 * magno.Second: func(w *Simulation) { w.Apply(firstEntries(n/3), func(i int) { w.Partitioned[i] = false }) },
			}
			return w
		}},
	}
}

// Guards against customers that exceed their limit by more than the tolerance, and against
// refusing load within the limit.
func TestAllowancesHold(t *testing.T) {
	for _, l := range scenarios() {
		for _, n := range []int{30, 100} {
			t.Run(fmt.Sprintf("%s, %d entries", l.name, n), func(t *testing.T) { checkBounds(t, l.make, n) })
		}
	}
}

// Guards against a bound that holds only while few entries restart at once.
func TestAllowancesHoldInALargeFleet(t *testing.T) { checkBounds(t, killAll, 200) }

// checkBounds runs a scenario on n entries with a few seeds.
func checkBounds(t *testing.T, newSim func(entries int) *Simulation, n int) {
	t.Helper()
	for seed := range uint64(3) {
		w := newSim(n)
		w.Seed = seed
		r := w.Run()
		t.Logf("seed %d: %+v", seed, r)
		if r.PeakBoundUse >= 1 {
			t.Errorf("seed %d: admitted cost is %.3f of the maximum in a window", seed, r.PeakBoundUse)
		}
		if r.Shortfall > maxShortfall {
			t.Errorf("seed %d: admitted cost is %.3f below that of a single bucket", seed, r.Shortfall)
		}
	}
}
