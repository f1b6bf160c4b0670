package sched

import (
	"slices"

	"magnoliastall.example/magno"
	"magnoliastall.example/magno/crash"
)

var _ magno.Tuner = (*Sched)(nil)

// SetClock sets the clock before the first job.
func (s *Sched) SetClock(clock *magno.Clock) { s.Clock = clock }

// SetLimits takes what the upstream states of itself.
func (s *Sched) SetLimits(limits magno.Limits) {
	s.setup()
	limits.Batch = max(limits.Batch, 1)
	s.Limits, s.gate.Limits = limits, limits
	s.former.Batch, s.former.Hold = limits.Batch, s.hold()
	s.slots.Size = limits.Slots
}

// SetTurns tells whether loads wait for turns of the pool's keeper.
func (s *Sched) SetTurns(on bool) { s.Turns = on }

// SetSuspects shares the memory of crash suspects, before the first job.
func (s *Sched) SetSuspects(suspects *crash.Suspects) { s.Suspects = suspects }

// Adopt takes over what the upstream holds. A new agent beside an engine that
// kept running would otherwise believe its slots empty, and each of its loads
// would be refused for want of one; an adapter that has gone would be started
// on for ever, and each start refused.
func (s *Sched) Adopt(held []magno.Ref) {
	s.setup()
	now := s.Clock.Now()
	known := s.slots.Holds()
	for ref, pinned := range known {
		if !pinned && !slices.Contains(held, ref) && s.slots.Lose(ref) {
			s.queue.MarkUnready(ref)
		}
	}
	for _, ref := range held {
		if _, ok := known[ref]; ok || s.slots.Free() <= 0 {
			continue
		}
		s.slots.Begin(ref)
		if s.slots.Loaded(ref, true, now) {
			s.queue.MarkReady(ref)
		}
	}
}
