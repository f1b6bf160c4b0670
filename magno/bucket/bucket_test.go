package bucket

import (
	"testing"

	"pgregory.net/rapid"

	"magnoliastall.example/magno"
)

func TestLargerThanTheBucketGoesThroughWhenItIsFull(t *testing.T) {
	b := Bucket{Rate: 100, Burst: 100}
	b.SetLevel(100, 0)
	if !b.Allows(250, 0) {
		t.Fatal("a full bucket refuses a request larger than the burst")
	}
	b.Take(250)
	if b.Allows(1, 1000) || b.Delay(1, 1000) != 511 {
		t.Errorf("one second after level -150: level %v, delay %d ms", b.Level(1000), b.Delay(1, 1000))
	}
}

// For any sequence of requests, the cost that passes in any time span must not exceed
// the rate times the span, plus the burst and the largest request.
func TestBoundOfAnySpan(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := Bucket{Rate: 100, Burst: 50}
		b.SetLevel(50, 0)
		type run struct {
			at   magno.Millis
			cost float64
		}
		var runs []run
		var now magno.Millis
		for range rapid.IntRange(1, 60).Draw(t, "requests") {
			now += magno.Millis(rapid.IntRange(0, 400).Draw(t, "pause"))
			cost := rapid.Float64Range(1, 120).Draw(t, "cost")
			if !b.Allows(cost, now) {
				continue
			}
			b.Take(cost)
			runs = append(runs, run{now, cost})
			var sum float64
			for i := len(runs) - 1; i >= 0; i-- {
				sum += runs[i].cost
				span := float64(now-runs[i].at) / 1000
				if bound := 100*span + 50 + 120; sum > bound+1e-6 {
					t.Fatalf("requests of cost %v passed within %v s, want at most %v", sum, span, bound)
				}
			}
		}
	})
}
