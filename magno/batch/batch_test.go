package batch

import (
	"testing"

	"magnoliastall.example/magno"
)

// Jobs arrive one by one at an idle engine. A profile with a low Stall waits for a
// fuller batch, for a limited time; one with a Stall of 1 starts at once.
func TestStarts(t *testing.T) {
	tests := []struct {
		name   string
		stall  float64
		waited magno.Millis
		ready  int
		want   bool
	}{
		{"alone", 0, 0, 1, false},
		{"enough company", 0, 0, 8, true},
		{"waited", 0, 1000, 1, true},
		{"in between", 0.5, 250, 1, true},
		{"stalls weigh all", 1, 0, 1, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := &Batcher{Batch: 8, Fill: 1, Hold: 1000, LongShare: DefaultLongShare}
			job := &magno.Job{Stall: tt.stall, Arrived: 5000, Deadline: 65000}
			if got := f.ShouldStart(5000+tt.waited, job, tt.ready); got != tt.want {
				t.Fatalf("got %v", got)
			}
		})
	}
}

// While a batch runs, jobs join it until the engine has no prompt left to read.
func TestJoinsUntilPromptsEnd(t *testing.T) {
	f := &Batcher{Batch: 8, Fill: 1, Hold: 1000, LongShare: DefaultLongShare}
	job := &magno.Job{Arrived: 5000, Deadline: 65000}
	f.ShouldStart(5000, job, 8)
	f.NoneReady(1)
	if !f.ShouldStart(5000, job, 1) {
		t.Fatal("job is held back while the engine reads a prompt")
	}
	f.NoneReady(0)
	if f.ShouldStart(5000, job, 1) {
		t.Fatal("job joined although no prompt is being read")
	}
}

func TestTakesLong(t *testing.T) {
	f := &Batcher{Batch: 8, LongShare: 0.75}
	if !f.AdmitsLong(5) || f.AdmitsLong(6) {
		t.Fatal("long jobs may not occupy exactly 6 of 8 places")
	}
	if one := (&Batcher{Batch: 1, LongShare: 0.75}); !one.AdmitsLong(0) {
		t.Fatal("an engine with one place admits no long job")
	}
}
