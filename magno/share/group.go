package share

import (
	"cmp"
	"slices"

	"magnoliastall.example/magno"
)

// overShareFactor is the multiple of its share that a customer or caller must
// have queued before a refusal is attributed to it. Below two, differences
// between the shares of a busy queue are random.
const overShareFactor = 2

// harmRate returns the harm that each millisecond of waiting adds for a job.
// Harm is waiting time as a fraction of the job's patience.
func harmRate(it *Item) float64 { return 1 / float64(max(it.Patience, 1)) }

// PendingLoad describes an adapter that is not loaded and has queued jobs.
type PendingLoad struct {
	Ref magno.Ref
	// Jobs is the number of queued jobs.
	Jobs int
	// Harm is the sum of the jobs' waits, each divided by the job's patience.
	Harm float64
	// Seq is the sequence number of the first job queued for the adapter.
	Seq uint64
}

// addToGroup adds the item to the group of its adapter, creating the group if
// needed.
func (q *Queue) addToGroup(it *Item, ready bool) {
	g := q.groups[it.Job.Ref]
	if g == nil {
		g = &group{seq: it.seq, ready: ready, baseTime: it.Job.Arrived}
		q.groups[it.Job.Ref] = g
		if !ready {
			q.unready++
		}
	}
	it.group, it.groupIndex = g, len(g.items)
	g.items = append(g.items, it)
	h := harmRate(it)
	g.harmRate += h
	g.harmOffset += h * float64(it.Job.Arrived-g.baseTime)
	if g.ready {
		q.addReady(it)
	}
}

func (q *Queue) removeFromGroup(it *Item) {
	g := it.group
	if g.ready {
		q.removeReady(it)
	}
	last := len(g.items) - 1
	g.items[it.groupIndex] = g.items[last]
	g.items[it.groupIndex].groupIndex = it.groupIndex
	g.items[last] = nil
	g.items = g.items[:last]
	h := harmRate(it)
	g.harmRate -= h
	g.harmOffset -= h * float64(it.Job.Arrived-g.baseTime)
	if last == 0 {
		delete(q.groups, it.Job.Ref)
		if !g.ready {
			q.unready--
		}
	}
}

// addReady makes the item available to Take.
func (q *Queue) addReady(it *Item) {
	h := &it.customer.ready[lengthClass(it)]
	h.push(it)
	q.readyRun += it.Run
	q.readyJobs++
	it.customer.countReady(it, 1)
}

func (q *Queue) removeReady(it *Item) {
	it.customer.ready[lengthClass(it)].remove(it)
	q.readyRun -= it.Run
	q.readyJobs--
	it.customer.countReady(it, -1)
}

// MarkReady makes the adapter's queued jobs available to Take. It is called when
// the adapter has been loaded or accepts jobs again after draining.
func (q *Queue) MarkReady(ref magno.Ref) {
	if g := q.groups[ref]; g != nil && !g.ready {
		g.ready = true
		q.unready--
		for _, it := range g.items {
			q.addReady(it)
		}
	}
}

// MarkUnready withholds the adapter's queued jobs from Take. It is called when the
// adapter is evicted, lost or drained.
func (q *Queue) MarkUnready(ref magno.Ref) {
	if g := q.groups[ref]; g != nil && g.ready {
		g.ready = false
		q.unready++
		for _, it := range g.items {
			q.removeReady(it)
		}
	}
}

// Queued returns the number of jobs queued for the adapter.
func (q *Queue) Queued(ref magno.Ref) int {
	if g := q.groups[ref]; g != nil {
		return len(g.items)
	}
	return 0
}

// MostHarmful returns the pending load whose jobs' waits add up to the most harm
// at now, among the adapters that usable accepts. It iterates over the adapters
// that queued jobs need, so its cost is bounded by the queue's length; the
// scheduler calls it only when a load could begin.
func (q *Queue) MostHarmful(now magno.Millis, usable func(magno.Ref) bool) (PendingLoad, bool) {
	var best PendingLoad
	found := false
	for ref, g := range q.groups {
		if g.ready {
			continue
		}
		h := g.harmAt(now)
		if found && (h < best.Harm || (h == best.Harm && g.seq > best.Seq)) {
			continue
		}
		if !usable(ref) {
			continue
		}
		best = PendingLoad{Ref: ref, Jobs: len(g.items), Harm: h, Seq: g.seq}
		found = true
	}
	return best, found
}

// HarmRate returns the harm added for each millisecond in which the adapter's
// queued jobs cannot start.
func (q *Queue) HarmRate(ref magno.Ref) float64 {
	if g := q.groups[ref]; g != nil {
		return g.harmRate
	}
	return 0
}

// TimeToHarm returns how long it would take, if a job with the given patience were
// queued for ref now, until the harm of that pending load reaches level. It also
// returns how many other pending loads will have at least as much harm by then
// and so come first.
func (q *Queue) TimeToHarm(level float64, ref magno.Ref, patience, now magno.Millis) (magno.Millis, int) {
	growth := 1 / float64(max(patience, 1))
	mine := q.groups[ref]
	if mine != nil {
		level -= mine.harmAt(now)
		growth += mine.harmRate
	}
	wait := magno.Millis(max(level, 0) / growth)
	then := now + wait
	own := float64(wait) / float64(max(patience, 1))
	if mine != nil {
		own += mine.harmAt(then)
	}
	before := 0
	for _, g := range q.groups {
		if !g.ready && g != mine && g.harmAt(then) >= own {
			before++
		}
	}
	return wait, before
}

// harmAt returns the total harm of the group's waits at now.
func (g *group) harmAt(now magno.Millis) float64 {
	return g.harmRate*float64(now-g.baseTime) - g.harmOffset
}

// Unready returns the number of adapters that are not loaded and have queued jobs.
func (q *Queue) Unready() int { return q.unready }

// overtakeFactor is the multiple of others' queued work that is expected to run
// before a job: those that are being served send further work while the job waits.
const overtakeFactor = 4

// recentGain is the smoothing factor for the customers' recent place time. It
// covers about the last hundred starts, roughly those that happen during a long
// wait.
const recentGain = 0.01

// maxStartWeight is the weight at which the sums are scaled back, to keep
// floating-point precision.
const maxStartWeight = 1e12

// recordStart adds a started job to its customer's recent place time. Instead of
// decaying every customer's sum, it increases the weight of each new start.
func (q *Queue) recordStart(cust *customer, run magno.Millis) {
	q.startWeight = max(q.startWeight, 1) / (1 - recentGain)
	cust.recentRun += q.startWeight * float64(run)
	if q.startWeight < maxStartWeight {
		return
	}
	for _, cust := range q.customers {
		cust.recentRun /= q.startWeight
	}
	q.startWeight = 1
}

// WorkAhead estimates the work that would run before a job queued now.
type WorkAhead struct {
	// Run is the total place time of that work.
	Run magno.Millis
	// OverShare is true when the job's customer or caller has more than twice its
	// share of the queue while others wait.
	OverShare bool
}

// AheadByCustomer maps each customer with queued jobs to the place time that would
// run before one more of its jobs: its own queued work, and of every other
// customer's at most what weighted sharing serves in the same time.
func (q *Queue) AheadByCustomer() map[string]magno.Millis {
	order := slices.Clone(q.active)
	weights := 0.0
	for _, cust := range order {
		weights += q.weight(cust.name)
	}
	slices.SortStableFunc(order, func(a, b *customer) int {
		return cmp.Compare(float64(a.readyTotal)/q.weight(a.name), float64(b.readyTotal)/q.weight(b.name))
	})
	ahead := make(map[string]magno.Millis, len(order))
	var shorter magno.Millis // total of the queues that finish earlier
	for _, cust := range order {
		ahead[cust.name] = shorter + magno.Millis(float64(cust.readyTotal)/q.weight(cust.name)*weights)
		weights -= q.weight(cust.name)
		shorter += cust.readyTotal
	}
	return ahead
}

// Ahead estimates the work that would run before a job that needs run of place
// time.
func (q *Queue) Ahead(job *magno.Job, run magno.Millis) WorkAhead {
	cust := q.customers[job.Customer]
	if cust == nil {
		cust = &customer{name: job.Customer}
	}
	c := cust.callers[job.Caller]
	if c == nil {
		c = &caller{}
	}
	var same magno.Millis
	for u := urgency(job); u < Urgencies; u++ {
		same += cust.readyRun[u]
	}
	others := cust.waitingCallers
	if c.queued > 0 {
		others--
	}
	ahead := c.readyRun + min(overtakeFactor*max(same-c.readyRun, 0), magno.Millis(others)*(c.readyRun+run))
	over := others > 0 && magno.Millis(others+1)*c.readyRun > overShareFactor*cust.readyTotal
	weight := q.weight(job.Customer)
	var rest magno.Millis
	for _, other := range q.active {
		if other == cust {
			continue
		}
		ratio := q.weight(other.name) / weight
		over = over || float64(cust.readyTotal)*ratio > overShareFactor*float64(other.readyTotal)
	}
	// A customer that is served as fast as it sends has little queued, so its
	// share of the recent starts predicts what it will use next.
	own := float64(ahead + run)
	for _, other := range q.customers {
		if other == cust {
			continue
		}
		comes := overtakeFactor * other.readyTotal
		if cust.recentRun > 0 {
			comes = max(comes, magno.Millis(own*other.recentRun/cust.recentRun))
		}
		rest += min(comes, magno.Millis(own*q.weight(other.name)/weight))
	}
	return WorkAhead{Run: ahead + rest, OverShare: over}
}
