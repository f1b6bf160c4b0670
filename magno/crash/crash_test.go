package crash

import (
	"testing"

	"magnoliastall.example/magno"
)

const pool = 9

func newSuspects(clock *magno.Clock, size int) *Suspects {
	return &Suspects{Clock: clock, PoolSize: func(uint64) int { return size }}
}

// endAll records the end of an upstream under requests.
func endAll(s *Suspects, upstream uint64, fingerprints ...uint64) {
	for _, f := range fingerprints {
		s.RecordEnd(f, magno.UpstreamEnd{Upstream: upstream, Pool: pool})
	}
}

// Guards against a request that ends each upstream on which it runs. Requests that ran beside it are
// suspects too and must be cleared; it must be refused after the third end, whichever process saw
// that.
func TestCrashingRequestIsIdentified(t *testing.T) {
	clock := magno.NewClock(1_000_000)
	local, peer := newSuspects(clock, 4), newSuspects(clock, 4)
	endAll(local, 1, 1, 2, 3, 0)
	peer.Merge(local.List())
	for _, fingerprint := range []uint64{1, 2, 3} {
		if !peer.MustRunAlone(fingerprint) || peer.MustRefuse(fingerprint) {
			t.Fatalf("fingerprint %d isn't a suspect", fingerprint)
		}
	}
	clock.Advance(10)
	peer.Clear(1)
	peer.Clear(2)
	endAll(peer, 2, 3)
	endAll(local, 3, 3)
	if local.MustRefuse(3) || peer.MustRefuse(3) {
		t.Fatal("refused after two ends")
	}
	local.Merge(peer.List())
	if local.MustRunAlone(1) || local.MustRunAlone(2) || !local.MustRefuse(3) || local.MustRunAlone(0) {
		t.Fatalf("got %+v", local.List())
	}
	clock.Advance(Retention + 1)
	if local.MustRunAlone(3) || len(local.List()) != 0 {
		t.Fatal("a record did not expire")
	}
}

// Guards against counting one end several times because several processes, or several copies of the
// request, saw it, and against an order of merges that changes the result.
func TestOneEndCountsOnce(t *testing.T) {
	clock := magno.NewClock(1_000_000)
	a, b, c := newSuspects(clock, 4), newSuspects(clock, 4), newSuspects(clock, 4)
	for range 3 {
		endAll(a, 1, 7)
		endAll(b, 1, 7)
	}
	endAll(b, 2, 7)
	c.Merge(b.List())
	c.Merge(a.List())
	c.Merge(b.List())
	if n := c.Count(7); n != 2 {
		t.Errorf("%d ends, want 2", n)
	}
	a.Merge(c.List())
	a.Clear(7)
	stale := b.List()
	b.Merge(a.List())
	b.Merge(stale)
	if n := b.Count(7); n != 0 {
		t.Errorf("%d ends after the request completed elsewhere, want 0", n)
	}
}

// Guards against refusing a request for good, or at all, because upstreams ended by themselves while
// it ran, and against sparing the one that ends them.
func TestRequestThatRanByChanceIsNotRefused(t *testing.T) {
	const sound, cause, neighbour = 1, 2, 3
	for _, c := range []struct {
		name  string
		play  func(s *Suspects)
		sound bool
		cause bool
	}{
		{name: "served between ends", play: func(s *Suspects) {
			for u := range uint64(10) {
				endAll(s, u, sound)
				s.Clear(sound)
			}
		}},
		{name: "beside the cause each time, which has more ends", cause: true, play: func(s *Suspects) {
			for u := range uint64(4) {
				endAll(s, u, cause)
			}
			for u := range uint64(3) {
				endAll(s, u, sound)
			}
		}},
		{name: "all upstreams killed three times", play: func(s *Suspects) {
			for round := range uint64(3) {
				for u := range uint64(4) {
					endAll(s, 10*round+u, 100+10*round+u)
				}
				endAll(s, 10*round, sound)
			}
		}},
		{name: "the cause beside a failure of other upstreams", cause: true, play: func(s *Suspects) {
			endAll(s, 1, cause)
			endAll(s, 20, neighbour)
			endAll(s, 21, neighbour+1)
			endAll(s, 2, cause)
			endAll(s, 3, cause)
		}},
		{name: "two causes at once", cause: true, play: func(s *Suspects) {
			for u := range uint64(4) {
				endAll(s, u, cause)
				endAll(s, 30+u, neighbour)
			}
		}},
		{name: "two causes at once, one of them with two ends so far, beside failures", cause: true, play: func(s *Suspects) {
			for u := range uint64(3) {
				endAll(s, u, cause)
			}
			endAll(s, 30, neighbour)
			endAll(s, 31, neighbour)
			endAll(s, 40, 100)
			endAll(s, 41, 101)
		}},
		{name: "the cause always beside another", cause: true, sound: true, play: func(s *Suspects) {
			for u := range uint64(4) {
				endAll(s, u, cause, sound)
			}
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newSuspects(magno.NewClock(1_000_000), 4)
			c.play(s)
			if got := s.MustRefuse(sound); got != c.sound {
				t.Errorf("the request is refused: %v, want %v", got, c.sound)
			}
			if got := s.MustRefuse(cause); got != c.cause {
				t.Errorf("the cause is refused: %v, want %v", got, c.cause)
			}
		})
	}
}

// Guards against holding back a sound request because the completion between two ends is known later
// than these.
func TestHoldWaitsForNewsOfACompletion(t *testing.T) {
	clock := magno.NewClock(1_000_000)
	s, other := newSuspects(clock, 4), newSuspects(clock, 4)
	s.HoldEnds = 2
	if s.Unsettled(7) != 0 {
		t.Error("waits without any end")
	}
	endAll(s, 1, 7)
	other.Merge(s.List())
	clock.Advance(10)
	other.Clear(7)
	clock.Advance(10)
	endAll(s, 2, 7)
	if wait := s.Unsettled(7); !s.MustRefuse(7) || wait != settleTime {
		t.Errorf("waits %d ms after two ends, want %d", wait, settleTime)
	}
	clock.Advance(50)
	s.Merge(other.List())
	if s.MustRefuse(7) || s.Unsettled(7) != 0 {
		t.Error("held back though it completed between the ends")
	}
	endAll(s, 3, 7)
	clock.Advance(settleTime)
	if !s.MustRefuse(7) || s.Unsettled(7) != 0 {
		t.Error("not held back once no completion can be on its way")
	}
}

// Guards against a request that takes one upstream after the other before those are back, and against
// refusing for good what may have been there by chance twice.
func TestRequestIsHeldBackAfterTheSecondEnd(t *testing.T) {
	clock := magno.NewClock(1_000_000)
	s := newSuspects(clock, 4)
	s.HoldEnds = 2
	endAll(s, 1, 7)
	if s.MustRefuse(7) {
		t.Error("held back after one end")
	}
	endAll(s, 2, 7)
	if !s.MustRefuse(7) {
		t.Error("sent on right after two ends")
	}
	clock.Advance(holdTime)
	if s.MustRefuse(7) {
		t.Error("refused for good after two ends")
	}
	endAll(s, 3, 7)
	clock.Advance(10 * holdTime)
	if !s.MustRefuse(7) {
		t.Error("sent on after three ends")
	}
	s.Clear(7)
	if s.MustRefuse(7) {
		t.Error("refused after it completed")
	}
}

// Guards against holding ends against a request that became known only after it completed, here or
// at another process.
func TestEndsKnownAfterACompletionAreCleared(t *testing.T) {
	clock := magno.NewClock(1_000_000)
	a, b := newSuspects(clock, 4), newSuspects(clock, 4)
	for u := range uint64(5) {
		endedAt := clock.Now()
		clock.Advance(50)
		b.Clear(7)
		clock.Advance(2000)
		a.RecordEnd(7, magno.UpstreamEnd{Upstream: u, Pool: pool, Age: clock.Now() - endedAt})
		b.Merge(a.List())
		a.Merge(b.List())
	}
	if n := a.Count(7) + b.Count(7); n != 0 {
		t.Errorf("%d ends, want 0", n)
	}
	a.Clear(7)
	clock.Advance(10)
	endAll(a, 9, 7)
	if n := a.Count(7); n != 1 {
		t.Errorf("%d ends after the completion, want 1", n)
	}
}

// Guards against unbounded memory when many different requests run into crashes, or one into many.
func TestRecordsAreBounded(t *testing.T) {
	s := newSuspects(magno.NewClock(1), 1)
	for i := range 3 * MaxRecords {
		endAll(s, uint64(i), uint64(i+1))
	}
	if n := len(s.List()); n != MaxRecords {
		t.Fatalf("%d records", n)
	}
	for u := range uint64(100) {
		endAll(s, u, 7)
		s.Clear(7)
	}
	endAll(s, 200, 7)
	list := s.List()
	if rec := list[len(list)-1]; len(rec.Ends) > maxEnds || s.Count(7) != 1 {
		t.Errorf("%d ends in a record, %d not cleared", len(rec.Ends), s.Count(7))
	}
}

// Guards against processes that compare equal though one lacks what another knows of a request, and
// against comparing what every crash leaves behind.
func TestDigestTellsMissingRecords(t *testing.T) {
	clock := magno.NewClock(1_000_000)
	a, b := newSuspects(clock, 4), newSuspects(clock, 4)
	endAll(a, 1, 1, 2, 3)
	if a.Digest() != 0 || len(a.Serious(10)) != 0 {
		t.Error("requests with one end are compared")
	}
	endAll(a, 2, 1)
	if a.Digest() == 0 {
		t.Error("a request with two ends isn't compared")
	}
	b.Merge(a.Serious(10))
	if a.Digest() != b.Digest() {
		t.Error("processes with the same records compare different")
	}
	endAll(a, 3, 1)
	if a.Digest() == b.Digest() {
		t.Error("a process that lacks the third end compares equal")
	}
	clock.Advance(Retention + digestTTL)
	if a.Digest() != 0 {
		t.Error("an expired record is compared")
	}
}
