package gate

import (
	"math"
	"slices"

	"magnoliastall.example/magno"
)

// expect estimates how long a request that came now would wait.
func (g *Gate) expect(a *Request, now magno.Millis) magno.Millis {
	tokens := 0
	for _, w := range g.queue {
		if w.Rank <= a.Rank && now <= w.due {
			tokens += g.unread(&w.Request)
		}
	}
	wait := max(g.pace.wait(tokens, now), g.placeWait())
	if g.held.ready(a) {
		return wait
	}
	f := g.forecast(now)
	if !g.held.models[a.Model] && g.held.baseWait() == 0 {
		return max(wait, g.held.modelWait(a.Model)+f.next)
	}
	if eta, ok := f.eta[a.name()]; ok {
		return max(wait, eta)
	}
	return max(wait, f.next-g.held.cold()+g.held.loadTime(a.name()))
}

// placeWait is the wait for a place among the running requests.
func (g *Gate) placeWait() magno.Millis {
	batch := max(g.spec.Engine.Batch, 1)
	over := g.running() + len(g.queue) - batch
	if over < 0 {
		return 0
	}
	return magno.Millis(g.run * float64(over+1) / float64(batch))
}

// congestionPower is how steeply an engine gets dearer as its places fill: half full it is
// hardly dearer than an idle one.
const congestionPower = 4

// congestion is what one more request costs those that come after it.
//
// Load pattern: a few adapters take a large part of all requests. The engines that
// hold them fill before a wait shows there, and then whatever else they hold waits as
// well, beside engines with free places. The last place of an engine costs as much as
// a load from an idle store, so that a hot adapter gets a further replica before its
// engines are full. A busy store makes replicas dearer, and places not.
func (g *Gate) congestion() magno.Millis {
	part := float64(g.running()+len(g.queue)) / float64(max(g.spec.Engine.Batch, 1))
	return magno.Millis(float64(g.held.idleLoad()) * math.Pow(min(part, 1), congestionPower))
}

// Backlog describes the state for whoever chooses among engines.
func (g *Gate) Backlog() magno.Backlog {
	g.setup()
	now := g.now()
	queued := 0
	for _, w := range g.queue {
		queued += g.unread(&w.Request)
	}
	missing := g.missing()
	next := g.forecast(now).next
	return magno.Backlog{
		Queued: len(g.queue), Running: g.running(), Held: len(g.held.adapters),
		Wait:     max(g.pace.wait(queued, now), g.placeWait()) + g.congestion(),
		LoadWait: next,
		BaseWait: g.held.baseWait(),
		Warm:     g.held.warm(),
		Kept:     g.held.kept(),
		KeptWait: next - g.held.cold() + g.held.warmLoad(),
		Coming:   g.coming(missing),
		Rate:     math.Round(g.pace.engine.Rate()),
		Pause:    g.pace.longest(now),
	}
}

// coming lists the hashes of what is on its way here or waited for, in
// ascending order.
func (g *Gate) coming(missing []string) []uint32 {
	list := make([]uint32, 0, len(missing)+len(g.held.coming))
	for _, name := range missing {
		list = append(list, magno.Ref{Adapter: name}.Hash())
	}
	for name := range g.held.coming {
		list = append(list, magno.Ref{Adapter: name}.Hash())
	}
	slices.Sort(list)
	return slices.Compact(list)
}
