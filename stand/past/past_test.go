package past

import (
	"math/rand/v2"
	"sort"
	"testing"

	"magnoliastall.example/magno"
)

func TestAt(t *testing.T) {
	var l History[string]
	if _, ok := l.At(5); ok {
		t.Fatal("an empty history has a value")
	}
	l.Add(10, "a")
	l.Add(20, "b")
	tests := []struct {
		at   magno.Millis
		want string
		ok   bool
	}{{9, "", false}, {10, "a", true}, {19, "a", true}, {20, "b", true}, {99, "b", true}}
	for _, tt := range tests {
		if got, ok := l.At(tt.at); got != tt.want || ok != tt.ok {
			t.Errorf("at %d: %q %v", tt.at, got, ok)
		}
	}
}

// A history with many values must stay bounded and, within its retention, still
// return the same values as one that keeps everything.
func TestPruned(t *testing.T) {
	for _, pause := range []int64{1, 200, 2000} {
		rnd := rand.New(rand.NewPCG(1, uint64(pause)))
		var l History[int]
		at := make([]magno.Millis, 0, 5*MinLen)
		now := magno.Millis(0)
		for i := range 5 * MinLen {
			now += magno.Millis(rnd.Int64N(pause + 1))
			l.Add(now, i)
			at = append(at, now)
			if len(l.entries) >= 2*MinLen {
				t.Fatalf("pause %d: %d entries", pause, len(l.entries))
			}
			back := min(Retention, now-at[max(0, len(at)-MinLen)])
			when := now - magno.Millis(rnd.Int64N(int64(back)+1))
			want := sort.Search(len(at), func(i int) bool { return at[i] > when }) - 1
			if got, ok := l.At(when); ok != (want >= 0) || ok && got != want {
				t.Fatalf("pause %d, at %d: %d %v, want %d", pause, when, got, ok, want)
			}
		}
		if got, ok := l.At(0); !ok || !l.pruned || got == 0 {
			t.Errorf("pause %d: before the oldest value: %d %v", pause, got, ok)
		}
	}
}
