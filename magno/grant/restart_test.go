package grant

import (
	"testing"

	"magnoliastall.example/magno"
	"magnoliastall.example/magno/slide"
)

// overshoot is the part by which the platform allows a customer to exceed its limit.
const overshoot = 0.25

// Guards against homes that are killed again and again right after they granted the burst: what each
// of them granted within the window is forgotten, and counts all the same.
func TestHomesThatAreKilledStayWithinTheLimit(t *testing.T) {
	for _, c := range []struct {
		name  string
		limit magno.Limit
		cost  float64
	}{
		{"tokens", limit, 50},
		{"requests", magno.Limit{Rate: 20, Burst: 40}, 1},
	} {
		for _, life := range []magno.Millis{window / 2, window / 4, window / 8} {
			clock := magno.NewClock(magno.Hour)
			granted := slide.Sum{Window: window}
			most := 0.0
			ask := func(g *Granter) {
				for {
					r := g.Grant(Request{Customer: "a", Need: c.cost, Least: c.cost, Want: c.cost}, c.limit, 4, 4)
					if r.Granted == 0 {
						break
					}
					granted.Add(r.Granted, clock.Now())
				}
				most = max(most, granted.Total(clock.Now()))
			}
			g := &Granter{Clock: clock, Window: window}
			g.Grant(Request{Customer: "a", Need: c.cost, Least: c.cost, Want: c.cost}, c.limit, 4, 4)
			clock.Advance(2 * window)
			ask(g) // the whole burst at once, right before the kill
			for clock.Now() < magno.Hour+4*window {
				g = &Granter{Clock: clock, Window: window}
				for end := clock.Now() + life; clock.Now() < end; clock.Advance(100) {
					ask(g)
				}
			}
			allowed := (c.limit.Rate*float64(window)/1000 + c.limit.Burst) * (1 + overshoot)
			t.Logf("%s, killed each %d ms: %.0f in a window, allowed %.0f", c.name, life, most, allowed)
			if most > allowed {
				t.Errorf("%s, killed each %d ms: %.0f in a window, allowed %.0f", c.name, life, most, allowed)
			}
		}
	}
}
