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

// written is a change of the list and when it was made.
type written struct {
	magno.Change
	at magno.Millis
}

// list is the truth: all that was ever written.
type list struct {
	log     []written
	version int64
	pins    map[string]int64
}

// asOf returns the whole list as it was at a revision.
func (l *list) asOf(revision int64) map[string]magno.Change {
	state := map[string]magno.Change{}
	for _, w := range l.log {
		if w.Revision > revision {
			break
		}
		if w.Deleted {
			delete(state, w.Key)
			continue
		}
		state[w.Key] = w.Change
	}
	return state
}

// at is the newest revision before a time.
func (l *list) at(t magno.Millis) int64 {
	revision := int64(0)
	for _, w := range l.log {
		if w.at < t {
			revision = w.Revision
		}
	}
	return revision
}

func (l *list) newest() int64 { return int64(len(l.log)) }

// after lists the changes after a revision.
func (l *list) after(revision int64) []magno.Change {
	var out []magno.Change
	for _, w := range l.log {
		if w.Revision > revision {
			out = append(out, w.Change)
		}
	}
	return out
}

// fleet is a few processes that read the list or hear of it from each other.
type fleet struct {
	clock *magno.Clock
	list  list
	books []*Store
	// plans and pins are what each process was seen to know; neither may fall.
	plans []int64
	pins  []map[string]int64
}

func newFleet() *fleet {
	f := &fleet{clock: magno.NewClock(magno.Hour), list: list{pins: map[string]int64{}}}
	for range 3 {
		f.books = append(f.books, &Store{Clock: f.clock})
		f.plans = append(f.plans, 0)
		f.pins = append(f.pins, map[string]int64{})
	}
	return f
}

func (f *fleet) pick(t *rapid.T, label string) *Store {
	return f.books[rapid.IntRange(0, len(f.books)-1).Draw(t, label)]
}

// write has the operator or a worker change the list.
func (f *fleet) write(t *rapid.T) {
	revision := f.list.newest() + 1
	id := rapid.IntRange(0, 4).Draw(t, "id")
	var c magno.Change
	switch rapid.IntRange(0, 5).Draw(t, "kind") {
	case 0:
		f.list.version += int64(rapid.IntRange(1, 3).Draw(t, "step"))
		c = plan(f.list.version, revision)
		c.Plan.Routes = ofVersion(f.list.version)
	case 1:
		name := fmt.Sprint("a", id)
		f.list.pins[name]++
		c = magno.Change{Key: "pin/" + name, Revision: revision, Pin: &magno.Pin{Model: "m", Adapter: name, Number: f.list.pins[name]}}
	case 2:
		if c = down(fmt.Sprint(id), revision); f.list.asOf(revision)[c.Key].Replica == nil {
			return // it isn't there
		}
	default:
		c = up(fmt.Sprint(id), revision, "10.0.0."+fmt.Sprint(id)+":80")
		if old := f.list.asOf(revision)[c.Key].Replica; old != nil {
			c.Replica.Since = old.Since
			c.Replica.Leaving = rapid.Bool().Draw(t, "leaving")
		}
	}
	f.list.log = append(f.list.log, written{c, f.clock.Now()})
}

// read has a process read everything, as it was a while ago, and follow it up
// as a watch does.
func (f *fleet) read(t *rapid.T) {
	b := f.pick(t, "reader")
	old := max(f.list.newest()-int64(rapid.IntRange(0, 4).Draw(t, "behind")), 0)
	var all []magno.Change
	state := f.list.asOf(old)
	for _, key := range slices.Sorted(maps.Keys(state)) {
		all = append(all, state[key])
	}
	b.ApplyRead(all, old, true)
	f.follow(b)
}

func (f *fleet) follow(b *Store) Update {
	return b.ApplyRead(f.list.after(b.Current().Revision), f.list.newest(), false)
}

// push has a reader watch, and tell those of the others that it reaches.
func (f *fleet) push(t *rapid.T) {
	b := f.pick(t, "reader")
	news := f.follow(b)
	for _, other := range f.books {
		if other != b && rapid.Bool().Draw(t, "reached") {
			_ = other.ApplyUpdate(carried(t, news)) // what it can't use it asks for later
		}
	}
}

// ofVersion are routes of which successive versions change, add and remove a few.
func ofVersion(version int64) []magno.Route {
	var list []magno.Route
	for i := range int64(8) {
		if (i+version)%5 != 0 {
			list = append(list, magno.Route{Name: fmt.Sprint(i), Timeout: magno.Millis(1 + (i*version)%3)})
		}
	}
	return list
}

// carried is news as another process decodes them.
func carried(t *rapid.T, n Update) (got Update) {
	data, err := json.Marshal(n)
	if err != nil {
		t.Fatal(err)
	}
	if err := json.Unmarshal(data, &got); err != nil {
		t.Fatal(err)
	}
	return got
}

// fetch has one process ask another for what it lacks.
func (f *fleet) fetch(t *rapid.T) {
	from, to := f.pick(t, "from"), f.pick(t, "to")
	if err := to.ApplyUpdate(carried(t, from.Since(to.Current().Revision))); err != nil {
		t.Fatal(err) // an answer to what it asked
	}
}

// outage lasts for a while; workers cannot renew their entries in it, and some
// of those that run out are written again after it.
func (f *fleet) outage(t *rapid.T) {
	for _, b := range f.books {
		b.RecordFailure()
	}
	f.pass(t)
	state := f.list.asOf(f.list.newest())
	for _, key := range slices.Sorted(maps.Keys(state)) {
		if state[key].Replica != nil && rapid.Bool().Draw(t, "ran out") {
			f.list.log = append(f.list.log, written{magno.Change{Key: key, Revision: f.list.newest() + 1, Deleted: true}, f.clock.Now()})
		}
	}
}

func (f *fleet) pass(t *rapid.T) {
	f.clock.Advance(magno.Millis(rapid.IntRange(1, 2000).Draw(t, "time")))
	for _, b := range f.books {
		b.Tick()
	}
}

// check holds what each process believes against the truth.
func (f *fleet) check(t *rapid.T) {
	now := f.clock.Now()
	for i, b := range f.books {
		snap := b.Current()
		if snap.Plan != nil {
			if snap.Plan.Version < f.plans[i] {
				t.Fatalf("process %d goes back from configuration %d to %d", i, f.plans[i], snap.Plan.Version)
			}
			f.plans[i] = snap.Plan.Version
		}
		for name, n := range f.pins[i] {
			if snap.Pins[name] < n {
				t.Fatalf("process %d goes back from version %d of %s to %d", i, n, name, snap.Pins[name])
			}
		}
		f.pins[i] = snap.Pins
		truth := f.list.asOf(snap.Revision)
		for key, c := range truth {
			if rec := b.items[key]; rec == nil || !says(&rec.change, &c) {
				t.Fatalf("process %d states revision %d and lacks %s of %d", i, snap.Revision, key, c.Revision)
			}
		}
		for key, rec := range b.items {
			if _, there := truth[key]; !there && !rec.change.Deleted {
				t.Fatalf("process %d states revision %d and has %s, which isn't there", i, snap.Revision, key)
			}
		}
		if b.confirmed > 0 && f.list.at(now-b.Age()) > snap.Revision {
			t.Fatalf("process %d states that revision %d was the newest %d ms ago; it was %d", i, snap.Revision, b.Age(), f.list.at(now-b.Age()))
		}
	}
}

// says tells whether two changes of an item have the same content.
func says(a, b *magno.Change) bool {
	c := *a
	c.Revision = b.Revision
	if a.Plan != nil && b.Plan != nil { // routes have no order
		p := *a.Plan
		p.Routes = slices.SortedFunc(slices.Values(p.Routes), func(a, b magno.Route) int { return strings.Compare(a.Name, b.Name) })
		c.Plan = &p
	}
	return reflect.DeepEqual(c, *b)
}

// Changes reach processes by their own reading, which may be old, by what peers
// push, which may be lost, and by asking; in between the list fails and entries
// run out. No process goes back to an older configuration or version, or states
// a revision or an age that it doesn't have: the first serves callers by rules
// that were replaced, the others keep it from asking for what it lacks. In the
// end all believe what is true.
func TestBeliefsAgainstTheList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet()
		t.Repeat(map[string]func(*rapid.T){
			"write": f.write, "write more": f.write, "read": f.read, "push": f.push, "fetch": f.fetch,
			"pass": f.pass, "outage": f.outage, "": f.check,
		})
		f.settle(t)
	})
}

// settle has all read, and compares them to the list once lapses are over.
func (f *fleet) settle(t *rapid.T) {
	for _, b := range f.books {
		f.follow(b)
	}
	f.clock.Advance(2 * lapseGrace)
	truth := f.list.asOf(f.list.newest())
	for i, b := range f.books {
		b.Tick()
		got := b.Current().Replicas
		for key, c := range truth {
			r := c.Replica
			if r == nil {
				continue
			}
			if got[r.ID] == nil || got[r.ID].Leaving != r.Leaving || got[r.ID].Since != r.Since {
				t.Fatalf("process %d has %v of %s, the list %v", i, got[r.ID], key, r)
			}
		}
		for id := range got {
			if truth["servers/"+id].Replica == nil {
				t.Fatalf("process %d still uses %s, which is gone", i, id)
			}
		}
	}
}
