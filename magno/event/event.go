// Package event stores the recent events of a process. After a failure, the events of all
// processes are merged into one time line.
//
//	front, loop, ledger, ... --Add--> Ring --Since--> administration API --> magctl trace
package event

import (
	"sync"

	"magnoliastall.example/magno"
)

// DefaultSize is the default number of events that a ring keeps. At 50 requests per second
// with six events each it covers about a minute, in about 4 MB.
const DefaultSize = 16384

// Event is an entry of a Ring.
type Event struct {
	// Seq increases by one with each event of a process.
	Seq int64 `json:"seq"`
	// Time is by the clock of the process.
	Time    magno.Millis `json:"time"`
	Process string       `json:"process"`
	// Kind is the type of event, a single word.
	Kind string `json:"kind"`
	// Request is the ID of the request, empty if the event concerns none.
	Request string `json:"request,omitempty"`
	// Text contains details as key=value pairs.
	Text string `json:"text,omitempty"`
}

// Ring is a ring buffer of the newest events. It is safe for concurrent use.
type Ring struct {
	// Process and Clock must be set before the first Add.
	Process string
	Clock   *magno.Clock
	// Size is the maximum number of events; zero means DefaultSize.
	Size int

	mu sync.Mutex
	// events has at most Size elements; the event with Seq s is at index s % Size.
	events []Event
	next   int64
}

// Add adds an event and drops the oldest if the ring is full. On a nil Ring it does nothing.
func (r *Ring) Add(kind, request, text string) {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.Size == 0 {
		r.Size = DefaultSize
	}
	e := Event{Seq: r.next, Time: r.Clock.Now(), Process: r.Process, Kind: kind, Request: request, Text: text}
	if len(r.events) < r.Size {
		r.events = append(r.events, e)
	} else {
		r.events[r.next%int64(r.Size)] = e
	}
	r.next++
}

// Since returns the events from seq on, oldest first. Unless request is empty, only the
// events of that request are returned.
func (r *Ring) Since(seq int64, request string) []Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	found := []Event{}
	oldest := r.next - int64(len(r.events))
	for s := max(seq, oldest); s < r.next; s++ {
		e := r.events[s%int64(r.Size)]
		if request == "" || e.Request == request {
			found = append(found, e)
		}
	}
	return found
}
