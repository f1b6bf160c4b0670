package soak

import (
	"bufio"
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"magnoliastall.example/magno/start"
	"magnoliastall.example/platform/fake"
)

const (
	// newsRounds are the times at which all upstreams end at once. They give far more ends than a record holds.
	// In each, requests are sent for newsPlay, the upstreams end after newsRun and are back after newsAway. Before
	// it nothing completes for newsPause, so that the ends are recorded for the part that all requests share.
	newsRounds = 4
	newsPause  = 3500 * time.Millisecond
	newsRun    = 60 * time.Millisecond
	newsAway   = 400 * time.Millisecond
	newsPlay   = 1500 * time.Millisecond
	// newsEntries tell each other of ends.
	newsEntries = 16
	// newsCallers send requests that share a part of their prompts.
	newsCallers = 48
	// quietAfter is how long after the last end entries may still tell each other of it, and quietTime how long
	// they are watched then.
	quietAfter = 4 * time.Second
	quietTime  = 3 * time.Second
	// maxGoroutines and maxResident, in bytes, bound an entry all the while.
	maxGoroutines = 2000
	maxResident   = 100 << 20
)

// Guards against entries that tell each other for ever of ended upstreams, when more end under requests with one
// part than a record holds, which fills their memory.
func TestNewsOfManyEndsIsQuiet(t *testing.T) {
	s := startStreamSoakOf(t, fake.PathFlow, newsEntries)
	f := s.fleet
	c := &partCase{path: fake.PathFlow, prompt: func(*rand.Rand, bool) []string { return []string{"aa", "bb"} }}
	ends := 0
	for range newsRounds {
		time.Sleep(newsPause)
		ctx, cancel := context.WithTimeout(t.Context(), newsPlay)
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			time.Sleep(newsRun)
			f.endAll(newsAway)
		}()
		s.sendParts(ctx, c, newsCallers, false)
		cancel()
		<-ended
		ends += len(f.plains)
		s.checkEntries(t)
	}
	time.Sleep(quietAfter)
	before := s.checkEntries(t)
	time.Sleep(quietTime)
	if after := s.checkEntries(t); after != before {
		t.Errorf("entries sent %.0f messages about ends %s after the last of them", after-before, quietAfter)
	}
	t.Logf("%d ends, %.0f messages", ends, before)
}

// endAll ends all plain upstreams at once.
func (f *fleet) endAll(away time.Duration) {
	for _, u := range f.plains {
		f.mu.Lock()
		w := u.worker
		f.mu.Unlock()
		f.end(u, w, "", away)
	}
}

// checkEntries checks the goroutines and the memory of all entries, and returns the number of messages about
// ends that they have sent.
func (s *Soak) checkEntries(t *testing.T) (messages float64) {
	t.Helper()
	for i, address := range s.fleet.entries {
		host, _, err := net.SplitHostPort(address)
		if err != nil {
			t.Fatal(err)
		}
		m := readMetrics(t, net.JoinHostPort(host, strconv.Itoa(start.MetricsPort)))
		if n := m["go_goroutines"]; n > maxGoroutines {
			t.Errorf("%s has %.0f goroutines", entryName(i), n)
		}
		if n := m["process_resident_memory_bytes"]; n > maxResident || n == 0 {
			t.Errorf("%s has %.0f bytes resident, want 1 to %d", entryName(i), n, maxResident)
		}
		messages += m["end_reports_total"]
	}
	return messages
}

// readMetrics returns the metrics without labels of a process.
func readMetrics(t *testing.T, address string) map[string]float64 {
	t.Helper()
	res, err := http.Get("http://" + address + "/metrics") //nolint:gosec // a process of this test
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = res.Body.Close() }()
	values := map[string]float64{}
	for lines := bufio.NewScanner(res.Body); lines.Scan(); {
		name, text, _ := strings.Cut(lines.Text(), " ")
		if v, err := strconv.ParseFloat(text, 64); err == nil {
			values[name] = v
		}
	}
	return values
}
