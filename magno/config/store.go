// Package config stores the active version of the configuration.
//
//	reader --- full version ---+                    +--> subscribers
//	                           +--> check --> active --> look-ups, lock-free
//	peers --- deltas, buckets -+        |           +--> deltas for peers
//	                                    +--> rejected: log, metric, status
//
// Every request looks up records, 42,000 times a second over the fleet, while 54,000
// changes a day replace the version. A version is immutable and shares all but the
// changed buckets with the previous one, so look-ups take no lock and a change copies
// kilobytes. With flat lists, each change would copy and index 260,000 records in every
// daemon.
//
// The version number only increases, wherever a version comes from. If a version is
// invalid, the last valid one stays active.
package config

import (
	"fmt"
	"log/slog"
	"sync"
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"

	"magnoliastall.example/magno"
	"magnoliastall.example/magno/check"
	"magnoliastall.example/magno/setup"
)

// Store holds the active version. It is safe for concurrent use.
type Store struct {
	// Check may be nil for a checker without RosterCutoff.
	Check *check.Checker
	// Clock may be nil for the system clock.
	Clock *magno.Clock
	// Log may be nil.
	Log *slog.Logger
	// Metrics is where the store registers its metrics; if nil, they aren't exported.
	Metrics *metrics.Set

	once    sync.Once
	current atomic.Pointer[Snapshot]
	// confirmedAt is when the active version was last known to be the newest, in
	// milliseconds; zero means never.
	confirmedAt atomic.Int64
	// lastConflict is the last version for which a conflict was logged.
	lastConflict atomic.Int64

	mu sync.Mutex
	// activeSince is when the active version was activated.
	activeSince magno.Millis
	rejection   *Rejection
	history     history
	subscribers []chan *Snapshot

	changes, rejections, conflicts *metrics.Counter
}

// Rejection describes a version that was rejected.
type Rejection struct {
	Version int64 `json:"version"`
	// Source is where the version came from.
	Source string       `json:"source"`
	Reason string       `json:"reason"`
	At     magno.Millis `json:"at"`
}

// Status describes the store for operators.
type Status struct {
	Version int64        `json:"version"`
	Sum     uint64       `json:"sum"`
	Records int          `json:"records"`
	Since   magno.Millis `json:"since"`
	// Confirmed is when the active version was last known to be the newest.
	Confirmed magno.Millis `json:"confirmed"`
	// Refused is the last rejected version; nil if a version at least as new was
	// activated since.
	Refused *Rejection `json:"refused,omitempty"`
}

func (s *Store) init() {
	s.once.Do(func() {
		if s.Check == nil {
			s.Check = &check.Checker{}
		}
		if s.Log == nil {
			s.Log = slog.New(slog.DiscardHandler)
		}
		if s.Metrics == nil {
			s.Metrics = metrics.NewSet()
		}
		s.changes = s.Metrics.GetOrCreateCounter("config_changes_total")
		s.rejections = s.Metrics.GetOrCreateCounter("config_rejects_total")
		s.conflicts = s.Metrics.GetOrCreateCounter("config_conflicts_total")
		s.Metrics.GetOrCreateGauge("config_version", func() float64 { return float64(s.Version()) })
		s.Metrics.GetOrCreateGauge("config_age_seconds", func() float64 {
			return (s.Clock.Now() - s.Confirmed()).Duration().Seconds()
		})
	})
}

// Current returns the active version, or nil if there is none yet.
func (s *Store) Current() *Snapshot { return s.current.Load() }

// Version returns the number of the active version, or zero if there is none.
func (s *Store) Version() int64 {
	if current := s.Current(); current != nil {
		return current.Version
	}
	return 0
}

// Parse decodes a shard with the store's checker.
func (s *Store) Parse(shard check.Shard) (magno.Config, *setup.Error) {
	s.init()
	return s.Check.Parse(shard)
}

// Load validates a full version and activates it. shards are used to locate faults.
func (s *Store) Load(cfg *magno.Config, shards []check.Shard, source string) error {
	s.init()
	if cfg.Version <= s.Version() {
		return ErrOld
	}
	if faults := s.Check.Validate(cfg, shards, s.Rosters()); len(faults) > 0 {
		return s.reject(cfg.Version, source, joinFaults(faults))
	}
	return s.activate(NewSnapshot(cfg), source)
}

// Install activates next after validating its differences from the active version. shards
// are used to locate faults and may be nil.
func (s *Store) Install(next *Snapshot, shards []check.Shard, source string) error {
	s.init()
	current := s.Current()
	if current == nil {
		return s.activateFirst(next, shards, source)
	}
	if next.Version <= current.Version {
		s.ReportConflict(next.Version, next.Sum, source)
		return ErrOld
	}
	d := Diff(current, next)
	if faults := s.Check.ValidateChange(&d.Set, d.Removed, next, current, shards); len(faults) > 0 {
		return s.reject(next.Version, source, joinFaults(faults))
	}
	return s.activate(next, source)
}

// activateFirst validates a version bucket by bucket and activates it when none is active
// yet.
func (s *Store) activateFirst(next *Snapshot, shards []check.Shard, source string) error {
	for i := range Buckets + 1 {
		if faults := s.Check.ValidateBucket(next.Bucket(i), next, shards); len(faults) > 0 {
			return s.reject(next.Version, source, joinFaults(faults))
		}
	}
	return s.activate(next, source)
}

// Apply activates the target version of a delta if it starts from the active version and
// its records have the announced checksum.
func (s *Store) Apply(d *Delta, source string) error {
	s.init()
	current := s.Current()
	switch {
	case current != nil && d.To <= current.Version:
		return ErrOld
	case current == nil || d.From != current.Version || d.BaseSum != current.Sum:
		return ErrGap
	}
	next := current.WithChanges(d.To, &d.Set, d.Removed)
	if next.Sum != d.Sum {
		return ErrChecksum
	}
	return s.Install(next, nil, source)
}

// activate activates next unless a newer version is already active.
func (s *Store) activate(next *Snapshot, source string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	current := s.Current()
	if current != nil && next.Version <= current.Version {
		return ErrOld
	}
	if current != nil {
		s.history.add(Diff(current, next))
	}
	s.current.Store(next)
	s.activeSince = s.Clock.Now()
	if s.rejection != nil && s.rejection.Version <= next.Version {
		s.rejection = nil
	}
	s.changes.Inc()
	s.Log.Info("config activated", "version", next.Version, "source", source, "records", next.Records)
	for _, sub := range s.subscribers {
		publish(sub, next)
	}
	return nil
}

// publish replaces a version that a slow subscriber has not received yet, because only
// the newest one matters. The caller holds mu, so there is no other sender.
func publish(sub chan *Snapshot, next *Snapshot) {
	select {
	case <-sub:
	default:
	}
	sub <- next
}

// Subscribe returns a channel that always holds the newest version not yet received from
// it.
func (s *Store) Subscribe() <-chan *Snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	sub := make(chan *Snapshot, 1)
	if current := s.Current(); current != nil {
		sub <- current
	}
	s.subscribers = append(s.subscribers, sub)
	return sub
}

// reject records a rejected version and returns the reason as an error.
func (s *Store) reject(version int64, source, reason string) error {
	s.rejections.Inc()
	s.mu.Lock()
	known := s.rejection != nil && s.rejection.Version == version && s.rejection.Reason == reason
	s.rejection = &Rejection{Version: version, Source: source, Reason: reason, At: s.Clock.Now()}
	s.mu.Unlock()
	if !known {
		s.Log.Error("config rejected", "version", version, "source", source, "reason", reason, "kept", s.Version())
	}
	return errors.Wrapf(ErrInvalid, "version %d: %s", version, reason)
}

// Reject records a version that could not be parsed.
func (s *Store) Reject(version int64, source string, faults []*setup.Error) error {
	s.init()
	return s.reject(version, source, joinFaults(faults))
}

// ReportConflict reports a version that has the number of the active one but another
// checksum. This happens if a number is published twice. Processes would differ
// unnoticed, so each conflict is counted and the first one of a version is logged.
func (s *Store) ReportConflict(version int64, sum uint64, source string) {
	current := s.Current()
	if current == nil || version != current.Version || sum == current.Sum {
		return
	}
	s.init()
	s.conflicts.Inc()
	if s.lastConflict.Swap(version) != version {
		s.Log.Error("config conflict", "version", version, "source", source, "sum", sum, "kept", current.Sum)
	}
}

// Confirm records that version was the newest at the given time.
func (s *Store) Confirm(version int64, at magno.Millis) {
	if version != s.Version() {
		return
	}
	for {
		old := s.confirmedAt.Load()
		if int64(at) <= old || s.confirmedAt.CompareAndSwap(old, int64(at)) {
			return
		}
	}
}

// Confirmed returns when the active version was last known to be the newest.
func (s *Store) Confirmed() magno.Millis { return magno.Millis(s.confirmedAt.Load()) }

// DeltasSince returns the deltas from a version to the active one, or false if they are
// no longer kept.
func (s *Store) DeltasSince(version int64, sum uint64) ([]*Delta, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.history.since(version, sum)
}

// Status returns the state of the store.
func (s *Store) Status() Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := Status{Since: s.activeSince, Confirmed: s.Confirmed(), Refused: s.rejection}
	if current := s.Current(); current != nil {
		st.Version, st.Sum, st.Records = current.Version, current.Sum, current.Records
	}
	return st
}

// joinFaults returns the first fault and the number of further ones.
func joinFaults(faults []*setup.Error) string {
	if len(faults) == 1 {
		return faults[0].Error()
	}
	return fmt.Sprintf("%s (and %d more)", faults[0].Error(), len(faults)-1)
}
