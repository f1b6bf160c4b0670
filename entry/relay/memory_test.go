package relay

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"golang.org/x/sync/semaphore"

	"magnoliastall.example/magno"
	"magnoliastall.example/magno/listen"
)

// Guards against a caller that stops reading and keeps its request, and a place at the
// upstream, for as long as its connection stands.
func TestCallerThatStopsReadingIsCut(t *testing.T) {
	long := "id: 1\ndata: " + strings.Repeat("x", 1<<19) + "\n\n"
	u := serveUpstream(t, func(_ int, r *http.Request, c net.Conn) bool {
		head(c, r.Header.Get("Id"))
		for n := 1; ; n++ {
			text := strings.Replace(long, "id: 1", fmt.Sprintf("id: %d", n), 1)
			if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(text), text); err != nil {
				return false
			}
		}
	})
	s := newSite(t, magno.KindStream, false, u)
	server := httptest.NewServer(listen.Timed(s.Handler, 100))
	defer server.Close()
	c, err := net.Dial("tcp", strings.TrimPrefix(server.URL, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	fmt.Fprint(c, "POST /p/1 HTTP/1.1\r\nHost: h.example\r\nId: 1\r\nContent-Length: 4\r\n\r\nbody")
	until(t, "the request", func() bool { return u.count() == 1 })
	until(t, "its end", func() bool { return s.Active() == 0 })
}

// Guards against long bodies that come at once and are together more than the process has
// memory for. What doesn't fit is refused and hasn't run; what was held is given back.
func TestBodiesBeyondTheRoomAreRefused(t *testing.T) {
	reading, finish := make(chan struct{}), make(chan struct{})
	u := serveUpstream(t, func(_ int, r *http.Request, c net.Conn) bool {
		if r.Header.Get("Id") == "slow" {
			close(reading)
			<-finish
		}
		whole(c, r.Header.Get("Id"), http.StatusOK, "yes")
		return true
	})
	s := newSite(t, magno.KindRepeat, false, u)
	s.Book.Now().Plan.Routes[0].Aim = 10_000
	s.BodyMemory = semaphore.NewWeighted(6) // one body of four bytes, not two
	slow := make(chan int, 1)
	go func() {
		res, _, err := s.get(t, http.MethodPost, "slow")
		if err != nil {
			slow <- 0
			return
		}
		slow <- res.StatusCode
	}()
	<-reading
	res, _, err := s.get(t, http.MethodPost, "2")
	if err != nil || res.StatusCode != http.StatusTooManyRequests || res.Header.Get("Retry-After") == "" {
		t.Errorf("got %v, %v", res, err)
	}
	close(finish)
	if got := <-slow; got != http.StatusOK {
		t.Errorf("the first got %d", got)
	}
	until(t, "the end of both", func() bool { return s.Active() == 0 })
	if res, _, err := s.get(t, http.MethodPost, "3"); err != nil || res.StatusCode != http.StatusOK {
		t.Errorf("with room again got %v, %v", res, err)
	}
}

// Guards against an answer over the limit that is cut there and passed on as whole.
func TestHoldingCountsWhatItReads(t *testing.T) {
	for _, c := range []struct {
		name        string
		room, ready int64
		src         io.Reader
		want        string
		fails       bool
	}{
		{"fits", 10, 0, strings.NewReader("12345"), "12345", false},
		{"held before", 5, 5, strings.NewReader("12345"), "12345", false},
		{"more than was stated", 6, 5, strings.NewReader("1234567"), "", true},
		{"no room", 4, 0, strings.NewReader("12345"), "", true},
		{"one over the limit", 100, 0, strings.NewReader("1234567890"), "123456789", false},
	} {
		s := &holding{room: semaphore.NewWeighted(c.room)}
		if err := s.wait(t.Context(), c.ready); err != nil {
			t.Fatal(err)
		}
		got, err := s.read(c.src, 8)
		if (err != nil) != c.fails || (!c.fails && string(got) != c.want) {
			t.Errorf("%s: got %q, %v", c.name, got, err)
		}
		s.free()
		if !s.room.TryAcquire(c.room) {
			t.Errorf("%s: not all was given back", c.name)
		}
	}
}
