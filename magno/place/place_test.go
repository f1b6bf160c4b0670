package place

import (
	"fmt"
	"testing"

	"magnoliastall.example/magno"
)

func ref(i int) magno.Ref { return magno.Ref{Adapter: fmt.Sprintf("ad%d", i), Version: "1"} }

func noHarm(magno.Ref) float64 { return 0 }

// newLoadedSlots returns slots that hold the adapters 0 to n-1, adapter i with i
// requests.
func newLoadedSlots(n int) *Slots {
	s := New(n, DefaultHalfLife, 1)
	for i := range n {
		s.BeginLoad(ref(i))
		s.Loaded(ref(i), true, 0)
		for range i {
			s.AddDemand(ref(i), 0)
		}
	}
	return s
}

func TestVictim(t *testing.T) {
	tests := []struct {
		name    string
		prepare func(s *Slots)
		gain    float64
		harmOf  func(magno.Ref) float64
		want    magno.Ref
		free    bool
	}{
		{"least demand", func(*Slots) {}, 1, noHarm, ref(0), true},
		{"old demand fades", func(s *Slots) {
			for range 5 {
				s.AddDemand(ref(0), 10*DefaultHalfLife)
			}
		}, 1, noHarm, ref(1), true},
		{"in use for long", func(s *Slots) { s.Pin(ref(0), 0, magno.Hour) }, 1, noHarm, ref(1), true},
		{"in use, but the others are hot", func(s *Slots) {
			s.Pin(ref(0), 10*DefaultHalfLife, 100)
			for i := 1; i < 3; i++ {
				for range 50 {
					s.AddDemand(ref(i), 10*DefaultHalfLife)
				}
			}
		}, 1, noHarm, ref(0), false},
		{"jobs wait for it", func(*Slots) {}, 1, func(r magno.Ref) float64 {
			if r == ref(0) {
				return 2
			}
			return 0
		}, ref(1), true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := newLoadedSlots(3)
			tt.prepare(s)
			got, free, ok := s.Victim(10*DefaultHalfLife, tt.gain, tt.harmOf)
			if !ok || got != tt.want || free != tt.free {
				t.Fatalf("got %v free %v ok %v", got, free, ok)
			}
		})
	}
}

// The weight store fails for a while. An upstream that retried at once would spend the
// fleet's allowance of loads on failures.
func TestFailedLoadsBackOff(t *testing.T) {
	s := New(1, DefaultHalfLife, 1)
	now, waits := magno.Millis(0), []magno.Millis{}
	for range 12 {
		if !s.Loadable(ref(0), now) {
			t.Fatal("not loadable after the retry delay")
		}
		s.BeginLoad(ref(0))
		s.Loaded(ref(0), false, now)
		wait := s.RetryDelay(ref(0), now)
		if s.Loadable(ref(0), now) || s.Free() != 1 {
			t.Fatal("loadable during the retry delay, or the slot is lost")
		}
		waits = append(waits, wait)
		now += wait
	}
	if waits[0] < minRetryDelay/2 || waits[0] > 2*minRetryDelay {
		t.Fatalf("first retry delay is %d ms", waits[0])
	}
	if last := waits[len(waits)-1]; last < maxRetryDelay/2 || last > 2*maxRetryDelay {
		t.Fatalf("last retry delay is %d ms", last)
	}
}

// An adapter in use is named for eviction by mistake. It must stay loaded.
func TestPinnedIsNotEvicted(t *testing.T) {
	s := newLoadedSlots(1)
	s.Pin(ref(0), 0, 100)
	if s.Evict(ref(0)) || !s.Ready(ref(0)) {
		t.Fatal("evicted while pinned")
	}
	s.Unpin(ref(0), 100)
	if !s.Evict(ref(0)) || s.Ready(ref(0)) {
		t.Fatal("not evicted after Unpin")
	}
}
