package turn

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"magnoliastall.example/magno"
)

// Agents fail while they hold a turn, release one late or twice, and the coordinator is
// replaced by one without state. If a turn were released twice, or never after its holder
// failed, the store would get more loads than it allows, or none.
func TestTurns(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		clock := magno.NewClock(1_000_000)
		newCoordinator := func() *Coordinator { return &Coordinator{Clock: clock, Rate: 6, MaxLoads: 2, LoadTime: 300} }
		c := newCoordinator()
		// held maps each turn to its latest end.
		held := map[uint64]magno.Millis{}
		var grantTimes []magno.Millis
		var ids []uint64
		grant := func(t *rapid.T) {
			now := clock.Now()
			for id, until := range held {
				if now >= until {
					delete(held, id)
				}
			}
			for _, turn := range c.Grant() {
				held[turn.ID] = now + turn.Left + Grace
				ids = append(ids, turn.ID)
				grantTimes = append(grantTimes, now)
			}
			if len(held) > c.MaxLoads {
				t.Fatalf("%d concurrent turns, want at most %d", len(held), c.MaxLoads)
			}
			for i := range grantTimes {
				n := float64(len(grantTimes) - i)
				if span := float64(now-grantTimes[i]) / 1000; n > span*c.Rate+2 {
					t.Fatalf("%v turns were granted in %v s", n, span)
				}
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"want": func(t *rapid.T) {
				agent := fmt.Sprintf("a%d", rapid.IntRange(0, 9).Draw(t, "agent"))
				c.Submit(Request{Agent: agent, DelayCost: rapid.Float64Range(0, 100).Draw(t, "harm")})
			},
			"give":  grant,
			"give2": grant,
			"end": func(t *rapid.T) {
				if len(ids) == 0 {
					return
				}
				id := rapid.SampledFrom(ids).Draw(t, "id")
				until, active := held[id]
				if got := c.Release(id); got && (!active || clock.Now() > until+Grace) {
					t.Fatalf("turn %d was released twice", id)
				}
				delete(held, id)
			},
			"time": func(t *rapid.T) { clock.Advance(magno.Millis(rapid.IntRange(1, 400).Draw(t, "ms"))) },
			"replace": func(t *rapid.T) {
				if rapid.IntRange(0, 20).Draw(t, "replace") == 20 {
					c = newCoordinator()
				}
			},
		})
	})
}

// After a shift in popularity all upstreams want to load. The request with the highest delay
// cost is granted first, whatever the order of requests.
func TestMostCostlyFirst(t *testing.T) {
	clock := magno.NewClock(1_000_000)
	c := &Coordinator{Clock: clock, Rate: 2, MaxLoads: 1, LoadTime: 500}
	c.Grant()
	clock.Advance(c.LeaseTime() + Grace)
	for i, cost := range []float64{1, 9, 5} {
		c.Submit(Request{Agent: fmt.Sprint(i), DelayCost: cost})
	}
	for _, want := range []string{"1", "2", "0"} {
		turns := c.Grant()
		if len(turns) != 1 || turns[0].Agent != want {
			t.Fatalf("got %+v, want %s", turns, want)
		}
		if !c.Release(turns[0].ID) || c.Release(turns[0].ID) {
			t.Fatal("a turn was not released exactly once")
		}
		clock.Advance(500)
	}
}
