package gate

import (
	"math"
	"slices"

	"magnoliastall.example/magno"
)

// rank is how many other adapters the engine held since it held this one,
// mostKnown when it isn't known to have.
func (s *shelf) rank(name string) int {
	if rank, ok := s.ranks[name]; ok {
		return rank
	}
	return mostKnown
}

// rankAll ranks what the engine held, once for each report: a wait looks at the ranks
// of all that is waited for, several times for each request.
func (s *shelf) rankAll() {
	names := s.known.Keys() // the oldest first
	s.ranks = make(map[string]int, len(names))
	for i, name := range names {
		s.ranks[name] = len(names) - 1 - i
	}
}

// inMemory tells whether the engine has the adapter in its memory, as far as is
// known.
func (s *shelf) inMemory(name string) bool { return s.rank(name) < s.keeps }

// kept lists the hashes of what the engine has in its memory and doesn't hold, in
// ascending order.
func (s *shelf) kept() []uint32 {
	var list []uint32
	for name := range s.ranks {
		if _, held := s.adapters[name]; !held && s.inMemory(name) && !s.moving(name) {
			list = append(list, magno.Ref{Adapter: name}.Hash())
		}
	}
	slices.Sort(list)
	return list
}

// loaded takes how long a load took. The store's is many times an engine's own,
// so the time tells which it was, and with it how many adapters the engine keeps:
// taken for kept when they weren't, loads went to the store beyond its room.
func (s *shelf) loaded(l loading, took magno.Millis) {
	fromStore := float64(took) > math.Sqrt(float64(s.cold())*float64(s.warmLoad()))
	if fromStore {
		s.coldTime = mixed(s.coldTime, float64(took))
		s.width.loaded(took)
		if l.rank < s.keeps {
			s.keeps -= (s.keeps - l.rank + keepPart - 1) / keepPart
		}
		return
	}
	s.warmTime = mixed(s.warmTime, float64(took))
	if l.rank >= s.keeps && l.rank < mostKnown {
		s.keeps += (l.rank - s.keeps + keepPart) / keepPart
	}
}

// mixed weighs a further load in the time of loads.
func mixed(was, took float64) float64 {
	if was == 0 {
		return took
	}
	return was + loadGain*(took-was)
}

// cold is the time of a load from the store.
func (s *shelf) cold() magno.Millis {
	if s.coldTime == 0 {
		return magno.Millis(priorCold)
	}
	return magno.Millis(s.coldTime)
}

// idleLoad is the time of a load from the store while it isn't busy.
func (s *shelf) idleLoad() magno.Millis {
	if s.width.best == 0 {
		return magno.Millis(priorCold)
	}
	return s.width.best
}

// warmLoad is the time of a load from the engine's own memory.
func (s *shelf) warmLoad() magno.Millis {
	if s.warmTime == 0 {
		return magno.Millis(priorWarm)
	}
	return magno.Millis(max(s.warmTime, 1))
}

// loadTime is how long an adapter takes to load.
func (s *shelf) loadTime(name string) magno.Millis {
	if s.inMemory(name) {
		return s.warmLoad()
	}
	return s.cold()
}

// onItsWay tells whether an adapter is being loaded, and how long still.
func (s *shelf) onItsWay(name string, now magno.Millis) (magno.Millis, bool) {
	o, taken := s.taken[name]
	if !s.coming[name] && (!taken || !o.command.Load) {
		return 0, false
	}
	l, ok := s.began[name]
	if !ok {
		return s.loadTime(name), true
	}
	took := s.cold()
	if l.rank < s.keeps {
		took = s.warmLoad()
	}
	return max(took-(now-l.at), 0), true
}
