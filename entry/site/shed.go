package site

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"golang.org/x/sys/unix"

	"magnoliastall.example/entry/relay"
	"magnoliastall.example/magno"
	"magnoliastall.example/magno/caller"
	"magnoliastall.example/magno/shed"
	"magnoliastall.example/magno/strain"
)

// tcpCloseWait is the state of a connection that the other end has closed.
const tcpCloseWait = 8

// shedListener accepts connections as shed.Limits says, and marks those whose request is refused.
type shedListener struct {
	net.Listener
	level  func() strain.Level
	limits shed.Limits

	mu    sync.Mutex
	state shed.State
	// freed has an element when a place may have become free, closed is closed with the listener.
	freed     chan struct{}
	closed    chan struct{}
	closeOnce sync.Once
}

func newShedListener(l net.Listener, level func() strain.Level, limits shed.Limits) *shedListener {
	return &shedListener{Listener: l, level: level, limits: limits, freed: make(chan struct{}, 1), closed: make(chan struct{})}
}

// Accept implements net.Listener.
func (l *shedListener) Accept() (net.Conn, error) {
	for {
		if !l.waitForPlace() {
			return nil, net.ErrClosed
		}
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		waited, left := inspect(c)
		if left {
			_ = c.Close() // it would only delay those that still wait
			metrics.GetOrCreateCounter("connections_left_total").Inc()
			continue
		}
		if tcp, ok := c.(*net.TCPConn); ok {
			c = &lingerConn{TCPConn: tcp}
		}
		metrics.GetOrCreateHistogram("connection_wait_seconds").Update(float64(waited) / 1000)
		if !shed.Refuses(l.level(), waited) {
			return c, nil
		}
		metrics.GetOrCreateCounter("connections_shed_total").Inc()
		return l.refuse(c), nil
	}
}

// Close implements net.Listener.
func (l *shedListener) Close() error {
	l.closeOnce.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

// waitForPlace waits until the next connection may be accepted, or returns false once the listener is
// closed.
func (l *shedListener) waitForPlace() bool {
	for held := false; ; held = true {
		l.mu.Lock()
		l.state.Level = l.level()
		accepts := l.limits.Accepts(l.state)
		l.mu.Unlock()
		if accepts {
			return true
		}
		if !held {
			metrics.GetOrCreateCounter("accepts_held_total").Inc()
		}
		select {
		case <-l.freed:
		case <-time.After(strain.Interval.Duration()): // the level has no channel
		case <-l.closed:
			return false
		}
	}
}

// refuse counts a connection until it is closed.
func (l *shedListener) refuse(c net.Conn) net.Conn {
	l.add(1, 1)
	refused := &refusedConn{Conn: c, l: l}
	time.AfterFunc(shed.PlaceTime.Duration(), refused.release)
	return refused
}

func (l *shedListener) add(unanswered, open int) {
	l.mu.Lock()
	l.state.Unanswered += unanswered
	l.state.Open += open
	l.mu.Unlock()
	select {
	case l.freed <- struct{}{}:
	default:
	}
}

// inspect returns how long ago the caller sent something over a connection that was just accepted, and
// whether it has closed the connection.
func inspect(c net.Conn) (waited magno.Millis, left bool) {
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return 0, false
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return 0, false
	}
	_ = raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		if err == nil {
			waited, left = magno.Millis(info.Last_data_recv), info.State == tcpCloseWait
		}
	})
	return waited, left
}

// refusedConn is a connection whose request is refused.
type refusedConn struct {
	net.Conn
	l                *shedListener
	answered, closed atomic.Bool
}

// Write implements net.Conn. Its first call is that of the answer.
func (c *refusedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.release()
	return n, err
}

// Close implements net.Conn.
func (c *refusedConn) Close() error {
	c.release()
	if c.closed.CompareAndSwap(false, true) {
		c.l.add(0, -1)
	}
	return c.Conn.Close()
}

// CloseWrite lets the server close a connection without a reset that overtakes the answer.
func (c *refusedConn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

func (c *refusedConn) release() {
	if c.answered.CompareAndSwap(false, true) {
		c.l.add(-1, 0)
	}
}

// connContext is the http.Server.ConnContext that tells the relay the connection of a request, and whether it is refused.
func connContext(ctx context.Context, c net.Conn) context.Context {
	if _, ok := c.(*refusedConn); ok {
		ctx = relay.WithRefusal(ctx)
	}
	return caller.ConnContext(ctx, c)
}
