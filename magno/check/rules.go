package check

import (
	"fmt"
	"math"
	"slices"
	"strings"

	"magnoliastall.example/magno"
	"magnoliastall.example/magno/roster"
)

// The JSON keys of the lists.
const (
	listCustomers = "customers"
	listPools     = "pools"
	listAdapters  = "adapters"
	listProfiles  = "profiles"
	listDrained   = "drained"
	listRosters   = "rosters"
)

// sizes bounds each list.
func sizes(cfg *magno.Config) []fault {
	var found []fault
	for list, n := range map[string]int{
		listCustomers: len(cfg.Customers), listPools: len(cfg.Pools), listAdapters: len(cfg.Adapters),
		listProfiles: len(cfg.Profiles), listDrained: len(cfg.Drained), listRosters: len(cfg.Rosters),
	} {
		if n > maxRecords {
			found = append(found, fault{list: list, what: fmt.Sprintf("%d records are over the limit of %d", n, maxRecords)})
		}
	}
	return found
}

// doubles finds names that stand twice in a list.
func doubles(cfg *magno.Config) []fault {
	found := double(nil, listCustomers, cfg.Customers, func(b magno.Customer) string { return b.Name })
	found = double(found, listPools, cfg.Pools, func(p magno.Pool) string { return p.Name })
	found = double(found, listAdapters, cfg.Adapters, func(a magno.Adapter) string { return a.Name })
	found = double(found, listProfiles, cfg.Profiles, func(p magno.Profile) string { return p.Name })
	return double(found, listDrained, cfg.Drained, func(d string) string { return d })
}

func double[T any](found []fault, list string, records []T, name func(T) string) []fault {
	seen := make(map[string]int, len(records))
	for _, r := range records {
		n := name(r)
		if seen[n] > 0 && len(found) < MaxFaults {
			found = append(found, fault{list: list, name: n, nth: seen[n], field: "name", what: "stands twice"})
		}
		seen[n]++
	}
	return found
}

// records checks each record of cfg by itself and against view.
func records(cfg *magno.Config, view View) []fault {
	var f findings
	for _, b := range cfg.Customers {
		f.customer(b)
	}
	for _, p := range cfg.Pools {
		f.pool(p)
	}
	for i := range cfg.Adapters {
		f.adapter(&cfg.Adapters[i])
	}
	for i := range cfg.Profiles {
		f.profile(&cfg.Profiles[i], view)
	}
	for _, d := range cfg.Drained {
		f.at(listDrained, d, "").name(d)
	}
	return f.list
}

// follows checks the list of rosters, and that it keeps the witnesses of keys
// issued before.
func (c *Checker) follows(old, next []magno.Roster) []fault {
	var past magno.Millis
	if c.RosterCutoff != nil {
		past = c.RosterCutoff()
	}
	if err := roster.ValidateSuccessor(old, next, past); err != nil {
		return []fault{{list: listRosters, what: err.Error()}}
	}
	return nil
}

// findings collects faults.
type findings struct {
	list []fault
}

// spot is a place that a fault may be at.
type spot struct {
	f     *findings
	fault fault
}

func (f *findings) at(list, name, field string) spot {
	return spot{f: f, fault: fault{list: list, name: name, field: field}}
}

func (s spot) add(format string, args ...any) {
	if len(s.f.list) < MaxFaults {
		s.fault.what = fmt.Sprintf(format, args...)
		s.f.list = append(s.f.list, s.fault)
	}
}

// name wants a name that survives in logs, paths and adapter@version.
func (s spot) name(value string) {
	switch {
	case value == "":
		s.add("is empty")
	case len(value) > maxName:
		s.add("%d bytes are over the limit of %d", len(value), maxName)
	case strings.ContainsFunc(value, func(r rune) bool { return r <= ' ' || r == '@' || r == 0x7f || r == 0xfffd }):
		s.add("%q holds a space, a control character or @", value)
	}
}

// within wants a number from 0 to high.
func (s spot) within(value, high float64) {
	if math.IsNaN(value) || value < 0 || value > high {
		s.add("%v is out of range 0 to %v", value, high)
	}
}

func (f *findings) customer(b magno.Customer) {
	f.at(listCustomers, b.Name, "name").name(b.Name)
	if !(b.Weight > 0 && b.Weight <= maxWeight) {
		f.at(listCustomers, b.Name, "weight").add("%v is not over zero and at most %v", b.Weight, maxWeight)
	}
	if b.Limit != nil {
		f.limit(b.Name, b.Limit)
	}
}

func (f *findings) limit(customer string, l *magno.Limit) {
	f.rate(customer, "limit.rate", l.Rate)
	f.rate(customer, "limit.burst", l.Burst)
	f.at(listCustomers, customer, "limit.plain").within(l.Plain, maxRate)
}

func (f *findings) rate(customer, field string, value float64) {
	if !(value > 0 && value <= maxRate) {
		f.at(listCustomers, customer, field).add("%v is not over zero and at most %v", value, maxRate)
	}
}

// sharedKeys finds keys that two customers have: nobody could tell whose request it is.
func sharedKeys(cfg *magno.Config) []fault {
	var found []fault
	owners := map[magno.Digest]string{}
	for _, c := range cfg.Customers {
		for _, d := range c.Keys {
			if other, known := owners[d]; known && len(found) < MaxFaults {
				found = append(found, fault{list: listCustomers, name: c.Name, field: "keys", what: fmt.Sprintf("%.8s is a key of %s too", d, other)})
			}
			owners[d] = c.Name
		}
	}
	return found
}

func (f *findings) pool(p magno.Pool) {
	f.at(listPools, p.Name, "name").name(p.Name)
	switch p.Kind {
	case magno.PoolEngine:
		f.at(listPools, p.Name, "base").name(p.Base)
	case magno.PoolPlain:
		if p.Base != "" {
			f.at(listPools, p.Name, "base").add("a plain pool has no base model")
		}
	default:
		f.at(listPools, p.Name, "kind").add("%q is neither %s nor %s", p.Kind, magno.PoolEngine, magno.PoolPlain)
	}
	f.at(listPools, p.Name, "loadrate").within(p.LoadRate, maxWeight)
	f.at(listPools, p.Name, "loadwidth").within(float64(p.LoadWidth), maxWeight)
}

func (f *findings) adapter(a *magno.Adapter) {
	f.at(listAdapters, a.Name, "name").name(a.Name)
	f.at(listAdapters, a.Name, "base").name(a.Base)
	if len(a.Versions)+len(a.Retired) == 0 {
		f.at(listAdapters, a.Name, "versions").add("is empty")
	}
	for i, v := range a.Versions {
		f.at(listAdapters, a.Name, "versions").name(v)
		if slices.Contains(a.Versions[:i], v) {
			f.at(listAdapters, a.Name, "versions").add("%q stands twice", v)
		}
	}
	for i, v := range a.Retired {
		f.at(listAdapters, a.Name, "retired").name(v)
		if slices.Contains(a.Retired[:i], v) {
			f.at(listAdapters, a.Name, "retired").add("%q stands twice", v)
		}
		if slices.Contains(a.Versions, v) {
			f.at(listAdapters, a.Name, "retired").add("%q stands in versions as well", v)
		}
	}
}

func (f *findings) profile(p *magno.Profile, view View) {
	f.at(listProfiles, p.Name, "name").name(p.Name)
	f.at(listProfiles, p.Name, "urgency").within(float64(p.Urgency), maxUrgency)
	f.at(listProfiles, p.Name, "deadline").within(float64(p.Deadline), float64(maxDeadline))
	f.at(listProfiles, p.Name, "stall").within(p.Stall, 1)
	f.refs(p, view)
}

// refs checks what a profile names. A retired one serves nothing, so its
// adapter may be gone.
func (f *findings) refs(p *magno.Profile, view View) {
	if _, ok := view.Customer(p.Customer); !ok {
		f.at(listProfiles, p.Name, "customer").add("there is no customer %q", p.Customer)
	}
	pool, ok := view.Pool(p.Pool)
	if !ok {
		f.at(listProfiles, p.Name, "pool").add("there is no pool %q", p.Pool)
		return
	}
	if pool.Kind == magno.PoolPlain {
		if p.Adapter != "" || p.Version != "" {
			f.at(listProfiles, p.Name, "adapter").add("pool %q is plain and runs no adapters", p.Pool)
		}
		return
	}
	if p.Retired {
		return
	}
	a, ok := view.Adapter(p.Adapter)
	switch {
	case !ok:
		f.at(listProfiles, p.Name, "adapter").add("there is no adapter %q", p.Adapter)
	case a.Base != pool.Base:
		f.at(listProfiles, p.Name, "adapter").add("adapter %q is for base model %q, pool %q has %q",
			p.Adapter, a.Base, p.Pool, pool.Base)
	case slices.Contains(a.Retired, p.Version):
		f.at(listProfiles, p.Name, "version").add("version %q of adapter %q is retired", p.Version, p.Adapter)
	case !slices.Contains(a.Versions, p.Version):
		f.at(listProfiles, p.Name, "version").add("adapter %q has no version %q", p.Adapter, p.Version)
	}
}

// orphans finds unchanged profiles that name something the change took away.
func orphans(lost lost, view View) []fault {
	var f findings
	view.EachProfile(func(p magno.Profile) bool {
		if lost.customers[p.Customer] || lost.pools[p.Pool] || lost.adapters[p.Adapter] {
			f.refs(&p, view)
		}
		return len(f.list) < MaxFaults
	})
	return f.list
}

// lost are records that profiles may name and that went, or lost something.
type lost struct {
	customers, pools, adapters map[string]bool
}

// newLost leaves out what only gained, such as an adapter with one version
// more: that is most of what operators change, and reading all profiles for it
// would take a hundred times as long as the change itself.
func newLost(set *magno.Config, gone Removed, before View) lost {
	l := lost{map[string]bool{}, map[string]bool{}, map[string]bool{}}
	for _, b := range gone.Customers {
		l.customers[b] = true
	}
	for _, p := range gone.Pools {
		l.pools[p] = true
	}
	for _, p := range set.Pools {
		if old, had := before.Pool(p.Name); had && (old.Kind != p.Kind || old.Base != p.Base) {
			l.pools[p.Name] = true
		}
	}
	for _, a := range gone.Adapters {
		l.adapters[a] = true
	}
	for i := range set.Adapters {
		a := &set.Adapters[i]
		if old, had := before.Adapter(a.Name); had && !covers(a, &old) {
			l.adapters[a.Name] = true
		}
	}
	return l
}

func (l lost) any() bool { return len(l.customers)+len(l.pools)+len(l.adapters) > 0 }

// covers is true when whatever could name old can name a.
func covers(a, old *magno.Adapter) bool {
	for _, v := range old.Versions {
		if !slices.Contains(a.Versions, v) {
			return false
		}
	}
	return a.Base == old.Base
}
