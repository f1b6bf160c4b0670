package crash

import "magnoliastall.example/magno"

// CrashCount returns how many crashes the request is known for: 0 for none, 1 for
// a suspect, 2 and more for one that is refused.
func (s *Suspects) CrashCount(print uint64) int { return s.crashes(print) }

// UpdatedSince returns the records with news after a time, the latest last and at most
// so many of them.
func (s *Suspects) UpdatedSince(after magno.Millis, most int) []Record {
	all := s.List()
	recent := all[:0]
	for _, rec := range all {
		if rec.UpdatedAt > after {
			recent = append(recent, rec)
		}
	}
	return recent[max(len(recent)-most, 0):]
}
