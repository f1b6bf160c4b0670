// Package sched is the scheduler of one upstream: it decides which jobs start,
// which wait, which are refused and which adapters occupy its slots. It combines
// the packages that make each of these decisions.
//
//	          crash, admit            share, batch
//	Offer ------------------> queue -----------------> start --> Done
//	             |              |                        ^
//	             v              v place                  |
//	           refuse         load, unload --> Loaded ---+
//
// Load pattern: all those of the packages that it combines, at the same time. With
// separate state, the decisions would contradict each other: an adapter could be
// evicted while the queue is about to start jobs on it.
package sched

import (
	"magnoliastall.example/magno"
	"magnoliastall.example/magno/admit"
	"magnoliastall.example/magno/batch"
	"magnoliastall.example/magno/crash"
	"magnoliastall.example/magno/pace"
	"magnoliastall.example/magno/place"
	"magnoliastall.example/magno/share"
)

// Plugin is the name under which the scheduler is registered.
const Plugin = "fair"

// meanGain is the smoothing factor of the averages over offered jobs.
const meanGain = 0.02

func init() {
	magno.Register(magno.PluginScheduler, Plugin, func() any { return &Sched{} })
}

// Tuning holds the scheduler's parameters. Zero values mean the defaults of the
// packages that use them.
type Tuning struct {
	// MaxQueued bounds the number of queued jobs.
	MaxQueued int
	// Boost is the number of queued tokens that a job overtakes per step of urgency.
	Boost float64
	// Fill, Hold and LongShare are those of batch.Batcher.
	Fill      float64
	Hold      magno.Millis
	LongShare float64
	// HalfLife is the half-life of demand for an adapter.
	HalfLife magno.Millis
	// StarvationHarm is the harm of a pending load, its jobs' waits as fractions of
	// their patience, from which on an adapter in use is drained to make room.
	StarvationHarm float64
}

// run is a started job.
type run struct {
	job       magno.Job
	started   magno.Millis
	generated int
	long      bool
}

// Sched implements magno.Scheduler and magno.TurnTaker. Its exported fields are
// set before use.
type Sched struct {
	// Clock is the machine's clock if nil.
	Clock  *magno.Clock
	Limits magno.Limits
	// Weights maps customers to their weights; the default weight is 1. After the
	// first use, SetWeights changes them.
	Weights map[string]float64
	// Seed makes the jitter of retries differ between instances.
	Seed uint64
	// Turns is true when a load needs a turn, granted by the pool's keeper.
	Turns bool
	// Suspects is shared with the code that exchanges suspects with peers. If nil,
	// the scheduler uses a set of its own.
	Suspects *crash.Suspects
	Tuning   Tuning

	queue   *share.Queue
	gate    admit.Controller
	batcher batch.Batcher
	slots   *place.Slots
	// runs holds the started jobs by ID. Each job with an adapter holds one pin on it.
	runs map[string]*run
	// longRunning is the number of long jobs in runs. prefilling is the number of
	// jobs in runs without output yet, whose prompts the engine is still reading.
	longRunning, prefilling int
	// exclusive is the ID of the running suspect. Nothing else starts while it runs.
	exclusive string
	// meanRun and meanLogRun are averages of the expected run times of offered jobs
	// and of their logarithms, meanPatience is that of their patience for loads.
	meanRun, meanLogRun, meanPatience float64
	// turnUntil is when the granted turn to load ends; zero means that there is none.
	turnUntil magno.Millis
	// reservedFor is the adapter that the last eviction made room for. It is loaded
	// next: the evicted adapter's jobs may by then have more harm, and the two would
	// otherwise replace each other forever without a job being served.
	reservedFor magno.Ref
	// loadStarted is when the load in progress began.
	loadStarted magno.Millis
	// limiter is the limit that the upstream names. It accepts nothing before restUntil.
	limiter   pace.Limiter
	restUntil magno.Millis
	// resetAt is when the upstream was last seen to have restarted, zero if it wasn't.
	resetAt magno.Millis
}

// setup creates the components on first use, after the exported fields are set.
func (s *Sched) setup() {
	if s.queue != nil {
		return
	}
	t := &s.Tuning
	setDefault(&t.MaxQueued, admit.DefaultMaxQueued)
	setDefault(&t.Boost, share.DefaultBoost)
	setDefault(&t.Fill, batch.DefaultFill)
	setDefault(&t.Hold, batch.DefaultHold)
	setDefault(&t.LongShare, batch.DefaultLongShare)
	setDefault(&t.HalfLife, place.DefaultHalfLife)
	setDefault(&t.StarvationHarm, defaultStarvationHarm)
	s.Limits.Batch = max(s.Limits.Batch, 1)
	if s.Suspects == nil {
		s.Suspects = &crash.Suspects{Clock: s.Clock}
	}
	s.queue = share.New(s.Weights, t.Boost)
	s.gate = admit.Controller{Limits: s.Limits, MaxQueued: t.MaxQueued}
	s.batcher = batch.Batcher{Batch: s.Limits.Batch, Fill: t.Fill, Hold: s.batchHold(), LongShare: t.LongShare}
	s.slots = place.New(s.Limits.Slots, t.HalfLife, s.Seed)
	s.runs = map[string]*run{}
}

// batchHold returns the longest wait for a fuller batch. A plain service has no
// engine steps to fill, so its jobs do not wait.
func (s *Sched) batchHold() magno.Millis {
	if s.Limits.Slots <= 0 {
		return 0
	}
	return s.Tuning.Hold
}

func setDefault[T int | float64 | magno.Millis](field *T, value T) {
	if *field == 0 {
		*field = value
	}
}

// SetWeights replaces the customers' weights. Queued jobs keep their order within
// their customer.
func (s *Sched) SetWeights(weights map[string]float64) {
	s.setup()
	s.Weights, s.queue.Weights = weights, weights
}

// Offer queues a job and returns nil, or refuses it.
func (s *Sched) Offer(job magno.Job) *magno.Refusal {
	s.setup()
	if s.runs[job.ID] != nil || s.queue.Has(job.ID) {
		return magno.Refuse(magno.KindInternal, "attempt %s is here already", job.ID)
	}
	if s.Suspects.MustRefuse(job.Fingerprint) {
		return magno.Refuse(magno.KindSuspect, "requests like it crashed upstreams")
	}
	now := s.Clock.Now()
	s.slots.AddDemand(job.Ref, now)
	run := s.gate.EstimateRun(&job)
	if r := s.refuseByNotice(&job, run, now); r != nil {
		return r
	}
	if r := s.gate.Admit(now, &job, s.admissionView(&job, run, now)); r != nil {
		return r
	}
	it := &share.Item{Job: job, Run: run, Patience: s.gate.LoadPatience(now, &job), Long: s.isLong(run), Exclusive: s.Suspects.MustRunAlone(job.Fingerprint)}
	s.queue.Add(it, s.slots.Ready(job.Ref), job.Deadline-run)
	return nil
}

// admissionView collects what the admission of a job depends on.
func (s *Sched) admissionView(job *magno.Job, run, now magno.Millis) admit.State {
	ahead := s.queue.Ahead(job, run)
	patience := s.gate.LoadPatience(now, job)
	s.meanPatience += meanGain * (float64(patience) - s.meanPatience)
	wanted := s.queue.Unready()
	if s.queue.Queued(job.Ref) > 0 {
		wanted = 0
	}
	return admit.State{
		Wanted: wanted,
		Queued: s.queue.Len(), Free: s.batcher.FreePlaces(len(s.runs)),
		Hold: s.batcher.MaxHold(job), Ahead: ahead.Run, OverShare: ahead.OverShare, LoadWait: s.loadWait(job.Ref, patience, now), Patience: patience,
	}
}

// loadWait estimates how long a job with the given patience waits for its adapter.
func (s *Sched) loadWait(ref magno.Ref, patience, now magno.Millis) magno.Millis {
	switch {
	case s.slots.Ready(ref):
		return 0
	case s.slots.Loading(ref):
		return max(s.Limits.Load-(now-s.loadStarted), 1)
	}
	level := s.gate.LoadThreshold(now)
	if w, ok := s.mostHarmful(now); ok {
		level = max(level, w.Harm/float64(w.Jobs)) // the mean harm that queued jobs have by now
	}
	wait, before := s.queue.TimeToHarm(level, ref, patience, now)
	return s.gate.EstimateLoadWait(wait, before) + s.slots.RetryDelay(ref, now)
}

// Tokens records that a running job generated n more tokens.
func (s *Sched) Tokens(id string, n int) {
	r := s.runs[id]
	if r == nil || n <= 0 {
		return
	}
	if r.generated == 0 {
		s.prefilling--
	}
	r.generated += n
}

// Done ends a started job and releases its pin; ok is false if the upstream failed.
func (s *Sched) Done(id string, ok bool) {
	r := s.runs[id]
	if r == nil {
		return
	}
	now := s.Clock.Now()
	s.slots.Unpin(r.job.Ref, now)
	s.removeRun(id, r)
	s.queue.Settle(r.job.Customer, r.generated-r.job.Output)
	if !ok {
		return
	}
	if r.generated > 0 {
		r.job.Output = r.generated
	}
	s.gate.ObserveRun(&r.job, now-r.started)
	s.gate.ObserveEnd(r.job.Customer, now <= r.job.Deadline)
	s.Suspects.Clear(r.job.Fingerprint)
}

// removeRun removes an ended job from the started ones.
func (s *Sched) removeRun(id string, r *run) {
	delete(s.runs, id)
	if r.long {
		s.longRunning--
	}
	if r.generated == 0 {
		s.prefilling--
	}
	if s.exclusive == id {
		s.exclusive = ""
	}
}

// Cancel removes a queued job and returns true. A started job keeps its place and
// pin until Done, because the upstream is still working on it.
func (s *Sched) Cancel(id string) bool {
	s.setup()
	return s.queue.Remove(id) != nil
}
