package route

import (
	"testing"

	"magnoliastall.example/magno"
)

// Guards against decisions that differ between two runs of one seed, so that a figure can't be reproduced.
func TestRunsOfOneSeedAreEqual(t *testing.T) {
	run := func() outcome {
		s := speedDraw(1)
		s.span, s.demand = 16*magno.Second, 0.9
		return *s.run()
	}
	first := run()
	for n := range 4 {
		if again := run(); again != first {
			t.Fatalf("run %d: %v, the first %v", n+2, &again, &first)
		}
	}
}
