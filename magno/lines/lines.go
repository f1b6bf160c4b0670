// Package lines is a log writer that never blocks its callers.
//
//	slog --Write--> buffer (bounded) --Run, every 100 ms--> standard output
//
// Load pattern: thousands of requests per second fail at once, or the reader of the output
// stops. With direct writes each request would wait for the reader, and a full pipe would
// stop the process. Instead, lines over the limits are dropped, and the next flush logs
// their number.
package lines

import (
	"context"
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	// maxBufferedBytes is about two seconds of a thousand lines each.
	maxBufferedBytes = 512 << 10
	// flushInterval batches lines, since each write costs a system call.
	flushInterval = 100 * time.Millisecond
	// maxBytesPerSecond is the rate limit, about a thousand lines per second, and
	// maxBurstBytes the capacity of its token bucket.
	maxBytesPerSecond = 256 << 10
	maxBurstBytes     = 512 << 10
)

// Writer is a buffered, rate-limited writer of log lines. It is safe for concurrent use. Out
// must be set before use.
type Writer struct {
	Out io.Writer

	mu              sync.Mutex
	buf             []byte
	unreportedDrops int
	totalDrops      int
	tokens          float64
	lastRefill      time.Time
}

// Write buffers a line until the next flush or drops it. It never blocks and never fails.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.refill()
	if len(w.buf)+len(line) > maxBufferedBytes || w.tokens < float64(len(line)) {
		w.unreportedDrops++
		w.totalDrops++
		return len(line), nil
	}
	w.tokens -= float64(len(line))
	w.buf = append(w.buf, line...)
	return len(line), nil
}

func (w *Writer) refill() {
	now := time.Now()
	if w.lastRefill.IsZero() {
		w.tokens = maxBurstBytes
	} else {
		w.tokens = min(w.tokens+now.Sub(w.lastRefill).Seconds()*maxBytesPerSecond, maxBurstBytes)
	}
	w.lastRefill = now
}

// Dropped returns the total number of dropped lines.
func (w *Writer) Dropped() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.totalDrops
}

// Name implements magno.Task.
func (w *Writer) Name() string { return "log" }

// Run flushes the buffer at intervals until ctx ends, and then once more.
func (w *Writer) Run(ctx context.Context) error {
	ticker := time.NewTicker(flushInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			w.Flush()
			return nil
		case <-ticker.C:
			w.Flush()
		}
	}
}

// Flush writes the buffered lines. Write errors are ignored, because they concern the log
// itself.
func (w *Writer) Flush() {
	w.mu.Lock()
	buf, dropped := w.buf, w.unreportedDrops
	w.buf, w.unreportedDrops = nil, 0
	w.mu.Unlock()
	if dropped > 0 {
		buf = fmt.Appendf(buf, "level=WARN msg=dropped lines=%d\n", dropped)
	}
	if len(buf) > 0 {
		_, _ = w.Out.Write(buf)
	}
}
