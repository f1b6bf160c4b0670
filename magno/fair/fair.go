// Package fair orders the queued requests of one engine by weighted fair shares among customers.
//
//	queue --Tag--> start tags --> order of the queue --> Started --> running --> Ended
//	                   ^                                    |                      |
//	                   '----------- service received -------'-- tokens running ----'
//
// Load pattern: one customer sends many times its usual rate, within its limit. Without this
// package a queue ordered by time serves whoever sends most, and the requests of all other
// customers wait behind that customer's and are late as well.
//
// The algorithm is start-time fair queueing (Goyal, Vin and Cheng, 1996) with the cost of a
// request in tokens, separately for each rank. Each customer has a virtual time: the tokens that
// it received, divided by its weight. A request's start tag is the virtual time at which it would
// start behind the customer's requests before it, plus the tokens that the customer has running
// at this engine, divided by its weight. The request with the lowest tag is next. The order is
// work-conserving: tags never keep a request from capacity that no other request can use.
//
// A customer with requests waiting gets less than its share by at most the largest request of
// each customer, one more of its own, and what was running. A customer without requests waiting
// gains no credit: it resumes at the virtual time of those that wait.
package fair

import "magnoliastall.example/magno"

// idleRetention is how long an idle customer's virtual time is kept if it is ahead of the
// others'. After a minute the requests that it was served before have long ended.
const idleRetention = magno.Minute

// Request is a queued request.
type Request struct {
	// Customer is empty if the request names none.
	Customer string
	// Rank is the priority. Shares apply among requests of the same rank.
	Rank int
	// Cost is in tokens: the prompt to prefill and the expected output.
	Cost int
	// Ready is true if the request could start now, given capacity. Only such requests count as
	// waiting for their customer's share.
	Ready bool
	// Tag is set by Tag. Requests of one rank are served in ascending order of it.
	Tag float64
}

// Shares keeps the virtual times of customers. It is not safe for concurrent use. Clock must be
// set before the first call.
type Shares struct {
	Clock *magno.Clock
	// Weights maps customers to their weights; the default weight is 1. It may be replaced
	// between calls: a new weight applies to what is served from then on.
	Weights map[string]float64

	ranks map[int]*class
	// pass is the number of the last call of Tag.
	pass uint64
}

// Tag sets the tags of the queued requests, which must be all that are queued. Requests of one
// customer get tags in the order of the list, so that their order among themselves is kept.
func (s *Shares) Tag(queue []Request) {
	s.pass++
	now := s.Clock.Now()
	for i := range queue {
		if q := &queue[i]; q.Ready {
			s.class(q.Rank).flow(q.Customer).join(s.pass, now)
		}
	}
	for rank, c := range s.ranks {
		if c.update(s.pass, s.Weights); c.sweep(s.pass, now) {
			delete(s.ranks, rank)
		}
	}
	for i := range queue {
		queue[i].Tag = s.nextTag(&queue[i])
	}
}

// nextTag returns the tag of the next request of its customer in the list.
func (s *Shares) nextTag(q *Request) float64 {
	c := s.ranks[q.Rank]
	if c == nil {
		return 0
	}
	f := c.flows[q.Customer]
	if f == nil {
		return c.floor
	}
	tag := max(f.virtualTime, c.floor) + float64(f.running+f.ahead)/c.weight(q.Customer, s.Weights)
	if q.Ready {
		f.ahead += q.Cost
	}
	return tag
}

// Started charges a request that was admitted to its customer. It counts as running until Ended
// is called with the same arguments.
func (s *Shares) Started(rank int, customer string, cost int) {
	c := s.class(rank)
	f := c.flow(customer)
	c.raiseFloor(s.pass)
	f.virtualTime = max(f.virtualTime, c.floor) + float64(cost)/c.weight(customer, s.Weights)
	f.running += cost
	f.usedAt = s.Clock.Now()
}

// Ended notes that an admitted request has ended.
func (s *Shares) Ended(rank int, customer string, cost int) {
	c := s.ranks[rank]
	if c == nil || c.flows[customer] == nil {
		return
	}
	f := c.flows[customer]
	f.running = max(f.running-cost, 0)
	f.usedAt = s.Clock.Now()
}

// Reset forgets all customers. It is called when nothing runs any more.
func (s *Shares) Reset() { s.ranks = nil }

// Customers returns the number of customers that state is kept for, counted once for each rank.
func (s *Shares) Customers() int {
	n := 0
	for _, c := range s.ranks {
		n += len(c.flows)
	}
	return n
}

func (s *Shares) class(rank int) *class {
	if s.ranks == nil {
		s.ranks = map[int]*class{}
	}
	c := s.ranks[rank]
	if c == nil {
		c = &class{flows: map[string]*flow{}}
		s.ranks[rank] = c
	}
	return c
}
