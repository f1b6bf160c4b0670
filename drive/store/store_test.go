package store

import (
	"testing"

	"magnoliastall.example/magno"
)

func TestRateAndWidth(t *testing.T) {
	s := &Store{Rate: 2, LoadTime: 500, Concurrency: 1}
	if !s.Begin(0, 1) || !s.Begin(0, 2) {
		t.Fatal("the burst of a second was refused")
	}
	if s.Begin(0, 3) || s.Refused != 1 {
		t.Fatal("a load over the rate was taken")
	}
	// Two share the speed of one.
	when, ok := s.NextEnd()
	if !ok || when < 999 || when > 1001 {
		t.Fatalf("the next load ends at %d, %v", when, ok)
	}
	if got := s.TakeFinished(when); len(got) != 2 || s.Loads != 2 {
		t.Errorf("%v ended at %d", got, when)
	}
	if !s.Begin(when, 4) {
		t.Fatal("the rate was not given back")
	}
	s.SetFault(when+250, 2, 0)
	if end, _ := s.NextEnd(); end < when+749 || end > when+751 {
		t.Errorf("a store of half the speed ends at %d after %d", end, when)
	}
	if got := s.TakeFinished(when + 800); len(got) != 1 || got[0] != 4 {
		t.Errorf("%v ended", got)
	}
	if _, ok := s.NextEnd(); ok {
		t.Error("an idle store has a next end")
	}
	if s.Begin(magno.Hour, 5); s.Failed != 0 {
		t.Error("failed without a fault")
	}
}
