package relay

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"golang.org/x/sync/semaphore"

	"magnoliastall.example/magno"
)

// Guards against a request that ends without an answer because its upstream's answer finds no memory: it is awaited, and
// what can't be read promises nothing.
func TestAnswerThatFindsNoMemoryIsAwaitedOrFails(t *testing.T) {
	const room = 4
	for _, c := range []struct {
		name, header, body string
		freed              bool
		statuses           []int
	}{
		{"with a length, freed", "Content-Length: 3\r\n", "yes", true, []int{http.StatusOK}},
		{"with a length, not freed", "Content-Length: 3\r\n", "yes", false, []int{http.StatusBadGateway, http.StatusGatewayTimeout}},
		{"in chunks, not freed", "Transfer-Encoding: chunked\r\n", "3\r\nyes\r\n0\r\n\r\n", false, []int{http.StatusBadGateway, http.StatusGatewayTimeout}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			answered := make(chan struct{}, 4)
			u := startUpstream(t, func(_ int, r *http.Request, conn net.Conn) bool {
				fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nSigned: 1\r\n%s\r\n%s", r.Header.Get("Id"), c.header, c.body)
				answered <- struct{}{}
				return true
			})
			s := newTestProxy(t, magno.RouteOnce, false, u)
			if c.freed {
				s.allowDelays()
			}
			s.ResponseMemory = semaphore.NewWeighted(room)
			if !s.ResponseMemory.TryAcquire(room) {
				t.Fatal("no memory")
			}
			got := s.getStatus(t)
			<-answered
			if c.freed {
				// Nothing more is granted, not even no bytes, while another one waits.
				waitFor(t, "a wait for memory", func() bool { return !s.ResponseMemory.TryAcquire(0) })
				s.ResponseMemory.Release(room)
			}
			status := <-got
			for _, want := range c.statuses {
				if status == want {
					return
				}
			}
			t.Errorf("got %d, want one of %v", status, c.statuses)
		})
	}
}

// Guards against an answer that waits for the memory that a failure of the same request holds, until its time is over.
func TestHedgeDoesNotWaitForMemoryOfItsOwnRequest(t *testing.T) {
	const room, size = 1000, 600
	failed := make(chan struct{})
	u := startUpstream(t, func(_ int, r *http.Request, c net.Conn) bool {
		time.Sleep(silence)
		writeResponse(c, r.Header.Get("Id"), http.StatusInternalServerError, strings.Repeat("f", size))
		close(failed)
		return true
	})
	v := startUpstream(t, func(_ int, r *http.Request, c net.Conn) bool {
		<-failed
		time.Sleep(100 * time.Millisecond)
		writeResponse(c, r.Header.Get("Id"), http.StatusOK, strings.Repeat("y", size))
		return true
	})
	s := newSilentProxy(t, magno.RouteIdempotent, false, u, v)
	s.ResponseMemory = semaphore.NewWeighted(room)
	res, body, err := s.get(t, http.MethodGet, "1")
	if err != nil || res.StatusCode != http.StatusOK || len(body) != size {
		t.Errorf("got %v, %d bytes, %v, want the answer of the second upstream", res, len(body), err)
	}
}
