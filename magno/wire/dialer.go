package wire

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"

	"magnoliastall.example/magno"
)

// newDialer returns the dialer of outgoing connections.
//
// Load pattern: a machine or a data centre loses power. Calls to it still use the open connections, and
// the kernel sends their data again in growing intervals. Once the machine is back, it resets such a
// connection only at the next of these, after up to the length of the outage. Until then every call
// to it times out. With userTimeout the kernel closes the connection instead, and the next call opens
// another one.
func newDialer() *net.Dialer {
	return &net.Dialer{
		Timeout: dialTimeout.Duration(),
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle.Duration(), Interval: keepAliveInterval.Duration(), Count: keepAliveCount,
		},
		Control: UserTimeout(userTimeout),
	}
}

// UserTimeout returns a control function of a net.Dialer. It has the kernel close a connection whose sent data
// isn't acknowledged within the timeout.
func UserTimeout(timeout magno.Millis) func(network, address string, raw syscall.RawConn) error {
	return func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			// Without the option the kernel only detects broken paths later.
			_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout))
		})
	}
}
