package soak

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"magnoliastall.example/platform/fake"
)

// Size of the fleet in the tests of retries: an entry more than there are seeds.
const (
	retryEntries = maxSeeds + 1
	retryPlains  = 6
	// retryPause is the pause of a caller between two requests.
	retryPause = 90 * time.Millisecond
)

// startPlainSoak starts entries and upstreams of the plain service, and waits until they serve.
func startPlainSoak(t *testing.T) *Soak {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	s := &Soak{Seed: 1, Dir: t.TempDir(), Bin: programDir, Out: io.Discard, sent: map[string]*request{}, reported: map[string]bool{}}
	f := newFleet(s.Dir, s.Bin, s.Size)
	s.fleet = f
	t.Cleanup(func() {
		cancel()
		f.wait()
	})
	for _, err := range []error{f.startList(ctx), f.startPlains(retryPlains), f.startEntries(ctx, retryEntries)} {
		if err != nil {
			t.Fatal(err)
		}
	}
	s.started = time.Now()
	caller := &fake.Caller{HTTP: &http.Client{Transport: &http.Transport{}}, Key: fake.Key}
	for _, entry := range f.entries {
		for n := 0; ; n++ {
			if o := s.sendTo(ctx, caller, entry, fake.PathRepeat+"x", "", fmt.Sprintf("ready-%s-%d", entry, n), ""); o.Status == http.StatusOK {
				break
			}
			if time.Since(s.started) > readyTimeout {
				t.Fatal("the fleet did not serve a request within the ready timeout")
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	return s
}

// Guards against entries that are killed after they have used their retries and use them once more:
// the upstreams get the repeats of both lives within one window.
func TestRestartedEntriesStayWithinTheRetryBudget(t *testing.T) {
	for _, c := range []struct {
		name    string
		status  int
		killed  int
		pause   time.Duration
		repeats int
	}{
		{"all at once, connections break", 0, retryEntries, 0, 1},
		{"one after the other, 500", http.StatusInternalServerError, retryEntries, 600 * time.Millisecond, 1},
		{"one again and again, 503 not run", http.StatusServiceUnavailable, 1, 1500 * time.Millisecond, 4},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := startPlainSoak(t)
			stop := s.sendSteadily(retryPause, fake.PathRepeat, "")
			time.Sleep(retryWindow)
			end := s.fleet.fail(c.status)
			time.Sleep(2 * time.Second)
			for range c.repeats {
				s.fleet.kill(c.killed, c.pause)
			}
			time.Sleep(retryWindow)
			end()
			stop()
			l := s.retryLoads()[fake.PlainService]
			t.Logf("%d repeats in the worst window, allowed %.0f", l.repeats, l.allowed)
			if l.repeats == 0 {
				t.Error("no request was repeated")
			}
			for _, what := range s.checkRetries() {
				t.Error(what)
			}
		})
	}
}

// Guards against repeats that are sent over several windows to upstreams that don't read, and arrive there in one
// window once they do.
func TestRepeatsThatWaitAtFrozenUpstreamsStayWithinTheRetryBudget(t *testing.T) {
	const frozen = 3 * retryWindow
	for _, c := range []struct {
		name   string
		frozen int
	}{
		{"all", retryPlains},
		{"half of them", retryPlains / 2},
		{"one", 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := startPlainSoak(t)
			stop := s.sendSteadily(retryPause, fake.PathRepeat, "")
			time.Sleep(retryWindow)
			var thaw []func()
			for _, u := range s.fleet.plains[:c.frozen] {
				thaw = append(thaw, u.handler.freeze())
			}
			time.Sleep(frozen)
			for _, f := range thaw {
				f()
			}
			time.Sleep(2 * time.Second)
			stop()
			l := s.retryLoads()[fake.PlainService]
			t.Logf("%d repeats in the worst window, allowed %.0f", l.repeats, l.allowed)
			for _, what := range s.checkRetries() {
				t.Error(what)
			}
		})
	}
}

// servedShare returns the share of the requests sent in a period that were served.
func (s *Soak) servedShare(from, to time.Time) (share float64, sent int) {
	served := 0
	for _, r := range s.requestsInOrder() {
		if r.at.Before(from) || r.at.After(to) {
			continue
		}
		sent++
		if r.outcome.Status == http.StatusOK && r.outcome.Complete {
			served++
		}
	}
	return float64(served) / float64(max(sent, 1)), sent
}

// Guards against entries that start with so few retries that callers see the failures of a single
// upstream.
func TestRestartedEntriesServeBesideAFailingUpstream(t *testing.T) {
	const (
		startTime = time.Second
		period    = 6 * time.Second
		least     = 0.95
	)
	for _, c := range []struct {
		name   string
		status int
		killed int
	}{
		{"all restart, connections break", 0, retryEntries},
		{"all restart, 500", http.StatusInternalServerError, retryEntries},
		{"one restarts, 500", http.StatusInternalServerError, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := startPlainSoak(t)
			stop := s.sendSteadily(retryPause, fake.PathRepeat, "")
			time.Sleep(time.Second)
			s.fleet.kill(c.killed, 0)
			s.fleet.failOne(s.fleet.plains[0], c.status)
			time.Sleep(startTime)
			from := time.Now()
			time.Sleep(period)
			stop()
			share, sent := s.servedShare(from, from.Add(period))
			t.Logf("%.4f of %d requests were served", share, sent)
			if share < least {
				t.Errorf("%.4f of %d requests were served, want %.2f", share, sent, least)
			}
			for _, what := range s.checkRetries() {
				t.Error(what)
			}
		})
	}
}

// Guards against a check that can't fail: more repeats than allowed, in one window or spread over two.
func TestRetryCheckFindsExcess(t *testing.T) {
	start := time.Now()
	times := func(n int, from, to time.Duration) []time.Time {
		var list []time.Time
		for i := range n {
			list = append(list, start.Add(from+time.Duration(i)*(to-from)/time.Duration(n)))
		}
		return list
	}
	const second = time.Second
	for _, c := range []struct {
		name    string
		sent    []time.Time
		repeats []time.Time
		excess  float64
	}{
		{"none", times(100, 0, 10*second), nil, 0},
		{"the slack", nil, times(40, 0, 5*second), 0},
		{"one more", nil, times(41, 0, 5*second), 1},
		{"spread over two windows", nil, times(60, 0, 20*second), -10},
		{"for requests of the window", times(100, 0, 10*second), times(60, 5*second, 10*second), 0.2},
		{"for requests of the window before", times(100, 0, 10*second), times(60, 10*second, 20*second), 0},
		{"for requests long before", times(100, 0, 10*second), times(60, 30*second, 40*second), 20},
	} {
		t.Run(c.name, func(t *testing.T) {
			l := worstRetryLoad(c.sent, c.repeats, retrySlack)
			if got := l.excess(); got < c.excess-0.5 || got > c.excess+0.5 {
				t.Errorf("%d repeats, allowed %.1f, want an excess of %.1f", l.repeats, l.allowed, c.excess)
			}
		})
	}
}
