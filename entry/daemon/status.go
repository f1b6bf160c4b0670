package daemon

import (
	"slices"
	"sort"
	"sync/atomic"

	"magnoliastall.example/magno"
	"magnoliastall.example/magno/config"
	"magnoliastall.example/magno/keys"
)

// Status is the state of an entry, as served by its administration API.
type Status struct {
	Name       string           `json:"name"`
	Role       magno.Role       `json:"role"`
	DataCentre string           `json:"dc"`
	Ready      bool             `json:"ready"`
	Config     config.Status    `json:"config"`
	Busy       int64            `json:"busy"`
	Instances  []magno.Instance `json:"instances"`
	// Seen is the time of the last read of the platform's list.
	Seen magno.Millis `json:"seen"`
}

func (e *entry) status() any {
	return Status{
		Name: e.opts.Name, Role: magno.RoleEntry, DataCentre: e.opts.DataCentre, Ready: e.front.Ready(),
		Config: e.Store.Status(), Busy: e.front.Busy(), Instances: e.Fleet.All(), Seen: e.Fleet.LastPoll(),
	}
}

// Explanation describes where a request of a profile would be sent now.
type Explanation struct {
	Profile magno.Profile `json:"profile"`
	Retired bool          `json:"retired"`
	// Order is the router's preference; keyed requests go to the home of their key
	// instead.
	Order   []string         `json:"order"`
	Agents  []magno.Instance `json:"agents"`
	Drained []string         `json:"drained"`
}

func (e *entry) explain(name string) (any, error) {
	p, ok := (&catalogue{store: e.Store}).Profile(name)
	if !ok {
		return nil, magno.Refuse(magno.KindNoProfile, "there is no profile %q", name).WithField("profile")
	}
	ref := magno.Ref{Adapter: p.Adapter, Version: p.Version}
	out := Explanation{
		Profile: p, Retired: p.Retired || e.Store.Retired(ref), Agents: e.Fleet.LiveAgents(p.Pool), Drained: []string{},
		Order: e.routers.pool(p.Pool).Route(magno.Query{Ref: ref, DataCentre: e.opts.DataCentre, Work: 1}),
	}
	for _, in := range out.Agents {
		if e.Store.Drained(in.Name) {
			out.Drained = append(out.Drained, in.Name)
		}
	}
	return out, nil
}

// catalogue implements front.Catalogue with the configuration in force.
type catalogue struct {
	store *config.Store
	// keyTable is the table of the configuration in force, built on first use.
	keyTable atomic.Pointer[keyTable]
}

// keyTable holds the keys of a configuration; keys is nil if callers need none.
type keyTable struct {
	version int64
	keys    *keys.Table
}

// Customer implements front.Catalogue.
func (c *catalogue) Customer(name string) (magno.Customer, bool) {
	if now := c.store.Current(); now != nil {
		return now.Customer(name)
	}
	return magno.Customer{}, false
}

// Owner implements front.Catalogue.
func (c *catalogue) Owner(authorization string) (owner *magno.Customer, required bool) {
	now := c.store.Current()
	if now == nil {
		return nil, false
	}
	k := c.keyTable.Load()
	if k == nil || k.version != now.Version {
		k = &keyTable{version: now.Version}
		customers := now.Customers()
		if slices.ContainsFunc(customers, func(c magno.Customer) bool { return len(c.Keys) > 0 }) {
			k.keys = keys.New(customers)
		}
		c.keyTable.Store(k)
	}
	if k.keys == nil {
		return nil, false
	}
	return k.keys.Find(authorization), true
}

// Version implements front.Catalogue.
func (c *catalogue) Version() int64 { return c.store.Version() }

// Profile implements front.Catalogue.
func (c *catalogue) Profile(name string) (magno.Profile, bool) {
	if now := c.store.Current(); now != nil {
		return now.Profile(name)
	}
	return magno.Profile{}, false
}

// Pool implements front.Catalogue.
func (c *catalogue) Pool(name string) (magno.Pool, bool) {
	if now := c.store.Current(); now != nil {
		return now.Pool(name)
	}
	return magno.Pool{}, false
}

// Retired implements front.Catalogue.
func (c *catalogue) Retired(ref magno.Ref) bool { return c.store.Retired(ref) }

// Names implements front.Catalogue.
func (c *catalogue) ProfileNames(customer string) []string {
	names := []string{}
	if now := c.store.Current(); now != nil {
		now.EachProfile(func(p magno.Profile) bool {
			if customer == "" || p.Customer == customer {
				names = append(names, p.Name)
			}
			return true
		})
	}
	sort.Strings(names)
	return names
}
