package front

import (
	"encoding/json"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"magnoliastall.example/magno"
)

// FuzzDecode checks that any body of a completion or chat is either accepted or refused as
// malformed and not run, without a panic.
func FuzzDecode(f *testing.F) {
	for _, seed := range []string{
		``, `null`, `[]`, `{"model": "p", "prompt": "a"}`, `{"model": "p", "prompt": ["a"], "max_tokens": 0}`, `{"model": "p", "prompt": ["a", "b"]}`,
		`{"model": "p", "messages": [{"role": "user", "content": [{"type": "text", "text": "a"}]}], "n": 1}`,
		`{"model": "p", "messages": [{"content": [{"type": "image"}]}]}`, `{"model": "p", "messages": [null]}`, `{"model": 3}`,
		`{"model": "p", "max_completion_tokens": -9223372036854775808, "n": 2}`, `{"model": "p", "prompt": null}`,
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		b, refusal := decode(data)
		if refusal == nil {
			_ = join(b.Messages)
			var n int
			if n, refusal = b.tokens(defaultChatTokens); refusal == nil && (b.Model == "" || n < 1 || n > maxTokens) {
				t.Errorf("%q: model %q, %d tokens", data, b.Model, n)
			}
		}
		if refusal != nil && (refusal.Kind != magno.KindMalformed || refusal.Run != magno.RunNo) {
			t.Errorf("%q: %v", data, refusal)
		}
	})
}

// Requests that can't be served must get a status, a kind and the field, before any
// upstream is asked.
func TestRefusals(t *testing.T) {
	front := &Front{MaxBody: 64, Settled: func() bool { return false }, Log: slog.New(slog.DiscardHandler)}
	tests := []struct {
		path, body string
		status     int
		kind       magno.Kind
	}{
		{"/v1/completions", `{`, 400, magno.KindMalformed},
		{"/v1/completions", strings.Repeat(" ", 65), 413, magno.KindTooLarge},
		{"/v1/chat/completions", `{"model": "p"}`, 503, magno.KindStarting},
		{"/v1/call/p", `x`, 503, magno.KindStarting},
		{"/v1/none", ``, 404, magno.KindMalformed},
	}
	for _, tt := range tests {
		w := httptest.NewRecorder()
		front.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodPost, tt.path, strings.NewReader(tt.body)))
		var got struct{ Error magno.Refusal }
		err := json.Unmarshal(w.Body.Bytes(), &got)
		if err != nil || w.Code != tt.status || got.Error.Kind != tt.kind || got.Error.Run != magno.RunNo {
			t.Errorf("%s: %d %s", tt.path, w.Code, w.Body)
		}
		if again := w.Header().Get("Retry-After") != ""; again != tt.kind.Answer().Retryable {
			t.Errorf("%s: Retry-After %v", tt.path, again)
		}
	}
}
