package fleet

import (
	"encoding/json"
	"testing"

	"magnoliastall.example/magno"
)

// FuzzList reads what the platform may answer. An older list never takes the
// place of a newer one.
func FuzzList(f *testing.F) {
	for _, seed := range []string{
		`{"revision": 2, "instances": [{"name": "a", "role": "agent", "pool": "p", "state": "live"}]}`,
		`{"revision": 0, "instances": [{"name": ""}, {"name": "", "state": "new"}]}`, `{"instances": null}`, `{"revision": -1}`, `null`,
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		fl := &Fleet{Clock: magno.NewClock(magno.Hour)}
		fl.take(list{Revision: 1, Instances: []magno.Instance{{Name: "known"}}})
		var l list
		if json.Unmarshal(data, &l) != nil {
			return
		}
		taken := fl.take(l)
		if _, ok := fl.Find("known"); taken != (l.Revision > 1) || (!taken && !ok) {
			t.Errorf("%q: taken %v", data, taken)
		}
		for _, in := range fl.LiveAgents("p") {
			if found, ok := fl.Find(in.Name); !ok || found.Role != magno.RoleAgent {
				t.Errorf("%q: %v", data, found)
			}
		}
	})
}

// The platform's list is served by replicas that lag, and one day it is set up
// anew and counts from one again. An older answer in between must not bring
// back instances that are gone; but a list that counts anew must be heard, or
// the process sends work to instances of long ago until it is replaced.
func TestOlderRevisions(t *testing.T) {
	clock := magno.NewClock(1_000_000)
	f := &Fleet{Clock: clock}
	at := func(revision int64, name string) list {
		return list{Revision: revision, Instances: []magno.Instance{{Name: name, State: magno.InstanceLive}}}
	}
	if !f.take(at(7, "new")) || f.take(at(6, "old")) {
		t.Fatal("an older answer of a replica was taken")
	}
	for range 10 {
		clock.Advance(renumbered / 4)
		if f.take(at(6, "old")) {
			t.Fatal("an older answer was taken between newer ones")
		}
		f.take(at(7, "new"))
	}
	for range 4 {
		clock.Advance(renumbered / 4)
		f.take(at(1, "anew"))
	}
	if _, ok := f.Find("anew"); !ok {
		t.Error("a list that counts anew is never heard")
	}
	if !f.take(at(2, "next")) {
		t.Error("its next revision isn't taken")
	}
}
