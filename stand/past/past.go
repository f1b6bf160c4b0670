// Package past records the history of a value, so that a simulated service can
// answer with the state of some time ago.
package past

import (
	"sort"

	"magnoliastall.example/magno"
)

// Limits of a history.
const (
	// Retention is how far back a history reaches, in milliseconds.
	Retention = 10 * magno.Minute
	// MinLen is the number of latest values that are always kept. A history has
	// fewer than twice as many; beyond that, the oldest are dropped even within
	// Retention.
	MinLen = 4096
)

type entry[T any] struct {
	at    magno.Millis
	value T
}

// History is a bounded record of one value over time. The zero value is empty.
// It is not safe for concurrent use.
type History[T any] struct {
	// entries is ordered by time and has fewer than 2*MinLen elements.
	entries []entry[T]
	// pruned is true once a value was dropped.
	pruned bool
}

// Add records that the value is v from now on.
func (l *History[T]) Add(now magno.Millis, v T) {
	l.prune(max(l.indexAt(now-Retention), 0))
	if len(l.entries) >= 2*MinLen-1 {
		l.prune(len(l.entries) - MinLen + 1)
	}
	l.entries = append(l.entries, entry[T]{at: now, value: v})
}

// prune drops the entries before first, but only when they are at least half of
// all: the cost of copying the others is then amortized over as many additions.
func (l *History[T]) prune(first int) {
	if first == 0 || first < len(l.entries)/2 {
		return
	}
	l.entries = append([]entry[T](nil), l.entries[first:]...)
	l.pruned = true
}

// Replace changes the newest value and keeps its time.
func (l *History[T]) Replace(v T) {
	l.entries[len(l.entries)-1].value = v
}

// LastTime returns the time of the newest value, and false when there is none.
func (l *History[T]) LastTime() (magno.Millis, bool) {
	if len(l.entries) == 0 {
		return 0, false
	}
	return l.entries[len(l.entries)-1].at, true
}

// At returns the value at time t, or the oldest one kept if that was dropped. ok
// is false when there was no value yet.
func (l *History[T]) At(t magno.Millis) (v T, ok bool) {
	i := l.indexAt(t)
	if i < 0 && !l.pruned {
		return v, false
	}
	return l.entries[max(i, 0)].value, true
}

// Oldest returns the oldest value kept. It panics if the history is empty.
func (l *History[T]) Oldest() T { return l.entries[0].value }

// Reset drops every value.
func (l *History[T]) Reset() { *l = History[T]{} }

// indexAt returns the index of the newest entry at or before t, or -1.
func (l *History[T]) indexAt(t magno.Millis) int {
	return sort.Search(len(l.entries), func(i int) bool { return l.entries[i].at > t }) - 1
}
