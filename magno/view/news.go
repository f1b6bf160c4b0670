package view

import "magnoliastall.example/magno"

// News are the changes of the list after Since and up to Revision, as one
// process tells them to another.
type News struct {
	Changes  []magno.Change `json:"changes"`
	Since    int64          `json:"since"`
	Revision int64          `json:"rev"`
	// Age is how long ago Revision was the list's newest.
	Age magno.Millis `json:"age"`
	// All is true when Changes is all that the list had at Revision. What it
	// lacks is gone, though no change tells so; Since then says nothing.
	All bool `json:"all,omitempty"`
	// Blind is where whoever tells this may not know of deletions; whoever
	// hears it doesn't either.
	Blind Span `json:"blind,omitzero"`
}

// Span is the revisions after one and before another; Before is zero where there
// are none.
type Span struct {
	After  int64 `json:"after,omitempty"`
	Before int64 `json:"before,omitempty"`
}

func (s Span) holds(revision int64) bool { return s.After < revision && revision < s.Before }

// add widens a span, or begins it.
func (s *Span) add(after, before int64) {
	if s.Before == 0 || after < s.After {
		s.After = after
	}
	s.Before = max(s.Before, before)
}
