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
	if want := int(InitialTokens + 500*DefaultRatio); retries > want || retries < want-2 {
		t.Fatalf("%d retries were allowed, want about %d", retries, want)
	}
}

// Guards against a bucket that holds more than its depth after a long time without failures.
func TestBucketHoldsItsDepth(t *testing.T) {
	b := &Budget{}
	for range 1000 {
		b.Succeeded()
	}
	if n := b.retryAll(); n != DefaultDepth {
		t.Errorf("%d retries in a row were allowed, want %v", n, DefaultDepth)
	}
}

// Guards against processes that are killed again and again while a pool fails, and retry a whole
// bucket in each life.
func TestLivesDoNotEachRetryAWholeBucket(t *testing.T) {
	const lives = 20
	sum := 0
	for range lives {
		sum += (&Budget{}).retryAll()
	}
	if sum < lives || sum > lives*InitialTokens {
		t.Errorf("%d retries were allowed in %d lives, want %v", sum, lives, lives*InitialTokens)
	}
}

// Guards against a budget that stays nearly empty in a process whose pool fails from its start on.
func TestNewBucketFillsInTime(t *testing.T) {
	clock := magno.NewClock(magno.Hour)
	b := &Budget{Clock: clock}
	n := b.retryAll()
	clock.Advance(FillTime / 2)
	half := b.retryAll()
	clock.Advance(FillTime)
	if rest := b.retryAll(); n != InitialTokens || half != 4 || rest != 4 {
		t.Errorf("%d, %d and %d retries were allowed at the start, after half and all of the time, want 2, 4 and 4", n, half, rest)
	}
	clock.Advance(FillTime)
	if more := b.retryAll(); more != 0 {
		t.Errorf("%d retries without a success", more)
	}
}

// retryAll returns how many of a hundred failures in a row may be retried.
func (b *Budget) retryAll() int {
	retries := 0
	for range 100 {
		if _, ok := b.Allow(magno.Refuse(magno.KindNoUpstream, "down"), 1, magno.Minute, 0, true); ok {
			retries++
		}
	}
	return retries
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
