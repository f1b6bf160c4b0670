package front

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"github.com/labstack/echo/v4"

	"magnoliastall.example/entry/send"
	"magnoliastall.example/magno"
	"magnoliastall.example/magno/crash"
)

// Request headers.
const (
	// headerKey is the key of a request that must take effect only once.
	headerKey = "Idempotency-Key"
	// headerDeadline is the time in milliseconds from now after which the answer is useless.
	headerDeadline = "X-Deadline-Ms"
	// headerCaller is a stable name of the caller, for fair queueing.
	headerCaller = "X-Caller"
)

// Limits and defaults of requests.
const (
	// bytesPerToken is the usual estimate for English text.
	bytesPerToken = 4
	// prefixBytes is the length of a prompt's start that selects an upstream with a warm
	// prefix cache.
	prefixBytes = 256
	// defaultCompletionTokens and defaultChatTokens apply if max_tokens is missing. The
	// first is what clients of the completions API expect.
	defaultCompletionTokens = 16
	defaultChatTokens       = 256
	// maxTokens is the maximum of max_tokens.
	maxTokens = 32768
	// maxKeyBytes is the maximum length of an idempotency key.
	maxKeyBytes = 256
	// maxDeadline is the longest deadline that a caller may set.
	maxDeadline = magno.Hour
)

// prompt is a string, or a list of one string, as some clients send it.
type prompt string

// UnmarshalJSON takes both forms.
func (p *prompt) UnmarshalJSON(data []byte) error {
	var one string
	if json.Unmarshal(data, &one) == nil {
		*p = prompt(one)
		return nil
	}
	var list []string
	if err := json.Unmarshal(data, &list); err != nil || len(list) != 1 {
		return magno.Refuse(magno.KindMalformed, "wants one string").WithField("prompt")
	}
	*p = prompt(list[0])
	return nil
}

// content is a message's text, or a list of text parts.
type content string

// UnmarshalJSON takes both forms.
func (t *content) UnmarshalJSON(data []byte) error {
	var one string
	if json.Unmarshal(data, &one) == nil {
		*t = content(one)
		return nil
	}
	var parts []struct {
		Type string `json:"type"`
		Text string `json:"text"`
	}
	if err := json.Unmarshal(data, &parts); err != nil {
		return magno.Refuse(magno.KindMalformed, "content wants a string or a list of text parts").WithField("messages")
	}
	var text strings.Builder
	for _, part := range parts {
		if part.Type != "text" {
			return magno.Refuse(magno.KindMalformed, "a part of type %q is not served", part.Type).WithField("messages")
		}
		text.WriteString(part.Text)
	}
	*t = content(text.String())
	return nil
}

// body is a completion or chat request. Other fields that clients send, such as
// temperature, are accepted and ignored.
type body struct {
	Model               string  `json:"model"`
	Prompt              *prompt `json:"prompt"`
	Messages            []turn  `json:"messages"`
	MaxTokens           *int    `json:"max_tokens"`
	MaxCompletionTokens *int    `json:"max_completion_tokens"`
	N                   *int    `json:"n"`
	Stream              bool    `json:"stream"`
	User                string  `json:"user"`
}

type turn struct {
	Role    string  `json:"role"`
	Content content `json:"content"`
}

// decode reads JSON from a caller.
func decode(data []byte) (*body, *magno.Refusal) {
	b := &body{}
	if err := json.Unmarshal(data, b); err != nil {
		var refusal *magno.Refusal
		if errors.As(err, &refusal) {
			return nil, refusal
		}
		refusal = magno.Refuse(magno.KindMalformed, "the body is not the JSON that is expected: %v", err)
		var wrong *json.UnmarshalTypeError
		if errors.As(err, &wrong) {
			refusal.WithField(wrong.Field)
		}
		return nil, refusal
	}
	if b.Model == "" {
		return nil, magno.Refuse(magno.KindMalformed, "names no profile").WithField("model")
	}
	if b.N != nil && *b.N != 1 {
		return nil, magno.Refuse(magno.KindMalformed, "only one answer a request is served").WithField("n")
	}
	return b, nil
}

// tokens returns the requested number of tokens, or fallback if there is none.
func (b *body) tokens(fallback int) (int, *magno.Refusal) {
	n := fallback
	field := "max_tokens"
	if b.MaxTokens != nil {
		n = *b.MaxTokens
	}
	if b.MaxCompletionTokens != nil {
		n, field = *b.MaxCompletionTokens, "max_completion_tokens"
	}
	if n < 1 || n > maxTokens {
		return 0, magno.Refuse(magno.KindMalformed, "%d is out of range 1 to %d", n, maxTokens).WithField(field)
	}
	return n, nil
}

// read reads the body, up to MaxBody.
func (f *Front) read(c echo.Context) ([]byte, *magno.Refusal) {
	data, err := io.ReadAll(http.MaxBytesReader(c.Response(), c.Request().Body, f.MaxBody))
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		return nil, magno.Refuse(magno.KindTooLarge, "the body is over %d bytes", f.MaxBody).WithField("body")
	}
	if err != nil {
		return nil, magno.Refuse(magno.KindMalformed, "the body can't be read: %v", err).WithField("body")
	}
	return data, nil
}

// profile looks up the profile and checks that the caller may use it.
func (f *Front) profile(c echo.Context, name string) (magno.Profile, *magno.Refusal) {
	if !f.Settled() {
		return magno.Profile{}, magno.Refuse(magno.KindStarting, "no configuration is known to be in force yet")
	}
	p, ok := f.Catalogue.Profile(name)
	if !ok {
		return p, noProfile(name)
	}
	if refusal := f.authorize(c, p); refusal != nil {
		return p, refusal
	}
	ref := magno.Ref{Adapter: p.Adapter, Version: p.Version}
	if p.Retired || f.Catalogue.Retired(ref) {
		return p, magno.Refuse(magno.KindRetired, "profile %q is retired", name).WithField("model")
	}
	return p, nil
}

// request builds the sender's request from a profile and a call.
func (f *Front) request(c echo.Context, p magno.Profile, user string, w magno.Work) (send.Request, *magno.Refusal) {
	r := send.Request{Work: w, Pool: p.Pool, ConfigVersion: f.Catalogue.Version()}
	left, refusal := f.timeLeft(c, p)
	if refusal != nil {
		return r, refusal
	}
	if !p.Idempotent {
		if r.Key, refusal = key(c, p); refusal != nil {
			return r, refusal
		}
	}
	now := f.Clock.Now()
	r.Deadline = now + left
	r.Work.Job = magno.Job{
		ID:          id(c),
		Customer:    p.Customer,
		Caller:      caller(c, user),
		Profile:     p.Name,
		Ref:         magno.Ref{Adapter: p.Adapter, Version: p.Version},
		Urgency:     p.Urgency,
		Stall:       p.Stall,
		Prompt:      len(w.Body)/bytesPerToken + 1,
		Output:      max(w.MaxTokens, 1),
		Prefix:      xxhash.Sum64String(w.Body[:min(len(w.Body), prefixBytes)]),
		Fingerprint: crash.RequestPrint(xxhash.Sum64String(p.Name + "\x00" + statedCaller(c, user) + "\x00" + w.Path + "\x00" + w.Body)),
		Arrived:     now,
		Deadline:    r.Deadline,
		Idempotent:  p.Idempotent,
	}
	return r, nil
}

// timeLeft returns the time to the deadline.
func (f *Front) timeLeft(c echo.Context, p magno.Profile) (magno.Millis, *magno.Refusal) {
	text := c.Request().Header.Get(headerDeadline)
	if text == "" {
		if p.Deadline > 0 {
			return p.Deadline, nil
		}
		return f.DefaultDeadline, nil
	}
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		return 0, magno.Refuse(magno.KindMalformed, "%q is no number of milliseconds", text).WithField(headerDeadline)
	}
	if n <= 0 {
		return 0, magno.Refuse(magno.KindPast, "the deadline has passed").WithField(headerDeadline)
	}
	return min(magno.Millis(n), maxDeadline), nil
}

// key returns the idempotency key of a call that must not be repeated. Keys are scoped by
// customer, as two customers may choose the same.
func key(c echo.Context, p magno.Profile) (string, *magno.Refusal) {
	k := c.Request().Header.Get(headerKey)
	if k == "" {
		return "", magno.Refuse(magno.KindNoKey, "profile %q may not be repeated and needs a key", p.Name).WithField(headerKey)
	}
	if len(k) > maxKeyBytes {
		return "", magno.Refuse(magno.KindMalformed, "the key is over %d bytes", maxKeyBytes).WithField(headerKey)
	}
	return k, nil
}

// caller returns a stable identifier of the caller, its address if it states none.
func caller(c echo.Context, user string) string {
	if name := statedCaller(c, user); name != "" {
		return name
	}
	return c.RealIP()
}

// statedCaller returns the identifier that the caller states, empty if there is none.
func statedCaller(c echo.Context, user string) string {
	if name := c.Request().Header.Get(headerCaller); name != "" {
		return name
	}
	if user != "" {
		return user
	}
	if auth := c.Request().Header.Get(echo.HeaderAuthorization); auth != "" {
		return strconv.FormatUint(xxhash.Sum64String(auth), 16)
	}
	return ""
}

// id returns the request's identifier, which it generates on first use.
func id(c echo.Context) string {
	if known, ok := c.Get("id").(string); ok {
		return known
	}
	made := uuid.Must(uuid.NewV7()).String()
	c.Set("id", made)
	return made
}

// join converts the messages of a chat to one prompt.
func join(messages []turn) string {
	var text bytes.Buffer
	for _, m := range messages {
		text.WriteString(m.Role)
		text.WriteString(": ")
		text.WriteString(string(m.Content))
		text.WriteString("\n")
	}
	return text.String()
}
