package soak

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"magnoliastall.example/platform/fake"
)

// The limit of a customer, in tokens of which each request costs seedCost, and what may run within any seedWindow:
// rate and burst, a quarter more, and a slack.
const (
	seedRate   = 3000
	seedBurst  = 3000
	seedCost   = 100
	seedWindow = 8 * time.Second
	seedSlack  = 2500
	seedBound  = (seedRate*8+seedBurst)*125/100 + seedSlack
	// seedLag is the time after which seeds that were out of date are right.
	seedLag = 3 * time.Second
	// seedSettle is the time in which machines find each other, and after which what was granted before counts
	// no more; seedTime is for how long the customer asks.
	seedSettle = 10 * time.Second
	seedTime   = 12 * time.Second
	// seedAsked is how many times its limit the customer asks for, seedWithin is a share of it that must be
	// served whole, after a time in which it asks for seedBefore: a home that was never asked begins without a burst.
	seedAsked  = 3.0
	seedBefore = 0.2
	seedWithin = 0.8
	// firstSeedNetwork is the network of the first fleet of these tests.
	firstSeedNetwork = 90
)

// seedCase is a fleet whose entries start with seeds that may be out of date.
type seedCase struct {
	name    string
	entries int
	// seeds returns those that an entry starts with.
	seeds func(f *fleet, entry int) []string
	// right is true if they are put right after seedLag, signal if a signal says so.
	right, signal bool
	// least is the least that must run within some seedWindow, as a share of the limit.
	least float64
}

// goneSeeds returns seeds at which nobody listens, silentSeeds those of a machine that accepts connections and says nothing.
func goneSeeds(f *fleet, _ int) []string {
	return []string{f.address(1, 91, 3), f.address(1, 92, 3), f.address(1, 93, 3)}
}

func silentSeeds(f *fleet, _ int) []string { return []string{f.address(1, 81, 3)} }

// seedsOf returns the seeds of a fleet of some entries.
func seedsOf(f *fleet, entries int) []string {
	var seeds []string
	for i := range min(entries, maxSeeds) {
		seeds = append(seeds, f.address(1, i+1, 3))
	}
	return seeds
}

var seedCases = []seedCase{
	{name: "two, gone, put right with a signal", entries: 2, seeds: goneSeeds, right: true, signal: true, least: 0.8},
	{name: "two, gone, put right without a signal", entries: 2, seeds: goneSeeds, right: true, least: 0.8},
	{name: "two, gone for ever", entries: 2, seeds: goneSeeds},
	{name: "two, silent for ever", entries: 2, seeds: silentSeeds},
	{name: "two, silent, put right with a signal", entries: 2, seeds: silentSeeds, right: true, signal: true, least: 0.8},
	{name: "four, gone, put right without a signal", entries: 4, seeds: goneSeeds, right: true, least: 0.8},
	{name: "four, gone for one of them for ever", entries: 4, least: 0.6, seeds: func(f *fleet, entry int) []string {
		if entry == 3 {
			return goneSeeds(f, entry)
		}
		return seedsOf(f, 3)
	}},
	{name: "two halves, put right without a signal", entries: 4, right: true, least: 0.8, seeds: func(f *fleet, entry int) []string {
		return []string{f.address(1, entry/2*2+1, 3), f.address(1, entry/2*2+2, 3)}
	}},
}

// Guards against entries that don't find each other, as their seeds are out of date, and each grant a customer's whole
// limit.
func TestEntriesWithOldSeedsShareOneLimit(t *testing.T) {
	for i, c := range seedCases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			f := startSeeded(t, firstSeedNetwork+i, &c)
			if c.right {
				time.Sleep(seedLag)
				f.putSeedsRight(t, c.signal)
			}
			time.Sleep(seedSettle)
			_, refused := f.askLimit(t, seedAsked, seedTime)
			ran := f.mostWithin(seedWindow)
			t.Logf("%d tokens ran within %s, allowed %d, %d requests refused", ran, seedWindow, seedBound, refused)
			if ran > seedBound {
				t.Errorf("%d tokens ran within %s, want %d at most", ran, seedWindow, seedBound)
			}
			if least := int(c.least * seedRate * 8); ran < least {
				t.Errorf("%d tokens ran within %s, want %d at least", ran, seedWindow, least)
			}
		})
	}
}

// Guards against a customer within its limit that is refused, at a fleet with right seeds or at an entry that is alone
// by right.
func TestSoundEntriesRefuseNothingWithinTheLimit(t *testing.T) {
	for i, c := range []seedCase{
		{name: "one, the only seed", entries: 1, seeds: func(f *fleet, _ int) []string { return seedsOf(f, 1) }},
		{name: "one, the other seeds are gone", entries: 1, seeds: func(f *fleet, entry int) []string {
			return append(seedsOf(f, 1), goneSeeds(f, entry)[:2]...)
		}},
		{name: "one without seeds", entries: 1, seeds: func(*fleet, int) []string { return nil }},
		{name: "three", entries: 3, seeds: func(f *fleet, _ int) []string { return seedsOf(f, 3) }},
		{name: "three, of which one is killed", entries: 3, seeds: func(f *fleet, _ int) []string { return seedsOf(f, 3) }},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			f := startSeeded(t, firstSeedNetwork+len(seedCases)+i, &c)
			f.askLimit(t, seedBefore, seedSettle)
			if c.name == "three, of which one is killed" {
				time.AfterFunc(seedTime/3, func() { f.procs[0].signal(syscall.SIGKILL) })
			}
			served, refused := f.askLimit(t, seedWithin, seedTime)
			if refused > 0 || served == 0 {
				t.Errorf("%d requests served, %d refused", served, refused)
			}
		})
	}
}

// startSeeded starts the entries of a case and a plain service, with a customer that has a limit.
func startSeeded(t *testing.T, network int, c *seedCase) *fleet {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	f := newFleet(t.TempDir(), programDir, Size{Network: network})
	t.Cleanup(func() {
		cancel()
		f.wait()
	})
	check := func(err error) {
		t.Helper()
		if err != nil {
			t.Fatal(err)
		}
	}
	check(f.startList(ctx))
	plan := fake.Plan(f.version+1, adapterSlots, fake.Key)
	for _, x := range plan["tenants"].([]any) {
		tenant := x.(map[string]any)
		tenant["rate_per_s"], tenant["burst"], tenant["unit"], tenant["uncached_tokens"] = seedRate, seedBurst, "token_streaming", seedCost
	}
	f.store.Put("op/config", plan)
	check(f.startPlains(plainCount))
	silent, err := listenAt(ctx, silentSeeds(f, 0)[0])
	check(err)
	t.Cleanup(func() { _ = silent.Close() })
	for i := range c.entries {
		check(f.startEntry(ctx, i, c.seeds(f, i)))
	}
	return f
}

// putSeedsRight writes the right seeds into the settings of all entries.
func (f *fleet) putSeedsRight(t *testing.T, signal bool) {
	t.Helper()
	for i := range f.entries {
		p := f.process(entryName(i))
		if err := os.WriteFile(p.settings, []byte(f.entryMachine(i, seedsOf(f, len(f.entries))).Settings()), 0o600); err != nil {
			t.Fatal(err)
		}
		if signal {
			p.signal(syscall.SIGHUP)
		}
	}
}

// askLimit has the customer ask for a multiple of its limit, as many requests at each entry, and returns how many were
// served and refused. Connections that a killed entry closes count as neither.
func (f *fleet) askLimit(t *testing.T, times float64, length time.Duration) (served, refused int64) {
	t.Helper()
	const callers = 12
	pause := time.Duration(float64(time.Second) * callers * seedCost / (times * seedRate))
	ctx, cancel := context.WithTimeout(t.Context(), length)
	defer cancel()
	var asking sync.WaitGroup
	var serves, refusals atomic.Int64
	for n := range callers {
		asking.Go(func() {
			caller := &fake.Caller{HTTP: &http.Client{Transport: &http.Transport{}}, Key: fake.Key}
			ticks := time.NewTicker(pause)
			defer ticks.Stop()
			time.Sleep(pause * time.Duration(n) / callers)
			for i := 0; ; i++ {
				select {
				case <-ctx.Done():
					return
				case <-ticks.C:
				}
				o := caller.Send(t.Context(), f.entries[n%len(f.entries)], fake.PathRepeat, fmt.Sprintf("l%d-%d", n, i), "")
				switch o.Status {
				case http.StatusOK:
					serves.Add(1)
				case http.StatusTooManyRequests:
					refusals.Add(1)
				}
			}
		})
	}
	asking.Wait()
	return serves.Load(), refusals.Load()
}

// mostWithin returns the most tokens of requests that ran within any window.
func (f *fleet) mostWithin(window time.Duration) int {
	var runs []time.Time
	for _, w := range f.workers() {
		for _, a := range w.Arrivals() {
			if a.Ran {
				runs = append(runs, a.At)
			}
		}
	}
	slices.SortFunc(runs, time.Time.Compare)
	most, first := 0, 0
	for last, at := range runs {
		for at.Sub(runs[first]) >= window {
			first++
		}
		most = max(most, last-first+1)
	}
	return most * seedCost
}
