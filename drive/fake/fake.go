// Package fake holds a small fake of a model engine for experiments: it
// batches continuously in steps, keeps adapters in slots and remembers prompt
// prefixes. Time is told to it; it starts no goroutine.
package fake

import (
	lru "github.com/hashicorp/golang-lru/v2"

	"magnoliastall.example/magno"
)

// prefixPart is the share of a prompt that a known prefix saves.
const prefixPart = 0.5

// Engine is one upstream.
type Engine struct {
	Limits magno.Limits
	// PrefixCacheSize is the number of prefixes kept; zero means no cache.
	PrefixCacheSize int
	// Slowdown is how many times as long as usual a step takes; at least 1.
	Slowdown float64

	// Steps, CapacityTokens and UsedTokens count steps that had work, and their tokens.
	Steps, CapacityTokens, UsedTokens int64

	running []*run
	// made is the memory of Step's answer.
	made   []Progress
	loaded map[magno.Ref]bool
	prefix *lru.Cache[uint64, struct{}]
	// Violations counts jobs that were started without their adapter or over the
	// batch: faults of a scheduler.
	Violations int
}

type run struct {
	job  magno.Job
	left int
	// made is what was made of output.
	made, output int
}

// Progress is what one step did for one job.
type Progress struct {
	// ID is the job's.
	ID string
	// Tokens were made in this step; First is true for the first of the job,
	// End when it is complete.
	Tokens     int
	First, End bool
}

// Start puts a job into the batch, which will make that many tokens.
func (e *Engine) Start(job magno.Job, output int) {
	if len(e.running) >= e.Limits.Batch || (job.Ref != magno.Ref{} && !e.loaded[job.Ref]) {
		e.Violations++
	}
	left := job.Prompt
	if job.Prefix != 0 && e.PrefixCacheSize > 0 {
		if e.prefix == nil {
			e.prefix, _ = lru.New[uint64, struct{}](e.PrefixCacheSize)
		}
		if e.prefix.Contains(job.Prefix) {
			left = int(float64(left) * (1 - prefixPart))
		}
		e.prefix.Add(job.Prefix, struct{}{})
	}
	e.running = append(e.running, &run{job: job, left: left, output: output})
}

// Running counts jobs in the batch.
func (e *Engine) Running() int { return len(e.running) }

// StepTime is how long the next step takes.
func (e *Engine) StepTime() magno.Millis {
	return magno.Millis(float64(e.Limits.Step) * max(1, e.Slowdown))
}

// Step runs one step; what it returns holds until the next. Jobs whose prompt is read make a token each; what is
// left of the step reads prompts, oldest job first.
func (e *Engine) Step() []Progress {
	if len(e.running) == 0 {
		return nil
	}
	room := e.Limits.Tokens
	out := e.made[:0]
	keep := e.running[:0]
	for _, r := range e.running {
		if r.left > 0 || room == 0 {
			continue
		}
		room--
		r.made++
		out = append(out, Progress{ID: r.job.ID, Tokens: 1, First: r.made == 1, End: r.made >= r.output})
	}
	for _, r := range e.running {
		n := min(room, max(r.left, 0))
		r.left -= n
		room -= n
		if r.made < r.output {
			keep = append(keep, r)
		}
	}
	clear(e.running[len(keep):])
	e.running = keep
	e.made = out
	e.Steps++
	e.CapacityTokens += int64(e.Limits.Tokens)
	e.UsedTokens += int64(e.Limits.Tokens - room)
	return out
}

// Load puts an adapter into a slot; false means that none is free.
func (e *Engine) Load(ref magno.Ref) bool {
	if e.loaded == nil {
		e.loaded = map[magno.Ref]bool{}
	}
	if len(e.loaded) >= e.Limits.Slots {
		return false
	}
	e.loaded[ref] = true
	return true
}

// Unload takes an adapter out of its slot. One in use counts as wrong.
func (e *Engine) Unload(ref magno.Ref) {
	for _, r := range e.running {
		if r.job.Ref == ref {
			e.Violations++
		}
	}
	delete(e.loaded, ref)
}

// Holds is true when the adapter is in a slot.
func (e *Engine) Holds(ref magno.Ref) bool { return e.loaded[ref] }

// Reset restarts the engine empty; its jobs are gone.
func (e *Engine) Reset() {
	e.running = nil
	clear(e.loaded)
	e.prefix = nil
}
