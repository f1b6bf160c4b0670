package relay

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"magnoliastall.example/magno"
)

// Guards against an answer that is lost, and a request that is held for ever, as its upstream answers before it has read
// the body, and reads it later or not at all.
func TestAnswerThatComesBeforeTheBodyWasRead(t *testing.T) {
	for _, c := range []struct {
		name     string
		readsOn  bool
		statuses []int
	}{
		{"read later", true, []int{http.StatusOK}},
		{"never read", false, []int{http.StatusOK, http.StatusBadGateway, http.StatusGatewayTimeout}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			closed := make(chan struct{})
			s := newTestProxy(t, magno.RouteOnce, false, startEarlyUpstream(t, c.readsOn, closed))
			res := s.open(t, bytes.NewReader(make([]byte, 4<<20)))
			defer res.Body.Close()
			body, err := io.ReadAll(res.Body)
			ok := false
			for _, status := range c.statuses {
				ok = ok || res.StatusCode == status
			}
			if err != nil || !ok || (res.StatusCode == http.StatusOK && string(body) != "yes") {
				t.Errorf("got %d %q %v, want one of %v", res.StatusCode, body, err, c.statuses)
			}
			if !c.readsOn {
				<-closed
			}
		})
	}
}

// startEarlyUpstream starts an upstream that answers once it has a header. It then reads on after a while, or waits until
// its connection breaks and closes the channel.
func startEarlyUpstream(t *testing.T, readsOn bool, closed chan<- struct{}) *fakeUpstream {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		r, err := http.ReadRequest(bufio.NewReaderSize(c, 1024))
		if err != nil {
			return
		}
		writeResponse(c, r.Header.Get("Id"), http.StatusOK, "yes")
		time.Sleep(300 * time.Millisecond)
		if readsOn {
			_, _ = io.Copy(io.Discard, c)
			return
		}
		for err == nil { // a write fails once the other side has closed
			_, err = c.Write([]byte("x"))
			time.Sleep(10 * time.Millisecond)
		}
		close(closed)
	}()
	return &fakeUpstream{addr: l.Addr().String(), listener: l}
}
