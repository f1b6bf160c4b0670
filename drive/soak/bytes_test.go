package soak

import (
	"context"
	"net/http"
	"sync"
	"testing"
	"time"

	"magnoliastall.example/platform/fake"
	"magnoliastall.example/stand/endless"
)

const (
	// bytesPlay is how long a row is played; firstBytesNetwork is the network of the first fleet of these tests.
	bytesPlay         = 1500 * time.Millisecond
	firstBytesNetwork = 120
	// bytesMemory is the limit of a process's memory in megabytes: that of a daemon at the users' target size.
	bytesMemory = maxEntryMemory >> 20
)

// bytesCase is a server that answers each request with bytes without end.
type bytesCase struct {
	name string
	size Size
	// answer has the server answer with a row until the returned function is called.
	answer func(f *fleet, row endless.Row) (undo func())
	// path is a route whose requests must be served all the same, adapter what they need.
	path, adapter string
	// rest is how long the server is sound between two rows: without the list, keys aren't accepted for long.
	rest time.Duration
}

var bytesCases = []bytesCase{
	{
		name: "an engine, its reports and answers to orders too", size: Size{Entries: 2, Engines: 4}, path: fake.PathResume, adapter: "a1",
		answer: func(f *fleet, row endless.Row) func() { return f.answerEndlessly(f.engines[0], row) },
	},
	{
		name: "the list", size: Size{Entries: 2, Engines: 2}, path: fake.PathRepeat, rest: fake.RevokeDelay / 2,
		answer: func(f *fleet, row endless.Row) func() {
			h := &endless.Handler{Next: f.store}
			undo := h.Set(row)
			f.storeHandler.set(h)
			return undo
		},
	},
	{
		name: "most upstreams of another service", size: Size{Entries: 2, Engines: 2, Plains: 12}, path: fake.PathResume, adapter: "a1",
		answer: func(f *fleet, row endless.Row) func() {
			var undo []func()
			for _, u := range f.plains[:10] {
				undo = append(undo, f.answerEndlessly(u, row))
			}
			return func() {
				for _, end := range undo {
					end()
				}
			}
		},
	},
}

// Guards against bytes without end that fill the memory of the process which asked for them, an entry or an agent, so
// that it ends and the requests of others end with it.
func TestBytesWithoutEndEndNoProcess(t *testing.T) {
	for i, c := range bytesCases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			c.size.Network, c.size.Memory = firstBytesNetwork+i, bytesMemory
			s := startSoakOf(t, c.size)
			for row := range endless.Row(endless.Rows) {
				undo := c.answer(s.fleet, row)
				served, all, largest := s.playBytes(t.Context(), &c)
				undo()
				time.Sleep(c.rest)
				t.Logf("%s: %d of %d requests served, largest process %.1f MB", row, served, all, float64(largest)/(1<<20))
				if largest > maxEntryMemory {
					t.Errorf("%s: a process takes %d bytes, want %d at most", row, largest, maxEntryMemory)
				}
				if float64(served) < leastServed*float64(all) || all == 0 {
					t.Errorf("%s: %d of %d requests served, want %.2f of them", row, served, all, leastServed)
				}
			}
			for _, p := range s.fleet.procs {
				if n := len(p.disturbedAt); n != 1 {
					t.Errorf("%s was started %d times", p.name, n)
				}
			}
		})
	}
}

// playBytes has callers send requests of a case's route, and others those of the plain service, and returns how many of
// the first were served and the largest memory of a process meanwhile.
func (s *Soak) playBytes(ctx context.Context, c *bytesCase) (served, all int, largest int64) {
	ctx, stop := context.WithTimeout(ctx, bytesPlay)
	defer stop()
	var mu sync.Mutex
	var sending sync.WaitGroup
	for i := range 2 * callers {
		sending.Go(func() {
			caller := &fake.Caller{HTTP: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}}, Key: fake.Key}
			entry := s.fleet.entries[i%len(s.fleet.entries)]
			for ctx.Err() == nil {
				if i >= callers {
					s.sendLimited(caller, entry, fake.PathRepeat+"x", "")
					continue
				}
				o := s.sendLimited(caller, entry, c.path+"x", c.adapter)
				mu.Lock()
				all++
				served += count(o.Status == http.StatusOK && o.Complete)
				mu.Unlock()
			}
		})
	}
	for ctx.Err() == nil {
		for _, p := range s.fleet.procs {
			if resident, ok := p.resident(); ok {
				largest = max(largest, resident)
			}
		}
		time.Sleep(pollInterval / 5)
	}
	sending.Wait()
	return served, all, largest
}
