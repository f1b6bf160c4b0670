// Package queue orders the requests of one entry for a plain service and decides when each is sent.
//
//	Offer --> waiting --> Next: order, estimate --> Start at an upstream --> Done --> window
//	  '--> refusal          '--> rejections                                    '--> Offer again, if shed
//
// Load pattern: many entries in front of a few upstreams with fewer request slots than there are
// entries, each with a short queue that sheds. Without the package each entry sends at once, by its
// own count of outstanding requests, which is nearly always zero. Upstreams are full by chance while
// others are idle, under overload every answer waits for a whole upstream queue and is late, and what
// is shed twice is refused within milliseconds.
//
// Each entry bounds what it has in flight at the service by a window that it learns from the answers:
// their time against a low quantile, sheds, and this entry's part of the demand. The windows of all
// entries together keep the upstreams' request slots full. While some requests can't be on time they
// also keep the upstreams' queues short, so that requests wait here, where those that can be on time
// are sent first. An upstream is drawn by its answer time, and gets none while it leaves, rests, failed
// a moment ago or doesn't answer.
//
// The package does no I/O and takes the time from a magno.Clock.
package queue

import (
	"math/rand/v2"

	"magnoliastall.example/magno"
)

const (
	// minUsual is the least answer time that estimates use, in milliseconds, so that none divides by
	// zero.
	minUsual = 1
	// reviewInterval is the time between two estimates of all waiting requests. Estimates change by
	// answers, which take longer.
	reviewInterval = 10 * magno.Millis(1)
	// minRetryAfter is the least Retry-After. Callers retry once, so an early retry is wasted.
	minRetryAfter = 50 * magno.Millis(1)
	// maxRetryAfter bounds the Retry-After where an estimate has no basis.
	maxRetryAfter = 2 * magno.Second
)

// Item is a request.
type Item struct {
	ID       string
	Customer string
	// Rank is the priority, 0 highest.
	Rank int
	// StartBy is the latest time of sending with which the answer is probably on time: when that
	// loses its full value, less Stats.Usual.
	StartBy magno.Millis
	// Deadline is when the answer is of no use any more.
	Deadline magno.Millis
	// Avoid lists the upstreams that it was sent to. They are used only if no other one is usable.
	Avoid []string
}

// Start is the decision to send a request to an upstream.
type Start struct {
	ID, Upstream string
}

// Rejection is the decision that a waiting request can't be answered before its deadline.
type Rejection struct {
	ID      string
	Refusal *magno.Refusal
}

// Decisions are what is to be done now.
type Decisions struct {
	Starts     []Start
	Rejections []Rejection
	// Wake is when Next is to be called again if nothing else happens, zero if nothing waits.
	Wake magno.Millis
}

// Result is the end of a started request.
type Result struct {
	// Took is the time from sending it to the answer.
	Took magno.Millis
	// Shed is true if the upstream stated that it did not run the request.
	Shed bool
	// OK is true if the upstream answered.
	OK bool
	// Void is true if the end says nothing about the upstream: the request was not sent, or its
	// caller left.
	Void bool
}

// Upstream is an upstream of the service.
type Upstream struct {
	Name  string
	Slots int
	// Leaving upstreams get no new requests.
	Leaving bool
}

// Stats describe the state of a queue.
type Stats struct {
	Waiting, InFlight int
	// Window is how many requests may be in flight at all upstreams.
	Window float64
	// Usual is the time within which nine of ten answers come.
	Usual magno.Millis
	// Demand is the number of requests offered per second, without those offered again. Those that
	// wait count twice: they are still to be served.
	Demand float64
}

// Queue is the queue of one service at one entry. It isn't safe for concurrent use. Exported fields
// are set before use.
type Queue struct {
	Clock *magno.Clock
	// Seed makes choices among equal upstreams reproducible.
	Seed uint64
	// Weight returns a customer's weight, at least zero. Nil where the configuration has no customers.
	Weight func(customer string) float64

	rand      *rand.Rand
	upstreams []*upstream
	window    window
	// waiting holds the requests that wait, in the order of their arrival.
	waiting []*entry
	// started maps the requests in flight to their upstream.
	started map[string]*flight
	entries int
	share   float64
	usual   usualTime
	demand  rate
	fair    shares
	// starts counts the starts, for the turns of late requests.
	starts int
	// pressed is true while requests wait that can't be on time.
	pressed    bool
	reviewedAt magno.Millis
}

// entry is a request that waits.
type entry struct {
	Item
	// late is the result of the last look whether it can be on time.
	late bool
}

// flight is a request in flight.
type flight struct {
	up     *upstream
	sentAt magno.Millis
	// overdue is true once its answer is overdue.
	overdue bool
}

func (q *Queue) setup() {
	if q.rand == nil {
		q.rand = rand.New(rand.NewPCG(q.Seed, 1))
		q.started = map[string]*flight{}
	}
}

// Offer queues a request, or returns a refusal if it can't be answered before its deadline. A request
// that was shed is offered again with the same StartBy, which gives it its old position.
func (q *Queue) Offer(it Item) *magno.Refusal {
	q.setup()
	now := q.Clock.Now()
	if len(it.Avoid) == 0 {
		q.demand.add(now)
	}
	e := &entry{Item: it, late: it.StartBy < now}
	if refusal := q.refusalAt(e, q.countBefore(e), now); refusal != nil {
		return refusal
	}
	q.waiting = append(q.waiting, e)
	return nil
}

// Next returns what is to be sent or rejected now. Each decision is returned once.
func (q *Queue) Next() Decisions {
	q.setup()
	now := q.Clock.Now()
	var d Decisions
	q.noteOverdue(now)
	q.pressed = false
	for _, e := range q.waiting {
		e.late = e.StartBy < now
		q.pressed = q.pressed || e.late
	}
	for len(q.waiting) > 0 && q.anyRoom(now) {
		i, up := q.pick(now)
		if i < 0 {
			break
		}
		e := q.waiting[i]
		q.remove(i)
		q.fair.start(e.Customer, q.Weight)
		q.starts++
		up.inFlight++
		q.window.sent(now, e.late)
		q.started[e.ID] = &flight{up: up, sentAt: now}
		d.Starts = append(d.Starts, Start{ID: e.ID, Upstream: up.Name})
	}
	if len(q.waiting) > 0 && now-q.reviewedAt >= reviewInterval {
		q.reviewedAt = now
		d.Rejections = q.review(now)
	}
	d.Wake = q.wakeAt(now)
	return d
}

// Done reports the end of a started request.
func (q *Queue) Done(id string, res Result) {
	f, ok := q.started[id]
	if !ok {
		return
	}
	delete(q.started, id)
	f.up.inFlight--
	if !f.overdue {
		q.window.inFlight--
	}
	now := q.Clock.Now()
	switch {
	case res.Void:
		q.window.void(f.sentAt)
	case res.Shed:
		q.window.shed(f.sentAt, now)
		f.up.shed(now)
	case !res.OK:
		f.up.failed(now)
	default:
		took := max(float64(res.Took), minUsual)
		f.up.learn(took, now, q.knownBase())
		q.window.learn(took-f.up.base, f.up.base, now, q.pressed)
		q.usual.add(took)
	}
}

// noteOverdue finds the requests whose answer is overdue.
func (q *Queue) noteOverdue(now magno.Millis) {
	for _, u := range q.upstreams {
		u.overdue = false
	}
	limit := firstOverdue
	if usual := q.usual.get(); usual > 0 {
		limit = magno.Millis(overdueFactor * usual)
	}
	for _, f := range q.started {
		if now-f.sentAt < limit {
			continue
		}
		f.up.overdue = true
		if !f.overdue {
			f.overdue = true
			q.window.inFlight--
		}
	}
}

// Cancel removes a request that waits. It returns false if it was started or isn't known.
func (q *Queue) Cancel(id string) bool {
	for i, e := range q.waiting {
		if e.ID == id {
			q.remove(i)
			return true
		}
	}
	return false
}

// Rest excludes an upstream until the given time.
func (q *Queue) Rest(name string, until magno.Millis) {
	for _, u := range q.upstreams {
		if u.Name == name {
			u.restUntil = max(u.restUntil, until)
		}
	}
}

// Update replaces the upstreams. Those that remain keep what was learned about them.
func (q *Queue) Update(list []Upstream) {
	q.setup()
	known := make(map[string]*upstream, len(q.upstreams))
	for _, u := range q.upstreams {
		known[u.Name] = u
	}
	next := make([]*upstream, 0, len(list))
	for _, l := range list {
		u := known[l.Name]
		if u == nil {
			u = &upstream{}
		}
		u.Upstream = l
		next = append(next, u)
	}
	q.upstreams = next
	q.setParts()
}

// SetPeers sets how many entries share the service, this one included, and this one's share of their
// demand, zero if unknown. With one entry or none the queue goes by its own observation alone.
func (q *Queue) SetPeers(entries int, share float64) {
	q.entries, q.share = entries, share
	q.setParts()
}

// Stats returns the state of the queue.
func (q *Queue) Stats() Stats {
	now := q.Clock.Now()
	return Stats{
		Waiting: len(q.waiting), InFlight: len(q.started), Window: q.window.size, Usual: magno.Millis(q.usual.get()), Demand: q.demand.get(now) + float64(len(q.waiting))*float64(magno.Second)/float64(demandWindow),
	}
}

// Changed returns the window before, if it has halved or doubled since Changed last did.
func (q *Queue) Changed() (before float64, changed bool) {
	w := &q.window
	before = w.reported
	if w.size < reportedChange*before && w.size*reportedChange > before {
		return 0, false
	}
	w.reported = w.size
	return before, true
}

func (q *Queue) remove(i int) {
	copy(q.waiting[i:], q.waiting[i+1:])
	q.waiting[len(q.waiting)-1] = nil
	q.waiting = q.waiting[:len(q.waiting)-1]
}
