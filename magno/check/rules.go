package check

import (
	"fmt"
	"math"
	"slices"
	"strings"

	"magnoliastall.example/magno"
	"magnoliastall.example/magno/roster"
)

// JSON keys of the lists.
const (
	listCustomers = "customers"
	listPools     = "pools"
	listAdapters  = "adapters"
	listProfiles  = "profiles"
	listDrained   = "drained"
	listRosters   = "rosters"
)

// checkSizes reports lists that are too long.
func checkSizes(cfg *magno.Config) []fault {
	var found []fault
	for list, n := range map[string]int{
		listCustomers: len(cfg.Customers), listPools: len(cfg.Pools), listAdapters: len(cfg.Adapters),
		listProfiles: len(cfg.Profiles), listDrained: len(cfg.Drained), listRosters: len(cfg.Rosters),
	} {
		if n > maxRecords {
			found = append(found, fault{list: list, message: fmt.Sprintf("%d records exceed the limit of %d", n, maxRecords)})
		}
	}
	return found
}

// duplicateNames reports names that occur more than once in a list.
func duplicateNames(cfg *magno.Config) []fault {
	found := appendDuplicates(nil, listCustomers, cfg.Customers, func(b magno.Customer) string { return b.Name })
	found = appendDuplicates(found, listPools, cfg.Pools, func(p magno.Pool) string { return p.Name })
	found = appendDuplicates(found, listAdapters, cfg.Adapters, func(a magno.Adapter) string { return a.Name })
	found = appendDuplicates(found, listProfiles, cfg.Profiles, func(p magno.Profile) string { return p.Name })
	return appendDuplicates(found, listDrained, cfg.Drained, func(d string) string { return d })
}

func appendDuplicates[T any](found []fault, list string, records []T, name func(T) string) []fault {
	seen := make(map[string]int, len(records))
	for _, r := range records {
		n := name(r)
		if seen[n] > 0 && len(found) < MaxFaults {
			found = append(found, fault{list: list, name: n, nth: seen[n], field: "name", message: "duplicate name"})
		}
		seen[n]++
	}
	return found
}

// checkRecords validates each record of cfg by itself and against view.
func checkRecords(cfg *magno.Config, view View) []fault {
	var f faultList
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

// checkRosters validates the list of rosters, and that keys already issued keep their
// witnesses.
func (c *Checker) checkRosters(old, next []magno.Roster) []fault {
	var cutoff magno.Millis
	if c.RosterCutoff != nil {
		cutoff = c.RosterCutoff()
	}
	if err := roster.ValidateSuccessor(old, next, cutoff); err != nil {
		return []fault{{list: listRosters, message: err.Error()}}
	}
	return nil
}

type faultList struct {
	list []fault
}

// location identifies the record and field that a fault would be reported for.
type location struct {
	f     *faultList
	fault fault
}

func (f *faultList) at(list, name, field string) location {
	return location{f: f, fault: fault{list: list, name: name, field: field}}
}

func (l location) add(format string, args ...any) {
	if len(l.f.list) < MaxFaults {
		l.fault.message = fmt.Sprintf(format, args...)
		l.f.list = append(l.f.list, l.fault)
	}
}

// name reports a name that can't be used in logs, paths and adapter@version.
func (l location) name(value string) {
	switch {
	case value == "":
		l.add("is empty")
	case len(value) > maxNameBytes:
		l.add("%d bytes exceed the limit of %d", len(value), maxNameBytes)
	case strings.ContainsFunc(value, func(r rune) bool { return r <= ' ' || r == '@' || r == 0x7f || r == 0xfffd }):
		l.add("%q contains a space, a control character or @", value)
	}
}

// inRange reports a number that isn't between 0 and high.
func (l location) inRange(value, high float64) {
	if math.IsNaN(value) || value < 0 || value > high {
		l.add("%v is out of range 0 to %v", value, high)
	}
}

func (f *faultList) customer(b magno.Customer) {
	f.at(listCustomers, b.Name, "name").name(b.Name)
	if !(b.Weight > 0 && b.Weight <= maxWeight) {
		f.at(listCustomers, b.Name, "weight").add("%v must be greater than 0 and at most %v", b.Weight, maxWeight)
	}
	if b.Limit != nil {
		f.limit(b.Name, b.Limit)
	}
}

func (f *faultList) limit(customer string, l *magno.Limit) {
	f.rate(customer, "limit.rate", l.Rate)
	f.rate(customer, "limit.burst", l.Burst)
	f.at(listCustomers, customer, "limit.plain").inRange(l.Plain, maxRate)
}

func (f *faultList) rate(customer, field string, value float64) {
	if !(value > 0 && value <= maxRate) {
		f.at(listCustomers, customer, field).add("%v must be greater than 0 and at most %v", value, maxRate)
	}
}

// duplicateKeys reports API keys that two customers share, because requests with them
// can't be attributed.
func duplicateKeys(cfg *magno.Config) []fault {
	var found []fault
	owners := map[magno.Digest]string{}
	for _, c := range cfg.Customers {
		for _, d := range c.Keys {
			if other, known := owners[d]; known && len(found) < MaxFaults {
				found = append(found, fault{list: listCustomers, name: c.Name, field: "keys", message: fmt.Sprintf("%.8s is a key of %s too", d, other)})
			}
			owners[d] = c.Name
		}
	}
	return found
}

func (f *faultList) pool(p magno.Pool) {
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
	f.at(listPools, p.Name, "loadrate").inRange(p.LoadRate, maxWeight)
	f.at(listPools, p.Name, "loadwidth").inRange(float64(p.MaxLoads), maxWeight)
}

func (f *faultList) adapter(a *magno.Adapter) {
	f.at(listAdapters, a.Name, "name").name(a.Name)
	f.at(listAdapters, a.Name, "base").name(a.Base)
	if len(a.Versions)+len(a.Retired) == 0 {
		f.at(listAdapters, a.Name, "versions").add("is empty")
	}
	for i, v := range a.Versions {
		f.at(listAdapters, a.Name, "versions").name(v)
		if slices.Contains(a.Versions[:i], v) {
			f.at(listAdapters, a.Name, "versions").add("duplicate version %q", v)
		}
	}
	for i, v := range a.Retired {
		f.at(listAdapters, a.Name, "retired").name(v)
		if slices.Contains(a.Retired[:i], v) {
			f.at(listAdapters, a.Name, "retired").add("duplicate version %q", v)
		}
		if slices.Contains(a.Versions, v) {
			f.at(listAdapters, a.Name, "retired").add("%q is also listed in versions", v)
		}
	}
}

func (f *faultList) profile(p *magno.Profile, view View) {
	f.at(listProfiles, p.Name, "name").name(p.Name)
	f.at(listProfiles, p.Name, "urgency").inRange(float64(p.Urgency), maxUrgency)
	f.at(listProfiles, p.Name, "deadline").inRange(float64(p.Deadline), float64(maxDeadline))
	f.at(listProfiles, p.Name, "stall").inRange(p.Stall, 1)
	f.refs(p, view)
}

// refs checks the references of a profile. A retired profile isn't served, so its adapter
// may be missing.
func (f *faultList) refs(p *magno.Profile, view View) {
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

// danglingProfiles reports unchanged profiles with references to removed records.
func danglingProfiles(targets removedTargets, view View) []fault {
	var f faultList
	view.EachProfile(func(p magno.Profile) bool {
		if targets.customers[p.Customer] || targets.pools[p.Pool] || targets.adapters[p.Adapter] {
			f.refs(&p, view)
		}
		return len(f.list) < MaxFaults
	})
	return f.list
}

// removedTargets holds the records that were removed or restricted and that profiles may
// refer to.
type removedTargets struct {
	customers, pools, adapters map[string]bool
}

// newRemovedTargets leaves out records that were only extended, such as an adapter with
// one more version. Those are most of the changes, and reading all profiles for each
// would take a hundred times as long as the change itself.
func newRemovedTargets(set *magno.Config, removed Removed, before View) removedTargets {
	t := removedTargets{map[string]bool{}, map[string]bool{}, map[string]bool{}}
	for _, b := range removed.Customers {
		t.customers[b] = true
	}
	for _, p := range removed.Pools {
		t.pools[p] = true
	}
	for _, p := range set.Pools {
		if old, had := before.Pool(p.Name); had && (old.Kind != p.Kind || old.Base != p.Base) {
			t.pools[p.Name] = true
		}
	}
	for _, a := range removed.Adapters {
		t.adapters[a] = true
	}
	for i := range set.Adapters {
		a := &set.Adapters[i]
		if old, had := before.Adapter(a.Name); had && !keepsReferences(a, &old) {
			t.adapters[a.Name] = true
		}
	}
	return t
}

func (t removedTargets) notEmpty() bool { return len(t.customers)+len(t.pools)+len(t.adapters) > 0 }

// keepsReferences reports whether every reference to old is also valid for a.
func keepsReferences(a, old *magno.Adapter) bool {
	for _, v := range old.Versions {
		if !slices.Contains(a.Versions, v) {
			return false
		}
	}
	return a.Base == old.Base
}
