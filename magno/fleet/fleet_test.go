package fleet

import (
	"encoding/json"
	"testing"

	"magnoliastall.example/magno"
)

// FuzzList applies arbitrary lists. An older list must never replace a newer one.
func FuzzList(f *testing.F) {
	for _, seed := range []string{
		`{"revision": 2, "instances": [{"name": "a", "role": "agent", "pool": "p", "state": "live"}]}`,
		`{"revision": 0, "instances": [{"name": ""}, {"name": "", "state": "new"}]}`, `{"instances": null}`, `{"revision": -1}`, `null`,
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		fl := &Fleet{Clock: magno.NewClock(magno.Hour)}
		fl.apply(list{Revision: 1, Instances: []magno.Instance{{Name: "known"}}})
		var l list
		if json.Unmarshal(data, &l) != nil {
			return
		}
		applied := fl.apply(l)
		at, err := l.at()
		newer := err == nil && at > 1
		if _, ok := fl.Find("known"); applied != newer || (!applied && !ok) {
			t.Errorf("%q: applied %v", data, applied)
		}
		for _, in := range fl.LiveAgents("p") {
			if found, ok := fl.Find(in.Name); !ok || found.Role != magno.RoleAgent {
				t.Errorf("%q: found %v", data, found)
			}
		}
	})
}

// Guards against an older list of a lagging replica that brings back instances which
// are gone, and against a list that is ignored for ever after its revisions were
// reset: the process would send work to instances of long ago until it is replaced.
func TestOlderRevisions(t *testing.T) {
	clock := magno.NewClock(1_000_000)
	f := &Fleet{Clock: clock}
	at := func(revision int64, name string) list {
		return list{Revision: revision, Instances: []magno.Instance{{Name: name, State: magno.InstanceLive}}}
	}
	if !f.apply(at(7, "new")) || f.apply(at(6, "old")) {
		t.Fatal("an older list of a replica was applied")
	}
	for range 10 {
		clock.Advance(revisionResetAfter / 4)
		if f.apply(at(6, "old")) {
			t.Fatal("an older list was applied between newer ones")
		}
		f.apply(at(7, "new"))
	}
	for range 4 {
		clock.Advance(revisionResetAfter / 4)
		f.apply(at(1, "anew"))
	}
	if _, ok := f.Find("anew"); !ok {
		t.Error("a list with reset revisions was not applied")
	}
	if !f.apply(at(2, "next")) {
		t.Error("the next revision after the reset was not applied")
	}
}

// Guards against ignoring a list that came back from an older copy for as long as one of a
// lagging replica.
func TestListOfALaterEraIsAppliedAtOnce(t *testing.T) {
	f := &Fleet{Clock: magno.NewClock(magno.Hour)}
	f.apply(list{Revision: 9, Instances: []magno.Instance{{Name: "before"}}})
	if !f.apply(list{Era: 1, Revision: 4, Instances: []magno.Instance{{Name: "after"}}}) {
		t.Error("the list of the later era is ignored")
	}
	if f.apply(list{Revision: 10, Instances: []magno.Instance{{Name: "before"}}}) {
		t.Error("a list of the earlier era is applied")
	}
}
