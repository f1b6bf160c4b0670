// Package shed decides which new connections an instance accepts and refuses while its processor is behind.
//
// Load pattern: a load balancer sends most new connections to one instance until its readiness check has
// failed twice, which takes two to three seconds, and the processor falls behind. A connection that is
// closed unread has sent its request all the same: its caller sees neither an answer nor a refusal. Without
// this package an overloaded instance either does that, or accepts all connections at once and delays
// the answers of those that it has accepted.
//
//	accept queue --> few at a time: Accepts --> Refuses: 503 with Retry-After
//	                                                '--> served
//
// Each connection that is accepted gets an answer; an overloaded instance refuses its request, and the caller
// can try another instance at once. It accepts the next one once one of a small number has its answer, in
// the order of arrival. All others wait in the accept queue of the operating system: what has not been
// read can't have run. Once the overload is over, those that waited long are refused as well.
package shed

import (
	"magnoliastall.example/magno"
	"magnoliastall.example/magno/strain"
)

const (
	// RetryAfter is when a caller that was refused may return. Its next connection goes to another
	// instance.
	RetryAfter = 200 * magno.Millis(1)
	// PlaceTime is how long a connection counts as unanswered at most: over some of them nothing is sent.
	PlaceTime = 200 * magno.Millis(1)
	// lateAfter is how long a request may have waited in the accept queue of a strained instance and
	// still be served.
	lateAfter = 500 * magno.Millis(1)
)

// Limits bound the connections that are refused.
type Limits struct {
	// Unanswered bounds those without an answer yet, of the last PlaceTime.
	Unanswered int
	// Open bounds those that are open: some callers still send their body after the answer.
	Open int
}

// DefaultLimits are the limits of an instance. A connection holds about 20 kB.
var DefaultLimits = Limits{Unanswered: 64, Open: 512}

// State is the state on which decisions rest.
type State struct {
	Level strain.Level
	// Unanswered and Open count the connections that are refused.
	Unanswered, Open int
}

// Accepts reports whether the next connection is accepted; it waits in the accept queue otherwise.
func (l Limits) Accepts(s State) bool {
	return s.Level == strain.Normal || s.Unanswered < l.Unanswered && s.Open < l.Open
}

// Refuses reports whether the request of a connection is refused that waited in the accept queue.
func Refuses(level strain.Level, waited magno.Millis) bool {
	return level == strain.Overloaded || level == strain.Strained && waited > lateAfter
}
