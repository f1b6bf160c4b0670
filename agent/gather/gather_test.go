package gather

import (
	"fmt"
	"strings"
	"testing"

	"magnoliastall.example/magno"
)

// Tokens arrive faster than messages should be sent. The first must be sent at once, none may be
// lost or reordered, and Close must send the ones that are still buffered.
func TestGatherKeepsAllInOrder(t *testing.T) {
	clock := magno.NewClock(1_000_000)
	var sent []magno.Piece
	g := &Coalescer{Clock: clock, Send: func(p magno.Piece) { sent = append(sent, p) }}
	var want strings.Builder
	const tokens, step = 100, 5
	for i := range tokens {
		text := fmt.Sprintf(" %d", i)
		want.WriteString(text)
		g.Add(magno.Piece{Text: text, Tokens: 1})
		if i == 0 && len(sent) != 1 {
			t.Fatal("the first piece was not sent at once")
		}
		clock.Advance(step)
	}
	g.Close()
	g.onTimer() // a timer that fires after Close
	var got strings.Builder
	n := 0
	for _, p := range sent {
		got.WriteString(p.Text)
		n += p.Tokens
	}
	if got.String() != want.String() || n != tokens {
		t.Errorf("%d tokens, %q", n, got.String())
	}
	if most := tokens*step/int(Window) + 2; len(sent) > most {
		t.Errorf("%d messages, at most %d wanted", len(sent), most)
	}
}
