package gossip

import (
	"cmp"
	"encoding/binary"
	"math/bits"
	"slices"

	"github.com/cespare/xxhash/v2"

	"magnoliastall.example/magno"
)

// groups is how many sums tell two tables apart in each scope: a data centre
// of 118 members has some two in a group, so mending one costs a few hundred
// bytes.
const groups = 64

// scope says who is to know a record.
type scope int

// The scopes. Who is live, suspect or dead concerns its own data centre; who
// leaves, and marks, concern all. Were every restart told to all 2,600
// processes, one of a whole region would fill everyone's budget for minutes.
const (
	inside scope = iota
	wide
	scopes
)

// entry is a record with what this process keeps on it.
type entry struct {
	record Record
	scope  scope
	// sum is zero for what only the platform's list told.
	sum  uint32
	size int
	// left is how many more times it is passed on within the data centre, far
	// to others.
	left, far int
	// since is when this process learned the present content.
	since magno.Millis
	// until is when it is forgotten, zero for never.
	until magno.Millis
}

// table holds records, sums over them and what is still to be passed on.
type table struct {
	entries map[string]*entry
	// order lists keys of each group.
	order [scopes][groups][]string
	sums  [scopes][groups]uint32
	// rumours are keys with left or far over zero.
	rumours map[string]*entry
	marks   int
}

func newTable() *table {
	return &table{entries: map[string]*entry{}, rumours: map[string]*entry{}}
}

func groupOf(key string) int { return int(xxhash.Sum64String(key) % groups) }

// put takes r when it is news and returns whether it was.
func (t *table) put(r Record, now magno.Millis, left, far int) bool {
	key := r.key()
	old := t.entries[key]
	if old != nil && !r.over(&old.record) {
		return false
	}
	if old == nil && r.Mark != nil && t.marks >= maxMarks {
		return false
	}
	e := &entry{record: r, size: r.size(), since: now, left: left}
	if r.Mark != nil || r.Member.Global {
		e.scope, e.far = wide, far
	}
	if r.Mark != nil {
		e.until = now + r.Mark.TTL
	} else if r.Member.TTL > 0 {
		e.until = now + r.Member.TTL
	}
	// What only the platform's list told isn't passed on, nor compared.
	if r.Mark != nil || r.Member.Incarnation > 0 {
		e.sum = r.sum()
	}
	t.drop(key)
	g := groupOf(key)
	t.entries[key] = e
	t.order[e.scope][g] = append(t.order[e.scope][g], key)
	t.sums[e.scope][g] += e.sum
	if r.Mark != nil {
		t.marks++
	}
	if e.left > 0 {
		t.rumours[key] = e
	}
	return true
}

// drop forgets a record.
func (t *table) drop(key string) {
	e := t.entries[key]
	if e == nil {
		return
	}
	g := groupOf(key)
	t.sums[e.scope][g] -= e.sum
	t.order[e.scope][g] = slices.DeleteFunc(t.order[e.scope][g], func(k string) bool { return k == key })
	delete(t.entries, key)
	delete(t.rumours, key)
	if e.record.Mark != nil {
		t.marks--
	}
}

// sum is equal for tables of equal content in a scope.
func (t *table) sum(s scope) uint64 { return xxhash.Sum64(t.encode(s)) }

// encode returns the sums of all groups, four bytes each.
func (t *table) encode(s scope) []byte {
	out := make([]byte, 0, 4*groups)
	for _, sum := range t.sums[s] {
		out = binary.LittleEndian.AppendUint32(out, sum)
	}
	return out
}

// differ lists the groups whose sums are not those encoded.
func (t *table) differ(s scope, encoded []byte) []int {
	var out []int
	if len(encoded) != 4*groups {
		return nil
	}
	for g := range groups {
		if binary.LittleEndian.Uint32(encoded[4*g:]) != t.sums[s][g] {
			out = append(out, g)
		}
	}
	return out
}

// news returns rumours that fit in room bytes and counts them as passed on:
// leaving members first, for they must lose their work within a second or
// two, then those that were passed on least. To another data centre only what
// is wide goes. Records that aren't urgent may take calm bytes at most.
func (t *table) news(now magno.Millis, room, calm int, abroad bool) []Record {
	if len(t.rumours) == 0 {
		return nil
	}
	waiting := make([]*entry, 0, len(t.rumours))
	for _, e := range t.rumours {
		if *e.count(abroad) > 0 {
			waiting = append(waiting, e)
		}
	}
	slices.SortFunc(waiting, func(a, b *entry) int {
		return cmp.Or(cmp.Compare(urgency(b), urgency(a)), cmp.Compare(*b.count(abroad), *a.count(abroad)),
			cmp.Compare(a.record.key(), b.record.key()))
	})
	var out []Record
	for _, e := range waiting {
		r, ok := e.aged(now)
		if ok && (e.size > room || (!r.urgent() && e.size > calm)) {
			break
		}
		if ok {
			room, calm = room-e.size, calm-e.size
			out = append(out, r)
		}
		*e.count(abroad)--
		if !ok || (e.left <= 0 && e.far <= 0) {
			delete(t.rumours, e.record.key())
		}
	}
	return out
}

// count is how often the record is still to be passed on.
func (e *entry) count(abroad bool) *int {
	if abroad {
		return &e.far
	}
	return &e.left
}

// pending is true when something urgent is still to be passed on.
func (t *table) pending(abroad bool) bool {
	for _, e := range t.rumours {
		if *e.count(abroad) > 0 && e.record.urgent() {
			return true
		}
	}
	return false
}

// quiet forgets what was to be told abroad; only relays tell it.
func (t *table) quiet() {
	for key, e := range t.rumours {
		if e.far = 0; e.left <= 0 {
			delete(t.rumours, key)
		}
	}
}

// urgency orders rumours, the highest first.
func urgency(e *entry) int {
	m := e.record.Member
	switch {
	case m != nil && m.State == Leaving:
		return 2
	case e.record.urgent():
		return 1
	}
	return 0
}

// aged returns the record as it is to be sent now; false when it has ended.
func (e *entry) aged(now magno.Millis) (Record, bool) {
	left := e.until - now
	if e.until > 0 && left <= leastLeft {
		return Record{}, false
	}
	if e.record.Mark != nil {
		m := *e.record.Mark
		m.TTL = left
		return Record{Mark: &m}, true
	}
	if e.until == 0 {
		return e.record, e.record.Member.Incarnation > 0
	}
	m := *e.record.Member
	m.TTL = left
	return Record{Member: &m}, m.Incarnation > 0
}

// group returns the records of one group that fit in room, beginning at a
// place that differs from call to call, so that a group too large for one
// message gets through in several.
func (t *table) group(s scope, g int, now magno.Millis, room, start int) ([]Record, int) {
	var out []Record
	keys := t.order[s][g]
	for i := range keys {
		e := t.entries[keys[(start+i)%len(keys)]]
		r, ok := e.aged(now)
		if !ok || e.size > room {
			continue
		}
		room -= e.size
		out = append(out, r)
	}
	return out, room
}

// passes returns how often a record is passed on among n processes: with
// three more than the binary logarithm nearly all have heard it, and sums
// mend the rest.
func passes(n int) int { return bits.Len(uint(max(n, 1))) + 3 }
