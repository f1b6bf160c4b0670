package plain

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"

	"magnoliastall.example/magno"
	"magnoliastall.example/stand/fault"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

type testService struct {
	*Service
	url string
}

func startService(t *testing.T, p *Service) testService {
	server := httptest.NewServer(p.Handler())
	t.Cleanup(server.Close)
	return testService{p, server.URL}
}

// call returns status 0 when the connection was aborted.
func (c testService) call(ctx context.Context, name, id, body string) (int, Answer) {
	req, _ := http.NewRequestWithContext(ctx, http.MethodPost, c.url+"/call/"+name, bytes.NewReader([]byte(body)))
	req.Header.Set("X-Request-Id", id)
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		return 0, Answer{}
	}
	defer resp.Body.Close()
	data, _ := io.ReadAll(resp.Body)
	var a Answer
	_ = json.Unmarshal(data, &a)
	return resp.StatusCode, a
}

func (c testService) setFault(t *testing.T, spec fault.Spec) {
	t.Helper()
	if err := c.Fault(spec); err != nil {
		t.Fatal(err)
	}
}

func waitFor(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(30 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if ok() {
			return
		}
	}
	t.Fatalf("timed out waiting for %s", what)
}

// callCounts returns the number of running and waiting calls.
func (c testService) callCounts() (running, waiting int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.running, c.waiting
}

func TestCall(t *testing.T) {
	c := startService(t, &Service{WorkTime: 1})
	for _, body := range []string{"", `{"seat":7}`, `{"seat":8}`} {
		status, a := c.call(t.Context(), "confirm", "r"+body, body)
		if want := Expect("confirm", []byte(body)); status != http.StatusOK || a != want {
			t.Errorf("%q: %d %+v, want %+v", body, status, a, want)
		}
	}
	runs := c.Counts().Runs
	if len(runs) != 3 || runs[1].ID != `r{"seat":7}` || runs[1].Body == runs[2].Body || !runs[2].Ended {
		t.Errorf("runs %+v", runs)
	}
	if Expect("a", []byte("x")) == Expect("b", []byte("x")) {
		t.Error("two different calls have the same answer")
	}
}

// A call that failed before it ran may be retried. One whose answer was lost has
// run. The record must tell the two apart.
func TestFailBeforeAndAfter(t *testing.T) {
	tests := []struct {
		kind         string
		status, runs int
		refused      int64
	}{
		{fault.Fail, http.StatusInternalServerError, 0, 1},
		{fault.Lost, 0, 1, 0},
		{fault.Outage, http.StatusServiceUnavailable, 0, 0},
	}
	for _, tt := range tests {
		t.Run(tt.kind, func(t *testing.T) {
			c := startService(t, &Service{WorkTime: 1})
			c.setFault(t, fault.Spec{Kind: tt.kind, Value: 1})
			if status, _ := c.call(t.Context(), "record", "r", "x"); status != tt.status {
				t.Errorf("status %d", status)
			}
			if n := c.Counts(); len(n.Runs) != tt.runs || n.Refused != tt.refused || tt.runs == 1 && !n.Runs[0].Ended {
				t.Errorf("counts %+v", n)
			}
			c.setFault(t, fault.Spec{Kind: fault.Clear})
			if status, _ := c.call(t.Context(), "record", "r", "x"); status != http.StatusOK {
				t.Errorf("after the fault: status %d", status)
			}
		})
	}
}

// Calls beyond Concurrency must wait, and calls beyond QueueLimit must be rejected
// without running.
func TestConcurrencyLimit(t *testing.T) {
	clock := magno.NewClock(1000)
	c := startService(t, &Service{WorkTime: 10, Concurrency: 2, QueueLimit: 1, Clock: clock})
	c.setFault(t, fault.Spec{Kind: fault.Slow, Value: 3})
	var wg sync.WaitGroup
	for range 2 {
		wg.Go(func() { c.call(t.Context(), "a", "", "") })
	}
	waitFor(t, "both running", func() bool { n, _ := c.callCounts(); return n == 2 })
	wg.Go(func() { c.call(t.Context(), "a", "", "") })
	waitFor(t, "one waiting", func() bool { _, n := c.callCounts(); return n == 1 })
	if status, _ := c.call(t.Context(), "a", "", ""); status != http.StatusTooManyRequests {
		t.Errorf("the fourth call: status %d", status)
	}
	clock.Advance(29)
	if n, _ := c.callCounts(); n != 2 {
		t.Errorf("%d running after 29 of 30 ms", n)
	}
	clock.Advance(1)
	waitFor(t, "the third", func() bool { n, _ := c.callCounts(); return n == 1 && len(c.Counts().Runs) == 3 })
	clock.Advance(30)
	wg.Wait()
	if n := c.Counts(); len(n.Runs) != 3 || n.Refused != 1 {
		t.Errorf("counts %+v", n)
	}
}

// A crash aborts all running calls. Callers only see their connections close and
// cannot tell whether their calls ran; the record must show it.
func TestCrash(t *testing.T) {
	clock := magno.NewClock(1000)
	c := startService(t, &Service{WorkTime: 1000, RestartTime: 50, Clock: clock})
	c.setFault(t, fault.Spec{Kind: fault.Crash, Match: "poison"})
	other := make(chan int, 1)
	go func() {
		status, _ := c.call(t.Context(), "a", "one", "")
		other <- status
	}()
	waitFor(t, "the other call", func() bool { n, _ := c.callCounts(); return n == 1 })
	if status, _ := c.call(t.Context(), "a", "two", "poison"); status != 0 {
		t.Errorf("the crashing call got status %d", status)
	}
	if status := <-other; status != 0 {
		t.Errorf("the other call got status %d", status)
	}
	if status, _ := c.call(t.Context(), "a", "three", ""); status != 0 {
		t.Errorf("status %d while the service is down", status)
	}
	clock.Advance(50)
	c.setFault(t, fault.Spec{Kind: fault.Clear})
	up := make(chan int, 1)
	go func() {
		status, _ := c.call(t.Context(), "a", "four", "")
		up <- status
	}()
	waitFor(t, "a run after the restart", func() bool { n, _ := c.callCounts(); return n == 1 })
	clock.Advance(1000)
	if status := <-up; status != http.StatusOK {
		t.Errorf("after the restart: %d", status)
	}
	ended := map[string]bool{}
	for _, r := range c.Counts().Runs {
		ended[r.ID] = r.Ended
	}
	if len(ended) != 3 || ended["one"] || ended["two"] || !ended["four"] {
		t.Errorf("runs %v", ended)
	}
}

// A call must be completed even if its caller disconnects.
func TestCallerDisconnects(t *testing.T) {
	clock := magno.NewClock(1000)
	c := startService(t, &Service{WorkTime: 10, Clock: clock})
	ctx, cancel := context.WithCancel(t.Context())
	gone := make(chan struct{})
	go func() {
		defer close(gone)
		c.call(ctx, "a", "r", "")
	}()
	waitFor(t, "the call", func() bool { n, _ := c.callCounts(); return n == 1 })
	cancel()
	<-gone
	clock.Advance(10)
	waitFor(t, "its end", func() bool { n, _ := c.callCounts(); return n == 0 })
	if runs := c.Counts().Runs; len(runs) != 1 || !runs[0].Ended {
		t.Errorf("runs %+v", runs)
	}
}
