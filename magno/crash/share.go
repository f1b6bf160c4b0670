package crash

import (
	"slices"

	"magnoliastall.example/magno"
)

// seriousEnds is the number of ends from which a record is compared between processes. A crash
// leaves one end in the record of each request that ran there; those are sent once.
const seriousEnds = 2

// Merge joins records from a peer with those of this process.
func (s *Suspects) Merge(records []Record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Clock.Now()
	for _, rec := range records {
		if rec.Fingerprint == 0 {
			continue
		}
		for _, e := range rec.Ends {
			if e.Age > Retention {
				continue
			}
			s.join(rec.Fingerprint, end{upstream: e.Upstream, pool: e.Pool, cleared: e.Cleared, at: now - max(e.Age, 0)}, now)
		}
	}
}

// List returns the records that have not expired, the most recently changed or read last.
func (s *Suspects) List() []Record {
	return s.list(func(*record) bool { return true }, MaxRecords)
}

// UpdatedSince returns limit of the records that changed after the given time: those with several ends,
// and then the last ones.
func (s *Suspects) UpdatedSince(since magno.Millis, limit int) []Record {
	serious := s.list(func(rec *record) bool { return rec.changedAt > since && rec.count() >= seriousEnds }, limit)
	others := s.list(func(rec *record) bool { return rec.changedAt > since && rec.count() < seriousEnds }, limit-len(serious))
	return append(others, serious...)
}

// Serious returns the last limit records of requests under which several upstreams ended.
func (s *Suspects) Serious(limit int) []Record {
	return s.list(func(rec *record) bool { return rec.count() >= seriousEnds }, limit)
}

func (s *Suspects) list(include func(*record) bool, limit int) []Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.records == nil {
		return nil
	}
	now := s.Clock.Now()
	var list []Record
	for _, print := range slices.Backward(s.records.Keys()) {
		rec, _ := s.records.Peek(print)
		if len(list) == limit {
			break
		}
		if now-rec.changedAt > Retention || !include(rec) {
			continue
		}
		list = append(list, Record{Fingerprint: print, Ends: rec.export(now)})
	}
	slices.Reverse(list)
	return list
}

// Changes counts the changes of records, those by Merge too.
func (s *Suspects) Changes() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changes
}

// digestTTL is how long a digest is used while no record changes: records expire.
const digestTTL = magno.Second

// Digest returns a checksum of the records that Serious returns, zero if there are none. Processes
// with different ones lack records of each other.
func (s *Suspects) Digest() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Clock.Now()
	if s.records == nil || (s.digested.changes == s.changes && now-s.digested.at < digestTTL) {
		return s.digested.sum
	}
	s.digested = digested{changes: s.changes, at: now}
	for _, print := range s.records.Keys() {
		rec, _ := s.records.Peek(print)
		if n := rec.count(); n >= seriousEnds && now-rec.changedAt <= Retention {
			s.digested.sum ^= print * uint64(2*min(n, refuseEnds)+1) //nolint:gosec // n is positive
		}
	}
	return s.digested.sum
}

// digested is a digest and what it was made from.
type digested struct {
	sum     uint64
	changes int64
	at      magno.Millis
}
