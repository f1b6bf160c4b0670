package relay

import (
	"context"
	"io"

	"github.com/cockroachdb/errors"

	"magnoliastall.example/magno/budget"
)

// errNoMemory means that the limit of BodyMemory or ResponseMemory is reached.
var errNoMemory = errors.New("memory budget exhausted")

// Sizes in bytes of the blocks of a body that isn't reserved before: the first, and the largest.
const (
	minBlock = 512
	maxBlock = 256 << 10
)

// reservation is the part of a memory limit that is reserved for one body or response.
//
// Load pattern: many callers send long bodies at once, or many upstreams send long responses
// while callers read slowly. Each is within its own limit, but together they exceed the memory
// of a small machine, and the process would be killed with all its requests.
type reservation struct {
	// budget is nil where memory isn't limited.
	budget *budget.Budget
	// seq is the holder's sequence number, zero before bytes are reserved.
	seq, reserved int64
}

// acquire reserves a number of bytes where none are reserved, and waits until they are available.
func (r *reservation) acquire(ctx context.Context, bytes int64) error {
	if r.budget == nil {
		r.reserved = bytes
		return nil
	}
	seq, err := r.budget.Acquire(ctx, bytes)
	if err != nil {
		return errors.Mark(err, errNoMemory)
	}
	r.seq, r.reserved = seq, bytes
	return nil
}

// release returns all reserved bytes.
func (r *reservation) release() {
	if r.budget != nil {
		r.budget.Release(r.seq, r.reserved)
	}
	r.seq, r.reserved = 0, 0
}

// readBlocks reads src up to limit bytes, and one byte more if src is longer. It reserves bytes as they arrive, beyond
// those reserved before, and fails with errNoMemory if none are available. It doesn't move what it has read, so that a
// body takes no more memory than is reserved for it. Length is that of src, negative if it isn't known. If all of that
// is reserved, it is read into one block; else the blocks grow with what arrives.
func (r *reservation) readBlocks(src io.Reader, length, limit int64) ([][]byte, error) {
	in := &reservingReader{reservation: r, prereserved: r.reserved, src: io.LimitReader(src, limit+1)}
	next := int64(minBlock)
	if length >= 0 && r.reserved >= length {
		next = length + 1 // the last read finds the end
	}
	var blocks [][]byte
	for got := int64(0); ; {
		if got <= length {
			next = min(next, length-got+1)
		}
		block := make([]byte, next)
		n, err := fillBlock(in, block)
		if n > 0 {
			blocks = append(blocks, block[:n])
		}
		if errors.Is(err, io.EOF) {
			return blocks, nil
		}
		if err != nil {
			return nil, err
		}
		got += next
		next = min(2*max(next, minBlock), maxBlock)
	}
}

// fillBlock reads until the block is full or src ends. Unlike io.ReadFull it returns the very error of src: that of a
// body which is cut must differ from its end.
func fillBlock(src io.Reader, block []byte) (int, error) {
	n := 0
	for n < len(block) {
		m, err := src.Read(block[n:])
		n += m
		if err != nil {
			return n, err
		}
	}
	return n, nil
}

// sizeOf returns the number of bytes in blocks.
func sizeOf(blocks [][]byte) int {
	n := 0
	for _, b := range blocks {
		n += len(b)
	}
	return n
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
	if more <= 0 || r.budget == nil {
		return n, err
	}
	seq, ok := r.budget.Grow(r.seq, more)
	if !ok {
		return n, errNoMemory
	}
	r.seq = seq
	r.reserved += more
	return n, err
}
