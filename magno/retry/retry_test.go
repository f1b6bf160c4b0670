package retry

import (
	"testing"

	"magnoliastall.example/magno"
)

// The whole pool fails for a while. Retries must stay within the budget; otherwise
// their load would keep the pool down after the fault has gone.
func TestBudgetBoundsRetries(t *testing.T) {
	b := &Budget{}
	retries := 0
	for i := range 1000 {
		if i < 500 {
			b.Succeeded()
		}
		if _, ok := b.Allow(magno.Refuse(magno.KindNoUpstream, "down"), 1, magno.Minute, 0, true); ok {
			retries++
		}
	}
	if want := int(DefaultDepth + 500*DefaultRatio); retries > want || retries < want-2 {
		t.Fatalf("%d retries were allowed, want about %d", retries, want)
	}
}

func TestAgain(t *testing.T) {
	tests := []struct {
		name   string
		r      *magno.Refusal
		left   magno.Millis
		repeat bool
		want   bool
	}{
		{"not run", magno.Refuse(magno.KindBusy, ""), magno.Minute, false, true},
		{"unknown and idempotent", magno.Refuse(magno.KindUnknown, ""), magno.Minute, true, true},
		{"unknown and not idempotent", magno.Refuse(magno.KindUnknown, ""), magno.Minute, false, false},
		{"suspect", magno.Refuse(magno.KindSuspect, ""), magno.Minute, true, false},
		{"too late", magno.Refuse(magno.KindBusy, ""), 50, true, false},
		{"ran and failed", magno.Refuse(magno.KindFailed, ""), magno.Minute, true, false},
		{"answered", nil, magno.Minute, true, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			wait, ok := (&Budget{}).Allow(tt.r, 1, tt.left, 100, tt.repeat)
			if ok != tt.want || wait > DefaultBase {
				t.Fatalf("got %v with a wait of %d ms", ok, wait)
			}
		})
	}
}
