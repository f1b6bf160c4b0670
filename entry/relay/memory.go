package relay

import (
	"context"
	"io"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/semaphore"
)

// errFull tells that requests hold as many bytes as this process has room for.
var errFull = errors.New("no room for it")

// holding is the part of a process's room that one body or answer holds.
//
// Load pattern: many callers send long bodies at once, or many upstreams answer at
// length while callers read slowly. Each alone is within its limit, and all of them
// together are more than a small machine's memory: the process would be killed with all
// that it serves.
type holding struct {
	// room is nil where nothing is bounded.
	room *semaphore.Weighted
	held int64
}

// wait holds so many bytes once there is room for them.
func (h *holding) wait(ctx context.Context, bytes int64) error {
	if h.room == nil {
		return nil
	}
	if err := h.room.Acquire(ctx, bytes); err != nil {
		return errors.Mark(err, errFull)
	}
	h.held += bytes
	return nil
}

// free gives back what is held.
func (h *holding) free() {
	if h.room != nil {
		h.room.Release(h.held)
		h.held = 0
	}
}

// read returns all of src up to limit bytes, and one more where there are more. What
// isn't held yet it holds as it comes; where there is no room it fails with errFull.
func (h *holding) read(src io.Reader, limit int64) ([]byte, error) {
	return io.ReadAll(&counted{holding: h, ready: h.held, src: io.LimitReader(src, limit+1)})
}

// counted holds the bytes that it reads.
type counted struct {
	*holding
	// ready is what is held already for bytes still to come.
	ready int64
	src   io.Reader
}

// Read implements io.Reader.
func (c *counted) Read(p []byte) (int, error) {
	n, err := c.src.Read(p)
	more := int64(n) - c.ready
	c.ready = max(-more, 0)
	if more <= 0 || c.room == nil {
		return n, err
	}
	if !c.room.TryAcquire(more) {
		return n, errFull
	}
	c.held += more
	return n, err
}
