package view

import "magnoliastall.example/magno"

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
	// base is the revision of the first listing after the restore. What has a higher one was
	// written after the restore, the rest may be older than what is known.
	base magno.Revision
	// settledAt is when the list counts as rewritten: live upstreams have registered again,
	// and the entries of others have expired.
	settledAt magno.Millis
}

// settleTime is how long the list may differ from what its writers know.
func (s *Store) settleTime() magno.Millis {
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
	// All earlier changes of the item have lower numbers than the known one. What the list
	// gave a higher number was therefore written after the restore.
	return c.Revision.Number() <= old.change.Revision.Number() && old.undoneBy(c.Replica)
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

// postpone keeps what is known of an upstream until the list counts as rewritten. The caller
// holds mu.
func (s *Store) postpone(old *record, c *magno.Change) {
	if c.Replica != nil && !sameContent(old, c) {
		old.pending = c
	}
}

// applyPending applies the changes that were postponed, once the list counts as rewritten, and
// reports whether there were any. The caller holds mu.
func (s *Store) applyPending() bool {
	if s.settling() {
		return false
	}
	applied := false
	for _, rec := range s.items {
		if rec.pending != nil {
			s.set(*rec.pending, rec)
			applied = true
		}
	}
	return applied
}
