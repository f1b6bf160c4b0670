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

const (
	// budgetLogShare is the share of a retry budget from which on its use is logged, at most every
	// budgetLogInterval for each service.
	budgetLogShare    = 0.8
	budgetLogInterval = magno.Second
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
	// followed is the channel of the list's next change as of the last update of the routers.
	followed <-chan struct{}
}

type pool struct {
	router  *route.Router
	retries *allow.Budget
	// targetsHash identifies the targets of the router, slots is the number of request slots of
	// those that don't leave.
	targetsHash uint64
	slots       int
	// usable is closed, and replaced, when an upstream may have become usable.
	usable chan struct{}
	// budgetLoggedAt is when the use of the retry budget was last logged.
	budgetLoggedAt magno.Millis
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
		usable:  make(chan struct{}),
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
	p.registerBudget(service, created.retries)
	created.update(p.targets(service))
	return created
}

// update passes the targets of a service to its router, unless they are unchanged: building a ring
// is expensive. The caller holds the mutex of pools.
func (p *pool) update(targets []magno.Target, slots int) {
	// Summed up, since the order is random.
	hash := uint64(len(targets))
	for i := range targets {
		hash += hashTarget(&targets[i])
	}
	if p.targetsHash == hash && p.slots == slots {
		return
	}
	p.targetsHash, p.slots = hash, slots
	p.router.Update(targets)
	p.wake()
}

// hashTarget returns a hash of all that a router uses of a target.
func hashTarget(t *magno.Target) uint64 {
	var d xxhash.Digest
	d.Reset()
	for _, text := range []string{t.Name, t.DataCentre, t.Build} {
		_, _ = d.WriteString(text) // never fails
		_, _ = d.WriteString("\x00")
	}
	if t.Leaving {
		return ^d.Sum64()
	}
	return d.Sum64()
}

// wake wakes what waits for an upstream. The caller holds the mutex of pools.
func (p *pool) wake() {
	close(p.usable)
	p.usable = make(chan struct{})
}

// targets returns the replicas of a service, and the request slots of those that don't leave.
func (p *pools) targets(service string) (list []magno.Target, slots int) {
	for _, r := range p.book.Current().Replicas {
		if r.Service != service {
			continue
		}
		key := r.Key()
		leaving := r.Leaving || p.notices.Leaving(key)
		list = append(list, magno.Target{Name: key, DataCentre: r.DataCentre, Leaving: leaving, Build: r.Build})
		if !leaving {
			slots += r.Slots
		}
	}
	return list, slots
}

// update passes the current replicas to all routers.
func (p *pools) update() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.updateAll()
}

// updateAll does the work of update. The caller holds mu.
func (p *pools) updateAll() {
	p.followed = p.book.Changed()
	for service, pool := range p.pools {
		pool.update(p.targets(service))
	}
}

// follow updates the routers if the list has changed since they were updated. A request or a
// report may come for an upstream that was listed a moment ago, before update was called: the
// request would find no upstream, and the report would be lost. The caller holds mu.
func (p *pools) follow() {
	if p.followed != p.book.Changed() {
		p.updateAll()
	}
}

// report passes an engine's backlog to its router. The router is created if need be: agents are
// polled before the first request of a service, and a calm one isn't polled again for a while.
func (p *pools) report(service, key string, b magno.Backlog) {
	p.mu.Lock()
	p.follow()
	router := p.get(service).router
	p.mu.Unlock()
	router.Report(key, b)
}

// wakeWaiting wakes the requests that wait for an upstream of a service.
func (p *pools) wakeWaiting(service string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.get(service).wake()
}

// endRest has the router of a service offer work to an engine again, which had asked for rest and restarted since.
func (p *pools) endRest(service, key string) {
	p.mu.Lock()
	router := p.get(service).router
	p.mu.Unlock()
	router.EndRest(key)
}

// Router implements relay.Pools.
func (p *pools) Router(service string) magno.Chooser {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.follow()
	return p.get(service).router
}

// Listed implements relay.Pools.
func (p *pools) Listed(service string) (slots int, usable <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.follow()
	pool := p.get(service)
	return pool.slots, pool.usable
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
func (p *pools) SpendRetry(service, unanswered string) bool {
	part, retries := p.peers.Part(p.settings.RetryWindow), p.retries(service)
	sent := false
	if unanswered == "" {
		sent = retries.Spend(part)
	} else {
		sent = retries.SpendUnanswered(part, unanswered)
	}
	if !sent {
		return p.refused(service, part, retries)
	}
	metrics.GetOrCreateCounter(`retries_total{service="` + service + `"}`).Inc()
	p.reportUsage(service, part, retries)
	return true
}

// RetryUnanswered implements relay.Pools.
func (p *pools) RetryUnanswered(service, upstream string) { p.retries(service).Unanswered(upstream) }

// Answered implements relay.Pools.
func (p *pools) Answered(service, upstream string) { p.retries(service).Answered(upstream) }

// refused logs that the budget allows no retry, and returns false.
func (p *pools) refused(service string, part float64, retries *allow.Budget) bool {
	used, limit := retries.Usage(part)
	metrics.GetOrCreateCounter(`retries_refused_total{service="` + service + `"}`).Inc()
	p.log.Info("retry refused", "service", service, "used", used, "limit", limit, "part", part, "age", p.clock.Now()-p.startedAt)
	return false
}

// reportUsage logs that much of the budget is used.
func (p *pools) reportUsage(service string, part float64, retries *allow.Budget) {
	used, limit := retries.Usage(part)
	if used < budgetLogShare*limit || !p.mayLogBudget(service) {
		return
	}
	p.log.Info("retry budget", "service", service, "used", used, "limit", limit, "part", part,
		"processes", p.peers.Processes(p.settings.RetryWindow), "age", p.clock.Now()-p.startedAt)
}

// mayLogBudget reports whether the last line on the budget of a service is budgetLogInterval old, and
// records that another one is logged.
func (p *pools) mayLogBudget(service string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	pool, now := p.get(service), p.clock.Now()
	if pool.budgetLoggedAt != 0 && now-pool.budgetLoggedAt < budgetLogInterval {
		return false
	}
	pool.budgetLoggedAt = now
	return true
}

// registerBudget exports the budget of a service as metrics.
func (p *pools) registerBudget(service string, retries *allow.Budget) {
	usage := func() (used, limit float64) { return retries.Usage(p.peers.Part(p.settings.RetryWindow)) }
	metrics.GetOrCreateGauge(`retries_used{service="`+service+`"}`, func() float64 {
		used, _ := usage()
		return used
	})
	metrics.GetOrCreateGauge(`retries_limit{service="`+service+`"}`, func() float64 {
		_, limit := usage()
		return limit
	})
}

// ReturnRetry implements relay.Pools.
func (p *pools) ReturnRetry(service string) { p.retries(service).Return() }

// retries returns the retry budget of a service.
func (p *pools) retries(service string) *allow.Budget {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.get(service).retries
}
