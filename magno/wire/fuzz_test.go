package wire

import (
	"encoding/json"
	"errors"
	"io"
	"net"
	"testing"

	"github.com/sourcegraph/jsonrpc2"

	"magnoliastall.example/magno"
)

// bytesConn is a connection whose peer sent data and closed.
type bytesConn struct {
	net.Conn
	data []byte
	read int
}

func (c *bytesConn) Read(p []byte) (int, error) {
	if c.read == len(c.data) {
		return 0, io.EOF
	}
	n := copy(p, c.data[c.read:])
	c.read += n
	return n, nil
}

func fuzzReadObject(t *testing.T, data []byte) {
	b := &limitedConn{Conn: &bytesConn{data: data}, owner: newPeerConn(&Mesh{}, "peer")}
	codec := newCodec(b)
	for {
		var req jsonrpc2.Request
		if err := codec.ReadObject(&req); err != nil {
			return
		}
		if b.remaining < 0 {
			t.Fatalf("read %d bytes over the limit", -b.remaining)
		}
		_ = callOf(&req)
		_ = paramsOf(&req)
	}
}

func fuzzDecodeError(t *testing.T, data []byte) {
	raw := json.RawMessage(data)
	var refusal *magno.Refusal
	if err := decodeError(&jsonrpc2.Error{Data: &raw}); !errors.As(err, &refusal) || refusal.Kind == "" || refusal.Run == "" {
		t.Errorf("%q: got %v", data, err)
	}
}

// FuzzRead feeds arbitrary bytes to the codec. It must neither panic nor read more
// than the limit.
func FuzzRead(f *testing.F) {
	for _, seed := range []string{
		"", "Content-Length: 2\r\n\r\n{}", "Content-Length: -1\r\n\r\n", "Content-Length: 4294967295\r\n\r\n{",
		"Content-Length: 41\r\n\r\n{\"jsonrpc\":\"2.0\",\"method\":\"run\",\"id\":1}",
		"Content-Length: 60\r\n\r\n{\"jsonrpc\":\"2.0\",\"method\":\"part\",\"meta\":{\"call\":-1},\"id\":1}",
		"Content-Length: 5\r\n\r\n[1,2]", "X\r\r\n\n",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(fuzzReadObject)
}

// FuzzError decodes arbitrary errors of a peer; the refusal must always have Kind
// and Run.
func FuzzError(f *testing.F) {
	for _, seed := range []string{"", "null", "{}", `{"kind":"busy"}`, `{"kind":"new","run":"no"}`, `[]`} {
		f.Add([]byte(seed))
	}
	f.Fuzz(fuzzDecodeError)
}
