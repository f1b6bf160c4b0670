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

// versionSep joins versions of an adapter; check lets no name hold it.
const versionSep = "\n"

// adapterRec is an adapter in 56 bytes and its texts. Few base models are
// shared by all, so each is held once.
type adapterRec struct {
	name string
	base unique.Handle[string]
	// versions and retired are joined by versionSep.
	versions, retired string
}

// profileRec is a profile in 56 bytes and its texts.
type profileRec struct {
	name, adapter, version string
	shape                  unique.Handle[shape]
}

// shape is what many profiles have in common; each is held once.
type shape struct {
	customer, pool string
	urgency        int
	repeat         bool
	deadline       magno.Millis
	stall          float64
	retired        bool
}

func packAdapter(a *magno.Adapter) adapterRec {
	return adapterRec{
		name: a.Name, base: unique.Make(a.Base),
		versions: strings.Join(a.Versions, versionSep), retired: strings.Join(a.Retired, versionSep),
	}
}

func (r *adapterRec) unpack() magno.Adapter {
	return magno.Adapter{Name: r.name, Base: r.base.Value(), Versions: split(r.versions), Retired: split(r.retired)}
}

func split(joined string) []string {
	if joined == "" {
		return nil
	}
	return strings.Split(joined, versionSep)
}

func packProfile(p *magno.Profile) profileRec {
	return profileRec{
		name: p.Name, adapter: p.Adapter, version: p.Version,
		shape: unique.Make(shape{
			customer: p.Customer, pool: p.Pool, urgency: p.Urgency, repeat: p.Repeat,
			deadline: p.Deadline, stall: p.Stall, retired: p.Retired,
		}),
	}
}

func (r *profileRec) unpack() magno.Profile {
	s := r.shape.Value()
	return magno.Profile{
		Name: r.name, Customer: s.customer, Pool: s.pool, Adapter: r.adapter, Version: r.version,
		Urgency: s.urgency, Repeat: s.repeat, Deadline: s.deadline, Stall: s.stall, Retired: s.retired,
	}
}

// hasher sums records in a form in which no two records look alike.
type hasher struct{ buf []byte }

func (h *hasher) text(values ...string) {
	for _, v := range values {
		h.buf = binary.AppendUvarint(h.buf, uint64(len(v)))
		h.buf = append(h.buf, v...)
	}
}

func (h *hasher) number(values ...uint64) {
	for _, v := range values {
		h.buf = binary.AppendUvarint(h.buf, v)
	}
}

// done returns the sum and starts anew.
func (h *hasher) done() uint64 {
	sum := xxhash.Sum64(h.buf)
	h.buf = h.buf[:0]
	return sum
}

func bit(b bool) uint64 {
	if b {
		return 1
	}
	return 0
}

func (h *hasher) adapter(r *adapterRec) uint64 {
	h.text("a", r.name, r.base.Value(), r.versions, r.retired)
	return h.done()
}

func (h *hasher) profile(r *profileRec) uint64 {
	s := r.shape.Value()
	h.text("p", r.name, r.adapter, r.version, s.customer, s.pool)
	h.number(uint64(s.urgency), uint64(s.deadline), math.Float64bits(s.stall), bit(s.repeat), bit(s.retired))
	return h.done()
}

// few sums the short lists as JSON: they change seldom, and a field that is
// added to them is then never left out.
func (h *hasher) few(f *few) uint64 {
	var sum uint64
	add := func(kind string, record any) {
		text, _ := json.Marshal(record) //nolint:errchkjson // plain data
		h.text(kind, string(text))
		sum += h.done()
	}
	for _, b := range f.customers {
		add("b", b)
	}
	for _, p := range f.pools {
		add("l", p)
	}
	for _, d := range f.drained {
		add("d", d)
	}
	if len(f.rosters) > 0 {
		add("r", f.rosters)
	}
	return sum
}

// merge returns old without the names in gone and with set put in, in order of
// name. old stays as it is.
func merge[T any](old, set []T, gone []string, name func(*T) string) []T {
	if len(set) == 0 && len(gone) == 0 {
		return old
	}
	byName := func(a, b T) int { return strings.Compare(name(&a), name(&b)) }
	set = slices.Clone(set)
	slices.SortFunc(set, byName)
	drop := make(map[string]bool, len(gone))
	for _, g := range gone {
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

// lookup finds a name in an ordered list.
func lookup[T any](list []T, want string, name func(*T) string) (*T, bool) {
	i, ok := slices.BinarySearchFunc(list, want, func(r T, w string) int { return strings.Compare(name(&r), w) })
	if !ok {
		return nil, false
	}
	return &list[i], true
}

// compare calls set for records of next that are new or changed, and gone for
// names that only old has.
func compare[T any](old, next []T, name func(*T) string, same func(a, b *T) bool, set func(*T), gone func(string)) {
	i, k := 0, 0
	for i < len(old) || k < len(next) {
		switch {
		case k == len(next) || (i < len(old) && name(&old[i]) < name(&next[k])):
			gone(name(&old[i]))
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
