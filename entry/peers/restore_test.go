package peers

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"magnoliastall.example/entry/reads"
	"magnoliastall.example/magno"
	"magnoliastall.example/magno/crash"
	"magnoliastall.example/magno/view"
	"magnoliastall.example/magno/wire"
	"magnoliastall.example/platform"
	"magnoliastall.example/platform/fake"
)

const (
	// outageTime is longer than it takes until every entry polls the list.
	outageTime = staleAge + maxTakeoverDelay + 500
	// deliveryTime is the time that an update takes from one entry to another.
	deliveryTime = 5 * time.Millisecond
)

// readingFleet runs entries that read a fake list and know each other. Updates are delivered
// within the process.
type readingFleet struct {
	list  *fake.Store
	peers []*Peers
	wg    sync.WaitGroup
}

func startReadingFleet(tb testing.TB, n int) *readingFleet {
	tb.Helper()
	f := &readingFleet{list: fake.NewStore()}
	srv := httptest.NewServer(f.list)
	ctx, cancel := context.WithCancel(context.Background())
	tb.Cleanup(func() {
		cancel()
		f.wg.Wait()
		srv.Close()
	})
	for i := range n {
		clock := magno.NewMonotonic()
		p := &Peers{
			Self: fmt.Sprint(i), Addr: addr(i), Mesh: &wire.Mesh{}, Book: &view.Store{Clock: clock},
			Suspects: &crash.Suspects{Clock: clock}, Clock: clock, Log: slog.New(slog.DiscardHandler),
		}
		p.Open()
		for j := range n {
			if j != i {
				h := Hello{Name: fmt.Sprint(j), Addr: addr(j), ListReachable: true}
				p.known[h.Addr] = &peer{hello: h, rank: h.rank(), alive: true}
			}
		}
		f.peers = append(f.peers, p)
	}
	for _, p := range f.peers {
		r := &reads.Reader{
			List: (&platform.Platform{}).Lister(strings.TrimPrefix(srv.URL, "http://")), Book: p.Book,
			ShouldRead: p.ShouldRead, IsReader: p.IsReader, ReportReachable: p.SetListReachable,
			Broadcast: func(u view.Update) { f.deliver(ctx, p, u) }, Log: p.Log,
		}
		f.wg.Go(func() {
			if err := r.Run(ctx); err != nil {
				tb.Error(err)
			}
		})
	}
	return f
}

// deliver sends an update to all other entries, as sendToAll does.
func (f *readingFleet) deliver(ctx context.Context, from *Peers, u view.Update) {
	f.wg.Go(func() {
		if delay := from.broadcastDelay(); delay > 0 && (!magno.Sleep(ctx, delay) || from.received(u.Revision)) {
			return
		}
		time.Sleep(deliveryTime)
		data, err := json.Marshal(u)
		if err != nil {
			from.Log.Error("encoding update failed", "error", err)
			return
		}
		for _, p := range f.peers {
			if p != from {
				p.receiveFrom(from, data)
			}
		}
	})
}

// receiveFrom applies an encoded update of another entry, and fetches what it lacks for it.
func (p *Peers) receiveFrom(from *Peers, data []byte) {
	revision := p.receive(&Update{Payload: data}, from.Addr)
	p.mu.Lock()
	p.receivedRevision = max(p.receivedRevision, revision)
	p.mu.Unlock()
	if mine := p.Book.Current().Revision; revision > mine {
		p.apply(from.Book.Since(mine), from.Addr)
	}
}

// haveConfig reports whether all entries have a configuration version.
func (f *readingFleet) haveConfig(version int64) bool {
	for _, p := range f.peers {
		if plan := p.Book.Current().Plan; plan == nil || plan.Version < version {
			return false
		}
	}
	return true
}

// restore takes the list away until every entry polls it, brings it back from an older copy, and
// waits until all entries have what is then written. It returns the calls and the pages of
// listings that this took.
func (f *readingFleet) restore(tb testing.TB) (calls, listings int64, took time.Duration) {
	tb.Helper()
	f.list.Put("op/config", fake.Plan(1, 4, "k"))
	waitUntil(tb, func() bool { return f.haveConfig(1) })
	f.list.Put("op/config", fake.Plan(2, 4, "k"))
	waitUntil(tb, func() bool { return f.haveConfig(2) })
	f.list.Down.Store(true)
	time.Sleep(outageTime.Duration())
	f.list.Restore(1)
	f.list.Put("op/config", fake.Plan(3, 4, "k"))
	calls, listings = f.list.Calls.Load(), f.list.Listings.Load()
	back := time.Now()
	f.list.Down.Store(false)
	waitUntil(tb, func() bool { return f.haveConfig(3) })
	return f.list.Calls.Load() - calls, f.list.Listings.Load() - listings, time.Since(back)
}

func waitUntil(tb testing.TB, ok func() bool) {
	tb.Helper()
	for end := time.Now().Add(time.Minute); !ok(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			tb.Fatal("timed out waiting for the configuration")
		}
	}
}

// Guards against all entries reading the whole list at once when it comes back from an older
// copy.
func TestFewReadARestoredList(t *testing.T) {
	const entries = 30
	f := startReadingFleet(t, entries)
	if _, listings, _ := f.restore(t); listings == 0 || listings > entries/3 {
		t.Errorf("%d of %d entries read the whole list, want a third at most", listings, entries)
	}
}

// restored returns a revision of a list that was restored once.
func restored(t *testing.T, number int64) magno.Revision {
	t.Helper()
	r, err := magno.NewRevision(1, number)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

func upstream(rev magno.Revision, leaving bool) magno.Change {
	return magno.Change{Key: "servers/a", Revision: rev, Replica: &magno.Replica{
		ID: "a", Service: "s", Address: "10.9.0.1:80", DataCentre: "x", Slots: 1, Since: rev, Leaving: leaving,
	}}
}

// Guards against an entry that starts after a restore, and uses what the older copy has until its
// writers have written it again, although other entries know better.
func TestStarterLearnsWhatTheCopyLacks(t *testing.T) {
	a := start(t, "a")
	a.Book.ApplyRead([]magno.Change{plan(2, 1), upstream(2, false)}, 2, true)
	a.Book.ApplyRead([]magno.Change{plan(3, 3), upstream(4, true)}, 4, false)
	at := restored(t, 2)
	listing := []magno.Change{plan(2, restored(t, 1)), upstream(at, false)}
	a.Book.ApplyConsistent(listing, at)
	for _, name := range []string{"unverified", "verified"} {
		b := start(t, name, a.Addr)
		if name == "verified" {
			b.Book.ApplyConsistent(listing, at)
		} else {
			b.Book.ApplyRead(listing, at, true)
		}
		waitFor(t, "what the other knows", func() bool {
			snap := b.Book.Current()
			return snap.Plan.Version == 3 && snap.Replicas["a"] != nil && snap.Replicas["a"].Leaving && snap.Revision == at
		})
	}
	if snap := a.Book.Current(); snap.Plan.Version != 3 || !snap.Replicas["a"].Leaving {
		t.Errorf("the other forgot what it knew: %+v", snap)
	}
}

// Guards against the revision of a stale listing from before a restore, which the list doesn't
// have: everybody would take what gets the revisions up to it for known.
func TestRevisionThatTheListDoesNotHaveIsDropped(t *testing.T) {
	a := start(t, "a")
	at := restored(t, 2)
	a.Book.ApplyConsistent([]magno.Change{plan(2, restored(t, 1)), upstream(at, false)}, at)
	b := start(t, "b", a.Addr)
	ahead := restored(t, 9)
	b.Book.ApplyRead([]magno.Change{plan(2, restored(t, 1)), upstream(ahead, true)}, ahead, true)
	waitFor(t, "the revision of the list", func() bool {
		a.Book.ApplyRead(nil, at, false) // a confirms its state, as a reader does
		return b.Book.Current().Revision == at
	})
	if got := a.Book.Current().Revision; got != at {
		t.Errorf("the verified entry went to revision %s", got)
	}
}

// BenchmarkRestore measures how often a restored list is read, and how long it takes until all
// entries have what is written after the restore.
func BenchmarkRestore(b *testing.B) {
	for _, n := range []int{30, 100, 300} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			var calls, listings int64
			var took time.Duration
			for b.Loop() {
				c, l, d := startReadingFleet(b, n).restore(b)
				calls, listings, took = calls+c, listings+l, took+d
			}
			b.ReportMetric(float64(calls)/float64(b.N), "calls")
			b.ReportMetric(float64(listings)/float64(b.N), "listings")
			b.ReportMetric(float64(took.Milliseconds())/float64(b.N), "ms-to-all")
		})
	}
}
