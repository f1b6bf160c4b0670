package engine

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"

	"magnoliastall.example/stand/fault"
)

func TestAnswers(t *testing.T) {
	s := startEngine(t, &Engine{LoadTime: 1, StepTime: 1})
	s.load("a@1", 0)
	tests := []struct {
		prompt    string
		max, want int
		finish    string
	}{
		{"read this", 5, 5, "length"},
		{"read this len=3", 5, 3, "stop"},
		{"read this len=9", 5, 5, "length"},
		{"read this len=x", 2, 2, "length"},
		{"read this", 0, defaultOutputTokens, "length"},
	}
	for _, tt := range tests {
		t.Run(fmt.Sprint(tt.prompt, tt.max), func(t *testing.T) {
			req := completionRequest{Model: "a@1", Prompt: tt.prompt, MaxTokens: tt.max, RequestID: "r"}
			status, body := s.post("/v1/completions", req)
			var a completionResponse
			if err := json.Unmarshal(body, &a); err != nil || status != http.StatusOK {
				t.Fatalf("status %d, %s", status, body)
			}
			text := Expect("a@1", tt.prompt, tt.want)
			if c := a.Choices[0]; c.Text != text || c.Finish != tt.finish || a.Usage.Completion != tt.want || a.Model != "a@1" || a.ID != "r" {
				t.Errorf("got %+v, want %q", a, text)
			}
			if n := len(strings.Fields(text)); n != tt.want {
				t.Errorf("%d tokens", n)
			}
			if got, complete := s.stream(req); got != text || !complete {
				t.Errorf("streamed %q, complete %v", got, complete)
			}
		})
	}
}

func TestExpectIsDistinct(t *testing.T) {
	texts := map[string]bool{}
	for _, model := range []string{"a@1", "a@2", "b@1"} {
		for _, prompt := range []string{"x", "y", "x y"} {
			texts[Expect(model, prompt, 4)] = true
		}
	}
	if len(texts) != 9 {
		t.Fatalf("%d different texts of 9", len(texts))
	}
}

func TestBadRequests(t *testing.T) {
	s := startEngine(t, &Engine{LoadTime: 1})
	s.load("a@1", 0)
	tests := []struct {
		path, body string
		status     int
	}{
		{"/v1/completions", `{"model":`, http.StatusBadRequest},
		{"/v1/completions", `{"prompt":"x"}`, http.StatusBadRequest},
		{"/v1/completions", `{"model":"a@1","prompt":"  "}`, http.StatusBadRequest},
		{"/v1/completions", `{"model":"a@1","prompt":"x","max_tokens":-1}`, http.StatusBadRequest},
		{"/v1/completions", `{"model":"a@1","prompt":"x","priority":10}`, http.StatusBadRequest},
		{"/v1/completions", `"` + strings.Repeat("x", 1<<20) + `"`, http.StatusRequestEntityTooLarge},
		{"/v1/load_lora_adapter", `{"lora_name":"a"}`, http.StatusBadRequest},
		{"/v1/load_lora_adapter", `{"lora_name":"@1"}`, http.StatusBadRequest},
		{"/v1/cancel", `{}`, http.StatusBadRequest},
		{"/v1/none", `{}`, http.StatusNotFound},
	}
	for _, tt := range tests {
		if status, _ := s.post(tt.path, []byte(tt.body)); status != tt.status {
			t.Errorf("%s %.40s: status %d", tt.path, tt.body, status)
		}
	}
	if c := s.Counts(); len(c.Runs) != 0 {
		t.Errorf("runs %+v", c.Runs)
	}
}

// Hundreds of concurrent callers share one engine. A token that reached the wrong
// stream, or was lost between step and handler, changes the text.
func TestManyStreams(t *testing.T) {
	const callers = 300
	s := startEngine(t, &Engine{LoadTime: 1, StepTime: 1, BatchSize: 64, AdapterSlots: 4})
	models := []string{"a@1", "a@2", "b@1", "c@1"}
	for _, model := range models {
		s.load(model, 0)
	}
	var wg sync.WaitGroup
	for i := range callers {
		wg.Go(func() {
			req := completionRequest{Model: models[i%len(models)], Prompt: fmt.Sprintf("caller %d len=%d", i, 1+i%40), MaxTokens: 64}
			if text, complete := s.stream(req); !complete || text != Expect(req.Model, req.Prompt, req.MaxTokens) {
				t.Errorf("caller %d: complete %v, got %q", i, complete, text)
			}
		})
	}
	wg.Wait()
	c := s.Counts()
	for _, r := range c.Runs {
		if !r.Ended {
			t.Errorf("run not ended: %+v", r)
		}
	}
	if len(c.Runs) != callers || c.Refused != 0 {
		t.Errorf("%d runs, %d refused", len(c.Runs), c.Refused)
	}
}

// During an outage the engine must answer 503 without running anything, so that
// the agent may retry on another engine.
func TestOutage(t *testing.T) {
	s := startEngine(t, &Engine{LoadTime: 1})
	s.load("a@1", 0)
	s.setFault(fault.Spec{Kind: fault.Outage})
	if status, _ := s.post("/v1/completions", completionRequest{Model: "a@1", Prompt: "x"}); status != http.StatusServiceUnavailable {
		t.Errorf("status %d", status)
	}
	s.setFault(fault.Spec{Kind: fault.Clear})
	if status, _ := s.post("/v1/completions", completionRequest{Model: "a@1", Prompt: "x"}); status != http.StatusOK {
		t.Errorf("after the outage: status %d", status)
	}
	if c := s.Counts(); len(c.Runs) != 1 {
		t.Errorf("runs %+v", c.Runs)
	}
}

func FuzzParse(f *testing.F) {
	for _, seed := range []string{
		`{"model":"a@1","prompt":"x","max_tokens":3,"stream":true}`, `{"model":"a@1","prompt":"x len=2","extra":[1]}`,
		`{"lora_name":"a@1","fence":3}`, `{"max_tokens":1e99}`, `{"prompt":"\ud800"}`, `null`, `[]`, ``,
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		if c, err := parseCompletionRequest(data); err == nil {
			n, _ := outputLength(c.Prompt, c.MaxTokens)
			if n < 1 || n > c.MaxTokens || c.MaxTokens > maxOutputTokens || c.Model == "" || c.Priority < 0 {
				t.Errorf("accepted %+v with length %d", c, n)
			}
		}
		if o, err := parseAdapterRequest(data); err == nil && !strings.Contains(o.Name, "@") {
			t.Errorf("accepted %+v", o)
		}
	})
}
