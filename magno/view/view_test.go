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

func newStore() (*Store, *magno.Clock) {
	clock := magno.NewClock(magno.Hour)
	return &Store{Clock: clock}, clock
}

func replicaChange(id string, rev magno.Revision, address string) magno.Change {
	return magno.Change{Key: "servers/" + id, Revision: rev, Replica: &magno.Replica{
		ID: id, Service: "s", Address: address, DataCentre: "x", Slots: 1, Since: rev,
	}}
}

func deletionChange(id string, rev magno.Revision) magno.Change {
	return magno.Change{Key: "servers/" + id, Revision: rev, Deleted: true}
}

func planChange(version int64, rev magno.Revision) magno.Change {
	return magno.Change{Key: "plan", Revision: rev, Plan: &magno.Plan{Version: version}}
}

// Guards against using the entry of a crashed upstream whose successor at the same
// address registered under a new ID. The old entry remains for some seconds. Requests
// sent by it were rejected, a thousand per second, and the service appeared unavailable.
func TestNewestEntryOfAnAddressWins(t *testing.T) {
	s, _ := newStore()
	s.ApplyRead([]magno.Change{replicaChange("old", 5, "10.0.0.1:80"), replicaChange("new", 9, "10.0.0.1:80"), replicaChange("other", 6, "10.0.0.2:80")}, 9, true)
	got := s.Current().Replicas
	if got["old"] != nil || got["new"] == nil || got["other"] == nil {
		t.Errorf("got %v, want new and other", got)
	}
	s.ApplyRead([]magno.Change{deletionChange("new", 12)}, 12, false)
	if s.Current().Replicas["old"] != nil {
		t.Error("the old entry is used again although it had a successor")
	}
}

// Guards against an upstream that is never used again because another writer's entry had its address for a while, and
// against using the entry of a crashed upstream before it would have expired.
func TestEntryThatOutlivesANewerOneIsUsed(t *testing.T) {
	for _, c := range []struct {
		name, service string
		deleted, used bool
	}{
		{"another service, deleted", "other", true, true},
		{"another service, still there", "other", false, true},
		{"the same service, deleted", "s", true, true},
		{"the same service, still there", "s", false, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			s, clock := newStore()
			foreign := replicaChange("foreign", 9, "10.0.0.1:80")
			foreign.Replica.Service = c.service
			revision := magno.Revision(9)
			s.ApplyRead([]magno.Change{replicaChange("old", 5, "10.0.0.1:80"), foreign}, revision, true)
			if c.deleted {
				revision++
				s.ApplyRead([]magno.Change{deletionChange("foreign", revision)}, revision, false)
			}
			pass := func(d magno.Millis) bool {
				clock.Advance(d)
				s.ApplyRead(nil, revision, false)
				s.Tick()
				return s.Current().Replicas["old"] != nil
			}
			if pass(s.entryTTL() - 1) {
				t.Error("it is used although its upstream may have crashed")
			}
			if used := pass(1); used != c.used {
				t.Errorf("used once it would have expired: %t, want %t", used, c.used)
			}
		})
	}
}

// Guards against the entry of a crashed upstream that is used while the list is away, which can't say that it expired.
func TestEntryBehindANewerOneIsNotUsedInAnOutage(t *testing.T) {
	s, clock := newStore()
	s.ApplyRead([]magno.Change{replicaChange("old", 5, "10.0.0.1:80"), replicaChange("new", 9, "10.0.0.1:80")}, 9, true)
	s.ApplyRead([]magno.Change{deletionChange("new", 10)}, 10, false)
	clock.Advance(magno.Minute)
	s.Tick()
	if s.Current().Replicas["old"] != nil {
		t.Error("it is used although the list was not read since")
	}
}

// A delayed response of the list, or a peer that was partitioned, brings a configuration
// that has been replaced.
func TestConfigurationVersionNeverDecreases(t *testing.T) {
	s, _ := newStore()
	s.ApplyRead([]magno.Change{planChange(7, 10)}, 10, true)
	s.ApplyUpdate(Update{Changes: []magno.Change{planChange(3, 4)}, Since: 0, Revision: 4})
	s.ApplyRead([]magno.Change{planChange(5, 12)}, 12, false)
	if v := s.Current().Plan.Version; v != 7 {
		t.Errorf("version %d is active, want 7", v)
	}
}

// A malformed entry is written in place of an upstream's entry or beside it. The other
// upstreams must stay in use.
func TestInvalidEntryDoesNotAffectOthers(t *testing.T) {
	s, _ := newStore()
	s.ApplyRead([]magno.Change{
		replicaChange("a", 1, "10.0.0.1:80"), {Key: "servers/b", Revision: 2, Fault: "no address"}, replicaChange("c", 3, "10.0.0.3:80"),
	}, 3, true)
	if n := len(s.Current().Replicas); n != 2 {
		t.Errorf("%d upstreams are used, want 2", n)
	}
}

// The list is unavailable for seconds, and entries of live upstreams expire. If they were
// removed on recovery, no request could be served until they registered again. Upstreams
// still missing after the grace period are removed.
func TestEntriesExpiredInAnOutageAreKeptForTheGracePeriod(t *testing.T) {
	s, clock := newStore()
	s.ApplyRead([]magno.Change{replicaChange("a", 1, "10.0.0.1:80"), replicaChange("b", 2, "10.0.0.2:80")}, 2, true)
	clock.Advance(500)
	s.RecordFailure()
	clock.Advance(4000)
	s.ApplyRead([]magno.Change{deletionChange("a", 3), deletionChange("b", 4)}, 4, false)
	if n := len(s.Current().Replicas); n != 2 {
		t.Fatalf("%d upstreams are used right after the outage, want 2", n)
	}
	clock.Advance(1000)
	s.ApplyRead([]magno.Change{replicaChange("a", 5, "10.0.0.1:80")}, 5, false)
	clock.Advance(1500)
	s.Tick()
	got := s.Current().Replicas
	if got["a"] == nil || got["b"] != nil {
		t.Errorf("got %v, want a alone", got)
	}
}

// Without an outage a deletion means that the upstream is leaving, and new requests to it
// would be interrupted.
func TestDeletionWithoutOutageTakesEffectAtOnce(t *testing.T) {
	s, clock := newStore()
	s.ApplyRead([]magno.Change{replicaChange("a", 1, "10.0.0.1:80")}, 1, true)
	clock.Advance(900)
	s.ApplyRead([]magno.Change{deletionChange("a", 2)}, 2, false)
	if len(s.Current().Replicas) != 0 {
		t.Error("a deleted upstream is still used")
	}
}

// An update from a peer starts after the revision of this process. The revision must not
// advance, or the process would never request the changes in between.
func TestRevisionDoesNotAdvancePastAGap(t *testing.T) {
	s, _ := newStore()
	s.ApplyRead([]magno.Change{replicaChange("a", 1, "10.0.0.1:80")}, 1, true)
	s.ApplyUpdate(Update{Changes: []magno.Change{replicaChange("c", 9, "10.0.0.3:80")}, Since: 8, Revision: 9})
	if r := s.Current().Revision; r != 1 {
		t.Errorf("revision %d, want 1", r)
	}
	s.ApplyUpdate(Update{Changes: []magno.Change{replicaChange("b", 5, "10.0.0.2:80"), replicaChange("c", 9, "10.0.0.3:80")}, Since: 1, Revision: 9})
	if snap := s.Current(); snap.Revision != 9 || len(snap.Replicas) != 3 {
		t.Errorf("revision %d with %d upstreams, want 9 with 3", snap.Revision, len(snap.Replicas))
	}
}

// A reader received a later change from a peer before it reads the earlier one. The
// update that it sends must hold both: a process that gets only the earlier change with
// the later revision would never request the other, and would go on using an upstream
// that left.
func TestUpdateIncludesChangesReceivedFromAPeer(t *testing.T) {
	reader, _ := newStore()
	other, _ := newStore()
	for _, b := range []*Store{reader, other} {
		b.ApplyRead([]magno.Change{replicaChange("a", 1, "10.0.0.1:80")}, 1, true)
	}
	reader.ApplyUpdate(Update{Changes: []magno.Change{deletionChange("a", 3)}, Since: 2, Revision: 3})
	other.ApplyUpdate(reader.ApplyRead([]magno.Change{replicaChange("b", 2, "10.0.0.2:80"), deletionChange("a", 3)}, 3, false))
	if snap := other.Current(); snap.Revision != 3 || snap.Replicas["a"] != nil || snap.Replicas["b"] == nil {
		t.Errorf("revision %d with %v, want 3 with b alone", snap.Revision, snap.Replicas)
	}
}

// A process starts after an upstream left, so its full read doesn't have it, and there is
// no deletion that it could pass on. A process that was partitioned and requests the
// changes from it must still learn that the upstream is gone.
func TestFullListImpliesDeletions(t *testing.T) {
	cut, _ := newStore()
	cut.ApplyRead([]magno.Change{replicaChange("a", 1, "10.0.0.1:80")}, 1, true)
	fresh, _ := newStore()
	fresh.ApplyRead([]magno.Change{replicaChange("b", 4, "10.0.0.2:80")}, 5, true)
	cut.ApplyUpdate(fresh.Since(cut.Current().Revision))
	if snap := cut.Current(); snap.Revision != 5 || snap.Replicas["a"] != nil || snap.Replicas["b"] == nil {
		t.Errorf("revision %d with %v, want 5 with b alone", snap.Revision, snap.Replicas)
	}
}

// A process that is up to date through peers gets an outdated full read with an upstream
// that came and left before. The upstream must not be added.
func TestStaleListRestoresNoDeletedEntry(t *testing.T) {
	s, _ := newStore()
	s.ApplyUpdate(Update{Changes: []magno.Change{replicaChange("b", 1, "10.0.0.2:80")}, Revision: 5, Full: true})
	s.ApplyRead([]magno.Change{replicaChange("b", 1, "10.0.0.2:80"), replicaChange("a", 3, "10.0.0.1:80")}, 3, true)
	if snap := s.Current(); snap.Revision != 5 || len(snap.Replicas) != 1 {
		t.Errorf("revision %d with %v, want 5 with b alone", snap.Revision, snap.Replicas)
	}
}

// When an upstream leaves, the state is compared with what each agent was last sent. If
// the map of versions were copied on each change, every comparison would cover all
// versions for every agent, while requests wait for the same lock.
func TestUnchangedPinsKeepTheSameMap(t *testing.T) {
	s, _ := newStore()
	pin := magno.Change{Key: "pin", Revision: 1, Pin: &magno.Pin{Model: "m", Adapter: "a", Number: 2}}
	s.ApplyRead([]magno.Change{pin, replicaChange("a", 2, "10.0.0.1:80")}, 2, true)
	before := s.Current().Pins
	s.ApplyRead([]magno.Change{deletionChange("a", 3)}, 3, false)
	if after := s.Current().Pins; reflect.ValueOf(after).Pointer() != reflect.ValueOf(before).Pointer() {
		t.Error("the map of versions was copied although none changed")
	}
}

// Upstreams rewrite their entries with each adapter that they load, mostly without a
// change that matters here. Sending these to all processes would be most of the traffic
// between them and keep small machines busy.
func TestUnchangedEntriesAreNotSent(t *testing.T) {
	s, _ := newStore()
	s.ApplyRead([]magno.Change{replicaChange("a", 1, "10.0.0.1:80"), replicaChange("b", 2, "10.0.0.2:80")}, 2, true)
	again, leaving := replicaChange("a", 3, "10.0.0.1:80"), replicaChange("b", 4, "10.0.0.2:80")
	again.Replica.Since, leaving.Replica.Since, leaving.Replica.Leaving = 1, 2, true
	changed := s.Changed()
	update := s.ApplyRead([]magno.Change{again}, 3, false)
	if len(update.Changes) != 0 || update.Revision != 3 || s.Current().Revision != 3 {
		t.Errorf("sent %v at revision %d, want nothing at 3", update.Changes, update.Revision)
	}
	select {
	case <-changed:
		t.Error("a repeated entry is reported as a change")
	default:
	}
	if update = s.ApplyRead([]magno.Change{leaving}, 4, false); len(update.Changes) != 1 || !s.Current().Replicas["b"].Leaving {
		t.Errorf("sent %v, want the leaving of b", update.Changes)
	}
}

// A full read may be seconds old and must not reset the age of the state. Otherwise a
// process would reject requests for a new route as if its state were up to date.
func TestStaleListDoesNotResetTheAge(t *testing.T) {
	s, clock := newStore()
	s.ApplyRead(nil, 5, false)
	clock.Advance(3000)
	s.ApplyRead([]magno.Change{planChange(1, 4)}, 4, true)
	if age := s.Age(); age != 3000 {
		t.Errorf("the age is %d ms, want 3000", age)
	}
}

// Changes arrive repeatedly, late and in any order, from the list and from peers. All
// processes must end in the same state.
func TestAnyOrderEndsTheSame(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var log []magno.Change
		for rev := magno.Revision(1); rev <= 20; rev++ {
			id := fmt.Sprint(rapid.IntRange(0, 4).Draw(t, "id"))
			if rapid.Bool().Draw(t, "down") {
				log = append(log, deletionChange(id, rev))
				continue
			}
			log = append(log, replicaChange(id, rev, "10.0.0."+id+":80"))
		}
		a, _ := newStore()
		a.ApplyRead(log, 20, false)
		s, _ := newStore()
		mixed := rapid.Permutation(append(log, log[:5]...)).Draw(t, "order")
		for i := range mixed {
			s.ApplyUpdate(Update{Changes: mixed[i : i+1], Since: mixed[i].Revision - 1, Revision: mixed[i].Revision})
		}
		s.ApplyUpdate(a.Since(s.Current().Revision))
		for id, r := range a.Current().Replicas {
			if other := s.Current().Replicas[id]; other == nil || other.Since != r.Since {
				t.Fatalf("one has %v for %s, the other %v", r, id, other)
			}
		}
		if len(a.Current().Replicas) != len(s.Current().Replicas) {
			t.Fatalf("one has %d upstreams, the other %d", len(a.Current().Replicas), len(s.Current().Replicas))
		}
	})
}

// Fifty configurations within a second arrive in one response of the list. A reader sent
// each of them to all processes, and requests were delayed behind them on the links of
// small machines. Only the last valid one may be sent.
func TestOnlyLastOfManyConfigurationsIsSent(t *testing.T) {
	bad := magno.Change{Key: "plan", Revision: 60, Fault: "no configuration"}
	for _, c := range []struct {
		name    string
		changes []magno.Change
		want    []magno.Revision
		version int64
	}{
		{"a storm", []magno.Change{planChange(2, 10), planChange(3, 11), planChange(4, 12)}, []magno.Revision{12}, 4},
		{"the last can't be read", []magno.Change{planChange(2, 10), planChange(3, 11), bad}, []magno.Revision{11, 60}, 3},
		{"the last is an older one", []magno.Change{planChange(3, 10), planChange(2, 11)}, []magno.Revision{10, 11}, 3},
		{"between others", []magno.Change{planChange(2, 10), replicaChange("a", 11, "10.0.0.1:80"), planChange(3, 12), deletionChange("a", 13)}, []magno.Revision{12, 13}, 3},
	} {
		s, _ := newStore()
		s.ApplyRead([]magno.Change{planChange(1, 1)}, 1, true)
		update := s.ApplyRead(c.changes, 60, false)
		var got []magno.Revision
		for _, change := range update.Changes {
			got = append(got, change.Revision)
		}
		if !slices.Equal(got, c.want) || s.Current().Plan.Version != c.version {
			t.Errorf("%s: sent %v, active version %d; want %v and %d", c.name, got, s.Current().Plan.Version, c.want, c.version)
		}
	}
}

// Guards against a large configuration saturating the links of small machines: an update
// with 1,700 new routes must take at most a tenth of a second at 10 Mbit/s.
func TestManyNewRoutesFitANarrowLink(t *testing.T) {
	const most = 10e6 / 8 / 10
	from := &Store{Clock: magno.NewClock(magno.Hour)}
	from.ApplyRead([]magno.Change{{Key: "plan", Revision: 1, Plan: planWithRoutes(1, 50)}}, 1, true)
	pushed, err := json.Marshal(from.ApplyRead([]magno.Change{{Key: "plan", Revision: 2, Plan: planWithRoutes(2, 1750)}}, 2, false))
	if err != nil {
		t.Fatal(err)
	}
	requested, err := json.Marshal(from.Since(0))
	if err != nil {
		t.Fatal(err)
	}
	if len(pushed) > most || len(requested) > most {
		t.Errorf("%d bytes pushed and %d requested, want at most %.0f", len(pushed), len(requested), float64(most))
	}
}

// Guards against treating a configuration that the sender failed to encode as no change:
// the process would keep the old one and report the revision of the new one.
func TestEmptyChangeIsRejected(t *testing.T) {
	b := &Store{Clock: magno.NewClock(magno.Hour)}
	b.ApplyRead([]magno.Change{planChange(1, 1)}, 1, true)
	if err := b.ApplyUpdate(Update{Changes: []magno.Change{{Key: "plan", Revision: 2}}, Since: 1, Revision: 2}); err == nil {
		t.Error("an empty change was accepted")
	}
	if now := b.Current(); now.Revision != 1 || now.Plan.Version != 1 {
		t.Errorf("revision %d with configuration %d, want 1 with 1", now.Revision, now.Plan.Version)
	}
}

// Guards against two processes that take themselves for equal though they know an upstream at different
// builds: a restored list may name a name's earlier life with another build, at the same revision.
func TestDigestTellsBuildsApart(t *testing.T) {
	var digests []Digest
	for _, build := range []string{"v1", "v2"} {
		s, _ := newStore()
		c := replicaChange("a", 1, "10.0.0.1:1")
		c.Replica.Build = build
		s.ApplyConsistent([]magno.Change{c}, 1)
		digests = append(digests, s.Digest())
	}
	if digests[0] == digests[1] {
		t.Errorf("both have %+v", digests[0])
	}
}
