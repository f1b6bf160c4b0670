package soak

import (
	"bufio"
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"magnoliastall.example/magno/start"
	"magnoliastall.example/platform/fake"
)

const (
	// newsRounds are the times at which all upstreams end at once. They give far more ends than a record holds.
	// In each, requests are sent for newsPlay, the upstreams end after newsRun and are back after newsAway. Before
	// it nothing completes for newsPause, and until the ends no stream is long enough to have completed, so that the
	// ends are recorded for the part that all requests share. After them streams complete and clear the part.
	newsRounds = 4
	newsPause  = 3500 * time.Millisecond
	newsRun    = 500 * time.Millisecond
	newsAway   = 400 * time.Millisecond
	newsPlay   = 5 * time.Second
	// newsEntries tell each other of ends.
	newsEntries = 16
	// newsCallers send requests that share a part of their prompts.
	newsCallers = 48
	// quietAfter is how long after the last end entries may still tell each other of it, and quietTime how long
	// they are watched then.
	quietAfter = 4 * time.Second
	quietTime  = 3 * time.Second
	// maxGoroutines and maxResident, in bytes, bound an entry all the while. Entries that tell each other of ends for
	// ever reach 1,000 to 1,500 goroutines in this time, others 184 at most.
	maxGoroutines = 500
	maxResident   = 100 << 20
	// maxQuietBytes bounds what an entry writes in quietTime, hellos and log lines included: 31 to 42 KB.
	// With news of ends that goes round for ever it is 600 KB and more.
	maxQuietBytes = 200 << 10
)

// Guards against entries that tell each other for ever of ended upstreams, when more end under requests with one
// part than a record holds, which fills their memory.
func TestNewsOfManyEndsIsQuiet(t *testing.T) {
	s := startStreamSoakOf(t, fake.PathFlow, newsEntries)
	f := s.fleet
	c := &partCase{path: fake.PathFlow, prompt: func(*rand.Rand, bool) []string { return []string{"aa", "bb"} }}
	ends, completed := 0, 0
	for round := range newsRounds {
		time.Sleep(newsPause)
		ctx, cancel := context.WithTimeout(t.Context(), newsPlay)
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			time.Sleep(newsRun)
			f.endAll(newsAway)
		}()
		s.sendParts(ctx, c, longSuffix, newsCallers, false)
		cancel()
		<-ended
		ends += len(f.plains)
		if n := s.completed(); n > completed {
			completed = n
		} else {
			t.Errorf("round %d: no stream completed, so that the part isn't cleared of the ends", round)
		}
		s.checkEntries(t)
	}
	time.Sleep(quietAfter)
	before := s.checkEntries(t)
	time.Sleep(quietTime)
	after := s.checkEntries(t)
	messages := 0.0
	for i, b := range before {
		messages += b.messages
		if n := after[i].messages - b.messages; n != 0 {
			t.Errorf("%s sent %.0f messages about ends %s after the last of them", entryName(i), n, quietAfter)
		}
		if n := after[i].written - b.written; n > maxQuietBytes {
			t.Errorf("%s wrote %.0f bytes in %s, though all was quiet", entryName(i), n, quietTime)
		}
	}
	t.Logf("%d ends, %d requests completed, %.0f messages", ends, completed, messages)
}

// endAll ends all plain upstreams at once and returns when they are back.
func (f *fleet) endAll(away time.Duration) {
	var ending sync.WaitGroup
	for _, u := range f.plains {
		w := f.current(u)
		ending.Go(func() { f.end(u, w, "", away) })
	}
	ending.Wait()
}

// completed returns the number of requests that were served.
func (s *Soak) completed() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, r := range s.sent {
		n += count(r.outcome.Status == http.StatusOK && r.outcome.Complete)
	}
	return n
}

// sentBy is the number of messages about ends that an entry has sent, and of all bytes that it has written.
type sentBy struct{ messages, written float64 }

// checkEntries checks the goroutines and the memory of all entries, and returns what each has sent.
func (s *Soak) checkEntries(t *testing.T) (sent []sentBy) {
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
		sent = append(sent, sentBy{m["end_reports_total"], m["process_io_written_bytes_total"]})
	}
	return sent
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
