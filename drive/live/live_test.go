package live

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"magnoliastall.example/magno"
	"magnoliastall.example/stand/engine"
	"magnoliastall.example/stand/plain"
)

// fakeSystem acts as entry and upstream: it answers calls and records runs, with one fault
// at a time.
type fakeSystem struct {
	fault string

	mu    sync.Mutex
	keys  map[string]bool
	runs  []engine.Run
	calls []plain.Run
}

func (s *fakeSystem) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	switch {
	case r.URL.Path == "/engine/counts":
		s.mu.Lock()
		defer s.mu.Unlock()
		_ = json.NewEncoder(w).Encode(engine.Counts{Runs: s.runs, Capacity: 10, Used: 5})
	case r.URL.Path == "/plain/counts":
		s.mu.Lock()
		defer s.mu.Unlock()
		_ = json.NewEncoder(w).Encode(plain.Counts{Runs: s.calls})
	case strings.HasPrefix(r.URL.Path, "/v1/call/"):
		name := strings.TrimPrefix(r.URL.Path, "/v1/call/")
		answer := plain.Expect(name, body)
		s.run(r, func() { s.calls = append(s.calls, plain.Run{Body: answer.Sum, Call: name}) })
		if s.refuse(w) {
			return
		}
		_ = json.NewEncoder(w).Encode(answer)
	default:
		s.complete(w, r, body)
	}
}

// run records a run, once per key unless the fault is "double".
func (s *fakeSystem) run(r *http.Request, record func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	key := r.Header.Get("Idempotency-Key")
	if s.fault == "refused" || s.fault == "unrun" || (key != "" && s.keys[key] && s.fault != "double") {
		return
	}
	s.keys[key] = true
	record()
}

func (s *fakeSystem) refuse(w http.ResponseWriter) bool {
	if s.fault != "refused" && s.fault != "liar" {
		return false
	}
	w.WriteHeader(http.StatusTooManyRequests)
	fmt.Fprint(w, `{"error":{"kind":"busy","run":"no"}}`)
	return true
}

func (s *fakeSystem) complete(w http.ResponseWriter, r *http.Request, body []byte) {
	var req struct {
		Prompt string `json:"prompt"`
		Max    int    `json:"max_tokens"`
		Stream bool   `json:"stream"`
	}
	_ = json.Unmarshal(body, &req)
	model, version := "a@1", "1"
	switch s.fault {
	case "adapter":
		model = "b@1"
	case "version":
		version = "2"
	}
	s.run(r, func() { s.runs = append(s.runs, engine.Run{Model: model, Prompt: engine.HashPrompt(req.Prompt)}) })
	if s.refuse(w) {
		return
	}
	w.Header().Set("X-Adapter", "a")
	w.Header().Set("X-Version", version)
	text := engine.Expect("a@1", req.Prompt, req.Max)
	if s.fault == "text" {
		text = engine.Expect("a@1", req.Prompt+"x", req.Max)
	}
	piece, _ := json.Marshal(text)
	if !req.Stream {
		fmt.Fprintf(w, `{"choices":[{"text":%s}]}`, piece)
		return
	}
	fmt.Fprintf(w, "data: {\"choices\":[{\"text\":%s}]}\n\n", piece)
	switch s.fault {
	case "cut":
	case "midway":
		fmt.Fprint(w, "data: {\"error\":{\"kind\":\"interrupted\",\"run\":\"unknown\"}}\n\n")
	default:
		fmt.Fprint(w, "data: [DONE]\n\n")
	}
}

// Guards against a report that passes although a caller got the response of another caller,
// a truncated one, or "not run" for a request that ran, or although a request with a key
// ran twice.
func TestReportDetectsFaults(t *testing.T) {
	tests := []struct {
		fault string
		good  bool
		seen  func(r *Report) int
	}{
		{"", true, func(r *Report) int { return r.Served }},
		{"refused", true, func(r *Report) int { return r.Refused }},
		{"midway", true, func(r *Report) int { return r.Refused }},
		{"text", false, func(r *Report) int { return r.Wrong }},
		{"adapter", false, func(r *Report) int { return r.Wrong }},
		{"version", false, func(r *Report) int { return r.Wrong }},
		{"unrun", false, func(r *Report) int { return r.Wrong }},
		{"liar", false, func(r *Report) int { return r.Wrong }},
		{"cut", false, func(r *Report) int { return r.Lost }},
		{"double", false, func(r *Report) int { return r.DoubleRuns }},
	}
	for _, tt := range tests {
		t.Run(tt.fault, func(t *testing.T) {
			r := runWithFault(t, tt.fault)
			if r.Passed() != tt.good || tt.seen(r) == 0 {
				t.Errorf("passed %v, notes %+v", r.Passed(), r.Notes)
			}
			if r.total != r.Served+r.Refused+r.Lost+r.Wrong+r.Skipped && tt.fault == "" {
				t.Errorf("%d requests, report %+v", r.total, r)
			}
		})
	}
}

func runWithFault(t *testing.T, fault string) *Report {
	t.Helper()
	server := httptest.NewServer(&fakeSystem{fault: fault, keys: map[string]bool{}})
	defer server.Close()
	l := &LoadTest{
		Entries: []string{server.URL, server.URL}, Seed: 3, Rate: 400, Duration: 300 * time.Millisecond, ResendShare: 1,
		Upstreams: []Upstream{{Name: "e", URL: server.URL + "/engine"}, {Name: "p", URL: server.URL + "/plain", Plain: true}},
		Config: magno.Config{
			Pools: []magno.Pool{{Name: "e", Kind: magno.PoolEngine}, {Name: "p", Kind: magno.PoolPlain}},
			Profiles: []magno.Profile{
				{Name: "read", Customer: "x", Pool: "e", Adapter: "a", Version: "1", Idempotent: true},
				{Name: "once", Customer: "x", Pool: "e", Adapter: "a", Version: "1"},
				{Name: "record", Customer: "y", Pool: "p"},
				{Name: "old", Customer: "y", Pool: "p", Retired: true},
			},
		},
	}
	r, err := l.Run(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// When an entry dies, its connections break. Its callers retry through another entry and
// must get one final response.
func TestSendsAgainThroughAnotherEntry(t *testing.T) {
	dead := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }))
	defer dead.Close()
	s := &fakeSystem{keys: map[string]bool{}}
	server := httptest.NewServer(s)
	defer server.Close()
	l := &LoadTest{Entries: []string{dead.URL, server.URL}, client: http.DefaultClient}
	r := request{target: target{Profile: magno.Profile{Name: "record"}, plain: true}, payload: "{}", key: "k", timeout: magno.Minute, resendAfter: -1}
	if o := l.send(t.Context(), r); o.state != served || o.retries != 1 {
		t.Errorf("%+v", o)
	}
}
