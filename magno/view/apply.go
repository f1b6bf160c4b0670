package view

import (
	"slices"

	"magnoliastall.example/magno"
)

// RecordFailure records that reading the list failed.
func (s *Store) RecordFailure() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failing = true
}

// ApplyRead applies a successful read of the list with the changes up to revision. With
// full set, changes is the whole list and items that are not in it were deleted. A full
// read may be seconds old, so only the first one counts as a confirmation of the current
// revision. ApplyRead returns the update for the other processes; for a full read it has
// only the revision, because each process makes a full read when it starts.
func (s *Store) ApplyRead(changes []magno.Change, revision magno.Revision, full bool) Update {
	update, bases := s.applyRead(changes, revision, full)
	s.encodePlans(update.Changes, bases)
	return update
}

// applyRead does the work of ApplyRead except for encoding configurations, whose bases it
// returns.
func (s *Store) applyRead(changes []magno.Change, revision magno.Revision, full bool) (Update, []magno.Change) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.setup()
	now := s.Clock.Now()
	s.mustRead = false
	if full {
		s.listedAt = now
	}
	if s.failing {
		s.failing = false
		if now-s.confirmedAt > minOutage {
			s.recoveredAt = now
		}
	}
	if full && s.current.Revision > 0 && revision.Era() > s.current.Revision.Era() {
		return s.applyRestored(changes, revision)
	}
	if full {
		confirmed := s.confirmedAt
		if confirmed == 0 {
			confirmed = now
		}
		// It may be as old as the copy that the list was restored from.
		s.applyUpdateLocked(Update{Changes: changes, Revision: revision, Full: true, Base: revision.EraEnd(), Settle: s.settleTime()}, confirmed)
		return Update{Since: revision, Revision: revision, Age: now - s.confirmedAt}, nil
	}
	if revision.Era() != s.current.Revision.Era() {
		return s.updateSince(s.current.Revision), nil // the list was restored while it answered
	}
	toSend := s.changesToSend(changes)
	bases := s.bases(toSend)
	update := Update{Changes: toSend, Since: s.current.Revision, Revision: revision}
	s.applyUpdateLocked(update, now)
	return update, bases
}

// applyRestored applies the first listing after the list was restored. The returned update has
// only what differs from the known state, for the processes that know the same.
func (s *Store) applyRestored(changes []magno.Change, revision magno.Revision) (Update, []magno.Change) {
	since := s.current.Revision
	toSend := append(s.changesToSend(changes), s.impliedDeletions(changes, revision)...)
	s.beginEra(revision, s.settleTime())
	bases := s.bases(toSend)
	s.unknownDeletions.extend(since, revision)
	s.applyChanges(toSend, revision, s.Clock.Now(), false)
	u := s.updateSince(since)
	u.Changes, u.Sum, u.Verified = toSend, 0, false
	return u, bases
}

// applyUpdateLocked applies an update. A full one doesn't show which items were created
// and deleted before it, so this process can't report those deletions to others either.
// The caller holds mu.
func (s *Store) applyUpdateLocked(u Update, confirmed magno.Millis) {
	changes := u.Changes
	begins := s.current.Revision == 0 || u.Revision.Era() > s.current.Revision.Era()
	if begins {
		s.beginEra(u.Base, u.Settle)
		s.adoptKept(u.Kept)
		if u.Full {
			changes = s.restamp(changes, u.Base)
		}
	}
	if u.Full {
		deletedAt := u.Revision
		if begins {
			deletedAt = min(u.Base, u.Revision) // the restore may have lost the items
		}
		changes = append(slices.Clip(changes), s.impliedDeletions(u.Changes, deletedAt)...)
		u.UnknownDeletions.extend(s.current.Revision, u.Revision)
	}
	if u.UnknownDeletions.Before > s.current.Revision {
		s.unknownDeletions.extend(u.UnknownDeletions.After, u.UnknownDeletions.Before)
	}
	s.applyChanges(changes, u.Revision, confirmed, begins)
}

// impliedDeletions returns deletions for the stored items that a full list doesn't have.
// Items newer than the list, which may be outdated, are kept.
func (s *Store) impliedDeletions(changes []magno.Change, revision magno.Revision) []magno.Change {
	present := make(map[string]bool, len(changes))
	for i := range changes {
		present[changes[i].Key] = true
	}
	var deletions []magno.Change
	for key, rec := range s.items {
		listed := !rec.change.Deleted || rec.pending != nil
		if !present[key] && listed && rec.change.Revision <= revision {
			deletions = append(deletions, magno.Change{Key: key, Revision: revision, Deleted: true})
		}
	}
	return deletions
}

// applyChanges applies changes and publishes a new snapshot if needed; changed is true if the
// state has changed before. The caller holds mu.
func (s *Store) applyChanges(changes []magno.Change, revision magno.Revision, confirmed magno.Millis, changed bool) {
	for i := range changes {
		changed = s.applyChange(&changes[i]) || changed
	}
	s.confirmedAt = max(s.confirmedAt, confirmed)
	if revision > s.current.Revision || changed {
		s.publish(max(revision, s.current.Revision), changed)
	}
}

func (s *Store) applyChange(c *magno.Change) bool {
	if c.Revision <= s.current.Revision {
		// The state is complete up to the current revision. Any other item in an older
		// response has been deleted since, and would never be removed if it were added
		// here.
		return false
	}
	old := s.items[c.Key]
	if old != nil && c.Revision <= old.change.Revision {
		return false // it was adopted from an earlier era
	}
	if s.mayBeOlder(old, c) {
		s.keep(old, c)
		return false
	}
	s.set(*c, old)
	return true
}

// set stores a change in place of the old record, which may be nil. The caller holds mu.
func (s *Store) set(c magno.Change, old *record) {
	now := s.Clock.Now()
	c.PlanDelta = nil
	rec := &record{change: c, appliedAt: now}
	if old != nil {
		rec.lastLife = old.lastLife
		if c.Deleted {
			s.delayDeletion(rec, old, now)
		}
	}
	if was := s.items[c.Key]; was != nil {
		s.sum ^= hash(&was.change)
	}
	s.sum ^= hash(&c)
	s.items[c.Key] = rec
	if c.Replica != nil {
		rec.lastLife = c.Replica.StartedAt
		s.recordClaim(&c)
	}
	if c.Plan != nil && (s.plan == nil || c.Plan.Version > s.plan.Version) {
		s.plan = c.Plan
	}
	if s.OnChange != nil {
		s.OnChange(c)
	}
}

// delayDeletion keeps an upstream in use for a while if its entry was deleted right after
// an outage: the entry may have expired only because it couldn't be renewed, and removing
// all such upstreams would make every request fail.
func (s *Store) delayDeletion(rec, old *record, now magno.Millis) {
	previous := old.change.Replica
	if previous == nil || previous.Leaving {
		return
	}
	if end := s.recoveredAt + expiryGrace; s.recoveredAt > 0 && now < end {
		rec.effectiveAt, rec.previous = end, previous
	}
}
