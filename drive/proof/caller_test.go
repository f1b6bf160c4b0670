package proof

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"

	"github.com/google/uuid"

	"magnoliastall.example/magno"
)

// reply is the response that a caller received.
type reply struct {
	status int
	header http.Header
	body   string
	err    error
}

func (r reply) run() magno.Run   { return magno.Run(r.header.Get("X-Run")) }
func (r reply) kind() magno.Kind { return magno.Kind(r.header.Get("X-Kind")) }

func (r reply) String() string {
	return fmt.Sprintf("%d kind=%s run=%s err=%v %s", r.status, r.kind(), r.run(), r.err, r.body)
}

// post sends a caller's request through entry n.
func (f *fleet) post(n int, path, key, body string) reply {
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, f.url(80+n)+path, strings.NewReader(body))
	if err != nil {
		return reply{err: err, header: http.Header{}}
	}
	req.Header.Set("Content-Type", "application/json")
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	if f.bearer != "" {
		req.Header.Set("Authorization", "Bearer "+f.bearer)
	}
	if f.caller != "" {
		req.Header.Set("X-Caller", f.caller)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return reply{err: err, header: http.Header{}}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return reply{status: resp.StatusCode, header: resp.Header, body: string(data), err: err}
}

// complete sends a completion request and returns its text.
func (f *fleet) complete(n int, profile, prompt string, tokens int) (reply, string) {
	body, _ := json.Marshal(map[string]any{"model": profile, "prompt": prompt, "max_tokens": tokens})
	r := f.post(n, "/v1/completions", newKey(), string(body))
	var answer struct {
		Choices []struct {
			Text string `json:"text"`
		} `json:"choices"`
	}
	if json.Unmarshal([]byte(r.body), &answer) != nil || len(answer.Choices) != 1 {
		return r, ""
	}
	return r, answer.Choices[0].Text
}

func newKey() string { return uuid.Must(uuid.NewV7()).String() }
