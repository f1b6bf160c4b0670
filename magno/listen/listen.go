// Package listen serves HTTP on one address within limits, so that no client
// can hold a connection, a goroutine or memory for as long as it likes.
//
//	accept (Conns at most) --> header, body (in time) --> handler --> writes (each in time)
//
// Load pattern: clients that open connections and say nothing, send a byte a
// minute, or ask for a stream and don't read it. Without limits each of them
// costs a goroutine for good, and whoever does it a few thousand times stops
// the process for all others.
package listen

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/net/netutil"

	"magnoliastall.example/magno"
)

// Limits of every server; those that differ are fields.
const (
	headerLimit = 16 << 10         // bytes
	headerTime  = 5 * time.Second  // to read the header
	idleTime    = 90 * time.Second // between two requests
	// stallTime is how long one write may wait for a client that doesn't
	// read, in milliseconds: longer than a phone is without a network when
	// its cell changes.
	stallTime = 10 * magno.Second
	// answerTime is the most from the first byte of an answer to its last, for
	// clients that read just enough to pass stallTime: the longest deadline
	// that a caller may state.
	answerTime = magno.Hour
)

// Server is one listener. Its fields are set before Run.
type Server struct {
	// Listen is IP and port.
	Listen  string
	Handler http.Handler
	// Conns is the most connections at once; further ones wait in the kernel
	// until one ends.
	MaxConns int
	// Read is the most time to read a whole request, Stop the most that Run
	// waits for running answers once its context has ended.
	ReadTimeout, ShutdownTimeout magno.Millis
	// Stall is the most time for one write; zero means 10 seconds.
	WriteTimeout magno.Millis
	// OnBound is called with the address once it is bound. It may be nil.
	OnBound func(address string)
}

// Run serves until ctx ends, then takes no new connections and waits for
// running answers. The error tells that some were cut.
func (s *Server) Run(ctx context.Context) error {
	var lc net.ListenConfig
	listener, err := lc.Listen(ctx, "tcp", s.Listen)
	if err != nil {
		return err
	}
	if s.OnBound != nil {
		s.OnBound(listener.Addr().String())
	}
	server := &http.Server{
		Handler:           WithWriteTimeout(s.Handler, s.WriteTimeout),
		MaxHeaderBytes:    headerLimit,
		ReadHeaderTimeout: headerTime,
		ReadTimeout:       s.ReadTimeout.Duration(),
		IdleTimeout:       idleTime,
	}
	ended := make(chan error, 1)
	go func() { ended <- server.Serve(netutil.LimitListener(listener, s.MaxConns)) }()
	select {
	case err := <-ended:
		return err
	case <-ctx.Done():
	}
	stop, cancel := context.WithTimeout(context.WithoutCancel(ctx), s.ShutdownTimeout.Duration())
	defer cancel()
	err = server.Shutdown(stop)
	if served := <-ended; !errors.Is(served, http.ErrServerClosed) {
		return served
	}
	return err
}

// Timed returns h with a time limit for each write to a client; zero means 10 seconds.
func WithWriteTimeout(h http.Handler, stall magno.Millis) http.Handler {
	if stall == 0 {
		stall = stallTime
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		h.ServeHTTP(&timed{ResponseWriter: w, control: http.NewResponseController(w), stall: stall.Duration()}, r)
	})
}

// timed gives each write a deadline of its own. A server's WriteTimeout would
// cut long streams that are read well; without any, a write to a client that
// doesn't read never returns. When it fails, net/http ends the request's
// context, and with it the run.
type timed struct {
	http.ResponseWriter
	control *http.ResponseController
	stall   time.Duration
	// end is the last deadline that a write may have, zero before the first.
	end time.Time
}

func (t *timed) extend() {
	now := time.Now()
	if t.end.IsZero() {
		t.end = now.Add(answerTime.Duration())
	}
	deadline := now.Add(t.stall)
	if deadline.After(t.end) {
		deadline = t.end
	}
	_ = t.control.SetWriteDeadline(deadline)
}

// Write implements http.ResponseWriter.
func (t *timed) Write(p []byte) (int, error) {
	t.extend()
	return t.ResponseWriter.Write(p)
}

// FlushError is what http.ResponseController flushes by.
func (t *timed) FlushError() error {
	t.extend()
	return t.control.Flush()
}

// Unwrap lets http.ResponseController reach the connection.
func (t *timed) Unwrap() http.ResponseWriter { return t.ResponseWriter }
