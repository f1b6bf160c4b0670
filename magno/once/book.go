package once

import (
	"magnoliastall.example/magno"
	"magnoliastall.example/magno/recall"
	"magnoliastall.example/magno/roster"
	"magnoliastall.example/magno/ticket"
)

// rounds is how often a key is asked for before split votes end an attempt;
// a rival that yields does so within one round.
const rounds = 4

// book decides what a ledger does. It starts no goroutine and sends nothing,
// so that tests can drive every order of events. It isn't safe for concurrent
// use.
type book struct {
	// self and incarnation name this process, holder joins them.
	self, incarnation, holder string
	skew                      magno.Millis
	// bytes is the most memory for answers, used what they take now.
	bytes, used int
	records     recall.Store[*record]
}

func newBook(self, incarnation string, skew, retention magno.Millis, most, bytes int) *book {
	b := &book{self: self, incarnation: incarnation, holder: holderOf(self, incarnation), skew: skew, bytes: bytes}
	b.records = recall.Store[*record]{Retention: retention, Max: most, OnExpire: func(r *record) { b.used -= r.size() }}
	return b
}

// opening is what becomes of a call when it comes in.
type opening struct {
	// record is nil when the call is refused.
	record *record
	// attempt ends with the call's answer.
	attempt *attempt
	// ask and run say what the caller of open has to start; neither when the
	// call joins an attempt or is answered already.
	ask, run bool
	refusal  *magno.Refusal
}

// open takes in a call.
func (b *book) open(now magno.Millis, rosters []magno.Roster, call Call) opening {
	key := call.name()
	if r, ok := b.records.Get(key); ok {
		return b.join(r, rosters, call)
	}
	tk, ticketed := ticket.Parse(call.Key)
	if ticketed && (tk.Agent != b.self || tk.Incarnation != b.incarnation) {
		return opening{refusal: refuse(magno.KindUnknown, "the ticket names another process").At("key")}
	}
	at, ok := ticket.IssueTime(key)
	if ticketed {
		at, ok = ticket.IssueTime(tk.Key)
	}
	if refusal := b.admit(now, at, ok); refusal != nil {
		return opening{refusal: refusal}
	}
	r := &record{key: key, at: at, body: call.BodyHash}
	if ticketed {
		b.records.Put(key, at, r)
		r.state, r.ended = running, newAttempt()
		return opening{record: r, attempt: r.ended, run: true}
	}
	if refusal := b.begin(r, rosters); refusal != nil {
		return opening{refusal: refusal}
	}
	b.records.Put(key, at, r)
	return opening{record: r, attempt: r.ended, ask: true}
}

// admit returns why a new key can't be taken in, nil when it can. None of the
// refusals says that the key was not run: an earlier copy of it may have gone
// another way.
func (b *book) admit(now, at magno.Millis, timed bool) *magno.Refusal {
	if !timed {
		return magno.Refuse(magno.KindNoKey, "the key must be a UUID of version 7 or a ticket").At("key")
	}
	if at > now+b.skew {
		return refuse(magno.KindLater, "the key's time is ahead of the clock").At("key").Later(at - now)
	}
	switch b.records.Check(now, at) {
	case recall.Stale:
		return magno.Refuse(magno.KindStaleKey, "the key is older than answers are kept").At("key")
	case recall.Full:
		return refuse(magno.KindLater, "the ledger is full; send the same key again")
	}
	if b.used >= b.bytes {
		return refuse(magno.KindLater, "the ledger's answers fill its memory; send the same key again")
	}
	return nil
}

// join answers a call whose key is known.
func (b *book) join(r *record, rosters []magno.Roster, call Call) opening {
	if r.body != call.BodyHash {
		refusal := magno.Refuse(magno.KindMismatch, "the key was used for another request").At("key")
		if !r.held() {
			refusal = refusal.Ran(magno.RunUnknown)
		}
		return opening{refusal: refusal}
	}
	if r.state != idle {
		return opening{record: r, attempt: r.ended}
	}
	if refusal := b.begin(r, rosters); refusal != nil {
		return opening{refusal: refusal}
	}
	return opening{record: r, attempt: r.ended, ask: true}
}

// begin starts an attempt to get the key granted.
func (b *book) begin(r *record, rosters []magno.Roster) *magno.Refusal {
	set, ok := roster.WitnessesFor(rosters, r.key, r.at)
	if !ok {
		return refuse(magno.KindLater, "no published roster covers the key's time; send the same key again")
	}
	r.state, r.ended = asking, newAttempt()
	r.claim = newClaim(b.holder, set)
	return nil
}

// ask starts a round and returns what to send.
func (b *book) ask(r *record) []question {
	r.round++
	r.claim = newClaim(b.holder, r.claim.set)
	return b.questions(r, r.claim.set, "")
}

func (b *book) questions(r *record, set roster.Set, cede string) []question {
	all := make([]question, len(set.Members))
	for i, m := range set.Members {
		all[i] = question{m, magno.GrantCall{Member: m, Key: r.key, Holder: b.holder, Cede: cede}}
	}
	return all
}

// hear takes one answer of a round; reached is false when none came.
func (b *book) hear(r *record, round int, member string, reply magno.GrantReply, reached bool) verdict {
	if round != r.round || r.state != asking {
		return waiting
	}
	r.claim.take(member, reply, reached)
	v, _ := r.claim.decide()
	return v
}

// settle ends the rounds of an attempt. After won the key is to be run. After
// yield the questions returned pass this process's grants on to the rival;
// before they are sent the record is gone, so that this process never runs
// what it gave away.
func (b *book) settle(r *record) (verdict, []question) {
	v, rival := r.claim.decide()
	set := r.claim.set
	// The answers are as large as the rest of the record and of no more use.
	r.claim = nil
	switch v {
	case won:
		r.state = running
		return v, nil
	case lost, yield:
		r.state = gone
		refusal := refuse(magno.KindUnknown, "the key was granted to another agent; ask it")
		b.end(r, magno.RunReply{Refusal: refusal, Holder: agentOf(rival)})
		if v == yield {
			return v, b.questions(r, set, rival)
		}
		return v, nil
	}
	r.state = idle
	b.end(r, magno.RunReply{Refusal: undecided(v)})
	return v, nil
}

// undecided returns the refusal for a key that nobody is known to hold. It
// never says that the key was not run: this process may hold grants for it,
// and an earlier holder may have run it and gone.
func undecided(v verdict) *magno.Refusal {
	switch v {
	case blocked:
		return refuse(magno.KindUnknown, "other agents hold part of the grants; send the same key again").Later(magno.Second)
	case dead:
		return refuse(magno.KindUnknown, "witnesses were replaced since the key was issued")
	}
	return refuse(magno.KindLater, "too few witnesses answer; send the same key again")
}

// finish records the answer of a run for replay.
func (b *book) finish(r *record, reply magno.RunReply) {
	r.state = done
	b.end(r, reply)
	if kept, ok := b.records.Get(r.key); ok && kept == r {
		b.used += r.size()
	}
}

// end hands the answer to all who wait.
func (b *book) end(r *record, reply magno.RunReply) {
	r.ended.reply = reply
	close(r.ended.over)
}

// size is what a record's answer takes in memory.
func (r *record) size() int {
	if r.state != done || r.ended.reply.Result == nil {
		return 0
	}
	return len(r.ended.reply.Result.Text)
}

// refuse makes a refusal that leaves open whether the key was run.
func refuse(kind magno.Kind, detail string) *magno.Refusal {
	return magno.Refuse(kind, "%s", detail).Ran(magno.RunUnknown)
}
