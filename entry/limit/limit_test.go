package limit

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"magnoliastall.example/magno"
	"magnoliastall.example/magno/notice"
	"magnoliastall.example/magno/wire"
)

// key is that of the upstream in these tests.
const key = "u@1"

// node is the manager of one entry, with its own port.
type node struct {
	*Manager
	stop func()
}

func startNode(t *testing.T, clock *magno.Clock) *node {
	t.Helper()
	mesh := &wire.Mesh{Listen: "127.0.0.1:0"}
	if err := mesh.Open(); err != nil {
		t.Fatal(err)
	}
	m := &Manager{
		Self: mesh.Addr(), Mesh: mesh, Count: func() (int, int) { return 1, 1 }, Notices: &notice.Board{Clock: clock},
		Clock: clock, Log: slog.New(slog.DiscardHandler),
	}
	m.Open()
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 2)
	go func() { ended <- mesh.Run(ctx) }()
	go func() { ended <- m.Run(ctx) }()
	var stopped atomic.Bool
	n := &node{Manager: m, stop: func() {
		if stopped.Swap(true) {
			return
		}
		cancel()
		for range 2 {
			if err := <-ended; err != nil {
				t.Error(err)
			}
		}
	}}
	t.Cleanup(n.stop)
	return n
}

// fleet is a number of entries that send to one upstream, which names a limit.
type fleet struct {
	t     *testing.T
	clock *magno.Clock
	rng   *rand.Rand
	nodes []*node
	// limited and rate are what the upstream states in its answers.
	limited  bool
	rate     float64
	arrivals []magno.Millis
}

func newFleet(t *testing.T, n int) *fleet {
	t.Helper()
	f := &fleet{t: t, clock: magno.NewClock(magno.Hour), rng: rand.New(rand.NewPCG(1, 1))} //nolint:gosec // reproducible load, no secret
	addrs := make([]string, 0, n)
	for range n {
		f.nodes = append(f.nodes, startNode(t, f.clock))
		addrs = append(addrs, f.nodes[len(f.nodes)-1].Self)
	}
	for _, m := range f.nodes {
		m.Homes = func(string) []string { return addrs[:min(4, n)] }
		m.Entries = func() []string { return slices.Clone(addrs) }
	}
	return f
}

// request sends a request from one entry, as the relay does.
func (f *fleet) request(n *node) {
	var g magno.LimitGrant
	if rate, limited := n.Notices.Limit(key); limited {
		if g = n.Take(context.Background(), key, rate); !g.Granted {
			return
		}
	}
	sentAt := f.clock.Now()
	f.arrivals = append(f.arrivals, sentAt)
	answer := magno.Notice{Limited: f.limited, Rate: f.rate}
	if n.Notices.Record(key, answer, sentAt) || g.Granted && !answer.Limited {
		n.Report(key, answer, g)
	}
}

// play has entries other than those in down send 60 requests per second in all.
func (f *fleet) play(d magno.Millis, down int) {
	for end := f.clock.Now() + d; f.clock.Now() < end; f.clock.Advance(50) {
		for range 3 {
			f.request(f.nodes[down+f.rng.IntN(len(f.nodes)-down)])
		}
	}
}

// waitAll waits until all entries know whether the upstream is limited.
func (f *fleet) waitAll(limited bool) {
	f.t.Helper()
	for _, n := range f.nodes {
		for end := time.Now().Add(time.Minute); ; time.Sleep(time.Millisecond) {
			if _, is := n.Notices.Limit(key); is == limited {
				break
			}
			if time.Now().After(end) {
				f.t.Fatalf("timed out waiting for an entry to be told %t", limited)
			}
		}
	}
}

// peak is the highest number of requests in 4 s since a time.
func (f *fleet) peak(since magno.Millis) int {
	most, first := 0, 0
	for i, at := range f.arrivals {
		for f.arrivals[first] < since || at-f.arrivals[first] > 4*magno.Second {
			if first == i {
				break
			}
			first++
		}
		if at >= since {
			most = max(most, i-first+1)
		}
	}
	return most
}

// Guards against a plain service's limit growing with the number of entries, and against its
// home's loss or restart letting more requests through.
func TestLimitHoldsOverAllEntries(t *testing.T) {
	for _, n := range []int{3, 30, 100, 300, 356} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			f := newFleet(t, n)
			f.limited, f.rate = true, 2
			f.request(f.nodes[n-1]) // one entry is told by an answer, the home tells the others
			f.waitAll(true)
			since := f.clock.Now()
			f.play(8*magno.Second, 0)
			f.nodes[0].stop()
			f.play(8*magno.Second, 1)
			bound := int(1.5*4*f.rate) + 5
			peak := f.peak(since)
			t.Logf("%d entries: at most %d requests in 4 s, %d in 16 s", n, peak, len(f.arrivals))
			if peak > bound {
				t.Errorf("%d requests in 4 s, allowed %d", peak, bound)
			}
			if got := len(f.arrivals); got < 26 {
				t.Errorf("%d requests in 16 s at a limit of 2 per second", got)
			}
		})
	}
}

// Guards against a limit that outlives its reason at entries that no answer reaches.
func TestEndOfALimitReachesAllEntries(t *testing.T) {
	f := newFleet(t, 30)
	f.limited, f.rate = true, 2
	f.request(f.nodes[7])
	f.waitAll(true)
	f.clock.Advance(magno.Second)
	f.limited = false
	f.request(f.nodes[8])
	f.waitAll(false)
	f.limited, f.rate = true, 3
	f.clock.Advance(magno.Second)
	f.request(f.nodes[9])
	f.waitAll(true)
}

// Guards against the answer to a request of another home's, whose clock differs, ending a limit.
func TestGrantOfAnotherHomeEndsNothing(t *testing.T) {
	f := newFleet(t, 2)
	home := f.nodes[0]
	home.report(reportCall{Key: key, Limited: true, Rate: 1})
	f.clock.Advance(10)
	home.report(reportCall{Key: key, Grant: magno.LimitGrant{Granted: true, At: f.clock.Now() + magno.Hour, Process: home.process + 2}})
	if state := home.take(takeCall{Key: key, Rate: 1}).State; !state.Limited {
		t.Error("the limit has ended")
	}
}

// Guards against entries that are cut off from all others granting themselves the whole limit.
func TestPartitionedHomeGrantsItsShare(t *testing.T) {
	f := newFleet(t, 2)
	home := f.nodes[0]
	home.Count = func() (int, int) { return 1, 4 }
	granted := 0
	for range 800 {
		if home.take(takeCall{Key: key, Rate: 4}).Granted {
			granted++
		}
		f.clock.Advance(10)
	}
	if granted < 7 || granted > 9 {
		t.Errorf("%d requests in 8 s, want a quarter of 4 per second", granted)
	}
}

// Guards against entries that can't know how many others there are and each send one upstream its whole limit, and
// against a home that is in debt, or refuses at an upstream without a limit, once it knows.
func TestHomeThatCannotKnowOthersGrantsNothing(t *testing.T) {
	f := newFleet(t, 2)
	home := f.nodes[0]
	home.Count = func() (int, int) { return 1, 1 << 20 }
	for range 800 {
		if r := home.take(takeCall{Key: key, Rate: 4}); r.Granted || r.RetryAfter <= 0 {
			t.Fatalf("got %+v", r)
		}
		f.clock.Advance(10)
	}
	home.Count = func() (int, int) { return 2, 2 }
	if !home.take(takeCall{Key: key, Rate: 4}).Granted {
		t.Error("refused after it has met the others")
	}
}

// Guards against each entry letting requests through while no home can be reached.
func TestNothingIsGrantedWithoutAHome(t *testing.T) {
	f := newFleet(t, 3)
	for _, n := range f.nodes[:2] {
		n.stop()
	}
	f.nodes[2].Homes = func(string) []string { return []string{f.nodes[0].Self, f.nodes[1].Self} }
	if g := f.nodes[2].Take(context.Background(), key, 2); g.Granted || g.RetryAfter < 100 {
		t.Errorf("got %+v", g)
	}
}

func TestHomesForgetUpstreams(t *testing.T) {
	f := newFleet(t, 1)
	f.nodes[0].take(takeCall{Key: key, Rate: 2})
	f.clock.Advance(homeTTL + 1)
	f.nodes[0].prune()
	if len(f.nodes[0].homes) > 0 {
		t.Error("the upstream is still remembered")
	}
}

// Guards against entries that no answer of a leaving upstream reached going on to send to it.
func TestLeavingReachesAllEntries(t *testing.T) {
	f := newFleet(t, 30)
	f.nodes[3].Notices.Record(key, magno.Notice{Leaving: true}, f.clock.Now())
	f.nodes[3].Report(key, magno.Notice{Leaving: true}, magno.LimitGrant{})
	f.waitLeaving(f.nodes)
}

// restart replaces entries by new processes, which know nothing. Others know them by their addresses.
func (f *fleet) restart(nodes ...int) {
	for _, i := range nodes {
		f.nodes[i].stop()
		f.nodes[i] = startNode(f.t, f.clock)
	}
	addrs := make([]string, 0, len(f.nodes))
	for _, n := range f.nodes {
		addrs = append(addrs, n.Self)
	}
	for _, n := range f.nodes {
		n.Homes = func(string) []string { return addrs[:min(4, len(addrs))] }
		n.Entries = func() []string { return slices.Clone(addrs) }
	}
}

// Guards against entries that were killed together, all or all but the home, and go on to send to an upstream
// that leaves or names a limit, each until its own answer says so: the home has told its predecessors.
func TestEntriesThatRestartTogetherLearnFromOneAnswer(t *testing.T) {
	for name, killed := range map[string][]int{"all": {0, 1, 2, 3, 4}, "all but the home": {1, 2, 3, 4}, "the home": {0}, "two": {3, 4}} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, 5)
			n := magno.Notice{Leaving: true, Limited: true, Rate: 2}
			answer := func(at *node) {
				if at.Notices.Record(key, n, f.clock.Now()) {
					at.Report(key, n, magno.LimitGrant{})
				}
			}
			answer(f.nodes[4])
			f.waitLeaving(f.nodes)
			f.clock.Advance(10 * magno.Second)
			f.restart(killed...)
			answer(f.nodes[killed[len(killed)-1]])
			f.waitLeaving(f.nodes)
			f.waitAll(true)
		})
	}
}

// Guards against messages to all entries for each answer that says what all know.
func TestKnownStatementIsToldSeldom(t *testing.T) {
	f := newFleet(t, 2)
	home := f.nodes[0]
	call := reportCall{Key: key, Leaving: true}
	told := 0
	for range 20 {
		home.mu.Lock()
		if home.learn(&call, f.clock.Now()) {
			told++
		}
		home.mu.Unlock()
		f.clock.Advance(100)
	}
	if told != 2 {
		t.Errorf("all entries were told %d times within 2 s, want 2", told)
	}
}

// waitLeaving waits until entries know that the upstream leaves.
func (f *fleet) waitLeaving(nodes []*node) {
	f.t.Helper()
	for _, n := range nodes {
		for end := time.Now().Add(time.Minute); !n.Notices.Leaving(key); time.Sleep(time.Millisecond) {
			if time.Now().After(end) {
				f.t.Fatal("timed out waiting for an entry to be told that the upstream leaves")
			}
		}
	}
}

// Guards against an entry that can't be reached at the first try going on without the limit: its
// machine is starting, or busy.
func TestEntryThatWasNotReachedIsToldAgain(t *testing.T) {
	f := newFleet(t, 3)
	late := f.nodes[2]
	late.stop()
	c := change{key: key, state: &magno.LimitState{Limited: true, Rate: 2, Age: 100}, leaving: true, at: f.clock.Now()}
	f.clock.Advance(50)
	missed := f.nodes[0].deliver(context.Background(), []string{f.nodes[1].Self, late.Self}, stateTimeout, c.call(f.clock.Now()))
	if len(missed) != 1 || missed[0] != late.Self {
		t.Errorf("%v were missed, want the one that is down", missed)
	}
	f.waitLeaving(f.nodes[1:2])
	if s := f.nodes[1].Notices.State(key); s == nil || s.Age != 150 {
		t.Errorf("the other one knows %+v", s)
	}
}
