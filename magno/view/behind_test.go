package view

import (
	"testing"

	"magnoliastall.example/magno"
)

// Guards against a process that counts as behind for good: because of a revision of a state that isn't verified,
// or of one of before its own state was replaced.
func TestNoProcessStaysBehindARevisionThatTheListDoesNotHave(t *testing.T) {
	gap := Update{Since: 8, Revision: 9}
	verified := &Store{Clock: magno.NewClock(magno.Hour)}
	verified.ApplyConsistent(nil, 3)
	if err := verified.ApplyUpdate(gap); err == nil || verified.Behind() {
		t.Errorf("%v, behind an unverified revision: %t", err, verified.Behind())
	}
	if verified.Compare(Digest{Revision: 9}, 0); verified.Behind() {
		t.Error("behind an unverified digest")
	}
	gap.Verified = true
	if err := verified.ApplyUpdate(gap); err == nil || !verified.Behind() {
		t.Errorf("%v, behind a verified revision: %t", err, verified.Behind())
	}
	stale := &Store{Clock: magno.NewClock(magno.Hour)}
	stale.ApplyRead([]magno.Change{{Key: "a", Revision: 6, Pin: &magno.Pin{Model: "m", Adapter: "a", Number: 1}}}, 6, true)
	if err := stale.ApplyUpdate(Update{Since: 8, Revision: 9}); err == nil || !stale.Behind() {
		t.Errorf("%v, behind before: %t", err, stale.Behind())
	}
	stale.ApplyConsistent(nil, 3)
	if stale.Behind() {
		t.Error("behind after its state was replaced")
	}
}
