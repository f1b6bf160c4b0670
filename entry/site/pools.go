package site

import (
	"sync"

	"github.com/cespare/xxhash/v2"

	"magnoliastall.example/entry/peers"
	"magnoliastall.example/magno"
	"magnoliastall.example/magno/allow"
	"magnoliastall.example/magno/route"
	"magnoliastall.example/magno/view"
)

// pools keeps a router and an allowance for each service.
type pools struct {
	clock *magno.Clock
	book  *view.Store
	peers *peers.Peers
	set   *magno.SiteSettings
	// since is when this process started.
	since magno.Millis

	mu    sync.Mutex
	pools map[string]*pool
}

type pool struct {
	router *route.Router
	allow  *allow.Budget
}

// get returns a service's pool, made on first use. The caller holds mu.
func (p *pools) get(service string) *pool {
	if found := p.pools[service]; found != nil {
		return found
	}
	made := &pool{
		router: &route.Router{
			Clock: p.clock, Seed: xxhash.Sum64String(p.set.Name), DataCentre: p.set.DataCentre,
		},
		allow: &allow.Budget{Clock: p.clock, Ratio: p.set.RetryRatio, Slack: p.set.RetrySlack, WindowLength: p.set.RetryWindow, StartedAt: p.since},
	}
	if s := p.book.Current().Plan.Service(service); s != nil && s.Engine != nil {
		made.router.Tuning = route.PermitTuning()
	} else {
		made.router.Tuning = route.PlainTuning()
	}
	if p.pools == nil {
		p.pools = map[string]*pool{}
	}
	p.pools[service] = made
	made.router.Update(p.targets(service))
	return made
}

// targets lists the replicas of a service.
func (p *pools) targets(service string) []magno.Target {
	var list []magno.Target
	for _, r := range p.book.Current().Replicas {
		if r.Service == service {
			list = append(list, magno.Target{Name: r.Key(), DataCentre: r.DataCentre, Leaving: r.Leaving})
		}
	}
	return list
}

// update brings all routers up to the list.
func (p *pools) update() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for service, one := range p.pools {
		one.router.Update(p.targets(service))
	}
}

// report brings an engine's backlog to its router.
func (p *pools) report(service, key string, b magno.Backlog) {
	p.mu.Lock()
	one := p.pools[service]
	p.mu.Unlock()
	if one != nil {
		one.router.Report(key, b)
	}
}

// Router implements relay.Pools.
func (p *pools) Router(service string) magno.Chooser {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.get(service).router
}

// CountRequest implements relay.Pools.
func (p *pools) CountRequest(service string) {
	p.mu.Lock()
	one := p.get(service)
	p.mu.Unlock()
	one.allow.RecordRequest()
}

// AllowRetry implements relay.Pools.
func (p *pools) AllowRetry(service string) bool {
	p.mu.Lock()
	one := p.get(service)
	p.mu.Unlock()
	return one.allow.TakeRetry(p.peers.Processes())
}
