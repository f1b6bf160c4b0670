package sched

import (
	"slices"

	"magnoliastall.example/magno"
	"magnoliastall.example/magno/crash"
)

var _ magno.Configurable = (*Sched)(nil)

// SetClock sets the clock. It must be called before the first job.
func (s *Sched) SetClock(clock *magno.Clock) { s.Clock = clock }

// SetLimits replaces the limits that the upstream reports.
func (s *Sched) SetLimits(limits magno.Limits) {
	s.setup()
	limits.Batch = max(limits.Batch, 1)
	s.Limits, s.gate.Limits = limits, limits
	s.batcher.Batch, s.batcher.Hold = limits.Batch, s.batchHold()
	s.slots.Size = limits.Slots
}

// SetTurns sets whether a load needs a turn, granted by the pool's keeper.
func (s *Sched) SetTurns(on bool) { s.Turns = on }

// SetSuspects sets the shared set of crash suspects. It must be called before the
// first job.
func (s *Sched) SetSuspects(suspects *crash.Suspects) { s.Suspects = suspects }

// Adopt sets the slots to the adapters that the upstream actually holds. After a
// restart of the agent alone, its slots would otherwise look empty and the engine
// would refuse every load for lack of a free one. Jobs of an adapter that is no
// longer loaded would be started again and again, and refused each time.
func (s *Sched) Adopt(held []magno.Ref) {
	s.setup()
	now := s.Clock.Now()
	known := s.slots.Holds()
	for ref, pinned := range known {
		if !pinned && !slices.Contains(held, ref) && s.slots.Forget(ref) {
			s.queue.MarkUnready(ref)
		}
	}
	for _, ref := range held {
		if _, ok := known[ref]; ok || s.slots.Free() <= 0 {
			continue
		}
		s.slots.BeginLoad(ref)
		if s.slots.Loaded(ref, true, now) {
			s.queue.MarkReady(ref)
		}
	}
}
