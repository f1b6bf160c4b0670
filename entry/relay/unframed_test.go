package relay

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"magnoliastall.example/magno"
)

// writeUnframed writes a response with neither a length nor chunks, which ends with its connection.
func writeUnframed(c net.Conn, id, body string) {
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nSigned: 1\r\n\r\n%s", id, body)
}

// reset ends a connection by a reset, a moment after what was written, which the other side can still read.
func reset(c net.Conn) {
	time.Sleep(50 * time.Millisecond)
	_ = c.(*net.TCPConn).SetLinger(0)
}

// Guards against answers without a length that are taken for empty, for whole though they were reset, or
// whose connection is used again.
func TestAnswerWithoutALengthEndsWithItsConnection(t *testing.T) {
	for _, c := range []struct {
		name   string
		answer func(n int, r *http.Request, c net.Conn) bool
		body   string
		sends  int
	}{
		{"whole", func(_ int, r *http.Request, c net.Conn) bool {
			writeUnframed(c, r.Header.Get("Id"), "whole")
			return false
		}, "whole", 1},
		{"reset, and whole the second time", func(n int, r *http.Request, c net.Conn) bool {
			if n == 1 {
				writeUnframed(c, r.Header.Get("Id"), "ha")
				reset(c)
				return false
			}
			writeUnframed(c, r.Header.Get("Id"), "half")
			return false
		}, "half", 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			u := startUpstream(t, c.answer)
			s := newTestProxy(t, magno.RouteIdempotent, false, u, u)
			res, body, err := s.get(t, http.MethodGet, "1")
			if err != nil || res.StatusCode != http.StatusOK || body != c.body {
				t.Errorf("got %v %q %v, want %q", res, body, err, c.body)
			}
			if n := u.requestCount(); n != c.sends {
				t.Errorf("%d sends, want %d", n, c.sends)
			}
			if conn, err := s.Conns.Get(t.Context(), s.pools.replicas[0], u.addr); err != nil || conn.Reused {
				t.Errorf("the connection is used again, or %v", err)
			}
		})
	}
}

// Guards against a stream without chunks that was cut inside an event and looks whole, and against one
// that ends between two events and doesn't.
func TestStreamWithoutChunksEndsBetweenEvents(t *testing.T) {
	rest := func(from int) func(int, *http.Request, net.Conn) bool {
		return func(_ int, r *http.Request, c net.Conn) bool {
			text := ""
			for n := from; n <= 3; n++ {
				text += eventText(n)
			}
			writeUnframed(c, r.Header.Get("Id"), text)
			return false
		}
	}
	whole := eventText(1) + eventText(2) + eventText(3)
	for _, c := range []struct {
		name   string
		cut    string
		reset  bool
		resume bool
		body   string
		whole  bool
		sends  int
	}{
		{"ends between two events", whole, false, false, whole, true, 1},
		{"cut inside an event, can't be resumed", eventText(1) + "id: 2\nda", false, false, eventText(1), false, 1},
		{"cut inside an event, goes on elsewhere", eventText(1) + "id: 2\nda", false, true, whole, true, 2},
		{"cut before the empty line", eventText(1) + "id: 2\ndata: x2\n", false, true, whole, true, 2},
		{"reset between two events", eventText(1), true, true, whole, true, 2},
		{"reset between two events, can't be resumed", eventText(1), true, false, eventText(1), false, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			cut := startUpstream(t, func(_ int, r *http.Request, conn net.Conn) bool {
				writeUnframed(conn, r.Header.Get("Id"), c.cut)
				if c.reset {
					reset(conn)
				}
				return false
			})
			other := startUpstream(t, rest(2))
			s := newTestProxy(t, magno.RouteStream, c.resume, cut, other)
			s.allowDelays()
			_, body, err := s.get(t, http.MethodPost, "1")
			if body != c.body || (err == nil) != c.whole {
				t.Errorf("got %q, %v, want %q", body, err, c.body)
			}
			if n := cut.requestCount() + other.requestCount(); n != c.sends {
				t.Errorf("%d sends, want %d", n, c.sends)
			}
		})
	}
}

// Guards against a request that is lost, or waits until its time is over, at an upstream that sends a header without
// end, while another one could serve it.
func TestHeadWithoutEndIsSentElsewhere(t *testing.T) {
	for name, text := range map[string]string{"a line": "x", "header fields": "A: b\r\n", "interim responses": "HTTP/1.1 100 x\r\n\r\n"} {
		t.Run(name, func(t *testing.T) {
			closed := make(chan struct{})
			u := startUpstream(t, func(_ int, _ *http.Request, c net.Conn) bool {
				defer close(closed)
				if text == "A: b\r\n" {
					fmt.Fprint(c, "HTTP/1.1 200 OK\r\n")
				}
				block := []byte(strings.Repeat(text, 1000))
				for {
					if _, err := c.Write(block); err != nil {
						return false
					}
				}
			})
			v := startUpstream(t, func(_ int, r *http.Request, c net.Conn) bool {
				writeResponse(c, r.Header.Get("Id"), http.StatusOK, "yes")
				return true
			})
			s := newTestProxy(t, magno.RouteIdempotent, false, u, v)
			s.allowDelays()
			res, body, err := s.get(t, http.MethodGet, "1")
			if err != nil || res.StatusCode != http.StatusOK || body != "yes" {
				t.Errorf("got %v %q %v, want the answer of the other upstream", res, body, err)
			}
			<-closed
			s.pools.checkBudget(t, 1)
		})
	}
}
