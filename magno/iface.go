package magno

import (
	"context"

	"github.com/cespare/xxhash/v2"
)

// Hash is a short name of the reference for reports between processes. Two
// references with one hash cost a needless load at worst.
func (r Ref) Hash() uint32 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(r.Adapter)
	_, _ = d.WriteString("@")
	_, _ = d.WriteString(r.Version)
	return uint32(d.Sum64())
}

// Job is a request as decisions see it: what it needs and what it costs.
type Job struct {
	// ID is unique for each attempt.
	ID       string `json:"id"`
	Customer string `json:"customer"`
	// Caller is a stable name of who asks; fairness within a customer.
	Caller  string `json:"caller,omitempty"`
	Profile string `json:"profile"`
	Ref     Ref    `json:"ref"`
	// Urgency is 0 to 9, most urgent 9.
	Urgency int `json:"urgency"`
	// Stall is the profile's weight of load stalls, 0 to 1.
	Stall float64 `json:"stall,omitempty"`
	// Prompt and Output are tokens; Output is what is expected, at most what
	// the caller allows.
	Prompt int `json:"prompt"`
	Output int `json:"output"`
	// Prefix is a hash of the prompt's start, zero when there is none.
	Prefix uint64 `json:"prefix,omitempty"`
	// Print is a hash of the whole request: its fingerprint as a suspect.
	Fingerprint uint64 `json:"print,omitempty"`
	// Arrived and Deadline are points in time.
	Arrived  Millis `json:"arrived"`
	Deadline Millis `json:"deadline"`
	// Repeat is true when the job is idempotent.
	Idempotent bool `json:"repeat,omitempty"`
}

// Limits are what an upstream states of itself.
type Limits struct {
	// Slots is the number of adapters it holds at once.
	Slots int `json:"slots"`
	// Batch is the number of requests that run in one step.
	Batch int `json:"batch"`
	// Tokens is the capacity of a step.
	Tokens int `json:"tokens"`
	// Step is the time of a step in milliseconds.
	Step Millis `json:"step"`
	// Load is the time of an adapter load at full speed.
	Load Millis `json:"load"`
}

// OrderKind is what a scheduler wants done.
type OrderKind string

// The orders.
const (
	OrderStart  OrderKind = "start"  // send Job to the upstream; Ref is pinned until Done
	OrderLoad   OrderKind = "load"   // load Ref into a slot
	OrderUnload OrderKind = "unload" // evict Ref; nothing uses it
	OrderRefuse OrderKind = "refuse" // end Job with Refusal; it was not run
)

// Order is one decision of a scheduler, carried out by the agent.
type Order struct {
	Kind    OrderKind
	Job     Job
	Ref     Ref
	Refusal *Refusal
}

// Backlog is what a scheduler tells of itself; it rides on answers.
type Backlog struct {
	// Wait is the expected time until a job that came now would start, its
	// adapter being loaded.
	Wait Millis `json:"wait,omitempty"`
	// Queued and Running count jobs.
	Queued  int `json:"queued,omitempty"`
	Running int `json:"running,omitempty"`
	// Work is the tokens queued and still to be made.
	Work int `json:"work,omitempty"`
	// Rate is how many tokens of work it takes in a millisecond, zero when it
	// doesn't say.
	Rate float64 `json:"rate,omitempty"`
	// Pinned and Held count adapters.
	Pinned int `json:"pinned,omitempty"`
	Held   int `json:"held,omitempty"`
	// Customer maps a customer to its queued tokens.
	Customer map[string]int `json:"customer,omitempty"`
	// Waits maps each customer with queued jobs to the Wait of one more of its
	// jobs: in fair order it is shorter for one with little queued.
	Waits map[string]Millis `json:"waits,omitempty"`
	// Loads counts adapters that queued jobs wait for, LoadWait is the
	// expected wait of one more.
	Loads    int    `json:"loads,omitempty"`
	LoadWait Millis `json:"loadwait,omitempty"`
	// BaseWait is how long until a base model is there, zero where one is.
	BaseWait Millis `json:"basewait,omitempty"`
	// Warm holds Ref.Hash of each loaded adapter in ascending order; a slice
	// that was handed out is never changed.
	Warm []uint32 `json:"warm,omitempty"`
	// Kept holds, likewise, those that it loads from its own memory, and KeptWait
	// is the expected wait of one of them.
	Cached     []uint32 `json:"kept,omitempty"`
	CachedWait Millis   `json:"keptwait,omitempty"`
	// Coming holds, likewise, those that are being loaded or that jobs wait
	// for.
	Loading []uint32 `json:"coming,omitempty"`
	// Pause is the longest pause between two events of a stream there, on average;
	// zero where none is known.
	EventGap Millis `json:"pause,omitempty"`
	// Down is true while the upstream is known not to answer. Whoever asks for the
	// rest finds that out, so it isn't told with it.
	Down bool `json:"-"`
}

// Scheduler decides for one upstream: whom to serve, who waits, who is
// refused, what is loaded and evicted. It needs no network, and one goroutine
// calls it.
type Scheduler interface {
	// Offer takes a job or refuses it at once; nil means it is queued.
	Offer(job Job) *Refusal
	// Next returns what is to be done now. Each order is returned once.
	Next() []Order
	// Tokens tells that a running job made n more tokens.
	Tokens(id string, n int)
	// Done ends a started job and frees its pin; ok is false when the
	// upstream failed it.
	Done(id string, ok bool)
	// Cancel ends a job; true means it had not been started.
	Cancel(id string) bool
	// Loaded ends an ordered load; ok is false when it failed.
	Loaded(ref Ref, ok bool)
	// Unloaded ends an ordered eviction.
	Unloaded(ref Ref)
	// Reset tells that the upstream restarted empty. Jobs that ran are gone;
	// their IDs are returned, and the caller decides what becomes of them.
	Reset() []string
	// Backlog describes the present state.
	Backlog() Backlog
	// Holds lists the adapters in slots and whether each is pinned.
	Holds() map[Ref]bool
}

// Turner is implemented by schedulers that share the weight store's allowance
// with the rest of the fleet: they return OrderLoad only on a turn. Want is
// called only while Backlog().Loads is over zero.
type TurnTaker interface {
	// Want tells the adapter whose wait for a load does most harm now, and
	// the harm; ok is false when no load is wanted or none could be begun.
	Want() (ref Ref, harm float64, ok bool)
	// Turn allows one load to be ordered until then.
	Turn(until Millis)
}

// Target is an upstream as a router sees it.
type Target struct {
	// Name is the instance's name.
	Name       string
	DataCentre string
	// Leaving targets get no new work.
	Leaving bool
}

// Query is what a route depends on.
type Query struct {
	Ref    Ref
	Prefix uint64
	// Customer is whose work it is; empty when it doesn't matter.
	Customer string
	// DataCentre is the asker's own.
	DataCentre string
	// Work is the request's tokens.
	Work int
	// Aim is when its first event is due, Gap the longest pause between two that it
	// allows; zero where it states none.
	Aim, Gap Millis
	// Avoid holds names that were tried already.
	Avoid []string
}

// Router decides where work of one pool goes. Its work for each query does
// not grow with the pool. It is safe for concurrent use.
type Router interface {
	// Update replaces the targets.
	Update(targets []Target)
	// Route returns names in order of preference, at most a few.
	Route(q Query) []string
	// Report takes the backlog that rode on an answer of name.
	Report(name string, b Backlog)
	// Sent tells that work was sent, or with less than none that it was not
	// after all. Ended tells that it was answered after took; ok is false when
	// the target failed or couldn't be reached.
	Sent(name string, work int)
	Ended(name string, work int, took Millis, ok bool)
}

// Piece is one part of an answer as it streams.
type Piece struct {
	Text string `json:"text"`
	// Tokens is how many tokens the piece holds.
	Tokens int `json:"tokens"`
}

// Choice is what a router prefers.
type Choice struct {
	// Names are in order of preference.
	Names []string
	// Most is the longest wait with which the first of them is still better than
	// the second, zero where there is no second.
	MaxWait Millis
}

// Chooser is a router that knows by how much the first is better. A target whose
// wait has grown beyond that since its last report can say so.
type Chooser interface {
	Router
	Choose(q Query) Choice
}

// Homer is implemented by routers that know the home of an idempotency key.
type HomeRouter interface {
	// Homes returns the first n homes in order, the same on every entry that
	// has the same targets and reports. Of q it takes Ref and Customer.
	Homes(q Query, key string, n int) []string
}

// Result is a whole answer.
type Result struct {
	// Ref is the adapter and version that the upstream says it ran.
	Ref Ref `json:"ref"`
	// Text is the whole answer, equal to all pieces joined.
	Text string `json:"text"`
	// Prompt and Output are tokens.
	Prompt int `json:"prompt"`
	Output int `json:"output"`
	// Finish is the engine's reason: stop or length.
	Finish string `json:"finish,omitempty"`
	// Type is the content type of a plain service's answer.
	ContentType string `json:"type,omitempty"`
	// Stall is how long the job waited for its adapter, in milliseconds.
	Stall Millis `json:"stall"`
	// Queue is how long it waited in all before it was started.
	Queue Millis `json:"queue"`
}

// Work is what is sent to an upstream.
type Work struct {
	Job Job `json:"job"`
	// Path is the call of a plain service, empty for an engine.
	Path string `json:"path,omitempty"`
	// Body is the prompt of an engine, or the body of a plain call.
	Body string `json:"body"`
	// Type is the content type of a plain call.
	ContentType string `json:"type,omitempty"`
	// Max is the most tokens to generate.
	MaxTokens int `json:"max,omitempty"`
}

// Upstream is a back end as its agent sees it.
type Upstream interface {
	// Run runs work and calls emit for each piece in order. A *Refusal with
	// RunNo means that the upstream did not begin.
	Run(ctx context.Context, w Work, emit func(Piece)) (Result, error)
	// Load puts ref into a slot, Unload takes it out. Both carry fence, which
	// grows with each start of an agent.
	Load(ctx context.Context, ref Ref, fence int64) error
	Unload(ctx context.Context, ref Ref, fence int64) error
	// Probe tells the limits, what is loaded and a number that changes when
	// the upstream restarts.
	Probe(ctx context.Context) (Probe, error)
}

// Probe is an upstream's report of itself; it may lag.
type Probe struct {
	Limits Limits `json:"limits"`
	// Boot changes with each restart of the upstream.
	Boot   int64 `json:"boot"`
	Loaded []Ref `json:"loaded"`
	// Steps, Capacity and Used count engine steps and tokens since Boot:
	// Used/Capacity is the batch efficiency.
	Steps    int64 `json:"steps"`
	Capacity int64 `json:"capacity"`
	Used     int64 `json:"used"`
}

// Asker carries a call to the witness in a member's slot. An error means that
// no answer came; the witness may have given the key nevertheless.
type WitnessClient interface {
	Ask(ctx context.Context, member string, call GrantCall) (GrantReply, error)
}

// Tuner is implemented by schedulers that are told of changes while they run.
// The goroutine that owns the scheduler calls it.
type Configurable interface {
	SetClock(clock *Clock)
	// SetLimits tells what the upstream states of itself.
	SetLimits(limits Limits)
	// SetWeights maps a customer to its share; a missing one counts as 1.
	SetWeights(weights map[string]float64)
	// SetTurns tells whether loads wait for turns; see Turner.
	SetTurns(on bool)
	// Adopt tells just what the upstream holds, while no order is under way.
	Adopt(held []Ref)
}

// Addressed is implemented by upstreams that are reached over the network.
type AddressSetter interface {
	// SetAddress sets IP and port, and the fence that goes with requests.
	SetAddress(address string, fence int64)
}

// Quotas bound what customers may have run, over all processes.
type Quotas interface {
	// Take takes a request's cost from its customer's allowance, or refuses it.
	Take(ctx context.Context, c *Customer, cost float64) *Refusal
	// Give returns the cost of a request that has not run.
	Give(c *Customer, cost float64)
}
