// Package model is the HTTP client of model engines: completions streamed as server-sent
// events, loading and unloading of adapters, cancellation, and the load report.
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

// Limits on the responses of an engine, so that a faulty one can't exhaust the agent's
// memory.
const (
	maxEventBytes  = 1 << 20  // of one event
	maxStreamBytes = 16 << 20 // of all events: 512 bytes for each of the tokens that callers may ask for
	maxTextBytes   = 4 << 20  // of an answer's text: what a message between processes holds
	maxErrorBytes  = 4 << 10  // of a quoted error
	maxHeaderBytes = 16 << 10 // bytes
	// cancelTimeout bounds a cancel request, which is sent when the context of the original
	// request may have ended.
	cancelTimeout = 2 * time.Second
)

// Engine is the client of an engine, used by its agent. It implements magno.Upstream.
type Engine struct {
	// Address is the IP and port of the engine.
	Address string
	// Fence is the fencing token of all requests; see magno.Upstream.
	Fence int64
	// Client is set by SetAddress.
	Client *http.Client

	Notices
}

func init() {
	magno.Register(magno.PluginUpstream, string(magno.PoolEngine), func() any { return &Engine{} })
}

// NewClient returns an HTTP client for one upstream that reuses connections. It doesn't
// follow redirects: if the first host has received a request and the connection to the
// second fails, the error would look as if no host had received it.
func NewClient() *http.Client {
	dialer := &net.Dialer{Timeout: time.Second}
	return &http.Client{
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		Transport: &http.Transport{
			DialContext:            dialer.DialContext,
			MaxIdleConnsPerHost:    64,
			IdleConnTimeout:        30 * time.Second,
			MaxResponseHeaderBytes: maxHeaderBytes,
		},
	}
}

// SetAddress implements magno.AddressSetter.
func (e *Engine) SetAddress(address string, fence int64) {
	e.Address = address
	e.Fence = fence
	e.Client = NewClient()
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

// Run implements magno.Upstream. If it fails after the engine has accepted the request, it
// is unknown how much of it was executed.
func (e *Engine) Run(ctx context.Context, w magno.Work, emit func(magno.Piece)) (magno.Result, error) {
	sentAt := e.Now()
	resp, err := e.post(ctx, "/v1/completions", completionRequest{
		Model: w.Job.Ref.String(), Prompt: w.Body, MaxTokens: w.MaxTokens, Stream: true,
		Priority: w.Job.Urgency, RequestID: w.Job.ID, Fence: e.Fence,
	})
	if err != nil {
		e.cancel(w.Job.ID)
		return magno.Result{}, transportError(ctx, err)
	}
	defer resp.Body.Close()
	e.Pass(resp, sentAt)
	if resp.StatusCode != http.StatusOK {
		return magno.Result{}, statusError(resp)
	}
	result, err := readStream(resp.Body, emit)
	if err != nil {
		e.cancel(w.Job.ID)
		return result, err
	}
	return result, nil
}

// readStream parses a stream of events. A stream without the final [DONE] event is an error:
// it was cut off, and its text may be only a part of the answer. One that exceeds its limits is cut off here.
func readStream(body io.Reader, emit func(magno.Piece)) (magno.Result, error) {
	var result magno.Result
	var text strings.Builder
	lines := bufio.NewScanner(io.LimitReader(body, maxStreamBytes))
	lines.Buffer(make([]byte, 0, 4096), maxEventBytes)
	for lines.Scan() && text.Len() <= maxTextBytes {
		data, ok := strings.CutPrefix(lines.Text(), "data:")
		if !ok {
			continue
		}
		data = strings.TrimPrefix(data, " ") // the space is optional in server-sent events
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
		applyChunk(chunk, &result, &text, emit)
	}
	if err := lines.Err(); err != nil {
		return result, magno.Refuse(magno.KindInterrupted, "the engine's stream broke: %v", err)
	}
	return result, magno.Refuse(magno.KindInterrupted, "the engine's stream ended early or exceeds %d bytes", maxStreamBytes)
}

func applyChunk(chunk completionChunk, result *magno.Result, text *strings.Builder, emit func(magno.Piece)) {
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

// ParseRef parses adapter@version.
func ParseRef(name string) magno.Ref {
	adapter, version, _ := strings.Cut(name, "@")
	return magno.Ref{Adapter: adapter, Version: version}
}

type adapterRequest struct {
	Name  string `json:"lora_name"`
	Fence int64  `json:"fence"`
}

// Load implements magno.Upstream.
func (e *Engine) Load(ctx context.Context, ref magno.Ref, fence int64) error {
	return e.order(ctx, "/v1/load_lora_adapter", adapterRequest{ref.String(), fence})
}

// Unload implements magno.Upstream.
func (e *Engine) Unload(ctx context.Context, ref magno.Ref, fence int64) error {
	return e.order(ctx, "/v1/unload_lora_adapter", adapterRequest{ref.String(), fence})
}

func (e *Engine) order(ctx context.Context, path string, body any) error {
	resp, err := e.post(ctx, path, body)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return statusError(resp)
	}
	return nil
}

// cancel tells the engine to stop a request. The engine may not notice a closed connection
// and would continue to spend steps on it.
func (e *Engine) cancel(id string) {
	ctx, stop := context.WithTimeout(context.Background(), cancelTimeout)
	defer stop()
	body := struct {
		RequestID string `json:"request_id"`
	}{id}
	resp, err := e.post(ctx, "/v1/cancel", body)
	if err == nil {
		_ = resp.Body.Close()
	}
}

type loadReport struct {
	Boot     int64    `json:"boot"`
	Build    string   `json:"build"`
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
func (e *Engine) Probe(ctx context.Context) (magno.Probe, error) {
	var r loadReport
	if err := fetch.JSON(ctx, e.Client, "http://"+e.Address+"/v1/report", maxEventBytes, &r); err != nil {
		return magno.Probe{}, err
	}
	probe := magno.Probe{
		Limits: magno.Limits{Slots: r.Slots, Batch: r.Batch, Tokens: r.Tokens,
			Step: magno.Millis(r.Step), Load: magno.Millis(r.Load)},
		Boot: r.Boot, Build: r.Build, Steps: r.Steps, Capacity: r.Capacity, Used: r.Used,
	}
	for _, name := range r.Loaded {
		probe.Loaded = append(probe.Loaded, ParseRef(name))
	}
	return probe, nil
}

func (e *Engine) post(ctx context.Context, path string, body any) (*http.Response, error) {
	data, err := json.Marshal(body)
	if err != nil {
		return nil, err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+e.Address+path, bytes.NewReader(data))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Content-Type", "application/json")
	// Without GetBody the transport can't resend the request by itself after a connection
	// failure, which could execute it twice.
	req.GetBody = nil
	return e.Client.Do(req)
}

// transportError returns the refusal for a request without a response. Only a failure to
// connect proves that the request was not executed.
func transportError(ctx context.Context, err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return magno.Refuse(magno.KindNoUpstream, "the upstream can't be reached: %v", err)
	}
	if ctx.Err() != nil {
		return magno.Refuse(magno.KindCancelled, "the request was cancelled")
	}
	return magno.Refuse(magno.KindUnknown, "the upstream's answer was lost: %v", err)
}

// statusError returns the refusal for an error status. RunNo is returned only for statuses
// that docs/PROTOCOLS.md lists as never run: a 503 may come from a proxy after the engine
// has started the request.
func statusError(resp *http.Response) error {
	detail, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorBytes))
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
