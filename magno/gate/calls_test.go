package gate

import (
	"slices"
	"testing"

	"magnoliastall.example/magno"
)

func reply(warm ...uint32) StatusReply {
	r := StatusReply{Backlog: magno.Backlog{Warm: warm}}
	r.SetListsHash()
	return r
}

// An agent is asked for its state several times a second, and the list of what
// its engine holds is most of it. It is told once; an entry that is told of
// another list meanwhile must not put the old one in its place, or it sends
// requests where their adapters are gone.
func TestListIsToldOnce(t *testing.T) {
	for _, c := range []struct {
		name             string
		known, told, had StatusReply
		short            bool
		want             []uint32
	}{
		{"nothing known", reply(), reply(1, 2), reply(), false, []uint32{1, 2}},
		{"the same", reply(1, 2), reply(1, 2), reply(1, 2), true, []uint32{1, 2}},
		{"another", reply(1, 2), reply(1, 3), reply(1, 2), false, []uint32{1, 3}},
		{"now empty", reply(1, 2), reply(), reply(1, 2), false, nil},
		{"both empty", reply(), reply(), reply(), true, nil},
		{"told of another since", reply(1, 2), reply(1, 2), reply(7), true, []uint32{7}},
		{"another order is another list", reply(1, 2), reply(2, 1), reply(1, 2), false, []uint32{2, 1}},
	} {
		r := c.told
		var recent ListHistory // the agent remembers nothing
		recent.Trim(&r, c.known.ListsHash)
		if short := len(r.Backlog.Warm) == 0; short != c.short && len(c.told.Backlog.Warm) > 0 {
			t.Errorf("%s: left out is %v, want %v", c.name, short, c.short)
		}
		r.Restore(c.known.ListsHash, &c.had)
		if !slices.Equal(r.Backlog.Warm, c.want) {
			t.Errorf("%s: got %v, want %v", c.name, r.Backlog.Warm, c.want)
		}
		after := r
		if after.SetListsHash(); after.ListsHash != r.ListsHash {
			t.Errorf("%s: the list %v goes by %d, want %d", c.name, r.Backlog.Warm, r.ListsHash, after.ListsHash)
		}
	}
}

// What an engine keeps in its memory changes while it holds the same adapters. An
// entry that goes by the old list sends requests where they are loaded anew.
func TestListOfWhatIsKeptIsToldWithTheOther(t *testing.T) {
	old := reply(1, 2)
	old.Backlog.Kept = []uint32{5}
	old.SetListsHash()
	is := old
	is.Backlog.Kept = []uint32{5, 6}
	is.SetListsHash()
	if is.ListsHash == old.ListsHash {
		t.Fatal("another list goes by the same number")
	}
	told := is
	var recent ListHistory
	recent.Trim(&told, is.ListsHash)
	if len(told.Backlog.Kept) != 0 {
		t.Error("the list is told to an entry that has it")
	}
	told.Restore(is.ListsHash, &is)
	if !slices.Equal(told.Backlog.Kept, is.Backlog.Kept) {
		t.Errorf("put back as %v", told.Backlog.Kept)
	}
}

// An engine loads an adapter about once a second, and each of many entries asks its
// agent as often. Told whole lists each time, weak machines spend their links on
// what they know already. An entry that has one of the agent's last lists is told
// the change, and must end with the same lists as one that is told all.
func TestListsAreToldByTheirChange(t *testing.T) {
	for _, c := range []struct {
		name                 string
		wasWarm, wasKept     []uint32
		isWarm, isKept       []uint32
		wantWarmer, wantLost []uint32
	}{
		{"loaded", []uint32{3, 5}, nil, []uint32{3, 4, 5}, nil, []uint32{4}, nil},
		{"evicted", []uint32{3, 4, 5}, nil, []uint32{3, 5}, []uint32{4}, nil, []uint32{4}},
		{"one in place of another", []uint32{1, 9}, []uint32{2}, []uint32{2, 9}, []uint32{1}, []uint32{2}, []uint32{1}},
		{"all gone but one", []uint32{1, 2, 3}, []uint32{7}, []uint32{2}, nil, nil, []uint32{1, 3}},
	} {
		var recent ListHistory
		was, is := reply(c.wasWarm...), reply(c.isWarm...)
		was.Backlog.Kept, is.Backlog.Kept = c.wasKept, c.isKept
		was.SetListsHash()
		is.SetListsHash()
		recent.Record(&was)
		recent.Record(&is)
		told := is
		recent.Trim(&told, was.ListsHash)
		if len(told.Backlog.Warm) != 0 || !slices.Equal(told.WarmDiff.Added, c.wantWarmer) || !slices.Equal(told.WarmDiff.Removed, c.wantLost) {
			t.Errorf("%s: told %v and %v", c.name, told.Backlog.Warm, told.WarmDiff)
		}
		told.Restore(was.ListsHash, &was)
		if told.ListsHash != is.ListsHash || !slices.Equal(told.Backlog.Warm, c.isWarm) || !slices.Equal(told.Backlog.Kept, c.isKept) {
			t.Errorf("%s: has %v and %v", c.name, told.Backlog.Warm, told.Backlog.Kept)
		}
		if !slices.Equal(was.Backlog.Warm, c.wasWarm) {
			t.Errorf("%s: the list before is %v now", c.name, was.Backlog.Warm)
		}
	}
}

// Two answers of an agent overtake each other on their way to an entry. The change
// that comes late is one of a list that the entry no longer has: applied to another
// one, it would leave adapters there that are gone, for good.
func TestChangeOfAnotherListIsNotApplied(t *testing.T) {
	var recent ListHistory
	first, second, third := reply(1), reply(1, 2), reply(2, 3)
	for _, r := range []*StatusReply{&first, &second, &third} {
		recent.Record(r)
	}
	late := second
	recent.Trim(&late, first.ListsHash)
	late.Restore(first.ListsHash, &third)
	if late.ListsHash != third.ListsHash || !slices.Equal(late.Backlog.Warm, third.Backlog.Warm) {
		t.Errorf("has %v by %d, want what it had", late.Backlog.Warm, late.ListsHash)
	}
}

// An agent remembers few lists. An entry that asks seldom has one that is forgotten,
// and is told everything.
func TestForgottenListIsToldWhole(t *testing.T) {
	var recent ListHistory
	old := reply(1)
	recent.Record(&old)
	var is StatusReply
	for i := range uint32(mostRecent) {
		is = reply(i+2, i+3)
		recent.Record(&is)
	}
	told := is
	recent.Trim(&told, old.ListsHash)
	if told.BaseHash != 0 || !slices.Equal(told.Backlog.Warm, is.Backlog.Warm) {
		t.Errorf("told %v since %d", told.Backlog.Warm, told.BaseHash)
	}
}
