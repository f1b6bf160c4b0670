package place

import (
	"fmt"
	"testing"

	"magnoliastall.example/magno"
)

func ref(i int) magno.Ref { return magno.Ref{Adapter: fmt.Sprintf("ad%d", i), Version: "1"} }

func none(magno.Ref) float64 { return 0 }

// held returns slots that hold the adapters 0 to n-1, the nth with n requests.
func held(n int) *Slots {
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
		name string
		set  func(s *Slots)
		gain float64
		loss func(magno.Ref) float64
		want magno.Ref
		free bool
	}{
		{"least demand", func(*Slots) {}, 1, none, ref(0), true},
		{"old demand fades", func(s *Slots) {
			for range 5 {
				s.AddDemand(ref(0), 10*DefaultHalfLife)
			}
		}, 1, none, ref(1), true},
		{"in use for long", func(s *Slots) { s.Pin(ref(0), 0, magno.Hour) }, 1, none, ref(1), true},
		{"in use, but the others are hot", func(s *Slots) {
			s.Pin(ref(0), 10*DefaultHalfLife, 100)
			for i := 1; i < 3; i++ {
				for range 50 {
					s.AddDemand(ref(i), 10*DefaultHalfLife)
				}
			}
		}, 1, none, ref(0), false},
		{"jobs wait for it", func(*Slots) {}, 1, func(r magno.Ref) float64 {
			if r == ref(0) {
				return 2
			}
			return 0
		}, ref(1), true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := held(3)
			tt.set(s)
			got, free, ok := s.Victim(10*DefaultHalfLife, tt.gain, tt.loss)
			if !ok || got != tt.want || free != tt.free {
				t.Fatalf("got %v free %v ok %v", got, free, ok)
			}
		})
	}
}

// The weight store fails for a while. An upstream that tried again at once
// would spend the fleet's allowance on failures.
func TestFailedLoadsAreWaitedOut(t *testing.T) {
	s := New(1, DefaultHalfLife, 1)
	now, waits := magno.Millis(0), []magno.Millis{}
	for range 12 {
		if !s.Loadable(ref(0), now) {
			t.Fatal("not usable after its wait")
		}
		s.BeginLoad(ref(0))
		s.Loaded(ref(0), false, now)
		wait := s.RetryDelay(ref(0), now)
		if s.Loadable(ref(0), now) || s.Free() != 1 {
			t.Fatal("tried again at once, or the slot is lost")
		}
		waits = append(waits, wait)
		now += wait
	}
	if waits[0] < firstRetry/2 || waits[0] > 2*firstRetry {
		t.Fatalf("first wait %d", waits[0])
	}
	if last := waits[len(waits)-1]; last < lastRetry/2 || last > 2*lastRetry {
		t.Fatalf("last wait %d", last)
	}
}

// An adapter in use is named for eviction by mistake. The engine must keep it.
func TestPinnedIsNotEvicted(t *testing.T) {
	s := held(1)
	s.Pin(ref(0), 0, 100)
	if s.Evict(ref(0)) || !s.Ready(ref(0)) {
		t.Fatal("evicted in use")
	}
	s.Unpin(ref(0), 100)
	if !s.Evict(ref(0)) || s.Ready(ref(0)) {
		t.Fatal("not evicted once free")
	}
}
