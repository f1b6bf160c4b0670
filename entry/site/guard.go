package site

import (
	"log/slog"
	"maps"
	"net/http"
	"runtime/debug"
	"sync"

	"github.com/VictoriaMetrics/metrics"
)

// guard answers requests that their handler leaves without an answer, for it panics or the process ends:
// net/http would only close their connections. An answer that has begun still ends early.
type guard struct {
	next http.Handler
	log  *slog.Logger

	mu sync.Mutex
	// active are the answers of the requests in progress.
	active map[*guardedWriter]bool
}

func newGuard(next http.Handler, log *slog.Logger) *guard {
	return &guard{next: next, log: log, active: map[*guardedWriter]bool{}}
}

// ServeHTTP implements http.Handler.
func (g *guard) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	answer := &guardedWriter{w: w, header: http.Header{}}
	g.add(answer)
	defer g.remove(answer)
	defer func() {
		v := recover()
		if v == nil {
			return
		}
		if v == http.ErrAbortHandler { //nolint:errorlint // panics with this very value abort an answer
			panic(v)
		}
		metrics.GetOrCreateCounter("handler_panics_total").Inc()
		g.log.Error("panic", "path", r.URL.Path, "error", v, "stack", string(debug.Stack()))
		if !answer.fail(http.StatusInternalServerError) {
			panic(http.ErrAbortHandler)
		}
	}()
	g.next.ServeHTTP(answer, r)
	answer.fail(http.StatusBadGateway) // otherwise net/http would send an empty 200
}

// end answers all requests in progress whose answer has not begun.
func (g *guard) end() {
	g.mu.Lock()
	defer g.mu.Unlock()
	ended := 0
	for answer := range g.active {
		if answer.fail(http.StatusBadGateway) {
			ended++
		}
	}
	if n := len(g.active); n > 0 {
		g.log.Warn("end", "active", n, "failed", ended)
	}
}

func (g *guard) add(w *guardedWriter) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.active[w] = true
}

func (g *guard) remove(w *guardedWriter) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.active, w)
}

// guardedWriter is an answer that the guard may give instead of the handler.
type guardedWriter struct {
	// header is that of the handler, which may change it while the guard answers.
	header http.Header

	mu sync.Mutex
	w  http.ResponseWriter
	// begun is true once the answer has begun, failed once the guard has given it.
	begun, failed bool
}

// fail answers with a status that promises nothing, and returns false if another answer has begun, such as one whose
// caller doesn't read.
func (w *guardedWriter) fail(status int) bool {
	if !w.mu.TryLock() {
		return false // it is being written
	}
	defer w.mu.Unlock()
	if w.begun {
		return false
	}
	w.begun, w.failed = true, true
	h := w.w.Header()
	h.Set("Connection", "close")
	h.Set("Content-Length", "0")
	w.w.WriteHeader(status)
	_ = http.NewResponseController(w.w).Flush()
	return true
}

// Header implements http.ResponseWriter.
func (w *guardedWriter) Header() http.Header { return w.header }

// WriteHeader implements http.ResponseWriter.
func (w *guardedWriter) WriteHeader(status int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.begin(status)
}

func (w *guardedWriter) begin(status int) {
	if w.failed {
		return
	}
	if !w.begun {
		maps.Copy(w.w.Header(), w.header)
	}
	w.begun = w.begun || status >= http.StatusOK
	w.w.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *guardedWriter) Write(p []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.failed {
		return 0, http.ErrHandlerTimeout
	}
	if !w.begun {
		w.begin(http.StatusOK)
	}
	return w.w.Write(p)
}

// FlushError is called by http.ResponseController.Flush.
func (w *guardedWriter) FlushError() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.failed {
		return http.ErrHandlerTimeout
	}
	if !w.begun {
		w.begin(http.StatusOK)
	}
	return http.NewResponseController(w.w).Flush()
}

// Unwrap gives http.ResponseController access to the connection.
func (w *guardedWriter) Unwrap() http.ResponseWriter { return w.w }
