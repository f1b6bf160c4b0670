// Package gate is the admission controller of one engine: it decides which requests start,
// which wait and which are refused, and which models and adapters the engine loads.
//
//	Offer --> queue --(adapter loaded, capacity, pacing)--> admitted --> Done
//	         ^  |            ^
//	  review |  v            | ApplyReport
//	 refused, declined     engine <-- Command (load, unload)
//
// Load pattern: prompts arrive in bursts. An engine prefills every prompt that it has between
// the decode steps of its running requests, so ten long prompts at once stall every stream for
// a second. A request whose adapter is not loaded cannot start until a load of about 250 ms has
// finished.
//
// Without this package each entry would send by its own count of requests, all streams would
// stall whenever bursts coincide, and adapters would evict each other from the slots.
//
// The engine's report is authoritative for what it holds. A command that was issued since and
// is not in the report yet counts as carried out, so that a lost reply never overcommits the
// engine.
package gate

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"magnoliastall.example/magno"
	"magnoliastall.example/magno/fair"
	"magnoliastall.example/magno/pace"
)

const (
	// tokenMemoryShare is the share of an engine's token memory that is reserved for admitted
	// requests. The rest absorbs output beyond the estimate.
	tokenMemoryShare = 0.9
	// maxReservedOutput bounds the output tokens reserved for a request: callers state a
	// maximum that few answers come near.
	maxReservedOutput = 600
	// maxQueued bounds the queue; it is far more than is served within any deadline.
	maxQueued = 512
	// lateWeight is the weight of a request that is already late, against 1 for one in time,
	// when loads are prioritized.
	lateWeight = 0.3
	// runTimeWeight is the weight of a new sample in the moving average of run times.
	runTimeWeight = 0.05
	// initialRunTime is that average before the first request has finished.
	initialRunTime = 1500 * magno.Millis(1)
	// grantExpirySlack is how long after its deadline an admitted request still counts if no
	// end was reported for it: its entry may have failed.
	grantExpirySlack = magno.Second
	// minRetryAfter and maxRetryAfter bound the retry-after time of a refusal.
	minRetryAfter = 50 * magno.Millis(1)
	maxRetryAfter = 5 * magno.Second
)

// Gate controls admission to one engine. It is not safe for concurrent use. Clock must be set
// before the first call.
type Gate struct {
	Clock *magno.Clock
	// OrderByEstimate orders the queue by whether first events can be on time, instead of by start
	// times alone.
	OrderByEstimate bool

	spec      Spec
	queue     []*queuedRequest
	active    map[string]*activeRequest
	inventory inventory
	pacer     pacer
	prefixes  *prefixCache
	shares    fair.Shares
	// limiter is the limit that the engine names. reportsLimit is true if its reports have named
	// one, so that a report without one says that it has ended.
	limiter      pace.Limiter
	reportsLimit bool
	// leavingAt is when the engine first stated that it leaves, in an answer or in a report, zero
	// if it didn't. reportsLeaving is true if a report did.
	leavingAt      magno.Millis
	reportsLeaving bool
	// countsRequests is true once a report of the engine has counted any.
	countsRequests bool
	// restartedAt is when the engine was last seen to have restarted, zero if it wasn't.
	restartedAt magno.Millis
	// meanRunTime is the moving average of run times, in ms.
	meanRunTime float64
	lengths     lengthEstimates
	// evaluateOnce orders the queue by start time alone and evaluates requests at their arrival
	// only. Tests compare with it.
	evaluateOnce bool
	// declaredLengths admits by declared maxima alone. Tests compare with it.
	declaredLengths bool
}

func (g *Gate) setup() {
	if g.active == nil {
		g.active = map[string]*activeRequest{}
		g.meanRunTime = float64(initialRunTime)
		g.shares.Clock = g.Clock
		g.prefixes = newPrefixCache()
		g.inventory.setup()
	}
}

// now returns the time, and sets it as the time at which the inventory is evaluated.
func (g *Gate) now() magno.Millis {
	g.inventory.now = g.Clock.Now()
	return g.inventory.now
}

// SetSpec sets what the engine is configured to be. A spec of another incarnation drops the
// state of the previous one: what was loaded and what ran there is gone.
func (g *Gate) SetSpec(s Spec) {
	g.setup()
	if g.spec.Replica != "" && s.Replica != g.spec.Replica {
		g.reset()
	}
	s.Pins = newestVersions(g.spec.Pins, s.Pins)
	g.spec, g.shares.Weights = s, s.Weights
	g.pacer.engine.Stride = s.Engine.Stride
	g.inventory.setSpec(&g.spec, g.Clock.Now())
}

// newestVersions returns the higher of two versions of each adapter. The sender of a spec may know
// older ones than its predecessor, if its list came back from an older copy.
func newestVersions(known, next map[string]int64) map[string]int64 {
	older := func(name string) bool { return known[name] > next[name] }
	if !slices.ContainsFunc(slices.Collect(maps.Keys(known)), older) {
		return next
	}
	merged := maps.Clone(known)
	for name, version := range next {
		merged[name] = max(version, known[name])
	}
	return merged
}

// Spec returns the spec last set.
func (g *Gate) Spec() Spec { return g.spec }

func (g *Gate) reset() {
	clear(g.active)
	g.lengths.invalidate()
	g.shares.Reset()
	g.pacer.reset()
	g.prefixes = newPrefixCache()
	g.inventory.reset()
	g.limiter, g.reportsLimit = pace.Limiter{}, false
	g.leavingAt, g.reportsLeaving = 0, false
	g.countsRequests = false
}

// ApplyReport takes the engine's report, which was requested at the time asked.
func (g *Gate) ApplyReport(r *magno.Report, asked magno.Millis) {
	g.setup()
	if g.inventory.restarted(r) {
		g.reset()
		g.restartedAt = asked
	}
	g.inventory.applyReport(r, asked)
	g.updateProgress(r, asked)
	g.endLost(r, asked)
	g.applyNotice(&r.Notice, asked)
}

// ApplyOutcome takes the outcome of a command and the time of its reply.
func (g *Gate) ApplyOutcome(c magno.Command, o magno.Outcome, at magno.Millis) {
	g.setup()
	g.inventory.applyOutcome(c, o, at)
}

// Declines reports whether the expected wait of a request has grown since the entry last heard
// of this engine, so far that another engine is the better choice now.
//
// Load pattern: several entries send to whichever engine looked best in reports that are
// 250 ms old, and their requests meet at the same one. The engine itself declines within one
// round trip, from current state.
func (g *Gate) Declines(req *Request) bool {
	g.setup()
	return req.DeclineAbove > 0 && g.spec.Replica != "" && !g.isLeaving() && g.expectedWait(req, g.now())+g.congestion() > req.DeclineAbove
}

// Offer queues a request. It refuses one at once if the expected wait is over its MaxWait:
// queueing it would gain nothing, and the caller may still be served elsewhere.
func (g *Gate) Offer(req Request) *magno.Refusal {
	g.setup()
	now := g.now()
	if g.spec.Replica == "" {
		return magno.Refuse(magno.KindStarting, "what stands beside this agent isn't known yet").WithRetryAfter(minRetryAfter)
	}
	if g.isLeaving() {
		return refuseLeaving()
	}
	if !g.inventory.available(req.Model) {
		return magno.Refuse(magno.KindLoading, "the engine isn't configured for the model %q", req.Model).WithRetryAfter(maxRetryAfter)
	}
	if len(g.queue) >= maxQueued {
		return magno.Refuse(magno.KindBusy, "%d requests wait", len(g.queue)).WithRetryAfter(boundRetryAfter(g.expectedWait(&req, now)))
	}
	wait := g.expectedWait(&req, now)
	if wait > req.MaxWait {
		kind := magno.KindBusy
		if !g.inventory.ready(&req) {
			kind = magno.KindLoading
		}
		return magno.Refuse(kind, "a wait of %d ms is expected, its patience is %d ms", wait, req.MaxWait).
			WithRetryAfter(boundRetryAfter(wait))
	}
	w := g.newQueued(&req, now)
	w.late = now+wait+g.pacer.prefillTime(w.tokens)+g.pacer.engine.EventInterval() > w.startBy
	w.expectedOnTime = !w.late
	w.cause = g.cause(&req)
	g.queue = append(g.queue, w)
	g.inventory.recordDemand(req.qualifiedName(), now)
	return nil
}

func (g *Gate) newQueued(req *Request, now magno.Millis) *queuedRequest {
	return &queuedRequest{
		Request: *req, queuedAt: now, startBy: now + req.StartTarget, giveUpAt: now + req.MaxWait, deadline: now + req.TimeLeft, accountedAt: now,
		tokens: g.prefillTokens(req), expectedTokens: g.expectedTokens(req),
	}
}

// Started reports whether a request was admitted and hasn't ended.
func (g *Gate) Started(id string) bool { return g.active[id] != nil }

// Done ends a request; ok is true if it completed.
func (g *Gate) Done(id string, ok bool) {
	g.setup()
	if i := slices.IndexFunc(g.queue, func(w *queuedRequest) bool { return w.ID == id }); i >= 0 {
		g.queue = slices.Delete(g.queue, i, i+1)
		return
	}
	r := g.active[id]
	if r == nil {
		return
	}
	delete(g.active, id)
	g.lengths.invalidate()
	g.releaseShare(r)
	if ok {
		g.pacer.finish(r.prefillTokens)
		g.meanRunTime += runTimeWeight * (float64(g.Clock.Now()-r.grantedAt) - g.meanRunTime)
		return
	}
	g.pacer.discard(r.prefillTokens)
}

// RecordPause takes the longest pause between two events of a request's stream. It must be
// called before Done.
func (g *Gate) RecordPause(id string, longest magno.Millis) {
	g.setup()
	if r := g.active[id]; r != nil && r.request.MaxGap > 0 && longest > 0 {
		g.pacer.recordPause(longest, r.request.MaxGap, g.Clock.Now())
	}
}

// Decide returns the requests to admit, to decline and to reject now. It must be called after each change,
// and about every 20 ms while requests are queued.
func (g *Gate) Decide() Decisions {
	g.setup()
	now := g.now()
	var d Decisions
	for id, r := range g.active {
		if now > r.expiresAt {
			g.pacer.discard(r.prefillTokens)
			g.releaseShare(r)
			delete(g.active, id)
			g.lengths.invalidate()
		}
	}
	f := g.forecast(now)
	g.expire(&d, &f, now)
	g.pacer.maxGap = g.minGap()
	g.sortQueue(&f, now)
	g.orderByShares()
	g.review(&d, now)
	g.admit(&d, now)
	g.accountWaits(now)
	return d
}

// Commands returns the commands to send to the engine now, most urgent first. Each counts as
// issued until ApplyOutcome is called for it.
func (g *Gate) Commands() []magno.Command {
	g.setup()
	now := g.now()
	return g.inventory.commands(g.namesByDemand(), g.inUse(), now)
}

// runningCount counts the running requests. The engine's own count may be higher, since
// requests can reach it without a permit.
func (g *Gate) runningCount() int { return max(len(g.active), g.inventory.running) }

// namesByDemand lists the names that queued requests need, most valuable first. A request
// counts double for each step in rank, and lateWeight of that if it can no longer start in
// time. After a restart, when nothing is loaded, the adapters with most callers come first.
func (g *Gate) namesByDemand() []string {
	now := g.inventory.now
	worth := map[string]float64{}
	var names []string
	for _, w := range g.queue {
		name := w.qualifiedName()
		if worth[name] == 0 {
			names = append(names, name)
		}
		gain := math.Exp2(-float64(w.Rank))
		if now+g.inventory.coldLoadTime() > w.startBy {
			gain *= lateWeight
		}
		worth[name] += gain
	}
	slices.SortStableFunc(names, func(a, b string) int { return cmp.Compare(worth[b], worth[a]) })
	return names
}

// missingNames lists what queued requests need and is not ready, in load order.
func (g *Gate) missingNames() []string {
	return slices.DeleteFunc(g.namesByDemand(), func(name string) bool {
		model, adapter := splitName(name)
		return g.inventory.ready(&Request{Model: model, Adapter: adapter})
	})
}

// inUse returns the names that running or queued requests use.
func (g *Gate) inUse() map[string]bool {
	names := make(map[string]bool, len(g.active)+len(g.queue))
	for _, r := range g.active {
		names[r.request.qualifiedName()] = true
	}
	for _, w := range g.queue {
		names[w.qualifiedName()] = true
	}
	return names
}
