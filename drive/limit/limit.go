// Package limit simulates the shared rate limits of customers across entries, with a
// simulated clock and without I/O.
//
//	request --> quota (its entry) <--lease--> grant (the customer's home) --> Result
//
// Load pattern: a customer at many times its usual rate, small customers with quotas of a
// few requests, entries that are killed or partitioned, and limits far below the offered
// load.
package limit

import (
	"math"
	"math/rand/v2"

	"magnoliastall.example/drive/later"
	"magnoliastall.example/magno"
	"magnoliastall.example/magno/slide"
)

const (
	// messageDelay is the delivery time of a message.
	messageDelay = 2 * magno.Millis(1)
	// callTimeout is when a call without a reply has failed.
	callTimeout = 150 * magno.Millis(1)
	// downDetection is how long entries take to notice that another one is down, joinTime
	// how long a restarted entry takes to learn about the others. Until then it assumes
	// assumedEntries.
	downDetection  = 2 * magno.Second
	joinTime       = 300 * magno.Millis(1)
	assumedEntries = 16
	// isolationLimit is how long a partitioned entry still accepts requests with
	// idempotency keys.
	isolationLimit = 5 * magno.Second
	// overshoot and overshootCost are the relative and absolute excess over a limit that
	// is allowed in a window.
	overshoot     = 0.25
	overshootCost = 17_000
	// window is the span over which a customer's cost is bounded.
	window       = 8 * magno.Second
	tickInterval = 10 * magno.Millis(1)
)

// Customer is a source of requests.
type Customer struct {
	Name  string
	Limit magno.Limit
	// Rate is in requests per second, Cost the mean cost of a request.
	Rate, Cost float64
	// EntryCount is the number of entries that receive its requests, zero for all.
	EntryCount int
}

// Simulation is a set of entries with their load and faults. Exported fields are set
// before Run.
type Simulation struct {
	Entries   int
	Customers []Customer
	// Duration is the length of the run; Seed seeds the drawing of requests.
	Duration magno.Millis
	Seed     uint64
	// Actions maps times to actions on the simulation.
	Actions map[magno.Millis]func(w *Simulation)

	Clock *magno.Clock
	// Down and Partitioned hold for each entry whether it is down and whether it is
	// unreachable.
	Down, Partitioned []bool
	// Bytes and Messages count the traffic between entries.
	Bytes, Messages int

	rng    *rand.Rand
	queue  later.Queue
	fleet  *fleet
	before []state // state of each entry before its last change
	// changedAt is the time of each entry's last change.
	changedAt []magno.Millis
	limits    map[string]*magno.Limit
	tally     map[string]*tally
	totalWait magno.Millis
	decisions int
}

// Result is the outcome for the customers.
type Result struct {
	// Shortfall is how much less cost is admitted than by a single shared bucket, as a
	// share of the latter. WorstShortfall is the same for the worst customer.
	Shortfall, WorstShortfall float64
	// PeakLimitUse is the highest cost in any window as a share of the limit in it,
	// PeakBoundUse as a share of the limit plus the allowed excess.
	PeakLimitUse, PeakBoundUse float64
	// Wait is the mean wait for a verdict in milliseconds.
	Wait float64
	// Bytes and Messages are per second and entry.
	Bytes, Messages float64
}

// referenceQuota admits what a limit allows in any window, counted centrally.
type referenceQuota struct {
	granted slide.Sum
}

func (q *referenceQuota) take(cost float64, l magno.Limit, now magno.Millis) bool {
	if limit := l.Rate*float64(window)/1000 + l.Burst; q.granted.Total(now)+cost > limit {
		return false
	}
	q.granted.Add(cost, now)
	return true
}

// state is the fault state of an entry.
type state struct{ down, partitioned bool }

type tally struct {
	reference referenceQuota
	// expected is the cost that a single shared bucket admits, served the cost that was
	// admitted.
	expected, served float64
	// inWindow are the requests of the last window, windowCost their total cost.
	inWindow                   []run
	windowCost                 float64
	peakLimitUse, peakBoundUse float64
}

type run struct {
	at   magno.Millis
	cost float64
}

// Run runs the simulation to its end.
func (s *Simulation) Run() Result {
	s.setup()
	for at, action := range s.Actions {
		s.after(at, func() { action(s) })
	}
	for i := range s.Customers {
		s.arrive(&s.Customers[i])
	}
	s.after(tickInterval, s.tick)
	end := s.Clock.Now() + s.Duration
	for {
		at, do := s.queue.Pop()
		if at > end {
			break
		}
		s.Clock.Advance(at - s.Clock.Now())
		do()
	}
	return s.result()
}

func (s *Simulation) setup() {
	s.Clock = magno.NewClock(magno.Hour)
	s.rng = rand.New(rand.NewPCG(s.Seed, 1)) //nolint:gosec // reproducible load, no secret
	s.Down, s.Partitioned = make([]bool, s.Entries), make([]bool, s.Entries)
	s.before, s.changedAt = make([]state, s.Entries), make([]magno.Millis, s.Entries)
	s.limits, s.tally = map[string]*magno.Limit{}, map[string]*tally{}
	for i := range s.Customers {
		c := &s.Customers[i]
		l := c.Limit
		s.limits[c.Name] = &l
		s.tally[c.Name] = &tally{reference: referenceQuota{granted: slide.Sum{Window: window}}}
	}
	s.fleet = newFleet(s)
}

// after schedules an event.
func (s *Simulation) after(d magno.Millis, f func()) { s.queue.Schedule(s.Clock.Now()+d, f) }

func (s *Simulation) tick() {
	for i := range s.Entries {
		if !s.Down[i] {
			s.fleet.tick(i)
		}
	}
	s.after(tickInterval, s.tick)
}

// arrive schedules a customer's next request.
func (s *Simulation) arrive(c *Customer) {
	pause := magno.Millis(s.rng.ExpFloat64() / c.Rate * float64(magno.Second))
	s.after(pause, func() {
		s.request(c)
		s.arrive(c)
	})
}

func (s *Simulation) request(c *Customer) {
	entry := s.rng.IntN(s.Entries)
	if c.EntryCount > 0 {
		entry %= c.EntryCount
	}
	for tries := 0; s.Down[entry] && tries < s.Entries; tries++ { // callers connect to another entry
		entry = (entry + 1) % s.Entries
	}
	if s.Down[entry] || s.isolated(entry) {
		return
	}
	cost := math.Min(c.Cost*math.Exp(s.rng.NormFloat64()*0.5), 7000)
	now := s.Clock.Now()
	t := s.tally[c.Name]
	if t.reference.take(cost, *s.limits[c.Name], now) {
		t.expected += cost
	}
	s.fleet.admit(entry, c.Name, cost, func(runs bool) {
		s.totalWait += s.Clock.Now() - now
		s.decisions++
		if runs {
			t.add(cost, s.Clock.Now(), *s.limits[c.Name])
		}
	})
}

func (t *tally) add(cost float64, now magno.Millis, l magno.Limit) {
	t.served += cost
	t.windowCost += cost
	t.inWindow = append(t.inWindow, run{now, cost})
	for now-t.inWindow[0].at >= window {
		t.windowCost -= t.inWindow[0].cost
		t.inWindow = t.inWindow[1:]
	}
	limit := l.Rate*float64(window)/1000 + l.Burst
	t.peakLimitUse = max(t.peakLimitUse, t.windowCost/limit)
	t.peakBoundUse = max(t.peakBoundUse, t.windowCost/(limit*(1+overshoot)+overshootCost))
}

// Send delivers a message to another entry, if that is up and neither end is partitioned.
func (s *Simulation) Send(from, to, bytes int, f func()) {
	s.Messages++
	s.Bytes += bytes
	if s.Partitioned[from] || s.Partitioned[to] {
		return
	}
	s.after(messageDelay, func() {
		if !s.Down[to] {
			f()
		}
	})
}

// Alive reports whether an entry considers another one alive.
func (s *Simulation) Alive(self, other int) bool {
	a, b := s.observed(self), s.observed(other)
	return self == other || (!b.down && !a.partitioned && !b.partitioned)
}

// observed returns an entry's state as others have detected it.
func (s *Simulation) observed(i int) state {
	now := state{s.Down[i], s.Partitioned[i]}
	since, delay := s.Clock.Now()-s.changedAt[i], downDetection
	if s.before[i].down && !now.down {
		delay = joinTime
	}
	if since < delay {
		return s.before[i]
	}
	return now
}

// Apply changes the state of entries; the others detect it later.
func (s *Simulation) Apply(entries []int, f func(i int)) {
	for _, i := range entries {
		s.before[i], s.changedAt[i] = state{s.Down[i], s.Partitioned[i]}, s.Clock.Now()
		f(i)
	}
}

// isolated reports whether an entry has been partitioned for so long that it refuses
// requests with idempotency keys.
func (s *Simulation) isolated(i int) bool {
	return s.Partitioned[i] && s.Clock.Now()-s.changedAt[i] > isolationLimit
}

// SetLimit changes a customer's limit and restarts the measurement of its windows.
func (s *Simulation) SetLimit(customer string, l magno.Limit) {
	*s.limits[customer] = l
	t := s.tally[customer]
	t.inWindow, t.windowCost, t.peakLimitUse, t.peakBoundUse = nil, 0, 0, 0
}

func (s *Simulation) result() Result {
	var r Result
	var expected, missing float64
	for _, c := range s.Customers {
		t := s.tally[c.Name]
		shortfall := max(t.expected-t.served, 0)
		expected += t.expected
		missing += shortfall
		if t.expected > 0 {
			r.WorstShortfall = max(r.WorstShortfall, shortfall/t.expected)
		}
		r.PeakLimitUse = max(r.PeakLimitUse, t.peakLimitUse)
		r.PeakBoundUse = max(r.PeakBoundUse, t.peakBoundUse)
	}
	r.Shortfall = missing / max(expected, 1)
	r.Wait = float64(s.totalWait) / float64(max(s.decisions, 1))
	seconds := float64(s.Duration) / 1000 * float64(s.Entries)
	r.Bytes, r.Messages = float64(s.Bytes)/seconds, float64(s.Messages)/seconds
	return r
}
