package crash

import "magnoliastall.example/magno"

// CrashCount returns the number of crashes recorded for a request: 0 for none, 1
// for a suspect, 2 or more for a request that is refused.
func (s *Suspects) CrashCount(fingerprint uint64) int { return s.count(fingerprint) }

// UpdatedSince returns the records updated after the given time, the most recently
// used last. If there are more than limit it returns the last ones.
func (s *Suspects) UpdatedSince(since magno.Millis, limit int) []Record {
	all := s.List()
	recent := all[:0]
	for _, rec := range all {
		if rec.UpdatedAt > since {
			recent = append(recent, rec)
		}
	}
	return recent[max(len(recent)-limit, 0):]
}
