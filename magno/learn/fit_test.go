package learn

import (
	"math"
	"testing"
)

// Guards against a rate that follows a change of the engine's speed only over a hundred prompts, which
// takes ten to twenty seconds: until then prompts are not spaced although streams pause for too long.
func TestRateFollowsAChangeWithinAFewPrompts(t *testing.T) {
	tests := []struct {
		name    string
		rates   []float64 // one after the other, 200 prompts each
		want    float64   // after prompts more
		prompts int
	}{
		{"slows down", []float64{37}, 15, 25},
		{"slows down to half", []float64{37}, 18, 25},
		{"recovers", []float64{37, 15}, 37, 30},
		{"slows down twice", []float64{37, 15, 37}, 15, 25},
	}
	for _, tt := range tests {
		var e Estimator
		for _, rate := range tt.rates {
			simulate(&e, rate, 200)
		}
		simulate(&e, tt.want, tt.prompts)
		if got := e.PrefillRate(); got < 0.75*tt.want || got > 1.33*tt.want {
			t.Errorf("%s: estimated %.1f tokens/ms after %d prompts, the engine prefills %.1f", tt.name, got, tt.prompts, tt.want)
		}
	}
}

// Guards against a rate that varies though the engine's doesn't: prefills are measured by reports that
// are 30 ms apart, so that short ones look longer or shorter than they are.
func TestRateIsSteady(t *testing.T) {
	for _, rate := range []float64{8, 15, 25, 37, 80} {
		var e Estimator
		least, most, n := math.Inf(1), 0.0, 0
		simulateEach(&e, rate, 2000, func() {
			if n++; n > 100 {
				least, most = min(least, e.PrefillRate()), max(most, e.PrefillRate())
			}
		})
		if least < 0.85*rate || most > 1.15*rate {
			t.Errorf("estimates from %.1f to %.1f tokens/ms, the engine prefills %.1f", least, most, rate)
		}
	}
}

// Guards against a slow engine whose rate is lost when it restarts: its streams would pause for too long
// until it is learned again.
func TestRestartKeepsTheRate(t *testing.T) {
	var e Estimator
	simulate(&e, 37, 200)
	simulate(&e, 15, 60)
	before := e.PrefillRate()
	e.Reset()
	if got := e.PrefillRate(); got != before || got > 18 {
		t.Errorf("estimated %.1f tokens/ms after a restart, %.1f before; the engine prefills 15", got, before)
	}
}
