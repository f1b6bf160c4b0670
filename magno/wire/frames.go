package wire

import (
	"bufio"
	"encoding/json"
	"io"
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/jsonrpc2"
)

// readSlack is what the buffered reader may hold beyond a message, and its
// header, in bytes.
const readSlack = 8 << 10

var errTooLarge = errors.New("message over the size limit")

// codec frames messages by Content-Length and bounds their size both ways.
// Without the bound one length of four gigabytes from a broken peer would make
// the decoder grow its buffer until the process is killed.
type codec struct {
	jsonrpc2.VSCodeObjectCodec
	conn *bounded
}

// WriteObject encodes obj once and refuses it before a byte is sent when it is
// too large.
func (c codec) WriteObject(w io.Writer, obj any) error {
	data, err := json.Marshal(obj)
	if err != nil {
		return err
	}
	if len(data) > maxMessage {
		return errors.Wrapf(errTooLarge, "%d bytes", len(data))
	}
	// A peer that stopped reading would otherwise hold the connection's send
	// lock, and with it every caller, until TCP gives up.
	if err := c.conn.SetWriteDeadline(time.Now().Add(sendTimeout.Span())); err != nil {
		return err
	}
	return c.VSCodeObjectCodec.WriteObject(w, json.RawMessage(data))
}

// ReadObject reads one message of at most maxMessage bytes.
func (c codec) ReadObject(r *bufio.Reader, v any) error {
	c.conn.left = maxMessage + readSlack
	return c.VSCodeObjectCodec.ReadObject(r, v)
}

// bounded is a connection that stops at a message that is too long.
type bounded struct {
	net.Conn
	// left is how many bytes the present message may still take. Only the
	// reading goroutine uses it.
	left int
	link *link
}

// Write closes the connection when it fails. Part of a message may be out, so
// nothing more can be sent on it; left open, it would go on to take calls
// whose answers can't be given, and their callers wait until their deadlines.
func (b *bounded) Write(p []byte) (int, error) {
	n, err := b.Conn.Write(p)
	if err != nil {
		_ = b.Close()
	}
	return n, err
}

// Read reads at most what the present message may still take.
func (b *bounded) Read(p []byte) (int, error) {
	if b.left <= 0 {
		return 0, errTooLarge
	}
	n, err := b.Conn.Read(p[:min(len(p), b.left)])
	b.left -= n
	if n > 0 {
		b.link.heard.Store(b.link.clock())
	}
	return n, err
}
