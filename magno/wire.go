package magno

import "github.com/cespare/xxhash/v2"

// Methods of the jsonrpc2 protocol between processes of the system.
const (
	MethodRun    = "run"    // entry to agent: RunCall, answered by RunReply
	MethodPart   = "part"   // agent to entry: RunPart, one piece of a stream
	MethodCancel = "cancel" // entry to agent: CancelCall
	// MethodBacklog is a notification to the entries that an agent told of a rest of its upstream
	// which ended early: BacklogReport.
	MethodBacklog = "backlog"
	MethodGrant   = "grant"  // agent to agent as witness: GrantCall, answered by GrantReply
	MethodTicket  = "ticket" // entry to agent, answered by a ticket.Ticket
	MethodGossip  = "gossip" // between any two processes: digests and deltas
	MethodTurn    = "turn"   // agent to the coordinator of load turns
	// MethodTurnEnd is a notification that releases a turn.
	MethodTurnEnd = "turnend"
	MethodDelta   = "delta" // request to a peer for configuration records
)

// RunCall asks an agent to execute a request.
type RunCall struct {
	// Call identifies the call in RunPart and CancelCall.
	Call string `json:"call"`
	// Key is the caller's idempotency key, empty if there is none.
	Key  string `json:"key,omitempty"`
	Work Work   `json:"work"`
	// Stream is true if parts are to be sent as they are generated.
	Stream bool `json:"stream,omitempty"`
	// Ends are the upstreams that ended under this request, as far as the entry knows.
	Ends []UpstreamEnd `json:"ends,omitempty"`
	// Config is the configuration version that the entry used. The agent refuses the
	// request if its own is older and it can't catch up.
	Config int64 `json:"config"`
	// Left is the time to the deadline when the call was sent. Being relative, it doesn't
	// need synchronized clocks.
	Left Millis `json:"left"`
	// From is the address at which the entry takes a BacklogReport, empty if it takes none.
	From string `json:"from,omitempty"`
}

// BacklogReport is the backlog of an agent that no call of the receiver asked for.
type BacklogReport struct {
	// Agent is the name of the agent's instance.
	Agent   string  `json:"agent"`
	Backlog Backlog `json:"backlog"`
}

// RunPart transfers a piece of a streamed answer.
type RunPart struct {
	Call string `json:"call"`
	// Seq counts from 1 without gaps.
	Seq   int   `json:"seq"`
	Piece Piece `json:"piece"`
	// Build is the version of the upstream's software, empty if it states none.
	Build string `json:"build,omitempty"`
}

// UpstreamEnd is the end of one incarnation of an upstream that was not planned, as a process that
// was killed, crashed or lost its machine.
type UpstreamEnd struct {
	// Upstream identifies the incarnation, Pool the pool or service that it belonged to.
	Upstream uint64 `json:"up"`
	Pool     uint64 `json:"pool,omitempty"`
	// Cleared is true if the request that ran there completed afterwards.
	Cleared bool `json:"clear,omitempty"`
	// Age is the time since the end. Being relative, it doesn't need synchronized clocks.
	Age Millis `json:"age,omitempty"`
}

// NewUpstreamEnd returns the end of an incarnation of an upstream, whose name must be unique in its
// pool, that happened just now.
func NewUpstreamEnd(pool, incarnation string) UpstreamEnd {
	return UpstreamEnd{Upstream: xxhash.Sum64String(pool + "\x00" + incarnation), Pool: PoolID(pool)}
}

// PoolID returns the identifier of a pool or service in an UpstreamEnd.
func PoolID(pool string) uint64 { return xxhash.Sum64String(pool) }

// RunReply is the reply to a RunCall. Exactly one of Result and Refusal is set.
type RunReply struct {
	Result  *Result  `json:"result,omitempty"`
	Refusal *Refusal `json:"refusal,omitempty"`
	// Parts is the number of RunPart sent, Sum the xxhash of Result.Text.
	Parts int    `json:"parts,omitempty"`
	Sum   uint64 `json:"sum,omitempty"`
	// Build is as in RunPart.
	Build string `json:"build,omitempty"`
	// Backlog and Config are the agent's load and configuration version.
	Backlog Backlog `json:"backlog"`
	Config  int64   `json:"config"`
	// Ended is set if the upstream ended while it ran the work.
	Ended *UpstreamEnd `json:"ended,omitempty"`
	// Replay is true if the answer is that of an earlier call.
	Replay bool `json:"replay,omitempty"`
	// Holder is the agent that holds the grant of the key, if it isn't the one that replies.
	// The same call to that agent joins the run or gets its answer.
	Holder string `json:"holder,omitempty"`
}

// CancelCall reports that the caller of a run has disconnected.
type CancelCall struct {
	Call string `json:"call"`
}

// GrantCall asks a witness to grant a key to a holder, or to transfer an existing
// grant.
type GrantCall struct {
	// Member is the slot of the witness. A witness in another slot refuses the call, since
	// the address may have a new owner that the caller's list doesn't show yet.
	Member string `json:"member"`
	Key    string `json:"key"`
	// Holder is the name of an agent with the incarnation of its process.
	Holder string `json:"holder"`
	// Cede is the holder to which Holder transfers its grant. Holder must not have executed
	// the key's request and must never do so afterwards.
	Cede string `json:"cede,omitempty"`
}

// GrantReply names the holder of a key. The key was granted if and only if it is the
// holder of the call.
type GrantReply struct {
	Holder string `json:"holder,omitempty"`
	// Reason is set if the witness grants the key to nobody.
	Reason GrantReason `json:"reason,omitempty"`
}

// GrantReason is the reason why a witness grants a key to nobody.
type GrantReason string

// The reasons for not granting a key.
const (
	GrantForgot GrantReason = "forgot" // the key is older than the process; an earlier process may have granted it
	GrantStale  GrantReason = "stale"  // the key is older than the retention time
	GrantAhead  GrantReason = "ahead"  // the key's time is ahead of the clock by more than the maximum skew
	GrantFull   GrantReason = "full"   // the witness can't store more keys
	GrantMember GrantReason = "member" // the call was meant for another slot
	GrantKey    GrantReason = "key"    // the key contains no time
)
