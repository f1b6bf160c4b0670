package magno

import (
	"fmt"
	"net/http"
)

// Kind is the reason for which a request failed. The list is closed: each kind has a row
// in the table below, and its name is part of the API.
type Kind string

// The error kinds.
const (
	KindMalformed   Kind = "malformed"   // the body or a header can't be parsed
	KindTooLarge    Kind = "large"       // the body is over the limit
	KindNoProfile   Kind = "profile"     // unknown profile
	KindRetired     Kind = "retired"     // the profile or version is retired
	KindNoKey       Kind = "key"         // a request that isn't idempotent has no idempotency key
	KindStaleKey    Kind = "stale"       // the time in the idempotency key is outside the retention window
	KindMismatch    Kind = "mismatch"    // the idempotency key was used before with another body
	KindPast        Kind = "past"        // the deadline had passed on arrival
	KindCredential  Kind = "credential"  // the API key belongs to no customer
	KindOutdated    Kind = "outdated"    // API keys may have been revoked since the configuration was last confirmed
	KindQuota       Kind = "quota"       // the customer is over its rate limit
	KindBusy        Kind = "busy"        // the queue is too long to finish it before its deadline
	KindShare       Kind = "share"       // the customer or caller exceeds its fair share
	KindLoading     Kind = "loading"     // its adapter can't be loaded before the deadline
	KindNoUpstream  Kind = "upstream"    // no upstream of the pool can be reached
	KindLeaving     Kind = "leaving"     // the instance is shutting down and accepts no new work
	KindStarting    Kind = "starting"    // the process has no configuration yet
	KindSuspect     Kind = "suspect"     // requests with its fingerprint crashed upstreams
	KindLater       Kind = "later"       // no quorum of witnesses at present; an earlier copy may have run
	KindUnknown     Kind = "unknown"     // it may or may not have run
	KindInterrupted Kind = "interrupted" // the answer broke off after it began
	KindDeadline    Kind = "deadline"    // the deadline passed while it was queued
	KindCancelled   Kind = "cancelled"   // the caller disconnected
	KindFailed      Kind = "failed"      // the upstream executed it and returned an error
	KindDenied      Kind = "denied"      // the peer's address isn't on the allowlist
	KindInternal    Kind = "internal"    // an error of this system
)

// Run tells whether an upstream executed a request.
type Run string

// The values of Run. RunNo means that the request was not executed and never will be as
// part of the same attempt.
const (
	RunNo      Run = "no"
	RunYes     Run = "yes"
	RunUnknown Run = "unknown"
)

// Answer is the response to callers for a kind.
type Answer struct {
	// Status is the HTTP status code.
	Status int
	// Run is the default for refusals that don't set a value of their own.
	Run Run
	// Retryable is true if the same request may succeed later. The response then always
	// has a Retry-After header.
	Retryable bool
}

// answersByKind is documented in README.md; TestKindsOnPage compares the two.
var answersByKind = map[Kind]Answer{
	KindMalformed:   {http.StatusBadRequest, RunNo, false},
	KindTooLarge:    {http.StatusRequestEntityTooLarge, RunNo, false},
	KindNoProfile:   {http.StatusNotFound, RunNo, false},
	KindRetired:     {http.StatusGone, RunNo, false},
	KindNoKey:       {http.StatusBadRequest, RunNo, false},
	KindStaleKey:    {http.StatusConflict, RunUnknown, false},
	KindMismatch:    {http.StatusUnprocessableEntity, RunNo, false},
	KindPast:        {http.StatusRequestTimeout, RunNo, false},
	KindCredential:  {http.StatusUnauthorized, RunNo, false},
	KindOutdated:    {http.StatusServiceUnavailable, RunNo, true},
	KindQuota:       {http.StatusTooManyRequests, RunNo, true},
	KindBusy:        {http.StatusTooManyRequests, RunNo, true},
	KindShare:       {http.StatusTooManyRequests, RunNo, true},
	KindLoading:     {http.StatusServiceUnavailable, RunNo, true},
	KindNoUpstream:  {http.StatusServiceUnavailable, RunNo, true},
	KindLeaving:     {http.StatusServiceUnavailable, RunNo, true},
	KindStarting:    {http.StatusServiceUnavailable, RunNo, true},
	KindSuspect:     {http.StatusUnprocessableEntity, RunNo, false},
	KindLater:       {http.StatusServiceUnavailable, RunUnknown, true},
	KindUnknown:     {http.StatusBadGateway, RunUnknown, false},
	KindInterrupted: {http.StatusBadGateway, RunUnknown, false},
	KindDeadline:    {http.StatusGatewayTimeout, RunNo, true},
	KindCancelled:   {499, RunUnknown, false},
	KindFailed:      {http.StatusBadGateway, RunYes, false},
	KindDenied:      {http.StatusForbidden, RunNo, false},
	KindInternal:    {http.StatusInternalServerError, RunUnknown, false},
}

// Answer returns the response for a kind. An unknown kind, from a peer with a newer
// version, counts as internal.
func (k Kind) Answer() Answer {
	a, ok := answersByKind[k]
	if !ok {
		return answersByKind[KindInternal]
	}
	return a
}

// Kinds returns all kinds in no particular order.
func Kinds() []Kind {
	kinds := make([]Kind, 0, len(answersByKind))
	for k := range answersByKind {
		kinds = append(kinds, k)
	}
	return kinds
}

// Refusal is the error with which a request fails. It is forwarded unchanged from the
// process that failed the request to the caller.
type Refusal struct {
	Kind Kind `json:"kind"`
	// Run is never empty in a refusal from Refuse.
	Run Run `json:"run"`
	// Field names the invalid part of the request; empty if there is none.
	Field string `json:"field,omitempty"`
	// Detail is a short explanation for people.
	Detail string `json:"detail,omitempty"`
	// After is the delay before a retry; zero means don't retry.
	After Millis `json:"after,omitempty"`
	// Ended is set within an agent if the upstream ended while it ran the work.
	Ended *UpstreamEnd `json:"-"`
}

// Refuse returns a refusal with the defaults of its kind.
func Refuse(kind Kind, format string, args ...any) *Refusal {
	r := &Refusal{Kind: kind, Run: kind.Answer().Run, Detail: fmt.Sprintf(format, args...)}
	if kind.Answer().Retryable {
		r.After = Second
	}
	return r
}

// WithField sets the invalid field and returns r.
func (r *Refusal) WithField(field string) *Refusal {
	r.Field = field
	return r
}

// WithRetryAfter sets the delay before a retry, at least 1 ms, and returns r.
func (r *Refusal) WithRetryAfter(after Millis) *Refusal {
	r.After = max(after, 1)
	return r
}

// WithRun sets whether the request was executed and returns r.
func (r *Refusal) WithRun(run Run) *Refusal {
	r.Run = run
	return r
}

// Error returns kind, field and detail on one line.
func (r *Refusal) Error() string {
	if r.Field == "" {
		return fmt.Sprintf("%s: %s", r.Kind, r.Detail)
	}
	return fmt.Sprintf("%s: %s: %s", r.Kind, r.Field, r.Detail)
}
