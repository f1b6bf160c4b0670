package config

import "magnoliastall.example/magno"

// Retired reports whether the active version has retired a version of an adapter. An
// adapter that it doesn't have is not retired: a process that is behind must not end
// requests because of what it hasn't received.
func (s *Store) Retired(ref magno.Ref) bool {
	current := s.Current()
	if current == nil || ref == (magno.Ref{}) {
		return false
	}
	a, ok := current.Adapter(ref.Adapter)
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

// Drained reports whether operators have drained an instance.
func (s *Store) Drained(instance string) bool {
	current := s.Current()
	return current != nil && current.Drained(instance)
}

// Rosters returns the rosters of the active version.
func (s *Store) Rosters() []magno.Roster {
	if current := s.Current(); current != nil {
		return current.Rosters()
	}
	return nil
}
