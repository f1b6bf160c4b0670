package crash

import (
	"fmt"
	"testing"

	"magnoliastall.example/magno"
)

// Parts of prompts in the tests.
var first, fatal, rare, mate = PartPrint("first"), PartPrint("fatal"), PartPrint("rare"), PartPrint("mate")

const poolSize = 18

// newPool returns the records of a process in front of a pool of poolSize upstreams, and their clock.
func newPool() (*Suspects, *magno.Clock) {
	clock := magno.NewClock(magno.Hour)
	return newSuspects(clock, poolSize), clock
}

// request is the nth request with these parts. No two are alike.
func request(n int, parts ...uint64) []uint64 {
	return append([]uint64{RequestPrint(uint64(1000 + n))}, parts...)
}

// Guards against a part that ends upstreams in requests no two of which are alike, and against refusing
// sound requests for the parts that they have in common with it.
func TestPartThatEndsUpstreams(t *testing.T) {
	for _, c := range []struct {
		name  string
		play  func(s *Suspects, clock *magno.Clock)
		fatal bool
		sound bool
	}{
		{name: "beside sound requests that complete", fatal: true, play: func(s *Suspects, clock *magno.Clock) {
			for n := range partRefuseEnds {
				s.Clear(request(100+n, first)...)
				clock.Advance(momentGap)
				endAll(s, uint64(n), request(n, first, fatal)...)
				endAll(s, uint64(n), request(200+n, first)...)
			}
		}},
		{name: "too few ends", play: func(s *Suspects, clock *magno.Clock) {
			for n := range partRefuseEnds - 1 {
				clock.Advance(momentGap)
				endAll(s, uint64(n), request(n, first, fatal)...)
			}
		}},
		{name: "both parts beside a request that ends upstreams, of which there is no news yet", play: func(s *Suspects, clock *magno.Clock) {
			for n := range refuseEnds {
				clock.Advance(momentGap)
				endAll(s, uint64(n), request(n, first, fatal)...)
			}
		}},
		{name: "many upstreams fail at once, and nothing completed lately here", play: func(s *Suspects, clock *magno.Clock) {
			for n := range poolSize / 2 {
				clock.Advance(10)
				endAll(s, uint64(n), request(n, first, fatal)...)
			}
		}},
		{name: "no sound request ever came", fatal: true, play: func(s *Suspects, clock *magno.Clock) {
			for n := range 5 {
				clock.Advance(momentGap)
				endAll(s, uint64(n), request(n, first, fatal)...)
			}
		}},
		{name: "the first part is the one", fatal: true, sound: true, play: func(s *Suspects, clock *magno.Clock) {
			for n := range partRefuseEnds {
				clock.Advance(momentGap)
				endAll(s, uint64(n), request(n, first, PartPrint(fmt.Sprint(n)))...)
				endAll(s, uint64(10+n), request(10+n, first, fatal)...)
			}
		}},
		{name: "all upstreams killed at once, three times, nothing completes between", play: func(s *Suspects, clock *magno.Clock) {
			s.Clear(request(99, first)...)
			for round := range 3 {
				clock.Advance(5000)
				for u := range poolSize {
					parts := request(100*round+u, first)
					if u < 2 {
						parts = append(parts, fatal)
					}
					endAll(s, uint64(100*round+u), parts...)
					endAll(s, uint64(100*round+u), request(50+100*round+u, mate)...)
				}
			}
		}},
		{name: "upstreams end by themselves, each request of the part completes elsewhere", play: func(s *Suspects, clock *magno.Clock) {
			for n := range 10 {
				clock.Advance(500)
				endAll(s, uint64(n), request(n, first, fatal)...)
				s.Clear(request(n, first, fatal)...)
			}
		}},
		{name: "it completed until a while ago", fatal: true, play: func(s *Suspects, clock *magno.Clock) {
			s.Clear(request(99, first, fatal)...)
			clock.Advance(partClearTime + 1)
			for n := range partRefuseEnds {
				clock.Advance(momentGap)
				s.Clear(request(50+n, first)...)
				endAll(s, uint64(n), request(n, first, fatal)...)
			}
		}},
		{name: "beside another one, and ends of a failing pool", fatal: true, play: func(s *Suspects, clock *magno.Clock) {
			s.Clear(request(99, first)...)
			for n := range 4 {
				clock.Advance(momentGap)
				endAll(s, uint64(n), request(n, first, fatal)...)
				endAll(s, uint64(20+n), request(20+n, first, mate)...)
				endAll(s, uint64(40+n), request(40+n, first)...)
			}
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			s, clock := newPool()
			c.play(s, clock)
			if got := s.Refused(request(900, first, fatal)...) != 0; got != c.fatal {
				t.Errorf("a request with the part is refused: %v, want %v", got, c.fatal)
			}
			if got := s.Refused(request(901, first, rare)...) != 0; got != c.sound {
				t.Errorf("a sound request with the same first part is refused: %v, want %v", got, c.sound)
			}
		})
	}
}

// Guards against a process that has just started, learns of the ends from another one, and refuses all
// requests that have the first part in common.
func TestStartedProcessTakesOverSuspectParts(t *testing.T) {
	old, clock := newPool()
	started := newSuspects(clock, poolSize)
	for n := range 4 {
		clock.Advance(momentGap)
		endAll(old, uint64(n), request(n, first, fatal)...) // nothing completed at this process
	}
	started.Merge(old.Serious(16))
	if started.Refused(request(9, first, fatal)...) == 0 {
		t.Error("a request with the part is sent on")
	}
	if started.Refused(request(10, first, rare)...) != 0 {
		t.Error("a sound request with the same first part is refused")
	}
	old.Clear(request(11, first, rare)...)
	started.Merge(old.List())
	if n := started.Count(first); n != 0 {
		t.Errorf("%d ends under the first part, which has completed elsewhere", n)
	}
}

// Guards against records of parts that all requests share: they would be most of what processes tell each
// other after a crash.
func TestSharedPartLeavesNoRecord(t *testing.T) {
	s, clock := newPool()
	for n := range 50 {
		s.Clear(request(n, first)...)
		clock.Advance(partClearTime - 1)
		endAll(s, uint64(n), request(100+n, first)...)
	}
	if ends := s.Ends(first); len(ends) != 0 {
		t.Errorf("%d ends recorded", len(ends))
	}
}

// Guards against trials of a part that end one upstream after the other: later than the fifth end, few
// requests with it may be sent, over all processes.
func TestTrialsOfAPartAreFew(t *testing.T) {
	for _, ends := range []int{partRefuseEnds, 5, 8} {
		s, clock := newPool()
		s.TrialDue(fatal) // the process starts
		for n := range ends {
			clock.Advance(momentGap)
			endAll(s, uint64(n), request(n, first, fatal)...)
		}
		late := 0
		for n := range 30 * 60 {
			clock.Advance(magno.Second)
			if !s.TrialDue(fatal) || !s.GrantTrial(fatal) {
				continue
			}
			if s.Count(fatal) >= 5 {
				late++
			}
			endAll(s, uint64(100+n), request(100+n, first, fatal)...)
		}
		if late > 2 {
			t.Errorf("%d ends: %d trials after the fifth, want 2 at most", ends, late)
		}
		if s.Refused(request(9, first, fatal)...) == 0 {
			t.Errorf("%d ends: sent on after its trials", ends)
		}
	}
	s, clock := newPool()
	s.TrialDue(fatal)
	for n := range 6 {
		endAll(s, uint64(n), request(n, first, fatal)...)
	}
	clock.Advance(magno.Minute * 2)
	if !s.GrantTrial(fatal) {
		t.Error("a part that was refused by chance is never tried")
	}
}

// Guards against losing the news of a part among the many requests that ran beside it.
func TestNewsOfPartsComesBeforeThatOfRequests(t *testing.T) {
	s, clock := newPool()
	since := clock.Now()
	clock.Advance(1)
	for n := range 3 {
		endAll(s, uint64(n), fatal)
	}
	for n := range 200 {
		endAll(s, 2, request(n)...)
	}
	list := s.UpdatedSince(since, 64)
	if last := list[len(list)-1]; len(list) != 64 || last.Fingerprint != fatal || len(last.Ends) != 3 {
		t.Errorf("got %d records, the last %+v", len(list), last)
	}
}
