package loop

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"magnoliastall.example/magno"
	"magnoliastall.example/magno/crash"
)

// fifo is a scheduler that runs up to width jobs concurrently, in order of arrival.
type fifo struct {
	width   int
	queue   []magno.Job
	running map[string]bool
	held    map[magno.Ref]bool
	loading bool
	orders  []magno.Order
	// refuse is the result of Offer, offers the number of its calls.
	refuse *magno.Refusal
	offers int
	// turns is true if loads need turns; turn is true while there is one.
	turns, turn bool
}

func (f *fifo) Offer(job magno.Job) *magno.Refusal {
	f.offers++
	if f.refuse == nil {
		f.queue = append(f.queue, job)
	}
	return f.refuse
}

func (f *fifo) Next() []magno.Order {
	orders := f.orders
	f.orders = nil
	for len(f.queue) > 0 && len(f.running) < f.width {
		job := f.queue[0]
		if !f.held[job.Ref] {
			if !f.loading && (!f.turns || f.turn) {
				f.loading, f.turn = true, false
				orders = append(orders, magno.Order{Kind: magno.OrderLoad, Ref: job.Ref})
			}
			break
		}
		f.queue = f.queue[1:]
		f.running[job.ID] = true
		orders = append(orders, magno.Order{Kind: magno.OrderStart, Job: job})
	}
	return orders
}

func (f *fifo) Done(id string, _ bool) { delete(f.running, id) }
func (f *fifo) Cancel(id string) bool {
	for i, job := range f.queue {
		if job.ID == id {
			f.queue = append(f.queue[:i:i], f.queue[i+1:]...)
			return true
		}
	}
	return false
}

func (f *fifo) Loaded(ref magno.Ref, ok bool) {
	f.loading, f.held[ref] = false, ok
	if ok {
		return
	}
	for _, job := range f.queue {
		f.orders = append(f.orders, magno.Order{Kind: magno.OrderRefuse, Job: job, Refusal: magno.Refuse(magno.KindLoading, "failed")})
	}
	f.queue = nil
}
func (f *fifo) Tokens(string, int)               {}
func (f *fifo) Unloaded(ref magno.Ref)           { delete(f.held, ref) }
func (f *fifo) Reset(magno.UpstreamEnd) []string { return nil }
func (f *fifo) Backlog() magno.Backlog {
	return magno.Backlog{Queued: len(f.queue), Running: len(f.running)}
}
func (f *fifo) Holds() map[magno.Ref]bool { return nil }
func (f *fifo) Turn(magno.Millis)         { f.turn = true }
func (f *fifo) Want() (magno.Ref, float64, bool) {
	if f.turns && len(f.queue) > 0 && !f.held[f.queue[0].Ref] && !f.loading {
		return f.queue[0].Ref, 1, true
	}
	return magno.Ref{}, 0, false
}

// engine is an upstream whose calls are implemented by run and load.
type engine struct {
	run  func(ctx context.Context, w magno.Work) (magno.Result, error)
	load func(ctx context.Context) error

	// boot is the boot number that Probe returns, probeErr its error.
	boot     atomic.Int64
	probeErr atomic.Pointer[error]

	mu  sync.Mutex
	ran []string
}

func (e *engine) Run(ctx context.Context, w magno.Work, _ func(magno.Piece)) (magno.Result, error) {
	e.mu.Lock()
	e.ran = append(e.ran, w.Job.ID)
	e.mu.Unlock()
	return e.run(ctx, w)
}
func (e *engine) Load(ctx context.Context, _ magno.Ref, _ int64) error { return e.load(ctx) }
func (e *engine) Unload(context.Context, magno.Ref, int64) error       { return nil }
func (e *engine) Probe(context.Context) (magno.Probe, error) {
	if err := e.probeErr.Load(); err != nil {
		return magno.Probe{}, *err
	}
	return magno.Probe{Boot: e.boot.Load()}, nil
}

func succeed(_ context.Context, w magno.Work) (magno.Result, error) {
	return magno.Result{Ref: w.Job.Ref}, nil
}

// runUntilCancelled runs until ctx is done.
func runUntilCancelled(ctx context.Context, _ magno.Work) (magno.Result, error) {
	<-ctx.Done()
	return magno.Result{}, magno.Refuse(magno.KindCancelled, "the request was cancelled")
}

// fixture is a loop that runs until end is called.
type fixture struct {
	*Loop
	sched *fifo
	eng   *engine
	end   func()
}

func start(t *testing.T, sched *fifo, eng *engine) *fixture {
	t.Helper()
	sched.running = map[string]bool{}
	if sched.held == nil {
		sched.held = map[magno.Ref]bool{{}: true}
	}
	sched.width = max(sched.width, 1)
	if eng.run == nil {
		eng.run = succeed
	}
	if eng.load == nil {
		eng.load = func(context.Context) error { return nil }
	}
	l := New()
	l.Clock, l.Scheduler, l.Upstream, l.Log = &magno.Clock{}, sched, eng, slog.New(slog.DiscardHandler)
	l.Suspects = &crash.Suspects{Clock: l.Clock}
	ctx, cancel := context.WithCancel(context.Background())
	go func() { _ = l.Run(ctx) }()
	end := func() { cancel(); <-l.ended }
	t.Cleanup(end)
	return &fixture{Loop: l, sched: sched, eng: eng, end: end}
}

// do runs a job in the background. The channel receives its refusal, or nil for a result.
func (b *fixture) do(ctx context.Context, id string) chan *magno.Refusal {
	got := make(chan *magno.Refusal, 1)
	go func() {
		_, err := b.Do(ctx, magno.Work{Job: magno.Job{ID: id, Fingerprint: uint64(len(id))}}, func(magno.Piece) {})
		refusal, _ := err.(*magno.Refusal) //nolint:errorlint // Do returns it unwrapped
		got <- refusal
	}()
	return got
}

// await waits up to a minute for a condition.
func await(t *testing.T, what string, met func() bool) {
	t.Helper()
	for end := time.Now().Add(time.Minute); !met(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("timed out waiting for: " + what)
		}
	}
}

func (b *fixture) awaitBacklog(t *testing.T, queued, running int) {
	t.Helper()
	await(t, "jobs queued and running", func() bool {
		got := b.Backlog()
		return got.Queued == queued && got.Running == running
	})
}

func expect(t *testing.T, got *magno.Refusal, kind magno.Kind, run magno.Run) {
	t.Helper()
	if kind == "" && got != nil || kind != "" && (got == nil || got.Kind != kind || got.Run != run) {
		t.Errorf("got %v, want %q run=%s", got, kind, run)
	}
}

// Two callers cancel, one whose job waits and one whose job runs. The waiting job must never reach
// the engine, and the capacity of both must be released; otherwise it would leak until no job
// could start.
func TestCancel(t *testing.T) {
	b := start(t, &fifo{}, &engine{run: runUntilCancelled})
	running, cancelRunning := context.WithCancel(context.Background())
	queued, cancelQueued := context.WithCancel(context.Background())
	first := b.do(running, "first")
	b.awaitBacklog(t, 0, 1)
	second := b.do(queued, "second")
	b.awaitBacklog(t, 1, 1)
	cancelQueued()
	expect(t, <-second, magno.KindCancelled, magno.RunNo)
	b.awaitBacklog(t, 0, 1)
	cancelRunning()
	expect(t, <-first, magno.KindCancelled, magno.RunUnknown)
	b.awaitBacklog(t, 0, 0)
	if len(b.eng.ran) != 1 {
		t.Errorf("ran %v", b.eng.ran)
	}
}

// An engine has restarted with empty slots and the agent has not detected it. The engine refuses a
// job before it starts; the caller should get a delay, not an error. A refusal by the scheduler
// itself is final.
func TestOfferedAgain(t *testing.T) {
	unloaded := magno.Refuse(magno.KindLoading, "not loaded")
	begun := magno.Refuse(magno.KindLoading, "lost").WithRun(magno.RunUnknown)
	tests := []struct {
		name string
		// answers are the engine's, of which the last one repeats; refuse is the scheduler's.
		answers []*magno.Refusal
		refuse  *magno.Refusal
		offers  int
		kind    magno.Kind
		run     magno.Run
	}{
		{"back after one", []*magno.Refusal{unloaded, nil}, nil, 2, "", ""},
		{"never back", []*magno.Refusal{unloaded}, nil, maxOffers, magno.KindLoading, magno.RunNo},
		{"perhaps begun", []*magno.Refusal{begun, nil}, nil, 1, magno.KindLoading, magno.RunUnknown},
		{"the scheduler's word", nil, unloaded, 1, magno.KindLoading, magno.RunNo},
	}
	for _, tt := range tests {
		eng := &engine{run: func(_ context.Context, w magno.Work) (magno.Result, error) {
			answer := tt.answers[0]
			if len(tt.answers) > 1 {
				tt.answers = tt.answers[1:]
			}
			if answer != nil {
				return magno.Result{}, answer
			}
			return succeed(context.Background(), w)
		}}
		b := start(t, &fifo{refuse: tt.refuse}, eng)
		expect(t, <-b.do(context.Background(), tt.name), tt.kind, tt.run)
		b.end()
		if b.sched.offers != tt.offers {
			t.Errorf("%s: offered %d times, want %d", tt.name, b.sched.offers, tt.offers)
		}
	}
}

// The agent stops while jobs run and wait. Every waiting job must be refused at once; otherwise
// callers would wait in vain until their deadline.
func TestEndAnswersEveryone(t *testing.T) {
	b := start(t, &fifo{}, &engine{run: runUntilCancelled})
	ctx, cancel := context.WithCancel(context.Background())
	first := b.do(ctx, "first")
	b.awaitBacklog(t, 0, 1)
	const most = 50
	var waiting []chan *magno.Refusal
	for i := range most {
		waiting = append(waiting, b.do(context.Background(), string(rune('A'+i))))
		if i == most/2 {
			b.awaitBacklog(t, most/2+1, 1)
			go b.end()
		}
	}
	for _, got := range waiting {
		expect(t, <-got, magno.KindLeaving, magno.RunNo)
	}
	b.end()
	expect(t, <-b.do(context.Background(), "late"), magno.KindLeaving, magno.RunNo)
	cancel()
	expect(t, <-first, magno.KindCancelled, magno.RunUnknown)
}

// The weight store hangs and the engine never answers a load order. The slot must be released;
// otherwise each such order would occupy one forever.
func TestOrderWithoutAnswer(t *testing.T) {
	hang := true
	b := start(t, &fifo{held: map[magno.Ref]bool{}}, &engine{load: func(ctx context.Context) error {
		if !hang {
			return nil
		}
		hang = false
		<-ctx.Done()
		return ctx.Err()
	}})
	b.post(func() { b.orderTimeout = time.Millisecond })
	expect(t, <-b.do(context.Background(), "first"), magno.KindLoading, magno.RunNo)
	b.post(func() { b.orderTimeout = defaultOrderTimeout })
	expect(t, <-b.do(context.Background(), "second"), "", "")
}

// An engine that runs another adapter than requested returns a plausible answer, which must be
// refused. A peer that sends an attempt twice must not leave the first one waiting.
func TestWrongAnswers(t *testing.T) {
	b := start(t, &fifo{}, &engine{run: func(context.Context, magno.Work) (magno.Result, error) {
		return magno.Result{Ref: magno.Ref{Adapter: "other"}}, nil
	}})
	expect(t, <-b.do(context.Background(), "x"), magno.KindInternal, magno.RunYes)
	c := start(t, &fifo{held: map[magno.Ref]bool{}, turns: true}, &engine{})
	first := c.do(context.Background(), "x")
	c.awaitBacklog(t, 1, 0)
	expect(t, <-c.do(context.Background(), "x"), magno.KindInternal, magno.RunNo)
	c.Load(context.Background(), magno.Minute)
	expect(t, <-first, "", "")
}

// A turn is for one load. It ends with the load, or shortly after it was given if no load is needed
// any more, because other agents wait for it.
func TestTurn(t *testing.T) {
	loads := make(chan struct{})
	b := start(t, &fifo{held: map[magno.Ref]bool{}, turns: true}, &engine{load: func(context.Context) error { <-loads; return nil }})
	b.Load(context.Background(), magno.Minute) // no load is needed
	if _, _, ok := b.Want(context.Background()); ok {
		t.Error("wants a load without a job")
	}
	b.post(func() { b.sched.turn = false })
	job := b.do(context.Background(), "x")
	await(t, "a wanted load", func() bool { _, _, ok := b.Want(context.Background()); return ok })
	over := make(chan struct{})
	go func() { defer close(over); b.Load(context.Background(), magno.Minute) }()
	loads <- struct{}{}
	<-over
	expect(t, <-job, "", "")
}
