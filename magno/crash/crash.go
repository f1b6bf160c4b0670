// Package crash keeps the fingerprints of requests that were in progress when
// an upstream crashed.
//
// Load pattern: now and then one request crashes each upstream that runs it,
// and its caller sends it again. Without this package it takes the whole pool
// down, one upstream after the other, and with each everything that ran there.
//
// All that ran at a crash are suspects. A suspect runs alone, so a second
// crash hits nobody else and proves which it was; it is refused from then on.
// A suspect that ends well is cleared. Records expire and their number is
// bounded: they are soft state that peers merge, and losing them costs one
// more crash.
package crash

import (
	"sync"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"magnoliastall.example/magno"
)

const (
	// Retention is how long a record holds after the last news of it: longer than
	// callers go on sending the same request again.
	Retention = 30 * magno.Minute
	// MaxRecords bounds the records: 64 full batches of 64 at 24 bytes each.
	MaxRecords = 4096
	// refuseAt is the number of crashes from which on a request is refused.
	refuseAt = 2
)

// Record is what is known of one fingerprint.
type Record struct {
	Fingerprint uint64 `json:"print"`
	// Crashes is 0 for a cleared one, 1 for a suspect, 2 and more for one
	// that is refused.
	Crashes int `json:"crashes"`
	// UpdatedAt is the time of the last news; the later news wins a merge.
	UpdatedAt magno.Millis `json:"at"`
}

// Suspects is safe for concurrent use. Its exported fields are set before use.
type Suspects struct {
	Clock *magno.Clock
	// OnChange is told of each record that this process itself made. It may be
	// nil.
	OnChange func(Record)

	mu      sync.Mutex
	records *simplelru.LRU[uint64, Record]
}

func (s *Suspects) get(print uint64) (Record, bool) {
	if s.records == nil {
		s.records, _ = simplelru.NewLRU[uint64, Record](MaxRecords, nil)
	}
	rec, ok := s.records.Get(print)
	if ok && s.Clock.Now()-rec.UpdatedAt > Retention {
		s.records.Remove(print)
		return Record{}, false
	}
	return rec, ok
}

// RecordCrash takes the fingerprints that ran when the upstream crashed; a zero
// one is ignored. Only a crash of a request that ran alone counts up, for
// beside others it may be innocent.
func (s *Suspects) RecordCrash(prints []uint64) {
	for _, print := range prints {
		if print == 0 {
			continue
		}
		s.change(print, func(crashes int) int {
			if len(prints) == 1 {
				crashes++
			}
			return max(crashes, 1)
		})
	}
}

// change sets a record's count from the one before, and tells of it.
func (s *Suspects) change(print uint64, count func(crashes int) int) {
	s.mu.Lock()
	rec, _ := s.get(print)
	rec = Record{Fingerprint: print, Crashes: count(rec.Crashes), UpdatedAt: s.Clock.Now()}
	s.records.Add(print, rec)
	s.mu.Unlock()
	if s.OnChange != nil {
		s.OnChange(rec)
	}
}

// Clear clears a suspect that ran to its end.
func (s *Suspects) Clear(print uint64) {
	if s.crashes(print) > 0 {
		s.change(print, func(int) int { return 0 })
	}
}

// RecordFailure counts one failure of an upstream under a request; the caller knows
// no more than that.
func (s *Suspects) RecordFailure(print uint64) {
	if print != 0 {
		s.change(print, func(crashes int) int { return crashes + 1 })
	}
}

// MustRunAlone tells that the request must run alone, Refused that it must not run.
func (s *Suspects) MustRunAlone(print uint64) bool { return s.crashes(print) > 0 }

// MustRefuse tells that the request crashed upstreams and must not run.
func (s *Suspects) MustRefuse(print uint64) bool { return s.crashes(print) >= refuseAt }

func (s *Suspects) crashes(print uint64) int {
	if s == nil || print == 0 {
		return 0
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	rec, _ := s.get(print)
	return rec.Crashes
}

// Merge takes records of a peer. Equal times go to the higher count, so any
// order of merges ends the same.
func (s *Suspects) Merge(records []Record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Clock.Now()
	for _, rec := range records {
		if rec.Fingerprint == 0 || now-rec.UpdatedAt > Retention {
			continue
		}
		// A peer's clock may be ahead; a time to come would win all merges.
		rec.UpdatedAt = min(rec.UpdatedAt, now)
		old, ok := s.get(rec.Fingerprint)
		if !ok || rec.UpdatedAt > old.UpdatedAt || (rec.UpdatedAt == old.UpdatedAt && rec.Crashes > old.Crashes) {
			s.records.Add(rec.Fingerprint, rec)
		}
	}
}

// List returns the records, the latest last.
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
