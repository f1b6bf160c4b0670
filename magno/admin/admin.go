// Package admin serves the read-only administration API of a process: health, readiness,
// metrics, state and events.
//
//	GET /health          200 while the process runs
//	GET /ready           200 if it accepts work, else 503
//	GET /metrics         in the text format of Prometheus
//	GET /v1/status       state of the process
//	GET /v1/explain      how a request with ?profile=NAME would be routed
//	GET /v1/events       ?after=SEQ&request=ID
package admin

import (
	"context"
	"net/http"
	"strconv"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"github.com/labstack/echo/v4"

	"magnoliastall.example/magno"
	"magnoliastall.example/magno/event"
	"magnoliastall.example/magno/guard"
	"magnoliastall.example/magno/listen"
)

// Limits on the resources used by clients; package listen has the others.
const (
	// maxConns is low because only operators and metrics collectors connect.
	maxConns        = 64
	readTimeout     = 5 * magno.Second
	shutdownTimeout = 2 * magno.Second
)

// Server serves the administration API of a process. It implements magno.Task.
type Server struct {
	// Listen is the IP and port to listen on, not shared with other servers. With port 0
	// the system chooses one, and OnBound gets it.
	Listen string
	// Allow lists the networks that have access.
	Allow []string
	// Ready tells whether the process accepts work.
	Ready func() bool
	// Status returns the state of the process, to be encoded as JSON.
	Status func() any
	// Explain returns data on the routing of a profile, to be encoded as JSON. It may be nil.
	Explain func(profile string) (any, error)
	Events  *event.Ring
	// OnBound is called with the address once it is bound. It may be nil.
	OnBound func(address string)
}

// Name implements magno.Task.
func (s *Server) Name() string { return "admin" }

// Run serves until ctx ends.
func (s *Server) Run(ctx context.Context) error {
	allowed, err := guard.New(s.Allow)
	if err != nil {
		return err
	}
	server := listen.Server{
		Listen: s.Listen, Handler: s.handler(allowed), MaxConns: maxConns, ReadTimeout: readTimeout, ShutdownTimeout: shutdownTimeout, OnBound: s.OnBound,
	}
	// Responses that are cut off by the shutdown are not an error.
	if err := server.Run(ctx); !errors.Is(err, context.DeadlineExceeded) {
		return err
	}
	return nil
}

func (s *Server) handler(allowed *guard.Allowlist) http.Handler {
	e := echo.New()
	e.Use(func(next echo.HandlerFunc) echo.HandlerFunc {
		return func(c echo.Context) error {
			if !allowed.Allows(c.Request().RemoteAddr) {
				return c.JSON(http.StatusForbidden, magno.Refuse(magno.KindDenied, "this address is not on the list"))
			}
			return next(c)
		}
	})
	e.GET("/health", func(c echo.Context) error { return c.String(http.StatusOK, "ok\n") })
	e.GET("/ready", s.ready)
	e.GET("/metrics", func(c echo.Context) error {
		metrics.WritePrometheus(c.Response(), true)
		return nil
	})
	e.GET("/v1/status", func(c echo.Context) error { return c.JSON(http.StatusOK, s.Status()) })
	e.GET("/v1/explain", s.explain)
	e.GET("/v1/events", s.events)
	return e
}

func (s *Server) ready(c echo.Context) error {
	if !s.Ready() {
		return c.String(http.StatusServiceUnavailable, "not ready\n")
	}
	return c.String(http.StatusOK, "ready\n")
}

func (s *Server) explain(c echo.Context) error {
	if s.Explain == nil {
		return c.JSON(http.StatusNotFound, magno.Refuse(magno.KindMalformed, "this process explains nothing"))
	}
	result, err := s.Explain(c.QueryParam("profile"))
	if err != nil {
		return c.JSON(http.StatusNotFound, err)
	}
	return c.JSON(http.StatusOK, result)
}

func (s *Server) events(c echo.Context) error {
	after := int64(0)
	if text := c.QueryParam("after"); text != "" {
		n, err := strconv.ParseInt(text, 10, 64)
		if err != nil {
			return c.JSON(http.StatusBadRequest, magno.Refuse(magno.KindMalformed, "not a number").WithField("after"))
		}
		after = n
	}
	return c.JSON(http.StatusOK, s.Events.Since(after, c.QueryParam("request")))
}
