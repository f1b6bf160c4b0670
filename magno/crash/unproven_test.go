package crash

import (
	"slices"
	"testing"

	"magnoliastall.example/magno"
)

// endPool records the ends of all upstreams of a pool within a moment, under requests with these parts.
func endPool(s *Suspects, clock *magno.Clock, life int, parts ...uint64) {
	for u := range poolSize {
		clock.Advance(10)
		endAll(s, uint64(100*life+u), request(100*life+u, parts...)...)
	}
}

// unproven returns the parts for which requests with the given ones run one at a time.
func unproven(s *Suspects, parts ...uint64) []uint64 {
	_, list := s.Judge(request(900, parts...)...)
	return list
}

// Guards against a part that ends all upstreams of a pool within a moment, is sent on since the pool may have
// failed, and ends them all again once they are back.
func TestPartThatEndsAWholePoolRunsOneAtATime(t *testing.T) {
	s, clock := newPool()
	s.Clear(request(99, first, rare)...) // the process runs
	clock.Advance(TrialWait)
	s.Clear(request(99, first, rare)...)
	endPool(s, clock, 0, first, fatal)
	if causes, list := s.Judge(request(900, first, fatal)...); len(causes) != 0 || len(list) != 0 {
		t.Errorf("judged before news of completions could arrive: %v, %v", causes, list)
	}
	granted := 0
	for life := 1; life <= 20; life++ {
		clock.Advance(4 * magno.Second) // upstreams are back
		if s.Refused(request(900, first, fatal)...) != 0 {
			break
		}
		if list := unproven(s, first, fatal); !slices.Equal(list, []uint64{fatal}) {
			t.Fatalf("%v run one at a time, want the fatal part", list)
		}
		for range 10 {
			if s.GrantUnproven(fatal) {
				granted++
				endAll(s, uint64(100*life), request(100*life, first, fatal)...)
			}
		}
	}
	if granted > 2 {
		t.Errorf("%d requests were sent, want 2 at most", granted)
	}
	if s.Refused(request(900, first, fatal)...) != fatal {
		t.Error("the part is never refused")
	}
	if causes, list := s.Judge(request(901, first, rare)...); len(causes) != 0 || len(list) != 0 {
		t.Errorf("a sound request with the same first part: %v, %v", causes, list)
	}
}

// Guards against a sound part that is held back for long since its upstreams failed together.
func TestSoundPartIsServedAfterItsPoolFailed(t *testing.T) {
	s, clock := newPool()
	s.TrialDue(rare) // the process runs
	clock.Advance(TrialWait)
	endPool(s, clock, 0, rare)
	clock.Advance(doubtDelay)
	if list := unproven(s, rare); !slices.Equal(list, []uint64{rare}) || !s.GrantUnproven(rare) {
		t.Fatalf("%v run one at a time, want the part, and one granted", list)
	}
	s.Clear(request(900, rare)...)
	if causes, list := s.Judge(request(901, rare)...); len(causes) != 0 || len(list) != 0 {
		t.Errorf("after one completed: %v, %v", causes, list)
	}
	clock.Advance(partClearTime + 1)
	endPool(s, clock, 1, rare)
	clock.Advance(doubtDelay)
	if !s.GrantUnproven(rare) {
		t.Error("none is granted after the pool failed again")
	}
}

// Guards against requests with a fatal part that are sent again and again because the end of an upstream
// isn't recognised, and against a sound one that is never sent again because two callers left.
func TestGrantsWithoutAnOutcomeAreFew(t *testing.T) {
	s, clock := newPool()
	s.TrialDue(fatal)
	clock.Advance(TrialWait)
	endPool(s, clock, 0, fatal)
	granted := 0
	for range 20 * 60 {
		clock.Advance(magno.Second)
		if s.GrantUnproven(fatal) {
			granted++
		}
	}
	if granted != maxUnprovenTrials {
		t.Errorf("%d grants, want %d", granted, maxUnprovenTrials)
	}
}

// Guards against a process that holds a sound part back since nothing with it completed there lately, while
// others know that it does.
func TestCompletionElsewhereEndsTheDoubt(t *testing.T) {
	lone, clock := newPool()
	other := newSuspects(clock, poolSize)
	lone.TrialDue(first)
	other.TrialDue(first)
	clock.Advance(TrialWait)
	other.Clear(request(99, first, rare)...)
	endPool(lone, clock, 0, first)
	clock.Advance(doubtDelay)
	if !slices.Contains(unproven(lone, first, rare), first) {
		t.Fatal("the part is in no doubt")
	}
	if !other.GrantUnproven(first) {
		t.Error("a process that knows of the completion grants none")
	}
	other.Merge(lone.List())
	lone.Merge(other.List())
	if list := unproven(lone, first, rare); len(list) != 0 {
		t.Errorf("still in doubt: %v", list)
	}
}

// Guards against a process that has just started, has forgotten which grants it gave before, and gives as many again,
// and against one that gives none, so that nothing can clear a sound part.
func TestStartedProcessGrantsOne(t *testing.T) {
	old, clock := newPool()
	endPool(old, clock, 0, fatal)
	started := newSuspects(clock, poolSize)
	started.Merge(old.Serious(16))
	if started.GrantUnproven(fatal) {
		t.Error("granted before others could tell what they know")
	}
	granted := 0
	for range (TrialWait - magno.Second) / magno.Second {
		clock.Advance(magno.Second)
		if started.GrantUnproven(fatal) {
			granted++
		}
	}
	if granted != 1 {
		t.Errorf("%d grants in the first while, want one", granted)
	}
}

// Guards against a request that ends upstreams of a pool that fails by itself all the while, and is sent on for as
// long as that does.
func TestRequestInAFailingPoolRunsOneAtATime(t *testing.T) {
	const size = 4
	clock := magno.NewClock(magno.Hour)
	s := newSuspects(clock, size)
	s.TrialDue(1)
	clock.Advance(TrialWait)
	cause := RequestPrint(1)
	upstream, sent := uint64(0), 0
	end := func(prints ...uint64) {
		upstream++
		endAll(s, upstream, prints...)
	}
	for n := range 100 {
		for k := range size { // the pool fails, each time under other requests
			end(RequestPrint(uint64(1000 + size*n + k)))
		}
		refused, unproven := s.Judge(cause)
		if len(refused) == 0 && (len(unproven) == 0 || s.GrantUnproven(cause)) {
			sent++
			end(cause)
		}
		clock.Advance(magno.Second)
	}
	if most := refuseEnds + maxUnprovenTrials; sent > most {
		t.Errorf("sent %d times, want %d at most", sent, most)
	}
	sound := RequestPrint(2)
	for range refuseEnds {
		end(sound)
		for k := range size {
			end(RequestPrint(uint64(5000 + k)))
		}
	}
	clock.Advance(doubtDelay)
	if refused, unproven := s.Judge(sound); len(refused) != 0 || len(unproven) != 1 || !s.GrantUnproven(sound) {
		t.Errorf("a sound request is refused (%v) or not granted (%v)", refused, unproven)
	}
	s.Clear(sound)
	if _, unproven := s.Judge(sound); len(unproven) != 0 {
		t.Error("a sound request is held back after it has completed")
	}
}

// Guards against all requests that share a sound part being refused for long, where so many upstreams ended that it was
// taken for the cause.
func TestFirstTrialOfAPartComesSoon(t *testing.T) {
	s, clock := newPool()
	s.TrialDue(first)
	for n := range partRefuseEnds + 2 {
		clock.Advance(momentGap)
		endAll(s, uint64(n), request(n, first)...)
	}
	if s.Refused(request(9, first)...) != first || s.TrialDue(first) {
		t.Fatal("the part isn't refused, or tried at once")
	}
	clock.Advance(partTrialWait)
	if !s.TrialDue(first) || !s.GrantTrial(first) || s.GrantTrial(first) {
		t.Error("not tried once, and only once, when upstreams are back")
	}
	s.Clear(request(9, first)...)
	if s.Refused(request(10, first)...) != 0 {
		t.Error("refused after its trial completed")
	}
}
