package queues

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"magnoliastall.example/magno"
	"magnoliastall.example/magno/queue"
	"magnoliastall.example/magno/view"
)

// newManager returns a manager that runs, for a service s with upstreams of the given request slots.
func newManager(t *testing.T, entries int, slots ...int) *Manager {
	t.Helper()
	changes := []magno.Change{{Key: "plan", Revision: 1, Plan: &magno.Plan{Version: 1, Services: []magno.Service{{Name: "s"}}}}}
	for i, n := range slots {
		id := fmt.Sprint("u", i)
		changes = append(changes, magno.Change{Key: id, Revision: 1, Replica: &magno.Replica{ID: id, Service: "s", Address: "127.0.0.1:1", DataCentre: "x", Slots: n}})
	}
	book := &view.Store{Clock: magno.NewClock(magno.Hour)}
	book.ApplyRead(changes, 1, true)
	m := &Manager{
		Enabled: true, Clock: magno.NewMonotonic(), Book: book, Leaving: func(string) bool { return false },
		Count:       func() (int, int) { return entries, entries },
		DemandShare: func(string, float64) float64 { return 1 / float64(entries) }, Log: slog.New(slog.DiscardHandler),
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- m.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	return m
}

func (m *Manager) request(left magno.Millis) Request {
	now := m.Clock.Now()
	return Request{Received: now, Due: now + 300, Deadline: now + left}
}

// TestIsQueued guards against a service that is queued with many request slots, and against one that
// changes as an entry ends or as this one is cut off.
func TestIsQueued(t *testing.T) {
	for _, c := range []struct {
		name                string
		active              bool
		slots, alive, known int
		want                bool
	}{
		{"as many slots as entries", false, 24, 24, 24, true},
		{"more slots than entries", false, 25, 24, 24, false},
		{"an entry ends", true, 24, 22, 23, true},
		{"half of the entries end", true, 24, 12, 12, false},
		{"cut off", true, 24, 1, 20, true},
		{"cut off for long", true, 24, 1, 1, true},
		{"one entry", false, 24, 1, 1, false},
		{"one entry, one slot", false, 1, 1, 1, false},
		{"none heard yet", false, 24, 1, 24, true},
		{"no upstreams", true, 0, 24, 24, true},
	} {
		s := &service{active: c.active, slots: c.slots}
		if got := s.isQueued(c.alive, c.known); got != c.want {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
}

// TestOthersAreNotQueued guards against a delay for services with enough request slots.
func TestOthersAreNotQueued(t *testing.T) {
	m := newManager(t, 5, 6, 6)
	if _, err := m.Acquire(context.Background(), "s", m.request(1000)); !errors.Is(err, ErrNotQueued) {
		t.Errorf("got %v", err)
	}
}

// TestTurns guards against requests that get no turn, and against more in flight than the windows
// admit.
func TestTurns(t *testing.T) {
	m := newManager(t, 3, 1, 1)
	var mu sync.Mutex
	running, most := 0, 0
	var all sync.WaitGroup
	for range 40 {
		all.Go(func() {
			turn, err := m.Acquire(context.Background(), "s", m.request(20000))
			if err != nil {
				t.Error(err)
				return
			}
			mu.Lock()
			running++
			most = max(most, running)
			mu.Unlock()
			time.Sleep(2 * time.Millisecond)
			mu.Lock()
			running--
			mu.Unlock()
			turn.End(queue.Result{Took: 2, OK: true})
			turn.End(queue.Result{Took: 2, OK: true})
		})
	}
	all.Wait()
	if most > 6 {
		t.Errorf("%d requests were in flight at 2 request slots", most)
	}
}

// TestCallerLeaves guards against a turn for a request whose caller left, and against one that is lost
// with it.
func TestCallerLeaves(t *testing.T) {
	m := newManager(t, 3, 1)
	turn, err := m.Acquire(context.Background(), "s", m.request(20000))
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	left := make(chan error, 1)
	go func() {
		_, err := m.Acquire(ctx, "s", m.request(20000))
		left <- err
	}()
	for m.waiting() == 0 {
		time.Sleep(time.Millisecond)
	}
	cancel()
	if err := <-left; !errors.Is(err, context.Canceled) {
		t.Errorf("got %v", err)
	}
	if n := m.waiting(); n != 0 {
		t.Errorf("%d requests still wait", n)
	}
	turn.End(queue.Result{Took: 5, OK: true})
	next, err := m.Acquire(context.Background(), "s", m.request(20000))
	if err != nil {
		t.Fatal(err)
	}
	next.End(queue.Result{Void: true})
}

func (m *Manager) waiting() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.get("s").waiting)
}

// TestLateRequestGetsATurn guards against refusing a request that is late and can still be answered.
func TestLateRequestGetsATurn(t *testing.T) {
	m := newManager(t, 3, 1)
	r := m.request(20000)
	r.Received, r.Due = r.Received-1000, r.Due-1000
	turn, err := m.Acquire(context.Background(), "s", r)
	if err != nil {
		t.Fatal(err)
	}
	turn.End(queue.Result{Took: 5, OK: true})
}

// TestRefusedWhenAllUpstreamsLeave guards against a request that waits in vain once all upstreams leave,
// and against a turn for it when they are back, after its caller was told that it does not run.
func TestRefusedWhenAllUpstreamsLeave(t *testing.T) {
	m := newManager(t, 3, 1)
	var leaving atomic.Bool
	m.Leaving = func(string) bool { return leaving.Load() }
	turn, err := m.Acquire(context.Background(), "s", m.request(20000))
	if err != nil {
		t.Fatal(err)
	}
	waits := make(chan error, 1)
	go func() {
		_, err := m.Acquire(context.Background(), "s", m.request(20000))
		waits <- err
	}()
	for m.waiting() == 0 {
		time.Sleep(time.Millisecond)
	}
	leaving.Store(true)
	since := m.Clock.Now()
	m.Update()
	var refusal *magno.Refusal
	if err := <-waits; !errors.As(err, &refusal) || refusal.After <= 0 {
		t.Errorf("got %v", err)
	}
	if took := m.Clock.Now() - since; took > 10*magno.Second {
		t.Errorf("refused after %d ms", took)
	}
	leaving.Store(false)
	m.Update()
	turn.End(queue.Result{Took: 5, OK: true})
	m.mu.Lock()
	defer m.mu.Unlock()
	if s := m.get("s"); len(s.waiting) != 0 || s.queue.Stats().InFlight != 0 {
		t.Errorf("%d wait and %d are in flight", len(s.waiting), s.queue.Stats().InFlight)
	}
}

// TestRejectedWhileWaiting guards against a request that waits for its deadline although the only
// upstream rests past it.
func TestRejectedWhileWaiting(t *testing.T) {
	m := newManager(t, 3, 1)
	turn, err := m.Acquire(context.Background(), "s", m.request(20000))
	if err != nil {
		t.Fatal(err)
	}
	defer turn.End(queue.Result{Void: true})
	waits := make(chan error, 1)
	go func() {
		_, err := m.Acquire(context.Background(), "s", m.request(20000))
		waits <- err
	}()
	for m.waiting() == 0 {
		time.Sleep(time.Millisecond)
	}
	m.Rest("s", "u0@0", m.Clock.Now()+60000)
	var refusal *magno.Refusal
	if err := <-waits; !errors.As(err, &refusal) || refusal.After <= 0 {
		t.Errorf("got %v", err)
	}
}
