package pack

import (
	"bytes"
	"compress/gzip"
	"io"

	"github.com/cockroachdb/errors"
)

// gzipFrom is the size in bytes from which a value is compressed. A reader
// fetches the index and a shard for each change: at 130,000 adapters these are
// 95 kB plain, 59 kB a second at 54,000 changes a day, three times what a
// process may use.
const gzipFrom = 4 << 10

// magic begins every gzip text and no JSON text.
var magic = []byte{0x1f, 0x8b}

// squeeze returns the value as it is published.
func squeeze(plain []byte) ([]byte, error) {
	if len(plain) < gzipFrom {
		return plain, nil
	}
	var out bytes.Buffer
	w, err := gzip.NewWriterLevel(&out, gzip.BestCompression)
	if err != nil {
		return nil, err
	}
	if _, err := w.Write(plain); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return out.Bytes(), nil
}

// Decompress returns the text of a published value, which may be compressed. One
// that grows over limit bytes is an error: a small damaged or hostile value
// could otherwise fill the memory of every reader.
func Decompress(value []byte, limit int) ([]byte, error) {
	if !bytes.HasPrefix(value, magic) {
		return value, nil
	}
	r, err := gzip.NewReader(bytes.NewReader(value))
	if err != nil {
		return nil, errors.Wrap(err, "value")
	}
	plain, err := io.ReadAll(io.LimitReader(r, int64(limit)+1))
	if err != nil {
		return nil, errors.Wrap(err, "value")
	}
	if len(plain) > limit {
		return nil, errors.Newf("the value holds more than %d bytes", limit)
	}
	return plain, nil
}
