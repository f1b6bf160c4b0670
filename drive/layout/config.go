package layout

import (
	"fmt"

	"magnoliastall.example/magno"
)

// baseModel is the base model of all adapters.
const baseModel = "base-8b"

// Config returns the configuration of the deployment. Each adapter has a profile read-NNN;
// the other profiles represent the request types of the two customers.
func (l *Layout) Config(version int64) magno.Config {
	rate, parallelLoads := l.storeLimits()
	cfg := magno.Config{
		Version: version,
		Customers: []magno.Customer{
			{Name: "delta", Weight: 1},
			{Name: "cursada", Weight: 1},
		},
		Pools: []magno.Pool{
			{Name: "reading", Kind: magno.PoolEngine, Base: baseModel, LoadRate: rate, MaxLoads: parallelLoads},
			{Name: "status", Kind: magno.PoolPlain},
		},
		Rosters: []magno.Roster{l.roster()},
	}
	for n := range l.Adapters {
		name := fmt.Sprintf("a%03d", n)
		cfg.Adapters = append(cfg.Adapters, magno.Adapter{Name: name, Base: baseModel, Versions: []string{"v1", "v2"}})
		cfg.Profiles = append(cfg.Profiles, magno.Profile{
			Name: fmt.Sprintf("read-%03d", n), Customer: []string{"delta", "cursada"}[n%2], Pool: "reading",
			Adapter: name, Version: "v1", Urgency: 5, Idempotent: true, Deadline: 20 * magno.Second, Stall: 0.5,
		})
	}
	cfg.Profiles = append(cfg.Profiles,
		engineProfile("receipt-once", "delta", "a000", 6, false, 0.2),
		engineProfile("advisor", "cursada", "a001", 8, true, 0.9),
		engineProfile("timetable", "cursada", "a003", 2, true, 0.3),
		plainProfile("receipt-record", "delta", 7, false),
		plainProfile("claims-status", "delta", 8, true),
		plainProfile("seat-confirm", "cursada", 9, false),
		plainProfile("waitlist", "cursada", 8, true),
	)
	return cfg
}

func engineProfile(name, customer, adapter string, urgency int, repeat bool, stall float64) magno.Profile {
	return magno.Profile{Name: name, Customer: customer, Pool: "reading", Adapter: adapter, Version: "v1",
		Urgency: urgency, Idempotent: repeat, Deadline: 20 * magno.Second, Stall: stall}
}

func plainProfile(name, customer string, urgency int, repeat bool) magno.Profile {
	return magno.Profile{Name: name, Customer: customer, Pool: "status", Urgency: urgency, Idempotent: repeat,
		Deadline: 5 * magno.Second}
}

// rosterValidity is how long the single roster is valid. Operators extend it in time, as
// docs/OPERATIONS.md shows.
const rosterValidity = 30 * 24 * magno.Hour

// roster lists the agents, whose instances are the witnesses of idempotency keys.
func (l *Layout) roster() magno.Roster {
	var clock magno.Clock
	r := magno.Roster{Since: 0, Until: clock.Now() + rosterValidity, DataCentres: map[string]string{}}
	for _, in := range l.instances() {
		if in.Role == magno.RoleAgent {
			r.Members = append(r.Members, in.Name)
			r.DataCentres[in.Name] = in.DataCentre
		}
	}
	return r
}
