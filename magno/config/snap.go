package config

import (
	"strings"

	"github.com/cespare/xxhash/v2"

	"magnoliastall.example/magno"
	"magnoliastall.example/magno/check"
)

// Buckets is the number of buckets into which adapters and profiles are divided, by a
// hash of the name. With 130,000 of each a bucket has about 254 records: a change copies
// one bucket (about 14 KB), where a single flat list would copy 15 MB, and two processes
// find their differences by comparing 8 KB of checksums.
const Buckets = 1024

// SmallListsBucket is the index of the bucket with all other records.
const SmallListsBucket = Buckets

// Snapshot is one version. It is immutable and shares unchanged data with the version
// that it was made from.
type Snapshot struct {
	// Version is positive in an active version.
	Version int64
	// Sum is a checksum of the content, regardless of the version.
	Sum uint64
	// Records is the number of adapters and profiles.
	Records int

	buckets [Buckets]*bucket
	lists   *smallLists
}

// bucket holds the adapters and profiles with one hash, both sorted by name.
type bucket struct {
	sum      uint64
	adapters []packedAdapter
	profiles []packedProfile
}

// smallLists holds the small lists, sorted by name except for the rosters.
type smallLists struct {
	sum       uint64
	customers []magno.Customer
	pools     []magno.Pool
	drained   []string
	rosters   []magno.Roster
}

func adapterName(r *packedAdapter) string   { return r.name }
func profileName(r *packedProfile) string   { return r.name }
func customerName(r *magno.Customer) string { return r.Name }
func poolName(r *magno.Pool) string         { return r.Name }
func drainedName(r *string) string          { return *r }

// NewSnapshot returns a snapshot of cfg, whose names must be unique.
func NewSnapshot(cfg *magno.Config) *Snapshot {
	return Empty().WithChanges(cfg.Version, cfg, check.Removed{})
}

// Empty returns a snapshot without records, from which others can be made.
func Empty() *Snapshot {
	s := &Snapshot{lists: &smallLists{}}
	none := &bucket{}
	for i := range s.buckets {
		s.buckets[i] = none
	}
	return s
}

// bucketOf returns the index of the bucket for a name.
func bucketOf(name string) int { return int(xxhash.Sum64String(name) % Buckets) }

// bucketChange holds the changes to one bucket.
type bucketChange struct {
	adapters        []packedAdapter
	profiles        []packedProfile
	removedAdapters []string
	removedProfiles []string
}

// WithChanges returns the next version, with the records of set added or replaced and the
// removed ones left out. set.Rosters, if not nil, replaces the whole list.
func (s *Snapshot) WithChanges(version int64, set *magno.Config, removed check.Removed) *Snapshot {
	next := *s
	next.Version = version
	for i, c := range changesByBucket(set, removed) {
		next.changeBucket(i, c)
	}
	if len(set.Customers)+len(set.Pools)+len(set.Drained)+len(removed.Customers)+len(removed.Pools)+len(removed.Drained) == 0 &&
		set.Rosters == nil && !removed.Rosters {
		return &next
	}
	l := smallLists{
		customers: merge(s.lists.customers, set.Customers, removed.Customers, customerName),
		pools:     merge(s.lists.pools, set.Pools, removed.Pools, poolName),
		drained:   merge(s.lists.drained, set.Drained, removed.Drained, drainedName),
		rosters:   s.lists.rosters,
	}
	if set.Rosters != nil || removed.Rosters {
		l.rosters = set.Rosters
	}
	next.replaceLists(&l)
	return &next
}

// replaceLists replaces the small lists.
func (s *Snapshot) replaceLists(l *smallLists) {
	var h hasher
	l.sum = h.smallLists(l)
	s.Sum += l.sum - s.lists.sum
	s.lists = l
}

// changeBucket replaces bucket i with a changed copy.
func (s *Snapshot) changeBucket(i int, c *bucketChange) {
	old := s.buckets[i]
	b := &bucket{
		adapters: merge(old.adapters, c.adapters, c.removedAdapters, adapterName),
		profiles: merge(old.profiles, c.profiles, c.removedProfiles, profileName),
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

// changesByBucket groups changed adapters and profiles by bucket.
func changesByBucket(set *magno.Config, removed check.Removed) map[int]*bucketChange {
	changes := map[int]*bucketChange{}
	at := func(name string) *bucketChange {
		i := bucketOf(name)
		if changes[i] == nil {
			changes[i] = &bucketChange{}
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
	for _, name := range removed.Adapters {
		at(name).removedAdapters = append(at(name).removedAdapters, name)
	}
	for _, name := range removed.Profiles {
		at(name).removedProfiles = append(at(name).removedProfiles, name)
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

// HasAdapter reports whether s holds exactly this record.
func (s *Snapshot) HasAdapter(a *magno.Adapter) bool {
	r, ok := lookup(s.buckets[bucketOf(a.Name)].adapters, a.Name, adapterName)
	return ok && *r == packAdapter(a)
}

// HasProfile reports whether s holds exactly this record.
func (s *Snapshot) HasProfile(p *magno.Profile) bool {
	r, ok := lookup(s.buckets[bucketOf(p.Name)].profiles, p.Name, profileName)
	return ok && *r == packProfile(p)
}

// HasVersion reports whether the adapter has this version and it isn't retired.
func (s *Snapshot) HasVersion(ref magno.Ref) bool {
	r, ok := lookup(s.buckets[bucketOf(ref.Adapter)].adapters, ref.Adapter, adapterName)
	return ok && containsVersion(r.versions, ref.Version)
}

// Retired reports whether operators retired this version of the adapter. A version that
// this process doesn't know isn't retired: it may be new.
func (s *Snapshot) Retired(ref magno.Ref) bool {
	r, ok := lookup(s.buckets[bucketOf(ref.Adapter)].adapters, ref.Adapter, adapterName)
	return ok && containsVersion(r.retired, ref.Version)
}

// containsVersion reports whether a joined list contains a version.
func containsVersion(joined, version string) bool {
	for v := range strings.SplitSeq(joined, versionSep) {
		if v == version && v != "" {
			return true
		}
	}
	return false
}

// Customer finds a customer by name.
func (s *Snapshot) Customer(name string) (magno.Customer, bool) {
	return deref(lookup(s.lists.customers, name, customerName))
}

// Pool finds a pool by name.
func (s *Snapshot) Pool(name string) (magno.Pool, bool) {
	return deref(lookup(s.lists.pools, name, poolName))
}

// Drained reports whether the instance takes no new work.
func (s *Snapshot) Drained(instance string) bool {
	_, ok := lookup(s.lists.drained, instance, drainedName)
	return ok
}

func deref[T any](r *T, ok bool) (T, bool) {
	if !ok {
		var none T
		return none, false
	}
	return *r, true
}

// Customers returns all customers sorted by name. This list, and those returned by the
// methods below, must not be modified.
func (s *Snapshot) Customers() []magno.Customer { return s.lists.customers }

// Pools returns all pools sorted by name.
func (s *Snapshot) Pools() []magno.Pool { return s.lists.pools }

// Rosters returns the rosters in the published order.
func (s *Snapshot) Rosters() []magno.Roster { return s.lists.rosters }

// EachProfile calls visit for each profile until it returns false.
func (s *Snapshot) EachProfile(visit func(magno.Profile) bool) {
	for _, b := range s.buckets {
		for i := range b.profiles {
			if !visit(b.profiles[i].unpack()) {
				return
			}
		}
	}
}

// Config returns the whole version unpacked, which takes much memory.
func (s *Snapshot) Config() *magno.Config {
	cfg := s.Bucket(SmallListsBucket)
	cfg.Version = s.Version
	for i := range Buckets {
		check.Append(cfg, s.Bucket(i))
	}
	return cfg
}

// Bucket returns the records of one bucket, which may be SmallListsBucket.
func (s *Snapshot) Bucket(i int) *magno.Config {
	if i == SmallListsBucket {
		return &magno.Config{Customers: s.lists.customers, Pools: s.lists.pools, Drained: s.lists.drained, Rosters: s.lists.rosters}
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

// WithBucket returns a copy in which bucket i holds exactly the records of cfg, whose
// names must be unique. Records that belong to other buckets are ignored.
func (s *Snapshot) WithBucket(i int, cfg *magno.Config) *Snapshot {
	next := *s
	if i == SmallListsBucket {
		next.replaceLists(&smallLists{customers: cfg.Customers, pools: cfg.Pools, drained: cfg.Drained, rosters: cfg.Rosters})
		return &next
	}
	next.Sum -= s.buckets[i].sum
	next.Records -= len(s.buckets[i].adapters) + len(s.buckets[i].profiles)
	next.buckets[i] = &bucket{}
	c := &bucketChange{}
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
	next.changeBucket(i, c)
	return &next
}

// WithVersion returns the same content under another version number.
func (s *Snapshot) WithVersion(version int64) *Snapshot {
	next := *s
	next.Version = version
	return &next
}

// BucketSums returns the checksum of each bucket, that of SmallListsBucket last.
func (s *Snapshot) BucketSums() []uint64 {
	sums := make([]uint64, Buckets+1)
	for i, b := range s.buckets {
		sums[i] = b.sum
	}
	sums[SmallListsBucket] = s.lists.sum
	return sums
}
