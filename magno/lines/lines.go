// Package lines writes a log without holding up whoever logs.
//
//	slog --Write--> ring of lines (bounded) --Run, each 100 ms--> standard output
//
// Load pattern: thousands of requests a second fail at once, or whoever reads
// the output stops. Writing directly, each request would wait for the reader,
// and a full pipe would stop the process. Here a full ring drops lines, and
// the next write says how many.
package lines

import (
	"context"
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	// room is how many bytes wait to be written: two seconds of a thousand
	// lines each.
	room = 512 << 10
	// every is the pause between writes. Each costs a system call, so lines
	// are written many at a time.
	every = 100 * time.Millisecond
	// rate is how many bytes a second are kept, and burst how many at once.
	// 256 KB a second is about a thousand lines.
	rate  = 256 << 10
	burst = 512 << 10
)

// Writer takes lines. It is safe for concurrent use; Out is set before.
type Writer struct {
	Out io.Writer

	mu      sync.Mutex
	buf     []byte
	dropped int
	total   int
	tokens  float64
	last    time.Time
}

// Write keeps a line until Run writes it. It never blocks and never fails.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.refill()
	if len(w.buf)+len(line) > room || w.tokens < float64(len(line)) {
		w.dropped++
		w.total++
		return len(line), nil
	}
	w.tokens -= float64(len(line))
	w.buf = append(w.buf, line...)
	return len(line), nil
}

func (w *Writer) refill() {
	now := time.Now()
	if w.last.IsZero() {
		w.tokens = burst
	} else {
		w.tokens = min(w.tokens+now.Sub(w.last).Seconds()*rate, burst)
	}
	w.last = now
}

// Dropped counts the lines that were not kept.
func (w *Writer) Dropped() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.total
}

// Name implements magno.Task.
func (w *Writer) Name() string { return "log" }

// Run writes until ctx ends, and then what is left.
func (w *Writer) Run(ctx context.Context) error {
	ticker := time.NewTicker(every)
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

// Flush writes what is kept. An output that fails is not reported anywhere:
// it is the log itself.
func (w *Writer) Flush() {
	w.mu.Lock()
	buf, dropped := w.buf, w.dropped
	w.buf, w.dropped = nil, 0
	w.mu.Unlock()
	if dropped > 0 {
		buf = fmt.Appendf(buf, "level=WARN msg=dropped lines=%d\n", dropped)
	}
	if len(buf) > 0 {
		_, _ = w.Out.Write(buf)
	}
}
