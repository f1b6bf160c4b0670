package gate

import (
	"math"
	"slices"

	"magnoliastall.example/magno"
)

// expectedWait estimates how long a request that arrives now would wait.
func (g *Gate) expectedWait(req *Request, now magno.Millis) magno.Millis {
	tokens, ahead, behind := 0, 0, 0
	overtaken := g.overtaken(req)
	for _, w := range g.queue {
		if w.Rank <= req.Rank && now <= w.startBy {
			if overtaken(w) {
				behind++
				continue
			}
			tokens += g.prefillTokens(&w.Request)
			ahead++
		}
	}
	wait := max(g.pacer.expectedWait(tokens, now), g.capacityWait(len(g.queue)-behind), g.limiter.Delay(ahead+1, now))
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

// capacityWait is the expected wait for capacity in the running batch, behind the given number of
// queued requests.
func (g *Gate) capacityWait(queued int) magno.Millis {
	batch := max(g.spec.Engine.Batch, 1)
	over := g.runningCount() + queued - batch
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
	queued := 0
	for _, w := range g.queue {
		queued += g.prefillTokens(&w.Request)
	}
	missing := g.missingNames()
	next := g.forecast(now).nextLoad
	return magno.Backlog{
		Queued: len(g.queue), Running: g.runningCount(), Held: len(g.inventory.adapters),
		Wait:       max(g.pacer.expectedWait(queued, now), g.capacityWait(len(g.queue)), g.limiter.Delay(len(g.queue)+1, now)) + g.congestion(),
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
