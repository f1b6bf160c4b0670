// Package batch decides whether queued jobs start now or wait for a fuller batch,
// and how many batch places long jobs may occupy.
//
// Load pattern: an engine step takes the same time for one job as for a full
// batch, and long jobs occupy their place many times as long as short ones.
// If jobs always started at once, the first ones after an idle period would run in
// nearly empty steps, and a burst of long jobs would occupy every place, so that
// short jobs would wait for a whole long run.
//
// Starting and holding back alternate (an N-policy). Once a batch runs, further
// jobs join it without delay. When no job is left to join and the engine is not
// reading any prompt, new jobs are held back until their number reaches Fill times
// the batch size, or until the next one has waited as long as its profile allows.
// Steps that only generate tokens use a small part of their capacity. Each batch
// ends with a run of such steps, so fewer and longer batches use the engine better.
package batch

import "magnoliastall.example/magno"

// Defaults; docs/DECIDE.md gives the reasons.
const (
	// DefaultFill is the number of ready jobs, as a multiple of the batch size, at
	// which a batch starts.
	DefaultFill = 1.25
	// DefaultHold is the longest wait for a fuller batch, for a profile whose Stall
	// is 0. Zero holds nothing back, and serves more jobs: those held back keep
	// their adapters in slots for longer, so fewer others can be loaded.
	DefaultHold = magno.Millis(0)
	// DefaultLongShare is the fraction of the places that long jobs may occupy.
	DefaultLongShare = 0.75
)

// holdDivisor limits the wait for a fuller batch to a tenth of the time between the
// job's arrival and its deadline.
const holdDivisor = 10

// Batcher decides when jobs join the batch. Its exported fields are set before use.
type Batcher struct {
	// Batch is the engine's number of places; it must be positive.
	Batch int
	// Fill is the number of ready jobs, as a multiple of Batch, at which a batch
	// starts.
	Fill float64
	// Hold is the longest time that a job with a Stall of 0 is held back. Zero holds
	// nothing back.
	Hold magno.Millis
	// LongShare is the fraction of the places, more than 0 and at most 1, that long
	// jobs may occupy.
	LongShare float64

	// joining is true while ready jobs may join the running batch without delay.
	joining bool
}

// FreePlaces returns the number of places that are free beside running jobs.
func (b *Batcher) FreePlaces(running int) int { return max(b.Batch-running, 0) }

// AdmitsLong reports whether one more long job may start while long of them are
// running. One may always run; otherwise an engine with one place would never serve
// long jobs.
func (b *Batcher) AdmitsLong(long int) bool {
	return long < max(int(b.LongShare*float64(b.Batch)), 1)
}

// ShouldStart reports whether job, the next of the given number of ready jobs,
// starts now.
func (b *Batcher) ShouldStart(now magno.Millis, job *magno.Job, ready int) bool {
	if !b.joining {
		b.joining = float64(ready) >= b.Fill*float64(b.Batch) || now-job.Arrived >= b.MaxHold(job)
	}
	return b.joining
}

// MaxHold returns the longest time that the job is held back. It is proportional to
// the square of 1-Stall, as is the patience for adapter loads.
func (b *Batcher) MaxHold(job *magno.Job) magno.Millis {
	slack := 1 - job.Stall
	hold := magno.Millis(float64(b.Hold) * slack * slack)
	return min(hold, (job.Deadline-job.Arrived)/holdDivisor)
}

// NoneReady records that no ready job is left while the engine is still reading the
// prompts of prefilling running jobs.
func (b *Batcher) NoneReady(prefilling int) {
	if prefilling == 0 {
		b.joining = false
	}
}
