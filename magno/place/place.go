// Package place decides which adapters occupy an upstream's few slots.
//
// Load pattern: thousands of adapters with skewed popularity, which shifts within the
// hour, share a few slots. Naive eviction drops a hot adapter for one request to a cold
// one and reloads it seconds later, and after a failed load every upstream retries at
// once.
//
// The victim is the unpinned adapter with the least recent demand. Demand decays by
// half in HalfLife, so an adapter that was hot an hour ago is evicted before one that
// is warm now. All loads cost the same, so the cost of a reload is a constant factor of
// demand and is left out.
package place

import (
	"math"
	"math/rand/v2"
	"slices"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"magnoliastall.example/magno"
)

const (
	// DefaultHalfLife is the time in which demand counts half; docs/DECIDE.md gives the
	// reasons.
	DefaultHalfLife = 2 * magno.Minute
	// maxDemands bounds the adapters whose demand is tracked.
	maxDemands = 8192

	// minRetryDelay is the delay after a failed load; it doubles up to maxRetryDelay.
	minRetryDelay = 250 * magno.Millis(1)
	maxRetryDelay = 30 * magno.Second
	// maxFailures bounds the adapters whose failed loads are tracked.
	maxFailures = 1024
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
	// pins counts started jobs that use the adapter; it is never evicted while pins is
	// over zero.
	pins int
	// lastUsed is when it was last pinned, unpinned or loaded.
	lastUsed magno.Millis
	// busyUntil is when the last of its jobs is expected to end.
	busyUntil magno.Millis
}

type demand struct {
	score float64
	at    magno.Millis
}

type failure struct {
	count   int
	retryAt magno.Millis
}

// Slots is the state of one upstream's slots. Its exported fields are set before use.
type Slots struct {
	// Size is the number of slots, and the most adapters held.
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
	// warm caches the result of Warm; nil means that it has to be rebuilt.
	warm []uint32
}

// New returns empty slots.
func New(size int, halfLife magno.Millis, seed uint64) *Slots {
	s := &Slots{Size: size, HalfLife: halfLife, Seed: seed, slots: map[magno.Ref]*slot{}}
	s.demands, _ = simplelru.NewLRU[magno.Ref, demand](maxDemands, nil)
	s.failures, _ = simplelru.NewLRU[magno.Ref, failure](maxFailures, nil)
	s.rand = rand.New(rand.NewPCG(seed, 1))
	return s
}

// Ready reports whether a job of ref may start; work without an adapter always may.
func (s *Slots) Ready(ref magno.Ref) bool {
	if ref == (magno.Ref{}) {
		return true
	}
	sl := s.slots[ref]
	return sl != nil && sl.state == loaded
}

// Pin keeps ref in its slot until Unpin, which is expected after run.
func (s *Slots) Pin(ref magno.Ref, now, run magno.Millis) {
	if sl := s.slots[ref]; sl != nil {
		if sl.pins == 0 {
			s.pinned++
		}
		sl.pins++
		sl.lastUsed = now
		sl.busyUntil = max(sl.busyUntil, now+run)
	}
}

// Unpin releases one pin.
func (s *Slots) Unpin(ref magno.Ref, now magno.Millis) {
	if sl := s.slots[ref]; sl != nil && sl.pins > 0 {
		sl.pins--
		sl.lastUsed = now
		if sl.pins == 0 {
			s.pinned--
			sl.busyUntil = 0
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

// Loadable reports whether a load of ref may be ordered: it has no slot, and the delay
// after a failed load has passed.
func (s *Slots) Loadable(ref magno.Ref, now magno.Millis) bool {
	if ref == (magno.Ref{}) || s.slots[ref] != nil {
		return false
	}
	f, ok := s.failures.Peek(ref)
	return !ok || now >= f.retryAt
}

// RetryDelay returns how much of the delay after a failed load of ref is left.
func (s *Slots) RetryDelay(ref magno.Ref, now magno.Millis) magno.Millis {
	f, _ := s.failures.Peek(ref)
	return max(f.retryAt-now, 0)
}

// Loading reports whether ref is being loaded.
func (s *Slots) Loading(ref magno.Ref) bool {
	sl := s.slots[ref]
	return sl != nil && sl.state == loading
}

// InFlight returns the number of loads and evictions that have not ended.
func (s *Slots) InFlight() int { return s.inFlight }

// Free returns the number of empty slots.
func (s *Slots) Free() int { return s.Size - len(s.slots) }

// BeginLoad takes a free slot for the load of ref.
func (s *Slots) BeginLoad(ref magno.Ref) {
	s.slots[ref] = &slot{state: loading}
	s.inFlight++
}

// Loaded ends a load and reports whether ref is ready now. A failed load frees the slot
// and delays the next one by a time that doubles with each failure. The delay has a
// jitter of half, since otherwise all upstreams would retry at a failing weight store
// in step.
func (s *Slots) Loaded(ref magno.Ref, ok bool, now magno.Millis) bool {
	sl := s.slots[ref]
	if sl == nil || sl.state != loading {
		return false
	}
	s.inFlight--
	if ok {
		sl.state, sl.lastUsed = loaded, now
		s.warm = nil
		s.failures.Remove(ref)
		return true
	}
	delete(s.slots, ref)
	f, _ := s.failures.Peek(ref)
	wait := min(minRetryDelay<<min(f.count, 10), maxRetryDelay)
	wait = wait/2 + magno.Millis(s.rand.Int64N(int64(wait)))
	s.failures.Add(ref, failure{count: f.count + 1, retryAt: now + wait})
	return false
}

// Evict begins the eviction of an unpinned adapter and reports whether it did.
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

// Forget drops a loaded adapter that the upstream no longer holds, and reports whether
// it did. An adapter that is in use or being loaded or evicted stays.
func (s *Slots) Forget(ref magno.Ref) bool {
	sl := s.slots[ref]
	if sl == nil || sl.state != loaded || sl.pins > 0 {
		return false
	}
	delete(s.slots, ref)
	return true
}

// Drain stops new jobs of ref, so that its pins are released.
func (s *Slots) Drain(ref magno.Ref) {
	if sl := s.slots[ref]; sl != nil && sl.state == loaded {
		sl.state = draining
	}
}

// Undrain accepts new jobs for a draining adapter again and returns it.
func (s *Slots) Undrain() (magno.Ref, bool) {
	for ref, sl := range s.slots {
		if sl.state == draining {
			sl.state = loaded
			return ref, true
		}
	}
	return magno.Ref{}, false
}

// Reset empties the slots after a restart of the upstream. Loads and evictions in
// flight are dropped.
func (s *Slots) Reset() {
	s.slots = map[magno.Ref]*slot{}
	s.inFlight, s.pinned, s.warm = 0, 0, nil
}

// Held returns the number of slots in use.
func (s *Slots) Held() int { return len(s.slots) }

// Pinned returns the number of slots that started jobs use.
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

// Warm returns the hashes of the loaded adapters in ascending order. A returned slice
// is never modified.
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
