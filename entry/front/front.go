// Package front is what callers see: completions in the form that clients of
// language models use, and plain calls.
//
//	POST /v1/completions        model = profile; stream by server-sent events
//	POST /v1/chat/completions   the same, with messages
//	POST /v1/call/{profile}     any body, for plain services; /{name} names the call
//	POST /v1/tickets/{profile}  a key that one process alone may run
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
	// connLimit is the most connections of callers. Each takes a file; those
	// of the mesh, 4,608 at most, come on top.
	connLimit = 8192
	bodyTime  = 30 * magno.Second // to read the whole request
)

// Catalogue is the configuration in force, as callers' requests need it.
type Catalogue interface {
	// Version is zero before any configuration is known.
	Version() int64
	// Profile and Pool look up by name.
	Profile(name string) (magno.Profile, bool)
	Pool(name string) (magno.Pool, bool)
	// Retired tells whether a version of an adapter is retired.
	Retired(ref magno.Ref) bool
	// Customer looks up by name.
	Customer(name string) (magno.Customer, bool)
	// Owner finds the customer that an Authorization header's key belongs to, nil when
	// there is none. Keyed is false where callers need no keys.
	Owner(authorization string) (owner *magno.Customer, keyed bool)
	// Names lists the profiles in order, of one customer unless that is empty.
	ProfileNames(customer string) []string
}

// Front serves callers. Its fields are set before Run; it implements
// magno.Duty.
type Front struct {
	Listen    string
	Clock     *magno.Clock
	Catalogue Catalogue
	Sender    *send.Sender
	// Quotas is nil where nothing is bounded.
	Quotas magno.Quotas
	Events *event.Ring
	Log    *slog.Logger
	// Body is the most bytes of a request.
	MaxBody int64
	// Deadline holds where caller and profile state none.
	DefaultDeadline magno.Millis
	// Grace is the time between not being ready and taking no new
	// connection, so that the balancer notices first.
	Grace magno.Millis
	// Drain bounds the wait for running requests at a planned stop.
	Drain magno.Millis
	// Settled tells whether the configuration is as new as that of the peers.
	Settled func() bool
	// Bound is told the address once it is bound. It may be nil.
	Bound func(address string)

	// leaveAt is when Leave was called, zero before.
	leaveAt atomic.Int64
	// busy counts requests.
	busy atomic.Int64
}

// Name implements magno.Duty.
func (f *Front) Name() string { return "front" }

// Ready tells whether new requests should come here.
func (f *Front) Ready() bool {
	return f.leaveAt.Load() == 0 && f.Settled()
}

// Leave begins a planned stop: the entry is no longer ready, but still serves
// what comes, until the balancer has noticed.
func (f *Front) Leave() { f.leaveAt.Store(int64(f.Clock.Now())) }

// Busy counts what a planned stop waits for: requests under way, and one more
// until the balancer has had its time to notice.
func (f *Front) Busy() int64 {
	busy := f.busy.Load()
	if left := magno.Millis(f.leaveAt.Load()); left > 0 && f.Clock.Now() < left+f.Grace {
		busy++
	}
	return busy
}

// Run serves until ctx ends, then takes no new connections and waits for the
// last running answer.
func (f *Front) Run(ctx context.Context) error {
	server := listen.Server{
		Listen: f.Listen, Handler: f.Handler(), Conns: connLimit, Read: bodyTime, Stop: f.Drain, Bound: f.Bound,
	}
	return server.Run(ctx)
}

// Handler returns the routes.
func (f *Front) Handler() http.Handler {
	e := echo.New()
	e.HTTPErrorHandler = f.fault
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

// count counts requests under way.
func (f *Front) count(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		f.busy.Add(1)
		defer f.busy.Add(-1)
		return next(c)
	}
}

// fault answers what no handler did: unknown paths and panics.
func (f *Front) fault(err error, c echo.Context) {
	if c.Response().Committed {
		return
	}
	refusal := magno.Refuse(magno.KindInternal, "%v", err)
	var he *echo.HTTPError
	if errors.As(err, &he) {
		refusal = magno.Refuse(magno.KindMalformed, "%v", he.Message)
		f.told(c, refusal)
		_ = c.JSON(he.Code, errorBody{refusal})
		return
	}
	f.Log.Error("request", "error", err)
	_ = f.refuse(c, refusal)
}
