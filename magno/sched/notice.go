package sched

import "magnoliastall.example/magno"

// TakeNotice takes what the upstream stated in an answer to a request that was sent at the given
// time: a limit on requests, and how long it accepts none.
//
// Load pattern: an upstream under stress turns requests away or names a limit far below what its
// places allow. Without this, jobs would be started as places become free, and each one that is
// turned away costs its caller an attempt.
//
// An answer to a request of before the upstream's restart says nothing about it any more.
func (s *Sched) TakeNotice(n magno.Notice, sentAt magno.Millis) {
	if sentAt < s.resetAt {
		return
	}
	now := s.Clock.Now()
	if n.Limited {
		s.limiter.Name(n.Rate, now, now)
	} else {
		s.limiter.End(sentAt, now)
	}
	if n.RetryAfter > 0 {
		s.restUntil = max(s.restUntil, now+n.RetryAfter)
	}
}

// noticeDelay returns the time until the nth job from now may start, as far as the upstream's
// notices are concerned.
func (s *Sched) noticeDelay(n int, now magno.Millis) magno.Millis {
	return max(s.restUntil-now, s.limiter.Delay(n, now), 0)
}

// refuseByNotice refuses a job that can't end before its deadline because of the upstream's
// notices.
func (s *Sched) refuseByNotice(job *magno.Job, run, now magno.Millis) *magno.Refusal {
	delay := s.noticeDelay(s.queue.Len()+1, now)
	if delay == 0 || now+delay+run <= job.Deadline {
		return nil
	}
	return magno.Refuse(magno.KindBusy, "the upstream accepts it in %d ms", delay).WithRetryAfter(delay)
}
