// Package limit plays customers' requests on the allowances that entries share, with a
// driven clock and without I/O.
//
//	request --> quota (its entry) <--lease--> grant (the customer's home) --> Result
//
// Load pattern: a customer at many times its usual, small customers whose allowance is a
// few requests, entries that are killed or cut off, limits far below what is sent.
package limit

import (
	"math"
	"math/rand/v2"

	"magnoliastall.example/drive/later"
	"magnoliastall.example/magno"
	"magnoliastall.example/magno/slide"
)

const (
	// hop is how long a message takes.
	hop = 2 * magno.Millis(1)
	// callTime is when a call without an answer has failed.
	callTime = 150 * magno.Millis(1)
	// noticed is how long entries take to notice that another one is gone, met how long
	// one that starts takes to meet the others. Until then it counts unmet entries.
	noticed = 2 * magno.Second
	met     = 300 * magno.Millis(1)
	unmet   = 16
	// sureFor is how long an entry that is cut off takes requests with keys.
	sureFor = 5 * magno.Second
	// overshoot and slack are what may run beyond an allowance in a window.
	overshoot = 0.25
	slack     = 17_000
	// window is the span in which what a customer has run is bounded.
	window = 8 * magno.Second
	step   = 10 * magno.Millis(1)
)

// Customer sends requests.
type Customer struct {
	Name  string
	Limit magno.Limit
	// Rate is the requests a second, Cost their mean cost.
	Rate, Cost float64
	// Spread is by how many entries its requests come, zero for all.
	Spread int
}

// World is the entries and what happens to them. Exported fields are set before Play.
type World struct {
	Entries   int
	Customers []Customer
	// For is how long it is played, Seed draws requests.
	For  magno.Millis
	Seed uint64
	// At maps times to what happens then.
	At map[magno.Millis]func(w *World)

	Clock *magno.Clock
	// Down and Cut tell of each entry whether it runs, and whether messages reach it.
	Down, Cut []bool
	// Bytes and Messages count what entries tell each other.
	Bytes, Messages int

	rng   *rand.Rand
	queue later.Queue
	fleet *fleet
	was   []state // each entry's before its last change
	// changed is when that was.
	changed []magno.Millis
	limits  map[string]*magno.Limit
	tally   map[string]*tally
	waited  magno.Millis
	decided int
}

// Result is how the customers fared.
type Result struct {
	// Below is how much less runs than one bucket for all would let run, as a share of
	// that; Small the same of the worst customer.
	Below, Small float64 // Over is the most in any window, as a share of the limit there; Bound is that as a
	// share of what may run at most.
	Over, Bound float64
	// Wait is the mean wait for a verdict in milliseconds.
	Wait float64
	// Bytes and Messages are a second, of each entry.
	Bytes, Messages float64
}

// ideal lets run what an allowance has in any window, counted in one place.
type ideal struct {
	granted slide.Sum
}

func (i *ideal) take(cost float64, l magno.Limit, now magno.Millis) bool {
	if most := l.Rate*float64(window)/1000 + l.Burst; i.granted.Total(now)+cost > most {
		return false
	}
	i.granted.Add(cost, now)
	return true
}

// state is what befell an entry.
type state struct{ down, cut bool }

type tally struct {
	ideal ideal
	// owed is what one bucket for all lets run, ran what did.
	owed, ran float64
	// runs are those of the last window, sum their cost.
	runs        []run
	sum         float64
	over, bound float64
}

type run struct {
	at   magno.Millis
	cost float64
}

// Play plays the world to its end.
func (w *World) Play() Result {
	w.setup()
	for at, happens := range w.At {
		w.after(at, func() { happens(w) })
	}
	for i := range w.Customers {
		w.arrive(&w.Customers[i])
	}
	w.after(step, w.tick)
	end := w.Clock.Now() + w.For
	for {
		at, do := w.queue.Pop()
		if at > end {
			break
		}
		w.Clock.Advance(at - w.Clock.Now())
		do()
	}
	return w.result()
}

func (w *World) setup() {
	w.Clock = magno.NewClock(magno.Hour)
	w.rng = rand.New(rand.NewPCG(w.Seed, 1)) //nolint:gosec // a drawn load
	w.Down, w.Cut = make([]bool, w.Entries), make([]bool, w.Entries)
	w.was, w.changed = make([]state, w.Entries), make([]magno.Millis, w.Entries)
	w.limits, w.tally = map[string]*magno.Limit{}, map[string]*tally{}
	for i := range w.Customers {
		c := &w.Customers[i]
		l := c.Limit
		w.limits[c.Name] = &l
		w.tally[c.Name] = &tally{ideal: ideal{granted: slide.Sum{Window: window}}}
	}
	w.fleet = newFleet(w)
}

// after has something happen later.
func (w *World) after(d magno.Millis, f func()) { w.queue.Schedule(w.Clock.Now()+d, f) }

func (w *World) tick() {
	for i := range w.Entries {
		if !w.Down[i] {
			w.fleet.tick(i)
		}
	}
	w.after(step, w.tick)
}

// arrive draws a customer's next request.
func (w *World) arrive(c *Customer) {
	pause := magno.Millis(w.rng.ExpFloat64() / c.Rate * float64(magno.Second))
	w.after(pause, func() {
		w.request(c)
		w.arrive(c)
	})
}

func (w *World) request(c *Customer) {
	entry := w.rng.IntN(w.Entries)
	if c.Spread > 0 {
		entry %= c.Spread
	}
	for tries := 0; w.Down[entry] && tries < w.Entries; tries++ { // callers connect elsewhere
		entry = (entry + 1) % w.Entries
	}
	if w.Down[entry] || w.unsure(entry) {
		return
	}
	cost := math.Min(c.Cost*math.Exp(w.rng.NormFloat64()*0.5), 7000)
	now := w.Clock.Now()
	t := w.tally[c.Name]
	if t.ideal.take(cost, *w.limits[c.Name], now) {
		t.owed += cost
	}
	w.fleet.ask(entry, c.Name, cost, func(runs bool) {
		w.waited += w.Clock.Now() - now
		w.decided++
		if runs {
			t.add(cost, w.Clock.Now(), *w.limits[c.Name])
		}
	})
}

func (t *tally) add(cost float64, now magno.Millis, l magno.Limit) {
	t.ran += cost
	t.sum += cost
	t.runs = append(t.runs, run{now, cost})
	for now-t.runs[0].at >= window {
		t.sum -= t.runs[0].cost
		t.runs = t.runs[1:]
	}
	limit := l.Rate*float64(window)/1000 + l.Burst
	t.over = max(t.over, t.sum/limit)
	t.bound = max(t.bound, t.sum/(limit*(1+overshoot)+slack))
}

// Send brings a message to another entry, if that runs and the way is open.
func (w *World) Send(from, to, bytes int, f func()) {
	w.Messages++
	w.Bytes += bytes
	if w.Cut[from] || w.Cut[to] {
		return
	}
	w.after(hop, func() {
		if !w.Down[to] {
			f()
		}
	})
}

// Alive tells whether one entry believes another to be alive.
func (w *World) Alive(self, other int) bool {
	a, b := w.believed(self), w.believed(other)
	return self == other || (!b.down && !a.cut && !b.cut)
}

// believed is an entry's state as others noticed it.
func (w *World) believed(i int) state {
	now := state{w.Down[i], w.Cut[i]}
	since, after := w.Clock.Now()-w.changed[i], noticed
	if w.was[i].down && !now.down {
		after = met
	}
	if since < after {
		return w.was[i]
	}
	return now
}

// Change does something to entries, which others notice later.
func (w *World) Change(entries []int, f func(i int)) {
	for _, i := range entries {
		w.was[i], w.changed[i] = state{w.Down[i], w.Cut[i]}, w.Clock.Now()
		f(i)
	}
}

// unsure tells whether an entry refuses all that needs a key, since it was cut off for
// too long.
func (w *World) unsure(i int) bool {
	return w.Cut[i] && w.Clock.Now()-w.changed[i] > sureFor
}

// SetLimit changes a customer's limit.
func (w *World) SetLimit(customer string, l magno.Limit) {
	*w.limits[customer] = l
	t := w.tally[customer]
	t.runs, t.sum, t.over, t.bound = nil, 0, 0, 0
}

func (w *World) result() Result {
	var r Result
	var owed, lost float64
	for _, c := range w.Customers {
		t := w.tally[c.Name]
		less := max(t.owed-t.ran, 0)
		owed += t.owed
		lost += less
		if t.owed > 0 {
			r.Small = max(r.Small, less/t.owed)
		}
		r.Over = max(r.Over, t.over)
		r.Bound = max(r.Bound, t.bound)
	}
	r.Below = lost / max(owed, 1)
	r.Wait = float64(w.waited) / float64(max(w.decided, 1))
	seconds := float64(w.For) / 1000 * float64(w.Entries)
	r.Bytes, r.Messages = float64(w.Bytes)/seconds, float64(w.Messages)/seconds
	return r
}
