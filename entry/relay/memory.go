package relay

import (
	"context"
	"io"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/semaphore"
)

// errNoMemory means that the limit of BodyMemory or ResponseMemory is reached.
var errNoMemory = errors.New("memory budget exhausted")

// reservation is the part of a memory limit that is reserved for one body or response.
//
// Load pattern: many callers send long bodies at once, or many upstreams send long responses
// while callers read slowly. Each is within its own limit, but together they exceed the memory
// of a small machine, and the process would be killed with all its requests.
type reservation struct {
	// sem is nil where memory isn't limited.
	sem      *semaphore.Weighted
	reserved int64
}

// acquire reserves a number of bytes, and waits until they are available.
func (r *reservation) acquire(ctx context.Context, bytes int64) error {
	if r.sem == nil {
		return nil
	}
	if err := r.sem.Acquire(ctx, bytes); err != nil {
		return errors.Mark(err, errNoMemory)
	}
	r.reserved += bytes
	return nil
}

// release returns all reserved bytes.
func (r *reservation) release() {
	if r.sem != nil {
		r.sem.Release(r.reserved)
		r.reserved = 0
	}
}

// readAll reads src up to limit bytes, and one byte more if src is longer. It reserves bytes as
// they arrive, beyond those reserved before, and fails with errNoMemory if none are available.
func (r *reservation) readAll(src io.Reader, limit int64) ([]byte, error) {
	return io.ReadAll(&reservingReader{reservation: r, prereserved: r.reserved, src: io.LimitReader(src, limit+1)})
}

// reservingReader reserves memory for the bytes that it reads.
type reservingReader struct {
	*reservation
	// prereserved is the number of bytes still to be read that are reserved already.
	prereserved int64
	src         io.Reader
}

// Read implements io.Reader.
func (r *reservingReader) Read(p []byte) (int, error) {
	n, err := r.src.Read(p)
	more := int64(n) - r.prereserved
	r.prereserved = max(-more, 0)
	if more <= 0 || r.sem == nil {
		return n, err
	}
	if !r.sem.TryAcquire(more) {
		return n, errNoMemory
	}
	r.reserved += more
	return n, err
}
