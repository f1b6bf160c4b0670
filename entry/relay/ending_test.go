package relay

import (
	"fmt"
	"net"
	"net/http"
	"testing"

	"magnoliastall.example/magno"
)

// Guards against requests that are refused as the cause of ends because sound engines, which their agents couldn't
// reach for a moment, were silent under them.
func TestSilenceOfAnEngineIsNotItsEnd(t *testing.T) {
	t.Parallel()
	var s *testProxy
	u := startUpstream(t, func(n int, r *http.Request, c net.Conn) bool {
		writeStreamHead(c, r.Header.Get("Id"))
		writeChunk(c, eventText(1))
		s.permits.unreached.Store(true)
		s.permits.down.Store(true)
		return waitUntilClosed(n, r, c)
	})
	v := startUpstream(t, func(_ int, r *http.Request, c net.Conn) bool {
		writeStreamHead(c, r.Header.Get("Id"))
		writeChunk(c, eventText(2))
		fmt.Fprint(c, "0\r\n\r\n")
		return true
	})
	s = newSilentProxy(t, magno.RouteStream, true, u, v)
	_, body, err := s.get(t, http.MethodPost, "1")
	if err != nil || body != eventText(1)+eventText(2) {
		t.Errorf("got %q %v, want the whole stream", body, err)
	}
	s.awaitChecks(t)
	if got := s.endCounts(); len(got) != 0 {
		t.Errorf("ends are %v, want none", got)
	}
}

// Guards against an end that isn't recognised because the agent only states that its engine is down.
func TestEngineThatRefusesConnectionsHasEnded(t *testing.T) {
	t.Parallel()
	var s *testProxy
	var u *fakeUpstream
	u = startUpstream(t, func(int, *http.Request, net.Conn) bool {
		_ = u.listener.Close()
		s.permits.unreached.Store(true)
		s.permits.down.Store(true)
		return false
	})
	s = newTestProxy(t, magno.RouteStream, false, u)
	s.send(t, http.MethodGet, "1")
	s.awaitChecks(t)
	if got := s.endCounts(); len(got) != 1 || got[0] != 1 {
		t.Errorf("ends are %v, want one of one request", got)
	}
}
