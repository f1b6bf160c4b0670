// Package front serves callers over HTTP: completions in the format that clients of language
// models use, and plain calls.
//
//	POST /v1/completions        model = profile; stream by server-sent events
//	POST /v1/chat/completions   the same, with messages
//	POST /v1/call/{profile}     any body, for plain services; /{name} names the call
//	POST /v1/tickets/{profile}  a key that only one process may run
//	GET  /v1/models             the profiles
//	GET  /health
//
//	caller --HTTP--> parse -> profile -> job -> send.Sender -> agents
//	          answer or error kind <------------'
package front

import (
	"context"
	"log/slog"
	"net/http"
	"sync/atomic"

	"github.com/cockroachdb/errors"
	"github.com/labstack/echo/v4"
	"github.com/labstack/echo/v4/middleware"

	"magnoliastall.example/entry/send"
	"magnoliastall.example/magno"
	"magnoliastall.example/magno/event"
	"magnoliastall.example/magno/listen"
)

// Limits on callers' connections; package listen has the others.
const (
	// maxConns is the maximum number of callers' connections. Each takes a file
	// descriptor; those of the mesh, 4,608 at most, come on top.
	maxConns    = 8192
	bodyTimeout = 30 * magno.Second // to read the whole request
)

// Catalogue gives access to the configuration in force.
type Catalogue interface {
	// Version is zero until a configuration is known.
	Version() int64
	// Profile and Pool look up by name.
	Profile(name string) (magno.Profile, bool)
	Pool(name string) (magno.Pool, bool)
	// Retired reports whether a version of an adapter is retired.
	Retired(ref magno.Ref) bool
	// Customer looks up by name.
	Customer(name string) (magno.Customer, bool)
	// Owner returns the customer that an Authorization header's key belongs to, nil if there
	// is none. Required is false if callers need no keys.
	Owner(authorization string) (owner *magno.Customer, keyed bool)
	// ProfileNames returns the sorted names of a customer's profiles, of all if customer is
	// empty.
	ProfileNames(customer string) []string
}

// Front is the HTTP server for callers. Its fields are set before Run; it implements
// magno.Task.
type Front struct {
	Listen    string
	Clock     *magno.Clock
	Catalogue Catalogue
	Sender    *send.Sender
	// Quotas is nil if customers have no limits.
	Quotas magno.Quotas
	Events *event.Ring
	Log    *slog.Logger
	// MaxBody is the maximum size of a request's body in bytes.
	MaxBody int64
	// DefaultDeadline applies if neither the caller nor the profile states one.
	DefaultDeadline magno.Millis
	// Grace is the time between becoming not ready and closing the listener, so that the
	// load balancer notices first.
	Grace magno.Millis
	// Drain bounds the wait for running requests in a planned stop.
	Drain magno.Millis
	// Settled reports whether the configuration is as new as that of the peers.
	Settled func() bool
	// Bound is called with the address once it is bound. It may be nil.
	Bound func(address string)

	// leftAt is the time of the call of Leave, zero before.
	leftAt atomic.Int64
	// busy is the number of requests in progress.
	busy atomic.Int64
}

// Name implements magno.Task.
func (f *Front) Name() string { return "front" }

// Ready reports whether the entry accepts new requests.
func (f *Front) Ready() bool {
	return f.leftAt.Load() == 0 && f.Settled()
}

// Leave begins a planned stop: the entry is no longer ready, but still serves requests until
// the load balancer has noticed.
func (f *Front) Leave() { f.leftAt.Store(int64(f.Clock.Now())) }

// Busy returns what a planned stop waits for: the requests in progress, plus one until the
// load balancer has had time to notice.
func (f *Front) Busy() int64 {
	busy := f.busy.Load()
	if left := magno.Millis(f.leftAt.Load()); left > 0 && f.Clock.Now() < left+f.Grace {
		busy++
	}
	return busy
}

// Run serves until ctx ends, then closes the listener and waits for running requests.
func (f *Front) Run(ctx context.Context) error {
	server := listen.Server{
		Listen: f.Listen, Handler: f.Handler(), MaxConns: maxConns, ReadTimeout: bodyTimeout, ShutdownTimeout: f.Drain, OnBound: f.Bound,
	}
	return server.Run(ctx)
}

// Handler returns the HTTP handler of all routes.
func (f *Front) Handler() http.Handler {
	e := echo.New()
	e.HTTPErrorHandler = f.handleError
	e.Use(middleware.Recover(), f.count)
	e.POST("/v1/completions", f.completion)
	e.POST("/v1/chat/completions", f.chat)
	e.POST("/v1/call/:profile", f.call)
	e.POST("/v1/call/:profile/:name", f.call)
	e.POST("/v1/tickets/:profile", f.ticket)
	e.GET("/v1/models", f.models)
	e.GET("/health", func(c echo.Context) error { return c.String(http.StatusOK, "ok\n") })
	e.GET("/ready", func(c echo.Context) error {
		if !f.Ready() {
			return c.String(http.StatusServiceUnavailable, "not ready\n")
		}
		return c.String(http.StatusOK, "ready\n")
	})
	return e
}

// count maintains the number of requests in progress.
func (f *Front) count(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		f.busy.Add(1)
		defer f.busy.Add(-1)
		return next(c)
	}
}

// handleError answers requests for unknown paths, and those whose handler panicked.
func (f *Front) handleError(err error, c echo.Context) {
	if c.Response().Committed {
		return
	}
	refusal := magno.Refuse(magno.KindInternal, "%v", err)
	var he *echo.HTTPError
	if errors.As(err, &he) {
		refusal = magno.Refuse(magno.KindMalformed, "%v", he.Message)
		f.recordRefusal(c, refusal)
		_ = c.JSON(he.Code, errorBody{refusal})
		return
	}
	f.Log.Error("request", "error", err)
	_ = f.refuse(c, refusal)
}
