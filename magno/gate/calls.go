package gate

import "magnoliastall.example/magno"

// Methods of the protocol between entries and the agent of an engine.
const (
	MethodPermit = "permit" // PermitCall, answered by PermitReply once decided
	MethodEnd    = "end"    // EndCall, a notification
	MethodStatus = "status" // StatusCall, answered by StatusReply
	MethodNotice = "notice" // NoticeCall, a notification
)

// PermitCall asks for the admission of a request by one incarnation of an engine.
type PermitCall struct {
	Request
	Replica string `json:"replica"`
	// ListsHash is the newest StatusReply.ListsHash that the entry has.
	ListsHash uint64 `json:"held,omitempty"`
	// Spec is set unless the agent is known to have it: an agent that has just started refuses
	// everything until it has one. Revision is that of the spec.
	Spec     *Spec          `json:"spec,omitempty"`
	Revision magno.Revision `json:"rev,omitempty"`
	// Limit is the engine's limit as far as the entry knows, nil for none. The agent may have
	// started after the engine named it.
	Limit *magno.LimitState `json:"limit,omitempty"`
}

// PermitReply is the decision on a PermitCall.
type PermitReply struct {
	// Refusal is nil if the request may be sent now.
	Refusal *magno.Refusal `json:"refusal,omitempty"`
	// Declined is true if another engine is the better choice now, as Status shows.
	Declined bool  `json:"declined,omitempty"`
	Version  int64 `json:"version,omitempty"`
	// Waits is the time in the queue, by cause.
	Waits  Waits       `json:"waits"`
	Status StatusReply `json:"status"`
}

// NoticeCall tells the agent what an answer of its engine stated.
type NoticeCall struct {
	Replica string `json:"replica"`
	// ID is that of the request that was answered.
	ID string `json:"id"`
	// Limited is true if the answer named a limit, which is Rate requests per second.
	Limited bool    `json:"limited,omitempty"`
	Rate    float64 `json:"rate,omitempty"`
	// Leaving is true if the answer stated that the engine leaves.
	Leaving bool `json:"leaving,omitempty"`
	// Signed is true if the answer is the engine's own, so that what it doesn't state has ended.
	Signed bool `json:"signed,omitempty"`
}

// EndCall reports that an admitted request has ended, or that its caller has disconnected.
type EndCall struct {
	ID string `json:"id"`
	// OK is true if the whole answer was delivered.
	OK bool `json:"ok"`
	// MaxPause is the longest pause between two events of its stream, zero if there were none.
	MaxPause magno.Millis `json:"pause,omitempty"`
	// Output is the output tokens of its whole answer, zero if unknown.
	Output int `json:"output,omitempty"`
}

// StatusCall asks for an agent's state and updates its spec.
type StatusCall struct {
	// Entry is the caller's name; it is set along with Spec.
	Entry string `json:"entry,omitempty"`
	// Spec is left out if the agent is known to have it.
	Spec *Spec `json:"spec,omitempty"`
	// Revision orders the specs of different entries; the highest one is in force.
	Revision magno.Revision `json:"rev"`
	// ListsHash is the newest StatusReply.ListsHash that the entry has.
	ListsHash uint64 `json:"held,omitempty"`
	// Replica is the incarnation that Limit belongs to, which is as in PermitCall.
	Replica string            `json:"replica,omitempty"`
	Limit   *magno.LimitState `json:"limit,omitempty"`
}

// StatusReply is an agent's state.
type StatusReply struct {
	// Replica is the incarnation that the agent has a spec for, and Revision that of the spec.
	// A zero Revision asks for a spec.
	Replica  string         `json:"replica"`
	Revision magno.Revision `json:"rev"`
	// EngineStart is the engine's start time by its report, zero while it is unreachable.
	EngineStart magno.Millis `json:"born,omitempty"`
	Down        bool         `json:"down,omitempty"`
	Leaving     bool         `json:"leaving,omitempty"`
	// RestartAge is the time since the engine was seen to have restarted under the same name, zero
	// if it wasn't. What it stated before no longer holds.
	RestartAge magno.Millis `json:"restarted,omitempty"`
	// LeavingAge is the time since the engine stated that it leaves, zero if it didn't. Leaving is
	// about the agent.
	LeavingAge magno.Millis `json:"parting,omitempty"`
	// Limit is nil if it isn't known whether the engine names one.
	Limit   *magno.LimitState `json:"limit,omitempty"`
	Backlog magno.Backlog     `json:"backlog"`
	// ListsHash identifies Backlog.Warm and Backlog.Cached, zero for empty lists. The lists
	// change only with each load and are most of the reply, so they are left out for an entry
	// that has them.
	ListsHash uint64 `json:"held,omitempty"`
	// BaseHash is the ListsHash of the lists that WarmDiff and KeptDiff apply to. It is zero if
	// Backlog has the lists, or if the entry has them.
	BaseHash uint64 `json:"since,omitempty"`
	WarmDiff Diff   `json:"warm,omitzero"`
	KeptDiff Diff   `json:"kept,omitzero"`
}

// SetListsHash computes ListsHash from the lists.
func (r *StatusReply) SetListsHash() {
	r.ListsHash = 0
	for _, hash := range r.Backlog.Warm {
		r.ListsHash = r.ListsHash*hashFactor + uint64(hash) + 1
	}
	for _, hash := range r.Backlog.Cached {
		r.ListsHash = (r.ListsHash + uint64(hash) + 1) * hashFactor
	}
}

// hashFactor is odd and large, so that the hash depends on the position of each element.
const hashFactor = 0x9e3779b97f4a7c15
