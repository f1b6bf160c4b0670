package gate

import "magnoliastall.example/magno"

// Methods of the protocol between entries and the agent beside an engine.
const (
	MethodPermit = "permit" // PermitCall, answered by PermitReply once decided
	MethodEnd    = "end"    // EndCall, a notification
	MethodStatus = "status" // StatusCall, answered by StatusReply
)

// PermitCall asks that a request may begin on one incarnation of an engine.
type PermitCall struct {
	Request
	Replica string `json:"replica"`
	// Held is the newest StatusReply.Held that the entry has.
	ListsHash uint64 `json:"held,omitempty"`
	// Spec is set where the agent isn't known to have it: one that just started
	// refuses everything until it does. Revision is the spec's.
	Spec     *Spec `json:"spec,omitempty"`
	Revision int64 `json:"rev,omitempty"`
}

// PermitReply ends the wait.
type PermitReply struct {
	// Refusal is nil when the request may be sent now.
	Refusal *magno.Refusal `json:"refusal,omitempty"`
	// Declined is true when another engine is better now: the status tells why.
	Declined bool  `json:"declined,omitempty"`
	Version  int64 `json:"version,omitempty"`
	// Waits is how long it waited, by cause.
	Waits  Waits       `json:"waits"`
	Status StatusReply `json:"status"`
}

// EndCall tells that a permitted request ended, or that its caller left.
type EndCall struct {
	ID string `json:"id"`
	// OK is true when the whole answer came.
	OK bool `json:"ok"`
	// Pause is the longest between two events of its stream, zero without any.
	MaxPause magno.Millis `json:"pause,omitempty"`
}

// StatusCall asks for an agent's state and tells it what its entry knows.
type StatusCall struct {
	// Entry is the caller's name; it goes with Spec.
	Entry string `json:"entry,omitempty"`
	// Spec is left out when the agent is known to have it.
	Spec *Spec `json:"spec,omitempty"`
	// Revision orders specs of several entries; the highest is in force.
	Revision int64 `json:"rev"`
	// Held is the newest StatusReply.Held that the entry has.
	ListsHash uint64 `json:"held,omitempty"`
}

// StatusReply is an agent's state.
type StatusReply struct {
	// Replica is the incarnation that the agent knows, Revision that of its
	// spec. Zero asks for one.
	Replica  string `json:"replica"`
	Revision int64  `json:"rev"`
	// Born is the engine's own, zero while it can't be reached.
	EngineStart magno.Millis  `json:"born,omitempty"`
	Down        bool          `json:"down,omitempty"`
	Leaving     bool          `json:"leaving,omitempty"`
	Backlog     magno.Backlog `json:"backlog"`
	// Held stands for Backlog.Warm and Kept, zero for empty lists. They are left
	// out for an entry that has them: they change with each load only, and are
	// most of the reply.
	ListsHash uint64 `json:"held,omitempty"`
	// Since is the Held of the lists that Warm and Kept are changes of, zero where
	// the backlog has the lists, or the entry does.
	BaseHash uint64 `json:"since,omitempty"`
	WarmDiff Diff   `json:"warm,omitzero"`
	KeptDiff Diff   `json:"kept,omitzero"`
}

// Hold sets Held by the lists.
func (r *StatusReply) SetListsHash() {
	r.ListsHash = 0
	for _, hash := range r.Backlog.Warm {
		r.ListsHash = r.ListsHash*holdFactor + uint64(hash) + 1
	}
	for _, hash := range r.Backlog.Kept {
		r.ListsHash = (r.ListsHash + uint64(hash) + 1) * holdFactor
	}
}

// holdFactor is odd and large, so that each place of the list counts.
const holdFactor = 0x9e3779b97f4a7c15
