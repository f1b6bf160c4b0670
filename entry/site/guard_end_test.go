package site

import (
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"
)

// endWait is how long the end of all requests in progress is awaited, none of which needs to wait.
const endWait = 3 * time.Second

// heldWriter is the writer of an answer whose caller doesn't read.
type heldWriter struct {
	http.ResponseWriter
	writing, free chan struct{}
}

func (w *heldWriter) Write(p []byte) (int, error) {
	close(w.writing)
	<-w.free
	return len(p), nil
}

// Guards against requests that are not answered at the end of the process, since another caller doesn't read its
// answer.
func TestEndDoesNotWaitForCallersThatDoNotRead(t *testing.T) {
	const others = 8
	writing, free, waiting := make(chan struct{}), make(chan struct{}), make(chan struct{}, others)
	g := newGuard(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/held" {
			_, _ = io.WriteString(w, "x")
			return
		}
		waiting <- struct{}{}
		<-free
	}), slog.New(slog.DiscardHandler))
	served := make(chan struct{}, others+1)
	serve := func(w http.ResponseWriter, path string) {
		g.ServeHTTP(w, httptest.NewRequest(http.MethodGet, path, http.NoBody))
		served <- struct{}{}
	}
	go serve(&heldWriter{httptest.NewRecorder(), writing, free}, "/held")
	<-writing
	answers := make([]*httptest.ResponseRecorder, others)
	for i := range answers {
		answers[i] = httptest.NewRecorder()
		go serve(answers[i], "/")
		<-waiting
	}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		g.end()
	}()
	select {
	case <-ended:
		for _, a := range answers {
			if !a.Flushed || a.Code != http.StatusBadGateway {
				t.Errorf("a request got status %d, sent: %t", a.Code, a.Flushed)
			}
		}
	case <-time.After(endWait):
		t.Error("requests wait for a caller that doesn't read")
	}
	close(free)
	<-ended
	for range others + 1 {
		<-served
	}
}
