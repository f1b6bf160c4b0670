package keep

import "magnoliastall.example/magno"

const (
	// earlyEndTime is for how long the end of an unknown request is kept at least: calls wait for a busy processor.
	earlyEndTime = 5 * magno.Second
	// maxEarlyEnds bounds the ends of one such time.
	maxEarlyEnds = 1024
)

// earlyEnds holds the requests that ended before they were offered.
//
// Load pattern: callers leave in large numbers. Each call is handled on a goroutine of its own and each end on the
// one that reads, so at a busy agent an end may overtake the call.
type earlyEnds struct {
	// recent holds those since turnedAt, older those of the time before.
	recent, older map[string]bool
	turnedAt      magno.Millis
}

// add keeps the end of a request.
func (e *earlyEnds) add(id string, now magno.Millis) {
	e.turn(now)
	if len(e.recent) < maxEarlyEnds {
		e.recent[id] = true
	}
}

// take reports whether a request has ended, and forgets that.
func (e *earlyEnds) take(id string, now magno.Millis) bool {
	e.turn(now)
	ended := e.recent[id] || e.older[id]
	delete(e.recent, id)
	delete(e.older, id)
	return ended
}

// turn forgets the ends that are too old.
func (e *earlyEnds) turn(now magno.Millis) {
	switch since := now - e.turnedAt; {
	case e.recent == nil || since >= 2*earlyEndTime:
		e.recent, e.older, e.turnedAt = map[string]bool{}, nil, now
	case since >= earlyEndTime:
		e.recent, e.older, e.turnedAt = map[string]bool{}, e.recent, now
	}
}
