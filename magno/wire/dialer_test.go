package wire

import (
	"net"
	"testing"

	"golang.org/x/sys/unix"
)

// Guards against connections to a machine that lost power that stay open, without use, after it is back.
func TestConnectionsHaveAUserTimeout(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	conn, err := newDialer().DialContext(t.Context(), "tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		t.Fatalf("got a %T", conn)
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	var got int
	var failed error
	err = raw.Control(func(fd uintptr) {
		got, failed = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT)
	})
	if err != nil || failed != nil || got != int(userTimeout) {
		t.Errorf("the user timeout is %d ms, %v, %v; want %d ms", got, err, failed, userTimeout)
	}
}
