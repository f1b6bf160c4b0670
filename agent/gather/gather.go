// Package gather coalesces pieces of a stream that arrive in quick succession into one message.
//
// The peak load is 13 million tokens per second. An engine emits a token every few milliseconds,
// and a separate message for each would cost two processes far more than the token itself. The
// first piece is sent at once, because a caller waits for it; later ones are delayed by at most
// Window.
package gather

import (
	"strings"
	"sync"
	"time"

	"magnoliastall.example/magno"
)

// Window is the longest delay of a piece. It is well below the 70 ms between tokens that callers
// are promised, and spans four steps of current engines.
const Window magno.Millis = 20

// Coalescer joins pieces. Send must be set before the first Add. It is called in order and never
// concurrently.
type Coalescer struct {
	Clock *magno.Clock
	Send  func(magno.Piece)

	mu sync.Mutex
	// text and tokens are the buffered pieces.
	text   strings.Builder
	tokens int
	// lastSend is when Send was last called, or zero before the first call.
	lastSend magno.Millis
	timer    *time.Timer
	// closed is true after Close, so that a timer that fires later sends nothing.
	closed bool
}

// Add buffers a piece and sends the buffer if the last message is at least Window ago.
func (c *Coalescer) Add(p magno.Piece) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.text.WriteString(p.Text)
	c.tokens += p.Tokens
	wait := c.lastSend + Window - c.Clock.Now()
	if wait <= 0 {
		c.flush()
		return
	}
	if c.timer == nil {
		c.timer = time.AfterFunc(wait.Duration(), c.onTimer)
	}
}

// Close sends the buffered pieces. Nothing is sent after it.
func (c *Coalescer) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.flush()
	c.closed = true
}

// onTimer is called by the timer and sends the buffered pieces.
func (c *Coalescer) onTimer() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.closed {
		c.flush()
	}
}

func (c *Coalescer) flush() {
	if c.timer != nil {
		c.timer.Stop()
		c.timer = nil
	}
	if c.text.Len() == 0 {
		return
	}
	p := magno.Piece{Text: c.text.String(), Tokens: c.tokens}
	c.text.Reset()
	c.tokens = 0
	c.lastSend = c.Clock.Now()
	c.Send(p)
}
