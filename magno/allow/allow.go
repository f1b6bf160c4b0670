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
)

const (
	// buckets divide a window; what is counted leaves it in steps of a tenth.
	buckets = 10
	// Keep is the part of the bound that is used: processes that just started
	// aren't counted by the others for up to two seconds.
	Keep = 0.8
)

// Window is the allowance for sends to one service. It is safe for concurrent
// use; exported fields are set before.
type Window struct {
	Clock *magno.Clock
	Ratio float64
	Slack float64
	// Span is the window's length.
	Span magno.Millis

	mu sync.Mutex
	// at is the bucket in use, as a number since the epoch.
	at    magno.Millis
	taken [buckets]int
	again [buckets]int
}

// Taken counts a request that came in.
func (w *Window) Taken() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.turn()
	w.taken[w.at%buckets]++
}

// Again takes one further send from the allowance; false when it is used up.
// Processes is how many share the slack, this one included.
func (w *Window) Again(processes int) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.turn()
	taken, again := 0, 0
	for i := range buckets {
		taken += w.taken[i]
		again += w.again[i]
	}
	limit := Keep * (w.Ratio*float64(taken) + w.Slack/float64(max(processes, 1)))
	if float64(again+1) > limit {
		return false
	}
	w.again[w.at%buckets]++
	return true
}

// turn clears the buckets that left the window. The caller holds mu.
func (w *Window) turn() {
	at := w.Clock.Now() / max(w.Span/buckets, 1)
	for n := magno.Millis(0); w.at < at && n < buckets; n++ {
		w.at++
		w.taken[w.at%buckets], w.again[w.at%buckets] = 0, 0
	}
	w.at = max(w.at, at)
}
