package grant

import (
	"fmt"
	"slices"
	"testing"

	"magnoliastall.example/magno"
)

// limit allows 1,125 tokens per second of steady traffic.
var limit = magno.Limit{Rate: 1000, Burst: 1000, Tokens: true}

const window = 8 * magno.Second

// homeWithSpentBurst returns a home that is past its first window and whose customer has
// used its whole burst.
func homeWithSpentBurst(t *testing.T) (*Granter, *magno.Clock) {
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

// Guards against a new home granting a burst that the previous home may just have granted.
func TestNewHomeGrantsTheRateOnly(t *testing.T) {
	clock := magno.NewClock(magno.Hour)
	g := &Granter{Clock: clock, Window: window}
	sum, windowTotal := 0.0, limit.Rate*8+limit.Burst
	for at := magno.Millis(0); at < window; at += 100 {
		sum += g.Grant(Request{Customer: "a", Need: 10000, Least: 1, Want: 10000}, limit, 4, 4).Granted
		if most := initialWindowShare*windowTotal + limit.Rate*float64(at)/1000; sum > most+1 || sum < most-1 {
			t.Fatalf("%v granted after %d ms, want %v", sum, at, most)
		}
		clock.Advance(100)
	}
}

func TestNeedIsGrantedBeforeWant(t *testing.T) {
	g, clock := homeWithSpentBurst(t)
	clock.Advance(600)
	r := g.Grant(Request{Customer: "a", Need: 200, Least: 200, Want: 1000}, limit, 4, 4)
	if r.Granted < 315 || r.Granted > 320 || r.RetryAfter != 0 {
		t.Errorf("granted %v of 675 for a need of 200, want about 319: the need and a part of the rest", r.Granted)
	}
}

func TestPartOfANeedIsGranted(t *testing.T) {
	g, clock := homeWithSpentBurst(t)
	clock.Advance(300)
	r := g.Grant(Request{Customer: "a", Need: 900, Least: 100, Want: 900}, limit, 4, 4)
	if r.Granted < 337 || r.Granted > 338 || r.RetryAfter < 490 || r.RetryAfter > 510 {
		t.Errorf("granted %v, the rest after %d ms; want about 337 and 500 ms", r.Granted, r.RetryAfter)
	}
}

// Guards against all refused processes retrying at the same moment.
func TestRefusedRequestsAreSpacedOut(t *testing.T) {
	g, _ := homeWithSpentBurst(t)
	var last magno.Millis
	for range 5 {
		r := g.Grant(Request{Customer: "a", Need: 100, Least: 100, Want: 100}, limit, 4, 4)
		if r.Granted != 0 || r.RetryAfter < last+80 {
			t.Fatalf("granted %v, retry after %d ms, the previous one after %d ms", r.Granted, r.RetryAfter, last)
		}
		last = r.RetryAfter
	}
}

// Guards against two halves of a partitioned fleet each granting the whole limit, and
// against a fleet with a few processes down granting less than the limit.
func TestPartitionedHomesGrantTheirShare(t *testing.T) {
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
			t.Errorf("%d of %d alive: %v granted in one second, want %v", c.alive, c.known, r.Granted, c.want)
		}
	}
}

// Guards against homes that can't know how many others there are and grant a request each, and against one that keeps
// refusing once it knows.
func TestHomeWithoutContactGrantsNothing(t *testing.T) {
	clock := magno.NewClock(magno.Hour)
	g := &Granter{Clock: clock, Window: window}
	ask := Request{Customer: "a", Need: 100, Least: 100, Want: 100}
	for range 100 {
		if r := g.Grant(ask, limit, 1, 1<<20); r.Granted != 0 || r.RetryAfter != unknownRetryAfter {
			t.Fatalf("got %+v", r)
		}
		clock.Advance(100)
	}
	g.Grant(ask, limit, 4, 4)
	clock.Advance(magno.Second)
	if r := g.Grant(ask, limit, 4, 4); r.Granted != 100 {
		t.Errorf("granted %v a second after it has met the others", r.Granted)
	}
}

func TestLoweredLimitBindsAtOnce(t *testing.T) {
	g, clock := homeWithSpentBurst(t)
	clock.Advance(magno.Second)
	low := magno.Limit{Rate: 100, Burst: 100, Tokens: true}
	if r := g.Grant(Request{Customer: "a", Need: 400, Least: 100, Want: 400}, low, 4, 4); r.Granted > 100 {
		t.Errorf("granted %v of a burst lowered to 100", r.Granted)
	}
}

func TestReturnedTokensAreGrantedAgain(t *testing.T) {
	g, _ := homeWithSpentBurst(t)
	g.Grant(Request{Customer: "a", Returned: 300}, limit, 4, 4)
	if r := g.Grant(Request{Customer: "a", Need: 300, Least: 300, Want: 300}, limit, 4, 4); r.Granted != 300 {
		t.Errorf("granted %v of 300 returned tokens", r.Granted)
	}
}

// Guards against refusing a customer whose steady traffic is within its rate plus burst per
// window, and against granting more than that under any traffic pattern.
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
		var inWindow float64
		for end := clock.Now() + 40*magno.Second; clock.Now() < end; clock.Advance(c.pause) {
			r := g.Grant(Request{Customer: "a", Need: c.need, Least: min(c.need, 10), Want: c.need}, limit, 4, 4)
			grants = append(grants, grant{clock.Now(), r.Granted})
			inWindow = 0
			for _, x := range grants {
				if clock.Now()-x.at < window {
					inWindow += x.amount
				}
			}
			if most := 9000.0; inWindow > most+1 {
				t.Fatalf("%s: %v in a window of %v", c.name, inWindow, most)
			}
		}
		if inWindow < c.least {
			t.Errorf("%s: %v in the last window, want %v", c.name, inWindow, c.least)
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
