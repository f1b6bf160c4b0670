package relay

import (
	"context"
	"net"
	"syscall"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// connKey is the context key of a caller's connection.
type connKey struct{}

// ConnContext makes the connection of a request known to the handler. It is the ConnContext of the http.Server.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// callerLeft reports whether the caller of a request is known to have closed its connection.
//
// Load pattern: requests lie unread before a process that is overloaded, and their callers give up meanwhile. The
// server ends the context of a request only once another goroutine has read the end of the connection, which may
// be after the request was sent on.
func callerLeft(ctx context.Context) bool {
	if ctx.Err() != nil {
		return true
	}
	sc, ok := ctx.Value(connKey{}).(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	left := false
	// Control, as Read would wait for the read of the server.
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, e := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		left = n <= 0 && !errors.IsAny(e, unix.EAGAIN, unix.EINTR)
	})
	return left || err != nil
}
