// Package model speaks to a model engine over HTTP in the form that engines
// use: completions with server-sent events, orders to load and unload an
// adapter, cancel, and the load report.
package model

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"magnoliastall.example/magno"
	"magnoliastall.example/magno/fetch"
)

// Limits on what an engine may answer, so that a broken one can't fill the
// agent's memory.
const (
	lineLimit   = 1 << 20  // bytes of one event
	errorLimit  = 4 << 10  // bytes of an error that are kept
	headerLimit = 16 << 10 // bytes
	// cancelWait bounds the order to cancel, which is sent after the
	// request's own context has ended.
	cancelWait = 2 * time.Second
)

// Model is an engine as its agent sees it. It implements magno.Upstream.
type Engine struct {
	// Address is the engine's IP and port.
	Address string
	// Fence goes with each request; see magno.Upstream.
	Fence int64
	// Client is set by SetAddress.
	Client *http.Client
}

func init() {
	magno.Register(magno.PluginUpstream, string(magno.PoolEngine), func() any { return &Engine{} })
}

// NewClient returns a client whose connections are reused for one upstream.
// It follows no redirect: a request that one host has and that can't be
// brought to the next would look as if it had reached nobody.
func NewClient() *http.Client {
	dialer := &net.Dialer{Timeout: time.Second}
	return &http.Client{
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		Transport: &http.Transport{
			DialContext:            dialer.DialContext,
			MaxIdleConnsPerHost:    64,
			IdleConnTimeout:        30 * time.Second,
			MaxResponseHeaderBytes: headerLimit,
		},
	}
}

// SetAddress sets where the engine listens and the fence of its agent.
func (m *Engine) SetAddress(address string, fence int64) {
	m.Address = address
	m.Fence = fence
	m.Client = NewClient()
}

type completionRequest struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Stream    bool   `json:"stream"`
	Priority  int    `json:"priority"`
	RequestID string `json:"request_id"`
	Fence     int64  `json:"fence"`
}

type completionChunk struct {
	Model   string `json:"model"`
	Choices []struct {
		Text         string `json:"text"`
		FinishReason string `json:"finish_reason"`
	} `json:"choices"`
	Usage *struct {
		PromptTokens     int `json:"prompt_tokens"`
		CompletionTokens int `json:"completion_tokens"`
	} `json:"usage"`
	Error json.RawMessage `json:"error"`
}

// Run streams one completion. Once the engine has accepted it, an error means
// that nobody knows how far it came.
func (m *Engine) Run(ctx context.Context, w magno.Work, emit func(magno.Piece)) (magno.Result, error) {
	resp, err := m.post(ctx, "/v1/completions", completionRequest{
		Model: w.Job.Ref.String(), Prompt: w.Body, MaxTokens: w.MaxTokens, Stream: true,
		Priority: w.Job.Urgency, RequestID: w.Job.ID, Fence: m.Fence,
	})
	if err != nil {
		m.cancel(w.Job.ID)
		return magno.Result{}, unsent(ctx, err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return magno.Result{}, refused(resp)
	}
	result, err := read(resp.Body, emit)
	if err != nil {
		m.cancel(w.Job.ID)
		return result, err
	}
	return result, nil
}

// read takes the events of a stream. A stream that ends without its last
// event was cut off: taking it for whole would hand a caller half an answer.
func read(body io.Reader, emit func(magno.Piece)) (magno.Result, error) {
	var result magno.Result
	var text strings.Builder
	lines := bufio.NewScanner(body)
	lines.Buffer(make([]byte, 0, 4096), lineLimit)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data:")
		if !ok {
			continue
		}
		data = strings.TrimPrefix(data, " ") // the space is optional in the form's standard
		if data == "[DONE]" {
			result.Text = text.String()
			return result, nil
		}
		var chunk completionChunk
		if err := json.Unmarshal([]byte(data), &chunk); err != nil {
			return result, magno.Refuse(magno.KindInterrupted, "the engine sent what can't be read: %v", err)
		}
		if len(chunk.Error) > 0 && string(chunk.Error) != "null" {
			return result, magno.Refuse(magno.KindInterrupted, "the engine ended the stream: %s", chunk.Error)
		}
		take(chunk, &result, &text, emit)
	}
	if err := lines.Err(); err != nil {
		return result, magno.Refuse(magno.KindInterrupted, "the engine's stream broke: %v", err)
	}
	return result, magno.Refuse(magno.KindInterrupted, "the engine's stream ended early")
}

func take(chunk completionChunk, result *magno.Result, text *strings.Builder, emit func(magno.Piece)) {
	if chunk.Model != "" {
		result.Ref = ParseRef(chunk.Model)
	}
	for _, c := range chunk.Choices {
		if c.FinishReason != "" {
			result.Finish = c.FinishReason
		}
		if c.Text == "" {
			continue
		}
		text.WriteString(c.Text)
		result.Output++
		emit(magno.Piece{Text: c.Text, Tokens: 1})
	}
	if chunk.Usage != nil {
		result.Prompt = chunk.Usage.PromptTokens
		result.Output = chunk.Usage.CompletionTokens
	}
}

// ParseRef reads adapter@version.
func ParseRef(name string) magno.Ref {
	adapter, version, _ := strings.Cut(name, "@")
	return magno.Ref{Adapter: adapter, Version: version}
}

type adapterOrder struct {
	Name  string `json:"lora_name"`
	Fence int64  `json:"fence"`
}

// Load implements magno.Upstream.
func (m *Engine) Load(ctx context.Context, ref magno.Ref, fence int64) error {
	return m.order(ctx, "/v1/load_lora_adapter", adapterOrder{ref.String(), fence})
}

// Unload implements magno.Upstream.
func (m *Engine) Unload(ctx context.Context, ref magno.Ref, fence int64) error {
	return m.order(ctx, "/v1/unload_lora_adapter", adapterOrder{ref.String(), fence})
}

func (m *Engine) order(ctx context.Context, path string, body any) error {
	resp, err := m.post(ctx, path, body)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return refused(resp)
	}
	return nil
}

// cancel tells the engine that nobody waits for a request; a broken
// connection alone may go unnoticed while the engine still spends steps on it.
func (m *Engine) cancel(id string) {
	ctx, stop := context.WithTimeout(context.Background(), cancelWait)
	defer stop()
	body := struct {
		RequestID string `json:"request_id"`
	}{id}
	resp, err := m.post(ctx, "/v1/cancel", body)
	if err == nil {
		_ = resp.Body.Close()
	}
}

type report struct {
	Boot     int64    `json:"boot"`
	Slots    int      `json:"slots"`
	Batch    int      `json:"batch"`
	Tokens   int      `json:"tokens"`
	Step     int64    `json:"step"`
	Load     int64    `json:"load"`
	Loaded   []string `json:"loaded"`
	Steps    int64    `json:"steps"`
	Capacity int64    `json:"capacity"`
	Used     int64    `json:"used"`
}

// Probe implements magno.Upstream.
func (m *Engine) Probe(ctx context.Context) (magno.Probe, error) {
	var r report
	if err := fetch.JSON(ctx, m.Client, "http://"+m.Address+"/v1/report", lineLimit, &r); err != nil {
		return magno.Probe{}, err
	}
	probe := magno.Probe{
		Limits: magno.Limits{Slots: r.Slots, Batch: r.Batch, Tokens: r.Tokens,
			Step: magno.Millis(r.Step), Load: magno.Millis(r.Load)},
		Boot: r.Boot, Steps: r.Steps, Capacity: r.Capacity, Used: r.Used,
	}
	for _, name := range r.Loaded {
		probe.Loaded = append(probe.Loaded, ParseRef(name))
	}
	return probe, nil
}

func (m *Engine) post(ctx context.Context, path string, body any) (*http.Response, error) {
	data, err := json.Marshal(body)
	if err != nil {
		return nil, err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+m.Address+path, bytes.NewReader(data))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Content-Type", "application/json")
	// Without GetBody the transport can't send the request a second time by
	// itself on a connection that broke, which could run it twice.
	req.GetBody = nil
	return m.Client.Do(req)
}

// unsent says whether a request that got no answer may have run: only a
// connection that was never made proves that it did not.
func unsent(ctx context.Context, err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return magno.Refuse(magno.KindNoUpstream, "the upstream can't be reached: %v", err)
	}
	if ctx.Err() != nil {
		return magno.Refuse(magno.KindCancelled, "the request was cancelled")
	}
	return magno.Refuse(magno.KindUnknown, "the upstream's answer was lost: %v", err)
}

// refused turns an engine's refusal into one of ours. Only the statuses that
// docs/PROTOCOLS.md lists as never run are told so: a 503 may come from what
// stands before the engine, after the engine has begun.
func refused(resp *http.Response) error {
	detail, _ := io.ReadAll(io.LimitReader(resp.Body, errorLimit))
	text := fmt.Sprintf("the upstream answered %d: %s", resp.StatusCode, strings.TrimSpace(string(detail)))
	switch resp.StatusCode {
	case http.StatusNotFound, http.StatusPreconditionFailed:
		return magno.Refuse(magno.KindLoading, "%s", text)
	case http.StatusTooManyRequests:
		return magno.Refuse(magno.KindBusy, "%s", text)
	case http.StatusBadRequest:
		return magno.Refuse(magno.KindMalformed, "%s", text).WithRun(magno.RunUnknown)
	case http.StatusServiceUnavailable:
		return magno.Refuse(magno.KindUnknown, "%s", text)
	}
	return magno.Refuse(magno.KindFailed, "%s", text).WithRun(magno.RunUnknown)
}
