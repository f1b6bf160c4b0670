package reads

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"testing"
	"time"

	"magnoliastall.example/magno"
	"magnoliastall.example/magno/view"
)

// fakeList is a list whose answers are set by the test.
type fakeList struct {
	mu sync.Mutex
	// fail makes all calls fail; compacted makes Wait fail until the next fresh read.
	fail, compacted        bool
	freshReads, staleReads int
	version                int64
	waits                  int
}

func (l *fakeList) All(_ context.Context, fresh bool) ([]magno.Change, magno.Revision, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.fail {
		return nil, 0, errors.New("down")
	}
	if fresh {
		l.freshReads++
		l.compacted = false
	} else {
		l.staleReads++
	}
	return []magno.Change{{Key: "plan", Revision: magno.Revision(l.version), Plan: &magno.Plan{Version: l.version}}}, magno.Revision(l.version), nil
}

func (l *fakeList) Wait(ctx context.Context, after magno.Revision, _ magno.Millis) ([]magno.Change, magno.Revision, error) {
	magno.Sleep(ctx, 2)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.waits++
	switch {
	case l.fail:
		return nil, 0, errors.New("down")
	case l.compacted:
		return nil, 0, magno.ErrCompacted
	}
	return nil, after, nil
}

func (l *fakeList) set(f func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f()
}

type flag struct {
	mu    sync.Mutex
	value bool
}

func (a *flag) set(value bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.value = value
}

func (a *flag) get() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.value
}

func startReader(t *testing.T, l *fakeList) (*Reader, *flag) {
	t.Helper()
	reachable := &flag{value: true}
	r := &Reader{
		List: l, Book: &view.Store{Clock: magno.NewMonotonic()}, ShouldRead: func() bool { return true },
		Broadcast: func(view.Update) {}, ReportReachable: reachable.set, Log: slog.New(slog.DiscardHandler),
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
	return r, reachable
}

func waitFor(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(time.Minute); !ok(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("timed out waiting for " + what)
		}
	}
}

// The list compacts its history. A stale read is of no use then: the changes since that
// state are gone, and a reader that keeps making stale reads would never recover.
func TestCompactedListIsReadAfresh(t *testing.T) {
	l := &fakeList{version: 3}
	r, _ := startReader(t, l)
	waitFor(t, "the first configuration", func() bool { return r.Book.Current().Plan != nil })
	l.set(func() { l.compacted, l.version = true, 9 })
	waitFor(t, "the newer configuration", func() bool { return r.Book.Current().Plan.Version == 9 })
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.freshReads != 1 || l.staleReads != 1 {
		t.Errorf("%d fresh and %d stale reads, want one each", l.freshReads, l.staleReads)
	}
}

// The list refuses this process while it serves others. The reader must report it as
// unreachable, so that another entry takes over, and as reachable when it is back.
func TestRefusedReaderReportsListUnreachable(t *testing.T) {
	l := &fakeList{version: 1}
	r, reachable := startReader(t, l)
	waitFor(t, "the first configuration", func() bool { return r.Book.Current().Plan != nil })
	l.set(func() { l.fail = true })
	waitFor(t, "the list to be reported unreachable", func() bool { return !reachable.get() })
	l.set(func() { l.fail = false })
	waitFor(t, "the list to be reported reachable", reachable.get)
}
