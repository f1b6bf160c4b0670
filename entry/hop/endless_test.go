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
	read        int
}

func (e *endless) Read(p []byte) (int, error) {
	n := copy(p, e.first)
	e.first = e.first[n:]
	for n < len(p) {
		n += copy(p[n:], e.rest)
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
	r io.Reader
}

func (c *pipeConn) Read(p []byte) (int, error) { return c.r.Read(p) }

// newConn returns a connection that reads from r.
func newConn(r io.Reader) *Conn {
	c := &Conn{Conn: &pipeConn{r: r}, OpenedAt: magno.Millis(0)}
	c.reader = bufio.NewReaderSize(c, readBufferBytes)
	return c
}
