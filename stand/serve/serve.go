// Package serve is the HTTP server that every stand-in stands behind, with
// limits on header, body and time: a stand-in that a stuck client can exhaust
// would fail tests for reasons of its own.
package serve

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/labstack/echo/v4"
)

// Limits of a server.
const (
	MaxHeaderBytes  = 16 << 10 // bytes
	MaxBodyBytes    = 1 << 20  // bytes; values of the configuration service are the largest
	headerTimeout   = 5 * time.Second
	bodyTimeout     = 10 * time.Second
	idleTimeout     = 2 * time.Minute
	shutdownTimeout = time.Second // grace for calls in progress at the end
)

// Server serves one handler on one address.
type Server struct {
	// Title names the duty.
	Title string
	// Addr is IP:PORT; port 0 takes a free one.
	Addr    string
	Handler http.Handler

	listener net.Listener
}

// Listen binds the address and returns the one that was taken.
func (s *Server) Listen() (string, error) {
	listener, err := net.Listen("tcp", s.Addr) //nolint:noctx // bound once at start
	if err != nil {
		return "", fmt.Errorf("%s: %w", s.Title, err)
	}
	s.listener = listener
	return listener.Addr().String(), nil
}

// Name returns the title.
func (s *Server) Name() string { return s.Title }

// Run serves until ctx ends; Listen comes before it.
func (s *Server) Run(ctx context.Context) error {
	server := &http.Server{
		Handler:           s.Handler,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    MaxHeaderBytes,
		BaseContext:       func(net.Listener) context.Context { return ctx },
	}
	ended := make(chan error, 1)
	go func() { ended <- server.Serve(s.listener) }()
	select {
	case err := <-ended:
		return err
	case <-ctx.Done():
	}
	shutdownCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
	defer cancel()
	if server.Shutdown(shutdownCtx) != nil {
		_ = server.Close()
	}
	if err := <-ended; !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// ErrCut ends a call as a process that dies does: its connection ends without
// an answer, and a stream without its end.
var ErrAborted = errors.New("cut")

// fault is the body of an error in the form of OpenAI's interface.
type errorBody struct {
	Error struct {
		Message string `json:"message"`
		Type    string `json:"type"`
		Code    int    `json:"code"`
	} `json:"error"`
}

// Routes returns an empty router whose errors have the form that clients of
// language models expect, and say when to come back where that may help.
func NewRouter() *echo.Echo {
	e := echo.New()
	e.HideBanner, e.HidePort = true, true
	e.HTTPErrorHandler = func(err error, c echo.Context) {
		if errors.Is(err, ErrAborted) || errors.Is(err, context.Canceled) {
			// A call that ends with its process must not look answered: its
			// caller would take an error for an upstream's own, or the end
			// of a stream for a whole one.
			panic(http.ErrAbortHandler)
		}
		if c.Response().Committed {
			return
		}
		status, message := http.StatusInternalServerError, err.Error()
		var httpErr *echo.HTTPError
		if errors.As(err, &httpErr) {
			status, message = httpErr.Code, fmt.Sprint(httpErr.Message)
		}
		if status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable {
			c.Response().Header().Set(echo.HeaderRetryAfter, "1")
		}
		var body errorBody
		body.Error.Message, body.Error.Code = message, status
		body.Error.Type = http.StatusText(status)
		_ = c.JSON(status, body)
	}
	return e
}

// Strict reads one JSON value and refuses keys that into doesn't have and text
// behind it: operators' typing errors would otherwise pass without effect.
func DecodeStrict(data []byte, into any) error {
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	if err := dec.Decode(into); err != nil {
		return fmt.Errorf("body: %w", err)
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return errors.New("body: goes on behind its end")
	}
	return nil
}

// Body reads a body of at most limit bytes; a longer one is an error with
// status 413. The time for it is limited here, and not for the connection:
// there it would also end a stream that takes long.
func ReadBody(c echo.Context, limit int64) ([]byte, error) {
	// A handler that is called without a connection has no deadline to set.
	control := http.NewResponseController(c.Response())
	_ = control.SetReadDeadline(time.Now().Add(bodyTimeout))
	defer func() { _ = control.SetReadDeadline(time.Time{}) }()
	data, err := io.ReadAll(http.MaxBytesReader(c.Response(), c.Request().Body, limit))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, echo.NewHTTPError(http.StatusRequestEntityTooLarge, err.Error())
	}
	if err != nil {
		return nil, echo.NewHTTPError(http.StatusBadRequest, err.Error())
	}
	return data, nil
}
