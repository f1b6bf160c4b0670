// Package later holds what happens at times of a driven clock.
package later

import (
	"container/heap"

	"magnoliastall.example/magno"
)

// Queue is events in the order of their times; those of one time happen in the order in
// which they were planned. The zero value is empty. One goroutine uses it.
type Queue struct {
	events events
	seq    int64
}

type event struct {
	at  magno.Millis
	seq int64
	do  func()
}

// Schedule plans an event.
func (q *Queue) Schedule(at magno.Millis, do func()) {
	q.seq++
	heap.Push(&q.events, event{at: at, seq: q.seq, do: do})
}

// NextTime is when the first event is, false when there is none.
func (q *Queue) NextTime() (at magno.Millis, ok bool) {
	if len(q.events) == 0 {
		return 0, false
	}
	return q.events[0].at, true
}

// Pop takes the first event out. There must be one.
func (q *Queue) Pop() (at magno.Millis, do func()) {
	e := heap.Pop(&q.events).(event) //nolint:forcetypeassert // the heap holds nothing else
	return e.at, e.do
}

// events is a heap, first the earliest.
type events []event

// Len implements heap.Interface, as do the others below.
func (e events) Len() int { return len(e) }

// Less orders by time, then by plan.
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || (e[i].at == e[j].at && e[i].seq < e[j].seq)
}

// Swap exchanges two events.
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push adds an event.
func (e *events) Push(x any) { *e = append(*e, x.(event)) } //nolint:forcetypeassert // see Pop of Queue

// Pop removes the last event.
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	old[len(old)-1] = event{}
	*e = old[:len(old)-1]
	return last
}
