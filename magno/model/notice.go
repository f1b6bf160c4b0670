package model

import (
	"math"
	"net/http"
	"strconv"
	"strings"

	"magnoliastall.example/magno"
)

// Headers in which an upstream states something about itself; see docs/PROTOCOLS.md.
const (
	limitHeader      = "X-Limit"     // requests per second that it accepts
	leavingHeader    = "X-Leaving"   // 1 while it is about to stop
	retryAfterHeader = "Retry-After" // seconds for which it accepts nothing, with 429 and 503
)

// maxRestSeconds bounds the time for which an upstream can keep requests away.
const maxRestSeconds = 300

// Notices passes on what the answers of an upstream state. The zero value passes on nothing.
type Notices struct {
	clock *magno.Clock
	take  func(n magno.Notice, sentAt magno.Millis)
}

// OnNotice implements magno.NoticeSource.
func (s *Notices) OnNotice(clock *magno.Clock, take func(n magno.Notice, sentAt magno.Millis)) {
	s.clock, s.take = clock, take
}

// Now returns the time by the clock that notices are passed on with.
func (s *Notices) Now() magno.Millis { return s.clock.Now() }

// Pass passes on what a response to a request sent at the given time states.
func (s *Notices) Pass(resp *http.Response, sentAt magno.Millis) {
	if s.take != nil {
		s.take(parseNotice(resp.StatusCode, resp.Header), sentAt)
	}
}

func parseNotice(status int, h http.Header) magno.Notice {
	n := magno.Notice{Leaving: strings.TrimSpace(h.Get(leavingHeader)) == "1"}
	n.Rate, n.Limited = parseNumber(h.Get(limitHeader))
	if status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable {
		seconds, _ := parseNumber(h.Get(retryAfterHeader))
		n.RetryAfter = magno.Millis(math.Ceil(min(seconds, maxRestSeconds) * float64(magno.Second)))
	}
	return n
}

// parseNumber parses a finite number that isn't negative. It returns 0 and false for anything
// else.
func parseNumber(text string) (float64, bool) {
	x, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
	if err != nil || !(x >= 0) || math.IsInf(x, 1) {
		return 0, false
	}
	return x, true
}
