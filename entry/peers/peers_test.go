package peers

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"testing"
	"time"

	"magnoliastall.example/magno"
	"magnoliastall.example/magno/crash"
	"magnoliastall.example/magno/view"
	"magnoliastall.example/magno/wire"
)

// node is an entry's peers on a port of its own.
type node struct {
	*Peers
	stop context.CancelFunc
	ends chan error
}

func start(t *testing.T, name string, seeds ...string) *node {
	t.Helper()
	return linked(t, name, 0, seeds...)
}

// linked starts a node on a machine with so many megabits a second.
func linked(t *testing.T, name string, link float64, seeds ...string) *node {
	t.Helper()
	mesh := &wire.Mesh{Listen: "127.0.0.1:0"}
	if err := mesh.Open(); err != nil {
		t.Fatal(err)
	}
	clock := magno.NewSteady()
	n := &node{ends: make(chan error, 2), Peers: &Peers{
		Self: name, Addr: mesh.Addr(), Link: link, Seeds: seeds, Mesh: mesh, Book: &view.Book{Clock: clock},
		Suspects: &crash.Suspects{Clock: &magno.Clock{}}, Clock: clock, Log: slog.New(slog.DiscardHandler),
	}}
	n.Open()
	ctx, cancel := context.WithCancel(context.Background())
	go func() { n.ends <- mesh.Run(ctx) }()
	go func() { n.ends <- n.Run(ctx) }()
	stopped := false
	n.stop = func() {
		if stopped {
			return
		}
		stopped = true
		cancel()
		for range 2 {
			if err := <-n.ends; err != nil {
				t.Error(err)
			}
		}
	}
	t.Cleanup(n.stop)
	return n
}

func until(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(time.Minute); !ok(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("waited in vain for " + what)
		}
	}
}

func plan(version, rev int64) magno.Change {
	return magno.Change{Key: "plan", Revision: rev, Plan: &magno.Plan{Version: version}}
}

// Processes know only a seed at their start. All of them learn of all, one
// reads a change, and all have it.
func TestNewsReachesAllThroughASeed(t *testing.T) {
	seed := start(t, "seed")
	nodes := []*node{seed}
	for i := range 3 {
		nodes = append(nodes, start(t, fmt.Sprint("n", i), seed.Addr))
	}
	for _, n := range nodes {
		until(t, "all peers", func() bool { return n.Processes() == len(nodes) })
	}
	first := nodes[3]
	first.Push(first.Book.Read([]magno.Change{plan(7, 5)}, 5, true))
	for _, n := range nodes {
		until(t, "the configuration", func() bool { p := n.Book.Now().Plan; return p != nil && p.Version == 7 })
	}
}

// The word of a change is lost on the way to one process. It sees the higher
// revision in the next exchange, and fetches what it missed.
func TestLostNewsIsFetched(t *testing.T) {
	a := start(t, "a")
	a.Book.Read([]magno.Change{plan(3, 4)}, 4, true)
	b := start(t, "b", a.Addr)
	until(t, "the configuration", func() bool { p := b.Book.Now().Plan; return p != nil && p.Version == 3 })
}

// A request that crashed upstreams is sent again through another entry, which
// must know it.
func TestSuspectsAreShared(t *testing.T) {
	a := start(t, "a")
	b := start(t, "b", a.Addr)
	a.Suspects.Failed(77)
	a.Suspects.Failed(77)
	until(t, "the suspect", func() bool { return b.Suspects.Refused(77) })
}

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
		n.Book.Read([]magno.Change{plan(1, 1)}, 1, true)
	}
	confirm := func() {
		for _, n := range nodes {
			n.Book.Read(nil, 1, false)
		}
	}
	readers := func() (list []*node) {
		confirm()
		for _, n := range nodes {
			if n.Mine() {
				list = append(list, n)
			}
		}
		return list
	}
	until(t, "two readers", func() bool { return len(readers()) == Readers })
	refused := readers()[0]
	refused.Able(false)
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
		n.Book.Read([]magno.Change{plan(1, 1)}, 1, true)
	}
	for _, n := range nodes {
		until(t, "its role", func() bool {
			n.Book.Read(nil, 1, false)
			return n.Mine() == (n.Link == 200)
		})
	}
}

// Upstreams crash one after the other, and all that ran there becomes suspect.
// What entries tell each other stays small: with every suspect in every hello,
// small machines had no room for callers' answers.
func TestHelloStaysSmallAfterManyCrashes(t *testing.T) {
	a := start(t, "a")
	for i := range 3000 {
		a.Suspects.Failed(uint64(i + 1))
	}
	if n := len(a.self(0).Suspects); n != mostSuspects {
		t.Errorf("a hello has %d suspects, want %d", n, mostSuspects)
	}
}

// Entries say hello several times a second. Where both know the same entries
// they don't name them again: of a hundred, that was more than all else they
// tell, on machines that have little room. One that knows others is told of all.
func TestHelloNamesNobodyWhomTheOtherKnows(t *testing.T) {
	seed := start(t, "seed")
	nodes := []*node{seed, start(t, "a", seed.Addr), start(t, "b", seed.Addr)}
	for _, n := range nodes {
		until(t, "all peers", func() bool { return n.Processes() == len(nodes) })
	}
	crowd := seed.self(0).Crowd
	for _, n := range nodes {
		until(t, "the same crowd", func() bool { return n.self(0).Crowd == crowd })
		if got := n.self(crowd).Peers; len(got) != 0 {
			t.Errorf("%s names %v to one that knows them", n.Self, got)
		}
		if got := n.self(crowd + 1).Peers; len(got) != 2 {
			t.Errorf("%s names %v to one that knows others, want both", n.Self, got)
		}
	}
}

// Each entry of a large fleet says hello to each other one. Were both of a pair to do
// so, weak machines would keep twice the connections and answer twice the hellos, and
// callers wait behind them. One of each pair asks, and goes on when the other is
// silent.
func TestOneOfEachPairSaysHello(t *testing.T) {
	clock := magno.NewClock(magno.Hour)
	pair := func(self, other string) *Peers {
		p := &Peers{
			Self: self, Addr: self, Seeds: []string{other}, Mesh: &wire.Mesh{}, Book: &view.Book{Clock: clock},
			Suspects: &crash.Suspects{Clock: clock}, Clock: clock, Log: slog.New(slog.DiscardHandler),
		}
		p.Open()
		return p
	}
	a, b := pair("10.0.0.1:7", "10.0.0.2:7"), pair("10.0.0.2:7", "10.0.0.1:7")
	if a.asks(b.Addr) == b.asks(a.Addr) {
		t.Fatal("both of the pair ask, or neither does")
	}
	if b.asks(a.Addr) {
		a, b = b, a
	}
	meet := func() {
		hello, reply := a.self(0), b.self(0)
		b.heard(&hello)
		a.heard(&reply)
	}
	meet()
	for range 20 {
		clock.Advance(helloEvery)
		if len(b.due()) > 0 {
			t.Fatal("the one that is asked says hello as well")
		}
		if len(a.due()) == 0 {
			t.Fatal("nobody says hello")
		}
		a.known[b.Addr].asking = false
		meet()
	}
	clock.Advance(2 * helloEvery)
	if len(b.due()) == 0 {
		t.Error("the other one is silent, and nobody asks it")
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
			Self: "self", Addr: "10.0.0.1:7", Link: 20, Mesh: &wire.Mesh{}, Book: &view.Book{Clock: clock},
			Suspects: &crash.Suspects{Clock: clock}, Clock: clock, Log: slog.New(slog.DiscardHandler),
		}
		p.Open()
		for i := range before {
			addr := fmt.Sprintf("10.0.1.%d:7", i)
			p.learn([]string{addr})
			p.heard(&Hello{Name: addr, Addr: addr, Able: true, Link: 200})
		}
		return p
	}
	for _, c := range []struct {
		before int
		after  magno.Millis
	}{{0, 0}, {1, 0}, {2, staleAge}, {3, staleAge + stepIn}, {12, staleAge + 10*stepIn}, {60, staleAge + stepMost}} {
		p := place(c.before)
		p.Book.Read([]magno.Change{plan(1, 1)}, 1, false)
		clock.Advance(c.after)
		if first := c.before < Readers; p.Mine() != first {
			t.Errorf("with %d before it, it reads after %d ms", c.before, c.after)
		}
		clock.Advance(1)
		if !p.Mine() {
			t.Errorf("with %d before it, it doesn't read after %d ms", c.before, c.after+1)
		}
	}
}

// ranked is an entry with others that are to read the list rather than it.
func ranked(clock *magno.Clock, before int, others Hello) *Peers {
	p := &Peers{
		Self: "self", Addr: "10.0.0.1:7", Link: 20, Mesh: &wire.Mesh{}, Book: &view.Book{Clock: clock},
		Suspects: &crash.Suspects{Clock: clock}, Clock: clock, Log: slog.New(slog.DiscardHandler),
	}
	p.Open()
	for i := range before {
		h := others
		h.Name, h.Addr, h.Link = "other", fmt.Sprintf("10.0.1.%d:7", i), 200
		p.learn([]string{h.Addr})
		p.heard(&h)
	}
	p.Book.Read([]magno.Change{plan(1, 1)}, 1, false)
	return p
}

// Guards against all entries reading the list at the moment it is back after an outage.
func TestFewAskWhileTheListIsAway(t *testing.T) {
	polls := func(before int) (n int) {
		clock := magno.NewClock(magno.Hour)
		p := ranked(clock, before, Hello{})
		p.Able(false)
		for end := clock.Now() + 10*magno.Second; clock.Now() < end; clock.Advance(100) {
			if p.Mine() {
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
	p := ranked(clock, 5, Hello{Able: true})
	if p.toldBy(7) {
		t.Error("told by nobody")
	}
	if _, err := p.onNews(context.Background(), nil, []byte(`{"since":1,"rev":7,"changes":[]}`)); err != nil {
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
	p := ranked(clock, 3, Hello{Able: true, Leaving: true})
	if !p.Mine() {
		t.Error("it waits for entries that stop")
	}
	p = ranked(clock, 3, Hello{Able: true})
	p.Link, p.Leaving = 1000, func() bool { return true }
	if p.Mine() {
		t.Error("an entry that stops reads for others")
	}
}

// Guards against a fetch over a narrow link that never ends in time, and is begun anew.
func TestSlowFetchGetsMoreTime(t *testing.T) {
	p := ranked(magno.NewClock(magno.Hour), 0, Hello{})
	mesh := &wire.Mesh{Listen: "127.0.0.1:0"}
	if err := mesh.Open(); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	mesh.Handle(MethodItems, func(ctx context.Context, _ *wire.Peer, _ json.RawMessage) (any, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	})
	go func() { ended <- mesh.Run(ctx) }()
	for n := 1; n <= 2; n++ {
		if p.pull(mesh.Addr(), 1); p.pulls != n {
			t.Errorf("%d doublings after %d fetches that took too long", p.pulls, n)
		}
	}
	p.pulls = 3
	if limit := min(pullTime<<p.pulls, pullMost); limit != pullMost {
		t.Errorf("a fetch gets %d ms at last, want %d", limit, pullMost)
	}
	cancel()
	if err := <-ended; err != nil {
		t.Error(err)
	}
}

// Guards against entries that start at the same time, after all lost power, and each take
// itself for the only one: together they granted thirty times an allowance.
func TestOneThatMetNobodyCountsOthers(t *testing.T) {
	clock := magno.NewClock(magno.Hour)
	fresh := func(seeds ...string) *Peers {
		p := &Peers{
			Self: "self", Addr: "10.0.0.1:7", Seeds: seeds, Mesh: &wire.Mesh{}, Book: &view.Book{Clock: clock},
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

// Guards against entries that start at the same time and take a second and more to meet:
// until then each has a small part of every customer's limit.
func TestOneThatMetNobodyAsksSooner(t *testing.T) {
	clock := magno.NewClock(magno.Hour)
	p := &Peers{
		Self: "self", Addr: "10.0.0.1:7", Seeds: []string{"10.0.0.1:7", "10.0.0.2:7"}, Mesh: &wire.Mesh{},
		Book: &view.Book{Clock: clock}, Suspects: &crash.Suspects{Clock: clock}, Clock: clock, Log: slog.New(slog.DiscardHandler),
	}
	p.Open()
	<-p.learned // its seeds
	if got := p.pause(); got != meetEvery {
		t.Errorf("looks again after %d ms, want %d", got, meetEvery)
	}
	p.heard(&Hello{Name: "b", Addr: "10.0.0.2:7", Peers: []string{"10.0.0.3:7"}})
	if got := p.pause(); got != helloEvery {
		t.Errorf("looks again after %d ms once it met another, want %d", got, helloEvery)
	}
	select {
	case <-p.learned:
	default:
		t.Error("an address that it just heard of isn't asked at once")
	}
}
