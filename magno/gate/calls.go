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
	Ask
	Replica string `json:"replica"`
}

// PermitReply ends the wait.
type PermitReply struct {
	// Refusal is nil when the request may be sent now.
	Refusal *magno.Refusal `json:"refusal,omitempty"`
	Version int64          `json:"version,omitempty"`
	Waited  magno.Millis   `json:"waited,omitempty"`
	Status  StatusReply    `json:"status"`
}

// EndCall tells that a permitted request ended, or that its caller left.
type EndCall struct {
	ID string `json:"id"`
	// OK is true when the whole answer came.
	OK bool `json:"ok"`
}

// StatusCall asks for an agent's state and tells it what its entry knows.
type StatusCall struct {
	Entry string `json:"entry"`
	// Spec is left out when the agent is known to have it.
	Spec *Spec `json:"spec,omitempty"`
	// Revision orders specs of several entries; the highest is in force.
	Revision int64 `json:"rev"`
}

// StatusReply is an agent's state.
type StatusReply struct {
	// Replica is the incarnation that the agent knows, Revision that of its
	// spec. Zero asks for one.
	Replica  string `json:"replica"`
	Revision int64  `json:"rev"`
	// Born is the engine's own, zero while it can't be reached.
	Born    magno.Millis  `json:"born,omitempty"`
	Down    bool          `json:"down,omitempty"`
	Leaving bool          `json:"leaving,omitempty"`
	Backlog magno.Backlog `json:"backlog"`
}
