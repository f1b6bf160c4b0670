package engine

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"magnoliastall.example/stand/fault"
	"magnoliastall.example/stand/serve"
)

// newSteppedEngine returns an engine and a function that runs one step and
// returns when it has ended.
func newSteppedEngine(t *testing.T, e *Engine) (*testEngine, func()) {
	ticks := make(chan struct{})
	e.Ticks = ticks
	calls := func() int64 {
		e.mu.Lock()
		defer e.mu.Unlock()
		return e.stepCalls
	}
	return startEngine(t, e), func() {
		t.Helper()
		before := calls()
		select {
		case ticks <- struct{}{}:
		case <-time.After(30 * time.Second):
			t.Fatal("the engine does not wait for a step")
		}
		waitFor(t, "the step", func() bool { return calls() > before })
	}
}

// A request for an adapter that is not loaded must be rejected: running it would
// answer with the wrong adapter.
func TestNotLoadedNeverRuns(t *testing.T) {
	s := startEngine(t, &Engine{LoadTime: 1})
	s.load("a@1", 0)
	for _, model := range []string{"b@1", "a@2", "a"} {
		if status, _ := s.post("/v1/completions", completionRequest{Model: model, Prompt: "x"}); status != http.StatusNotFound {
			t.Errorf("%s: status %d", model, status)
		}
	}
	if c := s.Counts(); len(c.Runs) != 0 || c.Refused != 3 || c.Steps != 0 {
		t.Fatalf("counts %+v", c)
	}
}

// An adapter must not be unloaded while a request waits or runs on it, or the
// answer would mix the output of two adapters.
func TestUnloadInUse(t *testing.T) {
	s, step := newSteppedEngine(t, &Engine{LoadTime: 1, BatchSize: 1})
	s.load("a@1", 0)
	var wg sync.WaitGroup
	for range 2 {
		wg.Go(func() { s.post("/v1/completions", completionRequest{Model: "a@1", Prompt: "x", MaxTokens: 2}) })
	}
	waitFor(t, "two waiting", func() bool { n, _ := s.queueSizes(); return n == 2 })
	if status := s.unload("a@1", 0); status != http.StatusConflict {
		t.Fatalf("while a request waits: status %d", status)
	}
	step()
	if _, n := s.queueSizes(); n != 1 {
		t.Fatalf("%d running", n)
	}
	if status := s.unload("a@1", 0); status != http.StatusConflict {
		t.Fatalf("while a request runs: status %d", status)
	}
	for range 3 {
		step()
	}
	wg.Wait()
	if status := s.unload("a@1", 0); status != http.StatusOK {
		t.Fatalf("after the last request: status %d", status)
	}
	if status, _ := s.post("/v1/completions", completionRequest{Model: "a@1", Prompt: "x"}); status != http.StatusNotFound {
		t.Fatalf("request on an unloaded adapter: status %d", status)
	}
}

// An agent is paused, its successor takes over, and the old agent resumes and
// sends more requests. The engine must reject their lower fencing token. With the
// ignorefence fault it accepts them, and adapters that the successor uses are
// unloaded.
func TestFence(t *testing.T) {
	s := startEngine(t, &Engine{LoadTime: 1})
	steps := []struct {
		name   string
		do     func() int
		status int
	}{
		{"first", func() int { return s.load("a@1", 5) }, http.StatusOK},
		{"old load", func() int { return s.load("b@1", 4) }, http.StatusPreconditionFailed},
		{"old unload", func() int { return s.unload("a@1", 4) }, http.StatusPreconditionFailed},
		{"old request", func() int {
			n, _ := s.post("/v1/completions", completionRequest{Model: "a@1", Prompt: "x", Fence: 4})
			return n
		}, http.StatusPreconditionFailed},
		{"no number on a request", func() int {
			n, _ := s.post("/v1/completions", completionRequest{Model: "a@1", Prompt: "x"})
			return n
		}, http.StatusOK},
		{"same", func() int { return s.load("b@1", 5) }, http.StatusOK},
		{"newer", func() int { return s.unload("b@1", 6) }, http.StatusOK},
		{"ignored", func() int {
			s.setFault(fault.Spec{Kind: fault.IgnoreFence})
			return s.unload("a@1", 1)
		}, http.StatusOK},
	}
	for _, tt := range steps {
		if status := tt.do(); status != tt.status {
			t.Fatalf("%s: status %d, want %d", tt.name, status, tt.status)
		}
	}
	if c := s.Counts(); len(c.Runs) != 1 {
		t.Fatalf("runs %+v", c.Runs)
	}
}

// newStore starts a weight store that answers with status once proceed is closed.
// It returns its URL and the number of loads.
func newStore(t *testing.T, status int, proceed <-chan struct{}) (string, *atomic.Int64) {
	var n atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		n.Add(1)
		select {
		case <-proceed:
		case <-r.Context().Done():
		}
		w.WriteHeader(status)
	}))
	t.Cleanup(server.Close)
	return server.URL, &n
}

// A second load of the same adapter waits for the first; a load without a free
// slot is rejected. The agent needs different statuses for these cases, or it
// would wait for a load that never ends.
func TestLoads(t *testing.T) {
	proceed := make(chan struct{})
	url, n := newStore(t, http.StatusOK, proceed)
	s := startEngine(t, &Engine{AdapterSlots: 1, StoreURL: url, Client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}})
	got := make(chan int, 2)
	for range 2 {
		go func() { got <- s.load("a@1", 0) }()
	}
	waitFor(t, "the load at the store", func() bool { return n.Load() == 1 })
	if status := s.unload("a@1", 0); status != http.StatusConflict {
		t.Fatalf("unload during the load: status %d", status)
	}
	if status, _ := s.post("/v1/completions", completionRequest{Model: "a@1", Prompt: "x"}); status != http.StatusNotFound {
		t.Errorf("request during the load: status %d", status)
	}
	if status := s.load("b@1", 0); status != http.StatusConflict {
		t.Errorf("load without a free slot: status %d", status)
	}
	close(proceed)
	for range 2 {
		if status := <-got; status != http.StatusOK {
			t.Errorf("load: status %d", status)
		}
	}
	if n.Load() != 1 {
		t.Errorf("the store got %d loads, want 1", n.Load())
	}
}

func TestLoadFails(t *testing.T) {
	proceed := make(chan struct{})
	close(proceed)
	url, _ := newStore(t, http.StatusServiceUnavailable, proceed)
	s := startEngine(t, &Engine{AdapterSlots: 1, StoreURL: url, Client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}})
	for range 2 {
		// The failed load must have freed the slot.
		if status := s.load("a@1", 0); status != http.StatusFailedDependency {
			t.Fatalf("status %d", status)
		}
	}
}

// The engine restarts during a load. The load must be aborted, so that the agent
// does not assume that the adapter is loaded.
func TestRestartEndsLoad(t *testing.T) {
	url, n := newStore(t, http.StatusOK, make(chan struct{}))
	s := startEngine(t, &Engine{StoreURL: url, Client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}})
	got := make(chan int, 1)
	go func() { got <- s.load("a@1", 0) }()
	waitFor(t, "the load at the store", func() bool { return n.Load() == 1 })
	s.setFault(fault.Spec{Kind: fault.Restart})
	if status := <-got; status != 0 {
		t.Fatalf("status %d, want an aborted connection", status)
	}
	if r := s.laggedReport(); len(r.Loaded) != 0 {
		t.Fatalf("loaded %v", r.Loaded)
	}
}

// A restart unloads all adapters and resets the fencing token. The boot number
// must change, so that agents discard reports of the boot before.
func TestRestartClearsState(t *testing.T) {
	s, step := newSteppedEngine(t, &Engine{LoadTime: 1})
	s.load("a@1", 7)
	before := s.laggedReport().Boot
	aborted := make(chan bool, 1)
	go func() {
		_, complete := s.stream(completionRequest{Model: "a@1", Prompt: "x", MaxTokens: 100})
		aborted <- !complete
	}()
	waitFor(t, "a waiting request", func() bool { n, _ := s.queueSizes(); return n == 1 })
	step()
	s.setFault(fault.Spec{Kind: fault.Restart})
	if !<-aborted {
		t.Error("the aborted stream looks complete")
	}
	r := s.laggedReport()
	if r.Boot <= before || len(r.Loaded) != 0 || r.Steps != 0 || r.Running != 0 {
		t.Errorf("report %+v", r)
	}
	if status, _ := s.post("/v1/completions", completionRequest{Model: "a@1", Prompt: "x"}); status != http.StatusNotFound {
		t.Errorf("request after the restart: status %d", status)
	}
	if status := s.load("a@1", 1); status != http.StatusOK {
		t.Errorf("load with a lower fencing token after the restart: status %d", status)
	}
	if c := s.Counts(); len(c.Runs) != 1 || c.Runs[0].Ended {
		t.Errorf("runs %+v", c.Runs)
	}
}

// An engine that stops must abort its requests: without further steps they would
// hang until their callers time out.
func TestShutdownAbortsRequests(t *testing.T) {
	e := newLoadedEngine(&Engine{StepTime: 1}, "a@1")
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- e.Run(ctx) }()
	r := mustSubmit(t, e, completionRequest{Model: "a@1", Prompt: "x", MaxTokens: maxOutputTokens})
	cancel()
	if err := <-ended; err != nil || r.state.Load() != stateAborted {
		t.Fatalf("ended with %v, request in state %d", err, r.state.Load())
	}
	if _, err := e.submit(completionRequest{Model: "a@1", Prompt: "x", MaxTokens: 1}); !errors.Is(err, serve.ErrAborted) {
		t.Fatalf("submit after the end: %v", err)
	}
}

// A request crashes the engine. The other streams must look aborted, not complete.
func TestCrash(t *testing.T) {
	s := startEngine(t, &Engine{LoadTime: 1, StepTime: 1, RestartTime: 1})
	s.load("a@1", 0)
	before := s.laggedReport().Boot
	s.setFault(fault.Spec{Kind: fault.Crash, Match: "poison"})
	other := make(chan bool, 1)
	go func() {
		_, complete := s.stream(completionRequest{Model: "a@1", Prompt: "x", MaxTokens: maxOutputTokens})
		other <- complete
	}()
	waitFor(t, "the other request", func() bool { _, n := s.queueSizes(); return n == 1 })
	if status, _ := s.post("/v1/completions", completionRequest{Model: "a@1", Prompt: "a poison pill"}); status != 0 {
		t.Errorf("the crashing request got status %d", status)
	}
	if <-other {
		t.Error("the other stream looks complete")
	}
	waitFor(t, "the engine to be up", s.up)
	if r := s.laggedReport(); r.Boot <= before || len(r.Loaded) != 0 {
		t.Errorf("report %+v", r)
	}
	if c := s.Counts(); len(c.Runs) != 2 {
		t.Errorf("runs %+v", c.Runs)
	}
}

// A cancelled request, or one whose client disconnects, must free its place in the
// batch at once and not only when all its tokens are generated.
func TestCancelFreesBatchSlot(t *testing.T) {
	tests := map[string]func(s *testEngine, drop context.CancelFunc){
		"cancel":     func(s *testEngine, _ context.CancelFunc) { s.post("/v1/cancel", cancelRequest{RequestID: "one"}) },
		"disconnect": func(_ *testEngine, drop context.CancelFunc) { drop() },
	}
	for name, end := range tests {
		t.Run(name, func(t *testing.T) {
			s, step := newSteppedEngine(t, &Engine{LoadTime: 1, BatchSize: 1})
			s.load("a@1", 0)
			ctx, drop := context.WithCancel(context.Background())
			defer drop()
			first := make(chan int, 1)
			go func() {
				status, _ := s.send(ctx, "/v1/completions", completionRequest{Model: "a@1", Prompt: "x", MaxTokens: 100, RequestID: "one"})
				first <- status
			}()
			waitFor(t, "the first", func() bool { n, _ := s.queueSizes(); return n == 1 })
			step()
			second := make(chan int, 1)
			go func() {
				status, _ := s.post("/v1/completions", completionRequest{Model: "a@1", Prompt: "y", MaxTokens: 1})
				second <- status
			}()
			waitFor(t, "the second", func() bool { n, _ := s.queueSizes(); return n == 1 })
			end(s, drop)
			if status := <-first; status == http.StatusOK {
				t.Error("the cancelled request got status 200")
			}
			waitFor(t, "the place", func() bool { _, n := s.queueSizes(); return n == 0 })
			step()
			if status := <-second; status != http.StatusOK {
				t.Errorf("the second request: status %d", status)
			}
			if c := s.Counts(); len(c.Runs) != 2 || c.Runs[0].Ended || !c.Runs[1].Ended {
				t.Errorf("runs %+v", c.Runs)
			}
			if status := s.unload("a@1", 0); status != http.StatusOK {
				t.Errorf("unload: status %d, a reference is left", status)
			}
		})
	}
}
