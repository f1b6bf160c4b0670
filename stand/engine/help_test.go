package engine

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"

	"magnoliastall.example/stand/fault"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// testEngine is a running engine behind an HTTP server on the loopback interface.
type testEngine struct {
	*Engine
	t      *testing.T
	server *httptest.Server
	client *http.Client
}

func startEngine(t *testing.T, e *Engine) *testEngine {
	t.Helper()
	server := httptest.NewServer(e.Handler())
	s := &testEngine{Engine: e, t: t, server: server, client: &http.Client{Transport: &http.Transport{}}}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- e.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-ended; err != nil {
			t.Error(err)
		}
		s.client.CloseIdleConnections()
		server.CloseClientConnections()
		server.Close()
	})
	return s
}

// post sends a body and returns the status and body of the response. Status 0
// means that the connection was aborted.
func (s *testEngine) post(path string, body any) (int, []byte) {
	s.t.Helper()
	return s.send(context.Background(), path, body)
}

func (s *testEngine) send(ctx context.Context, path string, body any) (int, []byte) {
	data, ok := body.([]byte)
	if !ok {
		data, _ = json.Marshal(body)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, s.server.URL+path, bytes.NewReader(data))
	if err != nil {
		return 0, nil
	}
	resp, err := s.client.Do(req)
	if err != nil {
		return 0, nil
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, text
	}
	return resp.StatusCode, text
}

func (s *testEngine) load(name string, fence int64) int {
	s.t.Helper()
	status, _ := s.post("/v1/load_lora_adapter", adapterRequest{Name: name, Fence: fence})
	return status
}

func (s *testEngine) unload(name string, fence int64) int {
	s.t.Helper()
	status, _ := s.post("/v1/unload_lora_adapter", adapterRequest{Name: name, Fence: fence})
	return status
}

// stream returns the text of all events and whether the stream was complete.
func (s *testEngine) stream(req completionRequest) (text string, complete bool) {
	req.Stream = true
	_, body := s.send(context.Background(), "/v1/completions", req)
	scan := bufio.NewScanner(bytes.NewReader(body))
	for scan.Scan() {
		data, ok := strings.CutPrefix(scan.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			return text, true
		}
		var a completionResponse
		if json.Unmarshal([]byte(data), &a) == nil && len(a.Choices) == 1 {
			text += a.Choices[0].Text
		}
	}
	return text, false
}

// waitFor waits for a condition. The timeout is far longer than it should take.
func waitFor(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(30 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if ok() {
			return
		}
	}
	t.Fatalf("timed out waiting for %s", what)
}

func (s *testEngine) setFault(spec fault.Spec) {
	s.t.Helper()
	if err := s.Fault(spec); err != nil {
		s.t.Fatal(err)
	}
}

// queueSizes returns the number of waiting and running requests.
func (e *Engine) queueSizes() (waiting, running int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.waiting), len(e.running)
}

// newLoadedEngine returns an engine without server or step loop that has the
// adapters names loaded.
func newLoadedEngine(e *Engine, names ...string) *Engine {
	e.prepare()
	for _, name := range names {
		s := &slot{done: make(chan struct{}), loaded: true}
		close(s.done)
		e.slots[name] = s
	}
	return e
}
