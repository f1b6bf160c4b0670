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

// Keep is the part of the bound that is used: processes that just started aren't counted
// by the others for up to two seconds.
const Keep = 0.8

// Window is the allowance for sends to one service. It is safe for concurrent
// use; exported fields are set before.
type Window struct {
	Clock *magno.Clock
	Ratio float64
	Slack float64
	// Span is the window's length.
	Span magno.Millis
	// Since is when this process started. Its part of the slack grows with its age up to
	// Span: all processes may have started anew, and those before have used theirs.
	Since magno.Millis

	mu sync.Mutex
	// taken are requests that came in, again further sends, of the last Span.
	taken, again slide.Sum
}

// Taken counts a request that came in.
func (w *Window) Taken() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.setup()
	w.taken.Add(1, w.Clock.Now())
}

// Again takes one further send from the allowance; false when it is used up.
// Processes is how many share the slack, this one included.
func (w *Window) Again(processes int) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.setup()
	now := w.Clock.Now()
	age := min(float64(now-w.Since)/float64(max(w.Span, 1)), 1)
	limit := Keep * (w.Ratio*w.taken.Total(now) + age*w.Slack/float64(max(processes, 1)))
	if w.again.Total(now)+1 > limit {
		return false
	}
	w.again.Add(1, now)
	return true
}

func (w *Window) setup() { w.taken.Window, w.again.Window = w.Span, w.Span }
