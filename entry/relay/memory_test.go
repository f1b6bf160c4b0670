package relay

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"testing"
	"testing/iotest"

	"magnoliastall.example/magno"
	"magnoliastall.example/magno/budget"
	"magnoliastall.example/magno/listen"
)

// Guards against a caller that stops reading and thereby holds its request, and a slot at the
// upstream, for as long as its connection is open.
func TestCallerThatStopsReadingIsCut(t *testing.T) {
	long := "id: 1\ndata: " + strings.Repeat("x", 1<<19) + "\n\n"
	u := startUpstream(t, func(_ int, r *http.Request, c net.Conn) bool {
		writeStreamHead(c, r.Header.Get("Id"))
		for n := 1; ; n++ {
			text := strings.Replace(long, "id: 1", fmt.Sprintf("id: %d", n), 1)
			if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(text), text); err != nil {
				return false
			}
		}
	})
	s := newTestProxy(t, magno.RouteStream, false, u)
	server := httptest.NewServer(listen.WithWriteTimeout(s.Handler, 100))
	defer server.Close()
	c, err := net.Dial("tcp", strings.TrimPrefix(server.URL, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	fmt.Fprint(c, "POST /p/1 HTTP/1.1\r\nHost: h.example\r\nId: 1\r\nContent-Length: 4\r\n\r\nbody")
	waitFor(t, "the upstream to get the request", func() bool { return u.requestCount() == 1 })
	waitFor(t, "the request to end", func() bool { return s.Active() == 0 })
}

// Guards against concurrent long bodies that together exceed the process's memory. A request
// whose body doesn't fit must be refused without having run, and memory must be released
// afterwards.
func TestBodiesBeyondTheRoomAreRefused(t *testing.T) {
	reading, finish := make(chan struct{}), make(chan struct{})
	u := startUpstream(t, func(_ int, r *http.Request, c net.Conn) bool {
		if r.Header.Get("Id") == "slow" {
			close(reading)
			<-finish
		}
		writeResponse(c, r.Header.Get("Id"), http.StatusOK, "yes")
		return true
	})
	s := newTestProxy(t, magno.RouteIdempotent, false, u)
	s.Book.Current().Plan.Routes[0].Aim = 10_000
	s.BodyMemory = &budget.Budget{Size: 6} // one body of four bytes, not two
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
		t.Errorf("the first request got status %d", got)
	}
	waitFor(t, "both requests to end", func() bool { return s.Active() == 0 })
	if res, _, err := s.get(t, http.MethodPost, "3"); err != nil || res.StatusCode != http.StatusOK {
		t.Errorf("with memory available again got %v, %v", res, err)
	}
}

// Guards against bodies that take several times the memory that is reserved for them, so that bodies within the limit
// fill a small machine.
func TestBodyTakesTheMemoryThatIsReservedForIt(t *testing.T) {
	const size, tolerance = 8 << 20, 1.1
	for _, known := range []bool{false, true} {
		src := &io.LimitedReader{R: zeros{}, N: size}
		var r reservation
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		length := int64(-1)
		if known {
			length = size
		}
		blocks, err := r.readBlocks(src, length, maxResponseSize)
		runtime.ReadMemStats(&after)
		if n := sizeOf(blocks); err != nil || n != size {
			t.Fatalf("got %d bytes, %v", n, err)
		}
		if n := after.TotalAlloc - before.TotalAlloc; float64(n) > tolerance*size {
			t.Errorf("length known %t: %d bytes were allocated for a body of %d", known, n, size)
		}
	}
}

// zeros is a source without end.
type zeros struct{}

func (zeros) Read(p []byte) (int, error) { return len(p), nil }

// text returns a source that ends with an error, or at its end if that is nil.
func text(s string, err error) func() io.Reader {
	if err == nil {
		err = io.EOF
	}
	return func() io.Reader { return io.MultiReader(strings.NewReader(s), iotest.ErrReader(err)) }
}

// Guards against a response over the limit that is truncated and forwarded as complete.
func TestReservationCountsBytesRead(t *testing.T) {
	for _, c := range []struct {
		name        string
		room, ready int64
		src         func() io.Reader
		want        string
		fails       bool
	}{
		{"fits", 10, 0, text("12345", nil), "12345", false},
		{"reserved before", 5, 5, text("12345", nil), "12345", false},
		{"longer than reserved", 6, 5, text("1234567", nil), "", true},
		{"not enough memory", 4, 0, text("12345", nil), "", true},
		{"one over the limit", 100, 0, text("1234567890", nil), "123456789", false},
		{"cut", 100, 0, text("1234", io.ErrUnexpectedEOF), "", true},
	} {
		s := &reservation{budget: &budget.Budget{Size: c.room}}
		for _, length := range []int64{-1, c.ready, 1, 4, 5, 7, 8, 10, 1000} {
			if err := s.acquire(t.Context(), c.ready); err != nil {
				t.Fatal(err)
			}
			blocks, err := s.readBlocks(c.src(), length, 8)
			if (err != nil) != c.fails || (!c.fails && string(bytes.Join(blocks, nil)) != c.want) {
				t.Errorf("%s, length %d: got %q, %v", c.name, length, blocks, err)
			}
			s.release()
			seq, ok := s.budget.Grow(0, c.room)
			if !ok {
				t.Fatalf("%s, length %d: not all memory was released", c.name, length)
			}
			s.budget.Release(seq, c.room)
		}
	}
}
