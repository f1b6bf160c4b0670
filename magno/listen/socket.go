package listen

import (
	"net"

	"golang.org/x/net/netutil"
)

// limitListener returns l with at most limit open connections, whose sockets can be had by NetConn. Those of netutil
// hide them.
func limitListener(l net.Listener, limit int) net.Listener {
	sockets := &lastListener{Listener: l}
	return &socketListener{Listener: netutil.LimitListener(sockets, limit), sockets: sockets}
}

// lastListener remembers the last connection that it accepted.
type lastListener struct {
	net.Listener
	last net.Conn
}

// Accept implements net.Listener.
func (l *lastListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	l.last = c
	return c, err
}

// socketListener returns the connections of a listener with their sockets. Accept is called by one goroutine, as
// http.Server does.
type socketListener struct {
	net.Listener
	sockets *lastListener
}

// Accept implements net.Listener.
func (l *socketListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &socketConn{Conn: c, socket: l.sockets.last}, nil
}

// socketConn is a connection with the socket below it.
type socketConn struct {
	net.Conn
	socket net.Conn
}

// NetConn returns the socket.
func (c *socketConn) NetConn() net.Conn { return c.socket }

// CloseWrite lets the server close a connection without a reset that overtakes the answer.
func (c *socketConn) CloseWrite() error {
	if half, ok := c.socket.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}
