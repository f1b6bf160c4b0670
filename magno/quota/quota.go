// Package quota decides, in one process, which requests are within their customer's
// allowance, and what to ask the customer's home for.
//
//	Take --enough leased tokens--> runs
//	  |
//	  '--too few--> Ask --> home --> Granted --> Again: runs, or refused
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
	// ahead is how long the leased tokens should last at the recent demand.
	ahead = magno.Second
	// leastAhead is how many requests' tokens are worth leasing ahead. Fewer would leave
	// a fraction of a request in each of many processes, which nobody can use.
	leastAhead = 3
	// costGain weighs a new request in their mean cost.
	costGain = 0.1
	// gainSpan is the time over which demand is averaged.
	gainSpan = 2 * magno.Second
	// askAgain is how long after a home had none it isn't asked again. Callers are told
	// when there will be some, which may be much later.
	askAgain = 300 * magno.Millis(1)
	// fallbackBurst is how many seconds' part of the allowance is there at once while no
	// home answers. All processes may be alone at the same time.
	fallbackBurst = 0.5
	// fallbackAfter is when a caller should come back that is refused meanwhile.
	fallbackAfter = 500 * magno.Millis(1)
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

	customers map[string]*account
}

// account is one customer's in this process.
type account struct {
	limit magno.Limit
	// tokens are leased and not used yet.
	tokens float64
	// demand is tokens asked for a second, at the time of at.
	demand float64
	at     magno.Millis
	// cost is the mean of a request's.
	cost float64
	// until is when the home will have more, as it said, next when it may be asked.
	until, next magno.Millis
	// fallback limits what runs while no home answers.
	fallback bucket.Bucket
}

// Take takes a request's cost from the leased tokens. After a refusal, after is when to
// come back.
func (q *Quota) Take(customer string, limit magno.Limit, cost float64) (v Verdict, after magno.Millis) {
	acc, now := q.account(customer, limit), q.Clock.Now()
	acc.asked(cost, now)
	return acc.take(cost, now)
}

// Again is Take for a request that waited.
func (q *Quota) Again(customer string, limit magno.Limit, cost float64) (v Verdict, after magno.Millis) {
	return q.account(customer, limit).take(cost, q.Clock.Now())
}

func (a *account) take(cost float64, now magno.Millis) (Verdict, magno.Millis) {
	switch {
	case a.tokens >= cost:
		a.tokens -= cost
		return Runs, 0
	case now < a.next:
		return Refused, max(a.until-now, 1)
	}
	return Waits, 0
}

// Give returns the cost of a request that has not run.
func (q *Quota) Give(customer string, limit magno.Limit, cost float64) {
	q.account(customer, limit).tokens += cost
}

// Low tells whether tokens should be asked for though no request waits.
func (q *Quota) Low(customer string, limit magno.Limit) bool {
	acc, now := q.account(customer, limit), q.Clock.Now()
	acc.asked(0, now)
	return acc.tokens < acc.reserve()/2 && now >= acc.next
}

// Ask is what to ask the home for: need is the cost of all waiting requests, least that
// of the smallest. Surplus tokens leave the account and go back with it.
func (q *Quota) Ask(customer string, limit magno.Limit, need, least float64) grant.Request {
	acc := q.account(customer, limit)
	acc.asked(0, q.Clock.Now())
	a := grant.Request{Customer: customer, Need: max(need-acc.tokens, 0), Least: max(least-acc.tokens, 0)}
	a.Want = max(need+acc.reserve()-acc.tokens, a.Need)
	if extra := acc.tokens - need - 2*acc.reserve(); extra > 0 {
		acc.tokens -= extra
		a.Returned = extra
	}
	return a
}

// Granted takes the home's answer.
func (q *Quota) Granted(a grant.Request, r grant.Reply, limit magno.Limit) {
	acc := q.account(a.Customer, limit)
	acc.tokens += r.Granted
	if r.RetryAfter > 0 {
		acc.until = q.Clock.Now() + r.RetryAfter
		acc.next = min(acc.until, q.Clock.Now()+askAgain)
	}
}

// Fallback takes a request's cost from this process's own part of the allowance while
// no home answers. Known is how many processes share the allowance.
func (q *Quota) Fallback(customer string, limit magno.Limit, cost float64, known int) (v Verdict, after magno.Millis) {
	acc, now := q.account(customer, limit), q.Clock.Now()
	if v, _ := acc.take(cost, now); v == Runs {
		return Runs, 0
	}
	fresh := acc.fallback.Burst == 0
	acc.fallback.Level(now)
	acc.fallback.Rate = limit.Rate / float64(max(known, 1))
	acc.fallback.Burst = acc.fallback.Rate * fallbackBurst
	if fresh {
		acc.fallback.Fill(acc.fallback.Burst, now)
	}
	if !acc.fallback.Has(cost, now) {
		return Refused, fallbackAfter
	}
	acc.fallback.Take(cost)
	return Runs, 0
}

// Idle lists customers with more leased tokens than they are likely to need.
func (q *Quota) Idle() map[string]magno.Limit {
	idle, now := map[string]magno.Limit{}, q.Clock.Now()
	for name, acc := range q.customers {
		acc.asked(0, now)
		if acc.tokens > 2*acc.reserve()+1 {
			idle[name] = acc.limit
		}
	}
	return idle
}

// account returns a customer's account, brought up to its limit.
func (q *Quota) account(customer string, limit magno.Limit) *account {
	acc := q.customers[customer]
	if acc == nil {
		if q.customers == nil {
			q.customers = map[string]*account{}
		}
		acc = &account{limit: limit, at: q.Clock.Now()}
		q.customers[customer] = acc
	}
	if acc.limit != limit {
		if limit.Rate < acc.limit.Rate {
			acc.tokens *= limit.Rate / acc.limit.Rate
		}
		acc.limit, acc.until, acc.next = limit, 0, 0
	}
	return acc
}

// asked counts a request in the demand.
func (a *account) asked(cost float64, now magno.Millis) {
	if now > a.at {
		a.demand *= math.Exp(-float64(now-a.at) / float64(gainSpan))
		a.at = now
	}
	switch {
	case a.cost == 0:
		a.cost = cost
	case cost > 0:
		a.cost += costGain * (cost - a.cost)
	}
	a.demand += cost * float64(magno.Second) / float64(gainSpan)
}

// reserve is how many tokens should be leased ahead.
func (a *account) reserve() float64 {
	tokens := a.demand * float64(ahead) / float64(magno.Second)
	if tokens < leastAhead*a.cost {
		return 0
	}
	return tokens
}
