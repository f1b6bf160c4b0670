// Package serve is the HTTP server of the simulated services. It limits headers,
// bodies and times, because a stuck client that exhausts a simulated service would
// fail tests that check something else.
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
	MaxHeaderBytes  = 16 << 10
	MaxBodyBytes    = 1 << 20 // values of the configuration service are the largest
	headerTimeout   = 5 * time.Second
	bodyTimeout     = 10 * time.Second
	idleTimeout     = 2 * time.Minute
	shutdownTimeout = time.Second // for calls in progress when the process stops
)

// Server serves one handler on one address.
type Server struct {
	// Title is the name of the task.
	Title string
	// Addr is IP:PORT; port 0 selects a free one.
	Addr    string
	Handler http.Handler

	listener net.Listener
}

// Listen binds the address and returns the actual one.
func (s *Server) Listen() (string, error) {
	listener, err := net.Listen("tcp", s.Addr) //nolint:noctx // bound once at start
	if err != nil {
		return "", fmt.Errorf("%s: %w", s.Title, err)
	}
	s.listener = listener
	return listener.Addr().String(), nil
}

// Name implements magno.Task.
func (s *Server) Name() string { return s.Title }

// Run serves until ctx ends. Listen must be called first.
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

// ErrAborted aborts a call as a dying process would: the connection closes without
// an answer, or a stream without its last event.
var ErrAborted = errors.New("connection aborted")

// errorBody is the body of an error in the format of OpenAI's API.
type errorBody struct {
	Error struct {
		Message string `json:"message"`
		Type    string `json:"type"`
		Code    int    `json:"code"`
	} `json:"error"`
}

// NewRouter returns an empty router. Its errors have the format of OpenAI's API,
// and those with status 429 or 503 have a Retry-After header.
func NewRouter() *echo.Echo {
	e := echo.New()
	e.HideBanner, e.HidePort = true, true
	e.HTTPErrorHandler = func(err error, c echo.Context) {
		if errors.Is(err, ErrAborted) || errors.Is(err, context.Canceled) {
			// Abort the connection: an error response would look like the
			// answer of a working upstream, and a stream that ends normally
			// would look complete.
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
			if h := c.Response().Header(); h.Get(echo.HeaderRetryAfter) == "" {
				h.Set(echo.HeaderRetryAfter, "1")
			}
		}
		var body errorBody
		body.Error.Message, body.Error.Code = message, status
		body.Error.Type = http.StatusText(status)
		_ = c.JSON(status, body)
	}
	return e
}

// DecodeStrict decodes one JSON value. It rejects unknown keys and trailing data,
// so that typing errors of operators are not silently ignored.
func DecodeStrict(data []byte, into any) error {
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	if err := dec.Decode(into); err != nil {
		return fmt.Errorf("body: %w", err)
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return errors.New("body: unexpected data after the JSON value")
	}
	return nil
}

// ReadBody reads a body of at most limit bytes; a longer one is an error with
// status 413. The read deadline is set here and not on the server, where it would
// also end long streams.
func ReadBody(c echo.Context, limit int64) ([]byte, error) {
	// The deadline cannot be set when a test calls the handler without a
	// connection; that error is ignored.
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
