package site

import (
	"io"
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
			s := readyServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
			defer s.Close()
			conns := make(chan net.Conn, 1)
			defer close(conns)
			go func() { _ = s.Serve(&pipeListener{conns: conns}) }()
			near, far := net.Pipe()
			conns <- near
			go func() { _, _ = io.Copy(io.Discard, far) }()
			n, err := far.Write([]byte(c.first))
			for k := 0; err == nil && n < 4<<20; n += k {
				k, err = far.Write([]byte(c.rest))
			}
			const readAhead = 8 << 10
			limit := maxHeaderBytes + readAhead
			if c.name == "a body" {
				limit += 256 << 10 // net/http's bound of a body that no handler reads
			}
			if n > limit {
				t.Errorf("%d bytes were read, at most %d may be", n, limit)
			}
		})
	}
	s := readyServer(nil)
	if s.ReadHeaderTimeout == 0 || s.ReadTimeout == 0 || s.WriteTimeout == 0 || s.IdleTimeout == 0 {
		t.Errorf("no bound in time: %+v", s)
	}
}
