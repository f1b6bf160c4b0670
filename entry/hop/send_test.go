package hop

import (
	"io"
	"net"
	"net/http"
	"runtime"
	"testing"
)

// Guards against a body that takes its memory once more for each send, and for as long as an upstream reads it slowly.
func TestSendTakesNoMemoryForTheBody(t *testing.T) {
	const size, share = 8 << 20, 0.1
	local, remote := net.Pipe()
	defer local.Close()
	read := make(chan int64)
	go func() {
		n, _ := io.Copy(io.Discard, remote)
		read <- n
	}()
	c := &Conn{Conn: local}
	r := &Request{Method: http.MethodPost, Target: "/", Host: "h", Body: [][]byte{make([]byte, size)}}
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	err := c.Send(r)
	runtime.ReadMemStats(&after)
	if err != nil {
		t.Fatal(err)
	}
	local.Close()
	if n := <-read; n < size {
		t.Errorf("%d bytes of %d were sent", n, size)
	}
	if n := after.TotalAlloc - before.TotalAlloc; float64(n) > share*size {
		t.Errorf("%d bytes were allocated for a body of %d", n, size)
	}
}
