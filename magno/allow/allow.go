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
//	   |                             '-> SpendUnanswered: counted until an upstream that gave no sign answers
//	   '-----> no upstream is had -----> Return
//
// An upstream that is stopped accepts requests and reads them when it runs again, long after their callers got an
// answer elsewhere: all of them within one window. So a retry of a request that got no sign of an upstream counts for
// as long as that one is silent, and for a window afterwards.
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
	// silenceTime is how long a request that got no sign of an upstream counts as one that may still be read there.
	// It bounds what an upstream that never answers again takes of the budget.
	silenceTime = 30 * magno.Second
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
	// unanswered are the retries that count while an upstream is silent, by its name.
	unanswered map[string]*slide.Sum
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
	if b.used(now)+float64(b.reserved)+1 > b.limit(part, now) {
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
	return b.spend(part, func(now magno.Millis) { b.retries.Add(1, now) })
}

// SpendUnanswered is Spend for a request that got no sign of the upstream to which it was sent before. It may
// be read there at any time, and is a retry only then.
func (b *Budget) SpendUnanswered(part float64, upstream string) bool {
	return b.spend(part, func(now magno.Millis) { b.addUnanswered(upstream, now) })
}

func (b *Budget) spend(part float64, count func(now magno.Millis)) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.setWindows()
	b.reserved--
	now := b.Clock.Now()
	if b.used(now)+1 > b.limit(part, now) {
		return false
	}
	count(now)
	return true
}

// Unanswered counts a retry that was sent to an upstream and got no sign of it.
func (b *Budget) Unanswered(upstream string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.addUnanswered(upstream, b.Clock.Now())
}

// Answered records that an upstream answers: what it was sent before has been read, or is read now.
func (b *Budget) Answered(upstream string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	u := b.unanswered[upstream]
	if u == nil {
		return
	}
	delete(b.unanswered, upstream)
	b.setWindows()
	now := b.Clock.Now()
	b.retries.Add(u.Total(now), now)
}

// addUnanswered counts a retry while an upstream is silent. The caller holds mu.
func (b *Budget) addUnanswered(upstream string, now magno.Millis) {
	if b.unanswered == nil {
		b.unanswered = map[string]*slide.Sum{}
	}
	if b.unanswered[upstream] == nil {
		b.unanswered[upstream] = &slide.Sum{Window: silenceTime}
	}
	b.unanswered[upstream].Add(1, now)
}

// used returns the number of retries that count now. The caller holds mu.
func (b *Budget) used(now magno.Millis) float64 {
	n := b.retries.Total(now)
	for upstream, u := range b.unanswered {
		waiting := u.Total(now)
		if waiting == 0 {
			delete(b.unanswered, upstream)
		}
		n += waiting
	}
	return n
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
	return b.used(now) + float64(b.reserved), b.limit(part, now)
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
