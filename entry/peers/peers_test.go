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

// node runs the Peers of an entry on a port of its own.
type node struct {
	*Peers
	stop context.CancelFunc
	done chan error
}

func start(t *testing.T, name string, seeds ...string) *node {
	t.Helper()
	return startWithLink(t, name, 0, seeds...)
}

// startWithLink starts a node whose machine has a link of the given Mbit/s.
func startWithLink(t *testing.T, name string, link float64, seeds ...string) *node {
	t.Helper()
	mesh := &wire.Mesh{Listen: "127.0.0.1:0"}
	if err := mesh.Open(); err != nil {
		t.Fatal(err)
	}
	clock := magno.NewMonotonic()
	n := &node{done: make(chan error, 2), Peers: &Peers{
		Self: name, Addr: mesh.Addr(), LinkMbps: link, Seeds: seeds, Mesh: mesh, Book: &view.Store{Clock: clock},
		Suspects: &crash.Suspects{Clock: &magno.Clock{}}, Clock: clock, Log: slog.New(slog.DiscardHandler),
	}}
	n.Open()
	ctx, cancel := context.WithCancel(context.Background())
	go func() { n.done <- mesh.Run(ctx) }()
	go func() { n.done <- n.Run(ctx) }()
	stopped := false
	n.stop = func() {
		if stopped {
			return
		}
		stopped = true
		cancel()
		for range 2 {
			if err := <-n.done; err != nil {
				t.Error(err)
			}
		}
	}
	t.Cleanup(n.stop)
	return n
}

func waitFor(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(time.Minute); !ok(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("timed out waiting for " + what)
		}
	}
}

func plan(version int64, rev magno.Revision) magno.Change {
	return magno.Change{Key: "plan", Revision: rev, Plan: &magno.Plan{Version: version}}
}

// Processes know only a seed at their start. All of them must discover each other, and a
// change that one reads must reach all.
func TestUpdateReachesAllThroughASeed(t *testing.T) {
	seed := start(t, "seed")
	nodes := []*node{seed}
	for i := range 3 {
		nodes = append(nodes, start(t, fmt.Sprint("n", i), seed.Addr))
	}
	for _, n := range nodes {
		waitFor(t, "all peers", func() bool { return n.Processes(magno.Second) == len(nodes) })
	}
	first := nodes[3]
	first.Broadcast(first.Book.ApplyRead([]magno.Change{plan(7, 5)}, 5, true))
	for _, n := range nodes {
		waitFor(t, "the configuration", func() bool { p := n.Book.Current().Plan; return p != nil && p.Version == 7 })
	}
}

// An update to one process is lost. It must detect the higher revision in the next hello
// and fetch the changes.
func TestLostUpdateIsFetched(t *testing.T) {
	a := start(t, "a")
	a.Book.ApplyRead([]magno.Change{plan(3, 4)}, 4, true)
	b := start(t, "b", a.Addr)
	waitFor(t, "the configuration", func() bool { p := b.Book.Current().Plan; return p != nil && p.Version == 3 })
}

// endUnder records the end of upstreams under a request.
func endUnder(s *crash.Suspects, fingerprint uint64, upstreams ...uint64) {
	for _, up := range upstreams {
		s.RecordEnd(fingerprint, magno.UpstreamEnd{Upstream: up, Pool: 9})
	}
}

// Guards against a request that ends upstreams and comes again at another entry: ends that several
// entries saw count together, and a request that completed at one is cleared at all.
func TestSuspectsAreShared(t *testing.T) {
	a := start(t, "a")
	b := start(t, "b", a.Addr)
	endUnder(a.Suspects, 77, 1, 2)
	endUnder(b.Suspects, 77, 2, 3)
	waitFor(t, "the suspect", func() bool { return a.Suspects.MustRefuse(77) && b.Suspects.MustRefuse(77) })
	b.Suspects.Clear(77)
	waitFor(t, "the suspect to be cleared", func() bool { return a.Suspects.Count(77) == 0 })
}

// Guards against an entry that starts, or was cut off, sending a request to upstreams that ended
// others long before.
func TestStartingEntryLearnsOldSuspects(t *testing.T) {
	a := start(t, "a")
	a.Suspects.RecordEnd(77, magno.UpstreamEnd{Upstream: 1, Pool: 9})
	endUnder(a.Suspects, 77, 2, 3)
	waitFor(t, "the suspect to be old", func() bool {
		return len(a.Suspects.UpdatedSince(a.Suspects.Clock.Now()-suspectMaxAge, 1)) == 0
	})
	for up := range uint64(3) {
		a.Suspects.RecordEnd(78, magno.UpstreamEnd{Upstream: 10 + up, Pool: 8})
	}
	a.Suspects.Clear(78)
	b := start(t, "b", a.Addr)
	waitFor(t, "the suspect", func() bool { return b.Suspects.MustRefuse(77) })
	if n := b.Suspects.Count(78); n != 0 {
		t.Errorf("%d ends count against a request that completed before the entry started", n)
	}
}

// Upstreams crash one after the other, and all requests that ran there become suspects.
// With every suspect in every hello, the links of small machines had no capacity left for
// responses to callers.
func TestHelloStaysSmallAfterManyCrashes(t *testing.T) {
	a := start(t, "a")
	for i := range uint64(3000) {
		endUnder(a.Suspects, i+1, i)
	}
	if n := len(a.newHello(0, 0).Ends); n != maxSuspects {
		t.Errorf("a hello has %d suspects, want %d", n, maxSuspects)
	}
}

// Entries exchange hellos several times a second. With a hundred entries, listing all
// addresses each time took more of a narrow link than everything else in them. They must
// be listed only to a peer whose member hash differs.
func TestHelloOmitsPeersThatBothKnow(t *testing.T) {
	seed := start(t, "seed")
	nodes := []*node{seed, start(t, "a", seed.Addr), start(t, "b", seed.Addr)}
	for _, n := range nodes {
		waitFor(t, "all peers", func() bool { return n.Processes(magno.Second) == len(nodes) })
	}
	memberHash := seed.newHello(0, 0).MemberHash
	for _, n := range nodes {
		waitFor(t, "the same member hash", func() bool { return n.newHello(0, 0).MemberHash == memberHash })
		if got := n.newHello(memberHash, 0).Peers; len(got) != 0 {
			t.Errorf("%s lists %v to a peer that knows them", n.Self, got)
		}
		if got := n.newHello(memberHash+1, 0).Peers; len(got) != 2 {
			t.Errorf("%s lists %v to a peer with another member hash, want both", n.Self, got)
		}
	}
}

// If both of each pair of entries sent hellos, a large fleet would keep twice the
// connections and answer twice the hellos, and callers would wait behind them on small
// machines. Only the initiator sends them; the other one takes over when they cease.
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
	if a.initiates(b.Addr) == b.initiates(a.Addr) {
		t.Fatal("want exactly one initiator per pair")
	}
	if b.initiates(a.Addr) {
		a, b = b, a
	}
	meet := func() {
		hello, reply := a.newHello(0, 0), b.newHello(0, 0)
		b.applyHello(&hello)
		a.applyHello(&reply)
	}
	meet()
	for range 20 {
		clock.Advance(helloInterval)
		if len(b.due()) > 0 {
			t.Fatal("the peer that receives hellos sends them as well")
		}
		if len(a.due()) == 0 {
			t.Fatal("no hello is due")
		}
		a.known[b.Addr].pending = false
		meet()
	}
	clock.Advance(2 * helloInterval)
	if len(b.due()) == 0 {
		t.Error("the initiator is silent, and no hello to it is due")
	}
}

// Guards against a fetch over a narrow link that times out and is restarted forever.
func TestSlowFetchGetsMoreTime(t *testing.T) {
	p := newRanked(magno.NewClock(magno.Hour), 0, Hello{})
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
		if p.fetch(ctx, mesh.Addr(), Since{Ask: view.AskSince, Revision: 1}, p.fetchTimeout()); p.fetchTimeout() != want {
			t.Errorf("the next fetch has a timeout of %d ms, want %d ms", p.fetchTimeout(), want)
		}
	}
	cancel()
	if err := <-ended; err != nil {
		t.Error(err)
	}
}

// Guards against entries that start at the same time and need more than a second to meet:
// until then each of them has a small share of every customer's limit.
func TestDiscoveryIntervalBeforeFirstContact(t *testing.T) {
	clock := magno.NewClock(magno.Hour)
	p := &Peers{
		Self: "self", Addr: "10.0.0.1:7", Seeds: []string{"10.0.0.1:7", "10.0.0.2:7"}, Mesh: &wire.Mesh{},
		Book: &view.Store{Clock: clock}, Suspects: &crash.Suspects{Clock: clock}, Clock: clock, Log: slog.New(slog.DiscardHandler),
	}
	p.Open()
	<-p.wakeup // for the seeds
	if got := p.pollInterval(); got != discoveryInterval {
		t.Errorf("next poll after %d ms, want %d ms", got, discoveryInterval)
	}
	p.applyHello(&Hello{Name: "b", Addr: "10.0.0.2:7", Peers: []string{"10.0.0.3:7"}})
	if got := p.pollInterval(); got != helloInterval {
		t.Errorf("next poll after %d ms once it met another entry, want %d ms", got, helloInterval)
	}
	select {
	case <-p.wakeup:
	default:
		t.Error("a new address isn't contacted at once")
	}
}

// otherAddrs returns the addresses of n entries other than that of newRanked.
func otherAddrs(n int) (addrs []string) {
	for i := range n {
		addrs = append(addrs, addr(i+2))
	}
	return addrs
}

// Guards against an entry that joins a large fleet and sends hellos to all others at once,
// and against hellos that list every address while entries come and go.
func TestHellosStaySmallInALargeFleet(t *testing.T) {
	for _, n := range []int{30, 100, 300, 1000} {
		clock := magno.NewClock(magno.Hour)
		p := newRanked(clock, 0, Hello{})
		addrs := otherAddrs(n)
		p.addAddrs(addrs)
		if got := len(p.due()); got > maxProbes {
			t.Errorf("of %d entries, %d are contacted at once", n, got)
		}
		for i, a := range addrs {
			p.applyHello(&Hello{Name: fmt.Sprint(i), Addr: a, KnownCount: n})
		}
		if got := len(p.newHello(1, n).Peers); got > maxSampledPeers {
			t.Errorf("of %d entries, a hello lists %d to a peer that knows them", n, got)
		}
		if got := len(p.newHello(1, 0).Peers); got != n {
			t.Errorf("of %d entries, %d are listed to one that just started", n, got)
		}
		clock.Advance(helloInterval * magno.Millis(n))
		for _, k := range p.known {
			k.pending, k.alive, k.misses = false, false, lostAfterMisses
		}
		if got := len(p.due()); got > maxProbes {
			t.Errorf("of %d lost entries, %d are contacted at once", n, got)
		}
	}
}

// Guards against pairs of entries that start together and both send hellos: twice the
// connections and hellos at the time of the highest load on a small machine.
func TestOneOfAPairThatMeetsSaysHello(t *testing.T) {
	const n = 200
	clock := magno.NewClock(magno.Hour)
	p := newRanked(clock, 1, Hello{})
	p.addAddrs(otherAddrs(n))
	asked := 0
	meet := func() {
		for list := p.due(); len(list) > 0; list = p.due() {
			for addr, k := range list {
				asked++
				k.pending = false
				p.applyHello(&Hello{Name: addr, Addr: addr})
			}
		}
	}
	meet()
	if asked < n/4 || asked > n*3/4 {
		t.Errorf("%d of %d are contacted at once, want about half", asked, n)
	}
	clock.Advance(helloInterval)
	meet()
	if asked < n {
		t.Errorf("%d of %d are contacted after helloInterval, want all", asked, n)
	}
}
