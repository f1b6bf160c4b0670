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

// listModel is the reference model of the list: the log of all changes. The revisions in it are
// numbers without an era.
type listModel struct {
	// logs has the log of each era; one begins with a part of the log before.
	logs    [][]logEntry
	version int64
	pins    map[string]int64
	// newest is the newest revision over time.
	newest []logEntry
}

func (l *listModel) era() int64 { return int64(len(l.logs) - 1) }

// append adds a change to the log.
func (l *listModel) append(c magno.Change, at magno.Millis) {
	e := l.era()
	l.logs[e] = append(l.logs[e], logEntry{c, at})
	l.newest = append(l.newest, logEntry{magno.Change{Revision: l.newestRevision()}, at})
}

// restore brings the list back from a copy that lacks the last n changes.
func (l *listModel) restore(n int, at magno.Millis) {
	log := l.logs[l.era()]
	l.logs = append(l.logs, slices.Clone(log[:len(log)-n]))
	l.newest = append(l.newest, logEntry{magno.Change{Revision: l.newestRevision()}, at})
}

// inEra returns a change as the list reports it in an era.
func inEra(c magno.Change, era int64) magno.Change {
	c.Revision = rev(era, c.Revision.Number())
	if c.Replica != nil {
		r := *c.Replica
		r.Since = rev(era, r.Since.Number())
		c.Replica = &r
	}
	return c
}

// stateAt returns the whole list at a revision.
func (l *listModel) stateAt(revision magno.Revision) map[string]magno.Change {
	state := map[string]magno.Change{}
	for _, entry := range l.logs[revision.Era()] {
		if entry.Revision.Number() > revision.Number() {
			break
		}
		if entry.Deleted {
			delete(state, entry.Key)
			continue
		}
		state[entry.Key] = inEra(entry.Change, revision.Era())
	}
	return state
}

// revisionBefore returns the newest revision before a time.
func (l *listModel) revisionBefore(t magno.Millis) magno.Revision {
	revision := magno.Revision(0)
	for _, w := range l.newest {
		if w.writtenAt < t {
			revision = w.Revision
		}
	}
	return revision
}

func (l *listModel) newestRevision() magno.Revision {
	return rev(l.era(), int64(len(l.logs[l.era()])))
}

// nextNumber returns the number of the next change.
func (l *listModel) nextNumber() magno.Revision { return rev(0, l.newestRevision().Number()+1) }

// changesAfter returns the changes after a revision of the present era.
func (l *listModel) changesAfter(revision magno.Revision) []magno.Change {
	var out []magno.Change
	for _, w := range l.logs[l.era()] {
		if w.Revision.Number() > revision.Number() {
			out = append(out, inEra(w.Change, l.era()))
		}
	}
	return out
}

// writtenAt returns when the change of a key at a revision was made, zero if there is none.
func (l *listModel) writtenAt(key string, revision magno.Revision) magno.Millis {
	for _, w := range l.logs[revision.Era()] {
		if w.Key == key && w.Revision.Number() == revision.Number() {
			return w.writtenAt
		}
	}
	return 0
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
	// unusable maps the upstreams that each process knew as leaving or deleted to when that was
	// written.
	unusable []map[string]magno.Millis
}

func newFleet() *fleet {
	f := &fleet{clock: magno.NewClock(magno.Hour), list: listModel{logs: [][]logEntry{nil}, pins: map[string]int64{}}}
	for range 3 {
		f.stores = append(f.stores, &Store{Clock: f.clock})
		f.maxPlans = append(f.maxPlans, 0)
		f.maxPins = append(f.maxPins, map[string]int64{})
		f.unusable = append(f.unusable, map[string]magno.Millis{})
	}
	return f
}

func (f *fleet) pick(t *rapid.T, label string) *Store {
	return f.stores[rapid.IntRange(0, len(f.stores)-1).Draw(t, label)]
}

// write makes an operator or a worker change the list.
func (f *fleet) write(t *rapid.T) {
	revision, newest := f.list.nextNumber(), f.list.newestRevision()
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
		if c = deletionChange(fmt.Sprint(id), revision); f.list.stateAt(newest)[c.Key].Replica == nil {
			return // no such entry
		}
	default:
		c = replicaChange(fmt.Sprint(id), revision, "10.0.0."+fmt.Sprint(id)+":80")
		if old := f.list.stateAt(newest)[c.Key].Replica; old != nil {
			c.Replica.Since = old.Since
			c.Replica.Leaving = rapid.Bool().Draw(t, "leaving")
		}
	}
	f.list.append(c, f.clock.Now())
}

// restore brings the list back from an older copy.
func (f *fleet) restore(t *rapid.T) {
	n := rapid.IntRange(0, 6).Draw(t, "lost")
	f.list.restore(min(n, len(f.list.logs[f.list.era()])), f.clock.Now())
	f.clock.Advance(1)
}

// rewrite makes the operator write the newest versions again.
func (f *fleet) rewrite() {
	if f.list.version > 0 {
		c := planChange(f.list.version, f.list.nextNumber())
		c.Plan.Routes = routesOfVersion(f.list.version)
		f.list.append(c, f.clock.Now())
	}
	for _, name := range slices.Sorted(maps.Keys(f.list.pins)) {
		f.list.append(magno.Change{Key: "pin/" + name, Revision: f.list.nextNumber(), Pin: &magno.Pin{Model: "m", Adapter: name, Number: f.list.pins[name]}}, f.clock.Now())
	}
}

// read makes a process read the whole list, possibly at an earlier revision, and then the
// changes after it, as a watch does.
func (f *fleet) read(t *rapid.T) {
	s := f.pick(t, "reader")
	behind := int64(rapid.IntRange(0, 4).Draw(t, "behind"))
	if known := s.Current().Revision; known > 0 && known.Era() < f.list.era() {
		behind = 0 // after a restore a process makes a consistent read
	}
	old := rev(f.list.era(), max(f.list.newestRevision().Number()-behind, 0))
	s.ApplyRead(f.listing(old), old, true)
	f.follow(s)
}

// listing returns the items of the list at a revision.
func (f *fleet) listing(at magno.Revision) []magno.Change {
	var all []magno.Change
	state := f.list.stateAt(at)
	for _, key := range slices.Sorted(maps.Keys(state)) {
		all = append(all, state[key])
	}
	return all
}

// follow makes a process watch the list. It reads all of it first if that was restored.
func (f *fleet) follow(s *Store) Update {
	if newest := f.list.newestRevision(); s.Current().Revision.Era() < newest.Era() {
		return s.ApplyRead(f.listing(newest), newest, true)
	}
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
	err := to.ApplyUpdate(roundTrip(t, from.Since(to.Current().Revision)))
	switch {
	case to.MustRead():
		f.follow(to)
	case err != nil:
		t.Fatal(err) // another response to its own request is never rejected
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
			f.list.append(magno.Change{Key: key, Revision: f.list.nextNumber(), Deleted: true}, f.clock.Now())
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
			if rec := s.items[key]; rec == nil || !rec.agrees(&c) {
				t.Fatalf("process %d at revision %s has %+v for %+v; %+v now %d", i, snap.Revision, rec, c, s.restore, f.clock.Now())
			}
		}
		for key, rec := range s.items {
			if _, there := truth[key]; !there && rec.change.Replica != nil {
				t.Fatalf("process %d at revision %s has %s, which the list doesn't have", i, snap.Revision, key)
			}
		}
		f.checkUsable(t, i, s)
		if s.confirmedAt > 0 && f.list.revisionBefore(now-s.Age()) > snap.Revision {
			t.Fatalf("process %d reports that revision %d was the newest %d ms ago; it was %d", i, snap.Revision, s.Age(), f.list.revisionBefore(now-s.Age()))
		}
	}
}

// agrees reports whether a record holds an item of the list, now or later, or a newer version.
func (rec *record) agrees(c *magno.Change) bool {
	known := inEra(rec.change, c.Revision.Era())
	switch {
	case rec.pending != nil:
		pending := inEra(*rec.pending, c.Revision.Era())
		return equalChanges(&pending, c)
	case c.Plan != nil && known.Plan != nil && known.Plan.Version > c.Plan.Version:
		return true
	case c.Pin != nil && known.Pin != nil && known.Pin.Number > c.Pin.Number:
		return true
	}
	return equalChanges(&known, c)
}

// checkUsable checks that an upstream which left or said that it leaves isn't used again because
// of what was written before that.
func (f *fleet) checkUsable(t *rapid.T, i int, s *Store) {
	for key, rec := range s.items {
		if rec.change.Plan != nil || rec.change.Pin != nil {
			continue
		}
		at, r := f.list.writtenAt(key, rec.change.Revision), rec.change.Replica
		if r != nil && !r.Leaving && at < f.unusable[i][key] && s.settling() {
			t.Fatalf("process %d uses %s by an entry of %d ms, which left at %d ms", i, key, at, f.unusable[i][key])
		}
		switch {
		case r == nil || r.Leaving:
			f.unusable[i][key] = max(f.unusable[i][key], at)
		case !s.settling() || at >= f.unusable[i][key]:
			delete(f.unusable[i], key) // the list counts as rewritten, or it was written later
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
			"pass": f.advance, "outage": f.outage, "restore": f.restore, "": f.check,
		})
		f.rewrite()
		f.settle(t)
	})
}

// settle makes all processes read the list, and compares them with it once all grace
// periods are over.
func (f *fleet) settle(t *rapid.T) {
	for _, s := range f.stores {
		f.follow(s)
	}
	f.clock.Advance(f.stores[0].settleTime())
	truth := f.list.stateAt(f.list.newestRevision())
	for i, s := range f.stores {
		s.Tick()
		got := s.Current().Replicas
		for key, c := range truth {
			r := c.Replica
			if r == nil {
				continue
			}
			if got[r.ID] == nil || got[r.ID].Leaving != r.Leaving || got[r.ID].Since.Number() != r.Since.Number() {
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
