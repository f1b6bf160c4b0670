package peers

import (
	"context"
	"encoding/json"
	"log/slog"
	"sync"
	"testing"
	"time"

	"magnoliastall.example/magno"
	"magnoliastall.example/magno/crash"
	"magnoliastall.example/magno/view"
	"magnoliastall.example/magno/wire"
)

// source is a peer that answers items requests from its book, and counts them. It sends no hellos.
type source struct {
	addr string
	book *view.Store
	stop func()

	mu sync.Mutex
	// asked counts the requests. Of those in progress at the same time, most is the highest number.
	asked, running, most int
	// mute makes it answer no request.
	mute bool
}

func startSource(t *testing.T, revision magno.Revision) *source {
	t.Helper()
	s := &source{book: &view.Store{Clock: magno.NewMonotonic()}}
	s.book.ApplyRead([]magno.Change{plan(int64(revision), revision)}, revision, true)
	mesh := &wire.Mesh{Listen: "127.0.0.1:0"}
	mesh.Handle(MethodItems, func(ctx context.Context, _ *wire.Peer, params json.RawMessage) (any, error) {
		var req Since
		if err := json.Unmarshal(params, &req); err != nil {
			return nil, err
		}
		s.mu.Lock()
		s.asked++
		s.running++
		s.most = max(s.most, s.running)
		mute := s.mute
		s.mu.Unlock()
		if mute {
			<-ctx.Done()
		}
		payload, err := json.Marshal(s.book.Answer(req.Ask, req.Revision))
		s.mu.Lock()
		s.running--
		s.mu.Unlock()
		return Update{Payload: payload}, err
	})
	if err := mesh.Open(); err != nil {
		t.Fatal(err)
	}
	s.addr = mesh.Addr()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- mesh.Run(ctx) }()
	s.stop = sync.OnceFunc(func() {
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	t.Cleanup(s.stop)
	return s
}

func (s *source) counts() (asked, most int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.asked, s.most
}

// startFetcher starts an entry at revision 1 whose clock is driven by the test, so that it sends no
// hellos. It has met the sources, which had the given revisions by their last hellos.
func startFetcher(t *testing.T, sources []*source, revisions []magno.Revision) (*Peers, *magno.Clock) {
	t.Helper()
	clock := magno.NewClock(magno.Hour)
	p := &Peers{
		Self: "e", Addr: "127.0.0.1:1", Mesh: &wire.Mesh{}, Book: &view.Store{Clock: clock},
		Suspects: &crash.Suspects{Clock: clock}, Clock: clock, Log: slog.New(slog.DiscardHandler),
	}
	p.Book.ApplyRead([]magno.Change{plan(1, 1)}, 1, true)
	p.Open()
	for i, s := range sources {
		// The reader's order is that of the sources.
		h := Hello{Name: s.addr, Addr: s.addr, LinkMbps: float64(100 - i), Digest: view.Digest{Revision: revisions[i]}}
		p.known[s.addr] = &peer{hello: h, rank: h.rank(), alive: true, seenAt: clock.Now(), askedAt: clock.Now()}
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 2)
	go func() { done <- p.Run(ctx) }()
	go func() { done <- p.Mesh.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		for range 2 {
			if err := <-done; err != nil {
				t.Error(err)
			}
		}
	})
	return p, clock
}

// current reports whether an entry has the newest revision, 9.
func current(p *Peers) func() bool {
	return func() bool { return p.Book.Current().Revision >= 9 }
}

func idle(p *Peers) func() bool {
	return func() bool {
		p.mu.Lock()
		defer p.mu.Unlock()
		return !p.fetching && len(p.fetchWakeup) == 0
	}
}

// Guards against a fetch per request: after a loss of power hundreds of requests learn of the same
// revision within milliseconds. One fetch must serve them, and none is made for a known revision.
func TestOneFetchServesAllRequestsForARevision(t *testing.T) {
	s := startSource(t, 9)
	p, _ := startFetcher(t, []*source{s}, []magno.Revision{9})
	var wg sync.WaitGroup
	for range 200 {
		wg.Go(func() {
			for i := range 5 {
				p.FetchRevision(magno.Revision(5 + i))
			}
		})
	}
	wg.Wait()
	waitFor(t, "the revision", current(p))
	waitFor(t, "the end of fetches", idle(p))
	p.FetchRevision(9)
	waitFor(t, "the end of fetches", idle(p))
	asked, most := s.counts()
	if asked != 1 || most != 1 {
		t.Errorf("%d fetches, %d at a time, want 1", asked, most)
	}
}

// Guards against a fetch that ends with the peer it asked: the peer is gone, or hangs, or hasn't
// heard of the revision yet. Another one must be asked in time.
func TestRevisionIsFetchedFromAnotherPeer(t *testing.T) {
	for name, disable := range map[string]func(*source){
		"gone":   func(s *source) { s.stop() },
		"hangs":  func(s *source) { s.mute = true },
		"behind": func(*source) {},
	} {
		t.Run(name, func(t *testing.T) {
			revision := magno.Revision(9)
			if name == "behind" {
				revision = 1
			}
			bad, good := startSource(t, revision), startSource(t, 9)
			disable(bad)
			p, _ := startFetcher(t, []*source{bad, good}, []magno.Revision{1, 1})
			p.FetchRevision(9)
			waitFor(t, "the revision", current(p))
			if asked, _ := good.counts(); asked != 1 {
				t.Errorf("%d fetches from the other peer, want 1", asked)
			}
		})
	}
}

// Guards against asking peers that can't have the revision: one that has it by its hello comes first,
// whatever its rank.
func TestPeerThatHasTheRevisionIsAskedFirst(t *testing.T) {
	behind, has := startSource(t, 1), startSource(t, 9)
	p, _ := startFetcher(t, []*source{behind, has}, []magno.Revision{1, 9})
	p.FetchRevision(9)
	waitFor(t, "the revision", current(p))
	if asked, _ := behind.counts(); asked != 0 {
		t.Errorf("%d fetches from the peer that is behind, want none", asked)
	}
}

// Guards against a stream of fetches for a revision that no peer has, as while the list is away and
// the entry that read it is gone: each refused request would cause one at each of several peers.
func TestRevisionThatNoPeerHasIsAskedForSeldom(t *testing.T) {
	a, b := startSource(t, 1), startSource(t, 1)
	p, clock := startFetcher(t, []*source{a, b}, []magno.Revision{1, 1})
	rounds := func() int {
		n, _ := a.counts()
		return n
	}
	p.FetchRevision(9)
	waitFor(t, "the first round", func() bool { n, _ := b.counts(); return n == 1 && idle(p)() })
	for range 50 {
		p.FetchRevision(9)
	}
	time.Sleep(20 * time.Millisecond) // Run would have fetched within this time
	if n := rounds(); n != 1 {
		t.Fatalf("%d rounds of fetches, want 1", n)
	}
	clock.Advance(helloInterval)
	p.FetchRevision(9)
	waitFor(t, "the second round", func() bool { return rounds() == 2 })
	waitFor(t, "the end of fetches", idle(p))
	// A higher revision is asked for at once.
	p.FetchRevision(10)
	waitFor(t, "the third round", func() bool { return rounds() == 3 })
}

// Guards against a fetch that is lost because another one is in progress: the end of that one must
// start it.
func TestFetchWaitsForTheOneInProgress(t *testing.T) {
	s := startSource(t, 9)
	p, _ := startFetcher(t, []*source{s}, []magno.Revision{9})
	if !p.claimFetch() {
		t.Fatal("a fetch is in progress")
	}
	p.FetchRevision(9)
	waitFor(t, "the wakeup to be taken", func() bool { return len(p.fetchWakeup) == 0 })
	p.releaseFetch()
	waitFor(t, "the revision", current(p))
	if asked, _ := s.counts(); asked != 1 {
		t.Errorf("%d fetches, want 1", asked)
	}
}
