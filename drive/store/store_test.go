package store

import (
	"testing"

	"magnoliastall.example/magno"
)

func TestRateAndWidth(t *testing.T) {
	s := &Store{Rate: 2, LoadTime: 500, Concurrency: 1}
	if !s.Begin(0, 1) || !s.Begin(0, 2) {
		t.Fatal("a load within the burst was refused")
	}
	if s.Begin(0, 3) || s.Refused != 1 {
		t.Fatal("a load over the rate limit was accepted")
	}
	// Two loads share the bandwidth of one.
	when, ok := s.NextEnd()
	if !ok || when < 999 || when > 1001 {
		t.Fatalf("the next load ends at %d, %v", when, ok)
	}
	if got := s.TakeFinished(when); len(got) != 2 || s.Loads != 2 {
		t.Errorf("loads %v finished at %d", got, when)
	}
	if !s.Begin(when, 4) {
		t.Fatal("the rate limiter did not refill")
	}
	s.SetFault(when+250, 2, 0)
	if end, _ := s.NextEnd(); end < when+749 || end > when+751 {
		t.Errorf("at half speed the load ends at %d, begun at %d", end, when)
	}
	if got := s.TakeFinished(when + 800); len(got) != 1 || got[0] != 4 {
		t.Errorf("finished loads %v", got)
	}
	if _, ok := s.NextEnd(); ok {
		t.Error("an idle store reports a next end")
	}
	if s.Begin(magno.Hour, 5); s.Failed != 0 {
		t.Error("a load failed without a fault")
	}
}
