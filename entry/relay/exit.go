package relay

import (
	"context"
	"sync"
	"time"

	"magnoliastall.example/magno"
)

// exit is the end of a planned shutdown: when the answers of requests must have ended.
type exit struct {
	mu sync.Mutex
	// at is the time, zero before the shutdown begins.
	at magno.Millis
	// waits are the functions that end the requests in progress then.
	waits map[*context.CancelFunc]struct{}
	over  bool
}

// begin sets the time, which is left from now on.
func (e *exit) begin(at, left magno.Millis) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.at = at
	time.AfterFunc(max(left, 0).Duration(), e.end)
}

// end ends the requests in progress.
func (e *exit) end() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.over = true
	for cancel := range e.waits {
		(*cancel)()
	}
}

// await has cancel called at the end, unless stop is called before.
func (e *exit) await(cancel context.CancelFunc) (stop func()) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.over {
		cancel()
	}
	if e.waits == nil {
		e.waits = map[*context.CancelFunc]struct{}{}
	}
	e.waits[&cancel] = struct{}{}
	return func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		delete(e.waits, &cancel)
	}
}

// left returns the time until the end. It returns false if no shutdown has begun.
func (e *exit) left(now magno.Millis) (magno.Millis, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.at - now, e.at != 0
}

// endsBeforeExit reports whether the request can end before the process does, as far as is known of how long others
// of its route take.
func (j *job) endsBeforeExit() bool {
	left, leaving := j.exit.left(j.Clock.Now())
	if !leaving {
		return true
	}
	most, _ := j.times.Most(j.route.Name)
	return most < left
}

// recordTime records how long the last send took if it was answered, and returns its result.
func (j *job) recordTime(res result) result {
	if res == resultDone {
		j.times.Add(j.route.Name, j.Clock.Now()-j.sentAt)
	}
	return res
}

// exitOver reports whether the time for answers in a planned shutdown is over.
func (j *job) exitOver() bool {
	left, leaving := j.exit.left(j.Clock.Now())
	return leaving && left <= 0
}

// refuseLeaving returns the refusal of a request that can't end before the process does.
func refuseLeaving() *magno.Refusal {
	return magno.Refuse(magno.KindLeaving, "this instance stops").WithRetryAfter(0)
}
