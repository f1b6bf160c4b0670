package weight

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"go.uber.org/goleak"

	"magnoliastall.example/magno"
	"magnoliastall.example/stand/fault"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// fetch loads an adapter in the background and sends the status to the channel.
func fetch(ctx context.Context, s *Store, name string) <-chan int {
	got := make(chan int, 1)
	handler := s.Handler()
	go func() {
		req := httptest.NewRequestWithContext(ctx, http.MethodGet, "/v1/weights/"+name+"/1", http.NoBody)
		w := httptest.NewRecorder()
		defer func() {
			if recover() == http.ErrAbortHandler { //nolint:errorlint // the value of the panic
				got <- 0
			}
		}()
		handler.ServeHTTP(w, req)
		got <- w.Code
	}()
	return got
}

// waitActive waits until n loads are in progress.
func waitActive(t *testing.T, s *Store, n int) {
	t.Helper()
	for end := time.Now().Add(30 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		s.mu.Lock()
		now := len(s.active)
		s.mu.Unlock()
		if now == n {
			return
		}
	}
	t.Fatalf("timed out waiting for %d concurrent loads", n)
}

// maxRemaining returns the longest remaining time of a load at full speed.
func maxRemaining(s *Store) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.advance()
	most := 0.0
	for l := range s.active {
		most = max(most, l.remaining)
	}
	return most
}

// Beyond FullSpeedLoads, concurrent loads share the bandwidth, so that a fleet that
// loads many adapters at once makes all loads slow.
func TestLoadsShareSpeed(t *testing.T) {
	tests := []struct {
		width, loads int
		left         float64 // after 300 of 1000 ms
	}{{1, 1, 700}, {2, 2, 700}, {1, 2, 850}, {2, 6, 900}}
	for _, tt := range tests {
		clock := magno.NewClock(1000)
		s := &Store{Rate: 100, FullSpeedLoads: tt.width, LoadTime: 1000, Clock: clock}
		got := make([]<-chan int, 0, tt.loads)
		for range tt.loads {
			got = append(got, fetch(t.Context(), s, "a"))
		}
		waitActive(t, s, tt.loads)
		clock.Advance(300)
		if n := maxRemaining(s); n < tt.left-1 || n > tt.left+1 {
			t.Errorf("%+v: %v ms left", tt, n)
		}
		clock.Advance(100_000)
		for _, g := range got {
			if status := <-g; status != http.StatusOK {
				t.Errorf("%+v: status %d", tt, status)
			}
		}
		if c := s.Counts(); c.Loads["a@1"] != int64(tt.loads) || c.MaxConcurrent != tt.loads {
			t.Errorf("%+v: counts %+v", tt, c)
		}
	}
}

// A cancelled load must free its share of the bandwidth.
func TestCancelGivesSpeedBack(t *testing.T) {
	clock := magno.NewClock(1000)
	s := &Store{Rate: 100, FullSpeedLoads: 1, LoadTime: 1000, Clock: clock}
	ctx, cancel := context.WithCancel(t.Context())
	first, second := fetch(ctx, s, "a"), fetch(t.Context(), s, "b")
	waitActive(t, s, 2)
	cancel()
	<-first
	waitActive(t, s, 1)
	clock.Advance(1000)
	if status := <-second; status != http.StatusOK {
		t.Errorf("status %d", status)
	}
	if c := s.Counts(); c.Loads["a@1"] != 0 || c.Loads["b@1"] != 1 {
		t.Errorf("counts %+v", c)
	}
}

// Loads over the rate are rejected; the allowance refills with time. Each rejection
// delays an engine that has reserved a slot.
func TestRate(t *testing.T) {
	clock := magno.NewClock(1000)
	s := &Store{Rate: 2, FullSpeedLoads: 1, LoadTime: 1, Clock: clock}
	got := map[int]int{}
	for range 5 {
		got[fetchStatus(clock, s, fetch(t.Context(), s, "a"))]++
	}
	if got[http.StatusOK] != 2 || got[http.StatusTooManyRequests] != 3 {
		t.Fatalf("got %v", got)
	}
	clock.Advance(500)
	got[fetchStatus(clock, s, fetch(t.Context(), s, "a"))]++
	if got[http.StatusOK] != 3 || s.Counts().Refused != 3 {
		t.Fatalf("got %v, counts %+v", got, s.Counts())
	}
}

// fetchStatus returns the status of a fetch. It advances the clock by 1 ms once the
// load is in progress, so that the rate limiter hardly refills meanwhile.
func fetchStatus(clock *magno.Clock, s *Store, status <-chan int) int {
	for {
		select {
		case n := <-status:
			return n
		case <-time.After(time.Millisecond):
		}
		s.mu.Lock()
		begun := len(s.active) > 0
		s.mu.Unlock()
		if begun {
			clock.Advance(1)
			return <-status
		}
	}
}

func TestFaults(t *testing.T) {
	clock := magno.NewClock(1000)
	s := &Store{Rate: 100, LoadTime: 100, Clock: clock}
	set := func(o fault.Spec) {
		if err := s.Fault(o); err != nil {
			t.Fatal(err)
		}
	}
	set(fault.Spec{Kind: fault.Fail, Value: 1, Match: "b@"})
	if status := <-fetch(t.Context(), s, "b"); status != http.StatusServiceUnavailable {
		t.Errorf("fail: %d", status)
	}
	set(fault.Spec{Kind: fault.Slow, Value: 4})
	slow := fetch(t.Context(), s, "a")
	waitActive(t, s, 1)
	clock.Advance(200)
	if n := maxRemaining(s); n < 49 || n > 51 {
		t.Errorf("slow: %v ms left", n)
	}
	clock.Advance(200)
	if status := <-slow; status != http.StatusOK {
		t.Errorf("slow: %d", status)
	}
	set(fault.Spec{Kind: fault.Outage})
	if status := <-fetch(t.Context(), s, "a"); status != http.StatusServiceUnavailable {
		t.Errorf("outage: %d", status)
	}
	if c := s.Counts(); c.Failed != 2 {
		t.Errorf("counts %+v", c)
	}
}
