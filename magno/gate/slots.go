package gate

import (
	"slices"

	"magnoliastall.example/magno"
)

// usualPart is how many times as long as a usual answer the longest may be, where its
// caller doesn't say: callers state a maximum that leaves room.
const usualPart = 3

// forecast tells when what is waited for will be there.
//
// Load pattern: an engine of six slots runs up to sixty requests, and each
// request of another adapter keeps a slot for its whole run. While all are in
// use nothing can be loaded, however idle the store is. Counted by loads only, a
// wait of seconds looks like that of one load: entries send more to engines
// without a free slot beside engines that have some.
type forecast struct {
	// eta is when each adapter that is waited for will be ready, from now; next
	// is that of one more that isn't waited for yet.
	eta  map[string]magno.Millis
	next magno.Millis
}

// forecast plays the loads of what waits, in their order, on the slots as they
// come free.
func (g *Gate) forecast(now magno.Millis) forecast {
	f := forecast{eta: map[string]magno.Millis{}}
	base := g.held.baseWait()
	holds := g.holds()
	slots := g.releases(now, holds)
	lanes := slices.Repeat([]magno.Millis{base}, g.held.width.limit())
	load := func(took, hold magno.Millis) magno.Millis {
		slot, lane := least(slots), least(lanes)
		at := took + max(slots[slot], lanes[lane])
		lanes[lane], slots[slot] = at, at+hold
		return at
	}
	for _, name := range g.missing() {
		if left, ok := g.held.onItsWay(name, now); ok {
			f.eta[name] = left
			lane := least(lanes)
			lanes[lane] = max(lanes[lane], left)
			continue
		}
		f.eta[name] = load(g.held.loadTime(name), holds[name])
	}
	f.next = load(g.held.cold(), 0)
	return f
}

// least is the place of the smallest value; list has one at least.
func least(list []magno.Millis) int {
	best := 0
	for i, v := range list {
		if v < list[best] {
			best = i
		}
	}
	return best
}

// holds is how long what waits for each adapter will use it.
func (g *Gate) holds() map[string]magno.Millis {
	holds := make(map[string]magno.Millis, len(g.queue))
	for _, w := range g.queue {
		name := w.name()
		holds[name] = max(holds[name], g.hold(&w.Request))
	}
	return holds
}

// releases is when each slot may be used for another adapter, from now. It has
// one element at least.
func (g *Gate) releases(now magno.Millis, holds map[string]magno.Millis) []magno.Millis {
	busy := map[string]magno.Millis{}
	for _, r := range g.runs {
		if r.ask.Adapter != "" {
			name := r.ask.name()
			busy[name] = max(busy[name], g.left(r, now))
		}
	}
	for name, hold := range holds {
		left, coming := g.held.onItsWay(name, now)
		if _, held := g.held.adapters[name]; held || coming {
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

// hold is how long a request will use its adapter once it begins.
func (g *Gate) hold(a *Request) magno.Millis {
	return g.pace.time(g.unread(a)) + g.making(a.length())
}

// making is how long so many tokens of an answer take.
func (g *Gate) making(tokens int) magno.Millis {
	e := &g.pace.engine
	return magno.Millis(float64(tokens) / float64(max(e.Stride, 1)) * float64(e.Usual()))
}

// left is how long a run still uses its adapter. Callers' estimates are often far
// off: one that made more than was expected is taken to make half as much again.
func (g *Gate) left(r *granted, now magno.Millis) magno.Millis {
	made := r.events * max(g.pace.engine.Stride, 1)
	rest := g.making(max(r.ask.length()-made, made/2))
	if r.events == 0 {
		rest += max(g.pace.time(r.unread)-(now-r.at), 0)
	}
	return rest
}

// length is how many tokens the answer is expected to have.
func (a *Request) length() int {
	if a.ExpectedOutput > 0 {
		return min(a.ExpectedOutput, max(a.MaxOutput, 1))
	}
	return a.MaxOutput / usualPart
}
