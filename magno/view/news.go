package view

import "magnoliastall.example/magno"

// Update holds the changes of the list after Since and up to Revision, as sent between
// processes.
type Update struct {
	Changes  []magno.Change `json:"changes"`
	Since    magno.Revision `json:"since"`
	Revision magno.Revision `json:"rev"`
	// Age is the time since Revision was known to be the newest revision of the list.
	Age magno.Millis `json:"age"`
	// Full means that Changes holds the whole list at Revision: an item that it doesn't
	// hold was deleted, and Since has no meaning.
	Full bool `json:"all,omitempty"`
	// UnknownDeletions is the range of revisions in which the sender may have missed
	// deletions. The receiver may then have missed them too.
	UnknownDeletions RevisionRange `json:"blind,omitzero"`
	// Base is the revision of the first listing after the list was restored, and Settle the
	// time until it counts as rewritten. Kept is what is known of items in Changes that may be
	// older.
	Base   magno.Revision `json:"base,omitempty"`
	Settle magno.Millis   `json:"settle,omitempty"`
	Kept   []magno.Change `json:"kept,omitempty"`
	// OnlyKept means that the update has nothing but Kept, for a process at Revision.
	OnlyKept bool `json:"only,omitempty"`
	// Sum and Verified are those of the sender's Digest. They are zero in an update that was
	// read from the list.
	Sum      uint64 `json:"sum,omitempty"`
	Verified bool   `json:"verified,omitempty"`
}

// RevisionRange holds the revisions between After and Before, both exclusive. Before is
// zero if the range is empty.
type RevisionRange struct {
	After  magno.Revision `json:"after,omitempty"`
	Before magno.Revision `json:"before,omitempty"`
}

func (r RevisionRange) contains(revision magno.Revision) bool {
	return r.After < revision && revision < r.Before
}

// extend widens the range to include the given one.
func (r *RevisionRange) extend(after, before magno.Revision) {
	if r.Before == 0 || after < r.After {
		r.After = after
	}
	r.Before = max(r.Before, before)
}
