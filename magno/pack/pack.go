// Package pack splits a configuration into the values that operators publish: shards,
// each small enough for the platform's service, and an index that lists them. The index
// is published last, so a reader never sees a version whose shards are not there yet.
package pack

import (
	"encoding/json"
	"fmt"
	"sort"

	"github.com/cespare/xxhash/v2"

	"magnoliastall.example/magno"
)

// recordsPerShard keeps a shard near 20 kB: a change rewrites one shard, and each
// reader fetches it whole.
const recordsPerShard = 256

// IndexKey is the key of the index.
const IndexKey = "index"

// Shard is an entry of the index.
type Shard struct {
	Name string `json:"name"`
	Sum  string `json:"sum"`
}

// Key returns the key under which the shard's data is published.
func (s Shard) Key() string { return "shard/" + s.Name + "/" + s.Sum }

// Index is the value of IndexKey.
type Index struct {
	Version int64   `json:"version"`
	Shards  []Shard `json:"shards"`
}

// Value is a key and the data to publish under it.
type Value struct {
	Key  string
	Data []byte
}

// Pack returns the values of cfg in the order in which they are to be published. The
// same configuration always gives the same values.
func Pack(cfg magno.Config) ([]Value, error) {
	parts := map[string]*magno.Config{"core": {
		Customers: cfg.Customers, Pools: cfg.Pools, Drained: cfg.Drained, Rosters: cfg.Rosters,
	}}
	partOf := func(kind string, n int, name string) *magno.Config {
		shards := uint64(n/recordsPerShard + 1)
		key := fmt.Sprintf("%s/%d", kind, xxhash.Sum64String(name)%shards)
		if parts[key] == nil {
			parts[key] = &magno.Config{}
		}
		return parts[key]
	}
	for _, a := range cfg.Adapters {
		p := partOf("adapters", len(cfg.Adapters), a.Name)
		p.Adapters = append(p.Adapters, a)
	}
	for _, f := range cfg.Profiles {
		p := partOf("profiles", len(cfg.Profiles), f.Name)
		p.Profiles = append(p.Profiles, f)
	}
	return encode(cfg.Version, parts)
}

func encode(version int64, parts map[string]*magno.Config) ([]Value, error) {
	names := make([]string, 0, len(parts))
	for name := range parts {
		names = append(names, name)
	}
	sort.Strings(names)
	index := Index{Version: version}
	out := make([]Value, 0, len(parts)+1)
	for _, name := range names {
		data, err := json.Marshal(parts[name])
		if err != nil {
			return nil, err
		}
		if data, err = compress(data); err != nil {
			return nil, err
		}
		shard := Shard{Name: name, Sum: Checksum(data)}
		index.Shards = append(index.Shards, shard)
		out = append(out, Value{Key: shard.Key(), Data: data})
	}
	data, err := json.Marshal(index)
	if err != nil {
		return nil, err
	}
	if data, err = compress(data); err != nil {
		return nil, err
	}
	return append(out, Value{Key: IndexKey, Data: data}), nil
}

// Checksum returns the hash of a shard's data in the form that the index states.
func Checksum(data []byte) string { return fmt.Sprintf("%016x", xxhash.Sum64(data)) }
