package gate

import (
	"slices"

	"magnoliastall.example/magno"
)

// outputEstimateDivisor is the ratio of the stated maximum to the usual output, for callers
// that give no estimate: they leave ample room.
const outputEstimateDivisor = 3

// forecast tells when the adapters that requests wait for will be ready.
//
// An engine with six adapter slots runs up to sixty requests, and each of them keeps its
// adapter's slot until it ends. While all slots are in use nothing can be loaded, however idle
// the weight store is. An estimate from load times alone would take a wait of seconds for that
// of one load, and entries would prefer engines without a free slot to engines that have one.
type forecast struct {
	// eta is the time from now until each awaited adapter is ready. nextLoad is that time for
	// one more adapter that nothing waits for yet.
	eta      map[string]magno.Millis
	nextLoad magno.Millis
}

// forecast simulates the outstanding loads, in their order, on the slots as they become free.
func (g *Gate) forecast(now magno.Millis) forecast {
	f := forecast{eta: map[string]magno.Millis{}}
	base := g.inventory.baseModelWait()
	holds := g.holdTimes()
	slots := g.slotReleases(now, holds)
	lanes := slices.Repeat([]magno.Millis{base}, g.inventory.limiter.limit())
	load := func(took, hold magno.Millis) magno.Millis {
		slot, lane := minIndex(slots), minIndex(lanes)
		at := took + max(slots[slot], lanes[lane])
		lanes[lane], slots[slot] = at, at+hold
		return at
	}
	for _, name := range g.missingNames() {
		if left, ok := g.inventory.loadRemaining(name, now); ok {
			f.eta[name] = left
			lane := minIndex(lanes)
			lanes[lane] = max(lanes[lane], left)
			continue
		}
		f.eta[name] = load(g.inventory.loadTime(name), holds[name])
	}
	f.nextLoad = load(g.inventory.coldLoadTime(), 0)
	return f
}

// minIndex returns the index of the smallest element; list must not be empty.
func minIndex(list []magno.Millis) int {
	best := 0
	for i, v := range list {
		if v < list[best] {
			best = i
		}
	}
	return best
}

// holdTimes returns how long the queued requests will use each adapter.
func (g *Gate) holdTimes() map[string]magno.Millis {
	holds := make(map[string]magno.Millis, len(g.queue))
	for _, w := range g.queue {
		name := w.qualifiedName()
		holds[name] = max(holds[name], g.holdTime(&w.Request))
	}
	return holds
}

// slotReleases returns the times from now at which the slots can be reused for other adapters,
// in ascending order. The result has at least one element.
func (g *Gate) slotReleases(now magno.Millis, holds map[string]magno.Millis) []magno.Millis {
	busy := map[string]magno.Millis{}
	for _, r := range g.active {
		if r.request.Adapter != "" {
			name := r.request.qualifiedName()
			busy[name] = max(busy[name], g.remainingTime(r, now))
		}
	}
	for name, hold := range holds {
		left, coming := g.inventory.loadRemaining(name, now)
		if _, held := g.inventory.adapters[name]; held || coming {
			busy[name] = max(busy[name], left+hold)
		}
	}
	n := max(g.spec.Engine.Slots, 1)
	times := make([]magno.Millis, 0, max(n, len(busy)))
	for _, left := range busy {
		times = append(times, left)
	}
	for len(times) < n {
		times = append(times, 0)
	}
	slices.Sort(times)
	return times
}

// holdTime is how long a request uses its adapter once it has started.
func (g *Gate) holdTime(req *Request) magno.Millis {
	return g.pacer.prefillTime(g.prefillTokens(req)) + g.decodeTime(req.outputEstimate())
}

// decodeTime is the time to generate the given number of output tokens.
func (g *Gate) decodeTime(tokens int) magno.Millis {
	e := &g.pacer.engine
	return magno.Millis(float64(tokens) / float64(max(e.Stride, 1)) * float64(e.MeanEventInterval()))
}

// remainingTime is how long a running request still uses its adapter. Callers' estimates are
// often far off: a request that exceeded its estimate is expected to generate half as much
// again.
func (g *Gate) remainingTime(r *activeRequest, now magno.Millis) magno.Millis {
	made := r.events * max(g.pacer.engine.Stride, 1)
	rest := g.decodeTime(max(r.request.outputEstimate()-made, made/2))
	if r.events == 0 {
		rest += max(g.pacer.prefillTime(r.prefillTokens)-(now-r.grantedAt), 0)
	}
	return rest
}

// outputEstimate is the expected number of output tokens.
func (req *Request) outputEstimate() int {
	if req.ExpectedOutput > 0 {
		return min(req.ExpectedOutput, max(req.MaxOutput, 1))
	}
	return req.MaxOutput / outputEstimateDivisor
}
