package magno

import (
	"context"

	"github.com/cespare/xxhash/v2"
)

// Hash returns a short identifier of the reference for reports between processes. A
// collision costs at most an unnecessary load.
func (r Ref) Hash() uint32 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(r.Adapter)
	_, _ = d.WriteString("@")
	_, _ = d.WriteString(r.Version)
	return uint32(d.Sum64())
}

// Job is a request as schedulers and routers see it: its requirements and its cost.
type Job struct {
	// ID is unique for each attempt.
	ID       string `json:"id"`
	Customer string `json:"customer"`
	// Caller is a stable identifier of the caller, for fairness within a customer.
	Caller  string `json:"caller,omitempty"`
	Profile string `json:"profile"`
	Ref     Ref    `json:"ref"`
	// Urgency is from 0 to 9, 9 being the most urgent.
	Urgency int `json:"urgency"`
	// Stall is Profile.Stall, from 0 to 1.
	Stall float64 `json:"stall,omitempty"`
	// Prompt and Output are numbers of tokens. Output is an estimate, at most the maximum
	// that the caller allows.
	Prompt int `json:"prompt"`
	Output int `json:"output"`
	// Prefix is a hash of the start of the prompt, zero if there is none.
	Prefix uint64 `json:"prefix,omitempty"`
	// Fingerprint is a hash of the whole request, by which crashes are attributed to it.
	Fingerprint uint64 `json:"print,omitempty"`
	// Arrived and Deadline are points in time, not durations.
	Arrived  Millis `json:"arrived"`
	Deadline Millis `json:"deadline"`
	// Idempotent jobs may be executed more than once.
	Idempotent bool `json:"repeat,omitempty"`
}

// Limits are the limits and speeds that an upstream reports.
type Limits struct {
	// Slots is the number of adapters that can be loaded at once.
	Slots int `json:"slots"`
	// Batch is the maximum number of requests in a step.
	Batch int `json:"batch"`
	// Tokens is the maximum number of tokens in a step.
	Tokens int `json:"tokens"`
	// Step is the duration of a step.
	Step Millis `json:"step"`
	// Load is the duration of an adapter load at full speed.
	Load Millis `json:"load"`
}

// OrderKind is the type of an Order.
type OrderKind string

// The types of order.
const (
	OrderStart  OrderKind = "start"  // send Job to the upstream; Ref stays pinned until Done
	OrderLoad   OrderKind = "load"   // load Ref into a slot
	OrderUnload OrderKind = "unload" // evict Ref, which no job uses
	OrderRefuse OrderKind = "refuse" // fail Job with Refusal; it was not executed
)

// Order is a decision of a scheduler that the agent carries out.
type Order struct {
	Kind    OrderKind
	Job     Job
	Ref     Ref
	Refusal *Refusal
}

// Backlog is the load report of a scheduler. It is attached to replies.
type Backlog struct {
	// Wait is the expected time until a new job would start if its adapter is loaded.
	Wait Millis `json:"wait,omitempty"`
	// Rest is the time until the upstream accepts jobs again by what it stated, zero if it does
	// now or if the agent is of a version that doesn't send it. Wait contains it, and so do Waits.
	Rest Millis `json:"rest,omitempty"`
	// Queued and Running count jobs.
	Queued  int `json:"queued,omitempty"`
	Running int `json:"running,omitempty"`
	// Work is the number of tokens that are queued or still to be generated.
	Work int `json:"work,omitempty"`
	// Rate is the throughput in tokens per millisecond, zero if unknown.
	Rate float64 `json:"rate,omitempty"`
	// Pinned and Held count adapters.
	Pinned int `json:"pinned,omitempty"`
	Held   int `json:"held,omitempty"`
	// Customer maps customers to their queued tokens.
	Customer map[string]int `json:"customer,omitempty"`
	// Waits maps each customer with queued jobs to the expected wait of one more of its
	// jobs. By fair queueing it is shorter for customers with little queued.
	Waits map[string]Millis `json:"waits,omitempty"`
	// Loads counts the adapters that queued jobs wait for. LoadWait is the expected wait
	// for the load of one more.
	Loads    int    `json:"loads,omitempty"`
	LoadWait Millis `json:"loadwait,omitempty"`
	// BaseWait is the time until a base model is loaded, zero if one is.
	BaseWait Millis `json:"basewait,omitempty"`
	// Warm contains the Ref.Hash of each loaded adapter in ascending order. A slice is not
	// modified after it was returned.
	Warm []uint32 `json:"warm,omitempty"`
	// Cached contains, in the same form, the adapters that the engine can load from its
	// host memory. CachedWait is the expected wait for such a load.
	Cached     []uint32 `json:"kept,omitempty"`
	CachedWait Millis   `json:"keptwait,omitempty"`
	// Loading contains, in the same form, the adapters that are being loaded or that jobs
	// wait for.
	Loading []uint32 `json:"coming,omitempty"`
	// EventGap is the average over streams of the longest gap between two events, zero if
	// unknown.
	EventGap Millis `json:"pause,omitempty"`
	// Down is true while the upstream is known not to answer. It isn't transmitted: the
	// process that requests the report detects this itself.
	Down bool `json:"-"`
}

// Scheduler decides for one upstream which jobs to start, queue or refuse, and which
// adapters to load or evict. It doesn't use the network. All calls are made from one
// goroutine.
type Scheduler interface {
	// Offer queues a job and returns nil, or returns a refusal.
	Offer(job Job) *Refusal
	// Next returns the orders to carry out now. Each order is returned once.
	Next() []Order
	// Tokens reports that a running job generated n more tokens.
	Tokens(id string, n int)
	// Done reports the end of a started job and releases its pin. ok is false if the
	// upstream failed it.
	Done(id string, ok bool)
	// Cancel removes a job and returns true if it had not been started.
	Cancel(id string) bool
	// Loaded reports the end of an ordered load. ok is false if it failed.
	Loaded(ref Ref, ok bool)
	// Unloaded reports the end of an ordered eviction.
	Unloaded(ref Ref)
	// Reset reports that the upstream ended and restarted with no adapter loaded. It returns
	// the IDs of the jobs that were running and are lost; the caller decides how to proceed
	// with them.
	Reset(ended UpstreamEnd) []string
	// Backlog returns the current load report.
	Backlog() Backlog
	// Holds maps the adapters in slots to whether they are pinned.
	Holds() map[Ref]bool
}

// TurnTaker is implemented by schedulers that share the rate limit of the weight store
// with the rest of the fleet. They return OrderLoad only when granted a turn. Want is called
// only while Backlog().Loads is greater than zero.
type TurnTaker interface {
	// Want returns the adapter with the highest delay cost at present, and that cost as
	// harm. ok is false if no load is needed or none could be started.
	Want() (ref Ref, harm float64, ok bool)
	// Turn permits the scheduler to order one load until the given time.
	Turn(until Millis)
}

// Target is an instance to which a router can send requests.
type Target struct {
	// Name is the instance's name.
	Name       string
	DataCentre string
	// Leaving targets are sent no new work.
	Leaving bool
	// Build is the version of its software, empty if not stated.
	Build string
}

// Query describes a request for routing.
type Query struct {
	Ref    Ref
	Prefix uint64
	// Customer is the customer of the request; empty if it doesn't matter.
	Customer string
	// DataCentre is that of the process that routes the request.
	DataCentre string
	// Work is the size of the request in tokens.
	Work int
	// Aim is the target for the time to the first event and Gap the maximum gap between two
	// events; zero if there is none.
	Aim, Gap Millis
	// Avoid lists the targets that were tried already.
	Avoid []string
	// Build is the only build that may get the request, empty for any.
	Build string
}

// Router selects targets for the requests of one pool. The cost of a query doesn't depend
// on the size of the pool, unless it names a build. Implementations are safe for concurrent use.
type Router interface {
	// Update replaces the targets.
	Update(targets []Target)
	// Route returns the names of a few targets in order of preference.
	Route(q Query) []string
	// Report sets the backlog that was attached to a reply of the named target.
	Report(name string, b Backlog)
	// Sent reports that work was sent; a negative value reverts an earlier report of work
	// that was not sent after all. Ended reports that it was answered after the duration
	// took. ok is false if the target failed or couldn't be reached.
	Sent(name string, work int)
	Ended(name string, work int, took Millis, ok bool)
}

// Piece is a part of a streamed answer.
type Piece struct {
	Text string `json:"text"`
	// Tokens is the number of tokens in the piece.
	Tokens int `json:"tokens"`
}

// Choice is the result of Chooser.Choose.
type Choice struct {
	// Names lists targets in order of preference.
	Names []string
	// MaxWait is the longest wait with which the first target is still better than the
	// second, zero if there is no second.
	MaxWait Millis
	// RetryAfter is the time until the first target ends its rest if there is no target
	// because all of them rest, else zero.
	RetryAfter Millis
}

// Chooser is a router that also returns the wait up to which the first target is the best
// choice. A target whose wait has exceeded it since its last report can decline the
// request.
type Chooser interface {
	Router
	Choose(q Query) Choice
	// Rest excludes the named target from choices until the given time.
	Rest(name string, until Millis)
}

// HomeRouter is implemented by routers that map idempotency keys to home targets.
type HomeRouter interface {
	// Homes returns the first n homes of a key in order. Entries with the same targets and
	// reports get the same result. Only Ref and Customer of q are used.
	Homes(q Query, key string, n int) []string
}

// Result is a complete answer.
type Result struct {
	// Ref is the adapter and version that the upstream reports as executed.
	Ref Ref `json:"ref"`
	// Text is the complete answer, equal to the concatenation of all pieces.
	Text string `json:"text"`
	// Prompt and Output are numbers of tokens.
	Prompt int `json:"prompt"`
	Output int `json:"output"`
	// Finish is the finish reason of the engine: stop or length.
	Finish string `json:"finish,omitempty"`
	// ContentType is that of a plain service's answer.
	ContentType string `json:"type,omitempty"`
	// Stall is the time that the job waited for its adapter.
	Stall Millis `json:"stall"`
	// Queue is the total time that it waited before it was started.
	Queue Millis `json:"queue"`
}

// Work is a request to an upstream.
type Work struct {
	Job Job `json:"job"`
	// Path is the path on a plain service, empty for an engine.
	Path string `json:"path,omitempty"`
	// Body is the prompt for an engine, or the request body for a plain service.
	Body string `json:"body"`
	// ContentType is that of the request body for a plain service.
	ContentType string `json:"type,omitempty"`
	// MaxTokens is the maximum number of tokens to generate.
	MaxTokens int `json:"max,omitempty"`
}

// Upstream is the client of a back end, used by its agent.
type Upstream interface {
	// Run executes work and calls emit for each piece in order. A *Refusal with RunNo
	// means that the upstream did not start it.
	Run(ctx context.Context, w Work, emit func(Piece)) (Result, error)
	// Load loads ref into a slot, Unload evicts it. Both send the fencing token fence,
	// which increases with each start of an agent.
	Load(ctx context.Context, ref Ref, fence int64) error
	Unload(ctx context.Context, ref Ref, fence int64) error
	// Probe returns the limits, the loaded adapters and a number that changes with each
	// restart of the upstream.
	Probe(ctx context.Context) (Probe, error)
}

// Probe is the status report of an upstream. It may be outdated.
type Probe struct {
	Limits Limits `json:"limits"`
	// Boot identifies the run of the upstream: it changes with each restart.
	Boot   int64 `json:"boot"`
	Loaded []Ref `json:"loaded"`
	// Build is the version of the upstream's software, empty if not stated.
	Build string `json:"build,omitempty"`
	// Steps counts engine steps since the restart, Capacity and Used the tokens that fit
	// into them and that they processed. Used/Capacity is the batch efficiency.
	Steps    int64 `json:"steps"`
	Capacity int64 `json:"capacity"`
	Used     int64 `json:"used"`
}

// WitnessClient calls the witness in a member's slot. An error means that there was no
// reply; the witness may have granted the key nevertheless.
type WitnessClient interface {
	Ask(ctx context.Context, member string, call GrantCall) (GrantReply, error)
}

// Configurable is implemented by schedulers whose parameters can change while they run.
// The goroutine that owns the scheduler calls its methods.
type Configurable interface {
	SetClock(clock *Clock)
	// SetLimits sets the limits that the upstream reports.
	SetLimits(limits Limits)
	// SetWeights sets the share of each customer; the default is 1.
	SetWeights(weights map[string]float64)
	// SetTurns sets whether loads wait for turns; see TurnTaker.
	SetTurns(on bool)
	// Adopt sets the adapters that are loaded, while no order is in progress.
	Adopt(held []Ref)
}

// NoticeSource is implemented by upstreams whose answers may state something about them.
type NoticeSource interface {
	// OnNotice sets the function that takes the notice in each answer, and when the request
	// was sent by the given clock. It must be called before the first request.
	OnNotice(clock *Clock, take func(n Notice, sentAt Millis))
}

// NoticeTaker is implemented by schedulers that go by what the upstream states.
type NoticeTaker interface {
	// TakeNotice takes the notice in the answer to a request that was sent at the given time.
	TakeNotice(n Notice, sentAt Millis)
}

// AddressSetter is implemented by upstreams that are reached over the network.
type AddressSetter interface {
	// SetAddress sets IP and port and the fencing token of requests.
	SetAddress(address string, fence int64)
}

// Quotas enforces the rate limits of customers over all processes.
type Quotas interface {
	// Take deducts the cost of a request from its customer's allowance, or refuses it.
	Take(ctx context.Context, c *Customer, cost float64) *Refusal
	// Give refunds the cost of a request that was not executed.
	Give(c *Customer, cost float64)
}
