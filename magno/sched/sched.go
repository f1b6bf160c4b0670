// Package sched decides for one upstream whom to serve, who waits, who is
// refused and which adapters are in its slots. It joins the packages that
// make each of these decisions.
//
//	          crash, admit            share, batch
//	Offer ------------------> queue -----------------> start --> Done
//	             |              |                        ^
//	             v              v place                  |
//	           refuse         load, unload --> Loaded ---+
//
// Load pattern: everything at once; see the packages for the parts of it.
// Without this package each decision would see its own part of the state: an
// adapter would be evicted while the queue is about to start jobs on it.
package sched

import (
	"magnoliastall.example/magno"
	"magnoliastall.example/magno/admit"
	"magnoliastall.example/magno/batch"
	"magnoliastall.example/magno/crash"
	"magnoliastall.example/magno/place"
	"magnoliastall.example/magno/share"
)

// Plugin is the name under which the scheduler registers itself.
const Plugin = "fair"

// meanGain weighs a new job in the mean run, logGain in the geometric mean.
const meanGain = 0.02

func init() {
	magno.Register(magno.SortScheduler, Plugin, func() any { return &Sched{} })
}

// Tuning holds what measurements set; zero values mean the defaults of the
// packages that use them.
type Tuning struct {
	// Queued is the most jobs in the queue.
	Queued int
	// Boost is how many tokens one step of urgency overtakes.
	Boost float64
	// Fill, Hold and Long are those of batch.Former.
	Fill float64
	Hold magno.Millis
	Long float64
	// HalfLife is the time in which demand for an adapter counts half.
	HalfLife magno.Millis
	// Starve is the harm of the wait for an adapter, in parts of its jobs'
	// patience, from which on one that is in use has to make room.
	Starve float64
}

// run is a started job.
type run struct {
	job     magno.Job
	started magno.Millis
	made    int
	long    bool
}

// Sched implements magno.Scheduler and magno.Turner. Its exported fields are
// set before use.
type Sched struct {
	// Clock may be nil: the machine's clock.
	Clock  *magno.Clock
	Limits magno.Limits
	// Weights maps a customer to its share; a missing one counts as 1. After
	// the first use SetWeights changes them.
	Weights map[string]float64
	// Seed makes the jitter of retries differ between instances.
	Seed uint64
	// Turns is true when loads wait for turns of the pool's keeper.
	Turns bool
	// Suspects is shared with whoever exchanges it with peers; nil means a
	// set of its own.
	Suspects *crash.Suspects
	Tuning   Tuning

	queue  *share.Queue
	gate   admit.Gate
	former batch.Former
	slots  *place.Slots
	// runs holds started jobs; each with an adapter holds one pin.
	runs map[string]*run
	// long counts started long jobs, reading those without a token yet: the
	// engine still reads their prompts.
	long, reading int
	// alone is the suspect that runs; nothing starts beside it.
	alone string
	// mean and logMean are averages of the expected runs of offered jobs,
	// patience of their patience with loads.
	mean, logMean, patience float64
	// turn is until when a load may be ordered; zero means no turn.
	turn magno.Millis
	// room is the adapter for which the last eviction made room. It is loaded
	// next: jobs of the evicted one would otherwise do more harm at once, and
	// the two would change places for ever without a job being served.
	room magno.Ref
	// loadSince is when the load in flight began.
	loadSince magno.Millis
}

// setup makes the parts on first use, when the fields are set.
func (s *Sched) setup() {
	if s.queue != nil {
		return
	}
	t := &s.Tuning
	defaultTo(&t.Queued, admit.DefaultQueued)
	defaultTo(&t.Boost, share.DefaultBoost)
	defaultTo(&t.Fill, batch.DefaultFill)
	defaultTo(&t.Hold, batch.DefaultHold)
	defaultTo(&t.Long, batch.DefaultLong)
	defaultTo(&t.HalfLife, place.DefaultHalfLife)
	defaultTo(&t.Starve, defaultStarve)
	s.Limits.Batch = max(s.Limits.Batch, 1)
	if s.Suspects == nil {
		s.Suspects = &crash.Suspects{Clock: s.Clock}
	}
	s.queue = share.New(s.Weights, t.Boost)
	s.gate = admit.Gate{Limits: s.Limits, Queued: t.Queued}
	s.former = batch.Former{Batch: s.Limits.Batch, Fill: t.Fill, Hold: s.hold(), Long: t.Long}
	s.slots = place.New(s.Limits.Slots, t.HalfLife, s.Seed)
	s.runs = map[string]*run{}
}

// hold is the longest wait for a fuller batch; a plain service has no steps to
// fill.
func (s *Sched) hold() magno.Millis {
	if s.Limits.Slots <= 0 {
		return 0
	}
	return s.Tuning.Hold
}

func defaultTo[T int | float64 | magno.Millis](field *T, value T) {
	if *field == 0 {
		*field = value
	}
}

// SetWeights replaces the customers' weights; queued jobs keep their order
// inside their customer.
func (s *Sched) SetWeights(weights map[string]float64) {
	s.setup()
	s.Weights, s.queue.Weights = weights, weights
}

// Offer takes a job or refuses it at once; nil means it is queued.
func (s *Sched) Offer(job magno.Job) *magno.Refusal {
	s.setup()
	if s.runs[job.ID] != nil || s.queue.Has(job.ID) {
		return magno.Refuse(magno.KindInternal, "attempt %s is here already", job.ID)
	}
	if s.Suspects.MustRefuse(job.Print) {
		return magno.Refuse(magno.KindSuspect, "requests like it crashed upstreams")
	}
	now := s.Clock.Now()
	s.slots.Demand(job.Ref, now)
	run := s.gate.Run(&job)
	if r := s.gate.Offer(now, &job, s.view(&job, run, now)); r != nil {
		return r
	}
	it := &share.Item{Job: job, Run: run, Patience: s.gate.Patience(now, &job), Long: s.isLong(run), Alone: s.Suspects.MustRunAlone(job.Print)}
	s.queue.Add(it, s.slots.Ready(job.Ref), job.Deadline-run)
	return nil
}

func (s *Sched) view(job *magno.Job, run, now magno.Millis) admit.View {
	ahead := s.queue.Ahead(job, run)
	patience := s.gate.Patience(now, job)
	s.patience += meanGain * (float64(patience) - s.patience)
	wanted := s.queue.Unready()
	if s.queue.Queued(job.Ref) > 0 {
		wanted = 0
	}
	return admit.View{
		Wanted: wanted,
		Queued: s.queue.Len(), Free: s.former.Free(len(s.runs)),
		Held: s.former.Patience(job), Ahead: ahead.Run, Over: ahead.Over, Load: s.loadWait(job.Ref, patience, now), Patience: patience,
	}
}

// loadWait is the expected wait for the adapter of a job with that patience.
func (s *Sched) loadWait(ref magno.Ref, patience, now magno.Millis) magno.Millis {
	switch {
	case s.slots.Ready(ref):
		return 0
	case s.slots.Loading(ref):
		return max(s.Limits.Load-(now-s.loadSince), 1)
	}
	level := s.gate.Level(now)
	if w, ok := s.worst(now); ok {
		level = max(level, w.Harm/float64(w.Jobs)) // waits are that long by now
	}
	wait, before := s.queue.Until(level, ref, patience, now)
	return s.gate.LoadWait(wait, before) + s.slots.Retry(ref, now)
}

// Tokens tells that a running job made n more tokens.
func (s *Sched) Tokens(id string, n int) {
	r := s.runs[id]
	if r == nil || n <= 0 {
		return
	}
	if r.made == 0 {
		s.reading--
	}
	r.made += n
}

// Done ends a started job and frees its pin; ok is false when the upstream
// failed it.
func (s *Sched) Done(id string, ok bool) {
	r := s.runs[id]
	if r == nil {
		return
	}
	now := s.Clock.Now()
	s.slots.Unpin(r.job.Ref, now)
	s.forget(id, r)
	s.queue.Settle(r.job.Customer, r.made-r.job.Output)
	if !ok {
		return
	}
	if r.made > 0 {
		r.job.Output = r.made
	}
	s.gate.Ran(&r.job, now-r.started)
	s.gate.Ended(r.job.Customer, now <= r.job.Deadline)
	s.Suspects.Clear(r.job.Print)
}

func (s *Sched) forget(id string, r *run) {
	delete(s.runs, id)
	if r.long {
		s.long--
	}
	if r.made == 0 {
		s.reading--
	}
	if s.alone == id {
		s.alone = ""
	}
}

// Cancel ends a job; true means it had not been started. A started job keeps
// its place and pin until Done, for the upstream still works on it.
func (s *Sched) Cancel(id string) bool {
	s.setup()
	return s.queue.Remove(id) != nil
}
