package daemon

import (
	"sync"

	"github.com/cockroachdb/errors"

	"magnoliastall.example/magno"
	"magnoliastall.example/magno/config"
	"magnoliastall.example/magno/fleet"
	"magnoliastall.example/magno/retry"
)

// routers keeps a router for each pool and passes the pool's agents to it.
type routers struct {
	plugin string
	clock  *magno.Clock
	fleet  *fleet.Fleet
	store  *config.Store

	mu    sync.Mutex
	pools map[string]magno.Router
	// budgets bound the retries of each pool.
	budgets map[string]*retry.Budget
}

// check creates a router once, so that an invalid setting ends the process at start.
func (r *routers) check() error {
	plugin, err := magno.NewPlugin(magno.PluginRouter, r.plugin)
	if err != nil {
		return err
	}
	if _, ok := plugin.(magno.Router); !ok {
		return errors.Newf("plug-in %q is not a router", r.plugin)
	}
	return nil
}

// pool returns the router of a pool, creating it on first use.
func (r *routers) pool(name string) magno.Router {
	r.mu.Lock()
	defer r.mu.Unlock()
	if router := r.pools[name]; router != nil {
		return router
	}
	plugin, _ := magno.NewPlugin(magno.PluginRouter, r.plugin)
	router, _ := plugin.(magno.Router) // checked at start
	if r.pools == nil {
		r.pools = map[string]magno.Router{}
	}
	r.pools[name] = router
	router.Update(r.targets(name))
	return router
}

// update passes the current agents to all routers.
func (r *routers) update() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for name, router := range r.pools {
		router.Update(r.targets(name))
	}
}

// targets returns the agents of a pool; leaving and drained ones get no new work.
func (r *routers) targets(pool string) []magno.Target {
	agents := r.fleet.LiveAgents(pool)
	targets := make([]magno.Target, 0, len(agents))
	for _, in := range agents {
		targets = append(targets, magno.Target{
			Name: in.Name, DataCentre: in.DataCentre, Leaving: r.store.Drained(in.Name),
		})
	}
	return targets
}

// budget returns the retry budget of a pool, creating it on first use.
func (r *routers) budget(pool string) *retry.Budget {
	r.mu.Lock()
	defer r.mu.Unlock()
	b := r.budgets[pool]
	if b == nil {
		b = &retry.Budget{Seed: uint64(r.clock.Now())}
		if r.budgets == nil {
			r.budgets = map[string]*retry.Budget{}
		}
		r.budgets[pool] = b
	}
	return b
}
