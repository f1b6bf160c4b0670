package engine

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"

	"github.com/labstack/echo/v4"

	"magnoliastall.example/stand/endless"
	"magnoliastall.example/stand/fault"
	"magnoliastall.example/stand/serve"
)

// Limits of a request.
const (
	maxOutputTokens     = 8192
	defaultOutputTokens = 16 // when the request has no max_tokens
	maxPriority         = 9
	maxNameBytes        = 256 // of a model name or a request ID
)

// completionRequest is the body of POST /v1/completions. Unknown keys are
// ignored, because clients of the API send many optional ones.
type completionRequest struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Stream    bool   `json:"stream"`
	Priority  int    `json:"priority"`
	RequestID string `json:"request_id"`
	Fence     int64  `json:"fence"`
}

// adapterRequest is the body of a request to load or unload an adapter.
type adapterRequest struct {
	Name  string `json:"lora_name"`
	Fence int64  `json:"fence"`
}

// parseCompletionRequest decodes and validates a completion request.
func parseCompletionRequest(data []byte) (completionRequest, error) {
	var c completionRequest
	if err := json.Unmarshal(data, &c); err != nil {
		return c, fmt.Errorf("body: %w", err)
	}
	if c.MaxTokens == 0 {
		c.MaxTokens = defaultOutputTokens
	}
	switch {
	case c.Model == "" || len(c.Model) > maxNameBytes:
		return c, fmt.Errorf("model: must have 1 to %d bytes", maxNameBytes)
	case len(c.RequestID) > maxNameBytes:
		return c, fmt.Errorf("request_id: longer than %d bytes", maxNameBytes)
	case strings.TrimSpace(c.Prompt) == "":
		return c, fmt.Errorf("prompt: must not be empty")
	case c.MaxTokens < 1 || c.MaxTokens > maxOutputTokens:
		return c, fmt.Errorf("max_tokens: %d is out of range 1 to %d", c.MaxTokens, maxOutputTokens)
	case c.Priority < 0 || c.Priority > maxPriority:
		return c, fmt.Errorf("priority: %d is out of range 0 to %d", c.Priority, maxPriority)
	}
	return c, nil
}

// parseAdapterRequest decodes and validates a request to load or unload.
func parseAdapterRequest(data []byte) (adapterRequest, error) {
	var req adapterRequest
	if err := json.Unmarshal(data, &req); err != nil {
		return req, fmt.Errorf("body: %w", err)
	}
	adapter, version, ok := strings.Cut(req.Name, "@")
	if !ok || adapter == "" || version == "" || len(req.Name) > maxNameBytes {
		return req, fmt.Errorf("lora_name: %q does not have the form adapter@version", req.Name)
	}
	return req, nil
}

// Handler returns the engine's API.
func (e *Engine) Handler() http.Handler {
	e.prepare()
	r := serve.NewRouter()
	r.Use(e.checkAvailable)
	r.POST("/v1/completions", e.complete)
	r.POST("/v1/load_lora_adapter", e.adapterHandler(func(c echo.Context, req adapterRequest) error { return e.loadAdapter(c.Request().Context(), req) }))
	r.POST("/v1/unload_lora_adapter", e.adapterHandler(func(_ echo.Context, req adapterRequest) error { return e.unloadAdapter(req) }))
	r.POST("/v1/cancel", e.cancel)
	r.GET("/v1/report", func(c echo.Context) error { return c.JSON(http.StatusOK, e.laggedReport()) })
	r.GET("/v1/cache_events", e.events)
	r.GET("/counts", e.counts)
	return r
}

// Admin returns the administration API.
func (e *Engine) Admin() http.Handler {
	e.prepare()
	r := serve.NewRouter()
	e.faults.Register(r)
	r.GET("/counts", e.counts)
	return r
}

func (e *Engine) counts(c echo.Context) error { return c.JSON(http.StatusOK, e.Counts()) }

// checkAvailable is middleware that rejects calls while the engine is down: a
// restarting engine drops the connection, as a dead process would, and an outage
// is answered with 503.
func (e *Engine) checkAvailable(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		if c.Path() == "/counts" {
			return next(c)
		}
		if !e.up() {
			return serve.ErrAborted
		}
		if _, out := e.faults.Active(fault.Outage, ""); out {
			return echo.NewHTTPError(http.StatusServiceUnavailable, "outage")
		}
		if row, on := e.faults.Active(fault.Endless, ""); on {
			endless.Row(row).Write(c.Response(), nil)
			return nil
		}
		e.faults.WriteNotice(c.Response().Header())
		return next(c)
	}
}

func (e *Engine) adapterHandler(do func(echo.Context, adapterRequest) error) echo.HandlerFunc {
	return func(c echo.Context) error {
		data, err := serve.ReadBody(c, serve.MaxBodyBytes)
		if err != nil {
			return err
		}
		req, err := parseAdapterRequest(data)
		if err != nil {
			return echo.NewHTTPError(http.StatusBadRequest, err.Error())
		}
		if err := do(c, req); err != nil {
			return err
		}
		return c.JSON(http.StatusOK, req)
	}
}

// cancelRequest is the body of POST /v1/cancel.
type cancelRequest struct {
	RequestID string `json:"request_id"`
}

func (e *Engine) cancel(c echo.Context) error {
	data, err := serve.ReadBody(c, serve.MaxBodyBytes)
	if err != nil {
		return err
	}
	var req cancelRequest
	if err := json.Unmarshal(data, &req); err != nil || req.RequestID == "" {
		return echo.NewHTTPError(http.StatusBadRequest, "request_id: is missing")
	}
	n := e.cancelMatching(func(r *request) bool { return r.id == req.RequestID })
	return c.JSON(http.StatusOK, map[string]int{"cancelled": n})
}

func (e *Engine) events(c echo.Context) error {
	after, err := strconv.ParseInt(c.QueryParam("after"), 10, 64)
	if err != nil && c.QueryParam("after") != "" {
		return echo.NewHTTPError(http.StatusBadRequest, "after: is no number")
	}
	e.mu.Lock()
	visible, boot := e.cache.visibleEvents(after, e.Clock.Now()), e.boot
	e.mu.Unlock()
	return c.JSON(http.StatusOK, struct {
		Boot   int64   `json:"boot"`
		Events []Event `json:"events"`
	}{boot, visible})
}
