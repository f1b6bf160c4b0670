package live

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"
)

// counted is an endless body of one text, up to limit bytes. It counts the bytes that are read.
type counted struct {
	text        string
	read, limit int
}

func (c *counted) Read(p []byte) (int, error) {
	if c.read >= c.limit {
		return 0, io.ErrUnexpectedEOF
	}
	n := copy(p, c.text)
	c.read += n
	return n, nil
}

func (c *counted) Close() error { return nil }

// Guards against an answer without end that fills the memory of the load's callers.
func TestAnswersWithoutEndAreBounded(t *testing.T) {
	for _, status := range []int{http.StatusOK, http.StatusServiceUnavailable} {
		body := &counted{text: strings.Repeat("x", 4<<10), limit: 8 * maxAnswerBytes}
		res := (&LoadTest{}).readAnswer(request{}, &http.Response{StatusCode: status, Body: body}, time.Now())
		if res.state == served || res.state == refused {
			t.Errorf("status %d: %v", status, res)
		}
		if limit := maxAnswerBytes + 64<<10; body.read > limit {
			t.Errorf("status %d: %d bytes were read, at most %d may be", status, body.read, limit)
		}
	}
}

// roundTripper answers each request with one body.
type roundTripper struct{ body io.ReadCloser }

func (r roundTripper) RoundTrip(*http.Request) (*http.Response, error) {
	return &http.Response{StatusCode: http.StatusOK, Body: r.body}, nil
}

// Guards against a report without end that fills the memory of the judge.
func TestReportsWithoutEndAreBounded(t *testing.T) {
	body := &counted{text: strings.Repeat(" ", 64<<10), limit: 2 * maxReportBytes}
	l := &LoadTest{client: &http.Client{Transport: roundTripper{body}}}
	var text string
	if err := l.getJSON(t.Context(), "http://a.example", &text); err == nil {
		t.Error("the report was taken")
	}
	if body.read > maxReportBytes {
		t.Errorf("%d bytes were read, at most %d may be", body.read, maxReportBytes)
	}
}
