package hop

import (
	"bytes"
	"net/http"
	"strconv"

	"github.com/cockroachdb/errors"
)

// maxJoined is how many bytes of a body are copied behind the header, so that a short request takes one write.
const maxJoined = 16 << 10

// Request is a request to an upstream.
type Request struct {
	Method string
	// Target is the path and query exactly as the caller sent them.
	Target string
	Host   string
	Header http.Header
	// Body is in blocks, one after the other.
	Body [][]byte
}

// size returns the number of bytes of the body.
func (r *Request) size() int {
	n := 0
	for _, block := range r.Body {
		n += len(block)
	}
	return n
}

// Send writes the request. An error that isn't marked with ErrSent means that no byte of
// it was written.
func (c *Conn) Send(r *Request) error {
	var b bytes.Buffer
	b.WriteString(r.Method + " " + r.Target + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	if err := r.Header.Write(&b); err != nil {
		return errors.Wrap(err, "encode request header")
	}
	size, rest := r.size(), r.Body
	if size > 0 || r.Method != http.MethodGet {
		b.WriteString("Content-Length: " + strconv.Itoa(size) + "\r\n")
	}
	b.WriteString("\r\n")
	for left := maxJoined; len(rest) > 0 && len(rest[0]) <= left; rest = rest[1:] {
		b.Write(rest[0])
		left -= len(rest[0])
	}
	n, err := c.Write(b.Bytes())
	for ; err == nil && len(rest) > 0; rest = rest[1:] {
		_, err = c.Write(rest[0])
	}
	if err == nil {
		return nil
	}
	if n == 0 {
		return errors.Wrap(err, "write request")
	}
	return errors.Mark(errors.Wrap(err, "write request"), ErrSent)
}
