// Package pace keeps the requests to one upstream within the limit that it names, in the one
// process that grants them for all.
//
//	answers of the upstream --> Name, End --> Limiter <-- Allows, Take (each request)
//
// Load pattern: an upstream that is short of resources names a limit of a few requests per
// second for hundreds of entries together. If each entry kept the limit for itself, the
// upstream would get it once from each of them; divided among them, it would be less than one
// request per minute.
package pace

import (
	"magnoliastall.example/magno"
	"magnoliastall.example/magno/bucket"
)

const (
	// burstTime is the burst as time at the limit; it is at least one request.
	burstTime = 250 * magno.Millis(1)
	// minRate is the rate, per second, of lower limits: only an answer shows that the upstream
	// accepts more again.
	minRate = 0.2
	// maxRetryAfter bounds RetryAfter, so that requests find out when a limit has ended.
	maxRetryAfter = 2 * magno.Second
)

// Limiter is the limit of one upstream. The zero value has none. It is not safe for concurrent
// use.
type Limiter struct {
	// limited is true while the upstream names a limit, which is rate per second.
	limited bool
	rate    float64
	bucket  bucket.Bucket
	// namedAt is when the limit was last known to hold, endedAt when it last ended.
	namedAt, endedAt magno.Millis
	// nextRetryAt is the time that the next refused request is told to return at.
	nextRetryAt magno.Millis
}

// Name takes a limit that the upstream stated at the given time, and reports whether it changed
// the one in force. A new limit starts without a burst: requests were just sent without it.
func (l *Limiter) Name(rate float64, statedAt, now magno.Millis) (changed bool) {
	if (l.endedAt > 0 && statedAt <= l.endedAt) || (l.limited && statedAt < l.namedAt) {
		return false // an old statement that was delayed
	}
	l.namedAt = max(l.namedAt, statedAt)
	if l.limited && l.rate == rate {
		return false
	}
	l.bucket.Level(now) // refill at the old rate before it changes
	l.bucket.Rate = max(rate, minRate)
	l.bucket.Burst = max(l.bucket.Rate*float64(burstTime)/float64(magno.Second), 1)
	if !l.limited {
		l.bucket.SetLevel(0, now)
	}
	l.limited, l.rate, l.nextRetryAt = true, rate, 0
	return true
}

// End takes an answer without a limit to a request that was granted at the given time, and
// reports whether it ended the limit. The answer to a request that was granted before the limit
// was last named may be older than the limit.
func (l *Limiter) End(grantedAt, now magno.Millis) (changed bool) {
	if !l.limited || grantedAt <= l.namedAt {
		return false
	}
	l.limited, l.endedAt = false, now
	return true
}

// State returns what is known of the limit, nil if none was ever named.
func (l *Limiter) State(now magno.Millis) *magno.LimitState {
	switch {
	case l.limited:
		return &magno.LimitState{Limited: true, Rate: l.rate, Age: now - l.namedAt}
	case l.endedAt > 0:
		return &magno.LimitState{Age: now - l.endedAt}
	}
	return nil
}

// Allows reports whether a request may be sent now.
func (l *Limiter) Allows(now magno.Millis) bool { return !l.limited || l.bucket.Allows(1, now) }

// Take counts a request that is sent. Its cost is one, or more where only a share of the limit is
// granted here.
func (l *Limiter) Take(cost float64) {
	if l.limited {
		l.bucket.Take(cost)
	}
}

// Delay returns the time until the nth request from now may be sent.
func (l *Limiter) Delay(n int, now magno.Millis) magno.Millis {
	if !l.limited {
		return 0
	}
	missing := float64(n) - l.bucket.Level(now)
	if missing <= 0 {
		return 0
	}
	return magno.Millis(missing/l.bucket.Rate*float64(magno.Second)) + 1
}

// RetryAfter returns when a request that is refused now should return. Each is told a time of
// its own.
func (l *Limiter) RetryAfter(now magno.Millis) magno.Millis {
	at := max(now+l.Delay(1, now), l.nextRetryAt)
	at = min(at, now+maxRetryAfter)
	if l.limited {
		l.nextRetryAt = at + magno.Millis(float64(magno.Second)/l.bucket.Rate)
	}
	return at - now
}
