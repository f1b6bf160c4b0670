package gate

import "magnoliastall.example/magno"

// Ask is a request that wants to begin.
type Request struct {
	// ID is unique for each send.
	ID string `json:"id"`
	// Model is never empty, Adapter is for the bare model.
	Model   string `json:"model"`
	Adapter string `json:"adapter,omitempty"`
	// Prompt and Output are tokens. The first Shared tokens of the prompt are
	// those that Prefix hashes.
	Prompt    int `json:"prompt"`
	MaxOutput int `json:"output"`
	// Length is how many tokens its caller expects, zero when it doesn't say.
	ExpectedOutput int    `json:"length,omitempty"`
	PrefixTokens   int    `json:"shared,omitempty"`
	PrefixHash     uint64 `json:"prefix,omitempty"`
	// Rank is the urgency, 0 first.
	Rank int `json:"rank"`
	// Aim is how soon it should begin to be on time, Patience the longest that
	// it may wait, Left the time to its deadline. All count from now.
	StartTarget magno.Millis `json:"aim"`
	MaxWait     magno.Millis `json:"patience"`
	TimeLeft    magno.Millis `json:"left"`
	// Most is the longest wait with which this engine is still the best by what
	// the entry knows, zero for any.
	DeclineAbove magno.Millis `json:"most,omitempty"`
	// Gap is the longest pause between two events of its stream that is in time,
	// zero when any is.
	MaxGap magno.Millis `json:"gap,omitempty"`
}

// name is the adapter's with its model, or the model's alone.
func (a *Request) name() string { return QualifiedName(a.Model, a.Adapter) }

// Name joins a model and an adapter, which may be empty.
func QualifiedName(model, adapter string) string {
	if adapter == "" {
		return model
	}
	return model + "/" + adapter
}

// Spec is what an agent is told of the engine beside it.
type Spec struct {
	// Replica is the incarnation's key, ID its name for orders.
	Replica string       `json:"replica"`
	ID      string       `json:"id"`
	Engine  magno.Engine `json:"engine"`
	// Pins maps MODEL/ADAPTER to the newest version that was declared.
	Pins map[string]int64 `json:"pins,omitempty"`
	// Leaving engines begin nothing any more.
	Leaving bool `json:"leaving,omitempty"`
}

// waiting is an ask in the queue.
type waiting struct {
	Request
	// due is when it should begin, until when it is given up, end its
	// deadline.
	came, due, until, end magno.Millis
	// cause is why it couldn't begin when it was last looked at, waits how long
	// it had each cause until then.
	cause  Cause
	looked magno.Millis
	waits  Waits
}

// granted is a request that was let through and hasn't ended.
type granted struct {
	ask   Request
	at    magno.Millis
	until magno.Millis
	// unread is what the engine has to read of its prompt, in tokens, until its
	// first event was seen or should have been, at readBy.
	unread int
	readBy magno.Millis
	// events is how many it was seen to have made.
	events int
}

// Grant lets a request through.
type Grant struct {
	ID string
	// Version of the adapter that the engine holds, zero when unknown.
	Version int64
	// Waited is how long it was in the queue, Waits that by cause.
	Waited magno.Millis
	Waits  Waits
}

// Turned is a request that is refused; it has not run.
type Rejection struct {
	ID      string
	Refusal *magno.Refusal
	// Waits is how long it was in the queue, by cause.
	Waits Waits
}

// Steps are what is to be done now. Each is returned once.
type Decisions struct {
	Grants     []Grant
	Rejections []Rejection
}
