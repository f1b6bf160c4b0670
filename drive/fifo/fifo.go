// Package fifo is the baseline scheduler of experiments: jobs start in order of arrival,
// and the least recently used adapter is evicted. It shows the effect of a plain queue in
// front of an engine.
package fifo

import (
	"magnoliastall.example/magno"
)

// Plugin is the name under which the scheduler is registered.
const Plugin = "fifo"

// queueBatches limits the queue to this many full batches. Without a limit every request
// of an overload would wait until its deadline.
const queueBatches = 8

// expiryInterval is how often the deadlines of waiting jobs are checked.
const expiryInterval = 100 * magno.Millis(1)

// loadRetryDelay is the delay of the next load after a failed one.
const loadRetryDelay = 250 * magno.Millis(1)

// retryAfter is the delay that refused callers are told; the baseline has no estimate of
// its own.
const retryAfter = magno.Second

func init() {
	magno.Register(magno.PluginScheduler, Plugin, func() any { return &Queue{} })
}

// Queue implements magno.Scheduler. Its exported fields are set before use.
type Queue struct {
	Clock  *magno.Clock
	Limits magno.Limits

	waiting []magno.Job
	running map[string]magno.Job
	slots   map[magno.Ref]*slot
	// waitingByRef counts the waiting jobs of each adapter.
	waitingByRef map[magno.Ref]int
	// loading and evicting count slots that are neither free nor usable.
	loading, evicting int
	outstandingTokens int
	// dirty is true when the state has changed since the last run of Next, which was at
	// checkedAt.
	dirty     bool
	checkedAt magno.Millis
	// nextLoadAt is the earliest time of the next load order.
	nextLoadAt magno.Millis
}

type slot struct {
	ready, evicting bool
	pins            int
	lastUsed        magno.Millis
}

func (q *Queue) init() {
	if q.running == nil {
		q.running, q.slots = map[string]magno.Job{}, map[magno.Ref]*slot{}
		q.waitingByRef = map[magno.Ref]int{}
	}
}

// Offer accepts a job while the queue has room.
func (q *Queue) Offer(job magno.Job) *magno.Refusal {
	q.init()
	if len(q.waiting) >= queueBatches*max(1, q.Limits.Batch) {
		r := magno.Refuse(magno.KindBusy, "the queue is full")
		r.After = retryAfter
		return r
	}
	q.waiting = append(q.waiting, job)
	q.waitingByRef[job.Ref]++
	q.outstandingTokens += job.Prompt + job.Output
	q.dirty = true
	return nil
}

// Next starts jobs in order of arrival, skipping those whose adapter is not loaded, and
// orders the loads and evictions that they need.
func (q *Queue) Next() []magno.Order {
	q.init()
	now := q.Clock.Now()
	if !q.dirty && now < q.checkedAt+expiryInterval {
		return nil
	}
	q.dirty, q.checkedAt = false, now
	var orders []magno.Order
	keep := q.waiting[:0]
	for _, job := range q.waiting {
		switch {
		case now >= job.Deadline:
			q.dropWaiting(job.Ref)
			q.outstandingTokens -= job.Prompt + job.Output
			r := magno.Refuse(magno.KindDeadline, "the deadline passed in the queue")
			r.After = retryAfter
			orders = append(orders, magno.Order{Kind: magno.OrderRefuse, Job: job, Refusal: r})
		case len(q.running) < q.Limits.Batch && q.ready(job.Ref):
			q.dropWaiting(job.Ref)
			q.start(job, now)
			orders = append(orders, magno.Order{Kind: magno.OrderStart, Job: job, Ref: job.Ref})
		default:
			keep = append(keep, job)
		}
	}
	clear(q.waiting[len(keep):])
	q.waiting = keep
	return append(orders, q.placeAdapters(now)...)
}

func (q *Queue) ready(ref magno.Ref) bool {
	if ref == (magno.Ref{}) {
		return true
	}
	s := q.slots[ref]
	return s != nil && s.ready && !s.evicting
}

func (q *Queue) start(job magno.Job, now magno.Millis) {
	q.running[job.ID] = job
	if s := q.slots[job.Ref]; s != nil {
		s.pins++
		s.lastUsed = now
	}
}

// placeAdapters loads the missing adapters of waiting jobs into free slots, oldest job
// first, and evicts adapters for the rest.
func (q *Queue) placeAdapters(now magno.Millis) []magno.Order {
	var orders []magno.Order
	free := q.Limits.Slots - len(q.slots)
	evictions := 0
	seen := map[magno.Ref]bool{}
	for _, job := range q.waiting {
		if free <= 0 && evictions >= q.Limits.Slots {
			break
		}
		if job.Ref == (magno.Ref{}) || q.slots[job.Ref] != nil || seen[job.Ref] {
			continue
		}
		seen[job.Ref] = true
		if free > 0 && now < q.nextLoadAt {
			continue
		}
		if free > 0 {
			free--
			q.loading++
			q.slots[job.Ref] = &slot{}
			orders = append(orders, magno.Order{Kind: magno.OrderLoad, Ref: job.Ref})
			continue
		}
		evictions++
	}
	for ; evictions > q.evicting; q.evicting++ {
		ref, ok := q.leastRecentlyUsed()
		if !ok {
			break
		}
		q.slots[ref].evicting = true
		orders = append(orders, magno.Order{Kind: magno.OrderUnload, Ref: ref})
	}
	return orders
}

// dropWaiting removes one waiting job from the count of its adapter.
func (q *Queue) dropWaiting(ref magno.Ref) {
	if q.waitingByRef[ref]--; q.waitingByRef[ref] == 0 {
		delete(q.waitingByRef, ref)
	}
}

// leastRecentlyUsed returns the least recently used adapter that no job uses or waits for.
func (q *Queue) leastRecentlyUsed() (magno.Ref, bool) {
	var best magno.Ref
	var found *slot
	for ref, s := range q.slots {
		if !s.ready || s.evicting || s.pins > 0 || q.waitingByRef[ref] > 0 {
			continue
		}
		if found == nil || s.lastUsed < found.lastUsed || (s.lastUsed == found.lastUsed && ref.Adapter < best.Adapter) {
			best, found = ref, s
		}
	}
	return best, found != nil
}

// Tokens does nothing: the baseline does not account for tokens.
func (q *Queue) Tokens(string, int) {}

// Done ends a started job.
func (q *Queue) Done(id string, _ bool) {
	job, ok := q.running[id]
	if !ok {
		return
	}
	delete(q.running, id)
	q.dirty = true
	q.outstandingTokens -= job.Prompt + job.Output
	if s := q.slots[job.Ref]; s != nil {
		s.pins--
	}
}

// Cancel ends a job; true means that it had not been started.
func (q *Queue) Cancel(id string) bool {
	for i, job := range q.waiting {
		if job.ID == id {
			q.waiting = append(q.waiting[:i], q.waiting[i+1:]...)
			q.dropWaiting(job.Ref)
			q.outstandingTokens -= job.Prompt + job.Output
			return true
		}
	}
	return false
}

// Loaded ends a load. A failed one is ordered again by Next after loadRetryDelay.
func (q *Queue) Loaded(ref magno.Ref, ok bool) {
	s := q.slots[ref]
	if s == nil || s.ready {
		return
	}
	q.loading--
	q.dirty = true
	if !ok {
		delete(q.slots, ref)
		q.nextLoadAt = q.Clock.Now() + loadRetryDelay
		return
	}
	s.ready = true
	s.lastUsed = q.Clock.Now()
}

// Unloaded ends an eviction.
func (q *Queue) Unloaded(ref magno.Ref) {
	if s := q.slots[ref]; s != nil && s.evicting {
		q.evicting--
		q.dirty = true
		delete(q.slots, ref)
	}
}

// Reset clears the running jobs and the loaded adapters, and returns the IDs of those
// jobs.
func (q *Queue) Reset(magno.UpstreamEnd) []string {
	ids := make([]string, 0, len(q.running))
	for id, job := range q.running {
		ids = append(ids, id)
		q.outstandingTokens -= job.Prompt + job.Output
	}
	clear(q.running)
	q.dirty = true
	clear(q.slots)
	q.loading, q.evicting = 0, 0
	return ids
}

// Backlog returns the current load.
func (q *Queue) Backlog() magno.Backlog {
	wait := magno.Millis(0)
	if q.Limits.Tokens > 0 {
		wait = magno.Millis(q.outstandingTokens) * q.Limits.Step / magno.Millis(q.Limits.Tokens)
	}
	return magno.Backlog{Wait: wait, Queued: len(q.waiting), Running: len(q.running), Work: q.outstandingTokens, Held: len(q.slots)}
}

// Holds returns the loaded adapters and whether each is in use.
func (q *Queue) Holds() map[magno.Ref]bool {
	holds := map[magno.Ref]bool{}
	for ref, s := range q.slots {
		if s.ready && !s.evicting {
			holds[ref] = s.pins > 0
		}
	}
	return holds
}
