package site

import (
	"log/slog"
	"sync"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cespare/xxhash/v2"

	"magnoliastall.example/entry/peers"
	"magnoliastall.example/magno"
	"magnoliastall.example/magno/allow"
	"magnoliastall.example/magno/notice"
	"magnoliastall.example/magno/route"
	"magnoliastall.example/magno/view"
)

// pools keeps a router and a retry budget for each service.
type pools struct {
	clock    *magno.Clock
	book     *view.Store
	notices  *notice.Board
	peers    *peers.Peers
	settings *magno.SiteSettings
	log      *slog.Logger
	// startedAt is the start time of this process.
	startedAt magno.Millis

	mu    sync.Mutex
	pools map[string]*pool
}

type pool struct {
	router  *route.Router
	retries *allow.Budget
}

// get returns a service's pool, creating it on first use. The caller holds mu.
func (p *pools) get(service string) *pool {
	if found := p.pools[service]; found != nil {
		return found
	}
	created := &pool{
		router: &route.Router{
			Clock: p.clock, Seed: xxhash.Sum64String(p.settings.Name), DataCentre: p.settings.DataCentre,
		},
		retries: &allow.Budget{Clock: p.clock, Ratio: p.settings.RetryRatio, Slack: p.settings.RetrySlack, WindowLength: p.settings.RetryWindow, StartedAt: p.startedAt},
	}
	if s := p.book.Current().Plan.Service(service); s != nil && s.Engine != nil {
		created.router.Tuning = route.PermitTuning()
	} else {
		created.router.Tuning = route.PlainTuning()
	}
	if p.pools == nil {
		p.pools = map[string]*pool{}
	}
	p.pools[service] = created
	created.router.Update(p.targets(service))
	return created
}

// targets returns the replicas of a service.
func (p *pools) targets(service string) []magno.Target {
	var list []magno.Target
	for _, r := range p.book.Current().Replicas {
		if r.Service == service {
			list = append(list, magno.Target{Name: r.Key(), DataCentre: r.DataCentre, Leaving: r.Leaving || p.notices.Leaving(r.Key()), Build: r.Build})
		}
	}
	return list
}

// update passes the current replicas to all routers.
func (p *pools) update() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for service, pool := range p.pools {
		pool.router.Update(p.targets(service))
	}
}

// report passes an engine's backlog to its router.
func (p *pools) report(service, key string, b magno.Backlog) {
	p.mu.Lock()
	pool := p.pools[service]
	p.mu.Unlock()
	if pool != nil {
		pool.router.Report(key, b)
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
	p.retries(service).RecordRequest()
}

// ReserveRetry implements relay.Pools.
func (p *pools) ReserveRetry(service string) bool {
	part, retries := p.peers.Part(p.settings.RetryWindow), p.retries(service)
	return retries.Reserve(part) || p.refused(service, part, retries)
}

// SpendRetry implements relay.Pools.
func (p *pools) SpendRetry(service string) bool {
	part, retries := p.peers.Part(p.settings.RetryWindow), p.retries(service)
	if !retries.Spend(part) {
		return p.refused(service, part, retries)
	}
	metrics.GetOrCreateCounter("retries_total").Inc()
	return true
}

// refused logs that the budget allows no retry, and returns false.
func (p *pools) refused(service string, part float64, retries *allow.Budget) bool {
	used, limit := retries.Usage(part)
	metrics.GetOrCreateCounter("retries_refused_total").Inc()
	p.log.Info("retry refused", "service", service, "used", used, "limit", limit, "part", part, "age", p.clock.Now()-p.startedAt)
	return false
}

// ReturnRetry implements relay.Pools.
func (p *pools) ReturnRetry(service string) { p.retries(service).Return() }

// retries returns the retry budget of a service.
func (p *pools) retries(service string) *allow.Budget {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.get(service).retries
}
