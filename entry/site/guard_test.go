package site

import (
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
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
			server := httptest.NewServer(f.handler(panicking(c.begin, c.with)))
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
