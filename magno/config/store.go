// Package config holds the version of the configuration that is in force.
//
//	reader --- whole version --+                    +--> subscribers
//	                           +--> check --> in force --> look-ups, lock-free
//	peers --- deltas, groups --+        |           +--> deltas for peers
//	                                    +--> refused: log, metric, status
//
// The load is look-ups by every request (42,000 a second over the fleet) while
// 54,000 changes a day replace the version under them. A version is immutable
// and shares all but the changed groups of records with the one before, so a
// look-up takes no lock and a change copies kilobytes. Without that, each
// change would copy and index 260,000 records in every daemon.
//
// A version only grows, whoever offers it; a bad one leaves the last good one
// in force.
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

// Store holds the version in force. It is safe for concurrent use.
type Store struct {
	// Check may be nil for the rules without those on rosters.
	Check *check.Checker
	// Clock may be nil, for the machine's.
	Clock *magno.Clock
	// Log may be nil.
	Log *slog.Logger
	// Metrics takes the store's metrics; nil keeps them out of sight.
	Metrics *metrics.Set

	once  sync.Once
	force atomic.Pointer[Snapshot]
	// confirmed is when the version in force was last known to be the newest,
	// in milliseconds; zero means never.
	confirmed atomic.Int64
	// conflict is the last version that was logged as having two contents.
	conflict atomic.Int64

	mu sync.Mutex
	// since is when the version came into force.
	since   magno.Millis
	refused *Rejection
	history history
	subs    []chan *Snapshot

	changes, rejects, conflicts *metrics.Counter
}

// Refused tells of a version that was not put in force.
type Rejection struct {
	Version int64 `json:"version"`
	// Source is who offered it.
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
	// Confirmed is when the version was last known to be the newest.
	Confirmed magno.Millis `json:"confirmed"`
	// Refused is the last version that was not put in force; nil when a newer
	// one was since.
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
		s.rejects = s.Metrics.GetOrCreateCounter("config_rejects_total")
		s.conflicts = s.Metrics.GetOrCreateCounter("config_conflicts_total")
		s.Metrics.GetOrCreateGauge("config_version", func() float64 { return float64(s.Version()) })
		s.Metrics.GetOrCreateGauge("config_age_seconds", func() float64 {
			return (s.Clock.Now() - s.Confirmed()).Span().Seconds()
		})
	})
}

// Now returns the version in force, nil when there is none yet.
func (s *Store) Current() *Snapshot { return s.force.Load() }

// Version returns the number of the version in force, zero for none.
func (s *Store) Version() int64 {
	if now := s.Current(); now != nil {
		return now.Version
	}
	return 0
}

// Parse reads a shard by the store's rules.
func (s *Store) Parse(shard check.Shard) (magno.Config, *setup.Fault) {
	s.init()
	return s.Check.Parse(shard)
}

// Load checks a whole version and puts it in force. shards place the faults.
func (s *Store) Load(cfg *magno.Config, shards []check.Shard, source string) error {
	s.init()
	if cfg.Version <= s.Version() {
		return ErrOld
	}
	if faults := s.Check.Validate(cfg, shards, s.Rosters()); len(faults) > 0 {
		return s.refuse(cfg.Version, source, join(faults))
	}
	return s.enforce(NewSnapshot(cfg), source)
}

// Install puts next in force after checking what differs from the present
// version. shards, which may be nil, place the faults.
func (s *Store) Install(next *Snapshot, shards []check.Shard, source string) error {
	s.init()
	now := s.Current()
	if now == nil {
		return s.first(next, shards, source)
	}
	if next.Version <= now.Version {
		s.ReportConflict(next.Version, next.Sum, source)
		return ErrOld
	}
	d := Diff(now, next)
	if faults := s.Check.ValidateChange(&d.Set, d.Removed, next, now, shards); len(faults) > 0 {
		return s.refuse(next.Version, source, join(faults))
	}
	return s.enforce(next, source)
}

// first puts a version in force that came in groups, with none before it.
func (s *Store) first(next *Snapshot, shards []check.Shard, source string) error {
	for i := range Buckets + 1 {
		if faults := s.Check.ValidateBucket(next.Bucket(i), next, shards); len(faults) > 0 {
			return s.refuse(next.Version, source, join(faults))
		}
	}
	return s.enforce(next, source)
}

// Apply puts the end of a delta in force when it starts from the present
// version and its records give the announced sum.
func (s *Store) Apply(d *Delta, source string) error {
	s.init()
	now := s.Current()
	switch {
	case now != nil && d.To <= now.Version:
		return ErrOld
	case now == nil || d.From != now.Version || d.BaseSum != now.Sum:
		return ErrGap
	}
	next := now.WithChanges(d.To, &d.Set, d.Removed)
	if next.Sum != d.Sum {
		return ErrChecksum
	}
	return s.Install(next, nil, source)
}

// enforce makes next the version in force unless a newer one came first.
func (s *Store) enforce(next *Snapshot, source string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Current()
	if now != nil && next.Version <= now.Version {
		return ErrOld
	}
	if now != nil {
		s.history.add(Diff(now, next))
	}
	s.force.Store(next)
	s.since = s.Clock.Now()
	if s.refused != nil && s.refused.Version <= next.Version {
		s.refused = nil
	}
	s.changes.Inc()
	s.Log.Info("config in force", "version", next.Version, "source", source, "records", next.Records)
	for _, sub := range s.subs {
		publish(sub, next)
	}
	return nil
}

// publish replaces what a slow subscriber has not taken yet: only the newest
// version counts. The caller holds mu, so nobody else sends.
func publish(sub chan *Snapshot, next *Snapshot) {
	select {
	case <-sub:
	default:
	}
	sub <- next
}

// Subscribe returns a channel that holds the newest version not yet taken.
func (s *Store) Subscribe() <-chan *Snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	sub := make(chan *Snapshot, 1)
	if now := s.Current(); now != nil {
		sub <- now
	}
	s.subs = append(s.subs, sub)
	return sub
}

// refuse notes a version that is not put in force and returns why.
func (s *Store) refuse(version int64, source, reason string) error {
	s.rejects.Inc()
	s.mu.Lock()
	known := s.refused != nil && s.refused.Version == version && s.refused.Reason == reason
	s.refused = &Rejection{Version: version, Source: source, Reason: reason, At: s.Clock.Now()}
	s.mu.Unlock()
	if !known {
		s.Log.Error("config refused", "version", version, "source", source, "reason", reason, "kept", s.Version())
	}
	return errors.Wrapf(ErrInvalid, "version %d: %s", version, reason)
}

// Reject notes a version that could not even be read.
func (s *Store) Reject(version int64, source string, faults []*setup.Fault) error {
	s.init()
	return s.refuse(version, source, join(faults))
}

// Compare tells of two contents under one version number. It comes from
// publishing a number twice; processes would then differ without a sign, so
// it shows in log and metric until a newer version ends it.
func (s *Store) ReportConflict(version int64, sum uint64, source string) {
	now := s.Current()
	if now == nil || version != now.Version || sum == now.Sum {
		return
	}
	s.init()
	s.conflicts.Inc()
	if s.conflict.Swap(version) != version {
		s.Log.Error("config conflict", "version", version, "source", source, "sum", sum, "kept", now.Sum)
	}
}

// Confirm notes that version was the newest at the time at.
func (s *Store) Confirm(version int64, at magno.Millis) {
	if version != s.Version() {
		return
	}
	for {
		old := s.confirmed.Load()
		if int64(at) <= old || s.confirmed.CompareAndSwap(old, int64(at)) {
			return
		}
	}
}

// Confirmed returns when the version in force was last known to be the newest.
func (s *Store) Confirmed() magno.Millis { return magno.Millis(s.confirmed.Load()) }

// Since returns the deltas that lead from a version to the one in force; false
// when they aren't kept.
func (s *Store) DeltasSince(version int64, sum uint64) ([]*Delta, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.history.since(version, sum)
}

// Status describes the present state.
func (s *Store) Status() Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := Status{Since: s.since, Confirmed: s.Confirmed(), Refused: s.refused}
	if now := s.Current(); now != nil {
		st.Version, st.Sum, st.Records = now.Version, now.Sum, now.Records
	}
	return st
}

// join makes one line of faults, the first in full.
func join(faults []*setup.Fault) string {
	if len(faults) == 1 {
		return faults[0].Error()
	}
	return fmt.Sprintf("%s (and %d more)", faults[0].Error(), len(faults)-1)
}
