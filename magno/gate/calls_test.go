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

// The list of loaded adapters is most of a status reply, so it is left out for an entry that
// has it. If the entry has received another list since it asked, it must not go back to the old
// one, or it sends requests to an engine that has evicted their adapters.
func TestKnownListIsLeftOut(t *testing.T) {
	for _, c := range []struct {
		name                 string
		known, sent, current StatusReply
		short                bool
		want                 []uint32
	}{
		{"nothing known", reply(), reply(1, 2), reply(), false, []uint32{1, 2}},
		{"the same", reply(1, 2), reply(1, 2), reply(1, 2), true, []uint32{1, 2}},
		{"another", reply(1, 2), reply(1, 3), reply(1, 2), false, []uint32{1, 3}},
		{"now empty", reply(1, 2), reply(), reply(1, 2), false, nil},
		{"both empty", reply(), reply(), reply(), true, nil},
		{"told of another since", reply(1, 2), reply(1, 2), reply(7), true, []uint32{7}},
		{"another order is another list", reply(1, 2), reply(2, 1), reply(1, 2), false, []uint32{2, 1}},
	} {
		r := c.sent
		var recent ListHistory // an empty history
		recent.Trim(&r, c.known.ListsHash)
		if short := len(r.Backlog.Warm) == 0; short != c.short && len(c.sent.Backlog.Warm) > 0 {
			t.Errorf("%s: list left out: %v, want %v", c.name, short, c.short)
		}
		r.Restore(c.known.ListsHash, &c.current)
		if !slices.Equal(r.Backlog.Warm, c.want) {
			t.Errorf("%s: restored %v, want %v", c.name, r.Backlog.Warm, c.want)
		}
		after := r
		if after.SetListsHash(); after.ListsHash != r.ListsHash {
			t.Errorf("%s: list %v has hash %d, want %d", c.name, r.Backlog.Warm, r.ListsHash, after.ListsHash)
		}
	}
}

// The adapters cached in an engine's memory change while the loaded ones stay the same. If the
// hash did not cover them, an entry with the old list would send requests to an engine that has
// to load the adapter from the store.
func TestKeptListIsPartOfListsHash(t *testing.T) {
	old := reply(1, 2)
	old.Backlog.Cached = []uint32{5}
	old.SetListsHash()
	is := old
	is.Backlog.Cached = []uint32{5, 6}
	is.SetListsHash()
	if is.ListsHash == old.ListsHash {
		t.Fatal("different lists have the same hash")
	}
	sent := is
	var recent ListHistory
	recent.Trim(&sent, is.ListsHash)
	if len(sent.Backlog.Cached) != 0 {
		t.Error("the list is sent to an entry that has it")
	}
	sent.Restore(is.ListsHash, &is)
	if !slices.Equal(sent.Backlog.Cached, is.Backlog.Cached) {
		t.Errorf("restored as %v", sent.Backlog.Cached)
	}
}

// Each engine loads an adapter about once a second, and each entry polls it as often, so whole
// lists would fill slow links with hashes that the entries have. An entry that has a recent
// list is sent the diff, and must arrive at the same lists as one that is sent everything.
func TestListsAreSentAsDiffs(t *testing.T) {
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
		was.Backlog.Cached, is.Backlog.Cached = c.wasKept, c.isKept
		was.SetListsHash()
		is.SetListsHash()
		recent.Record(&was)
		recent.Record(&is)
		sent := is
		recent.Trim(&sent, was.ListsHash)
		if len(sent.Backlog.Warm) != 0 || !slices.Equal(sent.WarmDiff.Added, c.wantWarmer) || !slices.Equal(sent.WarmDiff.Removed, c.wantLost) {
			t.Errorf("%s: sent list %v and diff %v", c.name, sent.Backlog.Warm, sent.WarmDiff)
		}
		sent.Restore(was.ListsHash, &was)
		if sent.ListsHash != is.ListsHash || !slices.Equal(sent.Backlog.Warm, c.isWarm) || !slices.Equal(sent.Backlog.Cached, c.isKept) {
			t.Errorf("%s: restored warm %v and kept %v", c.name, sent.Backlog.Warm, sent.Backlog.Cached)
		}
		if !slices.Equal(was.Backlog.Warm, c.wasWarm) {
			t.Errorf("%s: the previous list was changed to %v", c.name, was.Backlog.Warm)
		}
	}
}

// Two replies of an agent arrive in the wrong order, so the later one has a diff to a list that
// the entry has replaced. Applied to the newer list, it would leave evicted adapters there for
// good.
func TestDiffOfAnotherListIsNotApplied(t *testing.T) {
	var recent ListHistory
	first, second, third := reply(1), reply(1, 2), reply(2, 3)
	for _, r := range []*StatusReply{&first, &second, &third} {
		recent.Record(r)
	}
	late := second
	recent.Trim(&late, first.ListsHash)
	late.Restore(first.ListsHash, &third)
	if late.ListsHash != third.ListsHash || !slices.Equal(late.Backlog.Warm, third.Backlog.Warm) {
		t.Errorf("got list %v with hash %d, want the lists that the entry had", late.Backlog.Warm, late.ListsHash)
	}
}

// An entry that polls rarely has a list that the agent no longer remembers, and is sent the
// whole lists.
func TestForgottenListIsSentInFull(t *testing.T) {
	var recent ListHistory
	old := reply(1)
	recent.Record(&old)
	var is StatusReply
	for i := range uint32(maxListHistory) {
		is = reply(i+2, i+3)
		recent.Record(&is)
	}
	sent := is
	recent.Trim(&sent, old.ListsHash)
	if sent.BaseHash != 0 || !slices.Equal(sent.Backlog.Warm, is.Backlog.Warm) {
		t.Errorf("sent %v as a diff to %d, want the whole list", sent.Backlog.Warm, sent.BaseHash)
	}
}
