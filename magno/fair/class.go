package fair

import (
	"math"

	"magnoliastall.example/magno"
)

// class holds the customers of one rank.
type class struct {
	flows map[string]*flow
	// floor is the least virtual time of the waiting customers. It never decreases. A customer
	// that begins to wait starts there, so that time without requests is no credit.
	floor float64
	// namedWeight is the sum of the weights of the waiting customers, without requests that name
	// none.
	namedWeight float64
}

// flow is the state of one customer.
type flow struct {
	// virtualTime is the service received divided by the weight.
	virtualTime float64
	// running is the tokens of its admitted requests that have not ended.
	running int
	// ahead is the tokens of its requests that were tagged in the current pass.
	ahead int
	// pass is the last pass in which it had a request waiting, and waited is true if it had one in
	// the pass before as well.
	pass   uint64
	waited bool
	usedAt magno.Millis
}

func (c *class) flow(customer string) *flow {
	f := c.flows[customer]
	if f == nil {
		f = &flow{virtualTime: c.floor}
		c.flows[customer] = f
	}
	return f
}

// join counts a customer as waiting in a pass.
func (f *flow) join(pass uint64, now magno.Millis) {
	if f.pass == pass {
		return
	}
	f.waited = f.pass != 0 && f.pass == pass-1
	f.pass, f.ahead, f.usedAt = pass, 0, now
}

// update raises the floor and lets the customers that began to wait start there.
func (c *class) update(pass uint64, weights map[string]float64) {
	c.namedWeight = 0
	least := math.Inf(1)
	for customer, f := range c.flows {
		if f.pass != pass {
			f.ahead = 0
			continue
		}
		if f.waited {
			least = min(least, f.virtualTime)
		}
		if customer != "" {
			c.namedWeight += c.weight(customer, weights)
		}
	}
	if !math.IsInf(least, 1) {
		c.floor = max(c.floor, least)
	}
	for _, f := range c.flows {
		if f.pass == pass && !f.waited {
			f.virtualTime = max(f.virtualTime, c.floor)
		}
	}
	c.raiseFloor(pass)
}

// raiseFloor raises the floor to the least virtual time of those that waited in a pass.
func (c *class) raiseFloor(pass uint64) {
	least := math.Inf(1)
	for _, f := range c.flows {
		if f.pass == pass {
			least = min(least, f.virtualTime)
		}
	}
	if !math.IsInf(least, 1) {
		c.floor = max(c.floor, least)
	}
}

// sweep removes customers whose state no longer affects the order. It returns true if none is
// left.
func (c *class) sweep(pass uint64, now magno.Millis) bool {
	for customer, f := range c.flows {
		idle := f.pass != pass && f.running == 0
		if idle && (f.virtualTime <= c.floor || now-f.usedAt > idleRetention) {
			delete(c.flows, customer)
		}
	}
	return len(c.flows) == 0
}

// weight returns the weight of a customer. Requests that name none come from entries of an older
// version, on behalf of any customer, or from routes without keys. Together they weigh as much as
// all customers that wait: with the weight of one they would starve during an upgrade.
func (c *class) weight(customer string, weights map[string]float64) float64 {
	if customer == "" {
		return max(c.namedWeight, 1)
	}
	if w := weights[customer]; w > 0 {
		return w
	}
	return 1
}
