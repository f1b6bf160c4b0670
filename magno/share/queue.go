// Package share queues jobs and tells which is next: customers share the
// engine by weight, callers share their customer's part equally, and urgency
// orders work inside a customer.
//
// Load pattern: one customer or caller sends many times its share while the
// others go on as before, and long jobs come among short ones. Without it the
// queue is one line: whoever sends most gets most, and an advisor question
// waits behind every timetable draft that came before it.
//
// It is start-time fair queueing (Goyal, Vin and Cheng, 1996) in tokens, on
// two levels. A job's tag is the later of its customer's virtual time and its
// caller's last finish; urgency moves the tag back by a bounded number of
// tokens, so a job of low urgency is overtaken only by that much work and
// nothing starves. Each level lets a part run ahead by one job at most.
package share

import (
	"magnoliastall.example/magno"
)

// Urgencies is the number of values of Job.Urgency.
const Urgencies = 10

// DefaultBoost is how many tokens of its customer's work one step of urgency
// overtakes: about two answers of the workloads in docs/LOAD.md, so that the
// most urgent pass some twenty queued answers.
const DefaultBoost = 400

// sweepAt is how many idle customers or callers are kept before those whose
// memory no longer matters are dropped.
const sweepAt = 256

// Item is a queued job.
type Item struct {
	Job magno.Job
	// Run is the time for which the job is expected to hold a batch place.
	Run magno.Millis
	// Patience is how long the job is meant to wait for its adapter at most;
	// waits are compared as parts of it.
	Patience magno.Millis
	// Long is true when the job is long against its neighbours.
	Long bool
	// Alone is true when nothing else may run beside the job.
	Alone bool

	seq    uint64
	key    float64
	tag    float64
	limit  magno.Millis
	at     [heaps]int
	spot   int
	group  *group
	biz    *customer
	caller *caller
}

// group holds the queued jobs of one adapter version.
type group struct {
	seq   uint64
	ready bool
	items []*Item
	// base is the first arrival. Sums of products with times since the epoch
	// would lose milliseconds to rounding.
	base magno.Millis
	// weight sums the items' harm weights, since the weights times arrival
	// after base, so that the harm of all waits is had without a walk.
	weight float64
	since  float64
}

type caller struct {
	// finish is the tag at which the caller's next job starts.
	finish float64
	queued int
	run    magno.Millis
}

type customer struct {
	name string
	// virtual is the service received over the weight.
	virtual float64
	// clock is the virtual time among the callers.
	clock   float64
	ready   [2]heap
	callers map[string]*caller
	busy    int // callers with queued jobs
	queued  int
	tokens  int
	run     [Urgencies]magno.Millis
	total   magno.Millis
	// recent is the place time that its jobs took, older ones count less.
	recent float64
}

// Queue holds queued jobs. Its exported fields are set before use.
type Queue struct {
	// Weights maps a customer to its share; a missing one counts as 1.
	Weights map[string]float64
	// Boost is how many tokens one step of urgency overtakes.
	Boost float64

	seq       uint64
	virtual   float64
	items     map[string]*Item
	limits    heap
	groups    map[magno.Ref]*group
	customers map[string]*customer
	// active lists customers with queued jobs in order of activation.
	active []*customer
	// ready is the place time of jobs whose adapter is loaded, readyJobs
	// their number.
	ready     magno.Millis
	readyJobs int
	// gain weighs the next start in the customers' recent place time.
	gain float64

	count  int
	tokens int
	// unready counts groups whose adapter isn't loaded.
	unready int
}

// New returns an empty queue.
func New(weights map[string]float64, boost float64) *Queue {
	return &Queue{Weights: weights, Boost: boost, limits: heap{which: heapLimit},
		items: map[string]*Item{}, groups: map[magno.Ref]*group{}, customers: map[string]*customer{}}
}

func (q *Queue) weight(name string) float64 {
	if w := q.Weights[name]; w > 0 {
		return w
	}
	return 1
}

func cost(job *magno.Job) float64 { return float64(max(job.Prompt+job.Output, 1)) }

func class(it *Item) int {
	if it.Long {
		return 1
	}
	return 0
}

// Add queues an item; ready says whether its adapter is loaded, limit until
// when a start makes sense.
func (q *Queue) Add(it *Item, ready bool, limit magno.Millis) {
	q.seq++
	it.seq, it.limit = q.seq, limit
	b := q.customer(it.Job.Customer)
	c := b.caller(it.Job.Caller)
	it.biz, it.caller = b, c
	it.tag = max(b.clock, c.finish)
	c.finish = it.tag + cost(&it.Job)
	it.key = it.tag - q.Boost*float64(urgency(&it.Job))
	if b.queued == 0 {
		b.virtual = max(b.virtual, q.virtual)
		q.active = append(q.active, b)
	}
	if c.queued == 0 {
		b.busy++
	}
	b.count(it, 1)
	q.count++
	q.tokens += it.Job.Prompt + it.Job.Output
	q.items[it.Job.ID] = it
	q.limits.push(it)
	q.join(it, ready)
}

func urgency(job *magno.Job) int { return min(max(job.Urgency, 0), Urgencies-1) }

func (b *customer) count(it *Item, sign int) {
	b.queued += sign
	b.tokens += sign * (it.Job.Prompt + it.Job.Output)
	it.caller.queued += sign
}

// wait counts the place time of a job whose adapter is loaded; others take no
// place before theirs is.
func (b *customer) wait(it *Item, sign magno.Millis) {
	run := sign * it.Run
	b.run[urgency(&it.Job)] += run
	b.total += run
	it.caller.run += run
}

func (q *Queue) customer(name string) *customer {
	if b := q.customers[name]; b != nil {
		return b
	}
	if len(q.customers) >= sweepAt {
		for n, b := range q.customers {
			if b.queued == 0 && b.virtual <= q.virtual {
				delete(q.customers, n)
			}
		}
	}
	b := &customer{name: name, callers: map[string]*caller{}}
	b.ready[0].which, b.ready[1].which = heapReady, heapReady
	q.customers[name] = b
	return b
}

// caller returns the state of one caller; those that are idle and not ahead of
// the virtual time are as good as new and are dropped now and then.
func (b *customer) caller(name string) *caller {
	if c := b.callers[name]; c != nil {
		return c
	}
	if len(b.callers) >= sweepAt+2*b.busy {
		for n, c := range b.callers {
			if c.queued == 0 && c.finish <= b.clock {
				delete(b.callers, n)
			}
		}
	}
	c := &caller{}
	b.callers[name] = c
	return c
}

// Take removes and returns the job that is next among those whose adapter is
// loaded, and charges it to its customer. Long jobs are passed over unless
// long is true. It returns nil when there is none.
func (q *Queue) Take(long bool) *Item {
	it := q.Peek(long)
	if it == nil {
		return nil
	}
	b := it.biz
	q.virtual = max(q.virtual, b.virtual)
	b.clock = max(b.clock, it.tag)
	b.virtual += cost(&it.Job) / q.weight(b.name)
	q.started(b, it.Run)
	q.Remove(it.Job.ID)
	return it
}

// Peek returns what Take would.
func (q *Queue) Peek(long bool) *Item {
	var best *Item
	for _, b := range q.active {
		it := b.top(long)
		if it != nil && (best == nil || b.virtual < best.biz.virtual) {
			best = it
		}
	}
	return best
}

func (b *customer) top(long bool) *Item {
	short := b.ready[0].top()
	if !long {
		return short
	}
	other := b.ready[1].top()
	if short == nil || (other != nil && other.key < short.key) {
		return other
	}
	return short
}

// Settle corrects a customer's account by the tokens that a job took more, or
// with a negative n less, than was charged.
func (q *Queue) Settle(name string, n int) {
	if b := q.customers[name]; b != nil {
		b.virtual += float64(n) / q.weight(name)
	}
}

// Remove takes a queued job out; nil means that it isn't queued.
func (q *Queue) Remove(id string) *Item {
	it := q.items[id]
	if it == nil {
		return nil
	}
	delete(q.items, id)
	q.limits.remove(it)
	q.leave(it)
	b := it.biz
	b.count(it, -1)
	q.count--
	q.tokens -= it.Job.Prompt + it.Job.Output
	if it.caller.queued == 0 {
		b.busy--
	}
	if b.queued == 0 {
		q.deactivate(b)
	}
	return it
}

func (q *Queue) deactivate(b *customer) {
	for i, a := range q.active {
		if a == b {
			q.active = append(q.active[:i], q.active[i+1:]...)
			return
		}
	}
}

// Expired returns a job whose limit has passed, still queued, or nil.
func (q *Queue) Expired(now magno.Millis) *Item {
	if it := q.limits.top(); it != nil && it.limit < now {
		return it
	}
	return nil
}

// Len is the number of queued jobs, Tokens their tokens.
func (q *Queue) Len() int { return q.count }

// Tokens is the number of queued tokens.
func (q *Queue) Tokens() int { return q.tokens }

// Ready is the place time of queued jobs whose adapter is loaded.
func (q *Queue) Ready() magno.Millis { return q.ready }

// ReadyJobs counts them.
func (q *Queue) ReadyJobs() int { return q.readyJobs }

// Customers maps each customer to its queued tokens.
func (q *Queue) Customers() map[string]int {
	tokens := make(map[string]int, len(q.active))
	for _, b := range q.active {
		tokens[b.name] = b.tokens
	}
	return tokens
}

// Has tells whether the job is queued.
func (q *Queue) Has(id string) bool { return q.items[id] != nil }
