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

// shard is what a reader remembers of one value: its sum, and which records
// it held, to tell what a change takes away.
type shard struct {
	sum     string
	names   check.Removed
	rosters []magno.Roster
}

// load is the making of one version from the one before.
type load struct {
	reader *Reader
	// old holds the names that the changed and dropped shards had, seen those
	// that the changed ones have now.
	old, seen names
	// next is the version as far as it is made; pending goes in with the next
	// flush.
	next    *config.Snapshot
	pending magno.Config
	version int64
	shards  map[string]shard
	texts   []check.Shard
	size    int
	faults  []*setup.Fault
}

// names is a set for each list.
type names struct {
	customers, pools, adapters, profiles, drained map[string]bool
}

func newNames() names {
	return names{map[string]bool{}, map[string]bool{}, map[string]bool{}, map[string]bool{}, map[string]bool{}}
}

func (n names) add(g check.Removed) {
	mark(n.customers, g.Customers)
	mark(n.pools, g.Pools)
	mark(n.adapters, g.Adapters)
	mark(n.profiles, g.Profiles)
	mark(n.drained, g.Drained)
}

func mark(set map[string]bool, list []string) {
	for _, name := range list {
		set[name] = true
	}
}

// without lists what n has and other has not.
func (n names) without(other names) check.Removed {
	return check.Removed{
		Customers: minus(n.customers, other.customers), Pools: minus(n.pools, other.pools),
		Adapters: minus(n.adapters, other.adapters), Profiles: minus(n.profiles, other.profiles),
		Drained: minus(n.drained, other.drained),
	}
}

func minus(a, b map[string]bool) []string {
	var out []string
	for name := range a {
		if !b[name] {
			out = append(out, name)
		}
	}
	return out
}

// load reads the shards of index that changed.
func (r *Reader) load(ctx context.Context, index *pack.Index) (*load, error) {
	l := &load{reader: r, old: newNames(), seen: newNames(), next: r.base, version: index.Version, shards: map[string]shard{}}
	var changed []pack.Shard
	for _, s := range index.Shards {
		if known, ok := r.shards[s.Name]; ok && known.sum == s.Sum {
			l.shards[s.Name] = known
			continue
		}
		changed = append(changed, s)
	}
	for name, s := range r.shards {
		if _, kept := l.shards[name]; !kept {
			l.old.add(s.names)
		}
	}
	for len(changed) > 0 {
		n := min(abreast, len(changed))
		texts, err := r.fetch(ctx, changed[:n])
		if err != nil {
			return nil, err
		}
		for i, text := range texts {
			l.add(changed[i], text)
		}
		changed = changed[n:]
	}
	l.finish(index)
	return l, nil
}

// fetch reads a few shards at once and compares their sums.
func (r *Reader) fetch(ctx context.Context, shards []pack.Shard) ([]check.Shard, error) {
	texts := make([]check.Shard, len(shards))
	ends := make(chan error, len(shards))
	for i, s := range shards {
		go func() {
			var err error
			texts[i], err = r.shard(ctx, s)
			ends <- err
		}()
	}
	var first error
	for range shards {
		if err := <-ends; err != nil && first == nil {
			first = err
		}
	}
	return texts, first
}

func (r *Reader) shard(ctx context.Context, s pack.Shard) (check.Shard, error) {
	data, _, err := r.get(ctx, "/v1/value/"+s.Key())
	if err != nil {
		return check.Shard{}, err
	}
	if sum := pack.Checksum(data); sum != s.Sum {
		return check.Shard{}, fmt.Errorf("shard %s has sum %s, the index says %s", s.Name, sum, s.Sum)
	}
	text, err := pack.Decompress(data, check.MaxShardBytes)
	return check.Shard{Name: s.Name, Text: text}, err
}

// add takes the records of one changed shard.
func (l *load) add(s pack.Shard, text check.Shard) {
	cfg, fault := l.reader.Store.Parse(text)
	if fault != nil {
		l.faults = append(l.faults, fault)
		return
	}
	l.size += len(text.Text)
	l.texts = keep(l.texts, l.size, text)
	had := namesOf(&cfg)
	l.doubles(s.Name, had)
	l.seen.add(had)
	l.shards[s.Name] = shard{sum: s.Sum, names: had, rosters: cfg.Rosters}
	l.news(&cfg)
	if len(l.pending.Adapters)+len(l.pending.Profiles) > flushRecords {
		l.flush()
	}
}

func namesOf(cfg *magno.Config) check.Removed {
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

// doubles finds names that another shard holds as well. Two records of one
// name would give whichever was read last, other ones in other processes.
func (l *load) doubles(file string, had check.Removed) {
	base := l.reader.base
	l.double(file, "customers", had.Customers, l.old.customers, l.seen.customers, func(n string) bool {
		_, ok := base.Customer(n)
		return ok
	})
	l.double(file, "pools", had.Pools, l.old.pools, l.seen.pools, func(n string) bool {
		_, ok := base.Pool(n)
		return ok
	})
	l.double(file, "adapters", had.Adapters, l.old.adapters, l.seen.adapters, func(n string) bool {
		_, ok := base.Adapter(n)
		return ok
	})
	l.double(file, "profiles", had.Profiles, l.old.profiles, l.seen.profiles, func(n string) bool {
		_, ok := base.Profile(n)
		return ok
	})
	l.double(file, "drained", had.Drained, l.old.drained, l.seen.drained, base.Drained)
}

func (l *load) double(file, list string, had []string, old, seen map[string]bool, inBase func(string) bool) {
	own := make(map[string]bool, len(had))
	for _, name := range had {
		if seen[name] || own[name] || (!old[name] && inBase(name)) {
			l.faults = append(l.faults, &setup.Fault{File: file, Line: 1, Key: list + "[" + name + "].name",
				What: "stands twice in the configuration"})
		}
		own[name] = true
	}
}

// news puts the records that differ from the version before into pending.
func (l *load) news(cfg *magno.Config) {
	base := l.reader.base
	l.pending.Customers = append(l.pending.Customers, cfg.Customers...)
	l.pending.Pools = append(l.pending.Pools, cfg.Pools...)
	l.pending.Drained = append(l.pending.Drained, cfg.Drained...)
	for i := range cfg.Adapters {
		if !base.HasAdapter(&cfg.Adapters[i]) {
			l.pending.Adapters = append(l.pending.Adapters, cfg.Adapters[i])
		}
	}
	for i := range cfg.Profiles {
		if !base.HasProfile(&cfg.Profiles[i]) {
			l.pending.Profiles = append(l.pending.Profiles, cfg.Profiles[i])
		}
	}
}

func (l *load) flush() {
	l.next = l.next.WithChanges(l.version, &l.pending, check.Removed{})
	l.pending = magno.Config{}
}

// finish takes away what no shard holds any more.
func (l *load) finish(index *pack.Index) {
	gone := l.old.without(l.seen)
	for _, s := range index.Shards {
		l.pending.Rosters = append(l.pending.Rosters, l.shards[s.Name].rosters...)
	}
	gone.Rosters = len(l.pending.Rosters) == 0
	l.next = l.next.WithChanges(l.version, &l.pending, gone)
}
