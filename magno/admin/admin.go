// Package admin serves what operators read of a process: health, readiness,
// metrics, state and events. Nothing can be changed through it.
//
//	GET /health          200 while the process runs
//	GET /ready           200 when it takes work, else 503
//	GET /metrics         in the form that Prometheus reads
//	GET /v1/status       the process's state
//	GET /v1/explain      why a request would go where it would
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

// Limits on what readers may take up; package listen has the others.
const (
	// connLimit is the most connections: operators and collectors are few.
	connLimit = 64
	readLimit = 5 * magno.Second
	stopLimit = 2 * magno.Second
)

// Server is the administration API of one process. It implements magno.Task.
type Server struct {
	// Listen is an address of its own, IP and port; it is replaced by the
	// bound one when the port is 0.
	Listen string
	// Allow lists the networks that may read.
	Allow []string
	// Ready tells whether the process takes work.
	Ready func() bool
	// Status returns plain data, encoded as JSON.
	Status func() any
	// Explain may be nil; it returns plain data on a profile.
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
		Listen: s.Listen, Handler: s.handler(allowed), MaxConns: connLimit, ReadTimeout: readLimit, ShutdownTimeout: stopLimit, OnBound: s.OnBound,
	}
	// A reader that is cut at the end of the process is no failure of it.
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
