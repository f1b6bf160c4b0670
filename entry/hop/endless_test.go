package hop

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"

	"magnoliastall.example/magno"
)

// endless is an upstream's end of a connection that sends a text, and then another one without end. It counts the bytes
// that are read.
type endless struct {
	first, rest string
	// at is the place in rest.
	at, read int
}

func (e *endless) Read(p []byte) (int, error) {
	n := copy(p, e.first)
	e.first = e.first[n:]
	for n < len(p) {
		k := copy(p[n:], e.rest[e.at:])
		n, e.at = n+k, (e.at+k)%len(e.rest)
	}
	e.read += n
	return n, nil
}

// Guards against an upstream that sends bytes without end where a header is due, all of which the entry keeps until the
// route's time is over.
func TestHeadWithoutEndIsBounded(t *testing.T) {
	for _, c := range []struct{ name, first, rest string }{
		{"status line", "HTTP/1.1 200 ", "x"},
		{"bytes without a line end", "", "x"},
		{"one header field", "HTTP/1.1 200 OK\r\nA: ", "x"},
		{"header fields", "HTTP/1.1 200 OK\r\n", "A: b\r\n"},
		{"a folded field", "HTTP/1.1 200 OK\r\nA: b\r\n", " c\r\n"},
		{"interim responses", "", "HTTP/1.1 100 Continue\r\n\r\n"},
		{"blank lines", "", "\r\n"},
	} {
		t.Run(c.name, func(t *testing.T) {
			e := &endless{first: c.first, rest: c.rest}
			conn := newConn(e)
			res, err := conn.Receive(http.MethodGet, func(*http.Response) bool { return true })
			if err == nil {
				_ = res.Body.Close()
			}
			if err == nil || !errors.Is(err, ErrSent) {
				t.Errorf("got %v, want an error after which the request may have been sent", err)
			}
			if e.read > maxHeadBytes {
				t.Errorf("%d bytes were read, at most %d may be", e.read, maxHeadBytes)
			}
		})
	}
}

// Guards against a bound that a sound response meets: a long header, interim responses before it, and a body that is
// longer than a header may be.
func TestSoundResponseIsReadWhole(t *testing.T) {
	head := strings.Repeat("HTTP/1.1 103 Early Hints\r\n\r\n", 20) + "HTTP/1.1 200 OK\r\nA: " + strings.Repeat("x", maxHeadBytes/2) + "\r\nContent-Length: 1000000\r\n\r\n"
	conn := newConn(&endless{first: head, rest: "y"})
	for range 2 {
		res, err := conn.Receive(http.MethodGet, func(*http.Response) bool { return true })
		if err != nil {
			t.Fatal(err)
		}
		body, err := io.ReadAll(res.Body)
		_ = res.Body.Close()
		if err != nil || len(body) != 1_000_000 {
			t.Fatalf("read %d bytes of the body, %v", len(body), err)
		}
		conn = newConn(&endless{first: head, rest: "y"})
	}
}

// pipeConn is a connection that only reads.
type pipeConn struct {
	net.Conn
	r       io.Reader
	onClose func()
}

func (c *pipeConn) Read(p []byte) (int, error) { return c.r.Read(p) }

func (c *pipeConn) Close() error {
	c.onClose()
	return nil
}

// newConn returns a connection that reads from r.
func newConn(r io.Reader) *Conn {
	c := &Conn{Conn: &pipeConn{r: r}, OpenedAt: magno.Millis(0)}
	c.reader = bufio.NewReaderSize(c, readBufferBytes)
	return c
}

// bounded is an endless source that ends after a number of bytes, so that a reader without a bound ends as well.
type bounded struct {
	endless
	limit int
}

func (b *bounded) Read(p []byte) (int, error) {
	if b.read >= b.limit {
		return 0, io.ErrUnexpectedEOF
	}
	return b.endless.Read(p)
}

// Guards against an upstream that answers other requests without end, all of which the entry reads until the route's
// time is over.
func TestResponsesToOtherRequestsAreBounded(t *testing.T) {
	for _, c := range []struct{ name, rest string }{
		{"without a body", "HTTP/1.1 204 x\r\n\r\n"},
		{"with an empty body", "HTTP/1.1 200 x\r\nContent-Length: 0\r\n\r\n"},
		{"with a body", "HTTP/1.1 200 x\r\nContent-Length: 3\r\n\r\nabc"},
		{"in chunks", "HTTP/1.1 200 x\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"},
	} {
		t.Run(c.name, func(t *testing.T) {
			e := &bounded{endless: endless{rest: c.rest}, limit: 8 * maxSkippedBytes}
			_, err := newConn(e).Receive(http.MethodGet, func(*http.Response) bool { return false }) //nolint:bodyclose // no response
			if err == nil || !errors.Is(err, ErrSent) {
				t.Errorf("got %v, want an error after which the request may have been sent", err)
			}
			if limit := maxSkippedBytes + maxHeadBytes; e.read > limit {
				t.Errorf("%d bytes were read, at most %d may be", e.read, limit)
			}
		})
	}
}

// Guards against a body whose framing never ends: a chunk's size, its extension, or trailers of any length.
func TestFramingWithoutEndIsBounded(t *testing.T) {
	head := "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	for _, c := range []struct{ name, first, rest string }{
		{"a chunk's size", head, "0"},
		{"a chunk's extension", head + "1;", "x"},
		{"extensions of small chunks", head, "1;" + strings.Repeat("x", 1000) + "\r\na\r\n"},
		{"one trailer", head + "0\r\nA: ", "x"},
		{"trailers", head + "0\r\n", "A: b\r\n"},
	} {
		t.Run(c.name, func(t *testing.T) {
			e := &bounded{endless: endless{first: c.first, rest: c.rest}, limit: 8 * maxHeadBytes}
			res, err := newConn(e).Receive(http.MethodGet, func(*http.Response) bool { return true })
			if err != nil {
				t.Fatal(err)
			}
			n, err := io.Copy(io.Discard, res.Body)
			_ = res.Body.Close()
			if err == nil {
				t.Errorf("%d bytes were taken for a whole body", n)
			}
			if e.read > maxHeadBytes {
				t.Errorf("%d bytes were read, at most %d may be", e.read, maxHeadBytes)
			}
		})
	}
}

// Guards against bytes after a complete response that are taken for the next one.
func TestConnectionWithBytesAfterTheResponseIsClosed(t *testing.T) {
	e := &endless{first: "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", rest: "x"}
	conn := newConn(e)
	closed := false
	conn.Conn = &pipeConn{r: e, onClose: func() { closed = true }}
	res, err := conn.Receive(http.MethodGet, func(*http.Response) bool { return true })
	if err != nil {
		t.Fatal(err)
	}
	if body, err := io.ReadAll(res.Body); err != nil || string(body) != "ok" {
		t.Errorf("got %q, %v", body, err)
	}
	_ = res.Body.Close()
	p := &Pool{Clock: magno.NewMonotonic()}
	p.Put(conn, res)
	if !closed {
		t.Error("the connection was kept")
	}
}

// FuzzHead reads heads and bodies of any form: a reader never takes more than the bound of a head, and nothing breaks it.
func FuzzHead(f *testing.F) {
	for _, seed := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", "HTTP/1.1 103 x\r\nA: b\r\n\r\nHTTP/1.1 200 OK\r\n\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nA: b\r\n\r\n", "HTTP/1.1 200 OK\r\nA: b\r\n c\r\n\r\n", "\r\n", "HTTP/1.1 999",
	} {
		f.Add(seed, "x")
		f.Add(seed, "A: b\r\n")
	}
	f.Fuzz(func(t *testing.T, first, rest string) {
		if rest == "" {
			rest = "\n"
		}
		e := &bounded{endless: endless{first: first, rest: rest}, limit: 2 * maxHeadBytes}
		res, err := newConn(e).Receive(http.MethodGet, func(*http.Response) bool { return true })
		if e.read > maxHeadBytes {
			t.Errorf("%d bytes of a head were read, at most %d may be", e.read, maxHeadBytes)
		}
		if err != nil {
			if !errors.Is(err, ErrSent) {
				t.Errorf("%v promises that nothing was sent", err)
			}
			return
		}
		if res.StatusCode < http.StatusOK {
			t.Errorf("an interim response of status %d was returned", res.StatusCode)
		}
		_, _ = io.Copy(io.Discard, res.Body)
		_ = res.Body.Close()
	})
}
