package view

import (
	"encoding/json"
	"fmt"
	"maps"
	"reflect"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"magnoliastall.example/magno"
)

// logEntry is a change of the list and the time at which it was made.
type logEntry struct {
	magno.Change
	writtenAt magno.Millis
}

// listModel is the reference model of the list: the log of all changes.
type listModel struct {
	log     []logEntry
	version int64
	pins    map[string]int64
}

// stateAt returns the whole list at a revision.
func (l *listModel) stateAt(revision magno.Revision) map[string]magno.Change {
	state := map[string]magno.Change{}
	for _, entry := range l.log {
		if entry.Revision > revision {
			break
		}
		if entry.Deleted {
			delete(state, entry.Key)
			continue
		}
		state[entry.Key] = entry.Change
	}
	return state
}

// revisionBefore returns the newest revision before a time.
func (l *listModel) revisionBefore(t magno.Millis) magno.Revision {
	revision := magno.Revision(0)
	for _, w := range l.log {
		if w.writtenAt < t {
			revision = w.Revision
		}
	}
	return revision
}

func (l *listModel) newestRevision() magno.Revision { return magno.Revision(len(l.log)) }

// changesAfter returns the changes after a revision.
func (l *listModel) changesAfter(revision magno.Revision) []magno.Change {
	var out []magno.Change
	for _, w := range l.log {
		if w.Revision > revision {
			out = append(out, w.Change)
		}
	}
	return out
}

// fleet simulates processes that read the list and exchange updates.
type fleet struct {
	clock  *magno.Clock
	list   listModel
	stores []*Store
	// maxPlans and maxPins are the highest versions seen in each process; they must never
	// decrease.
	maxPlans []int64
	maxPins  []map[string]int64
}

func newFleet() *fleet {
	f := &fleet{clock: magno.NewClock(magno.Hour), list: listModel{pins: map[string]int64{}}}
	for range 3 {
		f.stores = append(f.stores, &Store{Clock: f.clock})
		f.maxPlans = append(f.maxPlans, 0)
		f.maxPins = append(f.maxPins, map[string]int64{})
	}
	return f
}

func (f *fleet) pick(t *rapid.T, label string) *Store {
	return f.stores[rapid.IntRange(0, len(f.stores)-1).Draw(t, label)]
}

// write makes an operator or a worker change the list.
func (f *fleet) write(t *rapid.T) {
	revision := f.list.newestRevision() + 1
	id := rapid.IntRange(0, 4).Draw(t, "id")
	var c magno.Change
	switch rapid.IntRange(0, 5).Draw(t, "kind") {
	case 0:
		f.list.version += int64(rapid.IntRange(1, 3).Draw(t, "step"))
		c = planChange(f.list.version, revision)
		c.Plan.Routes = routesOfVersion(f.list.version)
	case 1:
		name := fmt.Sprint("a", id)
		f.list.pins[name]++
		c = magno.Change{Key: "pin/" + name, Revision: revision, Pin: &magno.Pin{Model: "m", Adapter: name, Number: f.list.pins[name]}}
	case 2:
		if c = deletionChange(fmt.Sprint(id), revision); f.list.stateAt(revision)[c.Key].Replica == nil {
			return // no such entry
		}
	default:
		c = replicaChange(fmt.Sprint(id), revision, "10.0.0."+fmt.Sprint(id)+":80")
		if old := f.list.stateAt(revision)[c.Key].Replica; old != nil {
			c.Replica.Since = old.Since
			c.Replica.Leaving = rapid.Bool().Draw(t, "leaving")
		}
	}
	f.list.log = append(f.list.log, logEntry{c, f.clock.Now()})
}

// read makes a process read the whole list, possibly at an earlier revision, and then the
// changes after it, as a watch does.
func (f *fleet) read(t *rapid.T) {
	s := f.pick(t, "reader")
	old := max(f.list.newestRevision()-magno.Revision(rapid.IntRange(0, 4).Draw(t, "behind")), 0)
	var all []magno.Change
	state := f.list.stateAt(old)
	for _, key := range slices.Sorted(maps.Keys(state)) {
		all = append(all, state[key])
	}
	s.ApplyRead(all, old, true)
	f.follow(s)
}

func (f *fleet) follow(s *Store) Update {
	return s.ApplyRead(f.list.changesAfter(s.Current().Revision), f.list.newestRevision(), false)
}

// push makes a reader watch the list and send the update to the processes that it can
// reach.
func (f *fleet) push(t *rapid.T) {
	s := f.pick(t, "reader")
	update := f.follow(s)
	for _, other := range f.stores {
		if other != s && rapid.Bool().Draw(t, "reached") {
			_ = other.ApplyUpdate(roundTrip(t, update)) // a rejected update is fetched later
		}
	}
}

// routesOfVersion returns routes of which a few are changed, added and removed from one
// version to the next.
func routesOfVersion(version int64) []magno.Route {
	var list []magno.Route
	for i := range int64(8) {
		if (i+version)%5 != 0 {
			list = append(list, magno.Route{Name: fmt.Sprint(i), Timeout: magno.Millis(1 + (i*version)%3)})
		}
	}
	return list
}

// roundTrip returns an update as another process decodes it.
func roundTrip(t *rapid.T, u Update) (got Update) {
	data, err := json.Marshal(u)
	if err != nil {
		t.Fatal(err)
	}
	if err := json.Unmarshal(data, &got); err != nil {
		t.Fatal(err)
	}
	return got
}

// fetch makes one process request what it lacks from another.
func (f *fleet) fetch(t *rapid.T) {
	from, to := f.pick(t, "from"), f.pick(t, "to")
	if err := to.ApplyUpdate(roundTrip(t, from.Since(to.Current().Revision))); err != nil {
		t.Fatal(err) // a response to its own request is never rejected
	}
}

// outage simulates an outage of the list. Workers can't renew their entries in it; some
// of those that expired are registered again later.
func (f *fleet) outage(t *rapid.T) {
	for _, s := range f.stores {
		s.RecordFailure()
	}
	f.advance(t)
	state := f.list.stateAt(f.list.newestRevision())
	for _, key := range slices.Sorted(maps.Keys(state)) {
		if state[key].Replica != nil && rapid.Bool().Draw(t, "ran out") {
			f.list.log = append(f.list.log, logEntry{magno.Change{Key: key, Revision: f.list.newestRevision() + 1, Deleted: true}, f.clock.Now()})
		}
	}
}

func (f *fleet) advance(t *rapid.T) {
	f.clock.Advance(magno.Millis(rapid.IntRange(1, 2000).Draw(t, "time")))
	for _, s := range f.stores {
		s.Tick()
	}
}

// check compares the state of each process with the model.
func (f *fleet) check(t *rapid.T) {
	now := f.clock.Now()
	for i, s := range f.stores {
		snap := s.Current()
		if snap.Plan != nil {
			if snap.Plan.Version < f.maxPlans[i] {
				t.Fatalf("process %d went back from configuration %d to %d", i, f.maxPlans[i], snap.Plan.Version)
			}
			f.maxPlans[i] = snap.Plan.Version
		}
		for name, n := range f.maxPins[i] {
			if snap.Pins[name] < n {
				t.Fatalf("process %d went back from version %d of %s to %d", i, n, name, snap.Pins[name])
			}
		}
		f.maxPins[i] = snap.Pins
		truth := f.list.stateAt(snap.Revision)
		for key, c := range truth {
			if rec := s.items[key]; rec == nil || !equalChanges(&rec.change, &c) {
				t.Fatalf("process %d at revision %d lacks %s of revision %d", i, snap.Revision, key, c.Revision)
			}
		}
		for key, rec := range s.items {
			if _, there := truth[key]; !there && !rec.change.Deleted {
				t.Fatalf("process %d at revision %d has %s, which the list doesn't have", i, snap.Revision, key)
			}
		}
		if s.confirmedAt > 0 && f.list.revisionBefore(now-s.Age()) > snap.Revision {
			t.Fatalf("process %d reports that revision %d was the newest %d ms ago; it was %d", i, snap.Revision, s.Age(), f.list.revisionBefore(now-s.Age()))
		}
	}
}

// equalChanges reports whether two changes of an item have the same content.
func equalChanges(a, b *magno.Change) bool {
	c := *a
	c.Revision = b.Revision
	if a.Plan != nil && b.Plan != nil { // the order of routes doesn't matter
		p := *a.Plan
		p.Routes = slices.SortedFunc(slices.Values(p.Routes), func(a, b magno.Route) int { return strings.Compare(a.Name, b.Name) })
		c.Plan = &p
	}
	return reflect.DeepEqual(c, *b)
}

// Changes reach processes by full reads, which may be outdated, by pushes from peers,
// which may be lost, and by requests; in between, the list fails and entries expire. No
// process may go back to an older configuration or version, or it would serve requests by
// replaced rules. None may report a revision or an age that it doesn't have, or it would
// never request what it lacks. In the end all processes must have the state of the list.
func TestStateAgainstTheList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet()
		t.Repeat(map[string]func(*rapid.T){
			"write": f.write, "write more": f.write, "read": f.read, "push": f.push, "fetch": f.fetch,
			"pass": f.advance, "outage": f.outage, "": f.check,
		})
		f.settle(t)
	})
}

// settle makes all processes read the list, and compares them with it once all grace
// periods are over.
func (f *fleet) settle(t *rapid.T) {
	for _, s := range f.stores {
		f.follow(s)
	}
	f.clock.Advance(2 * expiryGrace)
	truth := f.list.stateAt(f.list.newestRevision())
	for i, s := range f.stores {
		s.Tick()
		got := s.Current().Replicas
		for key, c := range truth {
			r := c.Replica
			if r == nil {
				continue
			}
			if got[r.ID] == nil || got[r.ID].Leaving != r.Leaving || got[r.ID].Since != r.Since {
				t.Fatalf("process %d has %v for %s, the list has %v", i, got[r.ID], key, r)
			}
		}
		for id := range got {
			if truth["servers/"+id].Replica == nil {
				t.Fatalf("process %d still uses %s, which was deleted", i, id)
			}
		}
	}
}
