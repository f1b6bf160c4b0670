// Package later is the event queue of simulations.
package later

import (
	"container/heap"

	"magnoliastall.example/magno"
)

// Queue holds events in order of time, and events at the same time in the order in which
// they were scheduled. The zero value is empty. It is not safe for concurrent use.
type Queue struct {
	events events
	seq    int64
}

type event struct {
	at  magno.Millis
	seq int64
	do  func()
}

// Schedule adds an event.
func (q *Queue) Schedule(at magno.Millis, do func()) {
	q.seq++
	heap.Push(&q.events, event{at: at, seq: q.seq, do: do})
}

// NextTime returns the time of the first event, false when the queue is empty.
func (q *Queue) NextTime() (at magno.Millis, ok bool) {
	if len(q.events) == 0 {
		return 0, false
	}
	return q.events[0].at, true
}

// Pop removes the first event. The queue must not be empty.
func (q *Queue) Pop() (at magno.Millis, do func()) {
	e := heap.Pop(&q.events).(event) //nolint:forcetypeassert // the heap holds nothing else
	return e.at, e.do
}

// events is a heap with the earliest event first.
type events []event

// Len implements heap.Interface, as do the methods below.
func (e events) Len() int { return len(e) }

// Less orders by time, then by order of scheduling.
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
