// Package once runs a request that may not be repeated at most once, even if its
// caller sends it again through any entry. No process persists state.
//
//	entry --> Ledger of the key's home ---- GrantCall ----> witnesses of the
//	 any      joins, replays, refuses  <--- GrantReply ---  key (witns, roster)
//	              |
//	              v run, once, after a quorum granted the key to this process
//	           upstream
//
// Callers that lose an answer send their request again while instances are replaced,
// paused or partitioned. Without this package a receipt is counted twice whenever
// the second copy reaches another agent than the first.
//
// A key goes through these steps:
//   - It is recorded before anything is sent. Copies that arrive later join the run
//     or get its whole answer again.
//   - It runs only after a quorum of its witnesses granted it to this process. A
//     pause between grant and run does no harm, because a witness never revokes a
//     grant, and only the holder itself can cede it.
//   - The answer "not run" is given only by the process that holds the quorum and has
//     recorded that it won't run the key. Every other refusal says "unknown", and
//     the caller may send the same key again.
package once

import (
	"context"
	"strings"
	"sync"
	"time"

	"magnoliastall.example/magno"
)

// initialBackoff is the delay before another round after a split vote; it doubles with
// each round. A rival yields within one message exchange, which takes one or two
// milliseconds between data centres.
const initialBackoff magno.Millis = 4

// Call is a request that may not be repeated.
type Call struct {
	// Key is the caller's idempotency key: a UUID of version 7, or a ticket.
	Key string
	// Scope is the namespace of the key, such as the customer's name. Equal keys in
	// different scopes are different keys.
	Scope string
	// BodyHash is a hash of everything that the request asks for.
	BodyHash uint64
}

// scopedKey returns the key as it is stored by witnesses and the ledger.
func (c Call) scopedKey() string {
	if c.Scope == "" {
		return c.Key
	}
	return c.Scope + "/" + c.Key
}

// Ledger records the keys that an agent ran or tried to run. It is safe for concurrent
// use.
type Ledger struct {
	Clock *magno.Clock
	// Self is the agent's instance name; it must not contain "/".
	Self string
	// Incarnation is unique among all processes that ever run as Self.
	Incarnation string
	// Rosters returns the rosters of the current configuration.
	Rosters func() []magno.Roster
	Asker   magno.WitnessClient
	// Retention is how long answers are replayed, counted from the issue time of the
	// key. Older keys are refused.
	Retention magno.Millis
	// MaxSkew is the maximum difference between any two clocks of callers and instances.
	MaxSkew magno.Millis
	// RoundTimeout is the time limit of one round of voting.
	RoundTimeout magno.Millis
	// MaxKeys limits the number of keys and MaxBytes the total text of the answers. New
	// keys beyond either limit are refused with kind later.
	MaxKeys, MaxBytes int

	once  sync.Once
	mu    sync.Mutex
	table *keyTable
}

func (l *Ledger) setup() {
	l.once.Do(func() {
		l.table = newKeyTable(l.Self, l.Incarnation, l.MaxSkew, l.Retention, l.MaxKeys, l.MaxBytes)
	})
}

// Holder returns the name by which witnesses identify this process.
func (l *Ledger) Holder() string { return holderName(l.Self, l.Incarnation) }

// Do runs a call at most once and returns its answer, which may be that of an earlier
// copy. The run continues after ctx ends, so that copies get its answer; run must set
// its own deadline. A refusal by run that says "not run" is final for the key: to try
// again, the caller needs a new key.
func (l *Ledger) Do(ctx context.Context, call Call, run func(context.Context) magno.RunReply) magno.RunReply {
	l.setup()
	l.mu.Lock()
	adm := l.table.admit(l.Clock.Now(), l.Rosters(), call)
	l.mu.Unlock()
	if adm.refusal != nil {
		return magno.RunReply{Refusal: adm.refusal}
	}
	if adm.startVote || adm.startRun {
		go l.process(context.WithoutCancel(ctx), adm.record, adm.startVote, run)
	}
	select {
	case <-adm.attempt.done:
		reply := adm.attempt.reply
		reply.Replay = !adm.startVote && !adm.startRun && reply.Holder == ""
		return reply
	case <-ctx.Done():
		return magno.RunReply{Refusal: refuseUnknown(magno.KindCancelled, "the caller left before the answer; send the same key again")}
	}
}

// process takes a record from voting to its answer. Callers wait for the record's
// attempt.
func (l *Ledger) process(ctx context.Context, r *record, vote bool, run func(context.Context) magno.RunReply) {
	if vote && !l.acquire(ctx, r) {
		return
	}
	reply := run(ctx)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.table.complete(r, reply)
}

// acquire requests the key from its witnesses and reports whether it may be run.
func (l *Ledger) acquire(ctx context.Context, r *record) bool {
	backoff := initialBackoff
	for i := 1; l.runRound(ctx, r) == voteBlocked && i < maxRounds; i++ {
		time.Sleep(backoff.Duration())
		backoff *= 2
	}
	l.mu.Lock()
	v, cessions := l.table.concludeVote(r)
	l.mu.Unlock()
	if v == voteYield {
		l.cede(ctx, cessions)
	}
	return v == voteWon
}

// memberReply is the reply of one member, or the error that took its place.
type memberReply struct {
	member string
	reply  magno.GrantReply
	err    error
}

// runRound asks all witnesses in parallel and returns as soon as the result is decided.
func (l *Ledger) runRound(ctx context.Context, r *record) voteResult {
	ctx, cancel := context.WithTimeout(ctx, l.RoundTimeout.Duration())
	defer cancel()
	l.mu.Lock()
	requests := l.table.startRound(r)
	round := r.round
	l.mu.Unlock()
	replies := l.sendAll(ctx, requests)
	v := votePending
	for v == votePending {
		select {
		case reply := <-replies:
			v = l.handleReply(r, round, reply)
		case <-ctx.Done():
			for _, req := range requests {
				v = l.handleReply(r, round, memberReply{member: req.member, err: ctx.Err()})
			}
		}
	}
	return v
}

func (l *Ledger) handleReply(r *record, round int, mr memberReply) voteResult {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.table.handleReply(r, round, mr.member, mr.reply, mr.err == nil)
}

// sendAll sends all requests. The channel has room for one reply per request, so no
// sender blocks.
func (l *Ledger) sendAll(ctx context.Context, requests []grantRequest) <-chan memberReply {
	replies := make(chan memberReply, len(requests))
	for _, req := range requests {
		go func() {
			reply, err := l.Asker.Ask(ctx, req.member, req.call)
			replies <- memberReply{req.member, reply, err}
		}()
	}
	return replies
}

// cede passes this process's grants on to the rival. A lost message only delays the
// rival.
func (l *Ledger) cede(ctx context.Context, requests []grantRequest) {
	ctx, cancel := context.WithTimeout(ctx, l.RoundTimeout.Duration())
	defer cancel()
	replies := l.sendAll(ctx, requests)
	for range requests {
		<-replies
	}
}

func holderName(agent, incarnation string) string { return agent + "/" + incarnation }

// agentName returns the agent's name in a holder's name.
func agentName(holder string) string {
	agent, _, _ := strings.Cut(holder, "/")
	return agent
}
