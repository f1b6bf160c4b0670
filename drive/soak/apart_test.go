package soak

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"

	"magnoliastall.example/platform/fake"
)

const (
	// firstApartNetwork is the network of the first fleet of these tests.
	firstApartNetwork = 150
	// apartTime is for how long a request that ends upstreams is sent, more than fatalDelay past its third end.
	apartTime = 14 * time.Second
)

// startApart starts a fleet whose entries never meet: their seeds are out of date.
func startApart(t *testing.T, size Size) *Soak {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	s := &Soak{Seed: 1, Dir: t.TempDir(), Bin: programDir, Out: io.Discard, Size: size, sent: map[string]*request{}, kinds: map[string]int{}, faults: map[string]int{}, reported: map[string]bool{}}
	f := newFleet(s.Dir, s.Bin, size)
	s.fleet = f
	t.Cleanup(func() {
		cancel()
		f.wait()
	})
	must(t, f.startList(ctx))
	for range f.size.Engines {
		must(t, f.engine(ctx, len(f.engines)+1))
	}
	must(t, f.startPlains(f.size.Plains))
	for i := range f.size.Entries {
		must(t, f.startEntry(ctx, i, goneSeeds(f, i)))
	}
	must(t, f.ready(ctx, fake.PathResume))
	s.started = time.Now()
	return s
}

// Guards against a request that ends upstreams and is sent on by each of several entries that don't know of each other,
// as often as by the whole fleet.
func TestFatalRequestAtEntriesThatNeverMeet(t *testing.T) {
	for i, c := range []struct{ target, adapter string }{
		{fake.PathResume + "fatal-1", "a1"}, {fake.PathRepeat + "fatal-2", ""},
	} {
		t.Run(serviceOf(pathOf(c.target)), func(t *testing.T) {
			t.Parallel()
			s := startApart(t, Size{Entries: 4, Engines: 5, Plains: 5, Network: firstApartNetwork + i})
			s.fleet.fatal.set(c.target, true)
			ctx, cancel := context.WithTimeout(t.Context(), apartTime)
			defer cancel()
			var sending sync.WaitGroup
			for n := range 2 * maxCopies {
				sending.Go(func() {
					rnd := rand.New(rand.NewPCG(s.Seed, uint64(n))) //nolint:gosec // not used as a secret
					s.sendFatal(ctx, c.target, "b", c.adapter, rnd)
				})
			}
			sending.Wait()
			ends := s.fleet.fatal.of(c.target)
			t.Logf("%s ended %d upstreams", c.target, len(ends))
			if len(ends) < fatalEnds {
				t.Error("too few upstreams ended to tell")
			}
			for _, what := range s.observer().checkFatal(s.fleet.fatal, s.fleet.workers()) {
				t.Error(what)
			}
		})
	}
}

// Guards against entries that don't know of each other and each repeat as many requests as a third of the whole fleet
// may.
func TestRetriesOfEntriesThatNeverMeet(t *testing.T) {
	const entries, slack = 8, 24
	s := startApart(t, Size{Entries: entries, Plains: 6, Engines: 1, RetrySlack: slack, Network: firstApartNetwork + 2})
	time.Sleep(retryWindow) // from then on an entry uses its whole part
	end := s.fleet.fail(http.StatusInternalServerError)
	defer end()
	stop := s.sendSteadily(burstPause, fake.PathRepeat, "")
	time.Sleep(retryWindow / 2)
	stop()
	for service, l := range s.retryLoads() {
		t.Logf("%s got %d repeats within %s, allowed %.0f", service, l.repeats, retryWindow, l.allowed)
	}
	for _, what := range s.checkRetries() {
		t.Error(what)
	}
}
