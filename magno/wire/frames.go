package wire

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"net"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/jsonrpc2"
)

const (
	// readBuffer holds a usual message, in bytes. A process keeps hundreds of
	// connections that are idle most of the time, each with a buffer of its own.
	readBuffer = 1 << 10
	// readSlack is what the buffered reader may hold beyond a message, and its
	// header, in bytes.
	readSlack = 8 << 10
	// mostPooled bounds the buffers that are kept for further messages, in bytes:
	// one that a rare long message needed would stay in memory.
	mostPooled = 16 << 10
	// lengthHeader begins the line that tells a message's length.
	lengthHeader = "Content-Length: "
)

var (
	errTooLarge = errors.New("message over the size limit")
	errNoLength = errors.New("a message without its length")
)

// buffers are shared by all connections, each for the time of one message.
var buffers = sync.Pool{New: func() any { return new(bytes.Buffer) }}

// giveBack keeps a buffer for further messages.
func giveBack(b *bytes.Buffer) {
	if b.Cap() > mostPooled {
		return
	}
	b.Reset()
	buffers.Put(b)
}

// frames carries messages over one connection, each behind a line with its
// length and an empty one. It bounds their size both ways. Without the bound one
// length of four gigabytes from a broken peer would make the decoder grow its
// buffer until the process is killed.
type frames struct {
	conn *bounded
	read *bufio.Reader
	// mu keeps messages of several goroutines apart.
	mu sync.Mutex
}

var _ jsonrpc2.ObjectStream = (*frames)(nil)

func newFrames(conn *bounded) *frames {
	return &frames{conn: conn, read: bufio.NewReaderSize(conn, readBuffer)}
}

// WriteObject encodes obj once and refuses it before a byte is sent when it is
// too large.
func (f *frames) WriteObject(obj any) error {
	b := buffers.Get().(*bytes.Buffer) //nolint:forcetypeassert // the pool holds nothing else
	defer giveBack(b)
	if err := frame(b, obj); err != nil {
		return err
	}
	return f.write(b.Bytes())
}

// write sends a message that is encoded.
func (f *frames) write(data []byte) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	// A peer that stopped reading would otherwise hold the connection's send
	// lock, and with it every caller, until TCP gives up.
	if err := f.conn.SetWriteDeadline(time.Now().Add(sendTimeout.Span())); err != nil {
		return err
	}
	_, err := f.conn.Write(data)
	return err
}

// encodeFrame returns a message as it is sent.
func encodeFrame(obj any) ([]byte, error) {
	var b bytes.Buffer
	err := frame(&b, obj)
	return b.Bytes(), err
}

// frame appends a message to b.
func frame(b *bytes.Buffer, obj any) error {
	data, err := json.Marshal(obj)
	if err != nil {
		return err
	}
	if len(data) > maxMessage {
		return errors.Wrapf(errTooLarge, "%d bytes", len(data))
	}
	b.WriteString(lengthHeader)
	b.WriteString(strconv.Itoa(len(data)))
	b.WriteString("\r\n\r\n")
	b.Write(data)
	return nil
}

// ReadObject reads one message of at most maxMessage bytes.
func (f *frames) ReadObject(v any) error {
	f.conn.left = maxMessage + readSlack
	n, err := f.length()
	if err != nil {
		return err
	}
	if n > maxMessage {
		return errors.Wrapf(errTooLarge, "%d bytes", n)
	}
	b := buffers.Get().(*bytes.Buffer) //nolint:forcetypeassert // the pool holds nothing else
	defer giveBack(b)
	if _, err := io.CopyN(b, f.read, n); err != nil {
		return err
	}
	return json.Unmarshal(b.Bytes(), v)
}

// length reads the lines before a message.
func (f *frames) length() (int64, error) {
	length := int64(-1)
	for {
		line, err := f.read.ReadSlice('\n')
		if err != nil {
			return 0, err
		}
		line = bytes.TrimRight(line, "\r\n")
		if len(line) == 0 {
			break
		}
		if value, ok := bytes.CutPrefix(line, []byte(lengthHeader)); ok {
			if length, err = strconv.ParseInt(string(value), 10, 64); err != nil {
				return 0, errors.Wrap(err, "length")
			}
		}
	}
	if length < 0 {
		return 0, errNoLength
	}
	return length, nil
}

// Close closes the connection, which isn't used any more from then on. The
// library calls it at the end of each connection, whoever ended it.
func (f *frames) Close() error {
	f.conn.link.mesh.forget(f.conn.link)
	return f.conn.Close()
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
