package magno

import (
	"context"
	"net/http"

	"github.com/cockroachdb/errors"
)

// SortSite is the sort of plug-in that speaks for a platform; its maker
// returns a Site.
const PluginSite = "site"

// Site is a platform that processes run on. An implementation translates and
// decides nothing.
type Site interface {
	// Settings reads the settings of this process. It is called again when
	// the platform says that they changed.
	Settings() (*SiteSettings, error)
	// Lister reads what the platform publishes at address.
	Lister(address string) Lister
	// Engine speaks to the upstream at address.
	Engine(address string) EngineClient
	// Dialect reads and writes the headers of requests and answers.
	Dialect() Dialect
	// ReadyPath is where the balancer asks whether new connections are wanted.
	ReadyPath() string
}

// SiteSettings are what a platform tells a process of itself.
type SiteSettings struct {
	Name       string
	DataCentre string
	// IP is this machine's address.
	IP string
	// Callers, Ready and Peers are addresses to listen on, empty when this
	// process does not serve them.
	CallerAddress, ReadyAddress, PeerAddress string
	// Inner is a port for calls between processes beside upstreams, and Spare
	// one for metrics; both are the same on all machines.
	InternalPort, MetricsPort int
	// Upstream is the address of the upstream beside this process, Service
	// the pool that it belongs to.
	UpstreamAddress, Service string
	// Seeds are Peers addresses of up to three entries; some may be gone.
	Seeds []string
	// List is the address of the platform's list.
	ListAddress string
	// Grace is the time from the request to stop to the end by force.
	Grace Millis
	// Lease is how long an order counts as its giver's.
	Lease Millis
	// RetryRatio and RetrySlack bound sends beyond the first of each request,
	// over all processes, in each RetryWindow.
	RetryRatio, RetrySlack float64
	RetryWindow            Millis
	// Revoke is how long after a key is withdrawn it may still be accepted, by processes
	// that are cut off as well; zero where that isn't bounded.
	MaxRevokeDelay Millis
	// QuotaWindow is the span in which customers' allowances are bounded, zero where the
	// platform states none.
	QuotaWindow Millis
	// Memory is the limit of this process in bytes, zero when there is none.
	MemoryLimit int64
	// Link is the bandwidth of this machine's link in megabits a second, zero
	// when the platform doesn't say.
	LinkMbps float64
}

// ErrCompacted tells that the list no longer has the changes asked for; all
// items must be read again.
var ErrCompacted = errors.New("the list has dropped these changes")

// Lister reads the platform's list of items.
type Lister interface {
	// All returns every item and a revision from which Wait misses nothing. What
	// isn't fresh may be seconds old and costs the platform less.
	All(ctx context.Context, fresh bool) ([]Change, int64, error)
	// Wait returns the changes after a revision as soon as there are any, at
	// the latest after wait, and the revision to go on from.
	Wait(ctx context.Context, after int64, wait Millis) ([]Change, int64, error)
}

// Call is what a caller's request says of itself.
type Call struct {
	// ID names the attempt; it goes on unchanged.
	ID string
	// Left is how long the caller waits; zero when it doesn't say.
	Left Millis
	// Model and Adapter are empty for a plain service.
	Model, Adapter string
	// Prompt and Output are tokens; Output is the most that may be made, Length
	// what the caller expects, zero when it doesn't say.
	Prompt, Output, Length int
	// Prefix hashes the parts of the prompt that other requests share, Shared
	// is their tokens.
	Prefix uint64
	Shared int
	// From is the event to go on after, empty for a whole stream.
	From string
	// Key is the Authorization header, which names the caller's customer.
	Key string
}

// Onward is what an entry adds to a request that it sends on.
type ForwardInfo struct {
	// Replica is the only incarnation that may run it.
	Replica string
	// Left is the time that remains.
	Left Millis
	// Urgency is 0 to 9, 0 first.
	Urgency int
	// Version of the adapter that must run it, zero for any.
	Version int64
	// Customer is whom the caller's key belongs to, empty where none is needed.
	Customer string
	// Keyed is true where callers have keys, which upstreams must not see.
	Keyed bool
	// From is the last event that the caller has, empty for a whole stream.
	From string
}

// Reply is what an upstream's answer says of itself.
type Reply struct {
	// ID is the attempt that it answers, empty when it doesn't say.
	ID string
	// NotRun is true when the upstream states that it did not and will not
	// run the request.
	NotRun bool
	// Elsewhere is true when another incarnation answered in its place, or
	// the model isn't held; NotRun is true as well.
	Misrouted bool
	// Signed is true when the answer carries the upstream's signature.
	Signed bool
}

// Dialect translates headers.
type Dialect interface {
	// Read takes a caller's request and removes from its header what callers
	// may not set.
	Read(h http.Header) Call
	// Write sets what goes with a request to an upstream.
	Write(h http.Header, o ForwardInfo)
	// Reply reads an upstream's answer.
	Reply(status int, h http.Header) Reply
}

// Report is what an engine says of itself.
type Report struct {
	// Born changes with each start of the engine.
	StartedAt Millis
	// Orders counts the orders that it accepted since.
	Orders int64
	// Busy is true while it carries out an order that excludes others.
	Busy bool
	// Running and Queued count requests, Used is the memory of prompts that
	// can't yield, in tokens.
	Running, Queued, Used int
	// Held maps a base model to the adapters present and their versions.
	Loaded map[string]map[string]int64
	// Coming lists adapters that are being loaded.
	Loading []Pin
	// Warm lists base models that load without the weight store.
	LocalModels []string
	// Runs lists the requests that make events.
	Streams []Stream
}

// Stream is a request that an engine works on and that has begun to answer.
type Stream struct {
	// ID is the caller's attempt.
	ID string
	// Events is how many pieces of its answer were made, at least 1.
	Events int
}

// Command is an order to an engine.
type Command struct {
	// Load is true to load, false to unload.
	Load bool
	// Model is always set, Adapter for an adapter of it.
	Model, Adapter string
	// Version to load, zero for the newest.
	Version int64
	// Replica is the incarnation that the order is for.
	Replica string
	// Holder and Fence say who orders; Fence never falls.
	Holder string
	Fence  int64
}

// Outcome is what became of an order.
type Outcome int

// The outcomes of an order. Without an answer it may have been accepted.
const (
	OrderUnknown   Outcome = iota
	OrderAccepted          // it is being carried out
	OrderDone              // it holds already
	OrderBusy              // another order is under way
	OrderFenced            // a higher fence was seen
	OrderMisrouted         // another incarnation, or the model isn't there
	OrderInvalid           // no such order exists
)

// outcomeNames are what logs say.
var outcomeNames = [...]string{"unknown", "accepted", "done", "busy", "fenced", "else", "invalid"}

// String names the outcome.
func (o Outcome) String() string { return outcomeNames[o] }

// Engineer is an engine as the process beside it sees it.
type EngineClient interface {
	Report(ctx context.Context) (*Report, error)
	Order(ctx context.Context, c Command) (Outcome, error)
}
