package watch

import (
	"context"
	"fmt"

	"magnoliastall.example/magno"
	"magnoliastall.example/magno/check"
	"magnoliastall.example/magno/config"
	"magnoliastall.example/magno/pack"
	"magnoliastall.example/magno/setup"
)

// shard holds what a reader remembers of one shard: its checksum, and the names of its
// records, from which removed records are found.
type shard struct {
	sum     string
	names   check.Removed
	rosters []magno.Roster
}

// versionBuilder builds a version from the previous one and the changed shards.
type versionBuilder struct {
	reader *Reader
	// oldNames holds the names that the changed and removed shards had, currentNames
	// those that the changed shards have now.
	oldNames, currentNames nameSets
	// next is the version built so far; pending is added to it on the next flush.
	next       *config.Snapshot
	pending    magno.Config
	version    int64
	shards     map[string]shard
	shardTexts []check.Shard
	textBytes  int
	faults     []*setup.Error
}

// nameSets holds a set of names for each list.
type nameSets struct {
	customers, pools, adapters, profiles, drained map[string]bool
}

func newNameSets() nameSets {
	return nameSets{map[string]bool{}, map[string]bool{}, map[string]bool{}, map[string]bool{}, map[string]bool{}}
}

func (n nameSets) add(g check.Removed) {
	addAll(n.customers, g.Customers)
	addAll(n.pools, g.Pools)
	addAll(n.adapters, g.Adapters)
	addAll(n.profiles, g.Profiles)
	addAll(n.drained, g.Drained)
}

func addAll(set map[string]bool, list []string) {
	for _, name := range list {
		set[name] = true
	}
}

// minus returns the names in n that are not in other.
func (n nameSets) minus(other nameSets) check.Removed {
	return check.Removed{
		Customers: setDifference(n.customers, other.customers), Pools: setDifference(n.pools, other.pools),
		Adapters: setDifference(n.adapters, other.adapters), Profiles: setDifference(n.profiles, other.profiles),
		Drained: setDifference(n.drained, other.drained),
	}
}

func setDifference(a, b map[string]bool) []string {
	var out []string
	for name := range a {
		if !b[name] {
			out = append(out, name)
		}
	}
	return out
}

// buildVersion reads the changed shards of the index and builds its version.
func (r *Reader) buildVersion(ctx context.Context, index *pack.Index) (*versionBuilder, error) {
	b := &versionBuilder{reader: r, oldNames: newNameSets(), currentNames: newNameSets(), next: r.base, version: index.Version, shards: map[string]shard{}}
	var changed []pack.Shard
	for _, s := range index.Shards {
		if known, ok := r.shards[s.Name]; ok && known.sum == s.Sum {
			b.shards[s.Name] = known
			continue
		}
		changed = append(changed, s)
	}
	for name, s := range r.shards {
		if _, kept := b.shards[name]; !kept {
			b.oldNames.add(s.names)
		}
	}
	for len(changed) > 0 {
		n := min(maxParallelReads, len(changed))
		texts, err := r.fetchShards(ctx, changed[:n])
		if err != nil {
			return nil, err
		}
		for i, text := range texts {
			b.addShard(changed[i], text)
		}
		changed = changed[n:]
	}
	b.finish(index)
	return b, nil
}

// fetchShards reads shards in parallel and verifies their checksums.
func (r *Reader) fetchShards(ctx context.Context, shards []pack.Shard) ([]check.Shard, error) {
	texts := make([]check.Shard, len(shards))
	errs := make(chan error, len(shards))
	for i, s := range shards {
		go func() {
			var err error
			texts[i], err = r.fetchShard(ctx, s)
			errs <- err
		}()
	}
	var first error
	for range shards {
		if err := <-errs; err != nil && first == nil {
			first = err
		}
	}
	return texts, first
}

func (r *Reader) fetchShard(ctx context.Context, s pack.Shard) (check.Shard, error) {
	data, _, err := r.get(ctx, "/v1/value/"+s.Key())
	if err != nil {
		return check.Shard{}, err
	}
	if sum := pack.Checksum(data); sum != s.Sum {
		return check.Shard{}, fmt.Errorf("shard %s has sum %s, the index has %s", s.Name, sum, s.Sum)
	}
	text, err := pack.Decompress(data, check.MaxShardBytes)
	return check.Shard{Name: s.Name, Text: text}, err
}

// addShard adds the records of a changed shard.
func (b *versionBuilder) addShard(s pack.Shard, text check.Shard) {
	cfg, fault := b.reader.Store.Parse(text)
	if fault != nil {
		b.faults = append(b.faults, fault)
		return
	}
	b.textBytes += len(text.Text)
	b.shardTexts = appendText(b.shardTexts, b.textBytes, text)
	names := recordNames(&cfg)
	b.findDuplicates(s.Name, names)
	b.currentNames.add(names)
	b.shards[s.Name] = shard{sum: s.Sum, names: names, rosters: cfg.Rosters}
	b.addChanged(&cfg)
	if len(b.pending.Adapters)+len(b.pending.Profiles) > flushRecords {
		b.flush()
	}
}

func recordNames(cfg *magno.Config) check.Removed {
	var g check.Removed
	for i := range cfg.Customers {
		g.Customers = append(g.Customers, cfg.Customers[i].Name)
	}
	for i := range cfg.Pools {
		g.Pools = append(g.Pools, cfg.Pools[i].Name)
	}
	for i := range cfg.Adapters {
		g.Adapters = append(g.Adapters, cfg.Adapters[i].Name)
	}
	for i := range cfg.Profiles {
		g.Profiles = append(g.Profiles, cfg.Profiles[i].Name)
	}
	g.Drained = append(g.Drained, cfg.Drained...)
	return g
}

// findDuplicates reports names that another shard holds as well. With two records of one
// name, the one that was read last would win, which can differ between processes.
func (b *versionBuilder) findDuplicates(file string, names check.Removed) {
	base := b.reader.base
	b.findDuplicatesIn(file, "customers", names.Customers, b.oldNames.customers, b.currentNames.customers, func(n string) bool {
		_, ok := base.Customer(n)
		return ok
	})
	b.findDuplicatesIn(file, "pools", names.Pools, b.oldNames.pools, b.currentNames.pools, func(n string) bool {
		_, ok := base.Pool(n)
		return ok
	})
	b.findDuplicatesIn(file, "adapters", names.Adapters, b.oldNames.adapters, b.currentNames.adapters, func(n string) bool {
		_, ok := base.Adapter(n)
		return ok
	})
	b.findDuplicatesIn(file, "profiles", names.Profiles, b.oldNames.profiles, b.currentNames.profiles, func(n string) bool {
		_, ok := base.Profile(n)
		return ok
	})
	b.findDuplicatesIn(file, "drained", names.Drained, b.oldNames.drained, b.currentNames.drained, base.Drained)
}

func (b *versionBuilder) findDuplicatesIn(file, list string, names []string, oldNames, currentNames map[string]bool, inBase func(string) bool) {
	inShard := make(map[string]bool, len(names))
	for _, name := range names {
		if currentNames[name] || inShard[name] || (!oldNames[name] && inBase(name)) {
			b.faults = append(b.faults, &setup.Error{File: file, Line: 1, Key: list + "[" + name + "].name",
				Message: "duplicate name in the configuration"})
		}
		inShard[name] = true
	}
}

// addChanged adds the records that differ from the previous version to pending.
func (b *versionBuilder) addChanged(cfg *magno.Config) {
	base := b.reader.base
	b.pending.Customers = append(b.pending.Customers, cfg.Customers...)
	b.pending.Pools = append(b.pending.Pools, cfg.Pools...)
	b.pending.Drained = append(b.pending.Drained, cfg.Drained...)
	for i := range cfg.Adapters {
		if !base.HasAdapter(&cfg.Adapters[i]) {
			b.pending.Adapters = append(b.pending.Adapters, cfg.Adapters[i])
		}
	}
	for i := range cfg.Profiles {
		if !base.HasProfile(&cfg.Profiles[i]) {
			b.pending.Profiles = append(b.pending.Profiles, cfg.Profiles[i])
		}
	}
}

func (b *versionBuilder) flush() {
	b.next = b.next.WithChanges(b.version, &b.pending, check.Removed{})
	b.pending = magno.Config{}
}

// finish removes the records that no shard holds any more.
func (b *versionBuilder) finish(index *pack.Index) {
	removed := b.oldNames.minus(b.currentNames)
	for _, s := range index.Shards {
		b.pending.Rosters = append(b.pending.Rosters, b.shards[s.Name].rosters...)
	}
	removed.Rosters = len(b.pending.Rosters) == 0
	b.next = b.next.WithChanges(b.version, &b.pending, removed)
}
