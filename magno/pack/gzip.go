package pack

import (
	"bytes"
	"compress/gzip"
	"io"

	"github.com/cockroachdb/errors"
)

// minGzipSize is the size in bytes from which a value is compressed. A reader fetches
// the index and a shard for each change: at 130,000 adapters these are 95 kB
// uncompressed, 59 kB/s at 54,000 changes a day, three times what a process may use.
const minGzipSize = 4 << 10

// gzipMagic begins every gzip stream and no JSON text.
var gzipMagic = []byte{0x1f, 0x8b}

// compress returns the value in the form in which it is published.
func compress(plain []byte) ([]byte, error) {
	if len(plain) < minGzipSize {
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

// Decompress returns the text of a published value, which may be compressed. A value
// that expands to more than limit bytes is an error: a small damaged or hostile value
// could otherwise fill the memory of every reader.
func Decompress(value []byte, limit int) ([]byte, error) {
	if !bytes.HasPrefix(value, gzipMagic) {
		return value, nil
	}
	r, err := gzip.NewReader(bytes.NewReader(value))
	if err != nil {
		return nil, errors.Wrap(err, "read gzip header of value")
	}
	plain, err := io.ReadAll(io.LimitReader(r, int64(limit)+1))
	if err != nil {
		return nil, errors.Wrap(err, "decompress value")
	}
	if len(plain) > limit {
		return nil, errors.Newf("value expands to more than %d bytes", limit)
	}
	return plain, nil
}
