package gate

import "magnoliastall.example/magno"

// Request is a request for admission.
type Request struct {
	// ID is unique per attempt.
	ID string `json:"id"`
	// Model is never empty; Adapter is empty for the base model itself.
	Model   string `json:"model"`
	Adapter string `json:"adapter,omitempty"`
	// Route is the name of the route, empty if the entry is of a version that doesn't send it.
	Route string `json:"route,omitempty"`
	// Customer is the customer whose share the request counts towards, empty if there is none or
	// if the entry is of a version that doesn't send it.
	Customer string `json:"customer,omitempty"`
	// Prompt and MaxOutput are in tokens. PrefixHash is the hash of the first PrefixTokens
	// tokens of the prompt.
	Prompt    int `json:"prompt"`
	MaxOutput int `json:"output"`
	// ExpectedOutput is the caller's estimate of the output tokens, zero if it gives none.
	ExpectedOutput int    `json:"length,omitempty"`
	PrefixTokens   int    `json:"shared,omitempty"`
	PrefixHash     uint64 `json:"prefix,omitempty"`
	// Rank is the priority, 0 being the highest.
	Rank int `json:"rank"`
	// StartTarget is the time within which it should start, MaxWait the longest time that it
	// may wait, and TimeLeft the time to its deadline, all from now.
	StartTarget magno.Millis `json:"aim"`
	MaxWait     magno.Millis `json:"patience"`
	TimeLeft    magno.Millis `json:"left"`
	// DeclineAbove is the expected wait above which another engine is the better choice, by
	// what the entry knows; zero for no limit.
	DeclineAbove magno.Millis `json:"most,omitempty"`
	// RoundTrip is the time that the entry measured for a call to this agent and back, zero if it
	// has not.
	RoundTrip magno.Millis `json:"trip,omitempty"`
	// MaxGap is the longest allowed pause between two events of the stream, zero for no limit.
	MaxGap magno.Millis `json:"gap,omitempty"`
}

// qualifiedName is the name of the adapter with its model, or of the model alone.
func (req *Request) qualifiedName() string { return QualifiedName(req.Model, req.Adapter) }

// QualifiedName joins a model and an adapter, which may be empty, as MODEL/ADAPTER.
func QualifiedName(model, adapter string) string {
	if adapter == "" {
		return model
	}
	return model + "/" + adapter
}

// Spec is the configuration that an agent receives for its engine.
type Spec struct {
	// Replica is the key of the engine's incarnation, ID the name by which commands address it.
	Replica string       `json:"replica"`
	ID      string       `json:"id"`
	Engine  magno.Engine `json:"engine"`
	// Pins maps MODEL/ADAPTER to the newest declared version.
	Pins map[string]int64 `json:"pins,omitempty"`
	// Weights maps customers to their weights, without those that weigh 1.
	Weights map[string]float64 `json:"weights,omitempty"`
	// Leaving is true for an engine that must not start further requests.
	Leaving bool `json:"leaving,omitempty"`
}

// queuedRequest is a request in the queue.
type queuedRequest struct {
	Request
	// startBy is when it should start, giveUpAt when it is rejected.
	queuedAt, startBy, giveUpAt, deadline magno.Millis
	// cause is why it could not start at the time accountedAt, and waits the time that it had
	// spent on each cause by then.
	cause       Cause
	accountedAt magno.Millis
	waits       Waits
	// expectedOnTime is true if its first event was expected to be on time when it arrived.
	expectedOnTime bool
	// tokens is what the engine has to prefill, eta the time until its adapter is ready, cost by
	// how much it delays those behind it, and late whether it is queued behind the requests that
	// can be on time. They are as of the last decision.
	tokens    int
	eta, cost magno.Millis
	// expectedTokens is the token memory that it is expected to need, as of its arrival.
	expectedTokens int
	late           bool
	// promoted is true for a late request that goes before those of its rank, since it would
	// give up otherwise.
	promoted bool
	// shareTag orders the requests of a rank by fair shares. overtakes is true if the request is
	// ahead of one that would be first by time.
	shareTag  float64
	overtakes bool
}

// activeRequest is an admitted request that has not ended.
type activeRequest struct {
	request   Request
	grantedAt magno.Millis
	expiresAt magno.Millis
	// prefillTokens is what the engine has to prefill of its prompt. It is set to zero at the
	// first event, or at prefillBy if none was seen.
	prefillTokens int
	prefillBy     magno.Millis
	// events is the number of events that the engine has reported for it.
	events int
	// unnamedSince is when the first of the latest reports was requested that don't name it, zero if the last
	// one does.
	unnamedSince magno.Millis
	// shareCost is what was charged to the customer's share.
	shareCost int
}

// Grant admits a request.
type Grant struct {
	ID string
	// Version is that of the adapter that the engine has loaded, zero if unknown.
	Version int64
	// Waited is the time in the queue, and Waits that time by cause.
	Waited magno.Millis
	Waits  Waits
	// Overtook is true if the request was ahead of one that would be first by time, because of its
	// customer's share.
	Overtook bool
	// ByLength is true if the token memory suffices by learned lengths, and not by declared maxima.
	ByLength bool
}

// Rejection refuses a queued request, which has not run.
type Rejection struct {
	ID      string
	Refusal *magno.Refusal
	// Waits is the time in the queue, by cause.
	Waits Waits
	// Early is true if it could have waited longer, and capacity is expected too late.
	Early bool
}

// Decline hands back a queued request, which has not run, since another engine is the better
// choice now.
type Decline struct {
	ID string
	// Expected is the wait that it would still have had, StartIn the time until it should start.
	Expected, StartIn magno.Millis
	// Waits is the time in the queue, by cause.
	Waits Waits
}

// Decisions are the results of one Decide call. Each is returned once.
type Decisions struct {
	Grants     []Grant
	Declines   []Decline
	Rejections []Rejection
}
