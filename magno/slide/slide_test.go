package slide

import (
	"testing"

	"pgregory.net/rapid"

	"magnoliastall.example/magno"
)

// The sum is never less than what was added within the window, nor more than what was
// within a slot beyond.
func TestSumOfTheWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := Sum{Window: 8 * magno.Second}
		type grant struct {
			at   magno.Millis
			cost float64
		}
		var grants []grant
		now := magno.Hour
		for range rapid.IntRange(1, 50).Draw(t, "grants") {
			now += magno.Millis(rapid.IntRange(0, 3000).Draw(t, "pause"))
			cost := float64(rapid.IntRange(1, 10).Draw(t, "cost"))
			s.Add(cost, now)
			grants = append(grants, grant{now, cost})
			var least, most float64
			for _, g := range grants {
				if now-g.at < s.Window {
					least += g.cost
				}
				if now-g.at < s.Window+s.Window/slots {
					most += g.cost
				}
			}
			if got := s.Total(now); got < least || got > most {
				t.Fatalf("sum %v at %d, want %v to %v", got, now, least, most)
			}
			wait := s.Delay(least/2, now)
			if after := s.Total(now + wait); after > least/2 {
				t.Fatalf("sum %v after %d ms, want at most %v", after, wait, least/2)
			}
			now += wait
		}
	})
}

func TestLongPauseEmptiesTheWindow(t *testing.T) {
	s := Sum{Window: 8 * magno.Second}
	s.Add(5, magno.Hour)
	if got := s.Total(3 * magno.Hour); got != 0 {
		t.Errorf("%v in it after two hours", got)
	}
}
