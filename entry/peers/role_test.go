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

// Of all entries two read the list. One of them is lost, or the list refuses it:
// another takes its place.
func TestTwoReadAndAnotherTakesOver(t *testing.T) {
	seed := start(t, "seed")
	nodes := []*node{seed}
	for i := range 3 {
		nodes = append(nodes, start(t, fmt.Sprint("n", i), seed.Addr))
	}
	for _, n := range nodes {
		until(t, "all peers", func() bool { return n.Processes() == len(nodes) })
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
	until(t, "two readers", func() bool { return len(readers()) == Readers })
	refused := readers()[0]
	refused.SetListReachable(false)
	until(t, "another reader", func() bool {
		now := readers()
		return len(now) == Readers && now[0] != refused && now[1] != refused
	})
	lost := readers()[0]
	for i, n := range nodes {
		if n == lost {
			nodes = append(nodes[:i], nodes[i+1:]...)
			break
		}
	}
	lost.stop()
	until(t, "another reader after a loss", func() bool {
		now := 0
		for _, n := range readers() {
			if n != refused {
				now++
			}
		}
		return now == Readers
	})
}

// Some machines have a link of 10 megabits a second, others of 200. The two that
// read tell every change to all others; from a small one that filled its link, and
// callers' requests were sent on over a second after their callers had left.
func TestMachinesWithTheWidestLinksRead(t *testing.T) {
	seed := linked(t, "seed", 10)
	nodes := []*node{seed}
	for i := range 6 {
		link := 10.0
		if i%3 == 0 {
			link = 200
		}
		nodes = append(nodes, linked(t, fmt.Sprint("n", i), link, seed.Addr))
	}
	for _, n := range nodes {
		until(t, "all peers", func() bool { return n.Processes() == len(nodes) })
		n.Book.ApplyRead([]magno.Change{plan(1, 1)}, 1, true)
	}
	for _, n := range nodes {
		until(t, "its role", func() bool {
			n.Book.ApplyRead(nil, 1, false)
			return n.ShouldRead() == (n.LinkMbps == 200)
		})
	}
}

// Both readers of a large fleet are lost, and all others know nothing new from the same
// moment on. Were each to read and tell all others, what they tell would be the square
// of their number, and small machines sent requests on long after their callers had
// left. They step in one after the other, those with the widest links first.
func TestEntriesStepInOneAfterTheOther(t *testing.T) {
	clock := magno.NewClock(magno.Hour)
	place := func(before int) *Peers {
		p := &Peers{
			Self: "self", Addr: "10.0.0.1:7", LinkMbps: 20, Mesh: &wire.Mesh{}, Book: &view.Store{Clock: clock},
			Suspects: &crash.Suspects{Clock: clock}, Clock: clock, Log: slog.New(slog.DiscardHandler),
		}
		p.Open()
		for i := range before {
			addr := fmt.Sprintf("10.0.1.%d:7", i)
			p.learn([]string{addr})
			p.heard(&Hello{Name: addr, Addr: addr, ListReachable: true, LinkMbps: 200})
		}
		return p
	}
	for _, c := range []struct {
		before int
		after  magno.Millis
	}{{0, 0}, {1, 0}, {2, staleAge}, {3, staleAge + stepIn}, {12, staleAge + 10*stepIn}, {60, staleAge + stepMost}} {
		p := place(c.before)
		p.Book.ApplyRead([]magno.Change{plan(1, 1)}, 1, false)
		clock.Advance(c.after)
		if first := c.before < Readers; p.ShouldRead() != first {
			t.Errorf("with %d before it, it reads after %d ms", c.before, c.after)
		}
		clock.Advance(1)
		if !p.ShouldRead() {
			t.Errorf("with %d before it, it doesn't read after %d ms", c.before, c.after+1)
		}
	}
}

// ranked is an entry with others that are to read the list rather than it.
func ranked(clock *magno.Clock, before int, others Hello) *Peers {
	p := &Peers{
		Self: "self", Addr: "10.0.0.1:7", LinkMbps: 20, Mesh: &wire.Mesh{}, Book: &view.Store{Clock: clock},
		Suspects: &crash.Suspects{Clock: clock}, Clock: clock, Log: slog.New(slog.DiscardHandler),
	}
	p.Open()
	for i := range before {
		h := others
		h.Name, h.Addr, h.LinkMbps = "other", fmt.Sprintf("10.0.1.%d:7", i), 200
		p.learn([]string{h.Addr})
		p.heard(&h)
	}
	p.Book.ApplyRead([]magno.Change{plan(1, 1)}, 1, false)
	return p
}

// Guards against all entries reading the list at the moment it is back after an outage.
func TestFewAskWhileTheListIsAway(t *testing.T) {
	polls := func(before int) (n int) {
		clock := magno.NewClock(magno.Hour)
		p := ranked(clock, before, Hello{})
		p.SetListReachable(false)
		for end := clock.Now() + 10*magno.Second; clock.Now() < end; clock.Advance(100) {
			if p.ShouldRead() {
				n++
			}
		}
		return n
	}
	for _, c := range []struct{ before, least, most int }{{0, 70, 100}, {1, 30, 100}, {10, 5, 10}, {28, 2, 4}, {2000, 2, 4}} {
		if n := polls(c.before); n < c.least || n > c.most {
			t.Errorf("with %d before it: %d polls in 10 s, want %d to %d", c.before, n, c.least, c.most)
		}
	}
}

// Guards against each entry that read the list telling all others the same.
func TestOneThatStepsInTellsOnlyWhatNobodyTold(t *testing.T) {
	clock := magno.NewClock(magno.Hour)
	for _, c := range []struct {
		before int
		hold   magno.Millis
	}{{0, 0}, {1, 0}, {2, stepIn}, {11, 10 * stepIn}, {2000, stepMost}} {
		if hold := ranked(clock, c.before, Hello{}).holdBack(); hold != c.hold {
			t.Errorf("with %d before it: held back for %d ms, want %d", c.before, hold, c.hold)
		}
	}
	p := ranked(clock, 5, Hello{ListReachable: true})
	if p.toldBy(7) {
		t.Error("told by nobody")
	}
	if _, err := p.onNews(context.Background(), nil, []byte(`{"told":{"since":1,"rev":7,"changes":[]}}`)); err != nil {
		t.Fatal(err)
	}
	if !p.toldBy(7) || p.toldBy(8) {
		t.Error("another told up to 7")
	}
}

// Guards against an entry that stops reading the list in its last seconds, on a small
// machine whose callers' requests then go unanswered.
func TestEntriesThatStopAreTheLastToRead(t *testing.T) {
	clock := magno.NewClock(magno.Hour)
	p := ranked(clock, 3, Hello{ListReachable: true, Leaving: true})
	if !p.ShouldRead() {
		t.Error("it waits for entries that stop")
	}
	p = ranked(clock, 3, Hello{ListReachable: true})
	p.LinkMbps, p.Leaving = 1000, func() bool { return true }
	if p.ShouldRead() {
		t.Error("an entry that stops reads for others")
	}
}

// Guards against entries that start at the same time, after all lost power, and each take
// itself for the only one: together they granted thirty times an allowance.
func TestOneThatMetNobodyCountsOthers(t *testing.T) {
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
	check("just started", p, 1, unmet)
	p.heard(&Hello{Name: "b", Addr: "10.0.0.2:7", Peers: []string{"10.0.0.4:7", "10.0.0.5:7"}})
	check("one met, that knows two more", p, 2, 5)
	p.known["10.0.0.4:7"].ended = true
	check("one of them refuses connections", p, 2, 4)
	p = fresh("10.0.0.1:7", "10.0.0.2:7")
	clock.Advance(meetTime)
	check("nobody came", p, 1, 2)
}

// Guards against a fleet that starts and of which each entry follows the list, as it knows
// nobody else yet: all together ask the list hundreds of times.
func TestEntriesThatStartLeaveTheListToTheSeeds(t *testing.T) {
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
			t.Errorf("%s doesn't read what it knows nothing of", c.name)
		}
		p.Book.ApplyRead([]magno.Change{plan(1, 1)}, 1, false)
		if got := p.ShouldRead(); got != c.first {
			t.Errorf("%s follows the list at once: %v", c.name, got)
		}
		clock.Advance(meetTime)
		if got := p.ShouldRead(); got != c.later {
			t.Errorf("%s follows the list later: %v", c.name, got)
		}
	}
}
