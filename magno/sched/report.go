package sched

import (
	"sort"

	"magnoliastall.example/magno"
)

// Reset tells that the upstream restarted empty. Jobs that ran are gone; their
// IDs are returned in order, and the caller decides what becomes of them. What
// ran is suspected of the crash.
func (s *Sched) Reset() []string {
	s.setup()
	ids := make([]string, 0, len(s.runs))
	prints := make([]uint64, 0, len(s.runs))
	for id, r := range s.runs {
		ids = append(ids, id)
		prints = append(prints, r.job.Print)
	}
	sort.Strings(ids)
	s.Suspects.RecordCrash(prints)
	clear(s.runs)
	s.long, s.reading, s.alone, s.turn = 0, 0, "", 0
	for ref := range s.slots.Holds() {
		s.queue.Sleep(ref)
	}
	s.slots.Reset()
	s.room = magno.Ref{}
	return ids
}

// Backlog describes the present state.
func (s *Sched) Backlog() magno.Backlog {
	s.setup()
	work := s.queue.Tokens()
	for _, r := range s.runs {
		work += max(r.job.Prompt+r.job.Output-r.made, 0)
	}
	b := magno.Backlog{
		Wait:   s.gate.Wait(s.queue.Ready(), s.former.Free(len(s.runs)), magno.Millis(s.mean)),
		Queued: s.queue.Len(), Running: len(s.runs), Work: work,
		Pinned: s.slots.Pinned(), Held: s.slots.Held(),
		Customer: s.queue.Customers(), Waits: s.waits(),
	}
	if s.Limits.Slots > 0 {
		b.Loads = s.queue.Unready()
		b.LoadWait = s.loadWait(magno.Ref{Adapter: "?"}, magno.Millis(s.patience), s.Clock.Now()) + s.Limits.Load
		b.Warm = s.slots.Warm()
	}
	return b
}

// waits estimates for each customer with queued jobs when one more would start.
func (s *Sched) waits() map[string]magno.Millis {
	run := magno.Millis(s.mean)
	ahead := s.queue.Fair()
	for name, work := range ahead {
		ahead[name] = s.gate.Wait(work, s.former.Free(len(s.runs)), run)
	}
	return ahead
}

// Holds lists the adapters in slots and whether each is pinned.
func (s *Sched) Holds() map[magno.Ref]bool {
	s.setup()
	return s.slots.Holds()
}

var (
	_ magno.Scheduler = (*Sched)(nil)
	_ magno.Turner    = (*Sched)(nil)
)
