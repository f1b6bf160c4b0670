package view

import "magnoliastall.example/magno"

// Update are the changes of the list after Since and up to Revision, as one
// process tells them to another.
type Update struct {
	Changes  []magno.Change `json:"changes"`
	Since    int64          `json:"since"`
	Revision int64          `json:"rev"`
	// Age is how long ago Revision was the list's newest.
	Age magno.Millis `json:"age"`
	// Full is true when Changes is all that the list had at Revision. What it
	// lacks is gone, though no change tells so; Since then says nothing.
	Full bool `json:"all,omitempty"`
	// UnknownDeletions is where whoever tells this may not know of deletions; whoever
	// hears it doesn't either.
	UnknownDeletions RevisionRange `json:"blind,omitzero"`
}

// RevisionRange is the revisions after one and before another; Before is zero where there
// are none.
type RevisionRange struct {
	After  int64 `json:"after,omitempty"`
	Before int64 `json:"before,omitempty"`
}

func (s RevisionRange) holds(revision int64) bool { return s.After < revision && revision < s.Before }

// add widens a span, or begins it.
func (s *RevisionRange) add(after, before int64) {
	if s.Before == 0 || after < s.After {
		s.After = after
	}
	s.Before = max(s.Before, before)
}
