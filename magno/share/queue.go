// Package share is a weighted fair queue. Customers share the engine by weight,
// callers share their customer's part equally, and urgency orders jobs within a
// customer.
//
// Load pattern: one customer or caller sends many times its share while the
// others send as before, and long jobs arrive among short ones. With a FIFO
// queue, whoever sends most would be served most, and a short advisor question
// would wait behind every long timetable draft that arrived earlier.
//
// The algorithm is start-time fair queueing (Goyal, Vin and Cheng, 1996) on two
// levels, with cost in tokens. A job's start tag is the later of its customer's
// virtual time and its caller's last finish tag. Urgency lowers the key
// that orders jobs by a bounded number of tokens, so a less urgent job is
// overtaken by at most that much work and none starves. On each level, no
// customer or caller gets ahead of its share by more than one job.
package share

import (
	"magnoliastall.example/magno"
)

// Urgencies is the number of values of Job.Urgency.
const Urgencies = 10

// DefaultBoost is the number of queued tokens of its customer that a job overtakes
// for each step of urgency. It equals about two answers of the workloads in
// docs/LOAD.md, so the most urgent job passes about twenty queued answers.
const DefaultBoost = 400

// sweepThreshold is the number of customers or callers at which idle ones whose
// state no longer affects the order are removed.
const sweepThreshold = 256

// Item is a queued job.
type Item struct {
	Job magno.Job
	// Run is the expected time for which the job occupies a batch place.
	Run magno.Millis
	// Patience is the longest time that the job should wait for its adapter. Waits
	// are compared as fractions of it.
	Patience magno.Millis
	// Long is true when the job's run is long compared with other jobs'.
	Long bool
	// Exclusive is true when no other job may run at the same time.
	Exclusive bool

	seq         uint64
	key         float64
	startTag    float64
	latestStart magno.Millis
	heapIndex   [heapCount]int
	groupIndex  int
	group       *group
	customer    *customer
	caller      *caller
}

// group holds the queued jobs of one adapter version.
type group struct {
	seq   uint64
	ready bool
	items []*Item
	// baseTime is the arrival of the first item. Arrivals are summed relative to it,
	// because products with times since the epoch would lose milliseconds to
	// rounding.
	baseTime magno.Millis
	// harmRate is the sum of the items' harm rates, and harmOffset the sum of each
	// rate times the item's arrival after baseTime. With them harmAt needs no
	// iteration over the items.
	harmRate   float64
	harmOffset float64
}

type caller struct {
	// finishTag is the virtual time at which the caller's last job ends; its next
	// job starts there at the earliest.
	finishTag float64
	queued    int
	readyRun  magno.Millis
}

type customer struct {
	name string
	// virtualTime is the service received divided by the weight.
	virtualTime float64
	// callerTime is the virtual time of the level below, among the callers.
	callerTime     float64
	ready          [2]heap
	callers        map[string]*caller
	waitingCallers int // number of callers with queued jobs
	queued         int
	tokens         int
	readyRun       [Urgencies]magno.Millis
	readyTotal     magno.Millis
	// recentRun is the place time of its started jobs, with older ones weighted
	// less.
	recentRun float64
}

// Queue holds queued jobs. Its exported fields are set before use.
type Queue struct {
	// Weights maps customers to their weights; the default weight is 1.
	Weights map[string]float64
	// Boost is the number of tokens that a job overtakes per step of urgency.
	Boost float64

	seq         uint64
	virtualTime float64
	items       map[string]*Item
	expiry      heap
	groups      map[magno.Ref]*group
	customers   map[string]*customer
	// active lists customers with queued jobs in order of activation.
	active []*customer
	// readyRun is the total place time of jobs whose adapter is loaded, readyJobs
	// their number.
	readyRun  magno.Millis
	readyJobs int
	// startWeight is the weight of the last recorded start in the customers'
	// recentRun.
	startWeight float64

	count  int
	tokens int
	// unready is the number of groups whose adapter is not loaded.
	unready int
}

// New returns an empty queue.
func New(weights map[string]float64, boost float64) *Queue {
	return &Queue{Weights: weights, Boost: boost, expiry: heap{kind: heapExpiry},
		items: map[string]*Item{}, groups: map[magno.Ref]*group{}, customers: map[string]*customer{}}
}

func (q *Queue) weight(name string) float64 {
	if w := q.Weights[name]; w > 0 {
		return w
	}
	return 1
}

func tokenCost(job *magno.Job) float64 { return float64(max(job.Prompt+job.Output, 1)) }

func lengthClass(it *Item) int {
	if it.Long {
		return 1
	}
	return 0
}

// Add queues an item. Ready tells whether its adapter is loaded; the item expires
// after latestStart.
func (q *Queue) Add(it *Item, ready bool, latestStart magno.Millis) {
	q.seq++
	it.seq, it.latestStart = q.seq, latestStart
	cust := q.customer(it.Job.Customer)
	c := cust.caller(it.Job.Caller)
	it.customer, it.caller = cust, c
	it.startTag = max(cust.callerTime, c.finishTag)
	c.finishTag = it.startTag + tokenCost(&it.Job)
	it.key = it.startTag - q.Boost*float64(urgency(&it.Job))
	if cust.queued == 0 {
		cust.virtualTime = max(cust.virtualTime, q.virtualTime)
		q.active = append(q.active, cust)
	}
	if c.queued == 0 {
		cust.waitingCallers++
	}
	cust.countQueued(it, 1)
	q.count++
	q.tokens += it.Job.Prompt + it.Job.Output
	q.items[it.Job.ID] = it
	q.expiry.push(it)
	q.addToGroup(it, ready)
}

func urgency(job *magno.Job) int { return min(max(job.Urgency, 0), Urgencies-1) }

func (cust *customer) countQueued(it *Item, sign int) {
	cust.queued += sign
	cust.tokens += sign * (it.Job.Prompt + it.Job.Output)
	it.caller.queued += sign
}

// countReady adds or, with sign -1, subtracts the place time of a job whose adapter
// is loaded. Jobs whose adapter is not loaded cannot take a place yet.
func (cust *customer) countReady(it *Item, sign magno.Millis) {
	run := sign * it.Run
	cust.readyRun[urgency(&it.Job)] += run
	cust.readyTotal += run
	it.caller.readyRun += run
}

func (q *Queue) customer(name string) *customer {
	if cust := q.customers[name]; cust != nil {
		return cust
	}
	if len(q.customers) >= sweepThreshold {
		for n, cust := range q.customers {
			if cust.queued == 0 && cust.virtualTime <= q.virtualTime {
				delete(q.customers, n)
			}
		}
	}
	cust := &customer{name: name, callers: map[string]*caller{}}
	cust.ready[0].kind, cust.ready[1].kind = heapReady, heapReady
	q.customers[name] = cust
	return cust
}

// caller returns the state of a caller. Idle callers whose finish tag is not ahead
// of the virtual time have no state worth keeping and are removed now and then.
func (cust *customer) caller(name string) *caller {
	if c := cust.callers[name]; c != nil {
		return c
	}
	if len(cust.callers) >= sweepThreshold+2*cust.waitingCallers {
		for n, c := range cust.callers {
			if c.queued == 0 && c.finishTag <= cust.callerTime {
				delete(cust.callers, n)
			}
		}
	}
	c := &caller{}
	cust.callers[name] = c
	return c
}

// Take removes and returns the next job whose adapter is loaded, and charges it to
// its customer. Long jobs are skipped unless long is true. It returns nil when
// there is no such job.
func (q *Queue) Take(long bool) *Item {
	it := q.Peek(long)
	if it == nil {
		return nil
	}
	cust := it.customer
	q.virtualTime = max(q.virtualTime, cust.virtualTime)
	cust.callerTime = max(cust.callerTime, it.startTag)
	cust.virtualTime += tokenCost(&it.Job) / q.weight(cust.name)
	q.recordStart(cust, it.Run)
	q.Remove(it.Job.ID)
	return it
}

// Peek returns the job that Take would return, and leaves it queued.
func (q *Queue) Peek(long bool) *Item {
	var best *Item
	for _, cust := range q.active {
		it := cust.top(long)
		if it != nil && (best == nil || cust.virtualTime < best.customer.virtualTime) {
			best = it
		}
	}
	return best
}

func (cust *customer) top(long bool) *Item {
	short := cust.ready[0].top()
	if !long {
		return short
	}
	other := cust.ready[1].top()
	if short == nil || (other != nil && other.key < short.key) {
		return other
	}
	return short
}

// Settle corrects a customer's charge by n, the tokens that a job used beyond what
// Take charged; n is negative when it used fewer.
func (q *Queue) Settle(name string, n int) {
	if cust := q.customers[name]; cust != nil {
		cust.virtualTime += float64(n) / q.weight(name)
	}
}

// Remove removes and returns a queued job, or nil if it is not queued.
func (q *Queue) Remove(id string) *Item {
	it := q.items[id]
	if it == nil {
		return nil
	}
	delete(q.items, id)
	q.expiry.remove(it)
	q.removeFromGroup(it)
	cust := it.customer
	cust.countQueued(it, -1)
	q.count--
	q.tokens -= it.Job.Prompt + it.Job.Output
	if it.caller.queued == 0 {
		cust.waitingCallers--
	}
	if cust.queued == 0 {
		q.deactivate(cust)
	}
	return it
}

func (q *Queue) deactivate(cust *customer) {
	for i, a := range q.active {
		if a == cust {
			q.active = append(q.active[:i], q.active[i+1:]...)
			return
		}
	}
}

// Expired returns a queued job whose latest start has passed, or nil. The job stays
// queued.
func (q *Queue) Expired(now magno.Millis) *Item {
	if it := q.expiry.top(); it != nil && it.latestStart < now {
		return it
	}
	return nil
}

// Len returns the number of queued jobs.
func (q *Queue) Len() int { return q.count }

// Tokens returns the number of queued tokens, prompts and expected output.
func (q *Queue) Tokens() int { return q.tokens }

// ReadyRun returns the total place time of queued jobs whose adapter is loaded.
func (q *Queue) ReadyRun() magno.Millis { return q.readyRun }

// ReadyJobs returns the number of queued jobs whose adapter is loaded.
func (q *Queue) ReadyJobs() int { return q.readyJobs }

// Customers maps each customer with queued jobs to its queued tokens.
func (q *Queue) Customers() map[string]int {
	tokens := make(map[string]int, len(q.active))
	for _, cust := range q.active {
		tokens[cust.name] = cust.tokens
	}
	return tokens
}

// Has reports whether the job is queued.
func (q *Queue) Has(id string) bool { return q.items[id] != nil }
