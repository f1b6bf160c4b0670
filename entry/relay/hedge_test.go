package relay

import (
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"magnoliastall.example/magno"
)

// Guards against a stream that is cut, with another upstream's error within it, because its sound upstream was silent
// for a second and the other one answered with a status that isn't a failure of its own.
func TestSilentUpstreamKeepsItsStreamThoughAnotherRejectsIt(t *testing.T) {
	for _, status := range []int{http.StatusFound, http.StatusNotFound, http.StatusConflict} {
		t.Run(http.StatusText(status), func(t *testing.T) {
			t.Parallel()
			u := startUpstream(t, func(_ int, r *http.Request, c net.Conn) bool {
				writeStreamHead(c, r.Header.Get("Id"))
				writeChunk(c, eventText(1))
				time.Sleep(silence)
				writeChunk(c, eventText(2))
				fmt.Fprint(c, "0\r\n\r\n")
				return true
			})
			v := startUpstream(t, func(_ int, r *http.Request, c net.Conn) bool {
				writeResponse(c, r.Header.Get("Id"), status, "no")
				return true
			})
			s := newSilentProxy(t, magno.RouteStream, false, u, v)
			res, body, err := s.get(t, http.MethodPost, "1")
			if err != nil || res.StatusCode != http.StatusOK || body != eventText(1)+eventText(2) {
				t.Errorf("got %v %q %v, want the whole stream", res, body, err)
			}
		})
	}
}

// Guards against a stream that seems complete, though its upstream broke off and another one rejected it.
func TestStreamThatAnotherUpstreamRejectsIsNotComplete(t *testing.T) {
	u := startUpstream(t, func(_ int, r *http.Request, c net.Conn) bool {
		writeStreamHead(c, r.Header.Get("Id"))
		writeChunk(c, eventText(1))
		return false
	})
	v := startUpstream(t, func(_ int, r *http.Request, c net.Conn) bool {
		writeResponse(c, r.Header.Get("Id"), http.StatusNotFound, "no")
		return true
	})
	s := newSilentProxy(t, magno.RouteStream, false, u, v)
	res, body, err := s.get(t, http.MethodPost, "1")
	if err == nil || body != eventText(1) {
		t.Errorf("got %v %q %v, want a broken stream", res, body, err)
	}
}
