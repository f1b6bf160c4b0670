package gate

import (
	"math"
	"slices"

	"magnoliastall.example/magno"
)

// rank is the number of other adapters that the engine loaded since it last had this one,
// maxRecentAdapters if that is not known.
func (inv *inventory) rank(name string) int {
	if rank, ok := inv.ranks[name]; ok {
		return rank
	}
	return maxRecentAdapters
}

// updateRanks computes all ranks once per report: estimating a wait looks up the ranks of
// everything that is queued, several times per request.
func (inv *inventory) updateRanks() {
	names := inv.recent.Keys() // oldest first
	inv.ranks = make(map[string]int, len(names))
	for i, name := range names {
		inv.ranks[name] = len(names) - 1 - i
	}
}

// inMemory reports whether the engine is estimated to have the adapter in its host memory.
func (inv *inventory) inMemory(name string) bool { return inv.rank(name) < inv.cacheSize }

// keptHashes lists the hashes of adapters that are cached in the engine's host memory and not
// loaded, in ascending order.
func (inv *inventory) keptHashes() []uint32 {
	var list []uint32
	for name := range inv.ranks {
		if _, held := inv.adapters[name]; !held && inv.inMemory(name) && !inv.changing(name) {
			list = append(list, magno.Ref{Adapter: name}.Hash())
		}
	}
	slices.Sort(list)
	return list
}

// recordLoad takes the duration of a load. A load from the weight store takes several times as
// long as one from host memory, so the duration tells which it was, and thereby how many
// adapters the engine caches. If that number were overestimated, more loads would go to the
// store at once than it can serve.
func (inv *inventory) recordLoad(l loadStart, took magno.Millis) {
	fromStore := float64(took) > math.Sqrt(float64(inv.coldLoadTime())*float64(inv.warmLoadTime()))
	if fromStore {
		inv.coldMean = smoothed(inv.coldMean, float64(took))
		inv.limiter.recordLoad(took)
		if l.rank < inv.cacheSize {
			inv.cacheSize -= (inv.cacheSize - l.rank + cacheSizeDamping - 1) / cacheSizeDamping
		}
		return
	}
	inv.warmMean = smoothed(inv.warmMean, float64(took))
	if l.rank >= inv.cacheSize && l.rank < maxRecentAdapters {
		inv.cacheSize += (l.rank - inv.cacheSize + cacheSizeDamping) / cacheSizeDamping
	}
}

// smoothed adds a sample to a moving average of load times.
func smoothed(was, took float64) float64 {
	if was == 0 {
		return took
	}
	return was + loadTimeWeight*(took-was)
}

// coldLoadTime is the average time of a load from the weight store.
func (inv *inventory) coldLoadTime() magno.Millis {
	if inv.coldMean == 0 {
		return magno.Millis(initialColdLoad)
	}
	return magno.Millis(inv.coldMean)
}

// minColdLoadTime is the time of a load from the weight store while it is not busy.
func (inv *inventory) minColdLoadTime() magno.Millis {
	if inv.limiter.minLoadTime == 0 {
		return magno.Millis(initialColdLoad)
	}
	return inv.limiter.minLoadTime
}

// warmLoadTime is the average time of a load from the engine's host memory.
func (inv *inventory) warmLoadTime() magno.Millis {
	if inv.warmMean == 0 {
		return magno.Millis(initialWarmLoad)
	}
	return magno.Millis(max(inv.warmMean, 1))
}

// loadTime is the expected time to load an adapter.
func (inv *inventory) loadTime(name string) magno.Millis {
	if inv.inMemory(name) {
		return inv.warmLoadTime()
	}
	return inv.coldLoadTime()
}

// loadRemaining reports whether an adapter is being loaded, and the expected time that is left.
func (inv *inventory) loadRemaining(name string, now magno.Millis) (magno.Millis, bool) {
	c, isPending := inv.pending[name]
	if !inv.loading[name] && (!isPending || !c.command.Load) {
		return 0, false
	}
	l, ok := inv.loadStarts[name]
	if !ok {
		return inv.loadTime(name), true
	}
	took := inv.coldLoadTime()
	if l.rank < inv.cacheSize {
		took = inv.warmLoadTime()
	}
	return max(took-(now-l.at), 0), true
}
