// Package check says whether a version of the configuration is sound, and
// where not. Daemons and the operators' command use the same code, so that
// what passes before it is published is what the fleet accepts.
//
//	shards --> Parse --> Join --> whole version --> Whole   --> faults
//	changed records --------------------------> Records --> faults
//
// The load is 54,000 changes a day over 130,000 adapters and as many profiles.
// Checking everything for each change would take a few per cent of a core on
// each daemon, so Records checks only what changed, and reads all profiles
// only when something that they may name has gone.
package check

import (
	"fmt"

	"magnoliastall.example/magno"
	"magnoliastall.example/magno/setup"
)

// Limits of a version.
const (
	// MaxShardBytes is the largest value that the platform holds, in bytes.
	MaxShardBytes = 1 << 20
	// MaxFaults is how many faults are told at once.
	MaxFaults = 20
	// maxName is in bytes.
	maxName = 128
	// maxRecords bounds each list, ten times the size planned for.
	maxRecords = 1_300_000
	maxWeight  = 1e6
	maxRate    = 1e12
	maxUrgency = 9
	// maxDeadline is the longest default deadline.
	maxDeadline = 24 * magno.Hour
)

// Shard is one value of the configuration, or one file.
type Shard struct {
	Name string
	Text []byte
}

// View is what records are checked against: the version as it would be.
type View interface {
	Customer(name string) (magno.Customer, bool)
	Pool(name string) (magno.Pool, bool)
	Adapter(name string) (magno.Adapter, bool)
	Rosters() []magno.Roster
	// EachProfile calls visit until it returns false.
	EachProfile(visit func(magno.Profile) bool)
}

// Checker checks versions against the one in force.
type Checker struct {
	// Past returns the time before which an ended roster may be dropped, in
	// milliseconds; nil means that none may.
	RosterCutoff func() magno.Millis
}

// New returns the checker that daemons and magctl use: a roster may be dropped
// once all of its keys are stale.
func New(clock *magno.Clock) *Checker {
	return &Checker{RosterCutoff: func() magno.Millis { return clock.Now() - magno.KeyRetention }}
}

// fault is a Fault that has no place yet.
type fault struct {
	// list is the JSON key of the list, name the record's, field its key.
	list, name, field string
	// nth is which record of that name is meant, from 0.
	nth  int
	what string
}

// Parse reads one shard. The fault names shard, line and key.
func (c *Checker) Parse(s Shard) (magno.Config, *setup.Fault) {
	if len(s.Text) > MaxShardBytes {
		return magno.Config{}, &setup.Fault{File: s.Name, Line: 1, Key: "shard",
			What: fmt.Sprintf("%d bytes are over the limit of %d", len(s.Text), MaxShardBytes)}
	}
	var cfg magno.Config
	if err := setup.Parse(s.Name, s.Text, &cfg); err != nil {
		return magno.Config{}, asFault(s.Name, err)
	}
	if cfg.Version != 0 {
		return magno.Config{}, &setup.Fault{File: s.Name, Line: lineOf(s, "version"), Key: "version",
			What: "stands in the index, not in a shard"}
	}
	return cfg, nil
}

// Join parses shards and joins them to one version without further checks.
func (c *Checker) Join(version int64, shards []Shard) (*magno.Config, []*setup.Fault) {
	all := &magno.Config{Version: version}
	var faults []*setup.Fault
	for _, s := range shards {
		part, f := c.Parse(s)
		if f != nil {
			faults = append(faults, f)
			continue
		}
		Append(all, &part)
	}
	return all, faults
}

// Append adds the records of part to all.
func Append(all, part *magno.Config) {
	all.Customers = append(all.Customers, part.Customers...)
	all.Pools = append(all.Pools, part.Pools...)
	all.Adapters = append(all.Adapters, part.Adapters...)
	all.Profiles = append(all.Profiles, part.Profiles...)
	all.Drained = append(all.Drained, part.Drained...)
	all.Rosters = append(all.Rosters, part.Rosters...)
}

// Whole checks a version that Join made. shards serve to place the faults;
// old are the rosters in force.
func (c *Checker) Validate(cfg *magno.Config, shards []Shard, old []magno.Roster) []*setup.Fault {
	var found []fault
	if cfg.Version <= 0 {
		found = append(found, fault{list: "version", what: "must be over zero"})
	}
	found = append(found, sizes(cfg)...)
	found = append(found, doubles(cfg)...)
	found = append(found, sharedKeys(cfg)...)
	found = append(found, records(cfg, newTable(cfg))...)
	found = append(found, c.follows(old, cfg.Rosters)...)
	return place(shards, found)
}

// Records checks changed records against view, the version that they would
// give, where before is the one in force. gone lists what the change takes away;
// a profile left behind may still name it.
func (c *Checker) ValidateChange(set *magno.Config, gone Removed, view, before View, shards []Shard) []*setup.Fault {
	found := append(doubles(set), records(set, view)...)
	if set.Rosters != nil || gone.Rosters {
		found = append(found, c.follows(before.Rosters(), set.Rosters)...)
	}
	if lost := newLost(set, gone, before); lost.any() {
		found = append(found, orphans(lost, view)...)
	}
	return place(shards, found)
}

// Group checks some records of view alone, where nothing has gone: a version
// that came group by group is checked without unpacking it as a whole.
func (c *Checker) ValidateBucket(set *magno.Config, view View, shards []Shard) []*setup.Fault {
	found := records(set, view)
	if set.Rosters != nil {
		found = append(found, c.follows(nil, set.Rosters)...)
	}
	return place(shards, found)
}

// Gone names records that a change takes away.
type Removed struct {
	Customers []string `json:"customers,omitempty"`
	Pools     []string `json:"pools,omitempty"`
	Adapters  []string `json:"adapters,omitempty"`
	Profiles  []string `json:"profiles,omitempty"`
	Drained   []string `json:"drained,omitempty"`
	// Rosters is true when the list of rosters became empty.
	Rosters bool `json:"rosters,omitempty"`
}

// table is a View of a plain configuration.
type table struct {
	cfg       *magno.Config
	customers map[string]int
	pools     map[string]int
	adapters  map[string]int
}

func newTable(cfg *magno.Config) *table {
	t := &table{cfg: cfg, customers: map[string]int{}, pools: map[string]int{},
		adapters: make(map[string]int, len(cfg.Adapters))}
	for i := range cfg.Customers {
		t.customers[cfg.Customers[i].Name] = i
	}
	for i := range cfg.Pools {
		t.pools[cfg.Pools[i].Name] = i
	}
	for i := range cfg.Adapters {
		t.adapters[cfg.Adapters[i].Name] = i
	}
	return t
}

// Customer finds a customer by name.
func (t *table) Customer(name string) (magno.Customer, bool) {
	return find(t.cfg.Customers, t.customers, name)
}

// Pool finds a pool by name.
func (t *table) Pool(name string) (magno.Pool, bool) { return find(t.cfg.Pools, t.pools, name) }

// Adapter finds an adapter by name.
func (t *table) Adapter(name string) (magno.Adapter, bool) {
	return find(t.cfg.Adapters, t.adapters, name)
}

// Rosters lists the rosters.
func (t *table) Rosters() []magno.Roster { return t.cfg.Rosters }

// EachProfile visits every profile.
func (t *table) EachProfile(visit func(magno.Profile) bool) {
	for _, p := range t.cfg.Profiles {
		if !visit(p) {
			return
		}
	}
}

func find[T any](list []T, index map[string]int, name string) (T, bool) {
	i, ok := index[name]
	if !ok {
		var none T
		return none, false
	}
	return list[i], true
}
