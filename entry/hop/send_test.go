package hop

import (
	"bufio"
	"bytes"
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

// Guards against a body that arrives cut, doubled or out of order because it is sent in several writes.
func TestBodyInBlocksArrivesWhole(t *testing.T) {
	for _, sizes := range [][]int{{}, {0}, {1}, {maxJoined}, {maxJoined + 1}, {1, maxJoined, 1}, {maxJoined - 1, 1, 1}, {maxJoined + 1, 0, 1, 1}} {
		var blocks [][]byte
		for i, size := range sizes {
			blocks = append(blocks, bytes.Repeat([]byte{byte('a' + i)}, size))
		}
		local, remote := net.Pipe()
		failed := make(chan error, 1)
		go func() {
			c := &Conn{Conn: local}
			failed <- c.Send(&Request{Method: http.MethodPost, Target: "/", Host: "h", Body: blocks})
			local.Close()
		}()
		r, err := http.ReadRequest(bufio.NewReader(remote))
		if err != nil {
			t.Fatal(err)
		}
		got, err := io.ReadAll(r.Body)
		if err != nil || !bytes.Equal(got, bytes.Join(blocks, nil)) {
			t.Errorf("%v: got %d bytes, %v", sizes, len(got), err)
		}
		if err := <-failed; err != nil {
			t.Error(err)
		}
		remote.Close()
	}
}
