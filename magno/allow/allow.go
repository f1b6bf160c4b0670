// Package allow bounds how often requests are sent to a second upstream.
//
// Load pattern: upstreams fail, and every process sends its requests again.
// All processes together may make Ratio of the requests in each Window, and
// Slack besides. Without a bound a failing pool gets twice its load just when
// it can take least.
//
// No state is shared: each process counts what it has itself taken in, and
// takes an equal part of the slack. The sum over all processes then stays
// within the bound as long as each knows how many there are, and Keep leaves
// room for those that it doesn't know yet.
package allow

import (
	"sync"

	"magnoliastall.example/magno"
	"magnoliastall.example/magno/slide"
)

// SafetyFactor is the part of the bound that is used: processes that just started aren't counted
// by the others for up to two seconds.
const SafetyFactor = 0.8

// Budget is the allowance for sends to one service. It is safe for concurrent
// use; exported fields are set before.
type Budget struct {
	Clock *magno.Clock
	Ratio float64
	Slack float64
	// WindowLength is the window's length.
	WindowLength magno.Millis
	// StartedAt is when this process started. Its part of the slack grows with its age up to
	// Span: all processes may have started anew, and those before have used theirs.
	StartedAt magno.Millis

	mu sync.Mutex
	// taken are requests that came in, again further sends, of the last Span.
	taken, again slide.Sum
}

// RecordRequest counts a request that came in.
func (w *Budget) RecordRequest() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.setup()
	w.taken.Add(1, w.Clock.Now())
}

// TakeRetry takes one further send from the allowance; false when it is used up.
// Processes is how many share the slack, this one included.
func (w *Budget) TakeRetry(processes int) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.setup()
	now := w.Clock.Now()
	age := min(float64(now-w.StartedAt)/float64(max(w.WindowLength, 1)), 1)
	limit := SafetyFactor * (w.Ratio*w.taken.Now(now) + age*w.Slack/float64(max(processes, 1)))
	if w.again.Now(now)+1 > limit {
		return false
	}
	w.again.Add(1, now)
	return true
}

func (w *Budget) setup() { w.taken.Window, w.again.Window = w.WindowLength, w.WindowLength }
