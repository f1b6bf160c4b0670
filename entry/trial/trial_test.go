package trial

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"testing"

	"magnoliastall.example/magno"
	"magnoliastall.example/magno/crash"
	"magnoliastall.example/magno/wire"
)

// suspect is the fingerprint of a request that is refused.
const suspect = 7

// startManager returns the manager of an entry that refuses the request suspect.
func startManager(t *testing.T, clock *magno.Clock) *Manager {
	t.Helper()
	mesh := &wire.Mesh{Listen: "127.0.0.1:0"}
	if err := mesh.Open(); err != nil {
		t.Fatal(err)
	}
	m := &Manager{
		Self: mesh.Addr(), Mesh: mesh, Clock: clock, Log: slog.New(slog.DiscardHandler),
		Suspects: &crash.Suspects{Clock: clock, PoolSize: func(uint64) int { return 4 }},
	}
	for u := range uint64(3) {
		m.Suspects.RecordEnd(suspect, magno.UpstreamEnd{Upstream: u + 1, Pool: 1})
	}
	m.Open()
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- mesh.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-ended; err != nil {
			t.Error(err)
		}
	})
	return m
}

// Guards against copies of a request that reach several entries at once and are tried by each: a
// request that ends upstreams would end one for each entry.
func TestCopiesAtAllEntriesAreTriedOnce(t *testing.T) {
	clock := magno.NewClock(magno.Hour)
	var all []*Manager
	for range 3 {
		all = append(all, startManager(t, clock))
	}
	for _, m := range all {
		m.Homes = func(string) []string { return []string{all[0].Self, all[1].Self} }
	}
	ask := func() int {
		var granted atomic.Int32
		var asking sync.WaitGroup
		for _, m := range all {
			for range 10 {
				asking.Go(func() {
					if m.Ask(context.Background(), []uint64{suspect}) {
						granted.Add(1)
					}
				})
			}
		}
		asking.Wait()
		return int(granted.Load())
	}
	if n := ask(); n != 0 {
		t.Errorf("%d trials right after the ends", n)
	}
	clock.Advance(crash.TrialWait)
	if n := ask(); n != 1 {
		t.Errorf("%d trials, want one", n)
	}
	clock.Advance(askInterval)
	if n := ask(); n != 0 {
		t.Errorf("%d trials while the first goes on", n)
	}
}

// Guards against an entry that decides by itself while the home can't be reached.
func TestNoTrialWithoutTheHome(t *testing.T) {
	clock := magno.NewClock(magno.Hour)
	m := startManager(t, clock)
	m.Homes = func(string) []string { return []string{"127.0.0.1:1", m.Self} }
	clock.Advance(crash.TrialWait)
	if m.Ask(context.Background(), []uint64{suspect}) {
		t.Error("tried without the home")
	}
}

// Guards against requests with a part that may end upstreams which many entries send at the same time.
func TestOneRequestInDoubtRunsForAllEntries(t *testing.T) {
	clock := magno.NewClock(magno.Hour)
	part := crash.PartPrint("dead")
	var all []*Manager
	for range 3 {
		m := startManager(t, clock)
		for u := range uint64(6) {
			m.Suspects.RecordEnd(part, magno.UpstreamEnd{Upstream: u + 1, Pool: 1})
		}
		all = append(all, m)
	}
	for _, m := range all {
		m.Homes = func(string) []string { return []string{all[0].Self} }
	}
	clock.Advance(crash.TrialWait)
	var granted atomic.Int32
	var asking sync.WaitGroup
	for _, m := range all {
		for range 10 {
			asking.Go(func() {
				if m.MayAsk([]uint64{part}) && m.AskUnproven(context.Background(), []uint64{part}) {
					granted.Add(1)
				}
			})
		}
	}
	asking.Wait()
	if n := granted.Load(); n != 1 {
		t.Errorf("%d requests are granted, want one", n)
	}
	if all[1].MayAsk([]uint64{part}) {
		t.Error("the home is asked again at once")
	}
}

// Guards against the trial of a part that sound requests share being used up by one that also has a part which ends
// upstreams: the home of that grants none, so the other isn't asked.
func TestTrialOfASharedPartIsLeftToSoundRequests(t *testing.T) {
	clock := magno.NewClock(magno.Hour)
	shared, fatal := crash.PartPrint("shared"), crash.PartPrint("dead")
	m := startManager(t, clock)
	m.Homes = func(string) []string { return []string{m.Self} }
	for u := range uint64(8) {
		m.Suspects.RecordEnd(shared, magno.UpstreamEnd{Upstream: u + 1, Pool: 1})
		m.Suspects.RecordEnd(fatal, magno.UpstreamEnd{Upstream: u + 1, Pool: 1})
		clock.Advance(magno.Second)
	}
	clock.Advance(crash.TrialWait)
	if !m.Ask(context.Background(), []uint64{fatal}) {
		t.Fatal("the fatal part is never tried")
	}
	clock.Advance(askInterval)
	if m.Ask(context.Background(), []uint64{shared, fatal}) {
		t.Error("tried twice in a row")
	}
	if !m.Ask(context.Background(), []uint64{shared}) {
		t.Error("the trial of the shared part is used up")
	}
}
