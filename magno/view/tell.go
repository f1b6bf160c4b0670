package view

import (
	"reflect"
	"slices"

	"github.com/cockroachdb/errors"

	"magnoliastall.example/magno"
	"magnoliastall.example/magno/delta"
)

// ErrGap means that an update starts after the last revision known to this process.
var ErrGap = errors.New("the update starts after the last known revision")

// changesToSend leaves out changes that repeat the known content or that a later change
// supersedes. With 10,000 upstreams that load an adapter every few seconds, the repeated
// entries alone would be 150 KB/s to each process. Of many configurations in a row, only
// the last one is needed.
func (s *Store) changesToSend(changes []magno.Change) []magno.Change {
	last := map[string]int{}
	changed := map[string]bool{}
	for i := range changes {
		c := &changes[i]
		if c.Fault == "" {
			last[c.Key] = i
		}
		if rec := s.items[c.Key]; !sameContent(rec, c) || rec.pending != nil {
			changed[c.Key] = true
		}
	}
	var toSend []magno.Change
	for i := range changes {
		c := &changes[i]
		if at, ok := last[c.Key]; !changed[c.Key] || (ok && i < at && supersedes(&changes[at], c)) {
			continue
		}
		toSend = append(toSend, *c)
	}
	return toSend
}

// bases returns the item that each change replaces, either the stored one or that of an
// earlier change in the list, or the zero value if there is none. The caller holds mu.
func (s *Store) bases(changes []magno.Change) []magno.Change {
	bases := make([]magno.Change, len(changes))
	latest := map[string]*magno.Change{}
	for i := range changes {
		c := &changes[i]
		switch rec := s.items[c.Key]; {
		case latest[c.Key] != nil:
			bases[i] = *latest[c.Key]
		case rec != nil:
			bases[i] = rec.change
		}
		latest[c.Key] = c
	}
	return bases
}

// encodePlans encodes each configuration among the changes as the difference from its
// base. It runs without the lock, because it takes tens of milliseconds on a small
// machine and would block requests.
func (s *Store) encodePlans(changes, bases []magno.Change) {
	for i := range changes {
		if c := &changes[i]; c.Plan != nil {
			c.PlanDelta = s.encodeDelta(delta.Diff(bases[i].Plan, bases[i].Revision, c.Plan))
		}
	}
}

func (s *Store) encodeDelta(d *delta.Delta) []byte {
	encoded, err := d.Encode()
	if err != nil && s.Log != nil {
		s.Log.Error("encoding of configuration failed", "version", d.Rest.Version, "error", err)
	}
	return encoded
}

// decodePlans decodes the configurations of an update. The result is nil for changes that
// have none or that are already known. Like encodePlans, it runs without the lock.
func (s *Store) decodePlans(u *Update) ([]*delta.Delta, error) {
	known := s.Current().Revision
	deltas := make([]*delta.Delta, len(u.Changes))
	for i := range u.Changes {
		c := &u.Changes[i]
		if c.PlanDelta == nil || u.repeats(c, known) {
			continue
		}
		d, err := delta.Decode(c.PlanDelta)
		if err != nil {
			return nil, err
		}
		deltas[i] = d
	}
	return deltas, nil
}

// applyDeltas returns the changes with the decoded configurations, applied to the stored
// ones. It fails if a delta has another base than the stored configuration, or if a
// change is empty because the sender failed to encode its configuration. The caller holds
// mu.
func (s *Store) applyDeltas(u *Update, deltas []*delta.Delta) ([]magno.Change, error) {
	changes := slices.Clone(u.Changes)
	for i := range changes {
		c := &changes[i]
		if u.repeats(c, s.current.Revision) {
			continue
		}
		if d := deltas[i]; d != nil {
			base := s.bases(changes[:i+1])[i]
			plan, err := d.Apply(base.Plan, base.Revision)
			if err != nil {
				return nil, err
			}
			c.Plan, c.PlanDelta = plan, nil
		}
		if c.Empty() {
			return nil, errors.Newf("change of %s at revision %s is empty", c.Key, c.Revision)
		}
	}
	return changes, nil
}

// supersedes reports whether a later change of the same key makes c irrelevant. An
// invalid change doesn't, nor does a configuration with a lower version.
func supersedes(later, c *magno.Change) bool {
	if later.Plan != nil && c.Plan != nil {
		return later.Plan.Version >= c.Plan.Version
	}
	return later.Fault == ""
}

// sameContent reports whether a change leaves its item as it is, apart from the revision.
func sameContent(old *record, c *magno.Change) bool {
	if old == nil {
		return false
	}
	previous := old.change
	if r := previous.Replica; r != nil && c.Replica != nil && r.Since.Number() == c.Replica.Since.Number() {
		same := *r
		same.Since = c.Replica.Since
		previous.Replica = &same
	}
	previous.Revision = c.Revision
	return reflect.DeepEqual(previous, *c)
}

// ApplyUpdate applies an update from a peer. It returns an error, and changes nothing, if
// the update starts after the known revision or can't be decoded against the known state.
// The caller then requests everything it lacks, so a later change is never stored without
// the earlier ones. MustRead tells if no peer may have it.
func (s *Store) ApplyUpdate(u Update) error {
	deltas, err := s.decodePlans(&u)
	if err != nil {
		return err
	}
	if err := decodeKept(u.Kept); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.setup()
	if u.OnlyKept {
		s.mergeKept(&u)
		return nil
	}
	if u.Verified || !s.verified {
		s.heard = max(s.heard, u.Revision) // it may not be applicable
	}
	replaces := u.Full && u.Verified && !s.verified && u.Revision.Era() == s.current.Revision.Era()
	if s.spansRestore(&u) {
		return errors.Wrapf(ErrGap, "update from revision %s over a restore, known up to %s", u.Since, s.current.Revision)
	}
	if !replaces && s.precedesBase(&u) {
		s.mustRead = true
		return errors.Wrapf(ErrGap, "update from %s, the first listing after a restore; known up to %s", u.Base, s.current.Revision)
	}
	if !u.Full && u.Since > s.current.Revision {
		return errors.Wrapf(ErrGap, "update after revision %s, known up to %s", u.Since, s.current.Revision)
	}
	changes, err := s.applyDeltas(&u, deltas)
	if err != nil {
		return err
	}
	u.Changes = changes
	if replaces {
		s.reset()
	}
	s.applyUpdateLocked(u, s.Clock.Now()-u.Age)
	if u.Verified && s.current.Revision == u.Revision && (u.Full || s.sum == u.Sum) {
		s.verified = true
	}
	return nil
}

// decodeKept decodes the configurations of items that are kept, which are never differences.
func decodeKept(kept []magno.Change) error {
	for i := range kept {
		if kept[i].PlanDelta == nil {
			continue
		}
		d, err := delta.Decode(kept[i].PlanDelta)
		if err != nil {
			return err
		}
		if kept[i].Plan, err = d.Apply(nil, 0); err != nil {
			return err
		}
	}
	return nil
}

// repeats reports whether a process that knows the list up to a revision knows a change as well.
// A whole list may replace what it knows.
func (u *Update) repeats(c *magno.Change, known magno.Revision) bool {
	return c.Revision <= known && !u.Full
}

// spansRestore reports whether an update spans a restore of the list and this process is inside
// that span. Unlike others, such an update doesn't have every change between its revisions, but
// the difference of two states, which may lack a deletion for this one. The caller holds mu.
func (s *Store) spansRestore(u *Update) bool {
	known := s.current.Revision
	return !u.Full && u.Since.Era() < u.Revision.Era() && u.Since < known && known < u.Revision
}

// precedesBase reports whether this process read a restored list before the sender did. The
// sender doesn't know which items changed between the two. The caller holds mu.
func (s *Store) precedesBase(u *Update) bool {
	known := s.current.Revision
	return known.Era() == u.Revision.Era() && known < u.Base && known < u.Revision && u.Base != u.Base.EraEnd()
}

// Since returns an update with the newest change of each key after a revision. If this
// process may have missed deletions since then, the update is full.
func (s *Store) Since(revision magno.Revision) Update { return s.since(revision, false) }

func (s *Store) since(revision magno.Revision, full bool) Update {
	u := s.collectSince(revision, full)
	s.encodeFull(u.Changes)
	s.encodeFull(u.Kept)
	return u
}

// encodeFull encodes the configurations among changes that aren't yet.
func (s *Store) encodeFull(changes []magno.Change) {
	for i := range changes {
		if c := &changes[i]; c.Plan != nil && c.PlanDelta == nil {
			c.PlanDelta = s.encodeDelta(delta.Full(c.Plan))
			s.cacheEncoded(c)
		}
	}
}

// collectSince does the work of since, except for encoding configurations that have no
// cached encoding.
func (s *Store) collectSince(revision magno.Revision, full bool) Update {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.setup()
	u := s.updateSince(revision)
	u.Full = full || s.unknownDeletions.contains(revision)
	if u.Full {
		revision = 0
	}
	for _, rec := range s.items {
		c := rec.change
		c.PlanDelta = rec.encodedPlan
		if rec.pending != nil || rec.ahead {
			u.Kept = append(u.Kept, c)
		}
		if rec.pending != nil {
			c = *rec.pending
		}
		if u.Full && c.Deleted {
			continue // a full update implies deletions
		}
		if c.Revision > revision {
			u.Changes = append(u.Changes, c)
		}
	}
	return u
}

// updateSince returns an update from a revision to the current one, without its changes. The
// caller holds mu.
func (s *Store) updateSince(revision magno.Revision) Update {
	now := s.Clock.Now()
	return Update{
		Since: revision, Revision: s.current.Revision, Age: now - s.confirmedAt, UnknownDeletions: s.unknownDeletions,
		Base: s.restore.base, Settle: max(s.restore.settledAt-now, 0), Sum: s.sum, Verified: s.verified,
	}
}

// cacheEncoded stores an encoded configuration for the next process that requests it.
func (s *Store) cacheEncoded(c *magno.Change) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if rec := s.items[c.Key]; rec != nil && rec.change.Revision == c.Revision {
		rec.encodedPlan = c.PlanDelta
	}
}
