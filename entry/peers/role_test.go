package peers

import (
	"context"
	"fmt"
	"log/slog"
	"testing"

	"magnoliastall.example/magno"
	"magnoliastall.example/magno/crash"
	"magnoliastall.example/magno/view"
	"magnoliastall.example/magno/wire"
)

// Two entries read the list. If one of them stops, or the list refuses it, another one
// must take over.
func TestTwoReadAndAnotherTakesOver(t *testing.T) {
	seed := start(t, "seed")
	nodes := []*node{seed}
	for i := range 3 {
		nodes = append(nodes, start(t, fmt.Sprint("n", i), seed.Addr))
	}
	for _, n := range nodes {
		waitFor(t, "all peers", func() bool { return n.Processes(magno.Second) == len(nodes) })
		n.Book.ApplyRead([]magno.Change{plan(1, 1)}, 1, true)
	}
	confirm := func() {
		for _, n := range nodes {
			n.Book.ApplyRead(nil, 1, false)
		}
	}
	readers := func() (list []*node) {
		confirm()
		for _, n := range nodes {
			if n.ShouldRead() {
				list = append(list, n)
			}
		}
		return list
	}
	waitFor(t, "two readers", func() bool { return len(readers()) == Readers })
	refused := readers()[0]
	refused.SetListReachable(false)
	waitFor(t, "another reader", func() bool {
		now := readers()
		return len(now) == Readers && now[0] != refused && now[1] != refused
	})
	stopped := readers()[0]
	for i, n := range nodes {
		if n == stopped {
			nodes = append(nodes[:i], nodes[i+1:]...)
			break
		}
	}
	stopped.stop()
	waitFor(t, "another reader after a loss", func() bool {
		now := 0
		for _, n := range readers() {
			if n != refused {
				now++
			}
		}
		return now == Readers
	})
}

// Some machines have a link of 10 Mbit/s, others of 200 Mbit/s. The two readers send every
// change to all others; from a small machine that saturated its link, and callers' requests
// were forwarded more than a second after their callers had left.
func TestMachinesWithTheWidestLinksRead(t *testing.T) {
	seed := startWithLink(t, "seed", 10)
	nodes := []*node{seed}
	for i := range 6 {
		link := 10.0
		if i%3 == 0 {
			link = 200
		}
		nodes = append(nodes, startWithLink(t, fmt.Sprint("n", i), link, seed.Addr))
	}
	for _, n := range nodes {
		waitFor(t, "all peers", func() bool { return n.Processes(magno.Second) == len(nodes) })
		n.Book.ApplyRead([]magno.Change{plan(1, 1)}, 1, true)
	}
	for _, n := range nodes {
		waitFor(t, "the role that its link implies", func() bool {
			n.Book.ApplyRead(nil, 1, false)
			return n.ShouldRead() == (n.LinkMbps == 200)
		})
	}
}

// Both readers of a large fleet are lost, and all others detect it at the same time. If
// each of them read the list and updated all others, the traffic would be quadratic in
// their number, and small machines would forward requests long after their callers had
// left. They must take over one after the other, those with the widest links first.
func TestEntriesTakeOverReadingOneByOne(t *testing.T) {
	clock := magno.NewClock(magno.Hour)
	rankedAfter := func(ahead int) *Peers {
		p := &Peers{
			Self: "self", Addr: "10.0.0.1:7", LinkMbps: 20, Mesh: &wire.Mesh{}, Book: &view.Store{Clock: clock},
			Suspects: &crash.Suspects{Clock: clock}, Clock: clock, Log: slog.New(slog.DiscardHandler),
		}
		p.Open()
		for i := range ahead {
			addr := fmt.Sprintf("10.0.1.%d:7", i)
			p.addAddrs([]string{addr})
			p.applyHello(&Hello{Name: addr, Addr: addr, ListReachable: true, LinkMbps: 200})
		}
		return p
	}
	for _, c := range []struct {
		ahead int
		after magno.Millis
	}{{0, 0}, {1, 0}, {2, staleAge}, {3, staleAge + takeoverStep}, {12, staleAge + 10*takeoverStep}, {60, staleAge + maxTakeoverDelay}} {
		p := rankedAfter(c.ahead)
		p.Book.ApplyRead([]magno.Change{plan(1, 1)}, 1, false)
		clock.Advance(c.after)
		if first := c.ahead < Readers; p.ShouldRead() != first {
			t.Errorf("with %d entries ahead of it: wrong ShouldRead after %d ms", c.ahead, c.after)
		}
		clock.Advance(1)
		if !p.ShouldRead() {
			t.Errorf("with %d entries ahead of it: it doesn't read after %d ms", c.ahead, c.after+1)
		}
	}
}

// newRanked returns an entry with a number of others that rank ahead of it.
func newRanked(clock *magno.Clock, ahead int, others Hello) *Peers {
	p := &Peers{
		Self: "self", Addr: "10.0.0.1:7", LinkMbps: 20, Mesh: &wire.Mesh{}, Book: &view.Store{Clock: clock},
		Suspects: &crash.Suspects{Clock: clock}, Clock: clock, Log: slog.New(slog.DiscardHandler),
	}
	p.Open()
	for i := range ahead {
		h := others
		h.Name, h.Addr, h.LinkMbps = "other", fmt.Sprintf("10.0.1.%d:7", i), 200
		p.addAddrs([]string{h.Addr})
		p.applyHello(&h)
	}
	p.Book.ApplyRead([]magno.Change{plan(1, 1)}, 1, false)
	return p
}

// Guards against all entries reading the list at once when it recovers from an outage.
func TestFewPollDuringAListOutage(t *testing.T) {
	polls := func(ahead int) (n int) {
		clock := magno.NewClock(magno.Hour)
		p := newRanked(clock, ahead, Hello{})
		p.SetListReachable(false)
		for end := clock.Now() + 10*magno.Second; clock.Now() < end; clock.Advance(100) {
			if p.ShouldRead() {
				n++
			}
		}
		return n
	}
	for _, c := range []struct{ ahead, least, most int }{{0, 70, 100}, {1, 30, 100}, {10, 5, 10}, {28, 2, 4}, {2000, 2, 4}} {
		if n := polls(c.ahead); n < c.least || n > c.most {
			t.Errorf("with %d entries ahead of it: %d polls in 10 s, want %d to %d", c.ahead, n, c.least, c.most)
		}
	}
}

// Guards against several entries that read the same changes and all broadcast them.
func TestTakeoverBroadcastsOnlyUnreceivedUpdates(t *testing.T) {
	clock := magno.NewClock(magno.Hour)
	for _, c := range []struct {
		ahead int
		delay magno.Millis
	}{{0, 0}, {1, 0}, {2, takeoverStep}, {11, 10 * takeoverStep}, {2000, maxTakeoverDelay}} {
		if delay := newRanked(clock, c.ahead, Hello{}).broadcastDelay(); delay != c.delay {
			t.Errorf("with %d entries ahead of it: broadcast delay of %d ms, want %d ms", c.ahead, delay, c.delay)
		}
	}
	p := newRanked(clock, 5, Hello{ListReachable: true})
	if p.received(7) {
		t.Error("revision 7 counts as received, but no update was sent")
	}
	if _, err := p.onUpdate(context.Background(), nil, []byte(`{"told":{"since":1,"rev":7,"changes":[]}}`)); err != nil {
		t.Fatal(err)
	}
	if !p.received(7) || p.received(8) {
		t.Error("received must be true up to revision 7 only")
	}
}

// Guards against an entry that reads the list while it shuts down: on a small machine, its
// callers' last requests then go unanswered.
func TestEntriesThatStopAreTheLastToRead(t *testing.T) {
	clock := magno.NewClock(magno.Hour)
	p := newRanked(clock, 3, Hello{ListReachable: true, Leaving: true})
	if !p.ShouldRead() {
		t.Error("it leaves reading to entries that are shutting down")
	}
	p = newRanked(clock, 3, Hello{ListReachable: true})
	p.LinkMbps, p.Leaving = 1000, func() bool { return true }
	if p.ShouldRead() {
		t.Error("an entry that is shutting down reads the list")
	}
}

// Guards against entries that start at the same time, after a loss of power everywhere, and
// each assume to be the only one: together they granted thirty times a customer's limit.
func TestCountBeforeFirstContact(t *testing.T) {
	clock := magno.NewClock(magno.Hour)
	fresh := func(seeds ...string) *Peers {
		p := &Peers{
			Self: "self", Addr: "10.0.0.1:7", Seeds: seeds, Mesh: &wire.Mesh{}, Book: &view.Store{Clock: clock},
			Suspects: &crash.Suspects{Clock: clock}, Clock: clock, Log: slog.New(slog.DiscardHandler),
		}
		p.Open()
		return p
	}
	check := func(what string, p *Peers, alive, known int) {
		t.Helper()
		if a, k := p.Count(); a != alive || k != known {
			t.Errorf("%s: %d of %d, want %d of %d", what, a, k, alive, known)
		}
	}
	check("alone by its settings", fresh("10.0.0.1:7"), 1, 1)
	p := fresh("10.0.0.1:7", "10.0.0.2:7", "10.0.0.3:7")
	check("just started", p, 1, assumedEntries)
	p.applyHello(&Hello{Name: "b", Addr: "10.0.0.2:7", Peers: []string{"10.0.0.4:7", "10.0.0.5:7"}})
	check("one met, that knows two more", p, 2, 5)
	p.known["10.0.0.4:7"].refused = true
	check("one of them refuses connections", p, 2, 4)
	p = fresh("10.0.0.1:7", "10.0.0.2:7")
	clock.Advance(discoveryTime)
	check("nobody came", p, 1, 2)
}

// Guards against a fleet that starts and in which every entry follows the list, as it knows
// no other yet: together they would poll the list hundreds of times.
func TestOnlySeedsReadAtFleetStart(t *testing.T) {
	for _, c := range []struct {
		name         string
		seeds        []string
		first, later bool
	}{
		{"a seed", []string{"10.0.0.1:7", "10.0.0.2:7"}, true, true},
		{"another", []string{"10.0.0.2:7", "10.0.0.3:7"}, false, true},
		{"one without seeds", nil, true, true},
	} {
		clock := magno.NewClock(magno.Hour)
		p := &Peers{
			Self: "self", Addr: "10.0.0.1:7", Seeds: c.seeds, Mesh: &wire.Mesh{}, Book: &view.Store{Clock: clock},
			Suspects: &crash.Suspects{Clock: clock}, Clock: clock, Log: slog.New(slog.DiscardHandler),
		}
		p.Open()
		if !p.ShouldRead() {
			t.Errorf("%s doesn't read the list without a configuration", c.name)
		}
		p.Book.ApplyRead([]magno.Change{plan(1, 1)}, 1, false)
		if got := p.ShouldRead(); got != c.first {
			t.Errorf("%s follows the list at start: %v", c.name, got)
		}
		clock.Advance(discoveryTime)
		if got := p.ShouldRead(); got != c.later {
			t.Errorf("%s follows the list after discoveryTime: %v", c.name, got)
		}
	}
}
