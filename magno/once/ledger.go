// Package once runs a request that may not be repeated at most once, though its
// caller sends it again through any entry and no process keeps anything.
//
//	entry --> Ledger of the key's home ---- GrantCall ----> witnesses of the
//	 any      joins, replays, refuses  <--- GrantReply ---  key (witns, roster)
//	              |
//	              v run, once, after a quorum gave the key to this process
//	           upstream
//
// The load is callers that lose an answer and send their request again while
// instances are replaced, paused or cut off. Without this package a receipt is
// counted twice whenever the second copy meets another agent than the first.
//
// The rules, in order of the record's life:
//   - a key is recorded before anything is sent, and a copy joins the run or
//     gets its whole answer again;
//   - the run starts only after a quorum of the key's witnesses gave the key to
//     this process; a pause between the two does no harm, because a witness
//     never takes a key back and only the holder itself can pass it on;
//   - "not run" is told only by a process that holds the key's quorum and has
//     recorded that it won't run it. Every other refusal says "unknown", and
//     the caller may send the same key again.
package once

import (
	"context"
	"strings"
	"sync"
	"time"

	"magnoliastall.example/magno"
)

// pause is the wait before a further round where votes were split; it doubles
// with each. A rival yields within one exchange of messages, a millisecond or
// two between data centres.
const pause magno.Millis = 4

// Call is a request that may not be repeated.
type Call struct {
	// Key is the caller's idempotency key: a UUID of version 7, or a ticket.
	Key string
	// Scope is whom the key belongs to, such as the customer; the same key of
	// another scope is another key.
	Scope string
	// BodyHash is a hash of all that the request asks for.
	BodyHash uint64
}

// name returns the key as witnesses and ledger know it.
func (c Call) name() string {
	if c.Scope == "" {
		return c.Key
	}
	return c.Scope + "/" + c.Key
}

// Ledger is an agent's memory of the keys that it ran or tried to. It is safe
// for concurrent use.
type Ledger struct {
	Clock *magno.Clock
	// Self is the agent's instance name; it holds no "/".
	Self string
	// Incarnation is unique to this process among all that ever run on Self.
	Incarnation string
	// Rosters returns the rosters of the configuration in force.
	Rosters func() []magno.Roster
	Asker   magno.Asker
	// Retention is how long answers are replayed, counted from the key's own
	// time. Older keys are refused.
	Retention magno.Millis
	// MaxSkew is the most by which two clocks of callers and instances differ.
	MaxSkew magno.Millis
	// RoundTimeout is how long a round of asking may take.
	RoundTimeout magno.Millis
	// MaxKeys is the most keys held, MaxBytes the most text of answers. Beyond
	// either, new keys are refused with kind later.
	MaxKeys, MaxBytes int

	once sync.Once
	mu   sync.Mutex
	book *book
}

func (l *Ledger) open() {
	l.once.Do(func() {
		l.book = newBook(l.Self, l.Incarnation, l.MaxSkew, l.Retention, l.MaxKeys, l.MaxBytes)
	})
}

// Holder returns the name under which witnesses know this process.
func (l *Ledger) Holder() string { return holderOf(l.Self, l.Incarnation) }

// Do runs a call at most once and returns its answer, which may have been made
// for an earlier copy of it. The run goes on when ctx ends, so that a copy
// finds its answer; run must set its own deadline. A refusal of run that says
// "not run" is final for the key: to try again, a caller takes a new key.
func (l *Ledger) Do(ctx context.Context, call Call, run func(context.Context) magno.RunReply) magno.RunReply {
	l.open()
	l.mu.Lock()
	o := l.book.open(l.Clock.Now(), l.Rosters(), call)
	l.mu.Unlock()
	if o.refusal != nil {
		return magno.RunReply{Refusal: o.refusal}
	}
	if o.ask || o.run {
		go l.work(context.WithoutCancel(ctx), o.record, o.ask, run)
	}
	select {
	case <-o.attempt.over:
		reply := o.attempt.reply
		reply.Replay = !o.ask && !o.run && reply.Holder == ""
		return reply
	case <-ctx.Done():
		return magno.RunReply{Refusal: refuse(magno.KindCancelled, "the caller left before the answer; send the same key again")}
	}
}

// work carries a record from asking to its answer. Its end is reported by the
// record's attempt.
func (l *Ledger) work(ctx context.Context, r *record, ask bool, run func(context.Context) magno.RunReply) {
	if ask && !l.claim(ctx, r) {
		return
	}
	reply := run(ctx)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.book.finish(r, reply)
}

// claim asks the witnesses and returns whether the key may be run.
func (l *Ledger) claim(ctx context.Context, r *record) bool {
	wait := pause
	for i := 1; l.round(ctx, r) == blocked && i < rounds; i++ {
		time.Sleep(wait.Span())
		wait *= 2
	}
	l.mu.Lock()
	v, pass := l.book.settle(r)
	l.mu.Unlock()
	if v == yield {
		l.cede(ctx, pass)
	}
	return v == won
}

// answer is what came back for one question.
type answer struct {
	member string
	reply  magno.GrantReply
	err    error
}

// round asks all witnesses at once and returns as soon as the answers decide.
func (l *Ledger) round(ctx context.Context, r *record) verdict {
	ctx, cancel := context.WithTimeout(ctx, l.RoundTimeout.Span())
	defer cancel()
	l.mu.Lock()
	questions := l.book.ask(r)
	round := r.round
	l.mu.Unlock()
	answers := l.send(ctx, questions)
	v := waiting
	for v == waiting {
		select {
		case a := <-answers:
			v = l.hear(r, round, a)
		case <-ctx.Done():
			for _, q := range questions {
				v = l.hear(r, round, answer{member: q.member, err: ctx.Err()})
			}
		}
	}
	return v
}

func (l *Ledger) hear(r *record, round int, a answer) verdict {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.book.hear(r, round, a.member, a.reply, a.err == nil)
}

// send asks all members; the channel takes one answer for each and never
// blocks its senders.
func (l *Ledger) send(ctx context.Context, questions []question) <-chan answer {
	answers := make(chan answer, len(questions))
	for _, q := range questions {
		go func() {
			reply, err := l.Asker.Ask(ctx, q.member, q.call)
			answers <- answer{q.member, reply, err}
		}()
	}
	return answers
}

// cede passes this process's grants on to a rival. A message that gets lost
// only leaves the rival waiting.
func (l *Ledger) cede(ctx context.Context, questions []question) {
	ctx, cancel := context.WithTimeout(ctx, l.RoundTimeout.Span())
	defer cancel()
	answers := l.send(ctx, questions)
	for range questions {
		<-answers
	}
}

func holderOf(agent, incarnation string) string { return agent + "/" + incarnation }

// agentOf returns the agent of a holder.
func agentOf(holder string) string {
	agent, _, _ := strings.Cut(holder, "/")
	return agent
}
