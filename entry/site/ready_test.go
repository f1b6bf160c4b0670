package site

import (
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"testing"
)

// pipeListener accepts the connections of a channel.
type pipeListener struct {
	net.Listener
	conns chan net.Conn
}

func (l *pipeListener) Accept() (net.Conn, error) {
	c, ok := <-l.conns
	if !ok {
		return nil, net.ErrClosed
	}
	return c, nil
}

func (l *pipeListener) Close() error   { return nil }
func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// Guards against checks of readiness that send a header or a body without end, or none of it and keep their connections.
func TestChecksOfReadinessAreBounded(t *testing.T) {
	long := strings.Repeat("x", 1000)
	for _, c := range []struct{ name, first, rest string }{
		{"a line", "GET /", long},
		{"header fields", "GET / HTTP/1.1\r\nHost: a\r\n", "A: " + long + "\r\n"},
		{"a body", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1000000000\r\n\r\n", long},
	} {
		t.Run(c.name, func(t *testing.T) {
			limit := maxHeaderBytes + readAhead
			if c.name == "a body" {
				limit += 256 << 10 // net/http's bound of a body that no handler reads
			}
			checkBounded(t, readyServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})), c.first, c.rest, limit)
		})
	}
	s := readyServer(nil)
	if s.ReadHeaderTimeout == 0 || s.ReadTimeout == 0 || s.WriteTimeout == 0 || s.IdleTimeout == 0 {
		t.Errorf("no bound in time: %+v", s)
	}
}

// Guards against callers that send a header without end, or none and keep their connections.
func TestHeadersOfCallersAreBounded(t *testing.T) {
	f := &front{log: slog.New(slog.DiscardHandler)}
	handler, _ := f.handler(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	for first, rest := range map[string]string{"GET /": "x", "GET / HTTP/1.1\r\nHost: a\r\n": "A: b\r\n"} {
		checkBounded(t, f.server(handler), first, strings.Repeat(rest, 100), maxHeaderBytes+readAhead)
	}
	if s := f.server(nil); s.ReadHeaderTimeout == 0 || s.IdleTimeout == 0 {
		t.Errorf("no bound in time: %+v", s)
	}
}

// readAhead is how many bytes a server may read beyond a bound.
const readAhead = 8 << 10

// checkBounded checks that a server reads limit bytes at most of what never ends.
func checkBounded(t *testing.T, s *http.Server, first, rest string, limit int) {
	t.Helper()
	defer s.Close()
	conns := make(chan net.Conn, 1)
	defer close(conns)
	go func() { _ = s.Serve(&pipeListener{conns: conns}) }()
	near, far := net.Pipe()
	conns <- near
	go func() { _, _ = io.Copy(io.Discard, far) }()
	n, err := far.Write([]byte(first))
	for k := 0; err == nil && n < 4<<20; n += k {
		k, err = far.Write([]byte(rest))
	}
	if n > limit {
		t.Errorf("%q: %d bytes were read, at most %d may be", first, n, limit)
	}
}
