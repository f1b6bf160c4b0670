// Package quota decides, in one process, which requests are within their customer's
// allowance, and how many tokens to lease from the customer's home, the process that
// counts the allowance for all.
//
//	Take --enough leased tokens--> allowed
//	  |
//	  '--too few--> Ask --> home --> Granted --> TakeAgain: allowed or refused
//
// Load pattern: a few large customers with hundreds of requests per second, which must
// not wait for a home's answer; many small ones with occasional requests; and customers
// that send many times their allowance, whose requests must be refused at almost no
// cost.
package quota

import (
	"math"

	"magnoliastall.example/magno"
	"magnoliastall.example/magno/bucket"
	"magnoliastall.example/magno/grant"
)

const (
	// leaseAhead is the time for which the leased tokens should last at the recent
	// demand.
	leaseAhead = magno.Second
	// minRequestsAhead is the least number of requests whose tokens are leased ahead.
	// With fewer, many processes would each hold a fraction of a request's tokens, which
	// none of them can use.
	minRequestsAhead = 3
	// costGain is the smoothing factor of the mean cost of requests.
	costGain = 0.1
	// demandWindow is the time constant of the average demand.
	demandWindow = 2 * magno.Second
	// askInterval is the longest time for which a home is not asked again after it had
	// too few tokens. Callers are told when the home expects more, which may be much
	// later.
	askInterval = 300 * magno.Millis(1)
	// fallbackBurstSeconds is the burst of the fallback bucket, in seconds of its rate.
	// It is short because all processes may lose their homes at the same time.
	fallbackBurstSeconds = 0.5
	// fallbackRetryAfter is the time after which a caller that is refused by the fallback
	// should try again.
	fallbackRetryAfter = 500 * magno.Millis(1)
)

// Verdict is the decision on a request.
type Verdict int

// Decisions on a request.
const (
	Allowed Verdict = iota // its tokens were taken
	Pending                // the home must be asked for more tokens
	Refused                // its customer is over the limit
)

// Quota holds the leased tokens of one process. It is not safe for concurrent use.
// Clock is set before use.
type Quota struct {
	Clock *magno.Clock
	// StartedAt is when this process started. Its share while no home answers fills from then.
	StartedAt magno.Millis

	customers map[string]*account
}

// account is the state of one customer.
type account struct {
	limit magno.Limit
	// leased is the number of leased tokens that are not used yet.
	leased float64
	// demandRate is the average demand in tokens per second, as of demandAt.
	demandRate float64
	demandAt   magno.Millis
	// meanCost is the mean cost of a request in tokens.
	meanCost float64
	// refillAt is when the home expects to have more tokens, nextAsk when it may be asked
	// again.
	refillAt, nextAsk magno.Millis
	// fallback limits requests while no home answers.
	fallback bucket.Bucket
}

// Take takes a request's cost from the leased tokens. If the request is refused, it
// should be sent again in after.
func (q *Quota) Take(customer string, limit magno.Limit, cost float64) (v Verdict, after magno.Millis) {
	acc, now := q.account(customer, limit), q.Clock.Now()
	acc.recordDemand(cost, now)
	return acc.take(cost, now)
}

// TakeAgain is Take for a request that has waited for the home's answer. It does not
// count in the demand again.
func (q *Quota) TakeAgain(customer string, limit magno.Limit, cost float64) (v Verdict, after magno.Millis) {
	return q.account(customer, limit).take(cost, q.Clock.Now())
}

func (a *account) take(cost float64, now magno.Millis) (Verdict, magno.Millis) {
	switch {
	case a.leased >= cost:
		a.leased -= cost
		return Allowed, 0
	case now < a.nextAsk:
		return Refused, max(a.refillAt-now, 1)
	}
	return Pending, 0
}

// Give returns the cost of a request that did not run.
func (q *Quota) Give(customer string, limit magno.Limit, cost float64) {
	q.account(customer, limit).leased += cost
}

// Low reports whether more tokens should be leased although no request waits for them.
func (q *Quota) Low(customer string, limit magno.Limit) bool {
	acc, now := q.account(customer, limit), q.Clock.Now()
	acc.recordDemand(0, now)
	return acc.leased < acc.reserve()/2 && now >= acc.nextAsk
}

// Ask returns the call to make to the home, where need is the total cost of the waiting
// requests and least that of the smallest. Surplus tokens are removed from the account
// and returned to the home with the call.
func (q *Quota) Ask(customer string, limit magno.Limit, need, least float64) grant.Request {
	acc := q.account(customer, limit)
	acc.recordDemand(0, q.Clock.Now())
	a := grant.Request{Customer: customer, Need: max(need-acc.leased, 0), Least: max(least-acc.leased, 0)}
	a.Want = max(need+acc.reserve()-acc.leased, a.Need)
	if extra := acc.leased - need - 2*acc.reserve(); extra > 0 {
		acc.leased -= extra
		a.Returned = extra
	}
	return a
}

// Granted records the home's reply to a.
func (q *Quota) Granted(a grant.Request, r grant.Reply, limit magno.Limit) {
	acc := q.account(a.Customer, limit)
	acc.leased += r.Granted
	if r.RetryAfter > 0 {
		acc.refillAt = q.Clock.Now() + r.RetryAfter
		acc.nextAsk = min(acc.refillAt, q.Clock.Now()+askInterval)
	}
}

// Fallback takes a request's cost from this process's own share of the allowance while
// no home answers. Known is the number of processes that share the allowance.
//
// Load pattern: processes are killed again and again while no home can be reached. Each of
// them starts with an empty share, for its predecessor may have used all of it.
func (q *Quota) Fallback(customer string, limit magno.Limit, cost float64, known int) (v Verdict, after magno.Millis) {
	acc, now := q.account(customer, limit), q.Clock.Now()
	if v, _ := acc.take(cost, now); v == Allowed {
		return Allowed, 0
	}
	if !grant.Grants(1, known) {
		return Refused, fallbackRetryAfter
	}
	fresh := acc.fallback.Burst == 0
	acc.fallback.Level(now)
	acc.fallback.Rate = limit.Rate / float64(max(known, 1))
	acc.fallback.Burst = acc.fallback.Rate * fallbackBurstSeconds
	if fresh {
		acc.fallback.SetLevel(acc.fallback.Rate*float64(now-q.StartedAt)/float64(magno.Second), now)
	}
	if !acc.fallback.Allows(cost, now) {
		return Refused, fallbackRetryAfter
	}
	acc.fallback.Take(cost)
	return Allowed, 0
}

// Surplus returns the limits of the customers that have more leased tokens than they
// are likely to need.
func (q *Quota) Surplus() map[string]magno.Limit {
	surplus, now := map[string]magno.Limit{}, q.Clock.Now()
	for name, acc := range q.customers {
		acc.recordDemand(0, now)
		if acc.leased > 2*acc.reserve()+1 {
			surplus[name] = acc.limit
		}
	}
	return surplus
}

// account returns a customer's account. If the limit has changed, it updates the account
// and, if the rate was lowered, reduces the leased tokens in proportion.
func (q *Quota) account(customer string, limit magno.Limit) *account {
	acc := q.customers[customer]
	if acc == nil {
		if q.customers == nil {
			q.customers = map[string]*account{}
		}
		acc = &account{limit: limit, demandAt: q.Clock.Now()}
		q.customers[customer] = acc
	}
	if acc.limit != limit {
		if limit.Rate < acc.limit.Rate {
			acc.leased *= limit.Rate / acc.limit.Rate
		}
		acc.limit, acc.refillAt, acc.nextAsk = limit, 0, 0
	}
	return acc
}

// recordDemand decays the average demand and adds a request of the given cost, zero for
// none.
func (a *account) recordDemand(cost float64, now magno.Millis) {
	if now > a.demandAt {
		a.demandRate *= math.Exp(-float64(now-a.demandAt) / float64(demandWindow))
		a.demandAt = now
	}
	switch {
	case a.meanCost == 0:
		a.meanCost = cost
	case cost > 0:
		a.meanCost += costGain * (cost - a.meanCost)
	}
	a.demandRate += cost * float64(magno.Second) / float64(demandWindow)
}

// reserve returns the number of tokens that should be leased ahead.
func (a *account) reserve() float64 {
	tokens := a.demandRate * float64(leaseAhead) / float64(magno.Second)
	if tokens < minRequestsAhead*a.meanCost {
		return 0
	}
	return tokens
}
