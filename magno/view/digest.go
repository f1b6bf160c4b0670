package view

import (
	"fmt"
	"maps"

	"github.com/cespare/xxhash/v2"

	"magnoliastall.example/magno"
)

// Digest identifies the state of a process, so that two processes can find out whether they
// know the same.
//
// Load pattern: a process starts while the list comes back from an older copy. It reads the
// copy, possibly even a stale listing from before, and then has the same revision as processes
// that know better, or a higher one. Revisions alone would never show that.
type Digest struct {
	Revision magno.Revision `json:"rev"`
	// Sum is a hash of all items.
	Sum uint64 `json:"sum,omitempty"`
	// Verified is false if the state goes back to a stale listing that was never compared with
	// a consistent one. The revision may then be one that the list doesn't have.
	Verified bool `json:"verified,omitempty"`
}

// Ask is what a process asks another one for.
type Ask int

// The kinds of question, answered by Answer.
const (
	AskNothing Ask = iota
	AskSince       // the changes after its revision
	AskAll         // the whole state
	AskKept        // what is known in place of older items of a restored list
)

// Compare returns what to ask a process with another digest for. Age is the time since that was
// known to be the list's newest, including the time that the digest took to get here.
func (s *Store) Compare(theirs Digest, age magno.Millis) Ask {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.setup()
	mine := s.digest()
	better := theirs.Verified && !mine.Verified
	switch {
	case mine.Verified && !theirs.Verified:
		return AskNothing
	case theirs.Revision > mine.Revision:
		s.heard = max(s.heard, theirs.Revision)
		return AskSince
	case theirs.Revision < mine.Revision:
		// If the list didn't have this revision later than it was read here, it is one of
		// before a restore.
		sameEra := theirs.Revision > 0 && theirs.Revision.Era() == mine.Revision.Era()
		if better && sameEra && s.Clock.Now()-age > s.listedAt {
			return AskAll
		}
	case theirs.Sum != mine.Sum && better:
		return AskAll
	case theirs.Sum != mine.Sum:
		return AskKept
	case theirs.Verified:
		s.verified = true
	}
	return AskNothing
}

// Answer returns the answer to a question of a process at a revision.
func (s *Store) Answer(ask Ask, revision magno.Revision) Update {
	switch ask {
	case AskAll:
		return s.since(0, true)
	case AskKept:
		return s.kept()
	}
	return s.since(revision, false)
}

// Digest returns the digest of the current state.
func (s *Store) Digest() Digest {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.setup()
	return s.digest()
}

// digest does the work of Digest. The caller holds mu.
func (s *Store) digest() Digest {
	return Digest{Revision: s.current.Revision, Sum: s.sum, Verified: s.verified}
}

// ApplyConsistent applies a listing that is known to have been the list's newest state during
// the call. It returns the update for the other processes, as ApplyRead does.
func (s *Store) ApplyConsistent(changes []magno.Change, revision magno.Revision) Update {
	sameEra := s.Digest().Revision.Era() == revision.Era()
	u := s.ApplyRead(changes, revision, true)
	s.mu.Lock()
	defer s.mu.Unlock()
	if sameEra && !s.verified && (s.current.Revision > revision || s.sum != sum(changes)) {
		s.reset() // it went back to a listing of before a restore
		s.applyUpdateLocked(Update{Changes: changes, Revision: revision, Full: true, Base: revision.EraEnd(), Settle: s.settleTime()}, s.Clock.Now())
	}
	s.verified = true
	return u
}

// sum returns the hash of a listing.
func sum(changes []magno.Change) (total uint64) {
	for i := range changes {
		total ^= hash(&changes[i])
	}
	return total
}

// hash returns the part of an item in the sum. Revisions and Since don't count: after a restore,
// they depend on how a process learned of the item.
func hash(c *magno.Change) uint64 {
	var content string
	switch r := c.Replica; {
	case c.Deleted:
		return 0
	case c.Plan != nil:
		content = fmt.Sprint("plan ", c.Plan.Version)
	case c.Pin != nil:
		content = fmt.Sprint("pin ", c.Pin.Number)
	case r != nil:
		content = fmt.Sprint("replica ", r.StartedAt, r.Service, r.Address, r.DataCentre, r.Slots, r.Leaving, r.Build)
	}
	return xxhash.Sum64String(c.Key + "\x00" + content)
}

// kept returns an update with what is known in place of older items of a restored list.
func (s *Store) kept() Update {
	s.mu.Lock()
	s.setup()
	u := s.updateSince(s.current.Revision)
	u.OnlyKept = true
	for _, rec := range s.items {
		if rec.ahead || (rec.pending != nil && s.settling()) {
			c := rec.change
			c.PlanDelta = rec.encodedPlan
			u.Kept = append(u.Kept, c)
		}
	}
	s.mu.Unlock()
	s.encodeFull(u.Kept)
	return u
}

// mergeKept adopts what another process knows in place of older items of the restored list. The
// caller holds mu.
func (s *Store) mergeKept(u *Update) {
	if u.Revision.Era() != s.current.Revision.Era() {
		return
	}
	changed := false
	for _, c := range u.Kept {
		changed = s.mergeItem(c, min(u.Base, s.restore.base)) || changed
	}
	if changed {
		s.publish(s.current.Revision, true)
	}
}

// mergeItem adopts one item and reports whether it did. What the list has with a revision above
// base was written after the restore. The caller holds mu.
func (s *Store) mergeItem(c magno.Change, base magno.Revision) bool {
	old := s.items[c.Key]
	switch {
	case c.Plan != nil || c.Pin != nil:
		if old != nil && !old.precedes(&c) {
			return false
		}
		s.set(c, old)
		s.items[c.Key].ahead = true
		return true
	case old == nil || old.pending != nil || old.change.Replica == nil || old.change.Revision > base || !s.settling():
		return false
	}
	listed := old.change
	known := &record{change: c, lastLife: old.lastLife}
	if c.Replica != nil {
		r := *c.Replica
		r.Since = max(r.Since, listed.Replica.Since) // or the listed entry would count as its successor
		c.Replica, known.lastLife = &r, r.StartedAt
	}
	if !known.undoneBy(listed.Replica) {
		return false
	}
	s.set(c, nil)
	s.items[c.Key].pending, s.items[c.Key].lastLife = &listed, known.lastLife
	return true
}

// precedes reports whether a configuration or the version of an adapter is newer than the
// record's.
func (rec *record) precedes(c *magno.Change) bool {
	switch known := &rec.change; {
	case known.Plan != nil && c.Plan != nil:
		return known.Plan.Version < c.Plan.Version
	case known.Pin != nil && c.Pin != nil:
		return known.Pin.Number < c.Pin.Number
	}
	return rec.change.Plan == nil && rec.change.Pin == nil
}

// reset forgets the items, to be replaced by those of a consistent state. The configuration and
// the versions of adapters are kept, since they never decrease. The caller holds mu.
func (s *Store) reset() {
	s.sum, s.claims, s.heard = 0, map[string]claim{}, 0
	s.unknownDeletions = RevisionRange{}
	s.current = &Snapshot{Plan: s.plan, Replicas: map[string]*magno.Replica{}, Pins: s.current.Pins}
	maps.DeleteFunc(s.items, func(_ string, rec *record) bool { return rec.change.Plan == nil && rec.change.Pin == nil })
	for _, rec := range s.items {
		rec.change.Revision, rec.ahead, rec.encodedPlan = 0, true, nil
		s.sum ^= hash(&rec.change)
	}
}
