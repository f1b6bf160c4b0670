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

// list answers as its script says.
type list struct {
	mu sync.Mutex
	// fail and compacted are answers of Wait; gone makes old states useless.
	fail, compacted bool
	fresh, stale    int
	version         int64
	waits           int
}

func (l *list) All(_ context.Context, fresh bool) ([]magno.Change, int64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.fail {
		return nil, 0, errors.New("down")
	}
	if fresh {
		l.fresh++
		l.compacted = false
	} else {
		l.stale++
	}
	return []magno.Change{{Key: "plan", Revision: l.version, Plan: &magno.Plan{Version: l.version}}}, l.version, nil
}

func (l *list) Wait(ctx context.Context, after int64, _ magno.Millis) ([]magno.Change, int64, error) {
	magno.Pause(ctx, 2)
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

func (l *list) set(f func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f()
}

type able struct {
	mu sync.Mutex
	is bool
}

func (a *able) set(is bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.is = is
}

func (a *able) get() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.is
}

func run(t *testing.T, l *list) (*Reader, *able) {
	t.Helper()
	a := &able{is: true}
	r := &Reader{
		List: l, Book: &view.Store{Clock: magno.NewSteady()}, ShouldRead: func() bool { return true },
		Broadcast: func(view.Update) {}, ReportReachable: a.set, Log: slog.New(slog.DiscardHandler),
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
	return r, a
}

func until(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(time.Minute); !ok(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("waited in vain for " + what)
		}
	}
}

// The list drops its history. What may be old is of no use then: the changes
// since are gone, and reading it again and again would never end.
func TestCompactedListIsReadAfresh(t *testing.T) {
	l := &list{version: 3}
	r, _ := run(t, l)
	until(t, "the first configuration", func() bool { return r.Book.Current().Plan != nil })
	l.set(func() { l.compacted, l.version = true, 9 })
	until(t, "the newer configuration", func() bool { return r.Book.Current().Plan.Version == 9 })
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.fresh != 1 || l.stale != 1 {
		t.Errorf("%d fresh and %d old listings, want one each", l.fresh, l.stale)
	}
}

// The list refuses this process while it serves others. It says so, and is told
// by them; when the list is back, it says that too.
func TestRefusedReaderStepsBack(t *testing.T) {
	l := &list{version: 1}
	r, a := run(t, l)
	until(t, "the first configuration", func() bool { return r.Book.Current().Plan != nil })
	l.set(func() { l.fail = true })
	until(t, "stepping back", func() bool { return !a.get() })
	l.set(func() { l.fail = false })
	until(t, "the return", a.get)
}
