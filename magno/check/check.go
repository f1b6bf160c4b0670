// Package check validates versions of the configuration and locates faults in them.
// Daemons and the operators' command use the same code, so that a version that passes
// before it is published is accepted by the fleet.
//
//	shards --> Parse --> Join --> full version --> Validate       --> faults
//	changed records -----------------------------> ValidateChange --> faults
//
// There are 54,000 changes a day over 130,000 adapters and as many profiles. Validating
// everything for each change would take a few per cent of a core on each daemon. So
// ValidateChange checks only what changed, and reads all profiles only if something that
// they may refer to was removed.
package check

import (
	"fmt"

	"magnoliastall.example/magno"
	"magnoliastall.example/magno/setup"
)

// Limits of a version.
const (
	// MaxShardBytes is the largest value that the platform stores.
	MaxShardBytes = 1 << 20
	// MaxFaults is the largest number of faults reported at once.
	MaxFaults    = 20
	maxNameBytes = 128
	// maxRecords limits each list. It is ten times the planned size.
	maxRecords = 1_300_000
	maxWeight  = 1e6
	maxRate    = 1e12
	maxUrgency = 9
	// maxDeadline limits the default deadline of a profile.
	maxDeadline = 24 * magno.Hour
)

// Shard is one value of the configuration, or one file.
type Shard struct {
	Name string
	Text []byte
}

// View gives access to the version that a change leads to.
type View interface {
	Customer(name string) (magno.Customer, bool)
	Pool(name string) (magno.Pool, bool)
	Adapter(name string) (magno.Adapter, bool)
	Rosters() []magno.Roster
	// EachProfile calls visit until it returns false.
	EachProfile(visit func(magno.Profile) bool)
}

// Checker validates versions against the active one.
type Checker struct {
	// RosterCutoff returns the time before which an ended roster may be removed, in
	// milliseconds. If nil, no roster may be removed.
	RosterCutoff func() magno.Millis
}

// New returns the checker that daemons and magctl use: a roster may be removed once all
// keys issued under it have expired.
func New(clock *magno.Clock) *Checker {
	return &Checker{RosterCutoff: func() magno.Millis { return clock.Now() - magno.KeyRetention }}
}

// fault is a setup.Error without a location.
type fault struct {
	// list is the JSON key of the list, name the record's name and field the JSON key of
	// the field.
	list, name, field string
	// nth selects one of several records with that name, starting at 0.
	nth     int
	message string
}

// Parse decodes one shard. A fault has the name of the shard, the line and the key.
func (c *Checker) Parse(s Shard) (magno.Config, *setup.Error) {
	if len(s.Text) > MaxShardBytes {
		return magno.Config{}, &setup.Error{File: s.Name, Line: 1, Key: "shard",
			Message: fmt.Sprintf("%d bytes exceed the limit of %d", len(s.Text), MaxShardBytes)}
	}
	var cfg magno.Config
	if err := setup.Parse(s.Name, s.Text, &cfg); err != nil {
		return magno.Config{}, asFault(s.Name, err)
	}
	if cfg.Version != 0 {
		return magno.Config{}, &setup.Error{File: s.Name, Line: lineOf(s, "version"), Key: "version",
			Message: "belongs in the index, not in a shard"}
	}
	return cfg, nil
}

// Join parses shards and joins them into one version without further checks.
func (c *Checker) Join(version int64, shards []Shard) (*magno.Config, []*setup.Error) {
	all := &magno.Config{Version: version}
	var faults []*setup.Error
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

// Validate checks a version that Join returned. shards are used to locate faults; old are
// the active rosters.
func (c *Checker) Validate(cfg *magno.Config, shards []Shard, old []magno.Roster) []*setup.Error {
	var found []fault
	if cfg.Version <= 0 {
		found = append(found, fault{list: "version", message: "must be greater than zero"})
	}
	found = append(found, checkSizes(cfg)...)
	found = append(found, duplicateNames(cfg)...)
	found = append(found, duplicateKeys(cfg)...)
	found = append(found, checkRecords(cfg, newConfigView(cfg))...)
	found = append(found, c.checkRosters(old, cfg.Rosters)...)
	return locate(shards, found)
}

// ValidateChange checks changed records. view is the version that they lead to and before
// the active one. removed lists the removed records, which unchanged profiles may still
// refer to.
func (c *Checker) ValidateChange(set *magno.Config, removed Removed, view, before View, shards []Shard) []*setup.Error {
	found := append(duplicateNames(set), checkRecords(set, view)...)
	if set.Rosters != nil || removed.Rosters {
		found = append(found, c.checkRosters(before.Rosters(), set.Rosters)...)
	}
	if targets := newRemovedTargets(set, removed, before); targets.notEmpty() {
		found = append(found, danglingProfiles(targets, view)...)
	}
	return locate(shards, found)
}

// ValidateBucket checks some records of view, without removed ones. A version received
// bucket by bucket is validated with it without unpacking the whole version.
func (c *Checker) ValidateBucket(set *magno.Config, view View, shards []Shard) []*setup.Error {
	found := checkRecords(set, view)
	if set.Rosters != nil {
		found = append(found, c.checkRosters(nil, set.Rosters)...)
	}
	return locate(shards, found)
}

// Removed lists the records that a change removes.
type Removed struct {
	Customers []string `json:"customers,omitempty"`
	Pools     []string `json:"pools,omitempty"`
	Adapters  []string `json:"adapters,omitempty"`
	Profiles  []string `json:"profiles,omitempty"`
	Drained   []string `json:"drained,omitempty"`
	// Rosters is true if the list of rosters became empty.
	Rosters bool `json:"rosters,omitempty"`
}

// configView is a View of a plain configuration.
type configView struct {
	cfg       *magno.Config
	customers map[string]int
	pools     map[string]int
	adapters  map[string]int
}

func newConfigView(cfg *magno.Config) *configView {
	v := &configView{cfg: cfg, customers: map[string]int{}, pools: map[string]int{},
		adapters: make(map[string]int, len(cfg.Adapters))}
	for i := range cfg.Customers {
		v.customers[cfg.Customers[i].Name] = i
	}
	for i := range cfg.Pools {
		v.pools[cfg.Pools[i].Name] = i
	}
	for i := range cfg.Adapters {
		v.adapters[cfg.Adapters[i].Name] = i
	}
	return v
}

// Customer returns a customer by name.
func (v *configView) Customer(name string) (magno.Customer, bool) {
	return find(v.cfg.Customers, v.customers, name)
}

// Pool returns a pool by name.
func (v *configView) Pool(name string) (magno.Pool, bool) { return find(v.cfg.Pools, v.pools, name) }

// Adapter returns an adapter by name.
func (v *configView) Adapter(name string) (magno.Adapter, bool) {
	return find(v.cfg.Adapters, v.adapters, name)
}

// Rosters returns the rosters.
func (v *configView) Rosters() []magno.Roster { return v.cfg.Rosters }

// EachProfile calls visit for each profile until it returns false.
func (v *configView) EachProfile(visit func(magno.Profile) bool) {
	for _, p := range v.cfg.Profiles {
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
