package gather

import (
	"fmt"
	"strings"
	"testing"

	"magnoliastall.example/magno"
)

// Tokens come faster than messages should go out. The first must not wait,
// none may be lost or change places, and what waits at the end must go out
// before the answer is called whole.
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
			t.Fatal("the first piece waited")
		}
		clock.Advance(step)
	}
	g.Close()
	g.late() // a timer that fires after the end
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
