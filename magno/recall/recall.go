// Package recall is a bounded memory of keys that never forgets by surprise.
//
// A witness or a ledger that drops its oldest key to make room would take the
// next copy of that key for a new one and let it run twice. This memory
// forgets a key only once it is older than the retention, and from then on
// refuses every key of that age; when it is full it refuses new keys instead.
package recall

import (
	"container/heap"

	"magnoliastall.example/magno"
)

// Verdict says whether a new key may be taken in.
type Verdict int

// The verdicts.
const (
	Accepted Verdict = iota // the key may be put
	Stale                   // the key is so old that it may have been forgotten
	Full                    // no room before older keys pass the retention
)

// Store maps keys to values. It is not safe for concurrent use.
type Store[V any] struct {
	// Retention is how long after its time a key is remembered.
	Retention magno.Millis
	// Max is the most keys held.
	Max int
	// OnExpire is called for each key forgotten. It may be nil.
	OnExpire func(V)

	// floor only grows: keys issued at or before it are refused, and only
	// such keys are forgotten. A clock that is set back doesn't lower it.
	floor magno.Millis
	// values and ages hold the same keys.
	values map[string]V
	ages   ages
}

// Get returns the value of a key.
func (m *Store[V]) Get(key string) (V, bool) {
	v, ok := m.values[key]
	return v, ok
}

// Len returns how many keys are held.
func (m *Store[V]) Len() int { return len(m.values) }

// Check forgets what is past the retention and says whether a key issued at
// the time at may be put.
func (m *Store[V]) Check(now, at magno.Millis) Verdict {
	m.floor = max(m.floor, now-m.Retention)
	for len(m.ages) > 0 && m.ages[0].at <= m.floor {
		m.drop(heap.Pop(&m.ages).(age).key)
	}
	switch {
	case at <= m.floor:
		return Stale
	case len(m.values) >= m.Max:
		return Full
	}
	return Accepted
}

// Put takes in or replaces a key. A new one must have passed Check.
func (m *Store[V]) Put(key string, at magno.Millis, value V) {
	if m.values == nil {
		m.values = map[string]V{}
	}
	if _, ok := m.values[key]; !ok {
		heap.Push(&m.ages, age{at, key})
	}
	m.values[key] = value
}

func (m *Store[V]) drop(key string) {
	if m.OnExpire != nil {
		m.OnExpire(m.values[key])
	}
	delete(m.values, key)
}

// age orders keys by their time.
type age struct {
	at  magno.Millis
	key string
}

// ages is a heap, the oldest key first.
type ages []age

func (a ages) Len() int           { return len(a) }
func (a ages) Less(i, j int) bool { return a[i].at < a[j].at }
func (a ages) Swap(i, j int)      { a[i], a[j] = a[j], a[i] }

// Push is for container/heap.
func (a *ages) Push(x any) { *a = append(*a, x.(age)) }

// Pop is for container/heap.
func (a *ages) Pop() any {
	last := len(*a) - 1
	x := (*a)[last]
	(*a)[last] = age{}
	*a = (*a)[:last]
	return x
}
