package site

import (
	"io"
	"net"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// lingerTimeout bounds how long a connection with unread input stays half open once it is closed.
const lingerTimeout = 2 * time.Second

// lingerConn is a connection that reads its input to the end after it is closed. Close would otherwise
// send a reset, which discards the answer's bytes that the caller hasn't acknowledged.
type lingerConn struct {
	*net.TCPConn
	closed atomic.Bool
}

// Read implements net.Conn.
func (c *lingerConn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if c.closed.Load() {
		return 0, net.ErrClosed
	}
	return n, err
}

// Close implements net.Conn.
func (c *lingerConn) Close() error {
	if c.closed.Swap(true) {
		return net.ErrClosed
	}
	if !c.hasInput() || c.CloseWrite() != nil {
		return c.TCPConn.Close()
	}
	_ = c.SetDeadline(time.Now()) // ends calls in progress
	go func() {
		_ = c.SetReadDeadline(time.Now().Add(lingerTimeout))
		_, _ = io.Copy(io.Discard, c.TCPConn)
		_ = c.TCPConn.Close()
	}()
	return nil
}

// hasInput reports whether the caller has sent what isn't read.
func (c *lingerConn) hasInput() bool {
	raw, err := c.SyscallConn()
	if err != nil {
		return false
	}
	n := 0
	_ = raw.Control(func(fd uintptr) { n, _ = unix.IoctlGetInt(int(fd), unix.SIOCINQ) })
	return n > 0
}
