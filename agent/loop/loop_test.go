package loop

import (
	"context"
	"log/slog"
	"sync"
	"testing"
	"time"

	"magnoliastall.example/magno"
	"magnoliastall.example/magno/crash"
)

// fifo is a scheduler that runs width jobs at once, first come first.
type fifo struct {
	width   int
	queue   []magno.Job
	running map[string]bool
	held    map[magno.Ref]bool
	loading bool
	orders  []magno.Order
	// refuse is what Offer returns, offers counts its calls.
	refuse *magno.Refusal
	offers int
	// turns is true when a load needs one; turn is the one given.
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
func (f *fifo) Tokens(string, int)     {}
func (f *fifo) Unloaded(ref magno.Ref) { delete(f.held, ref) }
func (f *fifo) Reset() []string        { return nil }
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

// engine runs what run and load say.
type engine struct {
	run  func(ctx context.Context, w magno.Work) (magno.Result, error)
	load func(ctx context.Context) error

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
func (e *engine) Probe(context.Context) (magno.Probe, error)           { return magno.Probe{}, nil }

func succeed(_ context.Context, w magno.Work) (magno.Result, error) {
	return magno.Result{Ref: w.Job.Ref}, nil
}

// runUntilCancelled runs until its caller goes away.
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

// do runs a job and gives its refusal, nil for an answer.
func (b *fixture) do(ctx context.Context, id string) chan *magno.Refusal {
	got := make(chan *magno.Refusal, 1)
	go func() {
		_, err := b.Do(ctx, magno.Work{Job: magno.Job{ID: id, Print: uint64(len(id))}}, func(magno.Piece) {})
		refusal, _ := err.(*magno.Refusal) //nolint:errorlint // Do returns it bare
		got <- refusal
	}()
	return got
}

// await waits for a condition, a minute at most.
func await(t *testing.T, what string, met func() bool) {
	t.Helper()
	for end := time.Now().Add(time.Minute); !met(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("in vain: " + what)
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

// Callers give up, one whose job waits and one whose job runs. The first job
// must never reach the engine, and both places must be free for others: kept,
// they would add up until nothing starts any more.
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

// An engine restarts and its slots are empty, but the agent has not noticed.
// The engine refuses the job unbegun; the caller should see a wait, no error.
// What the scheduler itself refuses is refused at once.
func TestOfferedAgain(t *testing.T) {
	unloaded := magno.Refuse(magno.KindLoading, "not loaded")
	begun := magno.Refuse(magno.KindLoading, "lost").Ran(magno.RunUnknown)
	tests := []struct {
		name string
		// answers are the engine's, the last for ever; refuse is the
		// scheduler's.
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

// The agent's process ends while jobs run and wait. Everyone who waits must
// hear that the job won't run, or callers sit until their deadline for nothing.
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

// The weight store hangs and the engine never answers an order to load. The
// slot must come free again; otherwise each such order takes one for good.
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

// A request crashes its engine and cuts every stream beside it. The one that
// was alone is refused after its second time; those beside it are suspects and
// no more, or an innocent caller would be turned away.
func TestCutStreamsAreSuspects(t *testing.T) {
	cut := magno.Refuse(magno.KindInterrupted, "cut")
	both := make(chan struct{})
	b := start(t, &fifo{width: 2}, &engine{run: func(context.Context, magno.Work) (magno.Result, error) {
		<-both
		return magno.Result{}, cut
	}})
	one, two := b.do(context.Background(), "x"), b.do(context.Background(), "yy")
	b.awaitBacklog(t, 0, 2)
	close(both)
	expect(t, <-one, magno.KindInterrupted, magno.RunUnknown)
	expect(t, <-two, magno.KindInterrupted, magno.RunUnknown)
	await(t, "suspects", func() bool { return b.Suspects.MustRunAlone(1) && b.Suspects.MustRunAlone(2) })
	expect(t, <-b.do(context.Background(), "x"), magno.KindInterrupted, magno.RunUnknown)
	await(t, "the one that was alone", func() bool { return b.Suspects.MustRefuse(1) })
	if b.Suspects.MustRefuse(2) {
		t.Error("a stream beside the crash is refused")
	}
}

// An engine that runs another version than was asked for gives a good-looking
// answer; a peer that sends an attempt twice must not leave the first waiting.
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

// A turn is for one load. It is over when the load has ended, and soon when
// nothing wants a load any more: others wait for it.
func TestTurn(t *testing.T) {
	loads := make(chan struct{})
	b := start(t, &fifo{held: map[magno.Ref]bool{}, turns: true}, &engine{load: func(context.Context) error { <-loads; return nil }})
	b.Load(context.Background(), magno.Minute) // nobody wants it
	if _, _, ok := b.Want(context.Background()); ok {
		t.Error("wants a load without a job")
	}
	b.post(func() { b.sched.turn = false })
	job := b.do(context.Background(), "x")
	await(t, "a wish", func() bool { _, _, ok := b.Want(context.Background()); return ok })
	over := make(chan struct{})
	go func() { defer close(over); b.Load(context.Background(), magno.Minute) }()
	loads <- struct{}{}
	<-over
	expect(t, <-job, "", "")
}
