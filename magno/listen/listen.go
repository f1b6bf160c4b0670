// Package listen is an HTTP server with limits, so that no client can occupy a connection,
// a goroutine or memory for an unlimited time.
//
//	accept (up to MaxConns) --> read header, body (time-out) --> handler --> writes (time-out each)
//
// Load pattern: clients that open connections and send nothing, send a byte per minute, or
// request a stream and don't read it. Without limits each of them would hold a goroutine
// for ever, and a few thousand would make the process unavailable.
package listen

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"magnoliastall.example/magno"
	"magnoliastall.example/magno/caller"
)

// Limits of all servers. Those that differ between servers are fields of Server.
const (
	maxHeaderBytes = 16 << 10         // bytes
	headerTimeout  = 5 * time.Second  // to read the header
	idleTimeout    = 90 * time.Second // between two requests
	// defaultWriteTimeout bounds one write to a client that doesn't read. It is longer than
	// a phone's loss of connection when it changes cells.
	defaultWriteTimeout = 10 * magno.Second
	// maxAnswerTime bounds the time from the first byte of an answer to the last, for
	// clients that read just fast enough to avoid the write time-out. It is the longest
	// deadline that a caller may state.
	maxAnswerTime = magno.Hour
)

// Server serves HTTP on one address. Its fields must be set before Run.
type Server struct {
	// Listen is the IP and port to listen on.
	Listen  string
	Handler http.Handler
	// MaxConns is the maximum number of connections. Further ones wait in the accept queue
	// of the operating system.
	MaxConns int
	// ReadTimeout bounds the time to read a whole request, ShutdownTimeout the time that
	// Run waits for running requests after its context has ended.
	ReadTimeout, ShutdownTimeout magno.Millis
	// WriteTimeout bounds each single write; zero means 10 seconds.
	WriteTimeout magno.Millis
	// OnBound is called with the address once it is bound. It may be nil.
	OnBound func(address string)
}

// Run serves until ctx ends. It then accepts no new connections and waits for running
// requests. It returns an error if some of them had to be cut off.
func (s *Server) Run(ctx context.Context) error {
	var lc net.ListenConfig
	listener, err := lc.Listen(ctx, "tcp", s.Listen)
	if err != nil {
		return err
	}
	if s.OnBound != nil {
		s.OnBound(listener.Addr().String())
	}
	var callers caller.Watch
	watch, endWatch := context.WithCancel(context.WithoutCancel(ctx))
	watched := make(chan struct{})
	go func() {
		defer close(watched)
		_ = callers.Run(watch) // it has no error
	}()
	defer func() {
		endWatch()
		<-watched
	}()
	server := &http.Server{
		Handler:           WithWriteTimeout(callers.Wrap(s.Handler), s.WriteTimeout),
		ConnContext:       caller.ConnContext,
		MaxHeaderBytes:    maxHeaderBytes,
		ReadHeaderTimeout: headerTimeout,
		ReadTimeout:       s.ReadTimeout.Duration(),
		IdleTimeout:       idleTimeout,
	}
	ended := make(chan error, 1)
	go func() { ended <- server.Serve(limitListener(listener, s.MaxConns)) }()
	select {
	case err := <-ended:
		return err
	case <-ctx.Done():
	}
	shutdownCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), s.ShutdownTimeout.Duration())
	defer cancel()
	err = server.Shutdown(shutdownCtx)
	if served := <-ended; !errors.Is(served, http.ErrServerClosed) {
		return served
	}
	return err
}

// WithWriteTimeout returns h with a time-out for each write to a client; zero means 10
// seconds.
func WithWriteTimeout(h http.Handler, timeout magno.Millis) http.Handler {
	if timeout == 0 {
		timeout = defaultWriteTimeout
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		t := &deadlineWriter{ResponseWriter: w, control: http.NewResponseController(w), writeTimeout: timeout.Duration()}
		h.ServeHTTP(t, r)
		t.extend() // the server writes what is left of the answer, and its end
	})
}

// deadlineWriter sets a new deadline before each write. http.Server.WriteTimeout bounds the
// whole response and would cut off long streams; without a deadline, a write to a client
// that doesn't read never returns. When a write fails, net/http cancels the context of the
// request, which ends the run.
type deadlineWriter struct {
	http.ResponseWriter
	control      *http.ResponseController
	writeTimeout time.Duration
	// lastDeadline bounds the deadlines of all writes; it is zero before the first one.
	lastDeadline time.Time
}

func (t *deadlineWriter) extend() {
	now := time.Now()
	if t.lastDeadline.IsZero() {
		t.lastDeadline = now.Add(maxAnswerTime.Duration())
	}
	deadline := now.Add(t.writeTimeout)
	if deadline.After(t.lastDeadline) {
		deadline = t.lastDeadline
	}
	_ = t.control.SetWriteDeadline(deadline)
}

// Write implements http.ResponseWriter.
func (t *deadlineWriter) Write(p []byte) (int, error) {
	t.extend()
	return t.ResponseWriter.Write(p)
}

// FlushError is called by http.ResponseController.Flush.
func (t *deadlineWriter) FlushError() error {
	t.extend()
	return t.control.Flush()
}

// Unwrap gives http.ResponseController access to the connection.
func (t *deadlineWriter) Unwrap() http.ResponseWriter { return t.ResponseWriter }
