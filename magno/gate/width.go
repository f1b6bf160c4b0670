package gate

import "magnoliastall.example/magno"

const (
	// minParallelLoads and maxParallelLoads bound the cold loads in progress at one engine,
	// which accepts four at most.
	minParallelLoads = 1
	maxParallelLoads = 4
	// parallelLoadsIncrease is added after a load of normal duration; parallelLoadsDecrease is
	// the factor after a slow one.
	parallelLoadsIncrease = 0.25
	parallelLoadsDecrease = 0.6
	// slowLoadFactor is the duration, relative to the shortest load, above which a load counts
	// as slowed down by others. It leaves room for the 30 ms between reports.
	slowLoadFactor = 1.5
)

// loadLimiter bounds the concurrent loads of one engine from the weight store, by additive
// increase and multiplicative decrease.
//
// Usually few engines load and the store has spare bandwidth; after a restart all load at once,
// and above the store's capacity each load takes proportionally longer. With one load at a
// time, an engine that receives several new adapters at once would serve the last of them a
// second late, though the store is idle. The store does not report its utilization, but load
// times show it.
type loadLimiter struct {
	current float64
	// minLoadTime is the shortest load seen, zero before the first.
	minLoadTime magno.Millis
}

func (l *loadLimiter) limit() int { return int(max(l.current, minParallelLoads)) }

// recordLoad takes the duration of a load from the store.
func (l *loadLimiter) recordLoad(took magno.Millis) {
	if l.minLoadTime == 0 || took < l.minLoadTime {
		l.minLoadTime = max(took, 1)
	}
	if float64(took) > slowLoadFactor*float64(l.minLoadTime) {
		l.current = max(l.current*parallelLoadsDecrease, minParallelLoads)
		return
	}
	l.current = min(max(l.current, minParallelLoads)+parallelLoadsIncrease, maxParallelLoads)
}
