package gate

import (
	"math"
	"slices"

	"magnoliastall.example/magno"
)

// expectedWait estimates how long a request that arrives now would wait. Unless shares order the queue,
// one that would be late is expected to wait for all that are on time.
func (g *Gate) expectedWait(req *Request, now magno.Millis) magno.Millis {
	s := g.newSchedule(now)
	w := g.newQueued(req, now)
	overtaken := g.overtaken(req)
	byShares := g.namesCustomer(req)
	w.late = !byShares && s.firstEvent(w, s.earliestStart(w)) > w.startBy
	ahead := g.positionOf(w, overtaken)
	if !byShares && !w.late && !s.onTimeBehind(w, ahead) {
		w.late = true
		ahead = g.positionOf(w, overtaken)
	}
	_, wait := s.wait(ahead)
	if g.inventory.ready(req) {
		return wait
	}
	f := g.forecast(now)
	if !g.inventory.models[req.Model] && g.inventory.baseModelWait() == 0 {
		return max(wait, g.inventory.modelLoadTime(req.Model)+f.nextLoad)
	}
	if eta, ok := f.eta[req.qualifiedName()]; ok {
		return max(wait, eta)
	}
	return max(wait, f.nextLoad-g.inventory.coldLoadTime()+g.inventory.loadTime(req.qualifiedName()))
}

// queueWait estimates how long a request behind the whole queue would wait if its adapter were
// ready.
func (g *Gate) queueWait(now magno.Millis) magno.Millis {
	queued := 0
	for _, w := range g.queue {
		queued += w.tokens
	}
	return max(g.pacer.expectedWait(queued, now), g.capacityWait(), g.limiter.Delay(len(g.queue)+1, now))
}

// positionOf returns what precedes a request that is queued now, except for requests of its class
// that it would overtake by fair shares.
func (g *Gate) positionOf(w *queuedRequest, overtaken func(*queuedRequest) bool) position {
	var ahead position
	for _, other := range g.queue {
		isOvertaken := sameClass(other, w) && overtaken(other)
		if compareQueued(other, w) <= 0 && !isOvertaken {
			ahead.addAny(other)
		}
	}
	return ahead
}

// capacityWait is the expected wait for a place in the batch behind the whole queue.
func (g *Gate) capacityWait() magno.Millis { return g.placeWait(g.runningCount() + len(g.queue)) }

// placeWait is the expected wait for a place in the batch behind the given number of requests.
func (g *Gate) placeWait(ahead int) magno.Millis {
	batch := max(g.spec.Engine.Batch, 1)
	over := ahead - batch
	if over < 0 {
		return 0
	}
	return magno.Millis(g.meanRunTime * float64(over+1) / float64(batch))
}

// congestionPower is how steeply the cost of an engine rises with its load: at half load it is
// hardly above that of an idle one.
const congestionPower = 4

// congestion is the cost of one more request to those that come after it.
//
// A few adapters receive a large part of all requests. The engines that hold them fill up
// before a wait shows there, and requests for their other adapters then wait as well, while
// other engines have capacity. The last free place in the batch costs as much as a load from an
// idle weight store, so that a hot adapter gets a further replica before its engines are full.
// A busy store makes replicas more expensive, but not places in the batch.
func (g *Gate) congestion() magno.Millis {
	part := float64(g.runningCount()+len(g.queue)) / float64(max(g.spec.Engine.Batch, 1))
	return magno.Millis(float64(g.inventory.minColdLoadTime()) * math.Pow(min(part, 1), congestionPower))
}

// Backlog describes the state of the engine to those that choose among engines.
func (g *Gate) Backlog() magno.Backlog {
	g.setup()
	now := g.now()
	missing := g.missingNames()
	next := g.forecast(now).nextLoad
	return magno.Backlog{
		Queued: len(g.queue), Running: g.runningCount(), Held: len(g.inventory.adapters),
		Wait:       g.queueWait(now) + g.congestion(),
		LoadWait:   next,
		BaseWait:   g.inventory.baseModelWait(),
		Warm:       g.inventory.warmHashes(),
		Cached:     g.inventory.keptHashes(),
		CachedWait: next - g.inventory.coldLoadTime() + g.inventory.warmLoadTime(),
		Loading:    g.pendingHashes(missing),
		Rate:       math.Round(g.pacer.engine.PrefillRate()),
		EventGap:   g.pacer.longestPause(now),
	}
}

// PrefillRate returns how many prompt tokens the engine is estimated to read in a millisecond.
func (g *Gate) PrefillRate() float64 { return g.pacer.engine.PrefillRate() }

// pendingHashes lists the hashes of what is being loaded or waited for, in ascending order.
func (g *Gate) pendingHashes(missing []string) []uint32 {
	list := make([]uint32, 0, len(missing)+len(g.inventory.loading))
	for _, name := range missing {
		list = append(list, magno.Ref{Adapter: name}.Hash())
	}
	for name := range g.inventory.loading {
		list = append(list, magno.Ref{Adapter: name}.Hash())
	}
	slices.Sort(list)
	return slices.Compact(list)
}
