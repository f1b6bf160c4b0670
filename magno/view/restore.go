package view

import (
	"maps"

	"magnoliastall.example/magno"
)

const (
	// defaultHeartbeat is used if the platform doesn't state how often entries are renewed.
	defaultHeartbeat = 1200 * magno.Millis(1)
	// entryHeartbeats is the number of missed heartbeats after which an entry expires.
	entryHeartbeats = 3
)

// restore describes the last time that the list came back from an older copy.
//
// Load pattern: the copy is some seconds old. It has upstreams as ready that have left or said
// that they leave, lacks others, and its configuration may be a replaced one; each writer
// writes its items again at its own time. Without this, all processes would go back to the
// copy at once: requests would be sent to upstreams that are about to stop, keys that were
// withdrawn would be accepted, and upstreams that the copy lacks would be dropped.
type restore struct {
	// base is the revision of the first consistent listing after the restore, the end of the
	// era if there was none. What has a higher one was written after the restore, the rest may
	// be older than what is known.
	base magno.Revision
	// settledAt is when the list counts as rewritten: live upstreams have registered again,
	// and the entries of others have expired. It is zero from then on. A process that starts
	// later doesn't know when the list was restored and assumes that it was just before.
	settledAt magno.Millis
}

// settleTime is how long the list may differ from what its writers know.
func (s *Store) settleTime() magno.Millis { return s.entryTTL() }

// entryTTL is how long the entry of an upstream that has ended may remain in the list.
func (s *Store) entryTTL() magno.Millis {
	heartbeat := s.Heartbeat
	if heartbeat == 0 {
		heartbeat = defaultHeartbeat
	}
	return entryHeartbeats*heartbeat + expiryGrace
}

// beginEra prepares for the first changes of a later era. The caller holds mu.
func (s *Store) beginEra(base magno.Revision, settle magno.Millis) {
	now := s.Clock.Now()
	s.restore = restore{base: base, settledAt: now + settle}
	if s.current.Revision > 0 && settle > 0 {
		s.recoveredAt = now // entries that the copy lacks may be registered again
	}
}

// adoptKept adopts what another process knew from before the restore, as far as this one knows
// less. The caller holds mu.
func (s *Store) adoptKept(kept []magno.Change) {
	for _, c := range kept {
		old := s.items[c.Key]
		switch {
		case c.Plan != nil || c.Pin != nil:
			s.adoptVersion(c)
			s.items[c.Key].ahead = true
		case old == nil || c.Revision > old.change.Revision:
			s.set(c, old)
		}
	}
}

// restamp returns the items of a whole list as of the first listing after a restore, which has
// the given revision. The sender has items with the revisions of earlier eras if the restore
// didn't change them, whereas this process may have missed that it did. Newer versions from
// earlier eras are stored at once. The caller holds mu.
func (s *Store) restamp(changes []magno.Change, base magno.Revision) []magno.Change {
	listed := make([]magno.Change, 0, len(changes))
	for _, c := range changes {
		if c.Revision.Era() < base.Era() {
			if c.Plan != nil || c.Pin != nil {
				s.adoptVersion(c)
				continue
			}
			c.Revision = base
		}
		listed = append(listed, c)
	}
	return listed
}

// adoptVersion adopts a configuration, or the version of an adapter, from an earlier era if it is
// newer than the known one. The caller holds mu.
func (s *Store) adoptVersion(c magno.Change) {
	old := s.items[c.Key]
	switch {
	case old == nil || old.precedes(&c):
		s.set(c, old)
	case !sameContent(old, &c):
		old.ahead = true
	}
}

// settling reports whether the list may differ from what its writers know. The caller holds mu.
func (s *Store) settling() bool { return s.Clock.Now() < s.restore.settledAt }

// mayBeOlder reports whether a change of a restored list may be older than what is known of
// its item from an earlier era, and would undo that. The caller holds mu.
func (s *Store) mayBeOlder(old *record, c *magno.Change) bool {
	switch {
	case old == nil || c.Revision.Era() == old.change.Revision.Era():
		return false
	case old.change.Plan != nil || old.change.Pin != nil:
		return s.olderVersion(c)
	case c.Replica == nil || c.Revision > s.restore.base || !s.settling():
		return false
	}
	return old.undoneBy(c.Replica)
}

// undoneBy reports whether an entry would bring back an upstream that left or said that it
// leaves, or an earlier life of it.
func (rec *record) undoneBy(r *magno.Replica) bool {
	if rec.lastLife > 0 && r.StartedAt > 0 && r.StartedAt != rec.lastLife {
		return r.StartedAt < rec.lastLife
	}
	known := rec.change.Replica
	return known == nil || (known.Leaving && !r.Leaving)
}

// olderVersion reports whether a change would replace the configuration, or the version of an
// adapter, by an older one or none because the list was restored. The caller holds mu.
func (s *Store) olderVersion(c *magno.Change) bool {
	old := s.items[c.Key]
	if old == nil || c.Revision.Era() == old.change.Revision.Era() {
		return false
	}
	known := &old.change
	switch {
	case known.Plan != nil && c.Plan != nil:
		return c.Plan.Version <= known.Plan.Version
	case known.Pin != nil && c.Pin != nil:
		return c.Pin.Number <= known.Pin.Number
	}
	return (known.Plan != nil || known.Pin != nil) && c.Revision <= s.restore.base
}

// keep keeps what is known of an item, an upstream's only until the list counts as rewritten.
// The caller holds mu.
func (s *Store) keep(old *record, c *magno.Change) {
	switch {
	case old.change.Plan != nil:
		old.ahead = c.Plan == nil || c.Plan.Version < old.change.Plan.Version
	case old.change.Pin != nil:
		old.ahead = c.Pin == nil || c.Pin.Number < old.change.Pin.Number
	case !sameContent(old, c):
		old.pending = c
	}
}

// endSettling applies the changes that were postponed, once the list counts as rewritten, and
// reports whether the state may have changed. The caller holds mu.
func (s *Store) endSettling() bool {
	if s.restore.settledAt == 0 || s.settling() {
		return false
	}
	s.restore.settledAt = 0
	// Entries that were lost in the restore no longer precede those that the list has.
	maps.DeleteFunc(s.claims, func(_ string, c claim) bool { return c.since < s.current.Revision.EraStart() })
	for _, rec := range s.items {
		if rec.pending != nil {
			s.set(*rec.pending, rec)
		}
	}
	for _, rec := range s.items {
		s.recordClaim(&rec.change)
	}
	return true
}

// recordClaim records the creation of an upstream's entry if the change is one. The caller holds mu.
func (s *Store) recordClaim(c *magno.Change) {
	if r := c.Replica; r != nil && r.Since > s.claims[r.Address].since {
		s.claims[r.Address] = claim{since: r.Since, seenAt: s.Clock.Now(), key: c.Key, service: r.Service}
	}
}
