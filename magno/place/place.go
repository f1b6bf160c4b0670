// Package place decides which adapters are in an upstream's few slots.
//
// Load pattern: thousands of adapters with skewed popularity that shifts
// within the hour, and a few slots. Without it hot adapters are thrown out for
// one request to a cold one and loaded again seconds later, and a failing load
// is tried again at once by every upstream.
//
// The victim is the unpinned adapter with the least recent demand. Demand
// decays by half in HalfLife, so an adapter that was hot an hour ago goes
// before one that is warm now. Every load costs the same, so the reload cost
// is in the choice as demand times one constant and drops out.
package place

import (
	"math"
	"math/rand/v2"
	"slices"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"magnoliastall.example/magno"
)

const (
	// DefaultHalfLife is the time in which demand counts half; grounds in
	// docs/DECIDE.md.
	DefaultHalfLife = 2 * magno.Minute
	// mostDemand bounds the adapters whose demand is known.
	mostDemand = 8192

	// firstRetry is the wait after a failed load; it doubles up to lastRetry.
	firstRetry = 250 * magno.Millis(1)
	lastRetry  = 30 * magno.Second
	// mostFailed bounds the adapters whose failures are known.
	mostFailed = 1024
)

type state int

const (
	loading state = iota
	loaded
	draining // loaded, but takes no new jobs
	unloading
)

type slot struct {
	state state
	// pins counts started jobs that use the adapter; it is never evicted
	// while pins is over zero.
	pins int
	// used is when it was last pinned or loaded.
	used magno.Millis
	// until is when the last of its jobs is expected to end.
	until magno.Millis
}

type demand struct {
	score float64
	at    magno.Millis
}

type failure struct {
	count int
	until magno.Millis
}

// Slots is the state of one upstream's slots. Its exported fields are set
// before use.
type Slots struct {
	// Size is the number of slots; there are never more adapters held.
	Size int
	// HalfLife is the time in which demand counts half.
	HalfLife magno.Millis
	// Seed makes the jitter of retries differ between instances.
	Seed uint64

	slots    map[magno.Ref]*slot
	demands  *simplelru.LRU[magno.Ref, demand]
	failures *simplelru.LRU[magno.Ref, failure]
	rand     *rand.Rand
	inFlight int
	// pinned counts slots with pins.
	pinned int
	// warm caches Warm; nil means that it has to be made again.
	warm []uint32
}

// New returns empty slots.
func New(size int, halfLife magno.Millis, seed uint64) *Slots {
	s := &Slots{Size: size, HalfLife: halfLife, Seed: seed, slots: map[magno.Ref]*slot{}}
	s.demands, _ = simplelru.NewLRU[magno.Ref, demand](mostDemand, nil)
	s.failures, _ = simplelru.NewLRU[magno.Ref, failure](mostFailed, nil)
	s.rand = rand.New(rand.NewPCG(seed, 1))
	return s
}

// Ready tells whether a job of ref may start; work without adapter always may.
func (s *Slots) Ready(ref magno.Ref) bool {
	if ref == (magno.Ref{}) {
		return true
	}
	sl := s.slots[ref]
	return sl != nil && sl.state == loaded
}

// Pin holds ref in its slot until Unpin, which is expected after run.
func (s *Slots) Pin(ref magno.Ref, now, run magno.Millis) {
	if sl := s.slots[ref]; sl != nil {
		if sl.pins == 0 {
			s.pinned++
		}
		sl.pins++
		sl.used = now
		sl.until = max(sl.until, now+run)
	}
}

// Unpin frees one pin.
func (s *Slots) Unpin(ref magno.Ref, now magno.Millis) {
	if sl := s.slots[ref]; sl != nil && sl.pins > 0 {
		sl.pins--
		sl.used = now
		if sl.pins == 0 {
			s.pinned--
			sl.until = 0
		}
	}
}

// AddDemand counts one request for ref.
func (s *Slots) AddDemand(ref magno.Ref, now magno.Millis) {
	if ref != (magno.Ref{}) {
		s.demands.Add(ref, demand{score: s.score(ref, now) + 1, at: now})
	}
}

func (s *Slots) score(ref magno.Ref, now magno.Millis) float64 {
	d, ok := s.demands.Peek(ref)
	if !ok {
		return 0
	}
	return d.score * math.Exp2(-float64(now-d.at)/float64(max(s.HalfLife, 1)))
}

// Loadable tells whether a load of ref may be ordered: it isn't held, and no
// failed load is being waited out.
func (s *Slots) Loadable(ref magno.Ref, now magno.Millis) bool {
	if ref == (magno.Ref{}) || s.slots[ref] != nil {
		return false
	}
	f, ok := s.failures.Peek(ref)
	return !ok || now >= f.until
}

// RetryDelay is how long a failed load of ref is still waited out.
func (s *Slots) RetryDelay(ref magno.Ref, now magno.Millis) magno.Millis {
	f, _ := s.failures.Peek(ref)
	return max(f.until-now, 0)
}

// Loading tells whether ref is being loaded.
func (s *Slots) Loading(ref magno.Ref) bool {
	sl := s.slots[ref]
	return sl != nil && sl.state == loading
}

// InFlight counts loads and evictions that have not ended.
func (s *Slots) InFlight() int { return s.inFlight }

// Free counts empty slots.
func (s *Slots) Free() int { return s.Size - len(s.slots) }

// BeginLoad takes a free slot for the load of ref.
func (s *Slots) BeginLoad(ref magno.Ref) {
	s.slots[ref] = &slot{state: loading}
	s.inFlight++
}

// Loaded ends a load; it tells whether ref is ready now. A failed one frees
// the slot and is waited out for a time that doubles with each failure and is
// spread by half, or all upstreams would try a failing store in step.
func (s *Slots) Loaded(ref magno.Ref, ok bool, now magno.Millis) bool {
	sl := s.slots[ref]
	if sl == nil || sl.state != loading {
		return false
	}
	s.inFlight--
	if ok {
		sl.state, sl.used = loaded, now
		s.warm = nil
		s.failures.Remove(ref)
		return true
	}
	delete(s.slots, ref)
	f, _ := s.failures.Peek(ref)
	wait := min(firstRetry<<min(f.count, 10), lastRetry)
	wait = wait/2 + magno.Millis(s.rand.Int64N(int64(wait)))
	s.failures.Add(ref, failure{count: f.count + 1, until: now + wait})
	return false
}

// Evict begins the eviction of an unpinned adapter.
func (s *Slots) Evict(ref magno.Ref) bool {
	sl := s.slots[ref]
	if sl == nil || sl.pins > 0 || (sl.state != loaded && sl.state != draining) {
		return false
	}
	sl.state = unloading
	s.inFlight++
	s.warm = nil
	return true
}

// Unloaded ends an eviction.
func (s *Slots) Unloaded(ref magno.Ref) {
	if sl := s.slots[ref]; sl != nil && sl.state == unloading {
		delete(s.slots, ref)
		s.inFlight--
	}
}

// Forget forgets a loaded adapter that the upstream holds no more; one that is
// in use or in transition stays.
func (s *Slots) Forget(ref magno.Ref) bool {
	sl := s.slots[ref]
	if sl == nil || sl.state != loaded || sl.pins > 0 {
		return false
	}
	delete(s.slots, ref)
	return true
}

// Drain stops new jobs of ref, so that its pins come to an end.
func (s *Slots) Drain(ref magno.Ref) {
	if sl := s.slots[ref]; sl != nil && sl.state == loaded {
		sl.state = draining
	}
}

// Undrain takes new jobs for a draining adapter again and returns it.
func (s *Slots) Undrain() (magno.Ref, bool) {
	for ref, sl := range s.slots {
		if sl.state == draining {
			sl.state = loaded
			return ref, true
		}
	}
	return magno.Ref{}, false
}

// Reset empties the slots: the upstream restarted. What was being loaded or
// evicted is gone with it.
func (s *Slots) Reset() {
	s.slots = map[magno.Ref]*slot{}
	s.inFlight, s.pinned, s.warm = 0, 0, nil
}

// Held counts slots in use, Pinned those that are pinned.
func (s *Slots) Held() int { return len(s.slots) }

// Pinned counts slots that started jobs use.
func (s *Slots) Pinned() int { return s.pinned }

// Holds lists the loaded adapters and whether each is pinned.
func (s *Slots) Holds() map[magno.Ref]bool {
	holds := make(map[magno.Ref]bool, len(s.slots))
	for ref, sl := range s.slots {
		if sl.state == loaded || sl.state == draining {
			holds[ref] = sl.pins > 0
		}
	}
	return holds
}

// Warm lists the hashes of the loaded adapters in ascending order. The slice
// isn't changed once returned.
func (s *Slots) Warm() []uint32 {
	if s.warm != nil || len(s.slots) == 0 {
		return s.warm
	}
	s.warm = make([]uint32, 0, len(s.slots))
	for ref, sl := range s.slots {
		if sl.state == loaded || sl.state == draining {
			s.warm = append(s.warm, ref.Hash())
		}
	}
	slices.Sort(s.warm)
	return s.warm
}
