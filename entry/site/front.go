package site

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"

	"magnoliastall.example/entry/relay"
	"magnoliastall.example/magno"
	"magnoliastall.example/magno/caller"
	"magnoliastall.example/magno/listen"
	"magnoliastall.example/magno/shed"
	"magnoliastall.example/magno/strain"
	"magnoliastall.example/magno/view"
)

const (
	// maxHeaderBytes bounds a request's header; the platform's configuration has a similar
	// limit.
	maxHeaderBytes = 16 << 10
	// readHeaderTimeout bounds the reading of a header.
	readHeaderTimeout = 5 * time.Second
	// writeStallTimeout is how long a caller may leave sent data unread before its
	// connection is closed.
	writeStallTimeout = 5 * magno.Second
	// idleTimeout is how long an idle connection of a caller is kept: longer than any
	// configuration lets callers stay idle, so that no request arrives while the server
	// closes the connection.
	idleTimeout = 2 * time.Minute
	// acceptStreamsFor is how long new streams are accepted after the request to stop. The
	// load balancer needs two to three seconds to redirect new connections; a stream that
	// began later might be cut off at the end of the grace period.
	acceptStreamsFor = 2800 * magno.Millis(1)
	// plainReserve is how much of the grace period must be left to accept requests to plain
	// services: their longest timeout, plus exitReserve.
	plainReserve = 2 * magno.Second
	// minStopTime is the minimum time from the request to stop to the exit: until the load
	// balancer has reacted, connections still arrive and must be served.
	minStopTime = 3500 * magno.Millis(1)
	// exitReserve is how much of the grace period is left when the process exits on its
	// own. finalAnswerTimeout is the part of it for requests that have been read but not
	// answered; they are refused, which takes milliseconds unless the machine is overloaded.
	exitReserve        = 700 * magno.Millis(1)
	finalAnswerTimeout = 300 * magno.Millis(1)
	// answerReserve is how much of the grace period is left when requests that have no answer yet get one.
	answerReserve = exitReserve - finalAnswerTimeout/2
)

// front serves callers and the load balancer's readiness check.
type front struct {
	settings *magno.SiteSettings
	path     string
	relay    *relay.Handler
	book     *view.Store
	clock    *magno.Clock
	log      *slog.Logger

	// callers cancels the requests of callers that left.
	callers caller.Watch

	leftAt atomic.Int64
}

// Name implements magno.Task.
func (f *front) Name() string { return "front" }

// Run serves callers until ctx ends.
func (f *front) Run(ctx context.Context) error {
	handler, g := f.handler(f.relay)
	return serveGuarded(ctx, f.settings.CallerAddress, f.relay.LoadLevel, f.server(handler), finalAnswerTimeout, g.end)
}

// server returns the server of callers' requests.
func (f *front) server(handler http.Handler) *http.Server {
	return &http.Server{
		Handler: handler, MaxHeaderBytes: maxHeaderBytes, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout,
		ConnContext: connContext, ErrorLog: slog.NewLogLogger(f.log.Handler(), slog.LevelDebug),
	}
}

// handler returns the handler of callers' requests that next answers, and its guard.
func (f *front) handler(next http.Handler) (http.Handler, *guard) {
	g := newGuard(f.callers.Wrap(next), f.log)
	return listen.WithWriteTimeout(g, writeStallTimeout), g
}

// serve runs a server until ctx ends, and accepts connections as its level allows. It then accepts no more connections, and closes the
// open ones after drainTimeout. Closing at once cut off requests that a slow machine had
// read shortly before, and their callers couldn't know that they had not run.
func serve(ctx context.Context, address string, level func() strain.Level, s *http.Server, drainTimeout magno.Millis) error {
	return serveGuarded(ctx, address, level, s, drainTimeout, func() {})
}

// serveGuarded is serve that calls end before it closes connections whose requests are still in progress.
func serveGuarded(ctx context.Context, address string, level func() strain.Level, s *http.Server, drainTimeout magno.Millis, end func()) error {
	var lc net.ListenConfig
	l, err := lc.Listen(ctx, "tcp", address)
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	ended := make(chan error, 1)
	go func() { ended <- s.Serve(newShedListener(l, level, shed.DefaultLimits)) }()
	select {
	case err := <-ended:
		return errors.Wrap(err, "serve")
	case <-ctx.Done():
	}
	wait, cancel := context.WithTimeout(context.WithoutCancel(ctx), drainTimeout.Duration())
	defer cancel()
	if s.Shutdown(wait) != nil { // close connections that are still active
		end()
		if err := s.Close(); err != nil {
			return errors.Wrap(err, "close connections")
		}
	}
	if err := <-ended; !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrap(err, "serve")
	}
	return nil
}

// ready reports whether new connections are accepted.
func (f *front) ready() bool {
	snap := f.book.Current()
	keysFresh := snap.Plan == nil || len(snap.Plan.Customers) == 0 || f.relay.KeysFresh()
	return !f.relay.Draining() && f.relay.LoadLevel() == strain.Normal && snap.Plan != nil && len(snap.Replicas) > 0 && keysFresh
}

// lagMonitor informs the relay when the processor is overloaded.
type lagMonitor struct {
	*front
}

// Name implements magno.Task.
func (w *lagMonitor) Name() string { return "strain" }

// Run measures the lag of a timer until ctx ends.
func (w *lagMonitor) Run(ctx context.Context) error {
	var s strain.Detector
	lags := metrics.GetOrCreateHistogram("timer_lag_seconds")
	for before := w.clock.Now(); magno.Sleep(ctx, strain.Interval); before = w.clock.Now() {
		lag := w.clock.Now() - before - strain.Interval
		lags.Update(float64(lag) / 1000)
		was, is := w.relay.LoadLevel(), s.Observe(lag, w.clock.Now())
		if was != is {
			w.log.Info("strain", "behind", is, "lag", s.Lag(), "active", w.relay.Active())
			w.relay.SetLoadLevel(is)
		}
	}
	return nil
}

// leave begins a planned stop.
func (f *front) leave() {
	f.leftAt.Store(int64(f.clock.Now()))
	f.relay.Drain(acceptStreamsFor, max(f.settings.Grace-plainReserve, acceptStreamsFor), max(f.settings.Grace-answerReserve, acceptStreamsFor))
}

// busy returns what a planned stop waits for: the requests in progress, plus one until the
// load balancer has had time to notice. It is zero once only exitReserve is left of the
// grace period.
func (f *front) busy() int64 {
	n := f.relay.Active()
	left := magno.Millis(f.leftAt.Load())
	if left == 0 {
		return n
	}
	since := f.clock.Now() - left
	switch {
	case since > f.settings.Grace-exitReserve:
		return 0
	case since < minStopTime:
		return n + 1
	}
	return n
}

// never is the level of a server that is never overloaded.
func never() strain.Level { return strain.Normal }

// readiness serves the load balancer's readiness check.
type readiness struct {
	*front
}

// Name implements magno.Task.
func (r *readiness) Name() string { return "ready" }

// Run serves until ctx ends.
func (r *readiness) Run(ctx context.Context) error {
	mux := http.NewServeMux()
	mux.HandleFunc(r.path, func(w http.ResponseWriter, _ *http.Request) {
		if !r.ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return serve(ctx, r.settings.ReadyAddress, never, readyServer(mux), finalAnswerTimeout)
}
