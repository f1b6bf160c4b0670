package magno

import (
	"context"
	"net/http"

	"github.com/cockroachdb/errors"
)

// PluginSite is the type of plug-in that connects to a platform. Its factory returns a
// Site.
const PluginSite = "site"

// Site is the platform on which processes run. Implementations only translate between its
// formats and those of this package.
type Site interface {
	// Settings reads the settings of this process. It is called again when the platform
	// reports a change.
	Settings() (*SiteSettings, error)
	// Lister returns a client of the platform's list at address.
	Lister(address string) Lister
	// Engine returns a client of the upstream at address.
	Engine(address string) EngineClient
	// Dialect returns the translation of HTTP headers.
	Dialect() Dialect
	// ReadyPath is the path of the load balancer's readiness check.
	ReadyPath() string
}

// SiteSettings are the settings of a process that its platform provides.
type SiteSettings struct {
	Name       string
	DataCentre string
	// IP is the address of this machine.
	IP string
	// CallerAddress, ReadyAddress and PeerAddress are the addresses to listen on for
	// requests, readiness checks and calls between entries, empty if not served.
	CallerAddress, ReadyAddress, PeerAddress string
	// InternalPort is for calls to the agents beside upstreams, MetricsPort for metrics.
	// Both are the same on all machines.
	InternalPort, MetricsPort int
	// UpstreamAddress is the address of the upstream beside this process, Service the
	// service that it belongs to.
	UpstreamAddress, Service string
	// Seeds are the PeerAddress of up to three entries, some of which may be gone.
	Seeds []string
	// ListAddress is the address of the platform's list.
	ListAddress string
	// QueuePlain has requests to small plain services wait at the entries.
	QueuePlain bool
	// Grace is the time between the stop signal and a forced kill.
	Grace Millis
	// Heartbeat is how often upstreams renew their entries in the list, zero if unknown.
	Heartbeat Millis
	// Lease is how long a command to an engine counts as its sender's.
	Lease Millis
	// RetryRatio and RetrySlack are the retry budget of all processes together in each
	// RetryWindow: retries per request, and an absolute number on top.
	RetryRatio, RetrySlack float64
	RetryWindow            Millis
	// MaxRevokeDelay is how long an API key may be accepted after it was revoked, also by
	// processes that are partitioned; zero means no limit.
	MaxRevokeDelay Millis
	// QuotaWindow is the window over which customers' rate limits are measured, zero if the
	// platform states none.
	QuotaWindow Millis
	// MemoryLimit is the limit of this process in bytes, zero if there is none.
	MemoryLimit int64
	// LinkMbps is the network bandwidth of this machine in megabits per second, zero if
	// unknown.
	LinkMbps float64
}

// ErrCompacted means that the list no longer has the requested changes. All items must be
// read again.
var ErrCompacted = errors.New("requested changes were compacted from the list")

// ErrRestored means that the list came back from an older copy: revisions of before say nothing
// about it, and all items must be read again.
var ErrRestored = errors.New("the list was restored from an older copy")

// Lister is a client of the platform's list.
type Lister interface {
	// All returns all items and the revision from which Wait continues without gaps. Unless
	// fresh, the result may be seconds old, which costs the platform less. It returns
	// ErrRestored if the list was restored meanwhile.
	All(ctx context.Context, fresh bool) ([]Change, Revision, error)
	// Wait returns the changes after a revision as soon as there are any, at the latest
	// after wait, and the revision to continue from. It returns ErrCompacted or ErrRestored if
	// the list doesn't have all of these changes.
	Wait(ctx context.Context, after Revision, wait Millis) ([]Change, Revision, error)
}

// Call is the metadata of a caller's request.
type Call struct {
	// ID identifies the attempt. It is forwarded unchanged.
	ID string
	// Left is the time until the caller's deadline, zero if it states none.
	Left Millis
	// Model and Adapter are empty for a plain service.
	Model, Adapter string
	// Prompt, Output and Length are numbers of tokens. Output is the maximum to generate,
	// Length what the caller expects, zero if not stated.
	Prompt, Output, Length int
	// Prefix is a hash of the part of the prompt that is shared with other requests, Shared
	// its number of tokens.
	Prefix uint64
	Shared int
	// Parts are the IDs of the parts of the prompt but the last, which no other request has.
	Parts []string
	// From is the event after which to resume a stream, empty for the whole stream. Resumes is the
	// ID of the attempt that brought its first event, empty if not stated.
	From, Resumes string
	// Key is the Authorization header, which identifies the caller's customer.
	Key string
}

// ForwardInfo is what an entry adds to a request that it forwards.
type ForwardInfo struct {
	// Replica is the only incarnation that may execute the request.
	Replica string
	// Left is the time until the deadline.
	Left Millis
	// Urgency is the priority from 0 to 9, 0 highest.
	Urgency int
	// Version is the required version of the adapter, zero for any.
	Version int64
	// Customer is the owner of the caller's API key, empty if none is needed.
	Customer string
	// Keyed is true if callers have API keys, which must not be forwarded to upstreams.
	Keyed bool
	// From is the last event that the caller received, empty for the whole stream.
	From string
}

// Reply is the metadata of an upstream's answer.
type Reply struct {
	// ID is the attempt that is answered, empty if not stated.
	ID string
	// NotRun is true if the upstream states that it did not and will not execute the
	// request.
	NotRun bool
	// Misrouted is true if another incarnation answered in its place, or if the model isn't
	// loaded there. NotRun is then true as well.
	Misrouted bool
	// Signed is true if the answer has the upstream's signature.
	Signed bool
	// Notice is what the upstream states about itself.
	Notice Notice
}

// Notice is what an upstream states about itself in an answer or a report.
type Notice struct {
	// Limited is true if the upstream states how many requests it accepts. Rate is that limit
	// in requests per second from all processes together, at least 0.
	Limited bool
	Rate    float64
	// Leaving is true if the upstream is about to stop. It is to be sent no new work.
	Leaving bool
	// RetryAfter is set if the upstream turned the request away and accepts nothing from this
	// process for that time.
	RetryAfter Millis
}

// LimitState is what a process knows of an upstream's limit.
type LimitState struct {
	// Limited is true if the upstream names a limit, which is Rate requests per second. It is
	// false if a limit has ended.
	Limited bool    `json:"limited"`
	Rate    float64 `json:"rate,omitempty"`
	// Age is the time since the limit was last known to hold, or since it ended.
	Age Millis `json:"age"`
}

// LimitGrant is the decision on one request to an upstream that names a limit.
type LimitGrant struct {
	Granted bool `json:"granted"`
	// RetryAfter is when to ask again if it isn't granted.
	RetryAfter Millis `json:"after,omitempty"`
	// Rate is the limit that was applied.
	Rate float64 `json:"rate,omitempty"`
	// At is the time of the decision on the clock of the process that made it, and Process
	// identifies that process.
	At      Millis `json:"at,omitempty"`
	Process uint64 `json:"process,omitempty"`
}

// Dialect translates HTTP headers.
type Dialect interface {
	// Read parses the header of a caller's request, and removes from it the fields that
	// callers may not set.
	Read(h http.Header) Call
	// Write sets the header of a request to an upstream.
	Write(h http.Header, o ForwardInfo)
	// Reply parses the status and header of an upstream's answer.
	Reply(status int, h http.Header) Reply
}

// Report is the status report of an engine.
type Report struct {
	// StartedAt changes with each start of the engine.
	StartedAt Millis
	// Orders counts the commands accepted since the start.
	Orders int64
	// Busy is true while it executes a command that excludes others.
	Busy bool
	// Running and Queued count requests. Used is the part of the KV cache that can't be
	// evicted, in tokens.
	Running, Queued, Used int
	// Loaded maps base models to the versions of their loaded adapters.
	Loaded map[string]map[string]int64
	// Loading lists the adapters that are being loaded.
	Loading []Pin
	// LocalModels lists the base models in host memory or on the local disk, which load
	// without the weight store.
	LocalModels []string
	// Streams lists the streaming requests that have begun to answer.
	Streams []Stream
	// Notice is what the engine states about itself.
	Notice Notice
}

// Stream is a running request with a streamed answer that has begun.
type Stream struct {
	// ID identifies the caller's attempt.
	ID string
	// Events is the number of events generated so far, at least 1.
	Events int
}

// Command tells an engine to load or unload a model or adapter.
type Command struct {
	// Load is false for a command to unload.
	Load bool
	// Model is always set, Adapter only for an adapter of the model.
	Model, Adapter string
	// Version is the version to load, zero for the newest.
	Version int64
	// Replica is the incarnation that the command is for.
	Replica string
	// Holder is the sender and Fence its fencing token, which never decreases.
	Holder string
	Fence  int64
}

// Outcome is the result of a command.
type Outcome int

// The results of a command. Without an answer it may have been accepted.
const (
	OrderUnknown   Outcome = iota
	OrderAccepted          // it is in progress
	OrderDone              // it was done before
	OrderBusy              // another command is in progress
	OrderFenced            // a higher fencing token was seen
	OrderMisrouted         // another incarnation answered, or the model isn't loaded
	OrderInvalid           // the command is invalid
)

// outcomeNames are used in logs.
var outcomeNames = [...]string{"unknown", "accepted", "done", "busy", "fenced", "else", "invalid"}

// String names the outcome.
func (o Outcome) String() string { return outcomeNames[o] }

// EngineClient is the client of an engine, used by the process beside it.
type EngineClient interface {
	Report(ctx context.Context) (*Report, error)
	Order(ctx context.Context, c Command) (Outcome, error)
}
