package engine

import (
	"encoding/json"
	"net/http"

	"github.com/labstack/echo/v4"

	"magnoliastall.example/magno"
	"magnoliastall.example/stand/fault"
	"magnoliastall.example/stand/serve"
)

// statusClientClosedRequest answers a cancelled request. nginx uses the same
// code for a client that closed its connection.
const statusClientClosedRequest = 499

// streamEnd ends a complete stream; a stream without it was aborted.
const streamEnd = "data: [DONE]\n\n"

// choice, usage and completionResponse have the format of OpenAI's completions
// API.
type choice struct {
	Index  int    `json:"index"`
	Text   string `json:"text"`
	Finish string `json:"finish_reason,omitempty"`
}

type usage struct {
	Prompt     int `json:"prompt_tokens"`
	Completion int `json:"completion_tokens"`
	Total      int `json:"total_tokens"`
	// Cached is the number of prompt tokens found in the prefix cache.
	Cached int `json:"cached_tokens"`
}

type completionResponse struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

// complete runs one request and answers with one body or a stream.
func (e *Engine) complete(c echo.Context) error {
	data, err := serve.ReadBody(c, serve.MaxBodyBytes)
	if err != nil {
		return err
	}
	req, err := parseCompletionRequest(data)
	if err != nil {
		return echo.NewHTTPError(http.StatusBadRequest, err.Error())
	}
	if err := e.faults.TurnAway(c.Response().Header()); err != nil {
		return err
	}
	r, err := e.submit(req)
	if err != nil {
		return err
	}
	defer e.cancelIfActive(r)
	if req.Stream {
		return e.streamResponse(c, r)
	}
	return e.writeResponse(c, r)
}

// cancelIfActive cancels a request whose client disconnected.
func (e *Engine) cancelIfActive(r *request) {
	if r.state.Load() == stateActive {
		e.cancelMatching(func(other *request) bool { return other == r })
	}
}

// submit queues a request, or rejects it without running it.
func (e *Engine) submit(req completionRequest) (*request, error) {
	failed := e.faults.Hit(fault.Fail, req.Prompt)
	r := e.newRequest(req)
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.ended {
		return nil, serve.ErrAborted
	}
	if err := e.checkRequest(req, failed); err != nil {
		e.refused++
		return nil, err
	}
	e.arrivals++
	r.arrival = e.arrivals
	e.enqueue(r)
	return r, nil
}

// newRequest computes everything that depends on the request alone. It runs
// without mu, so that it does not delay steps.
func (e *Engine) newRequest(req completionRequest) *request {
	r := &request{
		id: req.RequestID, model: req.Model, prompt: req.Prompt, hash: HashPrompt(req.Prompt),
		priority: req.Priority, created: int64(e.Clock.Now() / magno.Second), wake: make(chan struct{}, 1),
	}
	r.outputTokens, r.finish = outputLength(req.Prompt, req.MaxTokens)
	r.prefixes, r.tokens = prefixes(req.Model, req.Prompt, e.BlockSize)
	return r
}

// checkRequest returns why a request cannot run, or nil. The caller holds mu.
func (e *Engine) checkRequest(req completionRequest, failed bool) error {
	if failed {
		return echo.NewHTTPError(http.StatusInternalServerError, "failed before running")
	}
	if req.Fence > 0 {
		if err := e.checkFence(req.Fence); err != nil {
			return err
		}
	}
	if s := e.slots[req.Model]; s == nil || !s.loaded {
		return echo.NewHTTPError(http.StatusNotFound, "model "+req.Model+" is not loaded")
	}
	if len(e.waiting) >= e.QueueLimit {
		return echo.NewHTTPError(http.StatusTooManyRequests, "too many requests wait in the engine")
	}
	return nil
}

// writeResponse answers with one body once every output token is generated.
func (e *Engine) writeResponse(c echo.Context, r *request) error {
	for r.state.Load() == stateActive {
		select {
		case <-c.Request().Context().Done():
			return c.Request().Context().Err()
		case <-r.wake:
		}
	}
	switch r.state.Load() {
	case stateAborted:
		return serve.ErrAborted
	case stateCancelled:
		return echo.NewHTTPError(statusClientClosedRequest, "cancelled")
	}
	a := r.response(outputText(r.model, r.hash, 0, r.outputTokens))
	a.Choices[0].Finish, a.Usage = r.finish, r.usage()
	return c.JSON(http.StatusOK, a)
}

// streamResponse sends output tokens as they are generated. An aborted or
// cancelled stream ends without its last event.
func (e *Engine) streamResponse(c echo.Context, r *request) error {
	w := c.Response()
	w.Header().Set(echo.HeaderContentType, "text/event-stream")
	w.WriteHeader(http.StatusOK)
	w.Flush()
	sent := 0
	for {
		state := r.state.Load()
		if made := int(r.generated.Load()); made > sent && state != stateAborted {
			if err := writeEvent(w, r.response(outputText(r.model, r.hash, sent, made))); err != nil {
				return err
			}
			sent = made
		}
		switch state {
		case stateDone:
			a := r.response("")
			a.Choices[0].Finish, a.Usage = r.finish, r.usage()
			if err := writeEvent(w, a); err != nil {
				return err
			}
			_, err := w.Write([]byte(streamEnd))
			w.Flush()
			return err
		case stateAborted, stateCancelled:
			return serve.ErrAborted
		}
		select {
		case <-c.Request().Context().Done():
			return c.Request().Context().Err()
		case <-r.wake:
		}
	}
}

func (r *request) response(text string) completionResponse {
	return completionResponse{
		ID: r.id, Object: "text_completion", Created: r.created, Model: r.model,
		Choices: []choice{{Text: text}},
	}
}

func (r *request) usage() *usage {
	return &usage{Prompt: r.tokens, Completion: r.outputTokens, Total: r.tokens + r.outputTokens, Cached: r.cached}
}

// writeEvent writes one server-sent event and flushes it.
func writeEvent(w *echo.Response, a completionResponse) error {
	data, err := json.Marshal(a)
	if err != nil {
		return err
	}
	if _, err := w.Write(append(append([]byte("data: "), data...), "\n\n"...)); err != nil {
		return err
	}
	w.Flush()
	return nil
}
