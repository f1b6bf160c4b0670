package gate

import (
	"math"
	"slices"

	"magnoliastall.example/magno"
)

// expect estimates how long a request that came now would wait.
func (g *Gate) expect(a *Ask, now magno.Millis) magno.Millis {
	tokens := 0
	for _, w := range g.queue {
		if w.Rank <= a.Rank && now <= w.due {
			tokens += g.unread(&w.Ask)
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

// Backlog describes the state for whoever chooses among engines.
func (g *Gate) Backlog() magno.Backlog {
	g.setup()
	now := g.now()
	queued := 0
	for _, w := range g.queue {
		queued += g.unread(&w.Ask)
	}
	missing := g.missing()
	next := g.forecast(now).next
	return magno.Backlog{
		Queued: len(g.queue), Running: g.running(), Held: len(g.held.adapters),
		Wait:     max(g.pace.wait(queued, now), g.placeWait()),
		LoadWait: next,
		BaseWait: g.held.baseWait(),
		Warm:     g.held.warm(),
		Kept:     g.held.kept(),
		KeptWait: next - g.held.cold() + g.held.warmLoad(),
		Coming:   g.coming(missing),
		Rate:     math.Round(g.pace.engine.Rate()),
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
