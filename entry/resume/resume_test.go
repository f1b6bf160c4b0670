package resume

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"slices"
	"testing"
	"time"

	"magnoliastall.example/magno"
	"magnoliastall.example/magno/origin"
	"magnoliastall.example/magno/wire"
)

const (
	service = "s"
	lasts   = 20 * magno.Second
)

// node is the manager of an entry that a test can end.
type node struct {
	*Manager
	clock *magno.Clock
	// end ends its process, as far as others can tell.
	end func()
}

// startNodes starts entries that take all others for alive.
func startNodes(t *testing.T, n int) []*node {
	t.Helper()
	var nodes []*node
	var addrs []string
	for range n {
		mesh := &wire.Mesh{Listen: "127.0.0.1:0"}
		if err := mesh.Open(); err != nil {
			t.Fatal(err)
		}
		clock := magno.NewClock(magno.Hour)
		m := &Manager{
			Self: mesh.Addr(), Mesh: mesh, Current: func() bool { return true }, Table: &origin.Table{Clock: clock}, Log: slog.New(slog.DiscardHandler),
			Entries: func() []string { return slices.Clone(addrs) },
		}
		m.Open()
		addrs = append(addrs, mesh.Addr())
		nodes = append(nodes, &node{Manager: m, clock: clock})
	}
	for _, k := range nodes {
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan error, 2)
		go func() { ended <- k.Mesh.Run(ctx) }()
		go func() { ended <- k.Run(ctx) }()
		stopped := false
		k.end = func() {
			if stopped {
				return
			}
			stopped = true
			cancel()
			for range 2 {
				if err := <-ended; err != nil {
					t.Error(err)
				}
			}
		}
		t.Cleanup(k.end)
	}
	return nodes
}

// waitForKeepers waits until the entries that are told where a stream began know it, and no others.
func waitForKeepers(t *testing.T, nodes []*node, attempt string) {
	t.Helper()
	for end := time.Now().Add(time.Minute); ; time.Sleep(time.Millisecond) {
		know := 0
		for _, k := range nodes {
			if k.Table.Find(origin.StreamID(attempt)) != nil {
				know++
			}
		}
		if know == min(keeperCount+1, len(nodes)) {
			return
		}
		if time.Now().After(end) {
			t.Fatalf("%d entries know where the stream began", know)
		}
	}
}

// Guards against a stream that no entry can go on with once the one that began it was killed, along with
// some of those that it told.
func TestOriginOutlivesTheEntryThatRecordedIt(t *testing.T) {
	for _, size := range []int{2, 3, 8} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			nodes := startNodes(t, size)
			const attempt = "began-at-0"
			nodes[0].Record(attempt, origin.Origin{Service: service, Build: "v1"})
			waitForKeepers(t, nodes, attempt)
			nodes[0].end()
			living := nodes[1:]
			for killed := 0; killed < keeperCount-1 && len(living) > 1; killed++ {
				living[0].end()
				living = living[1:]
			}
			for i, k := range living {
				if o := k.Find(context.Background(), origin.Query{Attempt: attempt, Service: service, Lasts: lasts}); o == nil || o.Build != "v1" {
					t.Errorf("entry %d of those left finds %v, want v1", i, o)
				}
			}
		})
	}
}

// Guards against guessing where a stream began: none knows it, its caller doesn't state it, or the list of
// the only one that would know has been out of date.
func TestUnknownOriginIsNotGuessed(t *testing.T) {
	nodes := startNodes(t, 3)
	asker, other, third := nodes[0], nodes[1], nodes[2]
	one, two := map[string][]string{service: {"v1"}}, map[string][]string{service: {"v1", "v2"}}
	asker.Table.Update(one)
	other.Table.Update(two)
	third.Table.Update(two)
	find := func(attempt string) *origin.Origin {
		return asker.Find(context.Background(), origin.Query{Attempt: attempt, Service: service, Lasts: lasts})
	}
	if o := find("lost"); o != nil {
		t.Errorf("a lost record is taken for %v", o)
	}
	other.Table.Update(one)
	other.clock.Advance(lasts)
	if o := find("lost"); o != nil {
		t.Errorf("one of the entries sees two builds: got %v", o)
	}
	third.Table.Update(one)
	third.clock.Advance(lasts)
	if o := find("lost"); o == nil || o.Build != "v1" {
		t.Errorf("others have seen one build only for long: got %v, want v1", o)
	}
	if o := find(""); o == nil || o.Build != "v1" {
		t.Errorf("the caller doesn't state where it began, and there was one build only: got %v, want v1", o)
	}
	other.Table.Forget()
	third.Table.Forget()
	if o := find("lost"); o != nil {
		t.Errorf("entries whose list was out of date are believed: %v", o)
	}
	asker.clock.Advance(lasts)
	if o := find("lost"); o == nil {
		t.Error("an entry doesn't believe what it has seen itself")
	}
	other.Record("lost", origin.Origin{Service: service, Build: "v2"})
	waitForKeepers(t, nodes, "lost")
	if o := find("lost"); o == nil || o.Build != "v2" {
		t.Errorf("a record of a build that joined a moment ago: got %v, want v2", o)
	}
}

// Guards against telling where streams began while a service has one build, which any entry knows, and
// against losing those that began before another one joins.
func TestOriginsAreToldOnceBuildsServeSideBySide(t *testing.T) {
	nodes := startNodes(t, 2)
	teller, other := nodes[0], nodes[1]
	teller.Table.Update(map[string][]string{service: {"v1"}})
	teller.clock.Advance(pendingTime)
	for n := range 10 {
		teller.Record(fmt.Sprint(n), origin.Origin{Service: service, Build: "v1"})
	}
	if told := teller.takePending(); len(told) != 0 {
		t.Errorf("told %v while there is one build", told)
	}
	teller.Table.Update(map[string][]string{service: {"v1", "v2"}})
	for n := range 10 {
		waitForKeepers(t, nodes, fmt.Sprint(n))
	}
	if o := other.Table.Find(origin.StreamID("3")); o == nil || o.Build != "v1" {
		t.Errorf("the other entry knows %v, want v1", o)
	}
	teller.Table.Update(map[string][]string{service: {"v1"}})
	teller.clock.Advance(pendingTime)
	teller.Record("late", origin.Origin{Service: service, Build: "v1"})
	teller.clock.Advance(pendingTime + 1)
	teller.takePending()
	teller.mu.Lock()
	defer teller.mu.Unlock()
	if n := len(teller.pending); n != 0 {
		t.Errorf("%d records are kept for longer than a stream lasts", n)
	}
}

// Guards against refusing the streams of callers that don't state where they began, for a while after all
// entries have started, though the service has one build; and against going on if it has just had two.
func TestCallersWithoutAnAttemptGoOnAtTheOnlyBuild(t *testing.T) {
	nodes := startNodes(t, 3)
	for _, k := range nodes {
		k.Table.Update(map[string][]string{service: {"v1"}})
	}
	find := func() *origin.Origin {
		return nodes[0].Find(context.Background(), origin.Query{Attempt: "", Service: service, Lasts: lasts})
	}
	if o := find(); o == nil || o.Build != "v1" {
		t.Errorf("all have just started and see one build: got %v, want v1", o)
	}
	if o := nodes[0].Find(context.Background(), origin.Query{Attempt: "lost", Service: service, Lasts: lasts}); o != nil {
		t.Errorf("the caller states an attempt that nobody knows: got %v", o)
	}
	nodes[1].Table.Update(map[string][]string{service: {"v1", "v2"}})
	nodes[1].Table.Update(map[string][]string{service: {"v1"}})
	if o := find(); o != nil {
		t.Errorf("one of them has just seen two builds: got %v", o)
	}
	nodes[1].clock.Advance(lasts)
	if o := find(); o == nil {
		t.Error("refused though that was long ago")
	}
	nodes[0].Current = func() bool { return false }
	nodes[1].Table.Update(map[string][]string{service: {"v1", "v2"}})
	if o := find(); o != nil {
		t.Errorf("the list is out of date: got %v", o)
	}
}

// Guards against telling so much that an entry at the size planned for takes more than its part of the
// network, 21 KB a second in both directions, while builds serve side by side.
func TestToldOriginsAreSmall(t *testing.T) {
	const (
		// streams is the number of streams that begin at one entry per second, limit the bytes.
		streams = 438
		limit   = 21 << 10
		// envelope is what a message takes beside its content, with the headers of its packet.
		envelope = 120
	)
	m := &Manager{Table: &origin.Table{Clock: magno.NewClock(magno.Hour)}, pending: map[uint64]record{}}
	m.Table.Update(map[string][]string{"llm-pool": {"v1", "v1.1"}})
	flushes := int(magno.Second / flushInterval)
	bytes := 0
	for flush := range flushes {
		for n := range streams / flushes {
			m.Record(fmt.Sprintf("%d-%d", flush, n), origin.Origin{Service: "llm-pool", Build: []string{"v1", "v1.1"}[n%2]})
		}
		data, err := json.Marshal(m.takePending())
		if err != nil {
			t.Fatal(err)
		}
		bytes += keeperCount * (len(data) + envelope)
	}
	t.Logf("%d bytes per second sent, and as many received", bytes)
	if 2*bytes > limit {
		t.Errorf("%d bytes per second in both directions, at most %d", 2*bytes, limit)
	}
}
