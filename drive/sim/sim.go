// Package sim runs routers and schedulers, the same code as in the daemons,
// between small fakes of engines and a weight store. Time is driven: a run of
// an hour takes seconds and gives the same result every time. It has no
// network and no processes, and the fleet itself doesn't fail in it.
//
//	load --> entry: Router.Route --> upstream: Scheduler.Offer, Next
//	            ^                        |  ^
//	            |                 start, load, unload
//	       Report, Ended                 v  |
//	            +------ answer ------ fake engine, fake store --> tally
package sim

import (
	"fmt"
	"math/rand/v2"

	"magnoliastall.example/drive/fake"
	"magnoliastall.example/drive/later"
	"magnoliastall.example/drive/load"
	"magnoliastall.example/drive/store"
	"magnoliastall.example/drive/tally"
	"magnoliastall.example/magno"
	"magnoliastall.example/magno/retry"
)

const (
	// start is when a run begins; far from zero, so that a zero time shows.
	start = magno.Millis(1_700_000_000_000)
	// tick is how often a scheduler with waiting jobs is asked for orders
	// when nothing else happens to it.
	tick = 20 * magno.Millis(1)
	// unloadTime is how long an engine takes to free a slot.
	unloadTime = 2 * magno.Millis(1)
	// refuseTime is how long it takes to learn that a load was refused.
	refuseTime = 2 * magno.Millis(1)
	// attempts is how many upstreams an entry offers a request to at most.
	attempts = 3
	// drain is how long a run goes on after its last arrival, at most.
	drain = 5 * magno.Minute
)

// Sim is one run of one policy. Its fields are set before Run.
type Sim struct {
	Workload *load.Workload
	Policy   Policy
	// Arrivals are made by Load; they are passed so that policies share them.
	Arrivals []load.Arrival

	clock   *magno.Clock
	events  later.Queue
	entries map[string][]entry
	ups     map[string]*upstream
	order   []*upstream
	store   *store.Store
	loads   map[int64]pending
	loadID  int64
	storeAt magno.Millis
	turns   *turns
	tally   *tally.Tally
}

// entry is an entry instance's side of one pool.
type entry struct {
	router magno.Router
	budget *retry.Budget
	dc     string
}

type pending struct {
	up   *upstream
	ref  magno.Ref
	boot int
}

// Run plays the run to its end.
func (s *Sim) Run() (*tally.Tally, error) {
	s.clock = magno.NewClock(start)
	s.tally = tally.New(s.Workload.Deployment.Customers)
	s.loads = map[int64]pending{}
	d := &s.Workload.Deployment
	s.store = &store.Store{Rate: d.LoadRate, Load: d.Limits.Load, Width: d.ParallelLoads, Rand: rand.New(rand.NewPCG(s.Workload.Seed, 0x5703))}
	s.turns = newTurns(s)
	if err := s.build(); err != nil {
		return nil, err
	}
	for _, f := range s.Workload.Faults() {
		s.at(start+f.At, func() { s.fault(f) })
	}
	s.at(start+s.Workload.WarmUp, s.warmed)
	s.at(start+s.Workload.Duration, s.count)
	next := 0
	end := start + s.Workload.Duration + drain
	for {
		arrive := magno.Millis(1 << 62)
		if next < len(s.Arrivals) {
			arrive = start + s.Arrivals[next].Job.Arrived
		}
		planned, ok := s.events.NextTime()
		if !ok && next >= len(s.Arrivals) {
			break
		}
		if ok && planned <= arrive {
			at, do := s.events.Pop()
			if at > end {
				break
			}
			s.clock.Advance(at - s.clock.Now())
			do()
			continue
		}
		s.clock.Advance(arrive - s.clock.Now())
		s.arrive(&s.Arrivals[next])
		next++
	}
	s.finish()
	return s.tally, nil
}

func (s *Sim) at(when magno.Millis, do func()) { s.events.Schedule(when, do) }

func (s *Sim) after(d magno.Millis, do func()) { s.at(s.clock.Now()+d, do) }

// build makes the upstreams and each entry's routers.
func (s *Sim) build() error {
	d := &s.Workload.Deployment
	s.ups = map[string]*upstream{}
	s.entries = map[string][]entry{}
	weights := map[string]float64{}
	for _, b := range d.Customers {
		weights[b.Name] = b.Weight
	}
	pools := []struct {
		name   string
		n      int
		limits magno.Limits
	}{{load.PoolReading, d.Engines, d.Limits}, {load.PoolPlain, d.PlainUpstreams, d.PlainLimits}}
	for _, p := range pools {
		var targets []magno.Target
		for i := range p.n {
			name := fmt.Sprintf("%s-%d", p.name, i)
			dc := fmt.Sprintf("dc%d", i%d.DataCentres)
			e := env{Clock: s.clock, Limits: p.limits, Weights: weights, Seed: s.Workload.Seed + uint64(i), Name: name, DataCentre: dc,
				Turns: p.name == load.PoolReading}
			sched, err := newScheduler(s.Policy.Scheduler, e)
			if err != nil {
				return err
			}
			up := &upstream{sim: s, name: name, dc: dc, pool: p.name, sched: sched,
				engine: &fake.Engine{Limits: p.limits, PrefixCacheSize: d.PrefixCacheSize}, jobs: map[string]*request{}}
			up.holder.turner, _ = sched.(magno.Turner)
			s.ups[name] = up
			s.order = append(s.order, up)
			targets = append(targets, magno.Target{Name: name, DataCentre: dc})
		}
		for i := range d.Entries {
			e := env{Clock: s.clock, Seed: s.Workload.Seed*31 + uint64(i), Name: fmt.Sprintf("entry-%d", i),
				DataCentre: fmt.Sprintf("dc%d", i%d.DataCentres)}
			r, err := newRouter(s.Policy.Router, e)
			if err != nil {
				return err
			}
			r.Update(targets)
			s.entries[p.name] = append(s.entries[p.name], entry{r, &retry.Budget{Seed: e.Seed}, e.DataCentre})
		}
	}
	return nil
}

func (s *Sim) fault(f load.Fault) {
	switch f.Kind {
	case load.Slow:
		s.order[f.Engine].engine.Slowdown = f.Slowdown
	case load.Restart:
		s.order[f.Engine].restart()
	case load.Store:
		s.store.Change(s.clock.Now(), f.Slowdown, f.FailureRate)
		s.watchStore()
	}
}

func (s *Sim) beginLoad(up *upstream, ref magno.Ref) {
	s.loadID++
	p := pending{up, ref, up.boot}
	if !s.store.Begin(s.clock.Now(), s.loadID) {
		s.after(refuseTime, func() { up.loaded(p, false) })
		return
	}
	s.loads[s.loadID] = p
	s.watchStore()
}

// watchStore plans a look at the store for when its next load ends. An event
// that a change made obsolete finds nothing to take.
func (s *Sim) watchStore() {
	when, ok := s.store.Next()
	if !ok || (s.storeAt > s.clock.Now() && s.storeAt <= when) {
		return
	}
	s.storeAt = when
	s.at(when, func() {
		if s.storeAt == s.clock.Now() {
			s.storeAt = 0
		}
		for _, id := range s.store.Take(s.clock.Now()) {
			p := s.loads[id]
			delete(s.loads, id)
			p.up.loaded(p, true)
		}
		s.watchStore()
	})
}

// warmed forgets what the engines did until now.
func (s *Sim) warmed() {
	for _, up := range s.order {
		up.engine.Steps, up.engine.CapacityTokens, up.engine.UsedTokens = 0, 0, 0
	}
	s.store.Loads, s.store.Failed, s.store.Refused = 0, 0, 0
}

// count sums the engines up when the last arrivals come: the steps that empty
// them afterwards are no part of any load.
func (s *Sim) count() {
	for _, up := range s.order {
		if up.pool == load.PoolReading {
			s.tally.Steps += up.engine.Steps
			s.tally.Capacity += up.engine.CapacityTokens
			s.tally.Used += up.engine.UsedTokens
		}
	}
	s.tally.Loads, s.tally.Failed = s.store.Loads, s.store.Failed+s.store.Refused
}

// finish refuses what is still open.
func (s *Sim) finish() {
	for _, up := range s.order {
		for _, id := range up.open() {
			up.jobs[id].end(magno.Refuse(magno.KindDeadline, "still open when the run ended"))
		}
		s.tally.Wrong += up.engine.Violations
	}
}
