package once

import (
	"magnoliastall.example/magno"
	"magnoliastall.example/magno/recall"
	"magnoliastall.example/magno/roster"
	"magnoliastall.example/magno/ticket"
)

// maxRounds is the number of rounds after which an attempt with a split vote ends. A
// rival that yields does so within one round.
const maxRounds = 4

// keyTable is the state machine of a Ledger. It starts no goroutines and sends no
// messages, so tests can drive events in any order. It is not safe for concurrent use.
type keyTable struct {
	// holder is self and incarnation joined by holderName.
	self, incarnation, holder string
	maxSkew                   magno.Millis
	// maxBytes limits the text of the stored answers, usedBytes is its current size.
	maxBytes, usedBytes int
	records             recall.Store[*record]
}

func newKeyTable(self, incarnation string, maxSkew, retention magno.Millis, maxKeys, maxBytes int) *keyTable {
	b := &keyTable{self: self, incarnation: incarnation, holder: holderName(self, incarnation), maxSkew: maxSkew, maxBytes: maxBytes}
	b.records = recall.Store[*record]{Retention: retention, Max: maxKeys, OnExpire: func(r *record) { b.usedBytes -= r.size() }}
	return b
}

// admission is the decision on an incoming call.
type admission struct {
	// record is nil if the call is refused.
	record *record
	// attempt is completed with the call's answer.
	attempt *attempt
	// startVote and startRun tell the caller of admit what to start. Neither is set if
	// the call joins an attempt or already has its answer.
	startVote, startRun bool
	refusal             *magno.Refusal
}

// admit decides on an incoming call and records its key.
func (t *keyTable) admit(now magno.Millis, rosters []magno.Roster, call Call) admission {
	key := call.scopedKey()
	if r, ok := t.records.Get(key); ok {
		return t.join(r, rosters, call)
	}
	tk, ticketed := ticket.Parse(call.Key)
	if ticketed && (tk.Agent != t.self || tk.Incarnation != t.incarnation) {
		return admission{refusal: refuseUnknown(magno.KindUnknown, "the ticket names another process").WithField("key")}
	}
	issuedAt, ok := ticket.IssueTime(key)
	if ticketed {
		issuedAt, ok = ticket.IssueTime(tk.Key)
	}
	if refusal := t.checkNewKey(now, issuedAt, ok); refusal != nil {
		return admission{refusal: refusal}
	}
	r := &record{key: key, issuedAt: issuedAt, bodyHash: call.BodyHash}
	if ticketed {
		t.records.Put(key, issuedAt, r)
		r.state, r.latest = stateRunning, newAttempt()
		return admission{record: r, attempt: r.latest, startRun: true}
	}
	if refusal := t.startAttempt(r, rosters); refusal != nil {
		return admission{refusal: refusal}
	}
	t.records.Put(key, issuedAt, r)
	return admission{record: r, attempt: r.latest, startVote: true}
}

// checkNewKey returns why a new key can't be accepted, or nil. An earlier copy may have
// taken another path, so a refusal must not claim "not run" for a key that could have
// run there.
func (t *keyTable) checkNewKey(now, issuedAt magno.Millis, hasTime bool) *magno.Refusal {
	if !hasTime {
		return magno.Refuse(magno.KindNoKey, "the key must be a UUID of version 7 or a ticket").WithField("key")
	}
	if issuedAt > now+t.maxSkew {
		return refuseUnknown(magno.KindLater, "the key's time is ahead of the clock").WithField("key").WithRetryAfter(issuedAt - now)
	}
	switch t.records.Check(now, issuedAt) {
	case recall.Stale:
		return magno.Refuse(magno.KindStaleKey, "the key is older than answers are kept").WithField("key")
	case recall.Full:
		return refuseUnknown(magno.KindLater, "the ledger is full; send the same key again")
	}
	if t.usedBytes >= t.maxBytes {
		return refuseUnknown(magno.KindLater, "the ledger's answers fill its memory; send the same key again")
	}
	return nil
}

// join handles a call whose key is already recorded.
func (t *keyTable) join(r *record, rosters []magno.Roster, call Call) admission {
	if r.bodyHash != call.BodyHash {
		refusal := magno.Refuse(magno.KindMismatch, "the key was used for another request").WithField("key")
		if !r.granted() {
			refusal = refusal.WithRun(magno.RunUnknown)
		}
		return admission{refusal: refusal}
	}
	if r.state != stateIdle {
		return admission{record: r, attempt: r.latest}
	}
	if refusal := t.startAttempt(r, rosters); refusal != nil {
		return admission{refusal: refusal}
	}
	return admission{record: r, attempt: r.latest, startVote: true}
}

// startAttempt starts an attempt to acquire the key.
func (t *keyTable) startAttempt(r *record, rosters []magno.Roster) *magno.Refusal {
	witnesses, ok := roster.WitnessesFor(rosters, r.key, r.issuedAt)
	if !ok {
		return refuseUnknown(magno.KindLater, "no published roster covers the key's time; send the same key again")
	}
	r.state, r.latest = stateVoting, newAttempt()
	r.tally = newTally(t.holder, witnesses)
	return nil
}

// startRound starts a round of voting and returns the requests to send.
func (t *keyTable) startRound(r *record) []grantRequest {
	r.round++
	r.tally = newTally(t.holder, r.tally.set)
	return t.grantRequests(r, r.tally.set, "")
}

func (t *keyTable) grantRequests(r *record, set roster.Set, cede string) []grantRequest {
	requests := make([]grantRequest, len(set.Members))
	for i, m := range set.Members {
		requests[i] = grantRequest{m, magno.GrantCall{Member: m, Key: r.key, Holder: t.holder, Cede: cede}}
	}
	return requests
}

// handleReply processes the reply of a member; reached is false if there was none.
func (t *keyTable) handleReply(r *record, round int, member string, reply magno.GrantReply, reached bool) voteResult {
	if round != r.round || r.state != stateVoting {
		return votePending
	}
	r.tally.add(member, reply, reached)
	v, _ := r.tally.result()
	return v
}

// concludeVote ends the voting of an attempt. After voteWon the key must be run. After
// voteYield the returned requests cede this process's grants to the rival. The state
// changes before they are sent, so this process never runs a key that it ceded.
func (t *keyTable) concludeVote(r *record) (voteResult, []grantRequest) {
	v, rival := r.tally.result()
	set := r.tally.set
	// The tally takes as much memory as the rest of the record and isn't needed any more.
	r.tally = nil
	switch v {
	case voteWon:
		r.state = stateRunning
		return v, nil
	case voteLost, voteYield:
		r.state = stateHeldElsewhere
		refusal := refuseUnknown(magno.KindUnknown, "the key was granted to another agent; ask it")
		t.resolve(r, magno.RunReply{Refusal: refusal, Holder: agentName(rival)})
		if v == voteYield {
			return v, t.grantRequests(r, set, rival)
		}
		return v, nil
	}
	r.state = stateIdle
	t.resolve(r, magno.RunReply{Refusal: undecidedRefusal(v)})
	return v, nil
}

// undecidedRefusal returns the refusal for a key without a known holder. It never says
// "not run": this process may hold grants for the key, and an earlier holder may have
// run it before it ended.
func undecidedRefusal(v voteResult) *magno.Refusal {
	switch v {
	case voteBlocked:
		return refuseUnknown(magno.KindUnknown, "other agents hold part of the grants; send the same key again").WithRetryAfter(magno.Second)
	case voteImpossible:
		return refuseUnknown(magno.KindUnknown, "witnesses were replaced since the key was issued")
	}
	return refuseUnknown(magno.KindLater, "too few witnesses answer; send the same key again")
}

// complete stores the answer of a run for replay.
func (t *keyTable) complete(r *record, reply magno.RunReply) {
	r.state = stateDone
	t.resolve(r, reply)
	if kept, ok := t.records.Get(r.key); ok && kept == r {
		t.usedBytes += r.size()
	}
}

// resolve completes the current attempt, which releases all waiting calls.
func (t *keyTable) resolve(r *record, reply magno.RunReply) {
	r.latest.reply = reply
	close(r.latest.done)
}

// size returns the memory taken by the record's answer.
func (r *record) size() int {
	if r.state != stateDone || r.latest.reply.Result == nil {
		return 0
	}
	return len(r.latest.reply.Result.Text)
}

// refuseUnknown returns a refusal that leaves open whether the key was run.
func refuseUnknown(kind magno.Kind, detail string) *magno.Refusal {
	return magno.Refuse(kind, "%s", detail).WithRun(magno.RunUnknown)
}
