package layout

import (
	"fmt"

	"magnoliastall.example/magno"
)

// base is the one base model that each deployment has today.
const base = "base-8b"

// Config returns the configuration of the deployment. Each adapter has a
// profile read-NNN; the other profiles stand for the kinds of request that
// the two customers send.
func (l *Layout) Config(version int64) magno.Config {
	rate, width := l.allowance()
	cfg := magno.Config{
		Version: version,
		Customers: []magno.Customer{
			{Name: "delta", Weight: 1},
			{Name: "cursada", Weight: 1},
		},
		Pools: []magno.Pool{
			{Name: "reading", Kind: magno.PoolEngine, Base: base, LoadRate: rate, LoadWidth: width},
			{Name: "status", Kind: magno.PoolPlain},
		},
		Rosters: []magno.Roster{l.roster()},
	}
	for n := range l.Adapters {
		name := fmt.Sprintf("a%03d", n)
		cfg.Adapters = append(cfg.Adapters, magno.Adapter{Name: name, Base: base, Versions: []string{"v1", "v2"}})
		cfg.Profiles = append(cfg.Profiles, magno.Profile{
			Name: fmt.Sprintf("read-%03d", n), Customer: []string{"delta", "cursada"}[n%2], Pool: "reading",
			Adapter: name, Version: "v1", Urgency: 5, Repeat: true, Deadline: 20 * magno.Second, Stall: 0.5,
		})
	}
	cfg.Profiles = append(cfg.Profiles,
		engine("receipt-once", "delta", "a000", 6, false, 0.2),
		engine("advisor", "cursada", "a001", 8, true, 0.9),
		engine("timetable", "cursada", "a003", 2, true, 0.3),
		service("receipt-record", "delta", 7, false),
		service("claims-status", "delta", 8, true),
		service("seat-confirm", "cursada", 9, false),
		service("waitlist", "cursada", 8, true),
	)
	return cfg
}

func engine(name, customer, adapter string, urgency int, repeat bool, stall float64) magno.Profile {
	return magno.Profile{Name: name, Customer: customer, Pool: "reading", Adapter: adapter, Version: "v1",
		Urgency: urgency, Repeat: repeat, Deadline: 20 * magno.Second, Stall: stall}
}

func service(name, customer string, urgency int, repeat bool) magno.Profile {
	return magno.Profile{Name: name, Customer: customer, Pool: "status", Urgency: urgency, Repeat: repeat,
		Deadline: 5 * magno.Second}
}

// rosterSpan is how long the one roster holds, in milliseconds. Operators move
// its end ahead in time, as docs/OPERATIONS.md shows.
const rosterSpan = 30 * 24 * magno.Hour

// roster lists the agents, whose instances witness idempotency keys.
func (l *Layout) roster() magno.Roster {
	var clock magno.Clock
	r := magno.Roster{Since: 0, Until: clock.Now() + rosterSpan, Places: map[string]string{}}
	for _, in := range l.instances() {
		if in.Role == magno.RoleAgent {
			r.Members = append(r.Members, in.Name)
			r.Places[in.Name] = in.DataCentre
		}
	}
	return r
}
