// Package fake is a fake model engine for experiments: it does continuous batching in
// steps, keeps adapters in slots and caches prompt prefixes. The caller drives its time;
// it starts no goroutine.
package fake

import (
	lru "github.com/hashicorp/golang-lru/v2"

	"magnoliastall.example/magno"
)

// prefixSaving is the share of a prompt that a cached prefix saves.
const prefixSaving = 0.5

// Engine is one fake engine.
type Engine struct {
	Limits magno.Limits
	// PrefixCacheSize is the number of cached prefixes; zero disables the cache.
	PrefixCacheSize int
	// Slowdown multiplies the time of a step; values below 1 count as 1.
	Slowdown float64

	// Steps counts the steps that had work, CapacityTokens and UsedTokens their capacity
	// and the part of it that was used.
	Steps, CapacityTokens, UsedTokens int64

	running []*run
	// progress is the reused result buffer of Step.
	progress []Progress
	loaded   map[magno.Ref]bool
	prefixes *lru.Cache[uint64, struct{}]
	// Violations counts scheduler faults: jobs started without their adapter or beyond the
	// batch limit, and adapters evicted while in use.
	Violations int
}

type run struct {
	job        magno.Job
	promptLeft int
	// made counts the output tokens so far, output is their final number.
	made, output int
}

// Progress is the result of one step for one job.
type Progress struct {
	// ID is the ID of the job.
	ID string
	// Tokens is the number of output tokens of this step. First is true for the first
	// token of the job, End for its last.
	Tokens     int
	First, End bool
}

// Start adds a job to the batch, which will produce the given number of output tokens.
func (e *Engine) Start(job magno.Job, output int) {
	if len(e.running) >= e.Limits.Batch || (job.Ref != magno.Ref{} && !e.loaded[job.Ref]) {
		e.Violations++
	}
	left := job.Prompt
	if job.Prefix != 0 && e.PrefixCacheSize > 0 {
		if e.prefixes == nil {
			e.prefixes, _ = lru.New[uint64, struct{}](e.PrefixCacheSize)
		}
		if e.prefixes.Contains(job.Prefix) {
			left = int(float64(left) * (1 - prefixSaving))
		}
		e.prefixes.Add(job.Prefix, struct{}{})
	}
	e.running = append(e.running, &run{job: job, promptLeft: left, output: output})
}

// Running returns the number of jobs in the batch.
func (e *Engine) Running() int { return len(e.running) }

// StepTime returns the duration of the next step.
func (e *Engine) StepTime() magno.Millis {
	return magno.Millis(float64(e.Limits.Step) * max(1, e.Slowdown))
}

// Step runs one step. Jobs whose prompt is processed produce one token each; the rest of
// the step's capacity processes prompts, oldest job first. The result is valid until the
// next call.
func (e *Engine) Step() []Progress {
	if len(e.running) == 0 {
		return nil
	}
	room := e.Limits.Tokens
	out := e.progress[:0]
	keep := e.running[:0]
	for _, r := range e.running {
		if r.promptLeft > 0 || room == 0 {
			continue
		}
		room--
		r.made++
		out = append(out, Progress{ID: r.job.ID, Tokens: 1, First: r.made == 1, End: r.made >= r.output})
	}
	for _, r := range e.running {
		n := min(room, max(r.promptLeft, 0))
		r.promptLeft -= n
		room -= n
		if r.made < r.output {
			keep = append(keep, r)
		}
	}
	clear(e.running[len(keep):])
	e.running = keep
	e.progress = out
	e.Steps++
	e.CapacityTokens += int64(e.Limits.Tokens)
	e.UsedTokens += int64(e.Limits.Tokens - room)
	return out
}

// Load loads an adapter into a slot; false means that no slot is free.
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

// Unload evicts an adapter. Each running job that uses it counts as a violation.
func (e *Engine) Unload(ref magno.Ref) {
	for _, r := range e.running {
		if r.job.Ref == ref {
			e.Violations++
		}
	}
	delete(e.loaded, ref)
}

// Holds returns whether the adapter is loaded.
func (e *Engine) Holds(ref magno.Ref) bool { return e.loaded[ref] }

// Reset restarts the engine without jobs, adapters and cached prefixes.
func (e *Engine) Reset() {
	e.running = nil
	clear(e.loaded)
	e.prefixes = nil
}
