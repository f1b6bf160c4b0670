package magno

import (
	"fmt"
	"net/http"
)

// Kind is the reason why a request was not answered. The list is closed: each
// kind has one row in the table below, and callers see its name.
type Kind string

// The error kinds.
const (
	KindMalformed   Kind = "malformed"   // the body or a header can't be read
	KindTooLarge    Kind = "large"       // the body is over the limit
	KindNoProfile   Kind = "profile"     // no profile of this name
	KindRetired     Kind = "retired"     // the profile or version is retired
	KindNoKey       Kind = "key"         // a call that may not be repeated has no idempotency key
	KindStaleKey    Kind = "stale"       // the key's time is outside the retention window
	KindMismatch    Kind = "mismatch"    // the key was used before for another body
	KindPast        Kind = "past"        // the deadline had passed on arrival
	KindCredential  Kind = "credential"  // the caller's key belongs to no customer
	KindOutdated    Kind = "outdated"    // keys may have been withdrawn since the configuration was last confirmed
	KindQuota       Kind = "quota"       // the customer is over its rate limit
	KindBusy        Kind = "busy"        // the queue can't finish it before its deadline
	KindShare       Kind = "share"       // the customer or caller is over its share
	KindLoading     Kind = "loading"     // its adapter can't be loaded in time
	KindNoUpstream  Kind = "upstream"    // no upstream of the pool can be reached
	KindLeaving     Kind = "leaving"     // the instance is leaving and takes no new work
	KindStarting    Kind = "starting"    // the process has no configuration yet
	KindSuspect     Kind = "suspect"     // requests like it crashed upstreams
	KindLater       Kind = "later"       // no quorum of witnesses now; an earlier copy may have run
	KindUnknown     Kind = "unknown"     // it may or may not have run
	KindInterrupted Kind = "interrupted" // an answer was cut off after it began
	KindDeadline    Kind = "deadline"    // the deadline passed while it waited
	KindCancelled   Kind = "cancelled"   // the caller went away
	KindFailed      Kind = "failed"      // the upstream ran it and answered with an error
	KindDenied      Kind = "denied"      // the peer is not on the list
	KindInternal    Kind = "internal"    // a fault of this system
)

// Run says whether a request reached an upstream's execution.
type Run string

// The three values of Run. RunNo is told only where the request was not run
// and never will be under the same attempt.
const (
	RunNo      Run = "no"
	RunYes     Run = "yes"
	RunUnknown Run = "unknown"
)

// Answer is what a kind means to a caller.
type Answer struct {
	// Status is the HTTP status code.
	Status int
	// Run is told when the refusal doesn't state a value of its own.
	Run Run
	// Again is true when the same request may succeed later; RetryAfter is
	// then always sent.
	Retryable bool
}

// answers is the table from kind to answer.
var answers = map[Kind]Answer{
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

// Answer returns the kind's row of the table; a kind from a newer peer counts
// as internal.
func (k Kind) Answer() Answer {
	a, ok := answers[k]
	if !ok {
		return answers[KindInternal]
	}
	return a
}

// Kinds lists every kind, in no particular order.
func Kinds() []Kind {
	kinds := make([]Kind, 0, len(answers))
	for k := range answers {
		kinds = append(kinds, k)
	}
	return kinds
}

// Refusal is the error that ends a request. It travels unchanged from the
// process that decided to the caller.
type Refusal struct {
	Kind Kind `json:"kind"`
	// Run is never empty once the refusal is made by Refuse.
	Run Run `json:"run"`
	// Field names what was wrong in the request; empty when nothing was.
	Field string `json:"field,omitempty"`
	// Detail is one plain sentence for a person.
	Detail string `json:"detail,omitempty"`
	// After is when to come back, from now; zero means not at all.
	After Millis `json:"after,omitempty"`
}

// Refuse makes a refusal with the kind's own value of Run.
func Refuse(kind Kind, format string, args ...any) *Refusal {
	r := &Refusal{Kind: kind, Run: kind.Answer().Run, Detail: fmt.Sprintf(format, args...)}
	if kind.Answer().Retryable {
		r.After = Second
	}
	return r
}

// At names the field at fault and returns r.
func (r *Refusal) WithField(field string) *Refusal {
	r.Field = field
	return r
}

// Later sets when to come back and returns r.
func (r *Refusal) WithRetryAfter(after Millis) *Refusal {
	r.After = max(after, 1)
	return r
}

// Ran sets whether the request was run and returns r.
func (r *Refusal) WithRun(run Run) *Refusal {
	r.Run = run
	return r
}

// Error returns kind, field and detail in one line.
func (r *Refusal) Error() string {
	if r.Field == "" {
		return fmt.Sprintf("%s: %s", r.Kind, r.Detail)
	}
	return fmt.Sprintf("%s: %s: %s", r.Kind, r.Field, r.Detail)
}
