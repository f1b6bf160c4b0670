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
			ShouldRead: p.ShouldRead, ReportReachable: p.SetListReachable,
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
