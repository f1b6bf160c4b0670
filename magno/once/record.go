package once

import "magnoliastall.example/magno"

// keyState is the state of a key in the ledger.
type keyState int

const (
	stateIdle          keyState = iota // undecided; the next copy starts another vote
	stateVoting                        // a vote is in progress
	stateRunning                       // granted to this process, which runs it once
	stateDone                          // has an answer, which is replayed
	stateHeldElsewhere                 // granted or ceded to another holder; never run here
)

// record is the ledger's entry for one key.
type record struct {
	key      string
	issuedAt magno.Millis
	// bodyHash identifies the request; the key is refused for any other.
	bodyHash uint64
	state    keyState
	// round is the current round; replies to earlier rounds are dropped.
	round int
	// tally is set only in stateVoting.
	tally *tally
	// latest is the current or last attempt. Its reply is final in stateDone and
	// stateHeldElsewhere.
	latest *attempt
}

// attempt is one attempt to run a key. All calls that arrive meanwhile wait for it.
type attempt struct {
	// done is closed when reply is final.
	done  chan struct{}
	reply magno.RunReply
}

func newAttempt() *attempt { return &attempt{done: make(chan struct{})} }

// granted reports whether a quorum granted the key to this process.
func (r *record) granted() bool { return r.state == stateRunning || r.state == stateDone }

// grantRequest is a GrantCall with its destination.
type grantRequest struct {
	member string
	call   magno.GrantCall
}
