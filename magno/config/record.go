package config

import (
	"encoding/binary"
	"encoding/json"
	"math"
	"slices"
	"strings"
	"unique"

	"github.com/cespare/xxhash/v2"

	"magnoliastall.example/magno"
)

// versionSep separates the versions of an adapter; check allows no name that contains it.
const versionSep = "\n"

// packedAdapter is an adapter in 56 bytes plus its strings. The names of base models are
// interned, because all adapters share a few of them.
type packedAdapter struct {
	name string
	base unique.Handle[string]
	// versions and retired are joined with versionSep.
	versions, retired string
}

// packedProfile is a profile in 56 bytes plus its strings.
type packedProfile struct {
	name, adapter, version string
	attributes             unique.Handle[profileAttributes]
}

// profileAttributes holds the attributes that many profiles have in common; equal ones
// are stored once.
type profileAttributes struct {
	customer, pool string
	urgency        int
	repeat         bool
	deadline       magno.Millis
	stall          float64
	retired        bool
}

func packAdapter(a *magno.Adapter) packedAdapter {
	return packedAdapter{
		name: a.Name, base: unique.Make(a.Base),
		versions: strings.Join(a.Versions, versionSep), retired: strings.Join(a.Retired, versionSep),
	}
}

func (r *packedAdapter) unpack() magno.Adapter {
	return magno.Adapter{Name: r.name, Base: r.base.Value(), Versions: split(r.versions), Retired: split(r.retired)}
}

func split(joined string) []string {
	if joined == "" {
		return nil
	}
	return strings.Split(joined, versionSep)
}

func packProfile(p *magno.Profile) packedProfile {
	return packedProfile{
		name: p.Name, adapter: p.Adapter, version: p.Version,
		attributes: unique.Make(profileAttributes{
			customer: p.Customer, pool: p.Pool, urgency: p.Urgency, repeat: p.Idempotent,
			deadline: p.Deadline, stall: p.Stall, retired: p.Retired,
		}),
	}
}

func (r *packedProfile) unpack() magno.Profile {
	s := r.attributes.Value()
	return magno.Profile{
		Name: r.name, Customer: s.customer, Pool: s.pool, Adapter: r.adapter, Version: r.version,
		Urgency: s.urgency, Idempotent: s.repeat, Deadline: s.deadline, Stall: s.stall, Retired: s.retired,
	}
}

// hasher computes checksums of records in an unambiguous encoding.
type hasher struct{ buf []byte }

func (h *hasher) writeStrings(values ...string) {
	for _, v := range values {
		h.buf = binary.AppendUvarint(h.buf, uint64(len(v)))
		h.buf = append(h.buf, v...)
	}
}

func (h *hasher) writeUints(values ...uint64) {
	for _, v := range values {
		h.buf = binary.AppendUvarint(h.buf, v)
	}
}

// sumAndReset returns the checksum and clears the buffer.
func (h *hasher) sumAndReset() uint64 {
	sum := xxhash.Sum64(h.buf)
	h.buf = h.buf[:0]
	return sum
}

func boolToUint(b bool) uint64 {
	if b {
		return 1
	}
	return 0
}

func (h *hasher) adapter(r *packedAdapter) uint64 {
	h.writeStrings("a", r.name, r.base.Value(), r.versions, r.retired)
	return h.sumAndReset()
}

func (h *hasher) profile(r *packedProfile) uint64 {
	s := r.attributes.Value()
	h.writeStrings("p", r.name, r.adapter, r.version, s.customer, s.pool)
	h.writeUints(uint64(s.urgency), uint64(s.deadline), math.Float64bits(s.stall), boolToUint(s.repeat), boolToUint(s.retired))
	return h.sumAndReset()
}

// smallLists returns the sum over the small lists. They are hashed as JSON, because they
// rarely change and new fields are then included automatically.
func (h *hasher) smallLists(l *smallLists) uint64 {
	var sum uint64
	add := func(kind string, record any) {
		text, _ := json.Marshal(record) //nolint:errchkjson // plain data
		h.writeStrings(kind, string(text))
		sum += h.sumAndReset()
	}
	for _, b := range l.customers {
		add("b", b)
	}
	for _, p := range l.pools {
		add("l", p)
	}
	for _, d := range l.drained {
		add("d", d)
	}
	if len(l.rosters) > 0 {
		add("r", l.rosters)
	}
	return sum
}

// merge returns old without the removed names and with the records of set, ordered by
// name. old is not modified.
func merge[T any](old, set []T, removed []string, name func(*T) string) []T {
	if len(set) == 0 && len(removed) == 0 {
		return old
	}
	byName := func(a, b T) int { return strings.Compare(name(&a), name(&b)) }
	set = slices.Clone(set)
	slices.SortFunc(set, byName)
	drop := make(map[string]bool, len(removed))
	for _, g := range removed {
		drop[g] = true
	}
	out := make([]T, 0, len(old)+len(set))
	next := 0
	for i := range old {
		n := name(&old[i])
		for next < len(set) && name(&set[next]) < n {
			out = append(out, set[next])
			next++
		}
		replaced := next < len(set) && name(&set[next]) == n
		if !replaced && !drop[n] {
			out = append(out, old[i])
		}
	}
	return slices.Clip(append(out, set[next:]...))
}

// lookup finds a record by name in a sorted list.
func lookup[T any](list []T, want string, name func(*T) string) (*T, bool) {
	i, ok := slices.BinarySearchFunc(list, want, func(r T, w string) int { return strings.Compare(name(&r), w) })
	if !ok {
		return nil, false
	}
	return &list[i], true
}

// diffSorted calls set for records of next that are new or changed, and removed for names
// that only old has. Both lists are sorted by name.
func diffSorted[T any](old, next []T, name func(*T) string, same func(a, b *T) bool, set func(*T), removed func(string)) {
	i, k := 0, 0
	for i < len(old) || k < len(next) {
		switch {
		case k == len(next) || (i < len(old) && name(&old[i]) < name(&next[k])):
			removed(name(&old[i]))
			i++
		case i == len(old) || name(&next[k]) < name(&old[i]):
			set(&next[k])
			k++
		default:
			if !same(&old[i], &next[k]) {
				set(&next[k])
			}
			i++
			k++
		}
	}
}
