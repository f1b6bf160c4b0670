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

// Guards against a sound upstream that is given up for one that brings nothing new, and then fails.
func TestWhatIsNoNewEventReplacesNoUpstream(t *testing.T) {
	for name, first := range map[string]string{"an event that the caller has": eventText(1), "a comment": ": hello\n\n"} {
		for service, engine := range map[string]bool{"engine": true, "plain service": false} {
			t.Run(name+", "+service, func(t *testing.T) {
				t.Parallel()
				u := startUpstream(t, func(_ int, r *http.Request, c net.Conn) bool {
					writeStreamHead(c, r.Header.Get("Id"))
					writeChunk(c, eventText(1))
					writeChunk(c, eventText(2))
					time.Sleep(silence)
					writeChunk(c, eventText(3))
					fmt.Fprint(c, "0\r\n\r\n")
					return true
				})
				v := startUpstream(t, func(_ int, r *http.Request, c net.Conn) bool {
					writeStreamHead(c, r.Header.Get("Id"))
					writeChunk(c, first)
					return false
				})
				s := newSilentProxy(t, magno.RouteStream, engine, u, v)
				_, body, err := s.get(t, http.MethodPost, "1")
				got := strings.ReplaceAll(body, ": hello\n\n", "")
				if want := eventText(1) + eventText(2) + eventText(3); err != nil || got != want {
					t.Errorf("got %q %v, want the whole stream", body, err)
				}
			})
		}
	}
}

// Guards against an answer of no stated length that is lost for want of memory while most of it is free.
func TestAnswerInChunksIsServedBesideAnAnswerThatWaits(t *testing.T) {
	const room = 1 << 20
	u := startUpstream(t, func(_ int, r *http.Request, c net.Conn) bool {
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nSigned: 1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nyes\r\n0\r\n\r\n", r.Header.Get("Id"))
		return true
	})
	s := newSilentProxy(t, magno.RouteOnce, false, u)
	s.ResponseMemory = &budget.Budget{Size: room}
	if _, ok := s.ResponseMemory.Grow(0, room/4); !ok {
		t.Fatal("no memory")
	}
	go func() { _, _ = s.ResponseMemory.Acquire(t.Context(), room) }()
	waitFor(t, "a wait for memory", func() bool { return s.ResponseMemory.Waiting() == 1 })
	res, body, err := s.get(t, http.MethodPost, "1")
	if err != nil || res.StatusCode != http.StatusOK || body != "yes" {
		t.Errorf("got %v %q %v, want the answer", res, body, err)
	}
}
