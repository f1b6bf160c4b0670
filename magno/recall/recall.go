// Package recall implements a bounded key store that forgets a key only after its
// retention period.
//
// The witness and the ledger use it to detect copies of a request. Evicting the
// oldest key to make room would let the next copy of that key pass as new and run
// a second time. The store therefore never evicts early: it forgets a key only
// when the key is older than the retention, and from then on refuses every key of
// that age. When it is full it refuses new keys.
package recall

import (
	"container/heap"

	"magnoliastall.example/magno"
)

// Verdict is the result of checking whether a new key can be stored.
type Verdict int

// Results of Check.
const (
	Accepted Verdict = iota // the key may be stored
	Stale                   // the key is old enough that it may already have been forgotten
	Full                    // at capacity until stored keys pass the retention
)

// Store maps keys to values. It is not safe for concurrent use.
type Store[V any] struct {
	// Retention is how long a key is kept, counted from its issue time.
	Retention magno.Millis
	// Max is the maximum number of keys.
	Max int
	// OnExpire, if set, is called with the value of each key that is forgotten.
	OnExpire func(V)

	// cutoff never decreases, even if the clock is set back. Keys issued at or
	// before it are refused, and only such keys are forgotten.
	cutoff magno.Millis
	// values and expiry hold the same keys.
	values map[string]V
	expiry entryHeap
}

// Get returns the value stored for a key.
func (m *Store[V]) Get(key string) (V, bool) {
	v, ok := m.values[key]
	return v, ok
}

// Len returns the number of stored keys.
func (m *Store[V]) Len() int { return len(m.values) }

// Check removes the keys that are past the retention and reports whether a new
// key issued at the given time may be stored.
func (m *Store[V]) Check(now, at magno.Millis) Verdict {
	m.cutoff = max(m.cutoff, now-m.Retention)
	for len(m.expiry) > 0 && m.expiry[0].issued <= m.cutoff {
		m.expire(heap.Pop(&m.expiry).(entry).key)
	}
	switch {
	case at <= m.cutoff:
		return Stale
	case len(m.values) >= m.Max:
		return Full
	}
	return Accepted
}

// Put adds or replaces a key. A new key must have passed Check.
func (m *Store[V]) Put(key string, at magno.Millis, value V) {
	if m.values == nil {
		m.values = map[string]V{}
	}
	if _, ok := m.values[key]; !ok {
		heap.Push(&m.expiry, entry{at, key})
	}
	m.values[key] = value
}

func (m *Store[V]) expire(key string) {
	if m.OnExpire != nil {
		m.OnExpire(m.values[key])
	}
	delete(m.values, key)
}

// entry is a key with its issue time.
type entry struct {
	issued magno.Millis
	key    string
}

// entryHeap is a min-heap by issue time.
type entryHeap []entry

func (h entryHeap) Len() int           { return len(h) }
func (h entryHeap) Less(i, j int) bool { return h[i].issued < h[j].issued }
func (h entryHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *entryHeap) Push(x any) { *h = append(*h, x.(entry)) }

// Pop implements heap.Interface.
func (h *entryHeap) Pop() any {
	last := len(*h) - 1
	x := (*h)[last]
	(*h)[last] = entry{}
	*h = (*h)[:last]
	return x
}
