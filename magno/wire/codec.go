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
	// readBuffer is the size of the read buffer of a connection in bytes: enough for
	// a typical message, and small since a process keeps hundreds of connections that
	// are idle most of the time.
	readBuffer = 1 << 10
	// readSlack is how many bytes may be read beyond a message: its header, and what
	// the buffered reader reads ahead.
	readSlack = 8 << 10
	// maxPooledBuffer is the maximum size in bytes of a buffer that is returned to the
	// pool; larger ones, from rare long messages, would keep their memory.
	maxPooledBuffer = 16 << 10
	// lengthHeader is the header with the length of a message.
	lengthHeader = "Content-Length: "
)

var (
	errTooLarge = errors.New("message exceeds the size limit")
	errNoLength = errors.New("message without a Content-Length header")
)

// buffers is the pool of message buffers, shared by all connections.
var buffers = sync.Pool{New: func() any { return new(bytes.Buffer) }}

// putBuffer returns a buffer to the pool.
func putBuffer(b *bytes.Buffer) {
	if b.Cap() > maxPooledBuffer {
		return
	}
	b.Reset()
	buffers.Put(b)
}

// codec reads and writes the messages of one connection, each with a
// Content-Length header. It limits their size in both directions: without a limit,
// a length of four gigabytes from a faulty peer would make the decoder grow its
// buffer until the process is killed.
type codec struct {
	conn   *limitedConn
	reader *bufio.Reader
	// mu serializes writes.
	mu sync.Mutex
}

var _ jsonrpc2.ObjectStream = (*codec)(nil)

func newCodec(conn *limitedConn) *codec {
	return &codec{conn: conn, reader: bufio.NewReaderSize(conn, readBuffer)}
}

// WriteObject encodes and sends obj. If it is too large, nothing is sent.
func (c *codec) WriteObject(obj any) error {
	b := buffers.Get().(*bytes.Buffer) //nolint:forcetypeassert // the pool holds nothing else
	defer putBuffer(b)
	if err := appendFrame(b, obj); err != nil {
		return err
	}
	return c.write(b.Bytes())
}

// write sends an encoded message.
func (c *codec) write(data []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	// Without a deadline a peer that stops reading would block all senders on this
	// connection until TCP times out.
	if err := c.conn.SetWriteDeadline(time.Now().Add(sendTimeout.Duration())); err != nil {
		return err
	}
	_, err := c.conn.Write(data)
	return err
}

// encodeFrame returns a message with its header.
func encodeFrame(obj any) ([]byte, error) {
	var b bytes.Buffer
	err := appendFrame(&b, obj)
	return b.Bytes(), err
}

// appendFrame appends a message with its header to b.
func appendFrame(b *bytes.Buffer, obj any) error {
	data, err := json.Marshal(obj)
	if err != nil {
		return err
	}
	if len(data) > maxMessageSize {
		return errors.Wrapf(errTooLarge, "%d bytes", len(data))
	}
	b.WriteString(lengthHeader)
	b.WriteString(strconv.Itoa(len(data)))
	b.WriteString("\r\n\r\n")
	b.Write(data)
	return nil
}

// ReadObject reads a message of at most maxMessageSize bytes into v.
func (c *codec) ReadObject(v any) error {
	c.conn.remaining = maxMessageSize + readSlack
	n, err := c.readHeader()
	if err != nil {
		return err
	}
	if n > maxMessageSize {
		return errors.Wrapf(errTooLarge, "%d bytes", n)
	}
	b := buffers.Get().(*bytes.Buffer) //nolint:forcetypeassert // the pool holds nothing else
	defer putBuffer(b)
	if _, err := io.CopyN(b, c.reader, n); err != nil {
		return err
	}
	return json.Unmarshal(b.Bytes(), v)
}

// readHeader reads the header of a message and returns its length.
func (c *codec) readHeader() (int64, error) {
	length := int64(-1)
	for {
		line, err := c.reader.ReadSlice('\n')
		if err != nil {
			return 0, err
		}
		line = bytes.TrimRight(line, "\r\n")
		if len(line) == 0 {
			break
		}
		if value, ok := bytes.CutPrefix(line, []byte(lengthHeader)); ok {
			if length, err = strconv.ParseInt(string(value), 10, 64); err != nil {
				return 0, errors.Wrap(err, "invalid Content-Length")
			}
		}
	}
	if length < 0 {
		return 0, errNoLength
	}
	return length, nil
}

// Close closes the connection and removes it from the mesh. jsonrpc2 calls it
// when a connection ends on either side.
func (c *codec) Close() error {
	c.conn.owner.mesh.forget(c.conn.owner)
	return c.conn.Close()
}

// limitedConn is a connection that fails reads beyond the size limit of a message.
type limitedConn struct {
	net.Conn
	// remaining is how many bytes may still be read for the current message. Only the
	// reading goroutine uses it.
	remaining int
	owner     *peerConn
}

// Write closes the connection when it fails. A partial message may have been sent,
// so that nothing else can follow; if the connection stayed open, it would accept
// calls that can't be answered, and their callers would wait for their deadlines.
func (b *limitedConn) Write(p []byte) (int, error) {
	n, err := b.Conn.Write(p)
	if err != nil {
		_ = b.Close()
	}
	return n, err
}

// Read reads at most the bytes that remain for the current message.
func (b *limitedConn) Read(p []byte) (int, error) {
	if b.remaining <= 0 {
		return 0, errTooLarge
	}
	n, err := b.Conn.Read(p[:min(len(p), b.remaining)])
	b.remaining -= n
	if n > 0 {
		b.owner.lastRead.Store(b.owner.now())
	}
	return n, err
}
