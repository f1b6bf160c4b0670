package slide

import (
	"testing"

	"pgregory.net/rapid"

	"magnoliastall.example/magno"
)

// The sum must be at least what was added within the window, and at most what was
// added within the window and one more slot.
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
				t.Fatalf("sum is %v at %d, want %v to %v", got, now, least, most)
			}
			wait := s.Delay(least/2, now)
			if after := s.Total(now + wait); after > least/2 {
				t.Fatalf("sum is %v after the delay of %d ms, want at most %v", after, wait, least/2)
			}
			now += wait
		}
	})
}

func TestLongPauseEmptiesTheWindow(t *testing.T) {
	s := Sum{Window: 8 * magno.Second}
	s.Add(5, magno.Hour)
	if got := s.Total(3 * magno.Hour); got != 0 {
		t.Errorf("sum is %v after two hours without additions", got)
	}
}
