package turn

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"magnoliastall.example/magno"
)

// Agents die with a turn, end one late or twice, and the keeper is replaced
// by one that knows nothing. If a place were freed twice, or a dead holder's
// never, the store would be asked for more loads than it allows, or for none.
func TestTurns(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		clock := magno.NewClock(1_000_000)
		fresh := func() *Coordinator { return &Coordinator{Clock: clock, Rate: 6, MaxLoads: 2, LoadTime: 300} }
		k := fresh()
		// held maps a turn to when it is over at the latest.
		held := map[uint64]magno.Millis{}
		var given []magno.Millis
		var known []uint64
		give := func(t *rapid.T) {
			now := clock.Now()
			for id, until := range held {
				if now >= until {
					delete(held, id)
				}
			}
			for _, turn := range k.Grant() {
				held[turn.ID] = now + turn.Left + Grace
				known = append(known, turn.ID)
				given = append(given, now)
			}
			if len(held) > k.MaxLoads {
				t.Fatalf("%d turns at once, %d allowed", len(held), k.MaxLoads)
			}
			for i := range given {
				n := float64(len(given) - i)
				if span := float64(now-given[i]) / 1000; n > span*k.Rate+2 {
					t.Fatalf("%v turns in %v s", n, span)
				}
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"want": func(t *rapid.T) {
				agent := fmt.Sprintf("a%d", rapid.IntRange(0, 9).Draw(t, "agent"))
				k.Submit(Request{Agent: agent, DelayCost: rapid.Float64Range(0, 100).Draw(t, "harm")})
			},
			"give":  give,
			"give2": give,
			"end": func(t *rapid.T) {
				if len(known) == 0 {
					return
				}
				id := rapid.SampledFrom(known).Draw(t, "id")
				until, stands := held[id]
				if got := k.Release(id); got && (!stands || clock.Now() > until+Grace) {
					t.Fatalf("turn %d ended twice", id)
				}
				delete(held, id)
			},
			"time": func(t *rapid.T) { clock.Advance(magno.Millis(rapid.IntRange(1, 400).Draw(t, "ms"))) },
			"replace": func(t *rapid.T) {
				if rapid.IntRange(0, 20).Draw(t, "replace") == 20 {
					k = fresh()
				}
			},
		})
	})
}

// All upstreams want loads after a shift. The most harmful wait goes first,
// whoever asked first.
func TestMostHarmfulFirst(t *testing.T) {
	clock := magno.NewClock(1_000_000)
	k := &Coordinator{Clock: clock, Rate: 2, MaxLoads: 1, LoadTime: 500}
	k.Grant()
	clock.Advance(k.LeaseTime() + Grace)
	for i, harm := range []float64{1, 9, 5} {
		k.Submit(Request{Agent: fmt.Sprint(i), DelayCost: harm})
	}
	for _, want := range []string{"1", "2", "0"} {
		turns := k.Grant()
		if len(turns) != 1 || turns[0].Agent != want {
			t.Fatalf("got %+v, want %s", turns, want)
		}
		if !k.Release(turns[0].ID) || k.Release(turns[0].ID) {
			t.Fatal("a turn doesn't end once")
		}
		clock.Advance(500)
	}
}
