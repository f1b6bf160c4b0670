package relay

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"testing"

	"magnoliastall.example/magno"
)

// Guards against callers that never finish their bodies and hold a connection, its goroutine and the memory of what
// came for as long as they like.
func TestBodyThatNeverEndsIsReadForTheRoutesTimeOnly(t *testing.T) {
	for _, c := range []struct{ name, head, part string }{
		{"a stated length", "Content-Length: 100\r\n\r\n", "x"},
		{"chunks", "Transfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n"},
		{"nothing of it", "Content-Length: 100\r\n\r\n", ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			u := startUpstream(t, func(_ int, r *http.Request, c net.Conn) bool {
				writeResponse(c, r.Header.Get("Id"), http.StatusOK, "yes")
				return true
			})
			s := newTestProxy(t, magno.RouteIdempotent, false, u)
			conn, err := net.Dial("tcp", strings.TrimPrefix(s.server.URL, "http://"))
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			fmt.Fprint(conn, "POST /p/1 HTTP/1.1\r\nHost: h.example\r\nId: 1\r\n"+c.head+c.part)
			waitFor(t, "the request to be read", func() bool { return s.Active() == 1 })
			waitFor(t, "the request to end", func() bool { return s.Active() == 0 })
			res, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil {
				t.Fatal(err)
			}
			defer res.Body.Close()
			if res.StatusCode != http.StatusTooManyRequests || !res.Close {
				t.Errorf("status %d, closed %v; want a refusal that promises that it has not run, and the connection closed", res.StatusCode, res.Close)
			}
			if n := u.requestCount(); n != 0 {
				t.Errorf("%d sends of a request that never was whole", n)
			}
		})
	}
}

// Guards against a deadline of a body that outlives it and breaks the request's answer, or the next request.
func TestDeadlineOfABodyEndsWithIt(t *testing.T) {
	u := startUpstream(t, func(_ int, r *http.Request, c net.Conn) bool {
		writeResponse(c, r.Header.Get("Id"), http.StatusOK, "yes")
		return true
	})
	s := newTestProxy(t, magno.RouteIdempotent, false, u)
	conn, err := net.Dial("tcp", strings.TrimPrefix(s.server.URL, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	answers := bufio.NewReader(conn)
	for n := range 3 {
		if n == 2 { // past the deadline of the first body
			first := s.Clock.Now()
			waitFor(t, "the first body's time to be over", func() bool { return s.Clock.Now()-first > 2*magno.Second })
		}
		fmt.Fprint(conn, "POST /p/1 HTTP/1.1\r\nHost: h.example\r\nId: 1\r\nContent-Length: 4\r\n\r\nbody")
		res, err := http.ReadResponse(answers, nil)
		if err != nil || res.StatusCode != http.StatusOK {
			t.Fatalf("request %d: %v, %v", n, res, err)
		}
		_ = res.Body.Close()
	}
}

// Guards against a body over the configuration's limit that is read to its end, or that goes on without one.
func TestBodyOverTheLimitIsNotRead(t *testing.T) {
	const limit = 64 << 10
	for _, c := range []struct {
		name   string
		length int64
		read   int
	}{
		{"a stated length", limit + 1, 0},
		{"no stated length", -1, 2 * limit},
	} {
		t.Run(c.name, func(t *testing.T) {
			u := startUpstream(t, streamOneEvent)
			s := newTestProxy(t, magno.RouteIdempotent, false, u)
			s.Book.Current().Plan.Body = limit
			body := &endlessText{rest: "x", limit: 100 * limit}
			r := httptest.NewRequest(http.MethodPost, "/p/1", io.NopCloser(body))
			r.Host, r.ContentLength = "h.example", c.length
			r.Header.Set("Id", "1")
			w := httptest.NewRecorder()
			s.ServeHTTP(w, r)
			if w.Code != http.StatusRequestEntityTooLarge {
				t.Errorf("status %d", w.Code)
			}
			if body.read > c.read {
				t.Errorf("%d bytes were read, at most %d may be", body.read, c.read)
			}
			if n := u.requestCount(); n != 0 {
				t.Errorf("%d sends", n)
			}
		})
	}
}

// Guards against an upstream that repeats an event that the caller has, or sends events without an id, and so holds the
// request beyond its route's time.
func TestStreamWithoutEndEndsWithItsTime(t *testing.T) {
	for name, event := range map[string]string{"one event": eventText(1), "events without an id": "data: x\n\n"} {
		t.Run(name, func(t *testing.T) {
			closed := make(chan struct{}, 8)
			u := startUpstream(t, func(_ int, r *http.Request, c net.Conn) bool {
				writeStreamHead(c, r.Header.Get("Id"))
				block := strings.Repeat(event, 1000)
				for {
					if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(block), block); err != nil {
						closed <- struct{}{}
						return false
					}
				}
			})
			s := newTestProxy(t, magno.RouteStream, false, u)
			if _, _, err := s.get(t, http.MethodPost, "1"); err == nil {
				t.Error("a stream without end looks whole")
			}
			waitFor(t, "the request to end", func() bool { return s.Active() == 0 })
			<-closed
		})
	}
}

// Guards against bodies of callers that take several times the memory that is reserved for them.
func TestBodyOfACallerTakesTheMemoryThatIsReservedForIt(t *testing.T) {
	const size, tolerance = 8 << 20, 1.1
	for _, length := range []int64{-1, size} {
		j := &job{Handler: &Handler{Clock: magno.NewMonotonic()}, w: httptest.NewRecorder()}
		j.r = httptest.NewRequest(http.MethodPost, "/", &io.LimitedReader{R: zeros{}, N: size})
		j.r.ContentLength = length
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		body, err := j.readBodyInTime(size)
		runtime.ReadMemStats(&after)
		if n := sizeOf(body); err != nil || n != size {
			t.Fatalf("got %d bytes, %v", n, err)
		}
		if n := after.TotalAlloc - before.TotalAlloc; float64(n) > tolerance*size {
			t.Errorf("length %d: %d bytes were allocated for a body of %d", length, n, size)
		}
	}
}

// Guards against a request that isn't recognised when it comes again in other pieces, and so ends one upstream after
// the other.
func TestFingerprintIsThatOfTheWholeBody(t *testing.T) {
	r := httptest.NewRequest(http.MethodPost, "/", nil)
	prints := map[uint64]bool{}
	for _, body := range [][]string{{"body"}, {"b", "ody"}, {"bod", "", "y"}} {
		j := &job{r: r}
		for _, block := range body {
			j.body = append(j.body, []byte(block))
		}
		prints[j.computeFingerprint()] = true
	}
	if len(prints) != 1 {
		t.Errorf("%d fingerprints of one body", len(prints))
	}
}
