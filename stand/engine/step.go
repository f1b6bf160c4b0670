package engine

import (
	"slices"
	"sort"

	"magnoliastall.example/stand/fault"
)

// step runs one step and returns false when there was nothing to do. Each
// running request that has finished its prefill generates one token; the rest of
// the token budget goes to prefill. Both follow the order of priority, so when
// the budget is short, the requests of lowest priority get less.
func (e *Engine) step() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stepCalls++
	if e.admit() {
		e.restart(e.RestartTime)
		return false
	}
	if len(e.running) == 0 {
		return false
	}
	budget := e.TokenBudget
	for _, r := range e.running {
		if r.prefillLeft == 0 && budget > 0 {
			r.generated.Add(1)
			budget--
		}
	}
	for _, r := range e.running {
		budget -= e.prefill(r, budget)
	}
	e.totalSteps.add(e.TokenBudget, e.TokenBudget-budget)
	e.stepsSinceBoot.add(e.TokenBudget, e.TokenBudget-budget)
	e.finishCompleted()
	e.recordReport()
	return true
}

func (t *stepCounts) add(capacity, used int) {
	t.steps++
	t.capacity += int64(capacity)
	t.used += int64(used)
}

// admit moves waiting requests into the batch. It returns true when one of them
// crashes the engine; that request is recorded as run, as it entered the batch.
func (e *Engine) admit() bool {
	n := min(e.BatchSize-len(e.running), len(e.waiting))
	if n <= 0 {
		return false
	}
	crash := false
	for _, r := range e.waiting[:n] {
		e.recordRun(r)
		r.cached = min(e.cache.cachedTokens(r.prefixes), r.tokens-1)
		r.prefillLeft = r.tokens - r.cached
		_, matches := e.faults.Active(fault.Crash, r.prompt)
		crash = crash || matches
	}
	e.running = append(e.running, e.waiting[:n]...)
	e.waiting = slices.Delete(e.waiting, 0, n)
	sort.SliceStable(e.running, func(i, j int) bool { return precedes(e.running[i], e.running[j]) })
	return crash
}

// recordRun records that a request entered the batch.
func (e *Engine) recordRun(r *request) {
	r.record = &Run{ID: r.id, Model: r.model, Prompt: r.hash}
	if len(e.runs) >= maxRunRecords {
		e.dropped++
		return
	}
	e.runs = append(e.runs, r.record)
}

// prefill processes at most budget tokens of a prompt and returns how many. The
// last prompt token also yields the first output token.
func (e *Engine) prefill(r *request, budget int) int {
	if r.prefillLeft == 0 || budget <= 0 {
		return 0
	}
	n := min(r.prefillLeft, budget)
	r.prefillLeft -= n
	if r.prefillLeft == 0 {
		r.generated.Add(1)
		e.cache.insert(e.Clock.Now(), r.prefixes)
	}
	return n
}

// finishCompleted removes completed requests from the batch and wakes all
// handlers.
func (e *Engine) finishCompleted() {
	unfinished := e.running[:0]
	for _, r := range e.running {
		if r.generated.Load() < int64(r.outputTokens) {
			r.notify()
			unfinished = append(unfinished, r)
			continue
		}
		r.record.Ended = true
		e.releaseAdapter(r.model)
		r.terminate(stateDone)
	}
	clear(e.running[len(unfinished):])
	e.running = unfinished
}

// precedes orders requests by priority, then arrival.
func precedes(a, b *request) bool {
	if a.priority != b.priority {
		return a.priority > b.priority
	}
	return a.arrival < b.arrival
}

// releaseAdapter drops one reference to an adapter.
func (e *Engine) releaseAdapter(model string) {
	if s := e.slots[model]; s != nil && s.refs > 0 {
		s.refs--
	}
}

// enqueue inserts a request into the waiting queue and takes a reference to its
// adapter.
func (e *Engine) enqueue(r *request) {
	at := sort.Search(len(e.waiting), func(i int) bool { return precedes(r, e.waiting[i]) })
	e.waiting = slices.Insert(e.waiting, at, r)
	e.slots[r.model].refs++
	select {
	case e.workReady <- struct{}{}:
	default:
	}
}

// cancelMatching cancels the requests that match and returns how many.
func (e *Engine) cancelMatching(match func(*request) bool) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	n := 0
	drop := func(r *request) bool {
		if !match(r) {
			return false
		}
		n++
		e.releaseAdapter(r.model)
		r.terminate(stateCancelled)
		return true
	}
	e.waiting = slices.DeleteFunc(e.waiting, drop)
	e.running = slices.DeleteFunc(e.running, drop)
	if n > 0 {
		e.recordReport()
	}
	return n
}
