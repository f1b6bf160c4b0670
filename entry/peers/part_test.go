package peers

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"magnoliastall.example/magno"
)

const partWindow = 10 * magno.Second

// Guards against the sides of a partition that each divide the whole budget among their entries:
// those that started within it know no others, and those that ran before forget them.
func TestSidesOfAPartitionShareOneBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		clock := magno.NewClock(magno.Hour)
		n, seeds := rapid.IntRange(1, 40).Draw(t, "entries"), rapid.IntRange(1, 3).Draw(t, "seeds")
		sides := make([]int, max(n, seeds))
		for i := range sides {
			sides[i] = rapid.IntRange(0, 4).Draw(t, "side")
		}
		sum := 0.0
		for i := range n {
			p := newRanked(clock, 0, Hello{})
			p.Addr = addr(i)
			for s := range seeds {
				p.Seeds = append(p.Seeds, addr(s))
			}
			p.addAddrs(p.Seeds)
			for other := range n {
				if sides[other] == sides[i] {
					p.applyHello(&Hello{Name: fmt.Sprint(other), Addr: addr(other), Peers: []string{addr(other)}})
				}
			}
			clock.Advance(memberTTL)
			sum += p.Part(partWindow)
		}
		if sum > 1.0001 {
			t.Fatalf("together they use %.2f of the budget", sum)
		}
	})
}

// Guards against a whole budget that is unused because entries don't know that they are all.
func TestWholeFleetUsesTheWholeBudget(t *testing.T) {
	for _, n := range []int{3, 30, 300} {
		f := newHelloFleet(t, n)
		sum := 0.0
		for _, p := range f.peers {
			p.Seeds = []string{addr(0), addr(1), addr(2)}
			sum += p.Part(partWindow)
		}
		if sum < 0.999 || sum > 1.001 {
			t.Errorf("%d entries use %.3f of the budget", n, sum)
		}
	}
}

// Guards against entries that take over the part of one that was killed, or left for good, while what
// that one spent still counts.
func TestLostEntryCountsUntilItsSpendingDoesNot(t *testing.T) {
	clock := magno.NewClock(magno.Hour)
	p := newRanked(clock, 4, Hello{})
	check := func(what string, want int) {
		t.Helper()
		if got := p.Processes(partWindow); got != want {
			t.Errorf("%s: %d share the budget, want %d", what, got, want)
		}
	}
	check("all alive", 5)
	clock.Advance(5 * magno.Minute) // the time between two hellos in a fleet of thousands
	check("all alive, none heard of for minutes", 5)
	killed, cut := p.known["10.0.1.0:7"], p.known["10.0.1.1:7"]
	killed.alive, killed.lostAt, killed.refused = false, clock.Now(), true
	cut.alive, cut.lostAt = false, clock.Now()
	clock.Advance(partWindow - 1)
	check("one was killed, one is out of reach", 5)
	clock.Advance(1)
	check("what the killed one spent counts no longer", 4)
	clock.Advance(memberTTL)
	check("nobody heard of the other for long", 3)
}
