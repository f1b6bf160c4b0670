package config

import (
	"strings"

	"github.com/cespare/xxhash/v2"

	"magnoliastall.example/magno"
	"magnoliastall.example/magno/check"
)

// Buckets is how many groups adapters and profiles are kept in, by a hash of
// the name. At 130,000 of each a group has some 254 records: a change copies
// one group (about 14 KB) where one flat list would copy 15 MB, and two
// processes find what differs by comparing 8 KB of sums.
const Buckets = 1024

// SmallListsBucket is the number of the group that holds everything else.
const SmallListsBucket = Buckets

// Snapshot is one version. It is immutable and shares what did not change
// with the version that it was made from.
type Snapshot struct {
	// Version is over zero once in force.
	Version int64
	// Sum is equal for equal content.
	Sum uint64
	// Records counts adapters and profiles.
	Records int

	buckets [Buckets]*bucket
	few     *few
}

// bucket holds adapters and profiles of one hash, each ordered by name.
type bucket struct {
	sum      uint64
	adapters []adapterRec
	profiles []profileRec
}

// few holds the short lists, each ordered by name.
type few struct {
	sum       uint64
	customers []magno.Customer
	pools     []magno.Pool
	drained   []string
	rosters   []magno.Roster
}

func adapterName(r *adapterRec) string      { return r.name }
func profileName(r *profileRec) string      { return r.name }
func customerName(r *magno.Customer) string { return r.Name }
func poolName(r *magno.Pool) string         { return r.Name }
func drainedName(r *string) string          { return *r }

// NewSnapshot returns a version of cfg, whose names are unique.
func NewSnapshot(cfg *magno.Config) *Snapshot {
	return Empty().WithChanges(cfg.Version, cfg, check.Removed{})
}

// Empty returns a version without records, to build others on.
func Empty() *Snapshot {
	s := &Snapshot{few: &few{}}
	none := &bucket{}
	for i := range s.buckets {
		s.buckets[i] = none
	}
	return s
}

// bucketOf returns the number of the group that name is in.
func bucketOf(name string) int { return int(xxhash.Sum64String(name) % Buckets) }

// change is what happens to one bucket.
type change struct {
	adapters     []adapterRec
	profiles     []profileRec
	goneAdapters []string
	goneProfiles []string
}

// With returns the next version: set put in and gone taken out. set.Rosters,
// when not nil, replaces the whole list.
func (s *Snapshot) WithChanges(version int64, set *magno.Config, gone check.Removed) *Snapshot {
	next := *s
	next.Version = version
	for i, c := range group(set, gone) {
		next.put(i, c)
	}
	if len(set.Customers)+len(set.Pools)+len(set.Drained)+len(gone.Customers)+len(gone.Pools)+len(gone.Drained) == 0 &&
		set.Rosters == nil && !gone.Rosters {
		return &next
	}
	f := few{
		customers: merge(s.few.customers, set.Customers, gone.Customers, customerName),
		pools:     merge(s.few.pools, set.Pools, gone.Pools, poolName),
		drained:   merge(s.few.drained, set.Drained, gone.Drained, drainedName),
		rosters:   s.few.rosters,
	}
	if set.Rosters != nil || gone.Rosters {
		f.rosters = set.Rosters
	}
	next.swap(&f)
	return &next
}

// swap replaces the short lists.
func (s *Snapshot) swap(f *few) {
	var h hasher
	f.sum = h.few(f)
	s.Sum += f.sum - s.few.sum
	s.few = f
}

// put replaces bucket i by one with c made to it.
func (s *Snapshot) put(i int, c *change) {
	old := s.buckets[i]
	b := &bucket{
		adapters: merge(old.adapters, c.adapters, c.goneAdapters, adapterName),
		profiles: merge(old.profiles, c.profiles, c.goneProfiles, profileName),
	}
	var h hasher
	for k := range b.adapters {
		b.sum += h.adapter(&b.adapters[k])
	}
	for k := range b.profiles {
		b.sum += h.profile(&b.profiles[k])
	}
	s.Sum += b.sum - old.sum
	s.Records += len(b.adapters) + len(b.profiles) - len(old.adapters) - len(old.profiles)
	s.buckets[i] = b
}

// group sorts changed adapters and profiles by bucket.
func group(set *magno.Config, gone check.Removed) map[int]*change {
	changes := map[int]*change{}
	at := func(name string) *change {
		i := bucketOf(name)
		if changes[i] == nil {
			changes[i] = &change{}
		}
		return changes[i]
	}
	for i := range set.Adapters {
		c := at(set.Adapters[i].Name)
		c.adapters = append(c.adapters, packAdapter(&set.Adapters[i]))
	}
	for i := range set.Profiles {
		c := at(set.Profiles[i].Name)
		c.profiles = append(c.profiles, packProfile(&set.Profiles[i]))
	}
	for _, name := range gone.Adapters {
		at(name).goneAdapters = append(at(name).goneAdapters, name)
	}
	for _, name := range gone.Profiles {
		at(name).goneProfiles = append(at(name).goneProfiles, name)
	}
	return changes
}

// Profile finds a profile by name.
func (s *Snapshot) Profile(name string) (magno.Profile, bool) {
	r, ok := lookup(s.buckets[bucketOf(name)].profiles, name, profileName)
	if !ok {
		return magno.Profile{}, false
	}
	return r.unpack(), true
}

// Adapter finds an adapter by name.
func (s *Snapshot) Adapter(name string) (magno.Adapter, bool) {
	r, ok := lookup(s.buckets[bucketOf(name)].adapters, name, adapterName)
	if !ok {
		return magno.Adapter{}, false
	}
	return r.unpack(), true
}

// HasAdapter is true when s holds exactly this record.
func (s *Snapshot) HasAdapter(a *magno.Adapter) bool {
	r, ok := lookup(s.buckets[bucketOf(a.Name)].adapters, a.Name, adapterName)
	return ok && *r == packAdapter(a)
}

// HasProfile is true when s holds exactly this record.
func (s *Snapshot) HasProfile(p *magno.Profile) bool {
	r, ok := lookup(s.buckets[bucketOf(p.Name)].profiles, p.Name, profileName)
	return ok && *r == packProfile(p)
}

// Known is true when ref names a version that isn't retired.
func (s *Snapshot) HasVersion(ref magno.Ref) bool {
	r, ok := lookup(s.buckets[bucketOf(ref.Adapter)].adapters, ref.Adapter, adapterName)
	return ok && holds(r.versions, ref.Version)
}

// Retired is true when ref names a version that operators retired. A version
// that this process has not heard of isn't retired: it may be new.
func (s *Snapshot) Retired(ref magno.Ref) bool {
	r, ok := lookup(s.buckets[bucketOf(ref.Adapter)].adapters, ref.Adapter, adapterName)
	return ok && holds(r.retired, ref.Version)
}

// holds looks for a version in a joined list.
func holds(joined, version string) bool {
	for v := range strings.SplitSeq(joined, versionSep) {
		if v == version && v != "" {
			return true
		}
	}
	return false
}

// Customer finds a customer by name.
func (s *Snapshot) Customer(name string) (magno.Customer, bool) {
	return copied(lookup(s.few.customers, name, customerName))
}

// Pool finds a pool by name.
func (s *Snapshot) Pool(name string) (magno.Pool, bool) {
	return copied(lookup(s.few.pools, name, poolName))
}

// Drained is true when the instance takes no new work.
func (s *Snapshot) Drained(instance string) bool {
	_, ok := lookup(s.few.drained, instance, drainedName)
	return ok
}

func copied[T any](r *T, ok bool) (T, bool) {
	if !ok {
		var none T
		return none, false
	}
	return *r, true
}

// Customers lists every customer in order of name; like the lists below, it
// must not be changed.
func (s *Snapshot) Customers() []magno.Customer { return s.few.customers }

// Pools lists every pool in order of name.
func (s *Snapshot) Pools() []magno.Pool { return s.few.pools }

// Rosters lists the rosters as published.
func (s *Snapshot) Rosters() []magno.Roster { return s.few.rosters }

// EachProfile visits every profile until visit returns false.
func (s *Snapshot) EachProfile(visit func(magno.Profile) bool) {
	for _, b := range s.buckets {
		for i := range b.profiles {
			if !visit(b.profiles[i].unpack()) {
				return
			}
		}
	}
}

// Config returns the whole version as plain data; it is large.
func (s *Snapshot) Config() *magno.Config {
	cfg := s.Bucket(SmallListsBucket)
	cfg.Version = s.Version
	for i := range Buckets {
		check.Append(cfg, s.Bucket(i))
	}
	return cfg
}

// Bucket returns the records of one group, SmallListsBucket included.
func (s *Snapshot) Bucket(i int) *magno.Config {
	if i == SmallListsBucket {
		return &magno.Config{Customers: s.few.customers, Pools: s.few.pools, Drained: s.few.drained, Rosters: s.few.rosters}
	}
	b := s.buckets[i]
	cfg := &magno.Config{Adapters: make([]magno.Adapter, len(b.adapters)), Profiles: make([]magno.Profile, len(b.profiles))}
	for k := range b.adapters {
		cfg.Adapters[k] = b.adapters[k].unpack()
	}
	for k := range b.profiles {
		cfg.Profiles[k] = b.profiles[k].unpack()
	}
	return cfg
}

// Replace returns the version with group i holding exactly cfg, whose names are
// unique; records of other groups are left out.
func (s *Snapshot) WithBucket(i int, cfg *magno.Config) *Snapshot {
	next := *s
	if i == SmallListsBucket {
		next.swap(&few{customers: cfg.Customers, pools: cfg.Pools, drained: cfg.Drained, rosters: cfg.Rosters})
		return &next
	}
	next.Sum -= s.buckets[i].sum
	next.Records -= len(s.buckets[i].adapters) + len(s.buckets[i].profiles)
	next.buckets[i] = &bucket{}
	c := &change{}
	for k := range cfg.Adapters {
		if bucketOf(cfg.Adapters[k].Name) == i {
			c.adapters = append(c.adapters, packAdapter(&cfg.Adapters[k]))
		}
	}
	for k := range cfg.Profiles {
		if bucketOf(cfg.Profiles[k].Name) == i {
			c.profiles = append(c.profiles, packProfile(&cfg.Profiles[k]))
		}
	}
	next.put(i, c)
	return &next
}

// WithVersion returns the same content under another number.
func (s *Snapshot) WithVersion(version int64) *Snapshot {
	next := *s
	next.Version = version
	return &next
}

// BucketSums returns the sum of each group, SmallListsBucket last.
func (s *Snapshot) BucketSums() []uint64 {
	sums := make([]uint64, Buckets+1)
	for i, b := range s.buckets {
		sums[i] = b.sum
	}
	sums[SmallListsBucket] = s.few.sum
	return sums
}
