package live

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"magnoliastall.example/magno"
	"magnoliastall.example/stand/engine"
	"magnoliastall.example/stand/plain"
)

// maxAttempts limits how often a caller sends a request whose connection broke; each
// attempt goes through another entry.
const maxAttempts = 3

const (
	// maxLineBytes limits the length of a line in a stream.
	maxLineBytes = 1 << 20
	// maxAnswerBytes limits an answer that isn't streamed: what the system's own interface delivers.
	maxAnswerBytes = 4 << 20
	// maxReportBytes limits a stand-in's report: 262,144 records of up to 256 bytes.
	maxReportBytes = 64 << 20
)

// state is the outcome of a call.
type state int

const (
	// served: a complete and correct response.
	served state = iota
	// refused: a final error response that states its kind.
	refused
	// lost: no final response, because the connection broke or the stream ended early.
	lost
	// wrong: a response that does not belong to the request.
	wrong
	// skipped: the request was never sent.
	skipped
)

// result describes the outcome of one call.
type result struct {
	state state
	kind  magno.Kind
	run   magno.Run
	// reason describes what was wrong or how the response was lost.
	reason string
	// firstToken and latency are measured from when the caller sent the request.
	firstToken, latency time.Duration
	// tokenGap is the mean interval between the events of a stream.
	tokenGap time.Duration
	// stall is the stall time that the response reports, negative if it reports none.
	stall magno.Millis
}

// outcome holds the results of a request, including those of duplicates sent on purpose.
type outcome struct {
	request request
	result
	state state
	// duplicates are the results of further calls with the same key.
	duplicates []result
	// retries counts the calls made after a broken connection.
	retries int
}

// send makes all calls of one request.
func (l *LoadTest) send(ctx context.Context, r request) outcome {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), r.timeout.Duration()+answerGrace)
	defer cancel()
	second := make(chan result, 1)
	if r.resendAfter >= 0 {
		go func() {
			sleep(ctx, r.resendAfter)
			res, _ := l.callWithRetry(ctx, r, r.entry+1)
			second <- res
		}()
	}
	res, retries := l.callWithRetry(ctx, r, r.entry)
	o := outcome{request: r, result: res, state: res.state, retries: retries}
	if r.resendAfter >= 0 {
		o.duplicates = append(o.duplicates, <-second)
	}
	return o
}

// callWithRetry calls until there is a final response, and switches to another entry each
// time that the connection broke. Retrying is safe: a request without a key may be repeated,
// and a key prevents a second run.
func (l *LoadTest) callWithRetry(ctx context.Context, r request, entry int) (result, int) {
	for n := 0; ; n++ {
		res := l.callOnce(ctx, r, l.Entries[(entry+n)%len(l.Entries)])
		if res.state != lost || n+1 >= maxAttempts || ctx.Err() != nil {
			return res, n
		}
	}
}

// callOnce sends one request and reads the whole response.
func (l *LoadTest) callOnce(ctx context.Context, r request, base string) result {
	begun := time.Now()
	req, err := l.newRequest(ctx, r, base)
	if err != nil {
		return result{state: lost, reason: err.Error()}
	}
	sleep(ctx, l.ClientDelay.Duration())
	resp, err := l.client.Do(req)
	if err != nil {
		return result{state: lost, reason: err.Error()}
	}
	defer resp.Body.Close()
	res := l.readAnswer(r, resp, begun)
	sleep(ctx, l.ClientDelay.Duration())
	res.latency = time.Since(begun)
	return res
}

func (l *LoadTest) newRequest(ctx context.Context, r request, base string) (*http.Request, error) {
	url, body := base+"/v1/call/"+r.Name, []byte(r.payload)
	if !r.plain {
		var err error
		url = base + "/v1/completions"
		body, err = json.Marshal(map[string]any{
			"model": r.Name, "prompt": r.payload, "max_tokens": r.maxTokens, "stream": r.stream,
		})
		if err != nil {
			return nil, err
		}
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("X-Deadline-Ms", strconv.FormatInt(int64(r.timeout), 10))
	req.Header.Set("X-Caller", r.caller)
	if r.key != "" {
		req.Header.Set("Idempotency-Key", r.key)
	}
	return req, nil
}

// errorBody is the JSON form of an error response.
type errorBody struct {
	Error *struct {
		Kind magno.Kind `json:"kind"`
		Run  magno.Run  `json:"run"`
	} `json:"error"`
}

// completion is a response or one event of a streamed response.
type completion struct {
	errorBody
	Fingerprint string `json:"system_fingerprint"`
	Choices     []struct {
		Text string `json:"text"`
	} `json:"choices"`
}

func (l *LoadTest) readAnswer(r request, resp *http.Response, begun time.Time) result {
	if resp.StatusCode != http.StatusOK {
		return readRefusal(resp)
	}
	if why := checkHeaders(r, resp.Header); why != "" {
		return result{state: wrong, reason: why}
	}
	if r.stream {
		return l.readStream(r, resp.Body, begun)
	}
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return result{state: lost, reason: err.Error()}
	}
	res := result{firstToken: time.Since(begun), stall: -1}
	if n, err := strconv.ParseInt(resp.Header.Get("X-Stall-Ms"), 10, 64); err == nil {
		res.stall = magno.Millis(n)
	}
	if r.plain {
		return checkPlain(r, data, res)
	}
	var c completion
	if err := json.Unmarshal(data, &c); err != nil || len(c.Choices) != 1 {
		return result{state: wrong, reason: fmt.Sprintf("no completion: %.80q", data)}
	}
	return checkText(r, c.Choices[0].Text, res)
}

func readRefusal(resp *http.Response) result {
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return result{state: lost, reason: err.Error()}
	}
	var f errorBody
	if err := json.Unmarshal(data, &f); err != nil || f.Error == nil || f.Error.Kind == "" || f.Error.Run == "" {
		return result{state: wrong, reason: fmt.Sprintf("status %d without a kind: %.80q", resp.StatusCode, data)}
	}
	return result{state: refused, kind: f.Error.Kind, run: f.Error.Run, stall: -1}
}

// readStream reads events up to [DONE] or an error. A stream that ends without either is
// lost: a caller can't tell it from a short response.
func (l *LoadTest) readStream(r request, body io.Reader, begun time.Time) result {
	res := result{stall: -1}
	var text strings.Builder
	pieces := 0
	lines := bufio.NewScanner(body)
	lines.Buffer(nil, maxLineBytes)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			if pieces > 1 {
				res.tokenGap = (time.Since(begun) - res.firstToken) / time.Duration(pieces-1)
			}
			return checkText(r, text.String(), res)
		}
		var c completion
		if err := json.Unmarshal([]byte(data), &c); err != nil {
			return result{state: wrong, reason: "an event that is no JSON: " + data}
		}
		if c.Error != nil {
			return result{state: refused, kind: c.Error.Kind, run: c.Error.Run, stall: -1}
		}
		if len(c.Choices) == 1 && c.Choices[0].Text != "" {
			if pieces == 0 {
				res.firstToken = time.Since(begun) + l.ClientDelay.Duration()
			}
			pieces++
			text.WriteString(c.Choices[0].Text)
		}
	}
	return result{state: lost, reason: fmt.Sprintf("the stream ended after %d pieces: %v", pieces, lines.Err())}
}

func checkHeaders(r request, h http.Header) string {
	if r.plain {
		return ""
	}
	if h.Get("X-Adapter") != r.Adapter || h.Get("X-Version") != r.Version {
		return fmt.Sprintf("adapter %s@%s for %s", h.Get("X-Adapter"), h.Get("X-Version"), r.Name)
	}
	return ""
}

func checkText(r request, text string, res result) result {
	ref := magno.Ref{Adapter: r.Adapter, Version: r.Version}
	if want := engine.Expect(ref.String(), r.payload, r.maxTokens); text != want {
		return result{state: wrong, reason: fmt.Sprintf("text %.60q for %.60q", text, want)}
	}
	return res
}

func checkPlain(r request, data []byte, res result) result {
	var a plain.Answer
	if err := json.Unmarshal(data, &a); err != nil || a != plain.Expect(r.Name, []byte(r.payload)) {
		return result{state: wrong, reason: fmt.Sprintf("plain answer %.80q", data)}
	}
	return res
}
