package view

import (
	"testing"

	"magnoliastall.example/magno"
)

// rev returns a revision of the era that the list is in after n restores.
func rev(era, number int64) magno.Revision {
	r, err := magno.NewRevision(era, number)
	if err != nil {
		panic(err)
	}
	return r
}

// upstream returns the change of an upstream's entry that was created at revision 1.
func upstream(at magno.Revision, leaving bool) magno.Change {
	c := replicaChange("a", at, "10.0.0.1:80")
	c.Replica.Since, c.Replica.Leaving = rev(at.Era(), 1), leaving
	return c
}

// born returns the change with a start time.
func born(c magno.Change, at magno.Millis) magno.Change {
	c.Replica.StartedAt = at
	return c
}

// usable reports whether upstream a is sent new requests.
func usable(s *Store) bool {
	r := s.Current().Replicas["a"]
	return r != nil && !r.Leaving
}

// Guards against sending requests to an upstream that has left or said that it leaves, because
// the list came back from a copy that is older than that, and against ignoring what was written
// after the restore.
func TestOlderCopyAndWhatIsWrittenAnew(t *testing.T) {
	leaving, gone := upstream(9, true), deletionChange("a", 9)
	for _, c := range []struct {
		name string
		// known is the last change before the restore, copy the item in the restored list.
		known, copy magno.Change
		// news is a change after it; it has no key if there is none.
		news magno.Change
		// usable is expected at once, later when the list counts as rewritten.
		usable, later bool
	}{
		{"leaving, then the copy", leaving, upstream(rev(1, 5), false), magno.Change{}, false, true},
		{"leaving, then the same copy", leaving, upstream(rev(1, 9), true), magno.Change{}, false, false},
		{"leaving, written again", leaving, upstream(rev(1, 5), false), upstream(rev(1, 8), true), false, false},
		{"leaving, then gone", leaving, upstream(rev(1, 5), false), deletionChange("a", rev(1, 8)), false, false},
		{"leaving, back at a later revision", leaving, upstream(rev(1, 7), false), upstream(rev(1, 8), false), true, true},
		{"leaving, back before the first read", leaving, upstream(rev(1, 10), false), magno.Change{}, false, true},
		{"leaving, a later life", born(upstream(9, true), 1000), born(upstream(rev(1, 6), false), 2000), magno.Change{}, true, true},
		{"leaving, an earlier life", born(upstream(9, true), 2000), born(upstream(rev(1, 6), false), 1000), magno.Change{}, false, true},
		{"gone, then the copy", gone, upstream(rev(1, 5), false), magno.Change{}, false, true},
		{"gone, and gone again", gone, upstream(rev(1, 5), false), deletionChange("a", rev(1, 8)), false, false},
		{"gone, registered again", gone, upstream(rev(1, 5), false), upstream(rev(1, 8), false), true, true},
		{"leaving said before the first read", upstream(9, false), upstream(rev(1, 6), true), magno.Change{}, false, false},
		{"leaving said at a later revision", upstream(9, false), upstream(rev(1, 10), true), magno.Change{}, false, false},
		{"ready, then an earlier life", born(upstream(9, false), 2000), born(upstream(rev(1, 6), false), 1000), magno.Change{}, true, true},
		{"ready, then another copy", upstream(9, false), upstream(rev(1, 5), false), magno.Change{}, true, true},
	} {
		s, clock := newStore()
		s.ApplyRead([]magno.Change{upstream(1, false)}, 1, true)
		s.ApplyRead([]magno.Change{c.known}, 9, false)
		clock.Advance(500)
		base := max(c.copy.Revision, rev(1, 7))
		s.ApplyRead([]magno.Change{c.copy}, base, true)
		if c.news.Key != "" {
			s.ApplyRead([]magno.Change{c.news}, max(c.news.Revision, base), false)
		}
		if got := usable(s); got != c.usable {
			t.Errorf("%s: usable %t, want %t", c.name, got, c.usable)
		}
		clock.Advance(s.settleTime())
		s.Tick()
		if got := usable(s); got != c.later {
			t.Errorf("%s: later usable %t, want %t", c.name, got, c.later)
		}
	}
}

// Guards against removing, or never removing, an upstream whose entry the older copy lacks.
func TestEntryThatTheCopyLacksIsKeptForTheGracePeriod(t *testing.T) {
	s, clock := newStore()
	s.ApplyRead([]magno.Change{replicaChange("a", 1, "10.0.0.1:80"), replicaChange("b", 2, "10.0.0.2:80")}, 2, true)
	clock.Advance(500)
	s.ApplyRead(nil, rev(1, 0), true)
	if n := len(s.Current().Replicas); n != 2 {
		t.Fatalf("%d upstreams are used right after the restore, want 2", n)
	}
	s.ApplyRead([]magno.Change{replicaChange("a", rev(1, 1), "10.0.0.1:80")}, rev(1, 1), false)
	clock.Advance(expiryGrace)
	s.Tick()
	if got := s.Current().Replicas; got["a"] == nil || got["b"] != nil {
		t.Errorf("got %v, want a alone", got)
	}
}

// Guards against an older configuration, or an older version of an adapter, coming back with the
// list: it would admit keys that were withdrawn, or none of it would be known at all.
func TestOlderCopyBringsBackNoVersion(t *testing.T) {
	pin := func(at magno.Revision, number int64) magno.Change {
		return magno.Change{Key: "pin", Revision: at, Pin: &magno.Pin{Model: "m", Adapter: "a", Number: number}}
	}
	for name, list := range map[string][]magno.Change{
		"older": {planChange(2, rev(1, 3)), pin(rev(1, 4), 6)},
		"none":  nil,
	} {
		s, clock := newStore()
		s.ApplyRead([]magno.Change{planChange(3, 8), pin(9, 7)}, 9, true)
		s.ApplyRead(list, rev(1, 5), true)
		clock.Advance(s.settleTime())
		s.Tick()
		other, _ := newStore()
		if err := other.ApplyUpdate(s.Since(0)); err != nil {
			t.Fatal(err)
		}
		for _, store := range []*Store{s, other} {
			if snap := store.Current(); snap.Plan == nil || snap.Plan.Version != 3 || snap.Pins["m/a"] != 7 {
				t.Errorf("%s: configuration %+v and versions %v, want 3 and 7", name, snap.Plan, snap.Pins)
			}
		}
		s.ApplyRead([]magno.Change{planChange(4, rev(1, 6)), pin(rev(1, 7), 8)}, rev(1, 7), false)
		if snap := s.Current(); snap.Plan.Version != 4 || snap.Pins["m/a"] != 8 {
			t.Errorf("%s: configuration %d and versions %v, want 4 and 8", name, snap.Plan.Version, snap.Pins)
		}
	}
}

// Guards against never again using an upstream whose address had a later entry that the restore
// lost.
func TestLostSuccessorIsForgotten(t *testing.T) {
	s, clock := newStore()
	s.ApplyRead([]magno.Change{replicaChange("a", 1, "10.0.0.1:80")}, 1, true)
	s.ApplyRead([]magno.Change{replicaChange("b", 2, "10.0.0.1:80")}, 2, false)
	s.ApplyRead([]magno.Change{replicaChange("a", rev(1, 1), "10.0.0.1:80")}, rev(1, 1), true)
	if s.Current().Replicas["a"] != nil {
		t.Error("the entry is used although its successor may be registered again")
	}
	clock.Advance(s.settleTime())
	s.Tick()
	if got := s.Current().Replicas; got["a"] == nil || len(got) != 1 {
		t.Errorf("got %v, want a alone", got)
	}
}

// Guards against an answer that a list gave before it was restored, and that arrives later: it
// would confirm a state that the list no longer has.
func TestAnswerFromBeforeTheRestoreIsIgnored(t *testing.T) {
	s, clock := newStore()
	s.ApplyRead([]magno.Change{planChange(1, 4)}, 4, true)
	s.ApplyRead([]magno.Change{planChange(1, rev(1, 4))}, rev(1, 4), true)
	clock.Advance(700)
	u := s.ApplyRead([]magno.Change{planChange(2, 9)}, 9, false)
	if snap := s.Current(); snap.Revision != rev(1, 4) || snap.Plan.Version != 1 || s.Age() != 700 || len(u.Changes) != 0 {
		t.Errorf("revision %s, configuration %d, age %d, update %+v; want 1:4, 1, 700 and none", snap.Revision, snap.Plan.Version, s.Age(), u)
	}
}
