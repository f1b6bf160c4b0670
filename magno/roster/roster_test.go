package roster

import (
	"fmt"
	"slices"
	"testing"

	"magnoliastall.example/magno"
)

func newRoster(n, centres int) magno.Roster {
	r := magno.Roster{Since: 100, Until: 200, DataCentres: map[string]string{}}
	for i := range n {
		name := fmt.Sprint("i", i)
		r.Members = append(r.Members, name)
		r.DataCentres[name] = fmt.Sprint("dc", i%centres)
	}
	return r
}

// Guards against keys that can't be granted when a data centre is lost, or are
// granted twice when it is partitioned while its instances are restarted elsewhere.
// Either happens if one data centre holds more than two of a key's seven witnesses.
func TestNoDataCentreHoldsMoreThanTwo(t *testing.T) {
	for _, n := range []int{8, 13, 22, 40} {
		for k := range 300 {
			r := newRoster(n, 4)
			set, ok := WitnessesFor([]magno.Roster{r}, fmt.Sprint("key", k), 150)
			if !ok || len(set.Members) != 7 || set.Quorum != 5 {
				t.Fatalf("%+v", set)
			}
			in := map[string]int{}
			for i, m := range set.Members {
				in[r.DataCentres[m]]++
				if slices.Contains(set.Members[:i], m) || in[r.DataCentres[m]] > 2 {
					t.Fatalf("of %d, key %d: %v", n, k, set.Members)
				}
			}
		}
	}
}

func TestSmallRosters(t *testing.T) {
	quorums := []int{1, 2, 3, 3, 4, 4, 5, 5}
	for i, want := range quorums {
		n := i + 1
		set, _ := WitnessesFor([]magno.Roster{newRoster(n, 4)}, "key", 150)
		if len(set.Members) != min(n, SetSize) || set.Quorum != want {
			t.Errorf("of %d: %+v", n, set)
		}
	}
	crowded := newRoster(9, 1)
	if set, _ := WitnessesFor([]magno.Roster{crowded}, "key", 150); len(set.Members) != 7 {
		t.Errorf("in one data centre: %+v", set)
	}
}

// Guards against two processes asking different witnesses for one key, because they
// list the members in a different order or the key was issued at the boundary of a
// roster.
func TestOneSetForAKey(t *testing.T) {
	r, other := newRoster(13, 4), newRoster(13, 4)
	slices.Reverse(other.Members)
	a, _ := WitnessesFor([]magno.Roster{r}, "key", 150)
	b, _ := WitnessesFor([]magno.Roster{other}, "key", 150)
	if !slices.Equal(a.Members, b.Members) {
		t.Errorf("%v and %v", a.Members, b.Members)
	}
	for at, want := range map[magno.Millis]bool{99: false, 100: true, 199: true, 200: false} {
		if _, ok := WitnessesFor([]magno.Roster{r}, "key", at); ok != want {
			t.Errorf("at %d: %v", at, ok)
		}
	}
}

// Guards against giving one key two sets of witnesses while some processes hold the old
// configuration, because a new configuration changes a roster for a period that the old
// one covers.
func TestFollows(t *testing.T) {
	at := func(since, until magno.Millis, n int) magno.Roster {
		r := newRoster(n, 4)
		r.Since, r.Until = since, until
		return r
	}
	moved := at(0, 100, 8)
	moved.DataCentres["i0"] = "dc3"
	old := []magno.Roster{at(0, 100, 8)}
	tests := []struct {
		name string
		next []magno.Roster
		past magno.Millis
		ok   bool
	}{
		{"the same", old, 0, true},
		{"a longer one", []magno.Roster{at(0, 150, 8)}, 0, true},
		{"a successor", []magno.Roster{at(0, 100, 8), at(100, 200, 9)}, 0, true},
		{"the ended one gone", []magno.Roster{at(100, 200, 9)}, 100, true},
		{"the running one gone", []magno.Roster{at(100, 200, 9)}, 99, false},
		{"a shorter one", []magno.Roster{at(0, 90, 8)}, 0, false},
		{"other members", []magno.Roster{at(0, 100, 9)}, 0, false},
		{"a member in another data centre", []magno.Roster{moved}, 0, false},
		{"an overlap", []magno.Roster{at(0, 100, 8), at(99, 200, 9)}, 0, false},
		{"no members", []magno.Roster{at(0, 100, 8), at(100, 200, 0)}, 0, false},
		{"no end", []magno.Roster{at(0, 100, 8), at(100, 0, 8)}, 0, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if err := ValidateSuccessor(old, tt.next, tt.past); (err == nil) != tt.ok {
				t.Fatalf("got %v", err)
			}
		})
	}
}

func BenchmarkFor(b *testing.B) {
	for _, n := range []int{13, 22, 200, 2600} {
		rosters := []magno.Roster{newRoster(n, 4)}
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for i := range b.N {
				WitnessesFor(rosters, fmt.Sprint("key", i), 150)
			}
		})
	}
}
