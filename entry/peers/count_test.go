package peers

import (
	"fmt"
	"log/slog"
	"slices"
	"testing"

	"magnoliastall.example/magno"
	"magnoliastall.example/magno/crash"
	"magnoliastall.example/magno/grant"
	"magnoliastall.example/magno/view"
	"magnoliastall.example/magno/wire"
)

const self = "10.0.0.1:7"

// seeded returns an entry at an address that has just started with the given seeds.
func seeded(clock *magno.Clock, addr string, seeds ...string) *Peers {
	p := &Peers{
		Self: "self", Addr: addr, Seeds: seeds, Mesh: &wire.Mesh{}, Book: &view.Store{Clock: clock},
		Suspects: &crash.Suspects{Clock: clock}, Clock: clock, Log: slog.New(slog.DiscardHandler),
	}
	p.Open()
	return p
}

// lose has peers no longer answer from now on, because their machines refuse connections or are silent.
func (p *Peers) lose(refused bool, addrs ...string) {
	for _, addr := range addrs {
		k := p.known[addr]
		if k.alive {
			k.alive, k.lostAt = false, p.Clock.Now()
		}
		k.refused = refused
		k.misses++
	}
}

// meet has the entry receive hellos of others.
func (p *Peers) meet(joined bool, addrs ...string) {
	for _, addr := range addrs {
		p.applyHello(&Hello{Name: addr, Addr: addr, Joined: joined})
	}
}

// share returns what the entry grants of a limit as a home.
func (p *Peers) share() float64 {
	p.updateContact()
	if alive, known := p.Count(); grant.Grants(alive, known) {
		return grant.Share(alive, known)
	}
	return 0
}

func addrs(from, n int) []string {
	list := make([]string, n)
	for i := range list {
		list[i] = fmt.Sprintf("10.0.0.%d:7", from+i)
	}
	return list
}

// Guards against an entry that can't know how many others there are and grants a customer's whole limit, or
// repeats as many requests as the whole fleet may: each further one like it would do the same. And against
// one that is alone by right and grants less than the limit.
func TestShareWithoutContact(t *testing.T) {
	const minute, hour = magno.Minute, magno.Hour
	old := []string{"10.9.0.1:7", "10.9.0.2:7", "10.9.0.3:7"}
	for _, c := range []struct {
		name    string
		seeds   []string
		refused bool
		after   magno.Millis
		want    float64
	}{
		{"no seeds", nil, false, 3 * magno.Second, 1},
		{"itself is the only seed", []string{self}, false, 3 * magno.Second, 1},
		{"seeds refuse connections", old, true, 3 * magno.Second, 0},
		{"seeds refuse connections", old, true, minute, 0},
		{"seeds refuse connections", old, true, hour, 0},
		{"seeds are silent", old, false, 3 * magno.Second, 0},
		{"seeds are silent", old, false, minute, 0},
		{"seeds are silent", old, false, hour, 0},
		{"a seed itself, the others refuse connections", []string{self, old[0], old[1]}, true, 3 * magno.Second, 1},
		{"a seed itself, the others are silent", []string{self, old[0], old[1]}, false, 3 * magno.Second, 1. / 6},
		{"a seed itself, the others are silent", []string{self, old[0], old[1]}, false, minute, 1. / 6},
		{"a seed itself, the others are silent", []string{self, old[0], old[1]}, false, hour, 1},
		{"a seed itself, the only other one is silent", []string{self, old[0]}, false, minute, 1. / 2},
	} {
		t.Run(fmt.Sprint(c.name, c.after), func(t *testing.T) {
			clock := magno.NewClock(magno.Hour)
			p := seeded(clock, self, c.seeds...)
			for addr := range p.known {
				p.lose(c.refused, addr)
			}
			clock.Advance(c.after)
			if got := p.share(); got != c.want {
				t.Errorf("grants %.3f of a limit, want %.3f", got, c.want)
			}
			if part := p.Part(10 * magno.Second); c.want == 0 && part != 0 {
				t.Errorf("uses %.3f of the retry budget", part)
			}
		})
	}
}

// Guards against an entry that goes on as if it were cut off after its seeds were put right.
func TestSeedsThatAreReplacedFindTheFleet(t *testing.T) {
	clock := magno.NewClock(magno.Hour)
	p := seeded(clock, self, "10.9.0.1:7")
	p.lose(true, "10.9.0.1:7")
	clock.Advance(magno.Minute)
	if got := p.share(); got != 0 {
		t.Errorf("grants %.3f of a limit before", got)
	}
	p.SetSeeds(nil)
	if got := p.share(); got != 0 {
		t.Errorf("without seeds it takes itself for the fleet: %.3f", got)
	}
	p.SetSeeds([]string{self, "10.0.0.2:7"})
	if list := p.due(); list["10.0.0.2:7"] == nil {
		t.Error("a new seed isn't contacted at once")
	}
	p.meet(false, "10.0.0.2:7")
	if got := p.share(); got != 1 {
		t.Errorf("grants %.3f of a limit afterwards", got)
	}
}

// Guards against an entry that was paused or cut off while all others were replaced and takes itself for the
// fleet. And against one that grants nothing while the others restart.
func TestShareAfterTheLossOfAllOthers(t *testing.T) {
	for _, c := range []struct {
		name    string
		seeds   []string
		refused bool
		early   float64
		late    float64
	}{
		{"no seed, all ended", []string{"10.0.0.2:7", "10.0.0.3:7", "10.0.0.4:7"}, true, 1, 0},
		{"no seed, all silent", []string{"10.0.0.2:7", "10.0.0.3:7", "10.0.0.4:7"}, false, 1. / 4, 1. / 8},
		{"a seed, all ended", []string{self, "10.0.0.3:7", "10.0.0.4:7"}, true, 1, 1},
		{"a seed, all silent", []string{self, "10.0.0.3:7", "10.0.0.4:7"}, false, 1. / 4, 1. / 8},
	} {
		clock := magno.NewClock(magno.Hour)
		p := seeded(clock, self, c.seeds...)
		p.meet(true, addrs(2, 3)...)
		p.updateContact()
		p.lose(c.refused, addrs(2, 3)...)
		clock.Advance(soleTime - 1)
		if got := p.share(); got != c.early {
			t.Errorf("%s: grants %.3f of a limit at first, want %.3f", c.name, got, c.early)
		}
		clock.Advance(memberTTL)
		if got := p.share(); got != c.late {
			t.Errorf("%s: grants %.3f of a limit later, want %.3f", c.name, got, c.late)
		}
		p.meet(true, "10.0.7.1:7")
		if !c.refused {
			continue
		}
		if got := p.share(); got != 1 {
			t.Errorf("%s: grants %.3f of a limit once it has met the new fleet", c.name, got)
		}
	}
}

// Guards against the sides of a partition that together grant more than a limit and the quarter by which a side
// may exceed its share, however long it lasts, whether entries run before it, start within it, or lost the others
// one after the other. And against the side of most entries granting less than the limit after memberTTL.
func TestSidesOfAPartitionShareOneLimit(t *testing.T) {
	const n = 12
	for _, sizes := range [][]int{{6, 6}, {7, 5}, {9, 3}, {11, 1}, {8, 2, 2}, {5, 4, 3}, {1, 1, 10}} {
		for _, after := range []magno.Millis{magno.Second, memberTTL, 10 * magno.Minute, partitionTTL - 1} {
			for _, restarted := range []bool{false, true} {
				t.Run(fmt.Sprint(sizes, after, restarted), func(t *testing.T) {
					sum, first := 0.0, 0
					for _, size := range sizes {
						share := shareOfSide(n, first, size, after, restarted)
						sum += share
						if 2*size > n && after >= memberTTL && share != 1 {
							t.Errorf("%d of %d entries grant %.3f of a limit", size, n, share)
						}
						first += size
					}
					if sum > 1.25 {
						t.Errorf("together the sides grant %.3f of a limit", sum)
					}
				})
			}
		}
	}
}

// shareOfSide returns the share of an entry after a partition has lasted for some time. On its side are size of n
// entries, from the given one on. If restarted, the entry started within the partition.
func shareOfSide(n, first, size int, after magno.Millis, restarted bool) float64 {
	clock := magno.NewClock(magno.Hour)
	all := make([]string, n)
	for i := range all {
		all[i] = fmt.Sprintf("10.1.0.%d:7", i)
	}
	side := all[first : first+size]
	senior := seeded(clock, side[0], all[:3]...)
	clock.Advance(magno.Second)
	senior.meet(true, all...)
	senior.updateContact()
	for _, addr := range all {
		if !slices.Contains(side, addr) {
			senior.lose(false, addr)
		}
	}
	if !restarted || size == 1 {
		clock.Advance(after)
		return senior.share()
	}
	clock.Advance(after / 2)
	started := seeded(clock, side[1], all[:3]...)
	clock.Advance(after - after/2)
	senior.updateContact()
	h := senior.newHello(0, 0)
	for _, addr := range side {
		if addr == started.Addr {
			continue
		}
		h.Name, h.Addr = addr, addr
		started.applyHello(&h)
	}
	return started.share()
}

// Guards against a fleet that starts in two halves, of which each takes itself for the fleet.
func TestHalvesThatStartApartShareOneLimit(t *testing.T) {
	all := addrs(1, 10)
	for _, c := range []struct {
		seeds []string
		sides [2]float64
	}{
		{all[:3], [2]float64{1, 0}},
		{[]string{all[0], all[1], all[9]}, [2]float64{1, 1. / 6}},
		{[]string{all[0], all[9]}, [2]float64{1. / 2, 1. / 2}},
		{all[:1], [2]float64{1, 0}},
	} {
		for _, after := range []magno.Millis{3 * magno.Second, magno.Minute, 30 * magno.Minute} {
			for side, members := range [][]string{all[:5], all[5:]} {
				clock := magno.NewClock(magno.Hour)
				p := seeded(clock, members[0], c.seeds...)
				clock.Advance(after)
				p.meet(false, members...)
				if got := p.share(); got != c.sides[side] {
					t.Errorf("seeds %v, after %d ms: side %d grants %.3f of a limit, want %.3f", c.seeds, after, side, got, c.sides[side])
				}
			}
		}
	}
}

// Guards against an entry that forgets after a minute that it is cut off from others, and against hellos to many silent
// machines all the time.
func TestSilentPeersAreKeptAndProbedSeldom(t *testing.T) {
	clock := magno.NewClock(magno.Hour)
	p := newRanked(clock, 4, Hello{})
	for addr := range p.known {
		p.lose(false, addr)
		p.known[addr].misses = forgetAfterMisses + 1
	}
	probes := 0
	for end := clock.Now() + 10*magno.Minute; clock.Now() < end; clock.Advance(helloInterval) {
		for _, k := range p.due() {
			k.pending = false
			k.misses++
			probes++
		}
	}
	if len(p.known) != 4 {
		t.Errorf("%d of 4 silent peers are known after ten minutes", len(p.known))
	}
	if most := 4 * int(10*magno.Minute/silentProbeInterval+1); probes > most {
		t.Errorf("%d hellos to silent machines, want %d at most", probes, most)
	}
	clock.Advance(partitionTTL)
	p.due()
	if len(p.known) != 0 {
		t.Errorf("%d peers are known for ever", len(p.known))
	}
}
