package relay

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"magnoliastall.example/magno"
	"magnoliastall.example/magno/budget"
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
			s.ResponseMemory = &budget.Budget{Size: room}
			seq, ok := s.ResponseMemory.Grow(0, room)
			if !ok {
				t.Fatal("no memory")
			}
			got := s.getStatus(t)
			select {
			case <-answered:
			case status := <-got:
				t.Fatalf("answered with %d before the upstream was", status)
			}
			if c.freed {
				waitFor(t, "a wait for memory", func() bool { return s.ResponseMemory.Waiting() == 1 })
				s.ResponseMemory.Release(seq, room)
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

// Guards against answers that aren't served while a large one waits for memory, however many there are.
func TestAnswersAreServedWhileALargeOneWaits(t *testing.T) {
	const room = 16
	for name, rest := range map[string]string{
		"with a length": "Content-Length: 3\r\n\r\nyes", "in chunks": "Transfer-Encoding: chunked\r\n\r\n3\r\nyes\r\n0\r\n\r\n",
	} {
		for _, large := range []int64{room, room - room/4} {
			t.Run(fmt.Sprintf("%s beside %d of %d", name, large, room), func(t *testing.T) {
				u := startUpstream(t, func(_ int, r *http.Request, conn net.Conn) bool {
					fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nSigned: 1\r\n%s", r.Header.Get("Id"), rest)
					return true
				})
				s := newTestProxy(t, magno.RouteOnce, false, u)
				s.allowDelays()
				s.ResponseMemory = &budget.Budget{Size: room}
				seq, ok := s.ResponseMemory.Grow(0, room/2)
				if !ok {
					t.Fatal("no memory")
				}
				granted := make(chan error, 1)
				go func() {
					_, err := s.ResponseMemory.Acquire(t.Context(), large)
					granted <- err
				}()
				waitFor(t, "a wait for memory", func() bool { return s.ResponseMemory.Waiting() == 1 })
				for n := range 2 * room {
					res, body, err := s.get(t, http.MethodPost, fmt.Sprint(n))
					if err != nil || res.StatusCode != http.StatusOK || body != "yes" {
						t.Fatalf("answer %d: got %v %q %v", n, res, body, err)
					}
					waitFor(t, "its memory to be released", func() bool { return s.Active() == 0 })
				}
				s.ResponseMemory.Release(seq, room/2)
				if err := <-granted; err != nil {
					t.Errorf("the large one: %v", err)
				}
			})
		}
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
	s.ResponseMemory = &budget.Budget{Size: room}
	res, body, err := s.get(t, http.MethodGet, "1")
	if err != nil || res.StatusCode != http.StatusOK || len(body) != size {
		t.Errorf("got %v, %d bytes, %v, want the answer of the second upstream", res, len(body), err)
	}
}
