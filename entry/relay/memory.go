package relay

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/semaphore"

	"magnoliastall.example/magno"
)

// callerTime is how long a caller may leave what was sent to it unread before its
// connection is cut.
const callerTime = 5 * magno.Second

// errFull tells that requests hold as many bytes as this process has room for.
var errFull = errors.New("no room for it")

// share is the part of a process's room that one body or answer holds.
//
// Load pattern: many callers send long bodies at once, or many upstreams answer at
// length while callers read slowly. Each alone is within its limit, and all of them
// together are more than a small machine's memory: the process would be killed with all
// that it serves.
type share struct {
	// room is nil where nothing is bounded.
	room *semaphore.Weighted
	held int64
}

// wait holds so many bytes once there is room for them.
func (s *share) wait(ctx context.Context, bytes int64) error {
	if s.room == nil {
		return nil
	}
	if err := s.room.Acquire(ctx, bytes); err != nil {
		return errors.Mark(err, errFull)
	}
	s.held += bytes
	return nil
}

// free gives back what is held.
func (s *share) free() {
	if s.room != nil {
		s.room.Release(s.held)
		s.held = 0
	}
}

// read returns all of src up to limit bytes, and one more where there are more. What
// isn't held yet it holds as it comes; where there is no room it fails with errFull.
func (s *share) read(src io.Reader, limit int64) ([]byte, error) {
	return io.ReadAll(&counted{share: s, ready: s.held, src: io.LimitReader(src, limit+1)})
}

// counted holds the bytes that it reads.
type counted struct {
	*share
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

// writing bounds the next write to the caller. One that stops reading would otherwise
// hold its request, and a place at the upstream, for as long as its connection stands.
func (j *job) writing() {
	limit := j.CallerTime
	if limit <= 0 {
		limit = callerTime
	}
	// A writer without deadlines isn't a connection.
	_ = http.NewResponseController(j.w).SetWriteDeadline(time.Now().Add(limit.Span()))
}
