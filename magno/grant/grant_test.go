package grant

import (
	"testing"

	"magnoliastall.example/magno"
)

var limit = magno.Limit{Rate: 1000, Burst: 1000, Tokens: true}

// drained is a home whose customer has used all of its allowance.
func drained(t *testing.T) (*Grants, *magno.Clock) {
	t.Helper()
	clock := magno.NewClock(magno.Hour)
	g := &Grants{Clock: clock}
	if r := g.Grant(Ask{Customer: "a", Need: 500, Least: 500, Want: 500}, limit, 4, 4); r.Granted != 500 {
		t.Fatalf("a new home grants %v of half its burst", r.Granted)
	}
	return g, clock
}

func TestNeedsBeforeWants(t *testing.T) {
	g, clock := drained(t)
	clock.Advance(600)
	r := g.Grant(Ask{Customer: "a", Need: 200, Least: 200, Want: 1000}, limit, 4, 4)
	if r.Granted != 300 || r.After != 0 {
		t.Errorf("granted %v of 600 for a need of 200, want 300: a part of what is left", r.Granted)
	}
}

func TestPartOfANeedIsGranted(t *testing.T) {
	g, clock := drained(t)
	clock.Advance(300)
	r := g.Grant(Ask{Customer: "a", Need: 900, Least: 100, Want: 900}, limit, 4, 4)
	if r.Granted != 300 || r.After < 600 || r.After > 620 {
		t.Errorf("granted %v, the rest after %d ms; want 300 and some 600 ms", r.Granted, r.After)
	}
}

// Guards against all that were turned away coming back at the same moment.
func TestThoseTurnedAwayComeBackOneAfterTheOther(t *testing.T) {
	g, _ := drained(t)
	var last magno.Millis
	for range 5 {
		r := g.Grant(Ask{Customer: "a", Need: 100, Least: 100, Want: 100}, limit, 4, 4)
		if r.Granted != 0 || r.After < last+100 {
			t.Fatalf("granted %v, to come back after %d ms and one before after %d", r.Granted, r.After, last)
		}
		last = r.After
	}
}

// Guards against two halves of a fleet that each grant the whole allowance, and against
// a fleet with a few processes down that grants less than it.
func TestHomesThatAreCutOffGrantTheirPart(t *testing.T) {
	for _, c := range []struct {
		alive, known int
		want         float64
	}{{30, 30, 1000}, {23, 30, 1000}, {15, 30, 500}, {1, 30, 1000. / 30}, {1, 1, 1000}} {
		g, clock := drained(t)
		g.Grant(Ask{Customer: "a"}, limit, c.alive, c.known)
		clock.Advance(magno.Second)
		r := g.Grant(Ask{Customer: "a", Need: 5000, Least: 1, Want: 5000}, limit, c.alive, c.known)
		if r.Granted < c.want-1 || r.Granted > c.want+1 {
			t.Errorf("%d of %d alive: %v granted in a second, want %v", c.alive, c.known, r.Granted, c.want)
		}
	}
}

func TestLoweredLimitBindsAtOnce(t *testing.T) {
	g, clock := drained(t)
	clock.Advance(magno.Second)
	low := magno.Limit{Rate: 100, Burst: 100, Tokens: true}
	if r := g.Grant(Ask{Customer: "a", Need: 400, Least: 100, Want: 400}, low, 4, 4); r.Granted > 100 {
		t.Errorf("granted %v of a burst that is 100 now", r.Granted)
	}
}

func TestWhatIsGivenBackIsGrantedAgain(t *testing.T) {
	g, _ := drained(t)
	g.Grant(Ask{Customer: "a", Back: 300}, limit, 4, 4)
	if r := g.Grant(Ask{Customer: "a", Need: 300, Least: 300, Want: 300}, limit, 4, 4); r.Granted != 300 {
		t.Errorf("granted %v of 300 that were given back", r.Granted)
	}
}
