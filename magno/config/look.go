package config

import "magnoliastall.example/magno"

// Retired tells whether the version in force has retired a version of an
// adapter. What it doesn't know of is not retired: a process that is behind
// must not end requests by what it lacks.
func (s *Store) Retired(ref magno.Ref) bool {
	now := s.Current()
	if now == nil || ref == (magno.Ref{}) {
		return false
	}
	a, ok := now.Adapter(ref.Adapter)
	if !ok {
		return false
	}
	for _, v := range a.Retired {
		if v == ref.Version {
			return true
		}
	}
	return false
}

// Drained tells whether operators have drained an instance.
func (s *Store) Drained(instance string) bool {
	now := s.Current()
	return now != nil && now.Drained(instance)
}

// Rosters returns those of the version in force.
func (s *Store) Rosters() []magno.Roster {
	if now := s.Current(); now != nil {
		return now.Rosters()
	}
	return nil
}
