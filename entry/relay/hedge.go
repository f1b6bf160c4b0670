package relay

import (
	"context"
	"net/http"
	"slices"
	"sync"

	"github.com/VictoriaMetrics/metrics"

	"magnoliastall.example/entry/hop"
)

// Hedged requests: one whose upstream is silent is sent to another upstream as well. The job and each of its hedges,
// with all their attempts, are racers for the response.
//
//	read limit passes --> awaitsAnswer --> startHedge --> tryUpstreams, of a copy of the job
//	                                                                            |
//	first whole answer or event that the caller lacks --> claim: stops others <-'
//	hedge ends without a claim --> mergeHedge --> the first is still awaited
//
// Load pattern: sound upstreams are silent for a second and go on, others hang for good, and from outside they look
// the same. Another upstream that could be chosen may refuse, fail, break off or be silent too. So a connection
// is given up only once another upstream has answered, or gone on with the stream: a header, a comment or an event that
// the caller has already may be followed by nothing.

// race is a request that several upstreams may answer.
type race struct {
	// ctx ends with the request.
	ctx context.Context //nolint:containedctx // each hedge is started from it, however long the others last
	mu  sync.Mutex
	// racers are the job and its hedges that haven't ended.
	racers []*racer
}

// racer is a job in a race. Its fields are guarded by mu of the race.
type racer struct {
	// stop ends its attempts.
	stop context.CancelFunc
	// startedBy is the racer whose hedge it is, nil if it is none.
	startedBy *racer
	// lost is true once another racer has claimed the response.
	lost bool
	// waits is true while nothing of it is left but its hedge.
	waits bool
}

// enter adds a racer, which runs until the returned context ends. One that is started by another has lost if that has.
func (r *race) enter(startedBy *racer) (context.Context, *racer) {
	ctx, stop := context.WithCancel(r.ctx)
	added := &racer{stop: stop, startedBy: startedBy}
	r.mu.Lock()
	defer r.mu.Unlock()
	if startedBy != nil && startedBy.lost {
		added.lost = true
		stop()
	}
	r.racers = append(r.racers, added)
	return ctx, added
}

// leave removes a racer that has ended, or whose hedge answers in its place.
func (r *race) leave(ended *racer) {
	ended.stop()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.racers = slices.DeleteFunc(r.racers, func(other *racer) bool { return other == ended })
}

// claim gives the response to a racer and stops all others. It returns false if another one has it.
func (r *race) claim(winner *racer) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if winner.lost {
		return false
	}
	for _, other := range r.racers {
		if other != winner {
			other.lost = true
			other.stop()
		}
	}
	return true
}

// abandon stops a racer and all hedges that come from it.
func (r *race) abandon(one *racer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, other := range r.racers {
		for from := other; from != nil; from = from.startedBy {
			if from == one {
				other.lost = true
				other.stop()
			}
		}
	}
}

// isAlone reports whether no other racer may answer.
func (r *race) isAlone(one *racer) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !slices.ContainsFunc(r.racers, func(other *racer) bool { return other != one && !other.waits })
}

// setWaits records whether nothing of a racer is left but its hedge.
func (r *race) setWaits(one *racer, waits bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	one.waits = waits
}

// hasLost reports whether another racer has claimed the response.
func (r *race) hasLost(one *racer) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return one.lost
}

// hedge is the copy of a job that is tried at other upstreams.
type hedge struct {
	copy *job
	// runs and arrivals are those of the job at its start.
	runs, arrivals int
	// ended is closed once res or panicked is set and nothing of the hedge goes on.
	ended chan struct{}
	res   result
	// panicked is what it panicked with, nil if it didn't.
	panicked any
}

// claim is called before the first byte of an answer, and each event, is written. It returns false if another racer
// has begun to write.
func (j *job) claim() bool {
	j.claimed = j.race.claim(j.racer)
	return j.claimed
}

// awaitsAnswer is called when the upstream has exceeded the read limit. It reports whether the answer is
// still awaited, as it is unless the incarnation is known to have ended. The request is sent to another upstream as
// well.
func (j *job) awaitsAnswer(ctx context.Context, conn *hop.Conn) bool {
	if ctx.Err() != nil || j.replaced() {
		return false
	}
	j.silent = true
	j.startHedge()
	metrics.GetOrCreateCounter("late_answers_awaited_total").Inc()
	j.setLimit(ctx, conn, j.readLimit)
	return true
}

// replaced reports whether another incarnation is known to be at the address of the last send's upstream. One that
// only left the list, or that its agent can't reach, may go on.
func (j *job) replaced() bool {
	snap := j.Book.Current()
	if snap.Find(j.lastReplica) == nil && snap.Occupied(j.lastAddress) {
		return true
	}
	return j.service.Engine != nil && j.Permits.Restarted(j.lastReplica)
}

// startHedge sends the request to another upstream as well, unless that happens already, or there is none, no time,
// or no retry left in the budget.
func (j *job) startHedge() {
	if !j.reapHedge() || !j.canRetryElsewhere() || j.deadline-j.Clock.Now() < minRunTime/2 || len(j.choose().replicas) == 0 || !j.reserveRetry() {
		return
	}
	h := &hedge{copy: j.copyForHedge(), runs: j.runs, arrivals: j.arrivals, ended: make(chan struct{})}
	j.retryReserved = false // it is the hedge's now
	ctx, racer := j.race.enter(j.racer)
	h.copy.racer = racer
	j.hedge = h
	metrics.GetOrCreateCounter("hedges_total").Inc()
	j.Log.Info("hedge", "request", j.id, "silent", j.lastReplica, "events", j.events, "tries", j.sends, "left", j.deadline-j.Clock.Now())
	go func() {
		defer close(h.ended)
		defer h.copy.responseMem.release()
		defer func() {
			h.panicked = recover() // joinHedge goes on with it, on the goroutine of the handler
			h.copy.abandonHedge()
		}()
		h.res = h.copy.tryUpstreams(ctx)
	}()
}

// copyForHedge returns a copy of the job that shares nothing with it that either changes.
func (j *job) copyForHedge() *job {
	c := *j
	c.hedged, c.claimed, c.silent, c.hedge = true, false, false, nil
	c.tried, c.declined = slices.Clone(j.tried), slices.Clone(j.declined)
	c.responseMem = reservation{budget: j.ResponseMemory}
	c.turn, c.stopAbort, c.refusal = nil, nil, nil
	if !j.responding {
		c.unanswered = j.lastReplica
	}
	return &c
}

// reapHedge merges the hedge if it has ended. It returns false if one is still in progress, has the response or panicked.
func (j *job) reapHedge() bool {
	if j.hedge == nil {
		return true
	}
	select {
	case <-j.hedge.ended:
	default:
		return false
	}
	if j.hedge.copy.claimed || j.hedge.panicked != nil {
		return false
	}
	j.mergeHedge()
	return true
}

// joinHedge waits for the hedge, if there is one, after an attempt with the given result, and returns the result of
// both. The hedge of an attempt that brought the answer is stopped by then.
func (j *job) joinHedge(res result) result {
	h := j.hedge
	if h == nil {
		return res
	}
	if res == resultDone {
		_ = http.NewResponseController(j.w).Flush() // the answer doesn't wait for the hedge
	}
	j.responseMem.release() // the hedge may wait for memory
	j.race.setWaits(j.racer, true)
	<-h.ended
	j.race.setWaits(j.racer, false)
	if h.panicked != nil {
		if res != resultDone {
			j.hedge = nil
			panic(h.panicked)
		}
		j.Log.Error("a hedge panicked", "request", j.id, "panic", h.panicked)
	}
	if !h.copy.claimed {
		j.mergeHedge()
		return res
	}
	// The copy has answered the request, or goes on with it. Memory stays with its owner.
	j.race.leave(j.racer)
	bodyMem, responseMem := j.bodyMem, j.responseMem
	*j = *h.copy
	j.bodyMem, j.responseMem = bodyMem, responseMem
	return h.res
}

// abandonHedge ends the hedge of an attempt that has panicked, if there is one.
func (j *job) abandonHedge() {
	if j.hedge != nil {
		j.race.abandon(j.hedge.copy.racer)
		<-j.hedge.ended
	}
}

// mergeHedge takes over what a hedge that ended without the response has done.
func (j *job) mergeHedge() {
	h := j.hedge
	c := h.copy
	j.hedge = nil
	j.race.leave(c.racer)
	j.tried, j.declined, j.sends = c.tried, c.declined, c.sends
	j.arrivals += c.arrivals - h.arrivals
	j.runs += c.runs - h.runs
	j.mayHaveRun = j.runs > 0
	j.trial, j.unanswered, j.retryReserved = c.trial, c.unanswered, c.retryReserved
	j.permitWait, j.waitCauses, j.upstreamWait, j.renewals = c.permitWait, c.waitCauses, c.upstreamWait, c.renewals
	if j.failure == nil {
		j.failure = c.failure
	}
	if c.refusal != nil {
		j.deferRefusal(c.refusal)
	}
	j.logTry("hedge", resultErrors[h.res])
}
