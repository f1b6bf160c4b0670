// Package allow implements the retry budget: it limits how often requests are sent
// to a second upstream.
//
// Load pattern: upstreams fail, and every process sends its requests again. Without a
// limit a failing pool gets twice its load when it can handle the least. In each
// window, all processes together may send Ratio retries per request received, plus
// Slack.
//
// No state is shared, and none outlives a process. Each process counts what it received
// and sent itself and uses a part of the slack. What it had sent before it was killed is
// forgotten, but still counts at the upstreams. So a process uses restartShare of the
// limit until it has run for a window, and only then steadyShare: the earlier lives of all
// processes and the later ones, however many, stay within the limit together.
//
//	Reserve --> wait for an upstream --> Spend: counted at the time of sending
//	   '-----> no upstream is had -----> Return
package allow

import (
	"sync"

	"magnoliastall.example/magno"
	"magnoliastall.example/magno/slide"
)

const (
	// steadyShare is the part of the limit that a process uses after its first window,
	// restartShare that before. Their sum leaves a margin for requests that arrive
	// unevenly and for processes that count each other late.
	steadyShare  = 0.65
	restartShare = 0.25
)

// Budget is the retry budget of one process for one service. It is safe for concurrent
// use; exported fields are set before use.
type Budget struct {
	Clock        *magno.Clock
	Ratio        float64
	Slack        float64
	WindowLength magno.Millis
	// StartedAt is when this process started. Its part of the slack grows from zero over the
	// first WindowLength, so that a process that is restarted again and again uses it once.
	StartedAt magno.Millis

	mu sync.Mutex
	// requests and retries count the requests received and the retries sent within the
	// last WindowLength, reserved the retries that wait to be sent.
	requests, retries slide.Sum
	reserved          int
}

// RecordRequest counts a received request.
func (b *Budget) RecordRequest() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.setWindows()
	b.requests.Add(1, b.Clock.Now())
}

// Reserve sets one retry aside, or returns false if the budget is used up. Part is this
// process's part of the slack, from 0 to 1. Each reserved retry ends with Spend or Return.
func (b *Budget) Reserve(part float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.setWindows()
	now := b.Clock.Now()
	if b.retries.Total(now)+float64(b.reserved)+1 > b.limit(part, now) {
		return false
	}
	b.reserved++
	return true
}

// Spend counts a reserved retry as sent now. It returns false if the limit has fallen
// meanwhile; the retry must not be sent then. Its reservation ends in any case.
//
// Load pattern: all upstreams are gone, and the retries of some seconds wait for the first
// one that is back. They arrive there within one window, whenever they were reserved.
func (b *Budget) Spend(part float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.setWindows()
	b.reserved--
	now := b.Clock.Now()
	if b.retries.Total(now)+1 > b.limit(part, now) {
		return false
	}
	b.retries.Add(1, now)
	return true
}

// Return ends the reservation of a retry that isn't sent.
func (b *Budget) Return() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.reserved--
}

// Usage returns how many retries were sent within the window or are reserved, and how many may be.
func (b *Budget) Usage(part float64) (used, limit float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.setWindows()
	now := b.Clock.Now()
	return b.retries.Total(now) + float64(b.reserved), b.limit(part, now)
}

// limit returns how many retries this process may send per window. The caller holds mu.
func (b *Budget) limit(part float64, now magno.Millis) float64 {
	age := float64(now-b.StartedAt) / float64(max(b.WindowLength, 1))
	if age >= 1 {
		return steadyShare * (b.Ratio*b.requests.Total(now) + part*b.Slack)
	}
	return restartShare * (b.Ratio*b.requests.Total(now) + age*part*b.Slack)
}

func (b *Budget) setWindows() { b.requests.Window, b.retries.Window = b.WindowLength, b.WindowLength }
