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
	"magnoliastall.example/magno/listen"
	"magnoliastall.example/magno/strain"
	"magnoliastall.example/magno/view"
)

const (
	// headerLimit is the most bytes of a header; the configuration's own limit
	// is about this.
	headerLimit = 16 << 10
	// headerTime bounds the reading of a header.
	headerTime = 5 * time.Second
	// callerTime is how long a caller may leave what was sent to it unread before its
	// connection is cut.
	callerTime = 5 * magno.Second
	// idleTime is how long an idle connection of a caller is kept: longer than
	// any configuration lets callers stay idle, so that a request never crosses
	// a close of ours.
	idleTime = 2 * time.Minute
	// streamsFor is how long after the request to stop new streams are taken. The
	// balancer needs two to three seconds to send new connections elsewhere; a
	// stream that began later might be cut off at the end of the grace.
	streamsFor = 2800 * magno.Millis(1)
	// plainLeft is what must be left of the grace for requests to plain services
	// to be taken: their longest timeout, and stopSlack.
	plainLeft = 2 * magno.Second
	// stayFor is the least time from the request to stop to the end, for the
	// same reason: connections that come meanwhile find somebody.
	stayFor = 3500 * magno.Millis(1)
	// stopSlack is what is left of the grace when the process ends by itself.
	// answerTime is how much of it requests get that were read and not answered;
	// they are refused, which takes milliseconds but on a starved machine.
	stopSlack  = 700 * magno.Millis(1)
	answerTime = 300 * magno.Millis(1)
)

// front serves callers and the balancer's question.
type front struct {
	set   *magno.SiteSettings
	path  string
	relay *relay.Handler
	book  *view.Store
	clock *magno.Clock
	log   *slog.Logger

	left atomic.Int64
}

// Name implements magno.Duty.
func (f *front) Name() string { return "front" }

// Run serves callers until ctx ends.
func (f *front) Run(ctx context.Context) error {
	return serve(ctx, f.set.Callers, &http.Server{
		Handler: listen.Timed(f.relay, callerTime), MaxHeaderBytes: headerLimit, ReadHeaderTimeout: headerTime, IdleTimeout: idleTime,
		ErrorLog: slog.NewLogLogger(f.log.Handler(), slog.LevelDebug),
	}, answerTime)
}

// serve runs a server until ctx ends. Then it takes no more connections, and gives
// requests that it has read so long for their answers before it closes the rest.
// Closed at once, a weak machine cut off requests that it had read shortly before its
// end, and their callers couldn't know that they had not run.
func serve(ctx context.Context, address string, s *http.Server, answers magno.Millis) error {
	var lc net.ListenConfig
	l, err := lc.Listen(ctx, "tcp", address)
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	ended := make(chan error, 1)
	go func() { ended <- s.Serve(l) }()
	select {
	case err := <-ended:
		return errors.Wrap(err, "serve")
	case <-ctx.Done():
	}
	wait, cancel := context.WithTimeout(context.WithoutCancel(ctx), answers.Span())
	defer cancel()
	if s.Shutdown(wait) != nil { // what goes on for longer is cut off
		if err := s.Close(); err != nil {
			return errors.Wrap(err, "close")
		}
	}
	if err := <-ended; !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrap(err, "serve")
	}
	return nil
}

// ready tells whether new connections should come here.
func (f *front) ready() bool {
	snap := f.book.Current()
	sure := snap.Plan == nil || len(snap.Plan.Customers) == 0 || f.relay.KeysFresh()
	return !f.relay.Draining() && f.relay.LoadLevel() == strain.Normal && snap.Plan != nil && len(snap.Replicas) > 0 && sure
}

// watch tells the relay when the processor falls behind.
type watch struct {
	*front
}

// Name implements magno.Duty.
func (w *watch) Name() string { return "strain" }

// Run observes the lag of a timer until ctx ends.
func (w *watch) Run(ctx context.Context) error {
	var s strain.Detector
	lags := metrics.GetOrCreateHistogram("timer_lag_seconds")
	for before := w.clock.Now(); magno.Pause(ctx, strain.Interval); before = w.clock.Now() {
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
	f.left.Store(int64(f.clock.Now()))
	f.relay.Drain(streamsFor, max(f.set.Grace-plainLeft, streamsFor))
}

// busy counts what a planned stop waits for: requests, and the time that the
// balancer needs.
func (f *front) busy() int64 {
	n := f.relay.Active()
	left := magno.Millis(f.left.Load())
	if left == 0 {
		return n
	}
	since := f.clock.Now() - left
	switch {
	case since > f.set.Grace-stopSlack:
		return 0
	case since < stayFor:
		return n + 1
	}
	return n
}

// ready answers the balancer.
type ready struct {
	*front
}

// Name implements magno.Duty.
func (r *ready) Name() string { return "ready" }

// Run answers until ctx ends.
func (r *ready) Run(ctx context.Context) error {
	mux := http.NewServeMux()
	mux.HandleFunc(r.path, func(w http.ResponseWriter, _ *http.Request) {
		if !r.ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return serve(ctx, r.set.Ready, &http.Server{Handler: mux, ReadHeaderTimeout: headerTime}, answerTime)
}
