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
}
