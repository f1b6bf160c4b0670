package site

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
)

// panicking is a handler that panics, before its answer or within it.
func panicking(begin bool, with any) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if begin {
			_, _ = io.WriteString(w, "part")
			_ = http.NewResponseController(w).Flush()
		}
		panic(with)
	})
}

// Guards against a panic that closes the connection of a whole request without an answer, and against a
// part of an answer that looks complete.
func TestPanicIsAnswered(t *testing.T) {
	for _, c := range []struct {
		name      string
		begin     bool
		with      any
		status    int
		truncated bool
	}{
		{"before the answer", false, "failed", http.StatusInternalServerError, false},
		{"within the answer", true, "failed", http.StatusOK, true},
		{"abort before the answer", false, http.ErrAbortHandler, 0, true},
		{"abort within the answer", true, http.ErrAbortHandler, http.StatusOK, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := &front{log: slog.New(slog.DiscardHandler)}
			handler, _ := f.handler(panicking(c.begin, c.with))
			server := httptest.NewServer(handler)
			defer server.Close()
			server.Config.ErrorLog = slog.NewLogLogger(slog.DiscardHandler, slog.LevelDebug)
			status := 0
			res, err := http.Get(server.URL)
			if err == nil {
				defer func() { _ = res.Body.Close() }()
				status = res.StatusCode
				_, err = io.ReadAll(res.Body)
			}
			if status != c.status || (err != nil) != c.truncated {
				t.Errorf("got %d %v", status, err)
			}
		})
	}
}

// Guards against an empty success for a request that its handler gave up.
func TestRequestThatIsGivenUpGetsNoSuccess(t *testing.T) {
	f := &front{log: slog.New(slog.DiscardHandler)}
	handler, _ := f.handler(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body) // the server notices that the caller leaves only then
		<-r.Context().Done()
	}))
	server := httptest.NewServer(handler)
	defer server.Close()
	c, err := sendWhole(server.Listener.Addr().String(), 1)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	if err := c.(*net.TCPConn).CloseWrite(); err != nil {
		t.Fatal(err)
	}
	if status, err := readAnswer(c); err != nil || status != http.StatusBadGateway {
		t.Errorf("got %d %v", status, err)
	}
}

// Guards against connections that close without an answer when the grace period ends while an upstream
// is at work, and against a cut stream that looks complete.
func TestRequestAtAnUpstreamIsAnsweredAtTheEnd(t *testing.T) {
	f := &front{log: slog.New(slog.DiscardHandler)}
	started := make(chan struct{}, 2)
	handler, g := f.handler(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/stream" {
			_, _ = io.WriteString(w, "id: 1\n\n")
			_ = http.NewResponseController(w).Flush()
		}
		_, _ = io.Copy(io.Discard, r.Body)
		started <- struct{}{}
		<-r.Context().Done()
		w.Header().Set("Late", "1")
		w.WriteHeader(http.StatusOK)
	}))
	addr := freeAddress(t, "127.0.0.1")
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() {
		ended <- serveGuarded(ctx, addr, never, &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout}, 1, g.end)
	}()
	waitFor(t, "the server", func() bool { return accepting(addr) })
	got := map[string]chan string{"/plain": make(chan string, 1), "/stream": make(chan string, 1)}
	for path, answer := range got {
		go func() {
			res, err := http.Post("http://"+addr+path, "", strings.NewReader("body"))
			if err != nil {
				answer <- err.Error()
				return
			}
			_, err = io.Copy(io.Discard, res.Body)
			_ = res.Body.Close()
			answer <- fmt.Sprint(res.StatusCode, " complete ", err == nil, res.Header.Get("Late"))
		}()
	}
	<-started
	<-started
	cancel()
	if plain, stream := <-got["/plain"], <-got["/stream"]; plain != "502 complete true" || stream != "200 complete false" {
		t.Errorf("got %q, and %q for a stream", plain, stream)
	}
	if err := <-ended; err != nil {
		t.Error(err)
	}
}
