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
		Self: name, Addr: mesh.Addr(), LinkMbps: link, Seeds: seeds, Mesh: mesh, Book: &view.Store{Clock: clock},
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
	first.Broadcast(first.Book.ApplyRead([]magno.Change{plan(7, 5)}, 5, true))
	for _, n := range nodes {
		until(t, "the configuration", func() bool { p := n.Book.Current().Plan; return p != nil && p.Version == 7 })
	}
}

// The word of a change is lost on the way to one process. It sees the higher
// revision in the next exchange, and fetches what it missed.
func TestLostNewsIsFetched(t *testing.T) {
	a := start(t, "a")
	a.Book.ApplyRead([]magno.Change{plan(3, 4)}, 4, true)
	b := start(t, "b", a.Addr)
	until(t, "the configuration", func() bool { p := b.Book.Current().Plan; return p != nil && p.Version == 3 })
}

// A request that crashed upstreams is sent again through another entry, which
// must know it.
func TestSuspectsAreShared(t *testing.T) {
	a := start(t, "a")
	b := start(t, "b", a.Addr)
	a.Suspects.RecordFailure(77)
	a.Suspects.RecordFailure(77)
	until(t, "the suspect", func() bool { return b.Suspects.MustRefuse(77) })
}

// Upstreams crash one after the other, and all that ran there becomes suspect.
// What entries tell each other stays small: with every suspect in every hello,
// small machines had no room for callers' answers.
func TestHelloStaysSmallAfterManyCrashes(t *testing.T) {
	a := start(t, "a")
	for i := range 3000 {
		a.Suspects.RecordFailure(uint64(i + 1))
	}
	if n := len(a.self(0, 0).Suspects); n != mostSuspects {
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
	crowd := seed.self(0, 0).MemberHash
	for _, n := range nodes {
		until(t, "the same crowd", func() bool { return n.self(0, 0).MemberHash == crowd })
		if got := n.self(crowd, 0).Peers; len(got) != 0 {
			t.Errorf("%s names %v to one that knows them", n.Self, got)
		}
		if got := n.self(crowd+1, 0).Peers; len(got) != 2 {
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
			Self: self, Addr: self, Seeds: []string{other}, Mesh: &wire.Mesh{}, Book: &view.Store{Clock: clock},
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
		hello, reply := a.self(0, 0), b.self(0, 0)
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
	for _, want := range []magno.Millis{2 * magno.Second, 4 * magno.Second} {
		if p.pull(mesh.Addr(), 1); p.pullLimit() != want {
			t.Errorf("the next fetch gets %d ms, want %d", p.pullLimit(), want)
		}
	}
	cancel()
	if err := <-ended; err != nil {
		t.Error(err)
	}
}

// Guards against entries that start at the same time and take a second and more to meet:
// until then each has a small part of every customer's limit.
func TestOneThatMetNobodyAsksSooner(t *testing.T) {
	clock := magno.NewClock(magno.Hour)
	p := &Peers{
		Self: "self", Addr: "10.0.0.1:7", Seeds: []string{"10.0.0.1:7", "10.0.0.2:7"}, Mesh: &wire.Mesh{},
		Book: &view.Store{Clock: clock}, Suspects: &crash.Suspects{Clock: clock}, Clock: clock, Log: slog.New(slog.DiscardHandler),
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

// others are the addresses of n entries besides ranked's own.
func others(n int) (addrs []string) {
	for i := range n {
		addrs = append(addrs, addr(i+2))
	}
	return addrs
}

// Guards against an entry that starts in a large fleet and says hello to all others at
// once, and against hellos that name everybody while entries come and go.
func TestHellosStaySmallInALargeFleet(t *testing.T) {
	for _, n := range []int{30, 100, 300, 1000} {
		clock := magno.NewClock(magno.Hour)
		p := ranked(clock, 0, Hello{})
		addrs := others(n)
		p.learn(addrs)
		if got := len(p.due()); got > mostMeeting {
			t.Errorf("of %d entries, %d are asked at once", n, got)
		}
		for i, a := range addrs {
			p.heard(&Hello{Name: fmt.Sprint(i), Addr: a, KnownCount: n})
		}
		if got := len(p.self(1, n).Peers); got > mostNamed {
			t.Errorf("of %d entries, a hello names %d to one that knows them", n, got)
		}
		if got := len(p.self(1, 0).Peers); got != n {
			t.Errorf("of %d entries, %d are named to one that just started", n, got)
		}
		clock.Advance(helloEvery * magno.Millis(n))
		for _, k := range p.known {
			k.asking, k.alive, k.misses = false, false, goneAfter
		}
		if got := len(p.due()); got > mostMeeting {
			t.Errorf("of %d entries that are lost, %d are asked at once", n, got)
		}
	}
}

// Guards against entries that start together and of which both of each pair say hello:
// twice the connections and hellos at the moment at which a small machine has most to do.
func TestOneOfAPairThatMeetsSaysHello(t *testing.T) {
	const n = 200
	clock := magno.NewClock(magno.Hour)
	p := ranked(clock, 1, Hello{})
	p.learn(others(n))
	asked := 0
	meet := func() {
		for list := p.due(); len(list) > 0; list = p.due() {
			for addr, k := range list {
				asked++
				k.asking = false
				p.heard(&Hello{Name: addr, Addr: addr})
			}
		}
	}
	meet()
	if asked < n/4 || asked > n*3/4 {
		t.Errorf("%d of %d are asked at once, want about half", asked, n)
	}
	clock.Advance(helloEvery)
	meet()
	if asked < n {
		t.Errorf("%d of %d are asked after a while, want all", asked, n)
	}
}
