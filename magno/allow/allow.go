// Package allow implements the retry budget: it limits how often requests are sent
// to a second upstream.
//
// Load pattern: upstreams fail, and every process sends its requests again. Without a
// limit a failing pool gets twice its load when it can handle the least. In each
// window, all processes together may send Ratio retries per request received, plus
// Slack.
//
// No state is shared. Each process counts the requests that it received itself and
// uses an equal part of the slack. The total stays within the limit as long as each
// process knows how many there are; SafetyFactor allows for those it doesn't know
// yet.
package allow

import (
	"sync"

	"magnoliastall.example/magno"
	"magnoliastall.example/magno/slide"
)

// SafetyFactor is the part of the limit that is used. Other processes may not count a
// newly started one for up to two seconds.
const SafetyFactor = 0.8

// Budget is the retry budget of one process for one service. It is safe for concurrent
// use; exported fields are set before use.
type Budget struct {
	Clock        *magno.Clock
	Ratio        float64
	Slack        float64
	WindowLength magno.Millis
	// StartedAt is when this process started. Its part of the slack grows from zero over the
	// first WindowLength, because all processes may have been restarted after using theirs.
	StartedAt magno.Millis

	mu sync.Mutex
	// requests and retries count the requests received and the retries sent within the
	// last WindowLength.
	requests, retries slide.Sum
}

// RecordRequest counts a received request.
func (b *Budget) RecordRequest() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.setWindows()
	b.requests.Add(1, b.Clock.Now())
}

// TakeRetry takes one retry from the budget, or returns false if it is used up. The
// slack is divided among the given number of processes, which includes this one.
func (b *Budget) TakeRetry(processes int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.setWindows()
	now := b.Clock.Now()
	slackShare := min(float64(now-b.StartedAt)/float64(max(b.WindowLength, 1)), 1)
	limit := SafetyFactor * (b.Ratio*b.requests.Total(now) + slackShare*b.Slack/float64(max(processes, 1)))
	if b.retries.Total(now)+1 > limit {
		return false
	}
	b.retries.Add(1, now)
	return true
}

func (b *Budget) setWindows() { b.requests.Window, b.retries.Window = b.WindowLength, b.WindowLength }
