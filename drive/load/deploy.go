package load

import (
	"fmt"

	"magnoliastall.example/magno"
)

// The pools of both deployments.
const (
	PoolReading = "reading"
	PoolPlain   = "plain"
)

// Deployment describes a deployment: its upstreams, its weight store and the load of its
// customers.
type Deployment struct {
	Name string
	// Engines and PlainUpstreams count the upstreams of the two pools.
	Engines, PlainUpstreams int
	// DataCentres is the number of data centres that the upstreams are spread over.
	DataCentres int
	// Entries is the number of entry instances.
	Entries int
	// Limits are those of an engine, PlainLimits those of a plain service.
	Limits, PlainLimits magno.Limits
	// PrefixCacheSize is the number of prompt prefixes that an engine caches.
	PrefixCacheSize int
	// LoadRate is the maximum rate of loads per second from the weight store,
	// ParallelLoads the number of loads that run at once without slowing each other down.
	LoadRate      float64
	ParallelLoads int
	// Adapters is the number of adapters of all customers.
	Adapters int
	// HopDelay is the network delay between data centres, ClientDelay that to a caller.
	HopDelay, ClientDelay magno.Millis
	Customers             []magno.Customer
	Classes               []Class
}

// Class is a type of request of one customer.
type Class struct {
	Name     string
	Customer string
	Pool     string
	// Share is its share of all requests; the shares of a deployment sum to 1.
	Share float64
	// Prompt and Output are median numbers of tokens; Spread is the standard deviation of
	// their logarithm.
	Prompt, Output int
	Spread         float64
	// PrefixShare is the share of requests that begin with a known prefix.
	PrefixShare float64
	Deadline    magno.Millis
	Urgency     int
	StallWeight float64
	Idempotent  bool
}

// PerCustomer returns the number of adapters of each customer.
func (d *Deployment) PerCustomer() int { return d.Adapters / len(d.Customers) }

// FindDeployment returns a deployment by name.
func FindDeployment(name string) (Deployment, error) {
	switch name {
	case "delta":
		return delta(), nil
	case "cursada":
		return cursada(), nil
	}
	return Deployment{}, fmt.Errorf("unknown deployment %q: want delta or cursada", name)
}

// delta has the upstream counts of the requirements; request sizes and engine limits
// are assumptions. A request reads a receipt: a page of image tokens in, a few hundred
// tokens of fields out.
func delta() Deployment {
	return Deployment{
		Name: "delta", Engines: 9, PlainUpstreams: 4, DataCentres: 4, Entries: 3,
		Limits:          magno.Limits{Slots: 8, Batch: 16, Tokens: 64, Step: 10, Load: 500},
		PlainLimits:     magno.Limits{Batch: 8, Tokens: 8, Step: 5},
		PrefixCacheSize: 32, LoadRate: 2, ParallelLoads: 1, Adapters: 3000, HopDelay: 1, ClientDelay: 1,
		Customers: []magno.Customer{
			{Name: "agents", Weight: 3}, {Name: "mail", Weight: 1}, {Name: "helpline", Weight: 2},
		},
		Classes: []Class{
			{Name: "reading", Customer: "agents", Pool: PoolReading, Share: 0.4, Prompt: 2000, Output: 300,
				Spread: 0.4, PrefixShare: 0.3, Deadline: 60 * magno.Second, Urgency: 5, StallWeight: 0.2},
			{Name: "scan", Customer: "mail", Pool: PoolReading, Share: 0.3, Prompt: 2400, Output: 400,
				Spread: 0.5, PrefixShare: 0.3, Deadline: 180 * magno.Second, Urgency: 2, StallWeight: 0.1},
			{Name: "question", Customer: "helpline", Pool: PoolReading, Share: 0.1, Prompt: 500, Output: 60,
				Spread: 0.4, PrefixShare: 0.6, Deadline: 20 * magno.Second, Urgency: 7, StallWeight: 0.5, Idempotent: true},
			{Name: "status", Customer: "helpline", Pool: PoolPlain, Share: 0.2, Output: 6,
				Spread: 0.3, Deadline: 5 * magno.Second, Urgency: 8, Idempotent: true},
		},
	}
}

// cursada has the upstream counts of the requirements; request sizes and engine limits
// are assumptions. Timetable drafts are long jobs among the short ones of the advisors.
func cursada() Deployment {
	return Deployment{
		Name: "cursada", Engines: 18, PlainUpstreams: 4, DataCentres: 4, Entries: 3,
		Limits:          magno.Limits{Slots: 8, Batch: 16, Tokens: 64, Step: 10, Load: 333},
		PlainLimits:     magno.Limits{Batch: 8, Tokens: 8, Step: 5},
		PrefixCacheSize: 32, LoadRate: 6, ParallelLoads: 2, Adapters: 3000, HopDelay: 1, ClientDelay: 3,
		Customers: []magno.Customer{
			{Name: "languages", Weight: 2}, {Name: "trades", Weight: 1}, {Name: "secondary", Weight: 1},
		},
		Classes: []Class{
			{Name: "advisor", Customer: "languages", Pool: PoolReading, Share: 0.4, Prompt: 1200, Output: 200,
				Spread: 0.5, PrefixShare: 0.5, Deadline: 20 * magno.Second, Urgency: 6, StallWeight: 0.9, Idempotent: true},
			{Name: "course", Customer: "trades", Pool: PoolReading, Share: 0.2, Prompt: 1000, Output: 160,
				Spread: 0.5, PrefixShare: 0.5, Deadline: 20 * magno.Second, Urgency: 6, StallWeight: 0.9, Idempotent: true},
			{Name: "advice", Customer: "secondary", Pool: PoolReading, Share: 0.15, Prompt: 1200, Output: 200,
				Spread: 0.5, PrefixShare: 0.5, Deadline: 20 * magno.Second, Urgency: 6, StallWeight: 0.9, Idempotent: true},
			{Name: "draft", Customer: "secondary", Pool: PoolReading, Share: 0.05, Prompt: 2500, Output: 1500,
				Spread: 0.3, PrefixShare: 0.2, Deadline: 90 * magno.Second, Urgency: 4, StallWeight: 0.8, Idempotent: true},
			{Name: "waitlist", Customer: "languages", Pool: PoolPlain, Share: 0.15, Output: 5,
				Spread: 0.3, Deadline: 5 * magno.Second, Urgency: 8, Idempotent: true},
			{Name: "seat", Customer: "trades", Pool: PoolPlain, Share: 0.05, Output: 8,
				Spread: 0.3, Deadline: 10 * magno.Second, Urgency: 7},
		},
	}
}
