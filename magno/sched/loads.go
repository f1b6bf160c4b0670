package sched

import (
	"math"

	"magnoliastall.example/magno"
	"magnoliastall.example/magno/share"
)

// reloads is what an eviction costs jobs that are queued for the adapter, in
// loads: their own, and the wait for a turn.
const reloads = 4

// loads orders the load whose wait does most harm, or the eviction that makes
// room for it. One load or eviction is in flight at a time: a second would
// share the weight store's speed with the first and delay it.
func (s *Sched) loads(orders []magno.Order, now magno.Millis) []magno.Order {
	want, ok := s.worst(now)
	if !ok {
		s.undrain()
		return orders
	}
	ref, harm := want.Ref, want.Harm
	victim, free, found := s.victim(now, harm)
	if s.slots.Free() <= 0 && !free {
		if found {
			s.drain(victim, harm)
		}
		return orders
	}
	if s.Turns && now >= s.turn {
		return orders
	}
	if s.slots.Free() <= 0 {
		s.room = ref
		s.slots.Evict(victim)
		s.queue.MarkUnready(victim)
		return append(orders, magno.Order{Kind: magno.OrderUnload, Ref: victim})
	}
	if s.queue.Queued(s.room) > 0 && s.slots.Usable(s.room, now) {
		ref = s.room
	}
	s.turn, s.room = 0, magno.Ref{}
	s.slots.Begin(ref)
	s.loadSince = now
	s.gate.Begun(now, harm)
	return append(orders, magno.Order{Kind: magno.OrderLoad, Ref: ref})
}

// worst returns the adapter whose wait for a load does most harm.
func (s *Sched) worst(now magno.Millis) (share.PendingLoad, bool) {
	if s.slots.InFlight() > 0 || s.queue.Unready() == 0 || s.Limits.Slots <= 0 {
		return share.PendingLoad{}, false
	}
	return s.queue.MostHarmful(now, func(ref magno.Ref) bool { return s.slots.Usable(ref, now) })
}

// victim returns what to evict for a wait that does harm. An adapter that
// queued jobs wait for has to go only where that does less harm to them, or
// once the wait has gone on for long. Without the latter, steady demand for as
// many adapters as there are slots would keep every other one out for ever.
func (s *Sched) victim(now magno.Millis, harm float64) (ref magno.Ref, free, found bool) {
	if harm >= s.Tuning.Starve {
		harm = math.Inf(1)
	}
	reload := reloads * float64(s.Limits.Load)
	loss := func(held magno.Ref) float64 { return s.queue.HarmRate(held) * reload }
	return s.slots.Victim(now, harm, loss)
}

// drain stops new jobs of an adapter in use once another one's jobs have
// waited for long.
func (s *Sched) drain(victim magno.Ref, harm float64) {
	if harm < s.Tuning.Starve || s.slots.Draining() {
		return
	}
	s.slots.Drain(victim)
	s.queue.MarkUnready(victim)
}

// undrain takes jobs of a draining adapter again: nothing waits any more.
func (s *Sched) undrain() {
	if s.slots.InFlight() > 0 || s.queue.Unready() > 1 {
		return
	}
	if back, ok := s.slots.Undrain(); ok {
		s.queue.MarkReady(back)
	}
}

// Want tells the adapter whose wait for a load does most harm now, and the
// harm; ok is false when no load is wanted or none could be begun. A turn that
// can't be used would block the weight store for others until it expires.
func (s *Sched) Want() (ref magno.Ref, harm float64, ok bool) {
	s.setup()
	now := s.Clock.Now()
	w, ok := s.worst(now)
	if ok && s.slots.Free() <= 0 {
		_, ok, _ = s.victim(now, w.Harm)
	}
	return w.Ref, w.Harm, ok
}

// Turn allows one load to be ordered until then.
func (s *Sched) Turn(until magno.Millis) { s.turn = until }

// Loaded ends an ordered load; ok is false when it failed.
func (s *Sched) Loaded(ref magno.Ref, ok bool) {
	s.setup()
	now := s.Clock.Now()
	if !s.slots.Loading(ref) {
		return
	}
	if s.slots.Loaded(ref, ok, now) {
		s.queue.MarkReady(ref)
	}
}

// Unloaded ends an ordered eviction.
func (s *Sched) Unloaded(ref magno.Ref) {
	s.setup()
	s.slots.Unloaded(ref)
}
