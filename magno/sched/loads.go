package sched

import (
	"math"

	"magnoliastall.example/magno"
	"magnoliastall.example/magno/share"
)

// evictionLoads is the delay that an eviction causes to jobs queued for the evicted
// adapter, in load times: the adapter's next load and the wait for a turn.
const evictionLoads = 4

// orderLoad orders the pending load with the most harm, or the eviction that makes
// room for it. Only one load or eviction is in progress at a time: a second load
// would share the weight store's bandwidth with the first and delay it.
func (s *Sched) orderLoad(orders []magno.Order, now magno.Millis) []magno.Order {
	want, ok := s.mostHarmful(now)
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
	if s.Turns && now >= s.turnUntil {
		return orders
	}
	if s.slots.Free() <= 0 {
		s.reservedFor = ref
		s.slots.Evict(victim)
		s.queue.MarkUnready(victim)
		return append(orders, magno.Order{Kind: magno.OrderUnload, Ref: victim})
	}
	if s.queue.Queued(s.reservedFor) > 0 && s.slots.Loadable(s.reservedFor, now) {
		ref = s.reservedFor
	}
	s.turnUntil, s.reservedFor = 0, magno.Ref{}
	s.slots.BeginLoad(ref)
	s.loadStarted = now
	s.gate.ObserveLoadStart(now, harm)
	return append(orders, magno.Order{Kind: magno.OrderLoad, Ref: ref})
}

// mostHarmful returns the pending load with the most harm. It returns none while a
// load or eviction is in progress.
func (s *Sched) mostHarmful(now magno.Millis) (share.PendingLoad, bool) {
	if s.slots.InFlight() > 0 || s.queue.Unready() == 0 || s.Limits.Slots <= 0 {
		return share.PendingLoad{}, false
	}
	return s.queue.MostHarmful(now, func(ref magno.Ref) bool { return s.slots.Loadable(ref, now) })
}

// victim returns the adapter to evict for a pending load with the given harm. An
// adapter with queued jobs is evicted only if that causes them less harm, or once
// harm has reached the starvation threshold. Without the threshold, steady demand
// for as many adapters as there are slots would keep all others out forever.
func (s *Sched) victim(now magno.Millis, harm float64) (ref magno.Ref, free, found bool) {
	if harm >= s.Tuning.StarvationHarm {
		harm = math.Inf(1)
	}
	reload := evictionLoads * float64(s.Limits.Load)
	loss := func(held magno.Ref) float64 { return s.queue.HarmRate(held) * reload }
	return s.slots.Victim(now, harm, loss)
}

// drain stops starting jobs of an adapter in use once the harm of another adapter's
// pending load has reached the starvation threshold.
func (s *Sched) drain(victim magno.Ref, harm float64) {
	if harm < s.Tuning.StarvationHarm || s.slots.Draining() {
		return
	}
	s.slots.Drain(victim)
	s.queue.MarkUnready(victim)
}

// undrain lets jobs of the draining adapter start again when no other adapter's
// jobs wait.
func (s *Sched) undrain() {
	if s.slots.InFlight() > 0 || s.queue.Unready() > 1 {
		return
	}
	if back, ok := s.slots.Undrain(); ok {
		s.queue.MarkReady(back)
	}
}

// Want returns the adapter whose pending load has the most harm now, and that harm.
// ok is false when no load is wanted or none could begin: a turn that cannot be
// used would block the weight store for others until it expires.
func (s *Sched) Want() (ref magno.Ref, harm float64, ok bool) {
	s.setup()
	now := s.Clock.Now()
	w, ok := s.mostHarmful(now)
	if ok && s.slots.Free() <= 0 {
		_, ok, _ = s.victim(now, w.Harm)
	}
	return w.Ref, w.Harm, ok
}

// Turn allows one load to be ordered before until.
func (s *Sched) Turn(until magno.Millis) { s.turnUntil = until }

// Loaded reports the end of an ordered load; ok is false if it failed.
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

// Unloaded reports the end of an ordered eviction.
func (s *Sched) Unloaded(ref magno.Ref) {
	s.setup()
	s.slots.Unloaded(ref)
}
