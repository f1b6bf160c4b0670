package route

import (
	"fmt"
	"slices"
	"testing"

	"magnoliastall.example/magno"
)

func targets(n int) []magno.Target {
	list := make([]magno.Target, n)
	for i := range list {
		list[i] = magno.Target{Name: fmt.Sprintf("t%d", i)}
	}
	return list
}

// A keyed request is repeated through another entry, which has seen other answers and
// failures. Both entries must select the same agent first, or the second agent has to
// ask the witnesses what the first one did.
func TestHomesAgreeBetweenEntries(t *testing.T) {
	a, b := &Router{Seed: 1}, &Router{Seed: 2}
	a.Update(targets(13))
	b.Update(targets(13))
	for i := range 13 {
		b.Ended(fmt.Sprintf("t%d", i), 100, 5000, i%2 == 0)
	}
	ref := magno.Ref{Adapter: "a", Version: "v"}
	used := map[string]bool{}
	for i := range 200 {
		key := fmt.Sprintf("key %d", i)
		for _, r := range []magno.Ref{ref, {}} {
			if x, y := a.Homes(magno.Query{Ref: r}, key, 3), b.Homes(magno.Query{Ref: r}, key, 3); !slices.Equal(x, y) || len(x) != 3 {
				t.Fatalf("the entries choose %v and %v", x, y)
			}
		}
		used[a.Homes(magno.Query{Ref: ref}, key, 1)[0]] = true
	}
	if len(used) != coldHomes {
		t.Errorf("keys of one adapter are spread over %d targets", len(used))
	}
}

// When an agent leaves, only its own keys may move: others would lose the ledger that
// has them.
func TestHomesMoveOnlyWithTheirTarget(t *testing.T) {
	r := &Router{}
	r.Update(targets(13))
	before := map[string]string{}
	for i := range 500 {
		key := fmt.Sprintf("key %d", i)
		before[key] = r.Homes(magno.Query{}, key, 1)[0]
	}
	list := targets(13)
	list[4].Leaving = true
	r.Update(list)
	for key, home := range before {
		if got := r.Homes(magno.Query{}, key, 1)[0]; got != home && home != "t4" {
			t.Errorf("%s moved from %s to %s", key, home, got)
		}
	}
}

func BenchmarkHomes(b *testing.B) {
	for _, n := range []int{18, 10000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			r := &Router{}
			r.Update(targets(n))
			for i := 0; b.Loop(); i++ {
				r.Homes(magno.Query{Ref: magno.Ref{Adapter: "a"}}, fmt.Sprint(i), 3)
			}
		})
	}
}
