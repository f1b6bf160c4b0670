package grant

import (
	"fmt"
	"slices"
	"testing"

	"magnoliastall.example/magno"
)

// limit gives 1,125 a second at a steady pace.
var limit = magno.Limit{Rate: 1000, Burst: 1000, Tokens: true}

const window = 8 * magno.Second

// drained is a home past its first window whose customer has used all of its burst.
func drained(t *testing.T) (*Granter, *magno.Clock) {
	t.Helper()
	clock := magno.NewClock(magno.Hour)
	g := &Granter{Clock: clock, Window: window}
	g.Grant(Request{Customer: "a", Need: 1, Least: 1, Want: 1}, limit, 4, 4)
	clock.Advance(window)
	if r := g.Grant(Request{Customer: "a", Need: 1000, Least: 1000, Want: 1000}, limit, 4, 4); r.Granted != 1000 {
		t.Fatalf("granted %v of the burst", r.Granted)
	}
	return g, clock
}

// Guards against a home that takes over and grants a burst, which the one before may just
// have granted.
func TestNewHomeGrantsTheRateOnly(t *testing.T) {
	clock := magno.NewClock(magno.Hour)
	g := &Granter{Clock: clock, Window: window}
	sum, total := 0.0, limit.Rate*8+limit.Burst
	for at := magno.Millis(0); at < window; at += 100 {
		sum += g.Grant(Request{Customer: "a", Need: 10000, Least: 1, Want: 10000}, limit, 4, 4).Granted
		if most := startWindow*total + limit.Rate*float64(at)/1000; sum > most+1 || sum < most-1 {
			t.Fatalf("%v granted after %d ms, want %v", sum, at, most)
		}
		clock.Advance(100)
	}
}

func TestNeedsBeforeWants(t *testing.T) {
	g, clock := drained(t)
	clock.Advance(600)
	r := g.Grant(Request{Customer: "a", Need: 200, Least: 200, Want: 1000}, limit, 4, 4)
	if r.Granted < 315 || r.Granted > 320 || r.RetryAfter != 0 {
		t.Errorf("granted %v of 675 for a need of 200, want some 319: a part of what is left", r.Granted)
	}
}

func TestPartOfANeedIsGranted(t *testing.T) {
	g, clock := drained(t)
	clock.Advance(300)
	r := g.Grant(Request{Customer: "a", Need: 900, Least: 100, Want: 900}, limit, 4, 4)
	if r.Granted < 337 || r.Granted > 338 || r.RetryAfter < 490 || r.RetryAfter > 510 {
		t.Errorf("granted %v, the rest after %d ms; want some 337 and 500 ms", r.Granted, r.RetryAfter)
	}
}

// Guards against all that were turned away coming back at the same moment.
func TestThoseTurnedAwayComeBackOneAfterTheOther(t *testing.T) {
	g, _ := drained(t)
	var last magno.Millis
	for range 5 {
		r := g.Grant(Request{Customer: "a", Need: 100, Least: 100, Want: 100}, limit, 4, 4)
		if r.Granted != 0 || r.RetryAfter < last+80 {
			t.Fatalf("granted %v, to come back after %d ms and one before after %d", r.Granted, r.RetryAfter, last)
		}
		last = r.RetryAfter
	}
}

// Guards against two halves of a fleet that each grant the whole allowance, and against
// a fleet with a few processes down that grants less than it.
func TestHomesThatAreCutOffGrantTheirPart(t *testing.T) {
	for _, c := range []struct {
		alive, known int
		want         float64
	}{{30, 30, 1000}, {23, 30, 1000}, {15, 30, 500}, {1, 30, 1000. / 30}, {1, 1, 1000}} {
		clock := magno.NewClock(magno.Hour)
		g := &Granter{Clock: clock, Window: window}
		g.Grant(Request{Customer: "a"}, limit, c.alive, c.known)
		clock.Advance(magno.Second)
		r := g.Grant(Request{Customer: "a", Need: 5000, Least: 1, Want: 5000}, limit, c.alive, c.known)
		if r.Granted < c.want-1 || r.Granted > c.want*1.13 {
			t.Errorf("%d of %d alive: %v granted in a second, want %v", c.alive, c.known, r.Granted, c.want)
		}
	}
}

func TestLoweredLimitBindsAtOnce(t *testing.T) {
	g, clock := drained(t)
	clock.Advance(magno.Second)
	low := magno.Limit{Rate: 100, Burst: 100, Tokens: true}
	if r := g.Grant(Request{Customer: "a", Need: 400, Least: 100, Want: 400}, low, 4, 4); r.Granted > 100 {
		t.Errorf("granted %v of a burst that is 100 now", r.Granted)
	}
}

func TestWhatIsGivenBackIsGrantedAgain(t *testing.T) {
	g, _ := drained(t)
	g.Grant(Request{Customer: "a", Returned: 300}, limit, 4, 4)
	if r := g.Grant(Request{Customer: "a", Need: 300, Least: 300, Want: 300}, limit, 4, 4); r.Granted != 300 {
		t.Errorf("granted %v of 300 that were given back", r.Granted)
	}
}

// Guards against refusing a customer that sends steadily what its limit allows in any
// window, its burst included, and against more than that however it comes.
func TestWindowHasRateAndBurstOnce(t *testing.T) {
	for _, c := range []struct {
		name  string
		pause magno.Millis
		need  float64
		least float64
	}{
		{"steady, a little below", 10, 11, 8500},
		{"far more", 10, 50, 8700},
		{"at once, each three seconds", 3000, 4000, 3000},
	} {
		clock := magno.NewClock(magno.Hour)
		g := &Granter{Clock: clock, Window: window}
		type grant struct {
			at     magno.Millis
			amount float64
		}
		var grants []grant
		var last float64
		for end := clock.Now() + 40*magno.Second; clock.Now() < end; clock.Advance(c.pause) {
			r := g.Grant(Request{Customer: "a", Need: c.need, Least: min(c.need, 10), Want: c.need}, limit, 4, 4)
			grants = append(grants, grant{clock.Now(), r.Granted})
			last = 0
			for _, x := range grants {
				if clock.Now()-x.at < window {
					last += x.amount
				}
			}
			if most := 9000.0; last > most+1 {
				t.Fatalf("%s: %v in a window of %v", c.name, last, most)
			}
		}
		if last < c.least {
			t.Errorf("%s: %v in the last window, want %v", c.name, last, c.least)
		}
	}
}

func TestOnlyTheCustomersOfALostHomeMove(t *testing.T) {
	addrs := []string{"10.0.0.1:7", "10.0.0.2:7", "10.0.0.3:7", "10.0.0.4:7"}
	moved := 0
	for i := range 100 {
		customer := fmt.Sprint("c", i)
		before := SortHomes(customer, slices.Clone(addrs))
		after := SortHomes(customer, slices.Clone(addrs[1:]))
		switch {
		case before[0] == addrs[0] && after[0] == before[1]:
			moved++
		case before[0] != after[0]:
			t.Errorf("%s moves from %s to %s", customer, before[0], after[0])
		}
	}
	if moved < 10 || moved > 45 {
		t.Errorf("%d of 100 customers move with one of four homes", moved)
	}
}
