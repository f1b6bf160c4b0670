// Package crash tracks the fingerprints of requests that were running when an
// upstream crashed.
//
// Load pattern: some requests crash every upstream that runs them, and their callers
// send them again. Without this package one such request takes down a whole pool, one
// upstream after the other, along with all other requests running there.
//
// Every request that was running at a crash becomes a suspect. A suspect runs
// alone, so a second crash affects no other request and identifies the cause; the
// request is refused from then on. A suspect that completes is cleared. Records
// expire and their number is bounded. They are soft state that peers merge; losing
// them costs one more crash.
package crash

import (
	"sync"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"magnoliastall.example/magno"
)

const (
	// Retention is how long a record is kept after its last update. It exceeds
	// the time for which callers keep resending a request.
	Retention = 30 * magno.Minute
	// MaxRecords limits the number of records: 64 full batches of 64 requests, at
	// 24 bytes each.
	MaxRecords = 4096
	// refuseThreshold is the number of crashes from which a request is refused.
	refuseThreshold = 2
)

// Record is the crash record of one fingerprint.
type Record struct {
	Fingerprint uint64 `json:"print"`
	// Crashes is 0 for a cleared request, 1 for a suspect, and 2 or more for a
	// request that is refused.
	Crashes int `json:"crashes"`
	// UpdatedAt is the time of the last update; the later update wins a merge.
	UpdatedAt magno.Millis `json:"at"`
}

// Suspects is the set of crash records. It is safe for concurrent use; exported
// fields are set before use.
type Suspects struct {
	Clock *magno.Clock
	// OnChange, if set, is called with each record that this process changes
	// itself, but not with merged ones.
	OnChange func(Record)

	mu      sync.Mutex
	records *simplelru.LRU[uint64, Record]
}

func (s *Suspects) get(fingerprint uint64) (Record, bool) {
	if s.records == nil {
		s.records, _ = simplelru.NewLRU[uint64, Record](MaxRecords, nil)
	}
	rec, ok := s.records.Get(fingerprint)
	if ok && s.Clock.Now()-rec.UpdatedAt > Retention {
		s.records.Remove(fingerprint)
		return Record{}, false
	}
	return rec, ok
}

// RecordCrash records the fingerprints that were running when an upstream crashed.
// Zero fingerprints are ignored. The count increases beyond 1 only for a request
// that ran alone; one that ran beside others may not be the cause.
func (s *Suspects) RecordCrash(fingerprints []uint64) {
	for _, fingerprint := range fingerprints {
		if fingerprint == 0 {
			continue
		}
		s.update(fingerprint, func(crashes int) int {
			if len(fingerprints) == 1 {
				crashes++
			}
			return max(crashes, 1)
		})
	}
}

// update replaces the crash count of a record and calls OnChange.
func (s *Suspects) update(fingerprint uint64, next func(crashes int) int) {
	s.mu.Lock()
	rec, _ := s.get(fingerprint)
	rec = Record{Fingerprint: fingerprint, Crashes: next(rec.Crashes), UpdatedAt: s.Clock.Now()}
	s.records.Add(fingerprint, rec)
	s.mu.Unlock()
	if s.OnChange != nil {
		s.OnChange(rec)
	}
}

// Clear clears a suspect that ran to completion.
func (s *Suspects) Clear(fingerprint uint64) {
	if s.count(fingerprint) > 0 {
		s.update(fingerprint, func(int) int { return 0 })
	}
}

// RecordFailure counts one failure of an upstream while it ran the request. Unlike
// RecordCrash it does not need to know what else was running.
func (s *Suspects) RecordFailure(fingerprint uint64) {
	if fingerprint != 0 {
		s.update(fingerprint, func(crashes int) int { return crashes + 1 })
	}
}

// MustRunAlone reports whether the request is a suspect, which must run alone.
func (s *Suspects) MustRunAlone(fingerprint uint64) bool { return s.count(fingerprint) > 0 }

// MustRefuse reports whether the request crashed upstreams and must not run.
func (s *Suspects) MustRefuse(fingerprint uint64) bool {
	return s.count(fingerprint) >= refuseThreshold
}

func (s *Suspects) count(fingerprint uint64) int {
	if s == nil || fingerprint == 0 {
		return 0
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	rec, _ := s.get(fingerprint)
	return rec.Crashes
}

// Merge merges records from a peer. If the times are equal the higher count wins,
// so the result doesn't depend on the order of merges.
func (s *Suspects) Merge(records []Record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Clock.Now()
	for _, rec := range records {
		if rec.Fingerprint == 0 || now-rec.UpdatedAt > Retention {
			continue
		}
		// A peer's clock may be ahead; a time in the future would win every merge.
		rec.UpdatedAt = min(rec.UpdatedAt, now)
		old, ok := s.get(rec.Fingerprint)
		if !ok || rec.UpdatedAt > old.UpdatedAt || (rec.UpdatedAt == old.UpdatedAt && rec.Crashes > old.Crashes) {
			s.records.Add(rec.Fingerprint, rec)
		}
	}
}

// List returns the records that have not expired, the most recently used last.
func (s *Suspects) List() []Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.records == nil {
		return nil
	}
	now := s.Clock.Now()
	list := make([]Record, 0, s.records.Len())
	for _, rec := range s.records.Values() {
		if now-rec.UpdatedAt <= Retention {
			list = append(list, rec)
		}
	}
	return list
}
