// Package view stores the last known state of the platform's list, whether it was read
// from the list itself or received from a peer.
//
// Load pattern: normally there is a change every few minutes. While upstreams are
// replaced there are several per second, and after an outage of the list all entries
// change at once, some of them missing only because they were renewed too late. Changes
// are ordered by revision. Otherwise a delayed response could restore a replaced
// configuration or remove an upstream that has returned.
//
// The stored state is always that of the list at one revision. Updates that start after
// it are rejected, and the missing part is requested. So changes may arrive repeatedly
// and in any order, and two processes at the same revision have the same state. The
// version of the configuration never decreases within a process.
package view

import (
	"log/slog"
	"maps"
	"strings"
	"sync"

	"magnoliastall.example/magno"
)

const (
	// expiryGrace is how long an upstream whose entry expired during an outage of the
	// list is still used after the list recovered. Live upstreams register again within
	// about two seconds.
	expiryGrace = 2200 * magno.Millis(1)
	// minOutage is the shortest outage in which entries can expire: they are renewed
	// about every second, and their time to live is three times this long.
	minOutage = 1500 * magno.Millis(1)
	// tombstoneTTL is how long a deletion is kept to reject older changes of its key. It
	// is longer than any response or peer can be delayed.
	tombstoneTTL = 5 * magno.Minute
)

// Snapshot is an immutable copy of the state.
type Snapshot struct {
	// Plan is nil until the first configuration was received.
	Plan *magno.Plan
	// Replicas maps IDs to upstreams that are in use or leaving.
	Replicas map[string]*magno.Replica
	// Pins maps MODEL/ADAPTER to the newest version declared for it.
	Pins map[string]int64
	// Revision is the revision of the list up to which all changes are included.
	Revision magno.Revision
}

// Find returns the replica with the given key, or nil.
func (s *Snapshot) Find(key string) *magno.Replica {
	id, _, _ := strings.Cut(key, "@")
	if r := s.Replicas[id]; r != nil && r.Key() == key {
		return r
	}
	return nil
}

// Occupied reports whether a replica is listed at an address.
func (s *Snapshot) Occupied(address string) bool {
	for _, r := range s.Replicas {
		if r.Address == address {
			return true
		}
	}
	return false
}

// Store holds the state and applies changes to it. It is safe for concurrent use;
// exported fields are set before the first use.
type Store struct {
	Clock *magno.Clock
	// OnChange is called for each applied change, in order. It may be nil and must not
	// call the store.
	OnChange func(magno.Change)
	// Log receives errors in encoding configurations. It may be nil.
	Log *slog.Logger
	// Heartbeat is how often upstreams renew their entries, zero if unknown.
	Heartbeat magno.Millis

	mu    sync.Mutex
	items map[string]*record
	// claims maps each address to the newest entry seen there, including deleted ones. Its
	// size is limited by the number of addresses on the platform.
	claims map[string]claim
	// hidden is the number of upstreams that aren't used because of a newer entry.
	hidden  int
	current *Snapshot
	// plan is the configuration with the highest version received.
	plan *magno.Plan
	// confirmedAt is the latest time at which the current revision was known to be the
	// newest of the list.
	confirmedAt magno.Millis
	// freshAt is the latest time for which it is proven that the list had no revision
	// newer than freshRevision.
	freshAt       magno.Millis
	freshRevision magno.Revision
	// unknownDeletions is the range of revisions in which this process may have missed
	// deletions. Only items created after the start of the range are affected.
	unknownDeletions RevisionRange
	// failing is true between a failed read and the next successful one; recoveredAt is
	// the time of that successful read if the outage lasted longer than minOutage.
	failing     bool
	recoveredAt magno.Millis
	restore     restore
	// sum and verified are for Digest. listedAt is when the whole list was last read.
	sum      uint64
	verified bool
	listedAt magno.Millis
	// heard is the highest revision that another process is known to have.
	heard magno.Revision
	// mustRead is true if this process lacks changes that it can't get from a peer.
	mustRead bool
	changed  chan struct{}
}

// claim is the newest entry of an address.
type claim struct {
	// since is its creation, seenAt when this process first knew of it.
	since        magno.Revision
	seenAt       magno.Millis
	key, service string
}

type record struct {
	change magno.Change
	// effectiveAt is when a deletion takes effect that may be an expiry during an outage.
	// It is zero for other deletions, and once the deletion took effect.
	effectiveAt magno.Millis
	// previous is the upstream before such a deletion.
	previous *magno.Replica
	// pending is the item in a restored list if that may be older than change. It is applied
	// when the list counts as rewritten, unless another change comes before.
	pending *magno.Change
	// ahead is true for a configuration or version if the restored list had an older one.
	ahead bool
	// lastLife is the start time of the upstream, also of one that was deleted, zero if
	// unknown.
	lastLife  magno.Millis
	appliedAt magno.Millis
	// encodedPlan caches the full encoding of the configuration; nil until a process
	// requested it.
	encodedPlan []byte
}

// Current returns the latest snapshot.
func (s *Store) Current() *Snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.setup()
	return s.current
}

// Changed returns a channel that is closed on the next change.
func (s *Store) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.setup()
	return s.changed
}

// Age returns the time since the state was last known to be the newest.
func (s *Store) Age() magno.Millis {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.Clock.Now() - s.confirmedAt
}

// Behind reports whether another process is known to have later changes.
func (s *Store) Behind() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.setup()
	return s.heard > s.current.Revision
}

// RecordFreshness records that the newest revision of the list was no higher than the
// given one at the given time. It is ignored if this process doesn't know all changes up
// to that revision.
func (s *Store) RecordFreshness(revision magno.Revision, at magno.Millis) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.setup()
	if revision <= s.current.Revision && at <= s.Clock.Now() && at > s.freshAt {
		s.freshAt, s.freshRevision = at, revision
	}
}

// FreshAt returns the latest time for which it is proven that the list had no revision
// newer than the returned one, which this process knows; zero if there is no such time.
// Unlike Age, it doesn't depend on messages that may have been delayed.
func (s *Store) FreshAt() (at magno.Millis, revision magno.Revision) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.freshAt, s.freshRevision
}

// Staleness returns the time since FreshAt, an upper bound for the age of the state.
func (s *Store) Staleness() magno.Millis {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.Clock.Now() - s.freshAt
}

// MustRead reports whether this process lacks changes that it can get only from the list.
func (s *Store) MustRead() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.mustRead
}

func (s *Store) setup() {
	if s.items == nil {
		s.items, s.claims = map[string]*record{}, map[string]claim{}
		s.changed = make(chan struct{})
		s.current = &Snapshot{Replicas: map[string]*magno.Replica{}, Pins: map[string]int64{}}
	}
}

// Tick applies delayed deletions that are due and removes old tombstones. It is called
// every few hundred milliseconds.
func (s *Store) Tick() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.setup()
	now, changed := s.Clock.Now(), s.endSettling()
	for key, rec := range s.items {
		if rec.effectiveAt > 0 && now >= rec.effectiveAt {
			rec.effectiveAt, rec.previous = 0, nil
			changed = true
		}
		if rec.change.Deleted && rec.effectiveAt == 0 && now-rec.appliedAt > tombstoneTTL {
			delete(s.items, key)
			s.unknownDeletions.extend(0, rec.change.Revision)
		}
	}
	if s.hidden > 0 && !changed {
		replicas, _ := s.collect()
		changed = len(replicas) != len(s.current.Replicas)
	}
	if changed {
		s.publish(s.current.Revision, true)
	}
}

// publish creates the next snapshot. The caller holds mu.
func (s *Store) publish(revision magno.Revision, changed bool) {
	next := &Snapshot{Plan: s.plan, Revision: revision, Replicas: s.current.Replicas, Pins: s.current.Pins}
	if changed {
		next.Replicas, next.Pins = s.collect()
	}
	s.current = next
	if changed {
		close(s.changed)
		s.changed = make(chan struct{})
	}
}

func (s *Store) collect() (map[string]*magno.Replica, map[string]int64) {
	replicas, pins := map[string]*magno.Replica{}, maps.Clone(s.current.Pins)
	s.hidden = 0
	for _, rec := range s.items {
		r := rec.change.Replica
		if r == nil {
			r = rec.previous
		}
		switch {
		case r == nil:
		case s.succeeded(r):
			s.hidden++
		default:
			replicas[r.ID] = r
		}
		if p := rec.change.Pin; p != nil {
			name := p.Model + "/" + p.Adapter
			pins[name] = max(pins[name], p.Number)
		}
	}
	if maps.Equal(pins, s.current.Pins) {
		pins = s.current.Pins // the same map, so that comparing what each agent was sent is cheap
	}
	return replicas, pins
}

// succeeded reports whether another upstream has taken the address of one. The entry of a crashed
// upstream remains for some seconds beside that of its successor. If it is still there once it would
// have expired, its upstream is alive, and the newer entry came from another writer. The caller holds
// mu.
func (s *Store) succeeded(r *magno.Replica) bool {
	c := s.claims[r.Address]
	if r.Since >= c.since {
		return false
	}
	if s.confirmedAt-c.seenAt < s.entryTTL() {
		return true
	}
	rec := s.items[c.key]
	return rec != nil && rec.change.Replica != nil && c.service == r.Service
}
