// Package quota decides, in one process, which requests are within their customer's
// allowance, and what to ask the customer's home for.
//
//	Take --tokens at hand--> runs
//	  |
//	  '--none--> Ask --> home --> Granted --> Take again, or refused
//
// Load pattern: hundreds of requests a second of a few large customers, which must not
// wait for a home's answer, beside small ones that send a request now and then; and a
// customer that sends many times its allowance, whose refusals must cost next to nothing.
package quota

import (
	"math"

	"magnoliastall.example/magno"
	"magnoliastall.example/magno/bucket"
	"magnoliastall.example/magno/grant"
)

const (
	// ahead is how long the tokens at hand should last by the demand of late.
	ahead = magno.Second
	// leastAhead is how many requests' tokens are worth holding. Less is a part of a
	// request in each of many processes, which nobody can use.
	leastAhead = 3
	// costGain weighs a new request in their mean cost.
	costGain = 0.1
	// gainSpan is the time over which demand is averaged.
	gainSpan = 2 * magno.Second
	// askAgain is how long after a home had none it isn't asked again. Callers are told
	// when there will be some, which may be much later.
	askAgain = 300 * magno.Millis(1)
	// aloneBurst is how many seconds' part of the allowance is there at once while no
	// home answers. All processes may be alone at the same time.
	aloneBurst = 0.5
	// aloneAfter is when a caller should come back that is refused meanwhile.
	aloneAfter = 500 * magno.Millis(1)
)

// Verdict is what becomes of a request.
type Verdict int

// The verdicts.
const (
	Runs    Verdict = iota // its tokens are taken
	Waits                  // the home must be asked for more
	Refused                // the customer is over its limit
)

// Quota is one process's. One goroutine uses it; Clock is set before.
type Quota struct {
	Clock *magno.Clock

	customers map[string]*purse
}

// purse is what one customer has here.
type purse struct {
	limit magno.Limit
	// tokens are at hand.
	tokens float64
	// demand is tokens asked for a second, at the time of at.
	demand float64
	at     magno.Millis
	// cost is the mean of a request's.
	cost float64
	// until is when the home will have more, as it said, next when it may be asked.
	until, next magno.Millis
	// alone is what may be used while no home answers.
	alone bucket.Bucket
}

// Take takes a request's cost, if it is at hand. After a refusal, after is when to come
// back.
func (q *Quota) Take(customer string, limit magno.Limit, cost float64) (v Verdict, after magno.Millis) {
	p, now := q.purse(customer, limit), q.Clock.Now()
	p.asked(cost, now)
	return p.take(cost, now)
}

// Again is Take for a request that waited.
func (q *Quota) Again(customer string, limit magno.Limit, cost float64) (v Verdict, after magno.Millis) {
	return q.purse(customer, limit).take(cost, q.Clock.Now())
}

func (p *purse) take(cost float64, now magno.Millis) (Verdict, magno.Millis) {
	switch {
	case p.tokens >= cost:
		p.tokens -= cost
		return Runs, 0
	case now < p.next:
		return Refused, max(p.until-now, 1)
	}
	return Waits, 0
}

// Give returns the cost of a request that has not run.
func (q *Quota) Give(customer string, limit magno.Limit, cost float64) {
	q.purse(customer, limit).tokens += cost
}

// Low tells whether tokens should be asked for though no request waits.
func (q *Quota) Low(customer string, limit magno.Limit) bool {
	p, now := q.purse(customer, limit), q.Clock.Now()
	p.asked(0, now)
	return p.tokens < p.reserve()/2 && now >= p.next
}

// Ask is what the home is asked for, while waiting requests cost need in all and the
// smallest least. It takes back what is too much.
func (q *Quota) Ask(customer string, limit magno.Limit, need, least float64) grant.Ask {
	p := q.purse(customer, limit)
	p.asked(0, q.Clock.Now())
	a := grant.Ask{Customer: customer, Need: max(need-p.tokens, 0), Least: max(least-p.tokens, 0)}
	a.Want = max(need+p.reserve()-p.tokens, a.Need)
	if extra := p.tokens - need - 2*p.reserve(); extra > 0 {
		p.tokens -= extra
		a.Back = extra
	}
	return a
}

// Granted takes the home's answer.
func (q *Quota) Granted(a grant.Ask, r grant.Reply, limit magno.Limit) {
	p := q.purse(a.Customer, limit)
	p.tokens += r.Granted
	if r.After > 0 {
		p.until = q.Clock.Now() + r.After
		p.next = min(p.until, q.Clock.Now()+askAgain)
	}
}

// Alone takes a request's cost from this process's own part while no home answers.
// Known is how many processes share the allowance.
func (q *Quota) Alone(customer string, limit magno.Limit, cost float64, known int) (v Verdict, after magno.Millis) {
	p, now := q.purse(customer, limit), q.Clock.Now()
	if v, _ := p.take(cost, now); v == Runs {
		return Runs, 0
	}
	fresh := p.alone.Burst == 0
	p.alone.Level(now)
	p.alone.Rate = limit.Rate / float64(max(known, 1))
	p.alone.Burst = p.alone.Rate * aloneBurst
	if fresh {
		p.alone.Fill(p.alone.Burst, now)
	}
	if !p.alone.Has(cost, now) {
		return Refused, aloneAfter
	}
	p.alone.Take(cost)
	return Runs, 0
}

// Idle lists customers that have tokens at hand and no use for them.
func (q *Quota) Idle() map[string]magno.Limit {
	idle, now := map[string]magno.Limit{}, q.Clock.Now()
	for name, p := range q.customers {
		p.asked(0, now)
		if p.tokens > 2*p.reserve()+1 {
			idle[name] = p.limit
		}
	}
	return idle
}

// purse returns what a customer has, changed as its limit says.
func (q *Quota) purse(customer string, limit magno.Limit) *purse {
	p := q.customers[customer]
	if p == nil {
		if q.customers == nil {
			q.customers = map[string]*purse{}
		}
		p = &purse{limit: limit, at: q.Clock.Now()}
		q.customers[customer] = p
	}
	if p.limit != limit {
		if limit.Rate < p.limit.Rate {
			p.tokens *= limit.Rate / p.limit.Rate
		}
		p.limit, p.until, p.next = limit, 0, 0
	}
	return p
}

// asked counts a request in the demand.
func (p *purse) asked(cost float64, now magno.Millis) {
	if now > p.at {
		p.demand *= math.Exp(-float64(now-p.at) / float64(gainSpan))
		p.at = now
	}
	switch {
	case p.cost == 0:
		p.cost = cost
	case cost > 0:
		p.cost += costGain * (cost - p.cost)
	}
	p.demand += cost * float64(magno.Second) / float64(gainSpan)
}

// reserve is how many tokens should be at hand.
func (p *purse) reserve() float64 {
	tokens := p.demand * float64(ahead) / float64(magno.Second)
	if tokens < leastAhead*p.cost {
		return 0
	}
	return tokens
}
