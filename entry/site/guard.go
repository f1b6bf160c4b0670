package site

import (
	"log/slog"
	"net/http"
	"runtime/debug"

	"github.com/VictoriaMetrics/metrics"
)

// guard answers the request of a handler that panics; net/http would only close its connection. An answer
// that has begun still ends early.
type guard struct {
	next http.Handler
	log  *slog.Logger
}

// ServeHTTP implements http.Handler.
func (g *guard) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	begun := &begunWriter{ResponseWriter: w}
	defer func() {
		v := recover()
		if v == nil {
			return
		}
		if v == http.ErrAbortHandler { //nolint:errorlint // panics with this very value abort an answer
			panic(v)
		}
		metrics.GetOrCreateCounter("handler_panics_total").Inc()
		g.log.Error("panic", "path", r.URL.Path, "begun", begun.begun, "error", v, "stack", string(debug.Stack()))
		if begun.begun {
			panic(http.ErrAbortHandler)
		}
		clear(w.Header())
		w.Header().Set("Connection", "close")
		w.Header().Set("Content-Length", "0")
		w.WriteHeader(http.StatusInternalServerError) // promises nothing: it may have run
	}()
	g.next.ServeHTTP(begun, r)
}

// begunWriter records whether an answer has begun.
type begunWriter struct {
	http.ResponseWriter
	begun bool
}

// WriteHeader implements http.ResponseWriter.
func (w *begunWriter) WriteHeader(status int) {
	w.begun = true
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *begunWriter) Write(p []byte) (int, error) {
	w.begun = true
	return w.ResponseWriter.Write(p)
}

// Unwrap gives http.ResponseController access to the connection.
func (w *begunWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }
