package sched

import (
	"sort"

	"magnoliastall.example/magno"
	"magnoliastall.example/magno/pace"
)

// Reset records that the upstream ended and restarted empty. It returns the sorted IDs of the
// jobs that were running and are lost; the caller decides what to do with them.
// They become suspects of the end.
func (s *Sched) Reset(ended magno.UpstreamEnd) []string {
	s.setup()
	ids := make([]string, 0, len(s.runs))
	for id, r := range s.runs {
		ids = append(ids, id)
		s.Suspects.RecordEnd(r.job.Fingerprint, ended)
	}
	sort.Strings(ids)
	clear(s.runs)
	s.longRunning, s.prefilling, s.exclusive, s.turnUntil = 0, 0, "", 0
	for ref := range s.slots.Holds() {
		s.queue.MarkUnready(ref)
	}
	s.slots.Reset()
	s.reservedFor = magno.Ref{}
	s.limiter, s.restUntil, s.resetAt = pace.Limiter{}, 0, s.Clock.Now()
	return ids
}

// Backlog reports the current load.
func (s *Sched) Backlog() magno.Backlog {
	s.setup()
	work := s.queue.Tokens()
	for _, r := range s.runs {
		work += max(r.job.Prompt+r.job.Output-r.generated, 0)
	}
	now := s.Clock.Now()
	b := magno.Backlog{
		Wait: max(s.gate.EstimateWait(s.queue.ReadyRun(), s.batcher.FreePlaces(len(s.runs)), magno.Millis(s.meanRun)),
			s.noticeDelay(s.queue.Len()+1, now)),
		Rest:   max(s.restUntil-now, 0),
		Queued: s.queue.Len(), Running: len(s.runs), Work: work,
		Pinned: s.slots.Pinned(), Held: s.slots.Held(),
		Customer: s.queue.Customers(), Waits: s.waitsByCustomer(),
	}
	if s.Limits.Slots > 0 {
		b.Loads = s.queue.Unready()
		b.LoadWait = s.loadWait(magno.Ref{Adapter: "?"}, magno.Millis(s.meanPatience), now) + s.Limits.Load
		b.Warm = s.slots.Warm()
	}
	return b
}

// waitsByCustomer estimates, for each customer with queued jobs, how long one more of
// its jobs would wait for a place.
func (s *Sched) waitsByCustomer() map[string]magno.Millis {
	run := magno.Millis(s.meanRun)
	ahead := s.queue.AheadByCustomer()
	delay := s.noticeDelay(s.queue.Len()+1, s.Clock.Now())
	for name, work := range ahead {
		ahead[name] = max(s.gate.EstimateWait(work, s.batcher.FreePlaces(len(s.runs)), run), delay)
	}
	return ahead
}

// Holds returns the loaded adapters and whether each is pinned.
func (s *Sched) Holds() map[magno.Ref]bool {
	s.setup()
	return s.slots.Holds()
}

var (
	_ magno.Scheduler   = (*Sched)(nil)
	_ magno.TurnTaker   = (*Sched)(nil)
	_ magno.NoticeTaker = (*Sched)(nil)
)
