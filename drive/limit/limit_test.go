package limit

import (
	"fmt"
	"testing"

	"magnoliastall.example/magno"
)

// customers are sixteen, a few of them large, whose limits are 1.8 times their usual.
func customers() []Customer {
	var list []Customer
	for i := range 16 {
		rate := 200 / float64((i+1)*(i+1))
		limit := max(rate*1500*1.8, 4200)
		list = append(list, Customer{Name: fmt.Sprint("c", i), Rate: rate, Cost: 1300, Limit: magno.Limit{Rate: limit, Burst: limit, Tokens: true}})
	}
	return list
}

// first are the first n entries.
func first(n int) (list []int) {
	for i := range n {
		list = append(list, i)
	}
	return list
}

// mostBelow is the share of what is within the limits that may be refused.
const mostBelow = 0.1

type load struct {
	name string
	make func(entries int) *World
}

// kills has so many entries end at a time, and others start in their place at another.
func kills(n int, from, to magno.Millis) map[magno.Millis]func(*World) {
	return map[magno.Millis]func(*World){
		from: func(w *World) { w.Change(first(n), func(i int) { w.Down[i] = true }) },
		to:   func(w *World) { w.Change(first(n), func(i int) { w.Down[i] = false; w.fleet.start(i) }) },
	}
}

// world is n entries with the usual requests.
func world(n int) *World { return &World{Entries: n, Customers: customers(), For: 30 * magno.Second} }

// killed is a fleet of which all processes are killed just after a customer with a large
// burst began to send eight times its usual.
func killed(n int) *World {
	w := world(n)
	w.Customers[1].Limit.Burst = 4 * w.Customers[1].Limit.Rate
	w.At = kills(n, 13*magno.Second, 13500)
	w.At[9*magno.Second] = func(w *World) { w.Customers[1].Rate *= 8 }
	return w
}

func loads() []load {
	return []load{
		{"calm", world},
		{"one at eight times its usual", func(n int) *World {
			w := world(n)
			w.Customers[1].Rate *= 8
			return w
		}},
		{"a small one at eight times its usual", func(n int) *World {
			w := world(n)
			w.Customers[9].Rate *= 8
			return w
		}},
		{"few connections", func(n int) *World {
			w := world(n)
			for i := range w.Customers {
				w.Customers[i].Spread = 2
			}
			return w
		}},
		{"limits lowered to a tenth", func(n int) *World {
			w := world(n)
			w.At = map[magno.Millis]func(*World){5 * magno.Second: func(w *World) {
				for _, c := range w.Customers[:3] {
					w.SetLimit(c.Name, magno.Limit{Rate: c.Limit.Rate / 10, Burst: c.Limit.Burst / 10, Tokens: true})
				}
			}}
			return w
		}},
		{"the first four are killed, one at eight times", func(n int) *World {
			w := world(n)
			w.Customers[1].Rate *= 8
			w.At = kills(4, 6*magno.Second, 7*magno.Second)
			return w
		}},
		{"six in ten are killed", func(n int) *World {
			w := world(n)
			w.At = kills(n*6/10, 6*magno.Second, 7*magno.Second)
			return w
		}},
		{"all lose power, one at eight times its usual", func(n int) *World {
			w := world(n)
			w.Customers[1].Rate *= 8
			w.At = kills(n, 6*magno.Second, 8*magno.Second)
			return w
		}},
		{"all processes are killed just after one with a large burst began", killed},
		{"a third is cut off, one at eight times", func(n int) *World {
			w := world(n)
			w.Customers[1].Rate *= 8
			w.At = map[magno.Millis]func(*World){
				6 * magno.Second:  func(w *World) { w.Change(first(n/3), func(i int) { w.Cut[i] = true }) },
				15 * magno.Second: func(w *World) { w.Change(first(n/3), func(i int) { w.Cut[i] = false }) },
			}
			return w
		}},
	}
}

// Guards against customers that have run more than their limit allows, and against
// refusing what is within it.
func TestAllowancesHold(t *testing.T) {
	for _, l := range loads() {
		for _, n := range []int{30, 100} {
			t.Run(fmt.Sprintf("%s, %d entries", l.name, n), func(t *testing.T) { hold(t, l.make, n) })
		}
	}
}

// Guards against a bound that holds only while few entries start at once.
func TestAllowancesHoldInALargeFleet(t *testing.T) { hold(t, killed, 200) }

// hold plays a load on n entries with a few seeds.
func hold(t *testing.T, load func(entries int) *World, n int) {
	t.Helper()
	for seed := range uint64(3) {
		w := load(n)
		w.Seed = seed
		r := w.Play()
		t.Logf("seed %d: %+v", seed, r)
		if r.Bound >= 1 {
			t.Errorf("seed %d: %.3f of what may run in a window has", seed, r.Bound)
		}
		if r.Below > mostBelow {
			t.Errorf("seed %d: %.3f less runs than one bucket lets run", seed, r.Below)
		}
	}
}
