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

// held returns an engine whose steps are made by the test; each is over when
// the function returns.
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
			t.Fatal("the engine waits for no step")
		}
		waitFor(t, "the step", func() bool { return calls() > before })
	}
}

// A request is sent to an engine that dropped its adapter or never had it. If
// the engine ran it anyway, the user would get an answer by another adapter.
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

// An agent evicts an adapter while a request waits or runs on it. The user
// would get half an answer by one adapter and half by another.
func TestUnloadInUse(t *testing.T) {
	s, step := newSteppedEngine(t, &Engine{LoadTime: 1, BatchSize: 1})
	s.load("a@1", 0)
	var wg sync.WaitGroup
	for range 2 {
		wg.Go(func() { s.post("/v1/completions", completionRequest{Model: "a@1", Prompt: "x", MaxTokens: 2}) })
	}
	waitFor(t, "two waiting", func() bool { n, _ := s.queueSizes(); return n == 2 })
	if status := s.unload("a@1", 0); status != http.StatusConflict {
		t.Fatalf("while waiting: %d", status)
	}
	step()
	if _, n := s.queueSizes(); n != 1 {
		t.Fatalf("%d running", n)
	}
	if status := s.unload("a@1", 0); status != http.StatusConflict {
		t.Fatalf("while running: %d", status)
	}
	for range 3 {
		step()
	}
	wg.Wait()
	if status := s.unload("a@1", 0); status != http.StatusOK {
		t.Fatalf("after the last: %d", status)
	}
	if status, _ := s.post("/v1/completions", completionRequest{Model: "a@1", Prompt: "x"}); status != http.StatusNotFound {
		t.Fatalf("unloaded adapter ran: %d", status)
	}
}

// An agent is paused, its successor takes over, and the old one wakes and goes
// on giving orders. An engine that checks refuses them; one that ignores the
// number obeys, and adapters vanish under the successor's requests.
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

// store answers loads with a status and counts them; a load waits for go.
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

// Agents and a waking predecessor order the same load twice, all slots are
// taken, or the store fails. Each must be told apart, or the agent would wait
// for a load that never comes.
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
		t.Fatalf("unloaded while it loads: %d", status)
	}
	if status, _ := s.post("/v1/completions", completionRequest{Model: "a@1", Prompt: "x"}); status != http.StatusNotFound {
		t.Errorf("ran while it loads: %d", status)
	}
	if status := s.load("b@1", 0); status != http.StatusConflict {
		t.Errorf("no slot: %d", status)
	}
	close(proceed)
	for range 2 {
		if status := <-got; status != http.StatusOK {
			t.Errorf("load: %d", status)
		}
	}
	if n.Load() != 1 {
		t.Errorf("%d loads at the store", n.Load())
	}
}

func TestLoadFails(t *testing.T) {
	proceed := make(chan struct{})
	close(proceed)
	url, _ := newStore(t, http.StatusServiceUnavailable, proceed)
	s := startEngine(t, &Engine{AdapterSlots: 1, StoreURL: url, Client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}})
	for range 2 {
		// The second finds the slot free again.
		if status := s.load("a@1", 0); status != http.StatusFailedDependency {
			t.Fatalf("status %d", status)
		}
	}
}

// A load is under way when the engine restarts. The agent must not take the
// late end of it for an adapter in a slot.
func TestRestartEndsLoad(t *testing.T) {
	url, n := newStore(t, http.StatusOK, make(chan struct{}))
	s := startEngine(t, &Engine{StoreURL: url, Client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}})
	got := make(chan int, 1)
	go func() { got <- s.load("a@1", 0) }()
	waitFor(t, "the load at the store", func() bool { return n.Load() == 1 })
	s.setFault(fault.Spec{Kind: fault.Restart})
	if status := <-got; status != 0 {
		t.Fatalf("status %d, want a cut", status)
	}
	if r := s.laggedReport(); len(r.Loaded) != 0 {
		t.Fatalf("loaded %v", r.Loaded)
	}
}

// An engine restarts empty: whoever trusts the report of before sends it work
// for adapters that are gone. The boot number tells.
func TestRestartClearsState(t *testing.T) {
	s, step := newSteppedEngine(t, &Engine{LoadTime: 1})
	s.load("a@1", 7)
	before := s.laggedReport().Boot
	cut := make(chan bool, 1)
	go func() {
		_, whole := s.stream(completionRequest{Model: "a@1", Prompt: "x", MaxTokens: 100})
		cut <- !whole
	}()
	waitFor(t, "a waiting request", func() bool { n, _ := s.queueSizes(); return n == 1 })
	step()
	s.setFault(fault.Spec{Kind: fault.Restart})
	if !<-cut {
		t.Error("the stream ended as if whole")
	}
	r := s.laggedReport()
	if r.Boot <= before || len(r.Loaded) != 0 || r.Steps != 0 || r.Running != 0 {
		t.Errorf("report %+v", r)
	}
	if status, _ := s.post("/v1/completions", completionRequest{Model: "a@1", Prompt: "x"}); status != http.StatusNotFound {
		t.Errorf("an adapter outlived the restart: %d", status)
	}
	if status := s.load("a@1", 1); status != http.StatusOK {
		t.Errorf("the fence outlived the restart: %d", status)
	}
	if c := s.Counts(); len(c.Runs) != 1 || c.Runs[0].Ended {
		t.Errorf("runs %+v", c.Runs)
	}
}

// An engine is ended under its callers. Requests left waiting for steps that
// nobody makes would hang until their callers give up.
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
		t.Fatalf("after the end: %v", err)
	}
}

// One request kills whatever runs it. Its neighbours' streams are cut with it,
// and they must look cut, not finished.
func TestCrash(t *testing.T) {
	s := startEngine(t, &Engine{LoadTime: 1, StepTime: 1, RestartTime: 1})
	s.load("a@1", 0)
	before := s.laggedReport().Boot
	s.setFault(fault.Spec{Kind: fault.Crash, Match: "poison"})
	neighbour := make(chan bool, 1)
	go func() {
		_, whole := s.stream(completionRequest{Model: "a@1", Prompt: "x", MaxTokens: maxOutputTokens})
		neighbour <- whole
	}()
	waitFor(t, "the neighbour", func() bool { _, n := s.queueSizes(); return n == 1 })
	if status, _ := s.post("/v1/completions", completionRequest{Model: "a@1", Prompt: "a poison pill"}); status != 0 {
		t.Errorf("the crash was answered with %d", status)
	}
	if <-neighbour {
		t.Error("the neighbour's stream ended as if whole")
	}
	waitFor(t, "the engine to be up", s.up)
	if r := s.laggedReport(); r.Boot <= before || len(r.Loaded) != 0 {
		t.Errorf("report %+v", r)
	}
	if c := s.Counts(); len(c.Runs) != 2 {
		t.Errorf("runs %+v", c.Runs)
	}
}

// The caller gives up, by a cancel or by going away. A place that stayed taken
// would be lost until the words nobody reads are made.
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
				t.Error("the first was answered")
			}
			waitFor(t, "the place", func() bool { _, n := s.queueSizes(); return n == 0 })
			step()
			if status := <-second; status != http.StatusOK {
				t.Errorf("the second: %d", status)
			}
			if c := s.Counts(); len(c.Runs) != 2 || c.Runs[0].Ended || !c.Runs[1].Ended {
				t.Errorf("runs %+v", c.Runs)
			}
			if status := s.unload("a@1", 0); status != http.StatusOK {
				t.Errorf("a use was left over: %d", status)
			}
		})
	}
}
