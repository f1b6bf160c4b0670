package reads

import (
	"context"
	"log/slog"
	"net/http/httptest"
	"strings"
	"testing"

	"magnoliastall.example/magno"
	"magnoliastall.example/magno/view"
	"magnoliastall.example/platform"
	"magnoliastall.example/platform/fake"
)

const (
	planKey    = "op/config"
	replicaKey = "servers/a"
)

// workerEntry is the entry of an upstream that doesn't report its start time.
func workerEntry(host, state string, sequence int) map[string]any {
	return map[string]any{
		"service": "s", "address": host + ":80", "zone": "z", "version": "v1", "slots": 8, "state": state,
		"cold_remaining_ms": 0, "sequence": sequence,
	}
}

// follow runs a reader of a fake list until the test ends.
func follow(t *testing.T, list *fake.Store) *Reader {
	t.Helper()
	srv := httptest.NewServer(list)
	t.Cleanup(srv.Close)
	r := &Reader{
		List: (&platform.Platform{}).Lister(strings.TrimPrefix(srv.URL, "http://")),
		Book: &view.Store{Clock: magno.NewMonotonic()}, ShouldRead: func() bool { return true },
		Broadcast: func(view.Update) {}, ReportReachable: func(bool) {}, Log: slog.New(slog.DiscardHandler),
	}
	ctx, cancel := context.WithCancel(context.Background())
	end := make(chan error, 1)
	go func() { end <- r.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-end; err != nil {
			t.Error(err)
		}
	})
	return r
}

// writeDay writes a configuration, an upstream and a few changes of it, and waits until the
// reader has them.
func writeDay(t *testing.T, list *fake.Store, r *Reader) {
	t.Helper()
	list.Put(planKey, fake.Plan(1, 4, "k"))
	list.Put(replicaKey, workerEntry("10.0.0.1", "ready", 1))
	list.Put(planKey, fake.Plan(2, 4, "k"))
	for i := range 6 {
		list.Put(replicaKey, workerEntry("10.0.0.1", "ready", 2+i))
	}
	list.Put("servers/b", workerEntry("10.0.0.2", "ready", 1))
	waitFor(t, "the state before the restore", func() bool {
		snap := r.Book.Current()
		return snap.Plan != nil && snap.Plan.Version == 2 && len(snap.Replicas) == 2
	})
}

// hasNews reports whether the reader has what writeNews wrote.
func hasNews(r *Reader) bool {
	snap := r.Book.Current()
	a := snap.Replicas["a"]
	return snap.Plan.Version == 3 && a != nil && a.Leaving
}

func writeNews(list *fake.Store) {
	list.Put(planKey, fake.Plan(3, 4, "k"))
	list.Put(replicaKey, workerEntry("10.0.0.1", "draining", 20))
}

// Guards against ignoring the changes to which a list that came back from an older copy gives
// revisions that the reader has seen before.
func TestRevisionsGivenOutAgainAreRead(t *testing.T) {
	list := fake.NewStore()
	r := follow(t, list)
	writeDay(t, list, r)
	list.Restore(5)
	writeNews(list)
	waitFor(t, "the changes after the restore", func() bool { return hasNews(r) })
}

// Guards against a watch that continues after a restore from the revision of before, which the
// list has given out again meanwhile.
func TestRestoreDuringAnOutageIsNoticed(t *testing.T) {
	list := fake.NewStore()
	r := follow(t, list)
	writeDay(t, list, r)
	known := list.Revision()
	list.Down.Store(true)
	list.Restore(5)
	writeNews(list)
	for i := 0; list.Revision() <= known; i++ {
		list.Put("servers/c", workerEntry("10.0.0.3", "ready", i))
	}
	list.Down.Store(false)
	waitFor(t, "the changes after the restore", func() bool { return hasNews(r) })
}

// Guards against taking a stale listing for the restored list: it may be older than the restore.
func TestStaleListingIsNotTakenForARestoredList(t *testing.T) {
	list := fake.NewStore()
	list.Put(planKey, fake.Plan(1, 4, "k"))
	list.FreezeStaleReads()
	list.Put(planKey, fake.Plan(2, 4, "k"))
	list.Restore(0)
	list.Put(planKey, fake.Plan(3, 4, "k"))
	srv := httptest.NewServer(list)
	defer srv.Close()
	r := &Reader{
		List: (&platform.Platform{}).Lister(strings.TrimPrefix(srv.URL, "http://")),
		Book: &view.Store{Clock: magno.NewMonotonic()}, Broadcast: func(view.Update) {}, ReportReachable: func(bool) {},
		Log: slog.New(slog.DiscardHandler),
	}
	r.init()
	r.Book.ApplyRead([]magno.Change{{Key: planKey, Revision: 2, Plan: &magno.Plan{Version: 2}}}, 2, true)
	r.poll(context.Background())
	if got := r.Book.Current().Revision; got != 2 {
		t.Fatalf("a stale listing brought revision %s", got)
	}
	r.poll(context.Background())
	if snap := r.Book.Current(); snap.Plan.Version != 3 {
		t.Errorf("configuration %d at %s, want 3", snap.Plan.Version, snap.Revision)
	}
}

// Guards against a reader that asks without a pause while the list never has what it needs.
func TestRepeatedGapsBackOff(t *testing.T) {
	r := &Reader{Book: &view.Store{Clock: magno.NewMonotonic()}, ReportReachable: func(bool) {}, Log: slog.New(slog.DiscardHandler)}
	for i, want := range []magno.Millis{0, minBackoff, 2 * minBackoff, 4 * minBackoff, maxBackoff, maxBackoff} {
		if got := r.recordGap(magno.ErrCompacted, 1); got != want {
			t.Errorf("pause %d is %d ms, want %d", i, got, want)
		}
	}
}

// Guards against reading the whole list although a peer has sent what is missing.
func TestListingIsLeftOutIfAPeerSentIt(t *testing.T) {
	r := &Reader{Book: &view.Store{Clock: magno.NewMonotonic()}, ShouldRead: func() bool { return true }, ReportReachable: func(bool) {}, Log: slog.New(slog.DiscardHandler)}
	r.Book.ApplyRead([]magno.Change{{Key: planKey, Revision: 2, Plan: &magno.Plan{Version: 2}}}, 2, true)
	r.recordGap(magno.ErrRestored, 2)
	if !r.isDue() || !r.readAll {
		t.Error("the whole list isn't read after a restore")
	}
	later, err := magno.NewRevision(1, 2)
	if err != nil {
		t.Fatal(err)
	}
	if err := r.Book.ApplyUpdate(view.Update{Since: 2, Revision: later, Base: later}); err != nil {
		t.Fatal(err)
	}
	if !r.isDue() || r.readAll {
		t.Error("the whole list is read although a peer sent what is missing")
	}
}
