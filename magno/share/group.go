package share

import (
	"cmp"
	"slices"

	"magnoliastall.example/magno"
)

// excess is how many times its share a customer or caller has queued when a
// refusal is put down to it; under twice, the split between the parts of a
// busy queue is chance.
const excess = 2

// harm is the weight of a millisecond of a job's wait for its adapter.
func harm(it *Item) float64 { return 1 / float64(max(it.Patience, 1)) }

// Want describes the wait of queued jobs for an adapter that isn't loaded.
type Want struct {
	Ref magno.Ref
	// Jobs counts the waiting jobs.
	Jobs int
	// Harm is the sum of the jobs' waits, each as a part of its patience.
	Harm float64
	// Seq grows with the arrival of the first waiting job.
	Seq uint64
}

func (q *Queue) join(it *Item, ready bool) {
	g := q.groups[it.Job.Ref]
	if g == nil {
		g = &group{seq: it.seq, ready: ready, base: it.Job.Arrived}
		q.groups[it.Job.Ref] = g
		if !ready {
			q.unready++
		}
	}
	it.group, it.spot = g, len(g.items)
	g.items = append(g.items, it)
	h := harm(it)
	g.weight += h
	g.since += h * float64(it.Job.Arrived-g.base)
	if g.ready {
		q.wake(it)
	}
}

func (q *Queue) leave(it *Item) {
	g := it.group
	if g.ready {
		q.sleep(it)
	}
	last := len(g.items) - 1
	g.items[it.spot] = g.items[last]
	g.items[it.spot].spot = it.spot
	g.items[last] = nil
	g.items = g.items[:last]
	h := harm(it)
	g.weight -= h
	g.since -= h * float64(it.Job.Arrived-g.base)
	if last == 0 {
		delete(q.groups, it.Job.Ref)
		if !g.ready {
			q.unready--
		}
	}
}

func (q *Queue) wake(it *Item) {
	h := &it.biz.ready[class(it)]
	h.push(it)
	q.ready += it.Run
	q.readyJobs++
	it.biz.wait(it, 1)
}

func (q *Queue) sleep(it *Item) {
	it.biz.ready[class(it)].remove(it)
	q.ready -= it.Run
	q.readyJobs--
	it.biz.wait(it, -1)
}

// Wake tells that the adapter is loaded, Sleep that it isn't any more.
func (q *Queue) Wake(ref magno.Ref) {
	if g := q.groups[ref]; g != nil && !g.ready {
		g.ready = true
		q.unready--
		for _, it := range g.items {
			q.wake(it)
		}
	}
}

// Sleep tells that the adapter isn't loaded any more.
func (q *Queue) Sleep(ref magno.Ref) {
	if g := q.groups[ref]; g != nil && g.ready {
		g.ready = false
		q.unready++
		for _, it := range g.items {
			q.sleep(it)
		}
	}
}

// Queued counts the jobs that wait for the adapter.
func (q *Queue) Queued(ref magno.Ref) int {
	if g := q.groups[ref]; g != nil {
		return len(g.items)
	}
	return 0
}

// Worst returns the wait for an adapter that does most harm at now among
// those that usable accepts. It walks the adapters that queued jobs wait for,
// so the bound of the queue bounds it; the caller asks only when a load could
// begin.
func (q *Queue) Worst(now magno.Millis, usable func(magno.Ref) bool) (Want, bool) {
	var best Want
	found := false
	for ref, g := range q.groups {
		if g.ready {
			continue
		}
		h := g.at(now)
		if found && (h < best.Harm || (h == best.Harm && g.seq > best.Seq)) {
			continue
		}
		if !usable(ref) {
			continue
		}
		best = Want{Ref: ref, Jobs: len(g.items), Harm: h, Seq: g.seq}
		found = true
	}
	return best, found
}

// Growth is by how much the harm of the adapter's queued jobs grows in each
// millisecond in which they can't start.
func (q *Queue) Growth(ref magno.Ref) float64 {
	if g := q.groups[ref]; g != nil {
		return g.weight
	}
	return 0
}

// Until is how long a job with that patience, if it came now, would wait for
// the harm of its adapter's wait to reach level, and how many adapters whose
// loads will then have done more harm come before it.
func (q *Queue) Until(level float64, ref magno.Ref, patience, now magno.Millis) (magno.Millis, int) {
	growth := 1 / float64(max(patience, 1))
	mine := q.groups[ref]
	if mine != nil {
		level -= mine.at(now)
		growth += mine.weight
	}
	wait := magno.Millis(max(level, 0) / growth)
	then := now + wait
	own := float64(wait) / float64(max(patience, 1))
	if mine != nil {
		own += mine.at(then)
	}
	before := 0
	for _, g := range q.groups {
		if !g.ready && g != mine && g.at(then) >= own {
			before++
		}
	}
	return wait, before
}

// at is the group's harm at a time.
func (g *group) at(now magno.Millis) float64 { return g.weight*float64(now-g.base) - g.since }

// Unready counts adapters that queued jobs wait for.
func (q *Queue) Unready() int { return q.unready }

// overtake is how many times what others have queued may run before a job:
// those with a part in the engine bring further work while the job waits.
const overtake = 4

// recentGain weighs a start in the recent place time of customers: the last
// hundred or so count, about what starts while a job waits that may wait long.
const recentGain = 0.01

// mostGain is where the weights of starts are scaled back.
const mostGain = 1e12

// started counts a start. The weight of new ones grows in place of all old ones
// shrinking.
func (q *Queue) started(b *customer, run magno.Millis) {
	q.gain = max(q.gain, 1) / (1 - recentGain)
	b.recent += q.gain * float64(run)
	if q.gain < mostGain {
		return
	}
	for _, b := range q.customers {
		b.recent /= q.gain
	}
	q.gain = 1
}

// Ahead is the work that runs before a job that would be queued now.
type Ahead struct {
	// Run is the place time before it.
	Run magno.Millis
	// Over is true when the job's own customer or caller has more than twice
	// its share of the queue, while others wait.
	Over bool
}

// Fair maps each customer with queued jobs to the place time that runs before
// one more of its jobs: its own, and of each other's queue at most the part
// that is served beside it.
func (q *Queue) Fair() map[string]magno.Millis {
	order := slices.Clone(q.active)
	weights := 0.0
	for _, b := range order {
		weights += q.weight(b.name)
	}
	slices.SortStableFunc(order, func(a, b *customer) int {
		return cmp.Compare(float64(a.total)/q.weight(a.name), float64(b.total)/q.weight(b.name))
	})
	ahead := make(map[string]magno.Millis, len(order))
	var shorter magno.Millis // queues that end before
	for _, b := range order {
		ahead[b.name] = shorter + magno.Millis(float64(b.total)/q.weight(b.name)*weights)
		weights -= q.weight(b.name)
		shorter += b.total
	}
	return ahead
}

// Ahead estimates what a job that needs run of place time would wait for.
func (q *Queue) Ahead(job *magno.Job, run magno.Millis) Ahead {
	b := q.customers[job.Customer]
	if b == nil {
		b = &customer{name: job.Customer}
	}
	c := b.callers[job.Caller]
	if c == nil {
		c = &caller{}
	}
	var same magno.Millis
	for u := urgency(job); u < Urgencies; u++ {
		same += b.run[u]
	}
	others := b.busy
	if c.queued > 0 {
		others--
	}
	ahead := c.run + min(overtake*max(same-c.run, 0), magno.Millis(others)*(c.run+run))
	over := others > 0 && magno.Millis(others+1)*c.run > excess*b.total
	weight := q.weight(job.Customer)
	var rest magno.Millis
	for _, other := range q.active {
		if other == b {
			continue
		}
		ratio := q.weight(other.name) / weight
		over = over || float64(b.total)*ratio > excess*float64(other.total)
	}
	// What is queued now says little of a customer that is served as fast as
	// its work comes: its part of the recent starts is what it will take again.
	own := float64(ahead + run)
	for _, other := range q.customers {
		if other == b {
			continue
		}
		comes := overtake * other.total
		if b.recent > 0 {
			comes = max(comes, magno.Millis(own*other.recent/b.recent))
		}
		rest += min(comes, magno.Millis(own*q.weight(other.name)/weight))
	}
	return Ahead{Run: ahead + rest, Over: over}
}
