package site

import (
	"testing"

	"magnoliastall.example/magno"
)

// Guards against forgetting that an upstream wants rest, or its limit, while a list that was restored
// doesn't name it yet.
func TestStatementsOutliveAnEntryThatARestoreLost(t *testing.T) {
	const key = "u@1"
	first := &magno.Replica{Since: 7}
	era, err := magno.NewRevision(1, 3)
	if err != nil {
		t.Fatal(err)
	}
	restored := &magno.Replica{Since: era}
	for _, c := range []struct {
		name  string
		lost  magno.Millis
		again *magno.Replica
		holds bool
	}{
		{"named again after a restore", 500, restored, true},
		{"named again long after", lostTTL, restored, false},
		{"listed anew, no restore", 500, &magno.Replica{Since: 9}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			clock := magno.NewClock(magno.Hour)
			l := lives{clock: clock}
			none, named := map[string]*magno.Replica{}, map[string]*magno.Replica{key: first}
			l.update(named)
			if !l.update(named)(key) {
				t.Error("doesn't hold while nothing changes")
			}
			if !l.update(none)(key) {
				t.Error("doesn't hold when the list lacks the upstream")
			}
			clock.Advance(c.lost)
			if got := l.update(none)(key); got != (c.lost < lostTTL) {
				t.Errorf("holds %t after %d ms without an entry", got, c.lost)
			}
			if got := l.update(map[string]*magno.Replica{key: c.again})(key); got != c.holds {
				t.Errorf("holds %t once it is named again", got)
			}
			if l.update(none)("another") {
				t.Error("holds for an upstream that was never listed")
			}
		})
	}
}
