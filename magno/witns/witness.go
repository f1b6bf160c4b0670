// Package witns implements the witness, which grants each idempotency key to one
// holder and keeps the grants in memory.
//
// A request that may not be repeated can be sent again through any entry while the
// agent that first received it is unreachable. Without witnesses a second agent
// would run what the first one has run or is about to run. A single witness is not
// enough, because its process may end at any time, so package once requires grants
// from a quorum.
//
//	once.Ledger --- GrantCall{key, holder} ---> Witness in each slot of the
//	            <-- GrantReply{who holds it} --  key's set (package roster)
//
// A process that started after a key was issued cannot know whether an earlier
// process in its slot granted that key, so it refuses it. Two clocks differ by at
// most MaxSkew. The earlier process granted keys up to MaxSkew ahead of its own
// clock, which may have been MaxSkew ahead of this one's; keys issued up to twice
// MaxSkew after the start are therefore refused.
package witns

import (
	"sync"
	"unique"

	"magnoliastall.example/magno"
	"magnoliastall.example/magno/recall"
	"magnoliastall.example/magno/ticket"
)

// Witness is the witness of one process in one slot. It is safe for concurrent use.
type Witness struct {
	// Self is the name of the slot; calls addressed to another slot are refused.
	Self  string
	Clock *magno.Clock
	// Retention is how long a key is kept after its issue time; older keys are
	// refused.
	Retention magno.Millis
	// MaxSkew is the maximum difference between any two clocks of callers and
	// instances.
	MaxSkew magno.Millis
	// MaxKeys is the maximum number of keys kept; new keys beyond it are refused.
	MaxKeys int

	once sync.Once
	mu   sync.Mutex
	// startedAt is the clock when the store was empty. A value that is too late
	// only causes more refusals.
	startedAt magno.Millis
	grants    recall.Store[grant]
}

// grant is the state of one key.
type grant struct {
	// holder changes only when the holder itself cedes the key. The handle lets all
	// keys of a holder share one string; each call decodes its own copy.
	holder unique.Handle[string]
	// ceded maps each holder that gave up the key to the holder it named instead.
	// Such a holder is never granted the key again: a grant that reached it late,
	// through its own delayed call or a third holder, could not be passed on.
	ceded map[string]string
}

// successor returns the holder that receives what would go to the given holder,
// following the cessions.
func (g grant) successor(holder string) string {
	for range len(g.ceded) {
		next, ok := g.ceded[holder]
		if !ok {
			break
		}
		holder = next
	}
	return holder
}

// withCession returns the grant with a cession added: from gives up the key and
// its part goes to to.
func (g grant) withCession(from, to string) grant {
	cessions := map[string]string{from: to}
	for f, t := range g.ceded {
		cessions[f] = t
	}
	g.ceded = cessions
	return g
}

// Open initializes the witness. The first Grant calls it if nothing else did.
func (w *Witness) Open() {
	w.once.Do(func() {
		w.startedAt = w.Clock.Now()
		w.grants.Retention = w.Retention
		w.grants.Max = w.MaxKeys
	})
}

// Len returns the number of keys kept.
func (w *Witness) Len() int {
	w.Open()
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.grants.Len()
}

// Grant grants the key to the first holder that asks, and returns that holder to
// every later caller. Repeated calls by one holder get the same reply.
func (w *Witness) Grant(call magno.GrantCall) magno.GrantReply {
	w.Open()
	if call.Member != w.Self {
		return magno.GrantReply{Reason: magno.GrantMember}
	}
	at, ok := ticket.IssueTime(call.Key)
	if !ok || call.Holder == "" {
		return magno.GrantReply{Reason: magno.GrantKey}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	g, known := w.grants.Get(call.Key)
	if !known {
		if reason := w.refusalReason(at); reason != "" {
			return magno.GrantReply{Reason: reason}
		}
		g.holder = unique.Make(call.Holder)
	}
	if call.Cede != "" {
		g = g.withCession(call.Holder, call.Cede)
	}
	if len(g.ceded) > 0 {
		g.holder = unique.Make(g.successor(g.holder.Value()))
	}
	w.grants.Put(call.Key, at, g)
	return magno.GrantReply{Holder: g.holder.Value()}
}

// refusalReason returns why an unknown key can't be granted, or "" if it can.
func (w *Witness) refusalReason(at magno.Millis) magno.GrantReason {
	now := w.Clock.Now()
	switch {
	case at > now+w.MaxSkew:
		return magno.GrantAhead
	case at <= w.startedAt+2*w.MaxSkew:
		return magno.GrantForgot
	}
	switch w.grants.Check(now, at) {
	case recall.Stale:
		return magno.GrantStale
	case recall.Full:
		return magno.GrantFull
	}
	return ""
}
