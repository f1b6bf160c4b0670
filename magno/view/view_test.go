package view

import (
	"encoding/json"
	"fmt"
	"reflect"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"magnoliastall.example/magno"
)

func newBook() (*Store, *magno.Clock) {
	clock := magno.NewClock(magno.Hour)
	return &Store{Clock: clock}, clock
}

func up(id string, rev int64, address string) magno.Change {
	return magno.Change{Key: "servers/" + id, Revision: rev, Replica: &magno.Replica{
		ID: id, Service: "s", Address: address, DataCentre: "x", Slots: 1, Since: rev,
	}}
}

func down(id string, rev int64) magno.Change {
	return magno.Change{Key: "servers/" + id, Revision: rev, Deleted: true}
}

func plan(version, rev int64) magno.Change {
	return magno.Change{Key: "plan", Revision: rev, Plan: &magno.Plan{Version: version}}
}

// An upstream crashed and another start of it registered under a new name. For
// some seconds the old entry stands beside the new one, with the same address.
// Requests and orders for the old one were refused there, a thousand a second,
// and callers saw the service gone.
func TestNewestEntryOfAnAddressCounts(t *testing.T) {
	b, _ := newBook()
	b.ApplyRead([]magno.Change{up("old", 5, "10.0.0.1:80"), up("new", 9, "10.0.0.1:80"), up("other", 6, "10.0.0.2:80")}, 9, true)
	got := b.Current().Replicas
	if got["old"] != nil || got["new"] == nil || got["other"] == nil {
		t.Errorf("got %v, want new and other", got)
	}
	b.ApplyRead([]magno.Change{down("new", 12)}, 12, false)
	if b.Current().Replicas["old"] != nil {
		t.Error("the old entry came back though its successor was there")
	}
}

// A slow answer of the list, or a peer that was cut off, brings a configuration
// that was replaced since.
func TestConfigurationNeverFalls(t *testing.T) {
	b, _ := newBook()
	b.ApplyRead([]magno.Change{plan(7, 10)}, 10, true)
	b.ApplyUpdate(Update{Changes: []magno.Change{plan(3, 4)}, Since: 0, Revision: 4})
	b.ApplyRead([]magno.Change{plan(5, 12)}, 12, false)
	if v := b.Current().Plan.Version; v != 7 {
		t.Errorf("version %d is in force, want 7", v)
	}
}

// A malformed entry is written over an upstream's, or beside it. The others
// must go on being used.
func TestOneBadEntryHidesNoOther(t *testing.T) {
	b, _ := newBook()
	b.ApplyRead([]magno.Change{
		up("a", 1, "10.0.0.1:80"), {Key: "servers/b", Revision: 2, Fault: "no address"}, up("c", 3, "10.0.0.3:80"),
	}, 3, true)
	if n := len(b.Current().Replicas); n != 2 {
		t.Errorf("%d upstreams are used, want 2", n)
	}
}

// The list is away for seconds, and entries run out in it though their
// upstreams live. Taken as gone at its return, no request could be served until
// they are back; after two seconds, what is still missing is gone.
func TestLapsedEntriesAreUsedUntilTheyCouldBeBack(t *testing.T) {
	b, clock := newBook()
	b.ApplyRead([]magno.Change{up("a", 1, "10.0.0.1:80"), up("b", 2, "10.0.0.2:80")}, 2, true)
	clock.Advance(500)
	b.RecordFailure()
	clock.Advance(4000)
	b.ApplyRead([]magno.Change{down("a", 3), down("b", 4)}, 4, false)
	if n := len(b.Current().Replicas); n != 2 {
		t.Fatalf("%d upstreams are used right after the outage, want 2", n)
	}
	clock.Advance(1000)
	b.ApplyRead([]magno.Change{up("a", 5, "10.0.0.1:80")}, 5, false)
	clock.Advance(1500)
	b.Tick()
	got := b.Current().Replicas
	if got["a"] == nil || got["b"] != nil {
		t.Errorf("got %v, want a alone", got)
	}
}

// A deletion on a calm day is no lapse: the upstream leaves, and new requests
// there would be cut off.
func TestDeletionOnACalmDayCountsAtOnce(t *testing.T) {
	b, clock := newBook()
	b.ApplyRead([]magno.Change{up("a", 1, "10.0.0.1:80")}, 1, true)
	clock.Advance(900)
	b.ApplyRead([]magno.Change{down("a", 2)}, 2, false)
	if len(b.Current().Replicas) != 0 {
		t.Error("a deleted upstream is still used")
	}
}

// A peer tells of changes after a revision that this process hasn't reached.
// Its own revision stays, or it would never ask for what it missed.
func TestGapInNewsIsNotForgotten(t *testing.T) {
	b, _ := newBook()
	b.ApplyRead([]magno.Change{up("a", 1, "10.0.0.1:80")}, 1, true)
	b.ApplyUpdate(Update{Changes: []magno.Change{up("c", 9, "10.0.0.3:80")}, Since: 8, Revision: 9})
	if r := b.Current().Revision; r != 1 {
		t.Errorf("revision %d, want 1", r)
	}
	b.ApplyUpdate(Update{Changes: []magno.Change{up("b", 5, "10.0.0.2:80"), up("c", 9, "10.0.0.3:80")}, Since: 1, Revision: 9})
	if s := b.Current(); s.Revision != 9 || len(s.Replicas) != 3 {
		t.Errorf("revision %d with %d upstreams, want 9 with 3", s.Revision, len(s.Replicas))
	}
}

// A reader heard of a later change from a peer before it reads the one before.
// It tells others both: one that hears only the first, with the revision of the
// second, never asks for it, and goes on sending to an upstream that left.
func TestNewsHoldsWhatAPeerToldBefore(t *testing.T) {
	reader, _ := newBook()
	other, _ := newBook()
	for _, b := range []*Store{reader, other} {
		b.ApplyRead([]magno.Change{up("a", 1, "10.0.0.1:80")}, 1, true)
	}
	reader.ApplyUpdate(Update{Changes: []magno.Change{down("a", 3)}, Since: 2, Revision: 3})
	other.ApplyUpdate(reader.ApplyRead([]magno.Change{up("b", 2, "10.0.0.2:80"), down("a", 3)}, 3, false))
	if s := other.Current(); s.Revision != 3 || s.Replicas["a"] != nil || s.Replicas["b"] == nil {
		t.Errorf("revision %d with %v, want 3 with b alone", s.Revision, s.Replicas)
	}
}

// A process starts after an upstream left and reads the list, which doesn't have
// it any more. One that was cut off meanwhile asks it for what changed. No
// deletion can be told, and yet it must learn that the upstream is gone.
func TestWholeListTellsWhatIsGone(t *testing.T) {
	cut, _ := newBook()
	cut.ApplyRead([]magno.Change{up("a", 1, "10.0.0.1:80")}, 1, true)
	fresh, _ := newBook()
	fresh.ApplyRead([]magno.Change{up("b", 4, "10.0.0.2:80")}, 5, true)
	cut.ApplyUpdate(fresh.Since(cut.Current().Revision))
	if s := cut.Current(); s.Revision != 5 || s.Replicas["a"] != nil || s.Replicas["b"] == nil {
		t.Errorf("revision %d with %v, want 5 with b alone", s.Revision, s.Replicas)
	}
}

// A process that peers told all of reads the list, and gets an answer that is
// seconds old, with an upstream that came and left before the process knew it.
func TestOldListBringsNothingBack(t *testing.T) {
	b, _ := newBook()
	b.ApplyUpdate(Update{Changes: []magno.Change{up("b", 1, "10.0.0.2:80")}, Revision: 5, Full: true})
	b.ApplyRead([]magno.Change{up("b", 1, "10.0.0.2:80"), up("a", 3, "10.0.0.1:80")}, 3, true)
	if s := b.Current(); s.Revision != 5 || len(s.Replicas) != 1 {
		t.Errorf("revision %d with %v, want 5 with b alone", s.Revision, s.Replicas)
	}
}

// An upstream leaves, and what entries tell each agent is compared with what it was
// told before. With a copy of all versions for each, that is their number times
// that of the agents, while requests wait for the same lock.
func TestVersionsStayTheSameMap(t *testing.T) {
	b, _ := newBook()
	pin := magno.Change{Key: "pin", Revision: 1, Pin: &magno.Pin{Model: "m", Adapter: "a", Number: 2}}
	b.ApplyRead([]magno.Change{pin, up("a", 2, "10.0.0.1:80")}, 2, true)
	before := b.Current().Pins
	b.ApplyRead([]magno.Change{down("a", 3)}, 3, false)
	if after := b.Current().Pins; reflect.ValueOf(after).Pointer() != reflect.ValueOf(before).Pointer() {
		t.Error("the versions were copied though none changed")
	}
}

// Upstreams write their entries with each adapter that they load, and nothing in
// them that counts here changes. Told to all, that is most of what processes hear,
// and small machines are busy with it.
func TestRepeatsAreNotTold(t *testing.T) {
	b, _ := newBook()
	b.ApplyRead([]magno.Change{up("a", 1, "10.0.0.1:80"), up("b", 2, "10.0.0.2:80")}, 2, true)
	again, leaving := up("a", 3, "10.0.0.1:80"), up("b", 4, "10.0.0.2:80")
	again.Replica.Since, leaving.Replica.Since, leaving.Replica.Leaving = 1, 2, true
	changed := b.Changed()
	n := b.ApplyRead([]magno.Change{again}, 3, false)
	if len(n.Changes) != 0 || n.Revision != 3 || b.Current().Revision != 3 {
		t.Errorf("told %v at revision %d, want nothing at 3", n.Changes, n.Revision)
	}
	select {
	case <-changed:
		t.Error("a repeat counts as a change")
	default:
	}
	if n = b.ApplyRead([]magno.Change{leaving}, 4, false); len(n.Changes) != 1 || !b.Current().Replicas["b"].Leaving {
		t.Errorf("told %v, want that b leaves", n.Changes)
	}
}

// A whole list may be seconds old. It doesn't make what is known any younger, or
// a process would turn away callers of a route that is new as if it knew.
func TestOldListConfirmsNothing(t *testing.T) {
	b, clock := newBook()
	b.ApplyRead(nil, 5, false)
	clock.Advance(3000)
	b.ApplyRead([]magno.Change{plan(1, 4)}, 4, true)
	if age := b.Age(); age != 3000 {
		t.Errorf("the age is %d ms, want 3000", age)
	}
}

// Changes come twice, late and in any order, from the list and from peers. All
// processes end with the same view.
func TestAnyOrderEndsTheSame(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var log []magno.Change
		for rev := int64(1); rev <= 20; rev++ {
			id := fmt.Sprint(rapid.IntRange(0, 4).Draw(t, "id"))
			if rapid.Bool().Draw(t, "down") {
				log = append(log, down(id, rev))
				continue
			}
			log = append(log, up(id, rev, "10.0.0."+id+":80"))
		}
		a, _ := newBook()
		a.ApplyRead(log, 20, false)
		b, _ := newBook()
		mixed := rapid.Permutation(append(log, log[:5]...)).Draw(t, "order")
		for i := range mixed {
			b.ApplyUpdate(Update{Changes: mixed[i : i+1], Since: mixed[i].Revision - 1, Revision: mixed[i].Revision})
		}
		b.ApplyUpdate(a.Since(b.Current().Revision))
		for id, r := range a.Current().Replicas {
			if other := b.Current().Replicas[id]; other == nil || other.Since != r.Since {
				t.Fatalf("one has %v of %s, the other %v", r, id, other)
			}
		}
		if len(a.Current().Replicas) != len(b.Current().Replicas) {
			t.Fatalf("one has %d upstreams, the other %d", len(a.Current().Replicas), len(b.Current().Replicas))
		}
	})
}

// Fifty configurations come within a second, and one answer of the list holds them
// all. A reader told each of them to all others, and callers' requests waited behind
// that on the links of small machines. Only the last is of use; one that can't be read
// takes nothing away.
func TestStormOfConfigurationsIsToldOnce(t *testing.T) {
	bad := magno.Change{Key: "plan", Revision: 60, Fault: "no configuration"}
	for _, c := range []struct {
		name    string
		changes []magno.Change
		want    []int64
		version int64
	}{
		{"a storm", []magno.Change{plan(2, 10), plan(3, 11), plan(4, 12)}, []int64{12}, 4},
		{"the last can't be read", []magno.Change{plan(2, 10), plan(3, 11), bad}, []int64{11, 60}, 3},
		{"the last is an older one", []magno.Change{plan(3, 10), plan(2, 11)}, []int64{10, 11}, 3},
		{"between others", []magno.Change{plan(2, 10), up("a", 11, "10.0.0.1:80"), plan(3, 12), down("a", 13)}, []int64{12, 13}, 3},
	} {
		b, _ := newBook()
		b.ApplyRead([]magno.Change{plan(1, 1)}, 1, true)
		news := b.ApplyRead(c.changes, 60, false)
		var got []int64
		for _, told := range news.Changes {
			got = append(got, told.Revision)
		}
		if !slices.Equal(got, c.want) || b.Current().Plan.Version != c.version {
			t.Errorf("%s: told %v, in force %d; want %v and %d", c.name, got, b.Current().Plan.Version, c.want, c.version)
		}
	}
}

// Guards against a large configuration that fills the links of small machines: told to
// another process, 1,700 new routes take a tenth of a second at ten megabits a second.
func TestManyNewRoutesFitANarrowLink(t *testing.T) {
	const most = 10e6 / 8 / 10
	from := &Store{Clock: magno.NewClock(magno.Hour)}
	from.ApplyRead([]magno.Change{{Key: "plan", Revision: 1, Plan: routes(1, 50)}}, 1, true)
	told, err := json.Marshal(from.ApplyRead([]magno.Change{{Key: "plan", Revision: 2, Plan: routes(2, 1750)}}, 2, false))
	if err != nil {
		t.Fatal(err)
	}
	asked, err := json.Marshal(from.Since(0))
	if err != nil {
		t.Fatal(err)
	}
	if len(told) > most || len(asked) > most {
		t.Errorf("%d bytes told and %d asked for, want at most %.0f", len(told), len(asked), float64(most))
	}
}

// Guards against a configuration that couldn't be encoded and is taken for none: its
// process would go on with the old one, and say that it knows the new one's revision.
func TestChangeThatSaysNothingIsRefused(t *testing.T) {
	b := &Store{Clock: magno.NewClock(magno.Hour)}
	b.ApplyRead([]magno.Change{plan(1, 1)}, 1, true)
	if err := b.ApplyUpdate(Update{Changes: []magno.Change{{Key: "plan", Revision: 2}}, Since: 1, Revision: 2}); err == nil {
		t.Error("taken")
	}
	if now := b.Current(); now.Revision != 1 || now.Plan.Version != 1 {
		t.Errorf("at revision %d with configuration %d", now.Revision, now.Plan.Version)
	}
}
