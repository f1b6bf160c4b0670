package sched

import (
	"fmt"
	"testing"

	"magnoliastall.example/magno"
)

// startedWithin counts the jobs that start within a time if there are always some queued.
func startedWithin(s *Sched, clock *magno.Clock, within magno.Millis) int {
	n := 0
	for end := clock.Now() + within; clock.Now() < end; clock.Advance(10) {
		_ = s.Offer(noticeJob(fmt.Sprint(clock.Now()), clock.Now()+magno.Minute))
		for _, o := range s.Next() {
			if o.Kind == magno.OrderStart {
				n++
				s.Done(o.Job.ID, true)
			}
		}
	}
	return n
}

func noticeJob(id string, deadline magno.Millis) magno.Job {
	return magno.Job{ID: id, Customer: "c", Caller: "c", Prompt: 1, Output: 1, Deadline: deadline}
}

func noticeSched() (*Sched, *magno.Clock) {
	clock := magno.NewClock(magno.Hour)
	return &Sched{Clock: clock, Limits: magno.Limits{Batch: 8, Tokens: 8, Step: 5}}, clock
}

// Guards against starting more jobs than the upstream's limit, and against a limit that stays
// after the upstream no longer names it, or has restarted.
func TestLimitOfTheUpstream(t *testing.T) {
	s, clock := noticeSched()
	before := clock.Now()
	clock.Advance(10)
	s.TakeNotice(magno.Notice{Limited: true, Rate: 3}, before)
	if n := startedWithin(s, clock, 4*magno.Second); n < 10 || n > 12 {
		t.Errorf("%d jobs in 4 s at a limit of 3 per second", n)
	}
	s.TakeNotice(magno.Notice{}, before)
	if n := startedWithin(s, clock, magno.Second); n > 4 {
		t.Errorf("an older answer ended the limit: %d jobs in a second", n)
	}
	s.TakeNotice(magno.Notice{}, clock.Now())
	if n := startedWithin(s, clock, magno.Second); n < 50 {
		t.Errorf("%d jobs in the second after the limit ended", n)
	}
	s.TakeNotice(magno.Notice{Limited: true, Rate: 1}, clock.Now())
	s.Reset(magno.UpstreamEnd{})
	if n := startedWithin(s, clock, magno.Second); n < 50 {
		t.Errorf("%d jobs in the second after the upstream restarted", n)
	}
}

// Guards against jobs for an upstream that turned one away and stated for how long, and against
// accepting jobs that can't end in time.
func TestUpstreamThatTurnsJobsAwayIsLeftAlone(t *testing.T) {
	s, clock := noticeSched()
	s.TakeNotice(magno.Notice{RetryAfter: 2000}, clock.Now())
	if wait := s.Backlog().Wait; wait != 2000 {
		t.Errorf("a wait of %d ms is reported, want 2000", wait)
	}
	r := s.Offer(noticeJob("x", clock.Now()+1500))
	if r == nil || r.Kind != magno.KindBusy || r.After != 2000 {
		t.Errorf("a job that can't end in time got %+v", r)
	}
	if n := startedWithin(s, clock, 2000); n > 0 {
		t.Errorf("%d jobs started", n)
	}
	if n := startedWithin(s, clock, 100); n == 0 {
		t.Error("no job started afterwards")
	}
}

// Guards against an upstream that is left alone after its restart, because an answer of before the restart is
// handled after it.
func TestNoticeOfBeforeTheRestartIsVoid(t *testing.T) {
	s, clock := noticeSched()
	sentAt := clock.Now()
	clock.Advance(10)
	s.Reset(magno.UpstreamEnd{})
	s.TakeNotice(magno.Notice{RetryAfter: magno.Minute}, sentAt)
	s.TakeNotice(magno.Notice{Limited: true, Rate: 1}, sentAt)
	if n := startedWithin(s, clock, magno.Second); n < 50 {
		t.Errorf("%d jobs in the second after the upstream restarted", n)
	}
	s.TakeNotice(magno.Notice{RetryAfter: magno.Minute}, clock.Now())
	if n := startedWithin(s, clock, magno.Second); n > 0 {
		t.Errorf("%d jobs while the upstream accepts none", n)
	}
}
