package queue

import (
	"cmp"
	"slices"

	"magnoliastall.example/magno"
)

// lateTurn is how often the waiting request with the earliest deadline starts whatever the order:
// requests with a target that is never met would otherwise get nothing in a long overload.
const lateTurn = 16

// compare orders waiting requests, without regard to customers.
func compare(a, b *entry) int {
	switch {
	case a.late != b.late && b.late:
		return -1
	case a.late != b.late:
		return 1
	}
	return cmp.Or(cmp.Compare(a.Rank, b.Rank), cmp.Compare(a.StartBy, b.StartBy))
}

// before reports whether a starts before b.
func (q *Queue) before(a, b *entry) bool {
	if a.late == b.late && a.Rank == b.Rank && q.Weight != nil && a.Customer != b.Customer {
		if c := cmp.Compare(q.fair.tag(a.Customer), q.fair.tag(b.Customer)); c != 0 {
			return c < 0
		}
	}
	return compare(a, b) < 0
}

// pick returns the index of the request that starts next and its upstream, -1 if none can start.
func (q *Queue) pick(now magno.Millis) (int, *upstream) {
	turn := q.starts%lateTurn == lateTurn-1
	best, expected := -1, q.expectedTime(now)
	var at *upstream
	for i, e := range q.waiting {
		switch {
		case float64(e.Deadline-now) < q.usual.least():
			continue // rejected by the next review
		case best < 0:
		case turn && e.Deadline >= q.waiting[best].Deadline:
			continue
		case !turn && !q.before(e, q.waiting[best]):
			continue
		}
		if !q.window.hasRoom(now, e.late, expected) {
			continue
		}
		if u := q.choose(e, now); u != nil {
			best, at = i, u
		}
	}
	return best, at
}

// choose returns an upstream with room for a request, nil if there is none. It draws one at random, by
// the third power of its answer time: one that takes 2.5 times as long gets a fifteenth. If all entries
// preferred the same one, it would be full. With 29 entries the fourth power follows single slow answers
// too much, the second sends too many to a slow upstream.
func (q *Queue) choose(e *entry, now magno.Millis) *upstream {
	avoid := len(e.Avoid) > 0 && slices.ContainsFunc(q.upstreams, func(u *upstream) bool {
		at, ok := u.usableAt()
		return ok && at <= now && !slices.Contains(e.Avoid, u.Name)
	})
	var best *upstream
	sum := 0.0
	for _, u := range q.upstreams {
		if !u.hasRoom(now) || (avoid && slices.Contains(e.Avoid, u.Name)) {
			continue
		}
		t := q.expectedAt(u, now)
		n := float64(1 + u.inFlight)
		weight := 1 / (t * t * t * n * n * n * n)
		sum += weight
		if q.rand.Float64()*sum < weight {
			best = u
		}
	}
	return best
}

// anyRoom reports whether an upstream has room for a request. Before the first answer nothing is known
// of how long they take, so that the windows below one can't space requests out. All entries may have
// started at the same time with many requests waiting.
func (q *Queue) anyRoom(now magno.Millis) bool {
	if q.usual.get() == 0 && q.window.inFlight >= q.firstSends() {
		return false
	}
	return q.window.hasRoom(now, false, q.expectedTime(now)) && slices.ContainsFunc(q.upstreams, func(u *upstream) bool { return u.hasRoom(now) })
}

// shares are start-time fair shares of customers.
type shares struct {
	tags    map[string]float64
	virtual float64
}

// tag returns the virtual start time of a customer's next request.
func (s *shares) tag(customer string) float64 { return max(s.tags[customer], s.virtual) }

// start counts a start. A customer without a weight counts as one.
func (s *shares) start(customer string, weight func(string) float64) {
	if weight == nil {
		return
	}
	w := weight(customer)
	if w <= 0 {
		w = 1
	}
	if s.tags == nil {
		s.tags = map[string]float64{}
	}
	s.virtual = s.tag(customer)
	s.tags[customer] = s.virtual + 1/w
	for name, tag := range s.tags {
		if tag <= s.virtual {
			delete(s.tags, name) // as good as unknown
		}
	}
}

// firstSends returns how many requests may be in flight before the first answer. With the part of a short
// queue, bursts at the start of the entries wait although request slots are idle.
func (q *Queue) firstSends() int { return max(int(q.window.fair+0.5), 1) }
