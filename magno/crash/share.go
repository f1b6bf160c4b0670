package crash

import (
	"slices"

	"magnoliastall.example/magno"
)

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

// UpdatedSince returns the last limit records that changed after the given time.
func (s *Suspects) UpdatedSince(since magno.Millis, limit int) []Record {
	return s.list(func(rec *record) bool { return rec.changedAt > since }, limit)
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
