package conf

import (
	"maps"
	"slices"
	"sort"

	"magnoliastall.example/magno"
	"magnoliastall.example/stand/past"
)

// maxChanges is the number of latest changes that are always kept. A watch after
// an older change returns every key.
const maxChanges = 1 << 16

// change records one put.
type change struct {
	revision int64
	at       magno.Millis
	key      string
}

// values holds every key with its history. It is not safe for concurrent use.
type values struct {
	// revision counts puts.
	revision int64
	byKey    map[string]*past.History[[]byte]
	// changes is ordered by revision without gaps and ends with the latest, so
	// that the cost of a watch depends on the number of changes and not of keys.
	changes []change
}

func newValues() *values {
	return &values{byKey: map[string]*past.History[[]byte]{}}
}

// put sets a value from now on and returns the new revision.
func (v *values) put(now magno.Millis, key string, value []byte) int64 {
	if v.byKey[key] == nil {
		v.byKey[key] = &past.History[[]byte]{}
	}
	v.revision++
	v.byKey[key].Add(now, value)
	if len(v.changes) >= 2*maxChanges {
		v.changes = append([]change(nil), v.changes[maxChanges:]...)
	}
	v.changes = append(v.changes, change{revision: v.revision, at: now, key: key})
	return v.revision
}

// get returns the value of a key at time t.
func (v *values) get(t magno.Millis, key string) ([]byte, bool) {
	if v.byKey[key] == nil {
		return nil, false
	}
	return v.byKey[key].At(t)
}

// revisionAt returns the revision at time t.
func (v *values) revisionAt(t magno.Millis) int64 {
	if n := v.countChanges(t); n > 0 {
		return v.changes[n-1].revision
	}
	return v.baseRevision()
}

// countChanges returns how many of the kept changes were made by time t.
func (v *values) countChanges(t magno.Millis) int {
	return sort.Search(len(v.changes), func(i int) bool { return v.changes[i].at > t })
}

// baseRevision returns the revision before the first change that is kept.
func (v *values) baseRevision() int64 { return v.revision - int64(len(v.changes)) }

// changedSince returns the revision at time t and the keys that changed between
// the revision after and that one.
func (v *values) changedSince(t magno.Millis, after int64) (int64, []string) {
	revision := v.revisionAt(t)
	if revision <= after {
		return revision, []string{}
	}
	if after < v.baseRevision() {
		return revision, v.keys(t)
	}
	first := int(after - v.baseRevision())
	seen := map[string]bool{}
	for _, c := range v.changes[first:v.countChanges(t)] {
		seen[c.key] = true
	}
	return revision, slices.Sorted(maps.Keys(seen))
}

// keys returns every key that had a value at time t.
func (v *values) keys(t magno.Millis) []string {
	keys := []string{}
	for key, log := range v.byKey {
		if _, ok := log.At(t); ok {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	return keys
}
