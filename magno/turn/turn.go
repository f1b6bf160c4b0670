// Package turn shares the weight store's rate limit among the agents of a pool. One
// coordinator, the member that all agents select by the same rule, grants turns to load an
// adapter, the wait with the highest delay cost first.
//
//	agent -- Request{cost} --> Coordinator -- Turn{id, left} --> agent -- load
//	                             ^                                 |
//	                             +---------- Release(id) ----------+
//
// Load pattern: after a shift in popularity or a cold start most upstreams want to load at
// once, and the store can serve few. Without coordination all loads run at once and slow each
// other down: the most costly wait ends no sooner than the least costly one, and every agent
// retries what the store refuses.
//
// A turn is a lease. The coordinator enforces its deadline, because a holder that has failed
// cannot release it, and turns that are never released would add up until no load runs at all,
// without any error. Capacity is freed by the removal of the lease, whether by Release or by
// expiry, so that a late or repeated Release never frees the turn of another holder. A missed
// deadline does not prove that the load has stopped; the holder has to abort it when the turn's
// time is over, and the coordinator waits for Grace longer. These rules and the reasons for
// them are from the paper "leases and expiry"; the tests cover the two failures that it warns
// of, a double release and a failed holder.
//
// The coordinator has no persistent state. A new one knows no turns and waits for the longest
// lease before it grants its first, so that two successive coordinators never exceed MaxLoads.
// While no coordinator can be reached, each agent loads on its own every FallbackInterval,
// which is its static share of the rate.
package turn

import "magnoliastall.example/magno"

const (
	// leaseFactor is the duration of a turn in load times at full speed, so that loads still
	// finish in time at a store that is three times as slow as usual.
	leaseFactor = 4
	// Grace is how long after its deadline a turn still counts.
	Grace = 500 * magno.Millis(1)
	// requestTTL is how long a request is kept; agents repeat theirs about every second.
	requestTTL = 3 * magno.Second
	// sweepInterval is how often expired requests are dropped.
	sweepInterval = magno.Second
	// maxRequests bounds the requests in memory; the least costly one is dropped first.
	maxRequests = 20000
)

// Request is an agent's request for a turn. It replaces an earlier one of the same agent.
type Request struct {
	Agent string    `json:"agent"`
	Ref   magno.Ref `json:"ref"`
	// DelayCost is the cost of the wait; see magno.TurnTaker.
	DelayCost float64 `json:"harm"`
	// ReceivedAt is when the coordinator received the request.
	ReceivedAt magno.Millis `json:"-"`
}

// Turn is the permission to run one load.
type Turn struct {
	ID    uint64    `json:"id"`
	Agent string    `json:"agent"`
	Ref   magno.Ref `json:"ref"`
	// Left is how long it is valid from when it was sent; the holder aborts a load that takes
	// longer.
	Left magno.Millis `json:"left"`
}

type lease struct {
	turn  Turn
	until magno.Millis
}

// Coordinator grants turns. It is not safe for concurrent use. Its exported fields must be set
// before use.
type Coordinator struct {
	Clock *magno.Clock
	// Rate is the number of loads per second that the store allows, greater than zero. MaxLoads
	// is the number of concurrent loads, at least 1.
	Rate     float64
	MaxLoads int
	// LoadTime is the time of a load at full speed.
	LoadTime magno.Millis

	initialized bool
	// quietUntil is when a new coordinator starts to grant turns.
	quietUntil magno.Millis
	// nextAt is when the rate allows another load, in ms with fractions.
	nextAt float64
	seq    uint64
	// lastSweep is when expired requests were last dropped.
	lastSweep magno.Millis
	requests  map[string]Request
	leases    map[uint64]lease
}

// LeaseTime is how long a turn is valid.
func (c *Coordinator) LeaseTime() magno.Millis { return leaseFactor * max(c.LoadTime, 1) }

func (c *Coordinator) setup(now magno.Millis) {
	if c.initialized {
		return
	}
	c.initialized = true
	c.quietUntil = now + c.LeaseTime() + Grace
	c.requests, c.leases = map[string]Request{}, map[uint64]lease{}
	// IDs must not repeat those of an earlier coordinator: a Release meant for it would release
	// a turn here.
	c.seq = uint64(now) << 20
}

// Submit adds a request. It is ignored if the agent holds a turn: an agent runs one load at a
// time.
func (c *Coordinator) Submit(r Request) {
	now := c.Clock.Now()
	c.setup(now)
	for _, l := range c.leases {
		if l.turn.Agent == r.Agent {
			return
		}
	}
	r.ReceivedAt = now
	c.requests[r.Agent] = r
	if len(c.requests) > maxRequests {
		delete(c.requests, c.leastCostly())
	}
}

// Cancel drops the agent's request, after nothing waits for a load there any more.
func (c *Coordinator) Cancel(agent string) { delete(c.requests, agent) }

func (c *Coordinator) leastCostly() string {
	least := Request{}
	for _, r := range c.requests {
		if least.Agent == "" || costlier(least, r) {
			least = r
		}
	}
	return least.Agent
}

// costlier orders requests by descending cost, then by agent.
func costlier(a, b Request) bool {
	if a.DelayCost != b.DelayCost {
		return a.DelayCost > b.DelayCost
	}
	return a.Agent < b.Agent
}

// Grant returns the turns that start now.
func (c *Coordinator) Grant() []Turn {
	now := c.Clock.Now()
	c.setup(now)
	c.expire(now)
	if now < c.quietUntil || len(c.requests) == 0 {
		return nil
	}
	var granted []Turn
	for len(c.requests) > 0 && len(c.leases) < max(c.MaxLoads, 1) && c.nextAt <= float64(now) {
		r := c.mostCostly()
		delete(c.requests, r.Agent)
		c.seq++
		t := Turn{ID: c.seq, Agent: r.Agent, Ref: r.Ref, Left: c.LeaseTime()}
		c.leases[t.ID] = lease{turn: t, until: now + c.LeaseTime() + Grace}
		// One interval may be saved up; otherwise each late call of Grant would lose some of
		// the rate for good.
		interval := float64(magno.Second) / c.Rate
		c.nextAt = max(c.nextAt, float64(now)-interval) + interval
		granted = append(granted, t)
	}
	return granted
}

// mostCostly returns the request with the highest delay cost. It scans all requests, but only
// once per turn granted, of which the store allows few per second.
func (c *Coordinator) mostCostly() Request {
	most := Request{}
	for _, r := range c.requests {
		if most.Agent == "" || costlier(r, most) {
			most = r
		}
	}
	return most
}

// expire removes expired turns and, every sweepInterval, expired requests.
func (c *Coordinator) expire(now magno.Millis) {
	for id, l := range c.leases {
		if now >= l.until {
			delete(c.leases, id)
		}
	}
	if now < c.lastSweep+sweepInterval {
		return
	}
	c.lastSweep = now
	for agent, r := range c.requests {
		if now-r.ReceivedAt > requestTTL {
			delete(c.requests, agent)
		}
	}
}

// Release ends a turn early and reports whether it was still held. Only the call that removes
// the turn frees its capacity.
func (c *Coordinator) Release(id uint64) bool {
	if _, ok := c.leases[id]; !ok {
		return false
	}
	delete(c.leases, id)
	return true
}

// NextWake is when Grant should be called again, unless a request or release comes first.
func (c *Coordinator) NextWake() magno.Millis {
	now := c.Clock.Now()
	c.setup(now)
	at := max(c.quietUntil, magno.Millis(c.nextAt)+1)
	if len(c.leases) >= max(c.MaxLoads, 1) {
		first := now + c.LeaseTime() + Grace
		for _, l := range c.leases {
			first = min(first, l.until)
		}
		at = max(at, first)
	}
	return max(at, now+1)
}

// FallbackInterval is the time between loads of each of n agents while no coordinator can be
// reached.
func (c *Coordinator) FallbackInterval(n int) magno.Millis {
	return magno.Millis(float64(magno.Second) * float64(max(n, 1)) / c.Rate)
}

// Pending is the number of agents that wait for a turn.
func (c *Coordinator) Pending() int { return len(c.requests) }
