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

// tries is how often a caller sends a request whose connection broke, each
// time through another entry.
const tries = 3

// lineMost is the longest line of a stream in bytes.
const lineMost = 1 << 20

// state is how a call ended.
type state int

const (
	// served is a whole answer that is right.
	served state = iota
	// refused is a final answer that says why there is none.
	refused
	// lost is no final answer: a broken connection, a silent cut, no end.
	lost
	// wrong is an answer that isn't the request's.
	wrong
	// skipped was never sent.
	skipped
)

// result is the end of one call.
type result struct {
	state state
	kind  magno.Kind
	run   magno.Run
	// why says what was wrong or lost.
	why string
	// first and end count from when the caller sent it.
	first, end time.Duration
	// gap is the mean time between pieces of a stream.
	gap time.Duration
	// stall is what the answer tells, negative when it doesn't.
	stall magno.Millis
}

// outcome is what became of a request, with the second call if there was one.
type outcome struct {
	request request
	result
	state state
	// more are the ends of further calls with the same key.
	more []result
	// resent counts calls after a broken connection.
	resent int
}

// ask makes the calls of one request.
func (l *LoadTest) ask(ctx context.Context, r request) outcome {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), r.left.Span()+grace)
	defer cancel()
	second := make(chan result, 1)
	if r.again >= 0 {
		go func() {
			sleep(ctx, r.again)
			res, _ := l.persist(ctx, r, r.entry+1)
			second <- res
		}()
	}
	res, resent := l.persist(ctx, r, r.entry)
	o := outcome{request: r, result: res, state: res.state, resent: resent}
	if r.again >= 0 {
		o.more = append(o.more, <-second)
	}
	return o
}

// persist calls until there is a final answer, through another entry each time
// that the connection broke. Without a key only a call that may be repeated
// is sent again.
func (l *LoadTest) persist(ctx context.Context, r request, entry int) (result, int) {
	for n := 0; ; n++ {
		res := l.call(ctx, r, l.Entries[(entry+n)%len(l.Entries)])
		if res.state != lost || n+1 >= tries || ctx.Err() != nil {
			return res, n
		}
	}
}

// call sends one request and reads its answer to the end.
func (l *LoadTest) call(ctx context.Context, r request, base string) result {
	begun := time.Now()
	req, err := l.build(ctx, r, base)
	if err != nil {
		return result{state: lost, why: err.Error()}
	}
	sleep(ctx, l.ClientDelay.Span())
	resp, err := l.client.Do(req)
	if err != nil {
		return result{state: lost, why: err.Error()}
	}
	defer resp.Body.Close()
	res := l.read(r, resp, begun)
	sleep(ctx, l.ClientDelay.Span())
	res.end = time.Since(begun)
	return res
}

func (l *LoadTest) build(ctx context.Context, r request, base string) (*http.Request, error) {
	url, body := base+"/v1/call/"+r.Name, []byte(r.text)
	if !r.plain {
		var err error
		url = base + "/v1/completions"
		body, err = json.Marshal(map[string]any{
			"model": r.Name, "prompt": r.text, "max_tokens": r.max, "stream": r.stream,
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
	req.Header.Set("X-Deadline-Ms", strconv.FormatInt(int64(r.left), 10))
	req.Header.Set("X-Caller", r.caller)
	if r.key != "" {
		req.Header.Set("Idempotency-Key", r.key)
	}
	return req, nil
}

// failure is the form of a refusal.
type failure struct {
	Error *struct {
		Kind magno.Kind `json:"kind"`
		Run  magno.Run  `json:"run"`
	} `json:"error"`
}

// completion is an answer or a piece of one.
type completion struct {
	failure
	Print   string `json:"system_fingerprint"`
	Choices []struct {
		Text string `json:"text"`
	} `json:"choices"`
}

func (l *LoadTest) read(r request, resp *http.Response, begun time.Time) result {
	if resp.StatusCode != http.StatusOK {
		return readRefusal(resp)
	}
	if why := checkHead(r, resp.Header); why != "" {
		return result{state: wrong, why: why}
	}
	if r.stream {
		return l.readStream(r, resp.Body, begun)
	}
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return result{state: lost, why: err.Error()}
	}
	res := result{first: time.Since(begun), stall: -1}
	if n, err := strconv.ParseInt(resp.Header.Get("X-Stall-Ms"), 10, 64); err == nil {
		res.stall = magno.Millis(n)
	}
	if r.plain {
		return checkPlain(r, data, res)
	}
	var c completion
	if err := json.Unmarshal(data, &c); err != nil || len(c.Choices) != 1 {
		return result{state: wrong, why: fmt.Sprintf("no completion: %.80q", data)}
	}
	return checkText(r, c.Choices[0].Text, res)
}

func readRefusal(resp *http.Response) result {
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return result{state: lost, why: err.Error()}
	}
	var f failure
	if err := json.Unmarshal(data, &f); err != nil || f.Error == nil || f.Error.Kind == "" || f.Error.Run == "" {
		return result{state: wrong, why: fmt.Sprintf("status %d without a kind: %.80q", resp.StatusCode, data)}
	}
	return result{state: refused, kind: f.Error.Kind, run: f.Error.Run, stall: -1}
}

// readStream reads events up to [DONE] or an error. A stream that just ends is
// the silent cut that no caller can tell from a short answer.
func (l *LoadTest) readStream(r request, body io.Reader, begun time.Time) result {
	res := result{stall: -1}
	var text strings.Builder
	pieces := 0
	lines := bufio.NewScanner(body)
	lines.Buffer(nil, lineMost)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			if pieces > 1 {
				res.gap = (time.Since(begun) - res.first) / time.Duration(pieces-1)
			}
			return checkText(r, text.String(), res)
		}
		var c completion
		if err := json.Unmarshal([]byte(data), &c); err != nil {
			return result{state: wrong, why: "an event that is no JSON: " + data}
		}
		if c.Error != nil {
			return result{state: refused, kind: c.Error.Kind, run: c.Error.Run, stall: -1}
		}
		if len(c.Choices) == 1 && c.Choices[0].Text != "" {
			if pieces == 0 {
				res.first = time.Since(begun) + l.ClientDelay.Span()
			}
			pieces++
			text.WriteString(c.Choices[0].Text)
		}
	}
	return result{state: lost, why: fmt.Sprintf("the stream ended after %d pieces: %v", pieces, lines.Err())}
}

func checkHead(r request, h http.Header) string {
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
	if want := engine.Expect(ref.String(), r.text, r.max); text != want {
		return result{state: wrong, why: fmt.Sprintf("text %.60q for %.60q", text, want)}
	}
	return res
}

func checkPlain(r request, data []byte, res result) result {
	var a plain.Answer
	if err := json.Unmarshal(data, &a); err != nil || a != plain.Expect(r.Name, []byte(r.text)) {
		return result{state: wrong, why: fmt.Sprintf("plain answer %.80q", data)}
	}
	return res
}
