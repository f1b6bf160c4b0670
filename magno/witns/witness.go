// Package witns gives each idempotency key to one holder, in memory.
//
// The load is calls that may not be repeated, sent again through any entry
// while their first home can't be reached. Without witnesses the second home
// would run what the first one has run or is about to run. One witness proves
// nothing, for its process may end at any time; the package once asks a quorum.
//
//	once.Ledger --- GrantCall{key, holder} ---> Witness in each slot of the
//	            <-- GrantReply{who holds it} --  key's set (package roster)
//
// A process that started after a key was issued doesn't know whether an
// earlier process in its slot gave the key away, and refuses it. No clock may
// differ from another by more than Skew: the earlier process gave only keys up
// to Skew ahead of its clock, which may have been Skew ahead of this one's, so
// keys up to twice Skew after the start are refused.
package witns

import (
	"sync"
	"unique"

	"magnoliastall.example/magno"
	"magnoliastall.example/magno/recall"
	"magnoliastall.example/magno/ticket"
)

// Witness is one process in one slot. It is safe for concurrent use.
type Witness struct {
	// Self is the slot's name; calls meant for another are refused.
	Self  string
	Clock *magno.Clock
	// Retention is how long a key is remembered after its issue; older ones
	// are refused.
	Retention magno.Millis
	// MaxSkew is the most by which two clocks of callers and instances differ.
	MaxSkew magno.Millis
	// MaxKeys is the most keys held; beyond it new keys are refused.
	MaxKeys int

	once sync.Once
	mu   sync.Mutex
	// start is the clock when the memory was empty. Too late a start only
	// refuses more.
	start magno.Millis
	given recall.Store[gift]
}

// gift is what became of one key.
type gift struct {
	// holder changes only when the holder itself cedes the key. Its text is
	// shared by all keys of the holder, for every call brings its own copy.
	holder unique.Handle[string]
	// passed maps each holder that ceded the key to the one it named. Such a
	// holder gets nothing any more: what reaches it late, by its own delayed
	// call or from a third holder, would be stuck with it.
	passed map[string]string
}

// heir returns who gets what would have been holder's.
func (g gift) heir(holder string) string {
	for range len(g.passed) {
		next, ok := g.passed[holder]
		if !ok {
			break
		}
		holder = next
	}
	return holder
}

// cede records that from wants nothing of the key and to is to have its part.
func (g gift) cede(from, to string) gift {
	passed := map[string]string{from: to}
	for f, t := range g.passed {
		passed[f] = t
	}
	g.passed = passed
	return g
}

// Open starts the memory; the first Grant does it otherwise.
func (w *Witness) Open() {
	w.once.Do(func() {
		w.start = w.Clock.Now()
		w.given.Retention = w.Retention
		w.given.Max = w.MaxKeys
	})
}

// Len returns how many keys are remembered.
func (w *Witness) Len() int {
	w.Open()
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.given.Len()
}

// Grant gives the key to the first holder that asks and tells every later one
// who that is. Repeated calls of one holder get the same answer.
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
	g, known := w.given.Get(call.Key)
	if !known {
		if reason := w.refuse(at); reason != "" {
			return magno.GrantReply{Reason: reason}
		}
		g.holder = unique.Make(call.Holder)
	}
	if call.Cede != "" {
		g = g.cede(call.Holder, call.Cede)
	}
	if len(g.passed) > 0 {
		g.holder = unique.Make(g.heir(g.holder.Value()))
	}
	w.given.Put(call.Key, at, g)
	return magno.GrantReply{Holder: g.holder.Value()}
}

// refuse returns why a key that isn't remembered can't be given, if so.
func (w *Witness) refuse(at magno.Millis) magno.GrantReason {
	now := w.Clock.Now()
	switch {
	case at > now+w.MaxSkew:
		return magno.GrantAhead
	case at <= w.start+2*w.MaxSkew:
		return magno.GrantForgot
	}
	switch w.given.Check(now, at) {
	case recall.Stale:
		return magno.GrantStale
	case recall.Full:
		return magno.GrantFull
	}
	return ""
}
