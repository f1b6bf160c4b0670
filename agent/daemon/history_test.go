package daemon

import (
	"testing"

	"magnoliastall.example/magno"
)

// An operator retires a version. Entries that learn of it a moment after the agent must not lose
// requests because of that, but an entry that is cut off must not run the retired version for
// long, as it may have been retired because its answers are wrong.
func TestHistoryGivesEntriesTheTimeToFollow(t *testing.T) {
	h := &history{}
	h.add(1, 1000)
	h.add(2, 5000)
	h.add(5, 6000)
	tests := []struct {
		version int64
		now     magno.Millis
		late    bool
	}{
		{5, 99000, false},
		{4, 6000 + 4000, false},
		{4, 6000 + 4001, true},
		{1, 5000 + 4000, false},
		{1, 5000 + 4001, true},
	}
	for _, tt := range tests {
		if got := h.outdated(tt.version, 0); got {
			t.Errorf("version %d is outdated at once", tt.version)
		}
		if got := h.outdated(tt.version, tt.now); got != tt.late {
			t.Errorf("version %d at %d: outdated %t", tt.version, tt.now, got)
		}
	}
}
