package site

import (
	"net"

	"github.com/VictoriaMetrics/metrics"
)

// shedListener closes new connections with their requests unread while the instance is overloaded.
//
// Load pattern: a load balancer sends most new connections to one instance until its readiness check has
// failed. What the instance reads it must answer, and a refusal costs the caller a try all the same; a
// connection that is closed unread can be opened again at another instance, whatever the request.
type shedListener struct {
	net.Listener
	// overloaded reports whether the instance is overloaded.
	overloaded func() bool
}

// Accept implements net.Listener.
func (l *shedListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil || !l.overloaded() {
			return c, err
		}
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // a reset: there may be a request to read
		}
		_ = c.Close()
		metrics.GetOrCreateCounter("connections_shed_total").Inc()
	}
}
