package place

import "magnoliastall.example/magno"

// drainCost is the cost of a millisecond of waiting for the end of an adapter's jobs,
// in requests of recent demand: a second costs as much as two.
const drainCost = 0.002

// harmCost is the cost of a harm of 1, a whole patience, in requests of recent demand:
// queued jobs are certain, further requests are not.
const harmCost = 50

// minDrain is the least time assumed for the end of an adapter's jobs, since they may
// run over their estimate.
const minDrain = 200 * magno.Millis(1)

// Victim returns the loaded adapter that costs least to evict: the one with the least
// recent demand, and one in use only if its jobs end soon. Adapters whose eviction
// would harm queued jobs by more than gain are skipped; harmOf returns that harm. Free
// is false when jobs still use the adapter, which can then only be drained: choosing
// another one because it happens to be idle would evict the hottest. All slots are
// visited, of which an engine has few.
func (s *Slots) Victim(now magno.Millis, gain float64, harmOf func(magno.Ref) float64) (victim magno.Ref, free, ok bool) {
	var bestScore float64
	for ref, sl := range s.slots {
		if sl.state == draining && sl.pins == 0 {
			return ref, true, true
		}
		if sl.state != loaded {
			continue
		}
		harm := harmOf(ref)
		if harm > 0 && harm > gain {
			continue
		}
		score := s.score(ref, now) + harmCost*harm
		if sl.pins > 0 {
			score += drainCost * float64(max(sl.busyUntil-now, minDrain))
		}
		if !ok || score < bestScore || (score == bestScore && s.evictFirst(ref, victim)) {
			victim, bestScore, ok = ref, score, true
		}
	}
	return victim, ok && s.slots[victim].pins == 0, ok
}

// evictFirst orders adapters of equal cost: the least recently used first, then by
// name, so that a run with one seed gives the same result every time.
func (s *Slots) evictFirst(a, b magno.Ref) bool {
	if s.slots[a].lastUsed != s.slots[b].lastUsed {
		return s.slots[a].lastUsed < s.slots[b].lastUsed
	}
	if a.Adapter != b.Adapter {
		return a.Adapter < b.Adapter
	}
	return a.Version < b.Version
}

// Draining reports whether an adapter is being drained.
func (s *Slots) Draining() bool {
	for _, sl := range s.slots {
		if sl.state == draining {
			return true
		}
	}
	return false
}
