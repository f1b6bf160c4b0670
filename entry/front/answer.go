package front

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"

	"github.com/VictoriaMetrics/metrics"
	"github.com/labstack/echo/v4"

	"magnoliastall.example/entry/send"
	"magnoliastall.example/magno"
)

// Response headers.
const (
	headerRequest = "X-Request-Id"
	headerAdapter = "X-Adapter"
	headerVersion = "X-Version"
	headerRun     = "X-Run"
	headerKind    = "X-Kind"
	headerReplay  = "X-Replay"
	headerStall   = "X-Stall-Ms"
	headerQueue   = "X-Queue-Ms"
)

// errorBody is the body of every refusal.
type errorBody struct {
	Error *magno.Refusal `json:"error"`
}

// MarshalJSON adds the members that clients of language models expect.
func (e errorBody) MarshalJSON() ([]byte, error) {
	type plain magno.Refusal
	return json.Marshal(map[string]any{"error": struct {
		*plain
		Message string `json:"message"`
		Type    string `json:"type"`
		Code    string `json:"code"`
	}{(*plain)(e.Error), e.Error.Error(), "magnoliastall", string(e.Error.Kind)}})
}

// refuseUnsent refuses a request that was sent to no agent. If it carries a key, an earlier
// copy may have run while the profile existed or before the deadline, so whether it ran is
// reported as unknown.
func (f *Front) refuseUnsent(c echo.Context, refusal *magno.Refusal) error {
	if c.Request().Header.Get(headerKey) == "" {
		return f.refuse(c, refusal)
	}
	switch refusal.Kind {
	case magno.KindNoProfile, magno.KindRetired, magno.KindStarting, magno.KindPast:
		refusal.WithRun(magno.RunUnknown)
	}
	return f.refuse(c, refusal)
}

// refuse answers a request that was not answered by an upstream.
func (f *Front) refuse(c echo.Context, refusal *magno.Refusal) error {
	f.recordRefusal(c, refusal)
	return c.JSON(refusal.Kind.Answer().Status, errorBody{refusal})
}

// recordRefusal sets the headers of a refusal, logs and counts it.
func (f *Front) recordRefusal(c echo.Context, refusal *magno.Refusal) {
	f.Events.Add("refusal", id(c), fmt.Sprintf("kind=%s run=%s field=%s", refusal.Kind, refusal.Run, refusal.Field))
	f.Log.Info("request", "id", id(c), "kind", string(refusal.Kind), "run", string(refusal.Run), "field", refusal.Field,
		"detail", refusal.Detail)
	metrics.GetOrCreateCounter(fmt.Sprintf(`magno_requests_total{outcome=%q}`, refusal.Kind)).Inc()
	h := c.Response().Header()
	h.Set(headerRequest, id(c))
	h.Set(headerRun, string(refusal.Run))
	h.Set(headerKind, string(refusal.Kind))
	if refusal.After > 0 {
		h.Set("Retry-After", strconv.FormatInt(seconds(refusal.After), 10))
	}
}

// seconds rounds up, as Retry-After is in whole seconds.
func seconds(m magno.Millis) int64 { return int64((m + magno.Second - 1) / magno.Second) }

// setHeaders sets the headers common to all answers.
func setHeaders(c echo.Context, r send.Request) {
	h := c.Response().Header()
	h.Set(headerRequest, id(c))
	h.Set(headerAdapter, r.Work.Job.Ref.Adapter)
	h.Set(headerVersion, r.Work.Job.Ref.Version)
}

func (f *Front) recordServed(c echo.Context, r send.Request, result magno.Result, replay bool) {
	took := f.Clock.Now() - r.Work.Job.Arrived
	f.Events.Add("served", id(c), fmt.Sprintf("ref=%s tokens=%d took=%d stall=%d replay=%t",
		result.Ref, result.Output, took, result.Stall, replay))
	f.Log.Info("request", "id", id(c), "kind", "ok", "profile", r.Work.Job.Profile, "took", int64(took),
		"stall", int64(result.Stall), "tokens", result.Output, "replay", replay)
	metrics.GetOrCreateCounter(`magno_requests_total{outcome="ok"}`).Inc()
	metrics.GetOrCreateHistogram(fmt.Sprintf(`magno_request_seconds{customer=%q}`, r.Work.Job.Customer)).Update(took.Duration().Seconds())
	metrics.GetOrCreateHistogram(fmt.Sprintf(`magno_stall_seconds{customer=%q}`, r.Work.Job.Customer)).Update(result.Stall.Duration().Seconds())
}

// answerWhole answers without streaming.
func (f *Front) answerWhole(c echo.Context, r send.Request, form form) error {
	result, replay, refusal := f.sendWithinQuota(c.Request().Context(), r, func(magno.Piece) {})
	if refusal != nil {
		return f.refuse(c, refusal)
	}
	f.recordServed(c, r, result, replay)
	setHeaders(c, r)
	h := c.Response().Header()
	h.Set(headerRun, string(magno.RunYes))
	h.Set(headerReplay, strconv.FormatBool(replay))
	h.Set(headerStall, strconv.FormatInt(int64(result.Stall), 10))
	h.Set(headerQueue, strconv.FormatInt(int64(result.Queue), 10))
	if r.Work.Path != "" {
		return c.Blob(http.StatusOK, result.ContentType, []byte(result.Text))
	}
	return c.JSON(http.StatusOK, form.full(r, result))
}

// stream answers as server-sent events. The status is sent with the first piece, so that a
// request refused before has a status of its own. One that fails later ends with an error
// event, so that it doesn't look complete.
func (f *Front) stream(c echo.Context, r send.Request, form form) error {
	w := c.Response()
	started := false
	event := func(value any) {
		if !started {
			started = true
			setHeaders(c, r)
			w.Header().Set(echo.HeaderContentType, "text/event-stream")
			w.Header().Set("Cache-Control", "no-cache")
			w.WriteHeader(http.StatusOK)
		}
		data, err := json.Marshal(value)
		if err != nil {
			return
		}
		_, _ = fmt.Fprintf(w, "data: %s\n\n", data)
		w.Flush()
	}
	result, replay, refusal := f.sendWithinQuota(c.Request().Context(), r, func(p magno.Piece) {
		event(form.piece(r, p.Text))
	})
	if refusal != nil && !started {
		return f.refuse(c, refusal)
	}
	if refusal != nil {
		f.Events.Add("refusal", id(c), fmt.Sprintf("kind=%s run=%s midstream=true", refusal.Kind, refusal.Run))
		f.Log.Info("request", "id", id(c), "kind", string(refusal.Kind), "run", string(refusal.Run), "midstream", true)
		metrics.GetOrCreateCounter(fmt.Sprintf(`magno_requests_total{outcome=%q}`, refusal.Kind)).Inc()
		event(errorBody{refusal})
		return nil
	}
	f.recordServed(c, r, result, replay)
	event(form.last(r, result))
	_, _ = fmt.Fprint(w, "data: [DONE]\n\n")
	w.Flush()
	return nil
}

// form formats answers as text or chat completions.
type form struct {
	chat bool
}

type usage struct {
	Prompt     int `json:"prompt_tokens"`
	Completion int `json:"completion_tokens"`
	Total      int `json:"total_tokens"`
}

type choice struct {
	Index   int      `json:"index"`
	Text    *string  `json:"text,omitempty"`
	Message *message `json:"message,omitempty"`
	Delta   *message `json:"delta,omitempty"`
	Finish  *string  `json:"finish_reason"`
}

type message struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

type answer struct {
	ID          string   `json:"id"`
	Object      string   `json:"object"`
	Created     int64    `json:"created"`
	Model       string   `json:"model"`
	Fingerprint string   `json:"system_fingerprint"`
	Choices     []choice `json:"choices"`
	Usage       *usage   `json:"usage,omitempty"`
}

func (f form) base(r send.Request, streamed bool) answer {
	object := "text_completion"
	if f.chat {
		object = "chat.completion"
	}
	if f.chat && streamed {
		object = "chat.completion.chunk"
	}
	return answer{
		ID: r.Work.Job.ID, Object: object, Created: int64(r.Work.Job.Arrived / magno.Second),
		Model: r.Work.Job.Profile, Fingerprint: r.Work.Job.Ref.String(),
	}
}

func (f form) full(r send.Request, result magno.Result) answer {
	a := f.base(r, false)
	ch := choice{Finish: finishReason(result)}
	if f.chat {
		ch.Message = &message{Role: "assistant", Content: result.Text}
	} else {
		ch.Text = &result.Text
	}
	a.Choices = []choice{ch}
	a.Usage = usageOf(result)
	return a
}

func (f form) piece(r send.Request, text string) answer {
	a := f.base(r, true)
	ch := choice{}
	if f.chat {
		ch.Delta = &message{Role: "assistant", Content: text}
	} else {
		ch.Text = &text
	}
	a.Choices = []choice{ch}
	return a
}

func (f form) last(r send.Request, result magno.Result) answer {
	a := f.piece(r, "")
	a.Choices[0].Finish = finishReason(result)
	a.Usage = usageOf(result)
	return a
}

func finishReason(result magno.Result) *string {
	reason := result.Finish
	if reason == "" {
		reason = "stop"
	}
	return &reason
}

func usageOf(result magno.Result) *usage {
	return &usage{Prompt: result.Prompt, Completion: result.Output, Total: result.Prompt + result.Output}
}
