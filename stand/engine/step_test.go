package engine

import (
	"fmt"
	"reflect"
	"strings"
	"testing"

	"magnoliastall.example/magno"
	"magnoliastall.example/stand/fault"
)

// mustSubmit queues a request or fails the test.
func mustSubmit(t testing.TB, e *Engine, req completionRequest) *request {
	t.Helper()
	if req.MaxTokens == 0 {
		req.MaxTokens = defaultOutputTokens
	}
	r, err := e.submit(req)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

func TestBatching(t *testing.T) {
	tests := []struct {
		name          string
		batch, tokens int
		prompts       []int // tokens of each request's prompt
		output        int
		// made is the number of output tokens of each request after each step.
		made [][]int64
		used int64
	}{
		{"all in one batch", 4, 100, []int{2, 3}, 2, [][]int64{{1, 1}, {2, 2}}, 5 + 2},
		{"one waits for a place", 1, 100, []int{2, 2}, 2, [][]int64{{1, 0}, {2, 0}, {2, 1}, {2, 2}}, 2 + 1 + 2 + 1},
		{"a long prompt is read in parts", 2, 4, []int{6, 1}, 2, [][]int64{{0, 0}, {1, 1}, {2, 2}}, 4 + 3 + 2},
		{"words go before prompts", 2, 2, []int{1, 4}, 3, [][]int64{{1, 0}, {2, 0}, {3, 0}, {3, 1}, {3, 2}, {3, 3}}, 2 + 2 + 2 + 1 + 1 + 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			e := newLoadedEngine(&Engine{BatchSize: tt.batch, TokenBudget: tt.tokens, Clock: magno.NewClock(0)}, "a@1")
			runs := make([]*request, 0, len(tt.prompts))
			for i, n := range tt.prompts {
				words := strings.Repeat(fmt.Sprintf("w%d ", i), n)
				runs = append(runs, mustSubmit(t, e, completionRequest{Model: "a@1", Prompt: words, MaxTokens: tt.output}))
			}
			for i, want := range tt.made {
				e.step()
				got := make([]int64, 0, len(runs))
				for _, r := range runs {
					got = append(got, r.generated.Load())
				}
				if !reflect.DeepEqual(got, want) {
					t.Fatalf("step %d: generated %v, want %v", i+1, got, want)
				}
			}
			if e.step() {
				t.Error("an idle engine ran a step")
			}
			c := e.Counts()
			if c.Steps != int64(len(tt.made)) || c.Capacity != c.Steps*int64(tt.tokens) || c.Used != tt.used {
				t.Errorf("counts %+v", c)
			}
		})
	}
}

func TestPriorities(t *testing.T) {
	e := newLoadedEngine(&Engine{BatchSize: 1, Clock: magno.NewClock(0)}, "a@1")
	for i, priority := range []int{0, 5, 9, 5} {
		mustSubmit(t, e, completionRequest{Model: "a@1", Prompt: "x", MaxTokens: 1, Priority: priority, RequestID: fmt.Sprint(i)})
	}
	for e.step() {
	}
	var order string
	for _, r := range e.Counts().Runs {
		order += r.ID
	}
	if order != "2130" {
		t.Fatalf("ran in order %s", order)
	}
}

func TestQueueIsBounded(t *testing.T) {
	e := newLoadedEngine(&Engine{QueueLimit: 2, Clock: magno.NewClock(0)}, "a@1")
	for range 2 {
		mustSubmit(t, e, completionRequest{Model: "a@1", Prompt: "x"})
	}
	if _, err := e.submit(completionRequest{Model: "a@1", Prompt: "x", MaxTokens: 1}); err == nil {
		t.Fatal("a third request was accepted")
	}
	if c := e.Counts(); c.Refused != 1 {
		t.Fatalf("counts %+v", c)
	}
}

func TestPrefixCache(t *testing.T) {
	e := newLoadedEngine(&Engine{BlockSize: 4, CacheSize: 4, Clock: magno.NewClock(0)}, "a@1", "a@2")
	start := strings.Repeat("same ", 8)
	tests := []struct {
		name, model, prompt string
		cached              int
	}{
		{"new", "a@1", start + "one", 0},
		{"same start", "a@1", start + "two", 8},
		{"the last token is read again", "a@1", start, 7},
		{"another version", "a@2", start, 0},
		{"other start", "a@1", strings.Repeat("other ", 8), 0},
		{"evicted", "a@1", start, 0},
	}
	for _, tt := range tests {
		r := mustSubmit(t, e, completionRequest{Model: tt.model, Prompt: tt.prompt, MaxTokens: 1})
		e.step()
		if r.cached != tt.cached {
			t.Errorf("%s: %d tokens cached, want %d", tt.name, r.cached, tt.cached)
		}
		if n := e.cache.entries.Len(); n > 4 {
			t.Errorf("%s: %d prefixes cached", tt.name, n)
		}
	}
}

// Cache events are delayed and some are lost. Readers must see the loss as a gap in
// Seq, or they would keep counting on evicted prefixes.
func TestCacheEvents(t *testing.T) {
	clock := magno.NewClock(1000)
	e := newLoadedEngine(&Engine{BlockSize: 1, CacheSize: 2, EventDelay: 50, EventLossInterval: 3, Clock: clock}, "a@1")
	mustSubmit(t, e, completionRequest{Model: "a@1", Prompt: "x y z", MaxTokens: 1})
	e.step()
	if shown := e.cache.visibleEvents(0, clock.Now()+49); len(shown) != 0 {
		t.Fatalf("early: %v", shown)
	}
	got := make([]string, 0, 2)
	for _, ev := range e.cache.visibleEvents(1, clock.Now()+50) {
		got = append(got, fmt.Sprint(ev.Seq, ev.Kind))
	}
	// Events 1 and 2 store two prefixes, event 3 is lost, event 4 stores the third.
	if want := []string{"2stored", "4stored"}; !reflect.DeepEqual(got, want) {
		t.Fatalf("got %v, want %v", got, want)
	}
}

func TestReportLags(t *testing.T) {
	clock := magno.NewClock(1000)
	e := newLoadedEngine(&Engine{ReportLag: 80, Clock: clock}, "a@1")
	mustSubmit(t, e, completionRequest{Model: "a@1", Prompt: "x", MaxTokens: 3})
	clock.Advance(20)
	e.step()
	for _, tt := range []struct {
		after   magno.Millis
		running int
	}{{0, 0}, {79, 0}, {1, 1}} {
		clock.Advance(tt.after)
		if n := e.laggedReport().Running; n != tt.running {
			t.Errorf("at %d: %d running", clock.Now(), n)
		}
	}
	if err := e.Fault(fault.Spec{Kind: fault.Lag, Value: 100}); err != nil {
		t.Fatal(err)
	}
	if n := e.laggedReport().Running; n != 0 {
		t.Errorf("with more lag: %d running", n)
	}
}

// Fault rates are applied without randomness, so that counts are the same in each
// run of a test.
func TestFailBeforeRun(t *testing.T) {
	e := newLoadedEngine(&Engine{Clock: magno.NewClock(0)}, "a@1")
	if err := e.Fault(fault.Spec{Kind: fault.Fail, Value: 0.25}); err != nil {
		t.Fatal(err)
	}
	for range 8 {
		_, _ = e.submit(completionRequest{Model: "a@1", Prompt: "x", MaxTokens: 1})
	}
	for e.step() {
	}
	if c := e.Counts(); c.Refused != 2 || len(c.Runs) != 6 {
		t.Fatalf("refused %d, ran %d", c.Refused, len(c.Runs))
	}
}

// BenchmarkStep measures a step with a full batch.
func BenchmarkStep(b *testing.B) {
	for _, n := range []int{1, 32, 256} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			e := newLoadedEngine(&Engine{BatchSize: n, TokenBudget: 4096, Clock: magno.NewClock(0)}, "a@1")
			for i := range n {
				r := mustSubmit(b, e, completionRequest{Model: "a@1", Prompt: fmt.Sprint(i), MaxTokens: 1})
				r.outputTokens = 1 << 30
			}
			e.step()
			b.ReportAllocs()
			for b.Loop() {
				e.step()
			}
		})
	}
}
