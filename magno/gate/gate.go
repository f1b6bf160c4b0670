// Package gate decides for one engine which requests begin, which wait, which
// are refused, and which models and adapters are loaded.
//
//	Offer --> queue --(adapter held, room, pace)--> granted --> Done
//	            |            ^
//	            v            | Report
//	        refused        engine <-- Command (load, unload)
//
// Load pattern: prompts come in clumps. The engine reads every prompt that it
// is given between the tokens of all that runs, so ten long prompts at once
// stop every stream for a second. Requests for adapters that aren't held can't
// run at all until a load of a quarter of a second has ended.
//
// Without this package each entry would send by its own count, streams of all
// callers would pause whenever clumps met, and adapters would push each other
// out of the slots.
//
// The engine's own report is the truth about what it holds; what was ordered
// since and isn't seen there yet counts as taken, so that a lost answer never
// leads to more than the engine has room for.
package gate

import (
	"cmp"
	"math"
	"slices"

	"magnoliastall.example/magno"
)

const (
	// roomPart is the part of an engine's token memory that is given out: what
	// is made beyond the estimate needs the rest.
	roomPart = 0.9
	// mostMade bounds the output that is reserved for a request: callers state
	// a maximum that few answers come near.
	mostMade = 600
	// mostWaiting bounds the queue; far more than is served within any
	// deadline.
	mostWaiting = 512
	// lateGain is what a late answer counts of one in time when loads are ordered.
	lateGain = 0.3
	// runGain weighs a new run in the average time of runs.
	runGain = 0.05
	// firstRun is that average before the first run ended.
	firstRun = 1500 * magno.Millis(1)
	// grantSlack is how long after its deadline a request that nobody ended
	// still counts: its entry may be gone.
	grantSlack = magno.Second
	// leastAfter and mostAfter bound the time after which a refused caller is
	// told to come back.
	leastAfter = 50 * magno.Millis(1)
	mostAfter  = 5 * magno.Second
)

// Gate is one engine's. One goroutine uses it; Clock is set before.
type Gate struct {
	Clock *magno.Clock

	spec  Spec
	queue []*waiting
	runs  map[string]*granted
	held  shelf
	pace  pace
	read  *prefixes
	// run is the average time of a run.
	run float64
}

func (g *Gate) setup() {
	if g.runs == nil {
		g.runs = map[string]*granted{}
		g.run = float64(firstRun)
		g.read = newPrefixes()
		g.held.setup()
	}
}

// now is the time, and that by which the shelf judges.
func (g *Gate) now() magno.Millis {
	g.held.at = g.Clock.Now()
	return g.held.at
}

// Specify tells what the engine is. Another incarnation holds nothing of what
// the one before held, and what ran there is gone.
func (g *Gate) SetSpec(s Spec) {
	g.setup()
	if g.spec.Replica != "" && s.Replica != g.spec.Replica {
		g.forget()
	}
	g.spec = s
	g.pace.engine.Stride = s.Engine.Stride
	g.held.setSpec(&g.spec, g.Clock.Now())
}

// Spec is what was told last.
func (g *Gate) Spec() Spec { return g.spec }

func (g *Gate) forget() {
	clear(g.runs)
	g.pace.forget()
	g.read = newPrefixes()
	g.held.forget()
}

// Reported takes the engine's report, which was asked for at asked.
func (g *Gate) ApplyReport(r *magno.Report, asked magno.Millis) {
	g.setup()
	if g.held.restarted(r) {
		g.forget()
	}
	g.held.report(r, asked)
	g.seen(r, asked)
}

// Ordered takes what became of a command, and when its answer came.
func (g *Gate) ApplyOutcome(c magno.Command, o magno.Outcome, at magno.Millis) {
	g.setup()
	g.held.ordered(c, o, at)
}

// Declines tells whether the wait for a request has grown so much since the entry
// last heard of this engine that another one is better now.
//
// Load pattern: several entries send what comes to whichever engine looked best in
// reports that are a quarter of a second old, and all of it meets at one. Asked
// first, that engine says so within a round trip, and its word is fresh.
func (g *Gate) Declines(a *Request) bool {
	g.setup()
	return a.DeclineAbove > 0 && g.spec.Replica != "" && !g.spec.Leaving && g.expect(a, g.now())+g.congestion() > a.DeclineAbove
}

// Offer takes a request into the queue, or refuses it at once when its wait is
// expected to be over its patience: then waiting helps nobody, and the caller
// may still find another way.
func (g *Gate) Offer(a Request) *magno.Refusal {
	g.setup()
	now := g.now()
	if g.spec.Replica == "" {
		return magno.Refuse(magno.KindStarting, "what stands beside this agent isn't known yet").Later(leastAfter)
	}
	if g.spec.Leaving {
		return leaving()
	}
	if len(g.queue) >= mostWaiting {
		return magno.Refuse(magno.KindBusy, "%d requests wait", len(g.queue)).Later(mostAfter)
	}
	wait := g.expect(&a, now)
	if wait > a.MaxWait {
		kind := magno.KindBusy
		if !g.held.ready(&a) {
			kind = magno.KindLoading
		}
		return magno.Refuse(kind, "a wait of %d ms is expected, its patience is %d ms", wait, a.MaxWait).
			Later(min(max(wait-a.MaxWait, leastAfter), mostAfter))
	}
	w := &waiting{Request: a, came: now, due: now + a.StartTarget, until: now + a.MaxWait, end: now + a.TimeLeft, looked: now}
	w.cause = g.cause(&a)
	g.queue = append(g.queue, w)
	g.held.wanted(a.name(), now)
	return nil
}

// Done ends a request; ok tells that it came to a good end.
func (g *Gate) Done(id string, ok bool) {
	g.setup()
	if i := slices.IndexFunc(g.queue, func(w *waiting) bool { return w.ID == id }); i >= 0 {
		g.queue = slices.Delete(g.queue, i, i+1)
		return
	}
	r := g.runs[id]
	if r == nil {
		return
	}
	delete(g.runs, id)
	if ok {
		g.pace.read(r.unread)
		g.run += runGain * (float64(g.Clock.Now()-r.at) - g.run)
		return
	}
	g.pace.gave(r.unread)
}

// Paused takes the longest pause between two events of a request's stream. It
// comes before Done.
func (g *Gate) RecordPause(id string, longest magno.Millis) {
	g.setup()
	if r := g.runs[id]; r != nil && r.ask.MaxGap > 0 && longest > 0 {
		g.pace.paused(longest, r.ask.MaxGap, g.Clock.Now())
	}
}

// Next returns what is to be done now. It is called after each change, and
// every 20 ms or so while requests wait.
func (g *Gate) Decide() Decisions {
	g.setup()
	now := g.now()
	var s Decisions
	for id, r := range g.runs {
		if now > r.until {
			g.pace.gave(r.unread)
			delete(g.runs, id)
		}
	}
	g.expire(&s, now)
	g.pace.gap = g.tightest()
	g.order(now)
	g.grant(&s, now)
	g.blame(now)
	return s
}

// Commands returns what to order now, the most pressing first. Each counts as
// given until Ordered tells what became of it.
func (g *Gate) Commands() []magno.Command {
	g.setup()
	now := g.now()
	return g.held.commands(g.demand(), g.inUse(), now)
}

// running counts what runs by this gate's own account and by the engine's,
// which knows what other ways led there.
func (g *Gate) running() int { return max(len(g.runs), g.held.running) }

// demand lists the names of what waits, the most pressing first: by the number
// of requests that would still begin in time, the more urgent ones counted
// double for each rank, and late ones for little. After a restart, when nothing
// is held, the adapters that most callers use come first.
func (g *Gate) demand() []string {
	now := g.held.at
	worth := map[string]float64{}
	var names []string
	for _, w := range g.queue {
		name := w.name()
		if worth[name] == 0 {
			names = append(names, name)
		}
		gain := math.Exp2(-float64(w.Rank))
		if now+g.held.cold() > w.due {
			gain *= lateGain
		}
		worth[name] += gain
	}
	slices.SortStableFunc(names, func(a, b string) int { return cmp.Compare(worth[b], worth[a]) })
	return names
}

// missing lists what must still be loaded of what waits, in the order of loads.
func (g *Gate) missing() []string {
	return slices.DeleteFunc(g.demand(), func(name string) bool {
		model, adapter := split(name)
		return g.held.ready(&Request{Model: model, Adapter: adapter})
	})
}

// inUse tells which adapters requests use or wait for.
func (g *Gate) inUse() map[string]bool {
	used := make(map[string]bool, len(g.runs)+len(g.queue))
	for _, r := range g.runs {
		used[r.ask.name()] = true
	}
	for _, w := range g.queue {
		used[w.name()] = true
	}
	return used
}
