// Package gather joins the pieces of a stream that come close together into
// one message.
//
// The load is 13 million tokens a second at the peak. An engine makes a token
// each few milliseconds, and a message of its own for each costs two processes
// far more than the token itself. The first piece goes out at once, for a
// caller waits for it; later ones wait for others, at most Window.
package gather

import (
	"strings"
	"sync"
	"time"

	"magnoliastall.example/magno"
)

// Window is how long a piece may wait, in milliseconds: well under the 70 ms
// between tokens that callers are promised, and four steps of today's engines.
const Window magno.Millis = 20

// Coalescer joins pieces. Send is set before the first Add and called by one
// goroutine at a time, in order.
type Coalescer struct {
	Clock *magno.Clock
	Send  func(magno.Piece)

	mu sync.Mutex
	// text and tokens are what waits; tokens is zero when nothing does.
	text   strings.Builder
	tokens int
	// last is when Send was last called; zero before.
	last  magno.Millis
	timer *time.Timer
	// ended is true after Close: a timer that fires late sends nothing.
	ended bool
}

// Add takes a piece.
func (g *Coalescer) Add(p magno.Piece) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.text.WriteString(p.Text)
	g.tokens += p.Tokens
	wait := g.last + Window - g.Clock.Now()
	if wait <= 0 {
		g.flush()
		return
	}
	if g.timer == nil {
		g.timer = time.AfterFunc(wait.Span(), g.late)
	}
}

// Close sends what waits; nothing is sent after it.
func (g *Coalescer) Close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.flush()
	g.ended = true
}

// late sends what has waited for its time.
func (g *Coalescer) late() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.ended {
		g.flush()
	}
}

func (g *Coalescer) flush() {
	if g.timer != nil {
		g.timer.Stop()
		g.timer = nil
	}
	if g.text.Len() == 0 {
		return
	}
	p := magno.Piece{Text: g.text.String(), Tokens: g.tokens}
	g.text.Reset()
	g.tokens = 0
	g.last = g.Clock.Now()
	g.Send(p)
}
