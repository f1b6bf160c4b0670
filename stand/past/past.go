// Package past keeps values with the time at which they came to be, so that a
// stand-in can answer with the state of some time ago.
package past

import (
	"sort"

	"magnoliastall.example/magno"
)

// Limits of a log.
const (
	// Keep is how far back a log reaches, in milliseconds.
	Retention = 10 * magno.Minute
	// MaxLen is how many values are surely kept; from twice as many on the
	// oldest go, whatever their time.
	MinLen = 4096
)

type entry[T any] struct {
	at    magno.Millis
	value T
}

// Log is a bounded record of one value over time. Its zero value is empty. It
// is not safe for concurrent use.
type History[T any] struct {
	// entries are in order of time and fewer than twice MaxLen.
	entries []entry[T]
	// pruned is true once older values were dropped.
	pruned bool
}

// Add records that the value was v from now on.
func (l *History[T]) Add(now magno.Millis, v T) {
	l.prune(max(l.indexAt(now-Retention), 0))
	if len(l.entries) >= 2*MinLen-1 {
		l.prune(len(l.entries) - MinLen + 1)
	}
	l.entries = append(l.entries, entry[T]{at: now, value: v})
}

// prune drops the values before first when they are at least half of all, so
// that the cost of moving the others is shared by as many additions.
func (l *History[T]) prune(first int) {
	if first == 0 || first < len(l.entries)/2 {
		return
	}
	l.entries = append([]entry[T](nil), l.entries[first:]...)
	l.pruned = true
}

// Replace sets the newest value and leaves its time.
func (l *History[T]) Replace(v T) {
	l.entries[len(l.entries)-1].value = v
}

// Last returns the time of the newest value; ok is false when there is none.
func (l *History[T]) LastTime() (magno.Millis, bool) {
	if len(l.entries) == 0 {
		return 0, false
	}
	return l.entries[len(l.entries)-1].at, true
}

// At returns the value that held at t, or the oldest one kept when that was
// dropped; ok is false when there was none yet.
func (l *History[T]) At(t magno.Millis) (v T, ok bool) {
	i := l.indexAt(t)
	if i < 0 && !l.pruned {
		return v, false
	}
	return l.entries[max(i, 0)].value, true
}

// First returns the oldest value kept; the log is not empty.
func (l *History[T]) Oldest() T { return l.entries[0].value }

// Reset drops every value.
func (l *History[T]) Reset() { *l = History[T]{} }

// find returns the index of the newest entry at or before t, or -1.
func (l *History[T]) indexAt(t magno.Millis) int {
	return sort.Search(len(l.entries), func(i int) bool { return l.entries[i].at > t }) - 1
}
