package relay

import (
	"context"
	"net/http"
	"slices"

	"github.com/cockroachdb/errors"

	"magnoliastall.example/entry/queues"
	"magnoliastall.example/magno"
	"magnoliastall.example/magno/gate"
	"magnoliastall.example/magno/origin"
	"magnoliastall.example/magno/paths"
	"magnoliastall.example/magno/view"
)

const (
	// minRunTime is the least time that must be left for a request to be worth starting:
	// reading the prompt and making the first event.
	minRunTime = 200 * magno.Millis(1)
	// minCallerPatience, callerPatienceAims and callerPatienceGaps determine when callers
	// abandon a stream that makes no event: after two seconds, four times the aim or eight
	// times the allowed gap between events, whichever is longest.
	minCallerPatience  = 2 * magno.Second
	callerPatienceAims = 4
	callerPatienceGaps = 8
	// callerMargin is how much of that time must be left when a request starts.
	callerMargin = 500 * magno.Millis(1)
	// maxReplicasTried bounds the replicas that are tried for a request.
	maxReplicasTried = 3
	// maxDeclines bounds how many engines may decline a request, at its arrival there or from
	// their queue, because another one is better now. Each costs a round trip, and brings the current state of one of the few candidates.
	maxDeclines = 2
	// busyRetryAfter is the Retry-After where no agent provides one.
	busyRetryAfter = 200 * magno.Millis(1)
	// noReplicaRetryAfter is the Retry-After where a service has no replica.
	noReplicaRetryAfter = 500 * magno.Millis(1)
	// plainWork is the work of a request to a plain service. Such requests differ little.
	plainWork = 1
)

// job is one request in progress.
type job struct {
	*Handler
	w    http.ResponseWriter
	r    *http.Request
	snap *view.Snapshot
	call magno.Call
	// id identifies the caller's attempt.
	id    string
	route *magno.Route
	// body is in blocks, one after the other.
	body [][]byte
	// bodyRead is true once body was read, bodyLate if it wasn't complete in time.
	bodyRead, bodyLate bool
	// bodyMem and responseMem are the memory reserved for the body and for an upstream's
	// response.
	bodyMem, responseMem reservation
	// customer is the owner of the caller's key, nil where no key is needed. cost is what the
	// request was charged against the customer's limit.
	customer *magno.Customer
	cost     float64
	// configAge is how long ago the configuration had been confirmed when the key was checked,
	// zero where no key is needed.
	configAge magno.Millis
	// prints are the request's fingerprint and those of the parts of its prompt.
	prints []uint64
	// received is when the request's header was read, deadline when the response is due.
	received, deadline magno.Millis

	service *magno.Service
	// sends counts the sends to upstreams. tried lists the replicas that they went to.
	sends int
	tried []string
	// declined lists the replicas whose agents declined the request, at most maxDeclines.
	declined []string
	// mayHaveRun is true once an upstream may have started to run the request.
	mayHaveRun bool
	// runs counts the upstreams that may have run it.
	runs int
	// arrived is true once an upstream may have received the request: all further sends are
	// retries. retryReserved is true while one is reserved in the retry budget.
	arrived, retryReserved bool
	// arrivals counts the upstreams that may have received it, unanswered is the last of them if it gave no sign.
	arrivals   int
	unanswered string
	// resent is true if the last send is a retry. responding is true once its upstream has sent a header.
	resent, responding bool
	// trial is true for a request that is refused and was sent once all the same.
	trial bool
	// sentAt is when the last send began, sendNumber its number among those of the process.
	sentAt     magno.Millis
	sendNumber uint64
	// begunAt is when the first event of the last send came, zero before. underWay is true once it was followed by
	// one beginTime later.
	begunAt  magno.Millis
	underWay bool
	// stopAbort ends the abort of the last send's connection by the end of the request's context, and
	// returns false if that has begun.
	stopAbort func() bool
	// readLimit bounds the wait for the answer of the last send, or its next event, before another
	// upstream is tried.
	readLimit magno.Millis
	// connOpenedAt is when the connection of the last send was opened.
	connOpenedAt magno.Millis
	// permitID is the permit of the last send, empty if it had none. permitLimited is true if it
	// was granted under a limit of the engine.
	permitID      string
	permitLimited bool
	// grant is that of the last send to an upstream that names a limit and has no agent.
	grant magno.LimitGrant
	// turn is that of the last send to a service that is queued, taken at turnAt. It is nil once the
	// upstream answered.
	turn   *queues.Turn
	turnAt magno.Millis
	// race is shared with the hedges of the request, racer is the job's part in it. hedge is the one in progress that
	// the job has started, nil if there is none.
	race  *race
	racer *racer
	hedge *hedge
	// hedged is true if the job is itself a hedge. claimed is true once it has written an answer or an event, silent
	// once the upstream of the last send exceeded the read limit.
	hedged, claimed, silent bool
	// lastReplica is the replica of the last send, lastAddress its address. permitWait is the total wait for permits,
	// and waitCauses its causes as reported by agents.
	lastReplica string
	lastAddress string
	// lastTry says how the last send that failed did so.
	lastTry    string
	permitWait magno.Millis
	waitCauses gate.Waits
	// headSent is true once the header of the response was sent to the caller. lastEvent is the
	// id of the newest event that was sent, or that the caller had before, events the number of those sent.
	headSent  bool
	lastEvent string
	events    int
	// began is where the stream began, nil before its first event. buildKnown is false if the build of
	// the last send's replica isn't certain, and engineStart when that replica started by its agent,
	// zero if it had no permit.
	began       *origin.Origin
	buildKnown  bool
	engineStart magno.Millis
	// firstEvent is the time from the request to its first event, lastEventAt when the last
	// event was sent, and longestPause the longest time between two events.
	firstEvent, lastEventAt, longestPause magno.Millis
	// failure is the upstream's error response, forwarded if no other response can be had.
	failure *response
	// refusal is why the last choice of a replica was refused.
	refusal *magno.Refusal
	// answered is true once an agent has decided on a permit in the current attempt, other than that
	// its engine can't be used yet. newer is the revision of a list that names a later incarnation
	// than the last agent was asked for, zero if none does.
	answered bool
	newer    magno.Revision
	// renewals counts the waits for such a list, upstreamWait is the total wait for an upstream or
	// for the list.
	renewals     int
	upstreamWait magno.Millis
}

// result is the result of one attempt to send the request.
type result int

const (
	resultDone       result = iota // the caller has the response
	resultUnsent                   // nothing reached the upstream
	resultNotRun                   // the upstream states that it did not run the request
	resultFailed                   // the request ran, or may have
	resultAborted                  // the caller is gone, the deadline has passed, or another upstream answered first
	resultRefused                  // no replica or permit could be had
	resultDeclined                 // another upstream is better now
	resultSuperseded               // another upstream answered while this one was silent
)

// resultErrors describes the results of a hedge that ended without the response.
var resultErrors = map[result]error{
	resultUnsent: errors.New("not sent"), resultNotRun: errors.New("not run"), resultFailed: errors.New("failed"),
	resultAborted: errors.New("stopped"), resultSuperseded: errors.New("silent"), resultRefused: errors.New("refused"), resultDeclined: errors.New("declined"),
}

// worked reports whether the upstream served the request, as far as it could.
func (r result) worked() bool {
	return r != resultUnsent && r != resultFailed && r != resultSuperseded
}

// run sends the request until it is answered.
func (j *job) run() {
	j.service = j.snap.Plan.Service(paths.PickService(j.route, j.id))
	if j.service == nil {
		j.refuse(magno.Refuse(magno.KindNoUpstream, "the route's service isn't configured").WithRetryAfter(noReplicaRetryAfter))
		return
	}
	ctx, cancel := context.WithTimeout(j.r.Context(), (j.deadline - j.Clock.Now()).Duration())
	defer cancel()
	defer j.exit.await(cancel)()
	if j.route.Kind == magno.RouteStream && j.route.Repeatable() && eventNumber(j.call.From) >= 0 {
		j.lastEvent = j.call.From
	}
	if refusal := j.findOrigin(ctx); refusal != nil {
		j.refuse(refusal)
		return
	}
	if refusal := j.checkSuspect(); refusal != nil {
		j.refuse(refusal)
		return
	}
	if refusal := j.takeQuota(ctx); refusal != nil {
		j.refusal = refusal
		j.finish(resultRefused)
		return
	}
	defer j.returnQuota()
	j.Pools.CountRequest(j.service.Name)
	defer j.returnRetry()
	j.race = &race{ctx: ctx}
	own, racer := j.race.enter(nil)
	j.racer = racer
	defer racer.stop()
	defer func() {
		if j.hedge != nil { // an attempt has panicked
			cancel()
			<-j.hedge.ended
		}
	}()
	res := j.tryUpstreams(own)
	if res == resultDone {
		j.returns.served(j.service.Name, j.Clock)
	}
	j.finish(res)
}

// tryUpstreams sends the request until it is answered, or must not be sent any more.
func (j *job) tryUpstreams(ctx context.Context) result {
	for {
		res := j.joinHedge(j.attempt(ctx))
		if res == resultDone || !j.canRetry(ctx, res) {
			return res
		}
	}
}

// canRetry reports whether the request may be sent once more after res.
func (j *job) canRetry(ctx context.Context, res result) bool {
	if ctx.Err() != nil || j.deadline-j.Clock.Now() < minRunTime/2 {
		return false
	}
	switch res {
	case resultUnsent:
		return len(j.tried) < maxReplicasTried
	case resultNotRun:
		return len(j.tried) < maxReplicasTried && j.reserveRetry()
	case resultFailed:
		return j.canRetryElsewhere() && j.reserveRetry()
	}
	return false
}

// attempt chooses a replica, acquires a permit and sends the request once.
func (j *job) attempt(ctx context.Context) result {
	if j.service.Engine == nil {
		return j.sendToPlain(ctx)
	}
	for {
		_, usable := j.Pools.Listed(j.service.Name)
		res := j.attemptEngine(ctx)
		if !j.findsNone(res) || !j.waitForUpstream(ctx, usable) {
			return res
		}
		if !j.arrived {
			j.tried = nil // they refused connections, and may be back
		}
	}
}

// attemptEngine chooses an engine, acquires a permit and sends the request once.
func (j *job) attemptEngine(ctx context.Context) result {
	j.answered = false
	choice := j.choose()
	if len(choice.replicas) == 0 {
		return j.refuseChoice(&choice)
	}
	return j.sendToBest(ctx, choice)
}

// refuseChoice refuses the request because the choice is empty.
func (j *job) refuseChoice(c *choice) result {
	if c.retryAfter > 0 {
		j.answered = true
		j.refusal = magno.Refuse(magno.KindBusy, "no upstream of %s accepts requests now", j.service.Name).WithRetryAfter(c.retryAfter)
		return resultRefused
	}
	j.refusal = magno.Refuse(magno.KindNoUpstream, "no upstream of %s is there", j.service.Name).WithRetryAfter(noReplicaRetryAfter)
	return resultRefused
}

func (j *job) query() magno.Query {
	return magno.Query{Ref: j.engineRef(), Prefix: j.call.Prefix, Aim: j.route.Aim, Gap: j.route.Gap, Avoid: slices.Concat(j.tried, j.declined), Build: j.requiredBuild()}
}

// engineRef returns what an engine must hold for this request.
func (j *job) engineRef() magno.Ref {
	if j.service.Engine == nil {
		return magno.Ref{}
	}
	return magno.Ref{Adapter: gate.QualifiedName(j.call.Model, j.call.Adapter)}
}

// findReplicas returns the replicas with the given keys that are listed, fit the request and accept
// requests: they leave neither by the list nor by their own answers, and don't turn requests away.
func (j *job) findReplicas(names []string) []*magno.Replica {
	snap := j.Book.Current()
	list := make([]*magno.Replica, 0, len(names))
	for _, name := range names {
		if r := snap.Find(name); r != nil && j.fits(r) && !r.Leaving && !j.Notices.Leaving(name) && j.Notices.RestLeft(name) == 0 {
			list = append(list, r)
		}
	}
	return list
}

// sendToPlain sends the request to a replica of a plain service: by its queue if it has one, else to
// the best replica whose limit allows it.
func (j *job) sendToPlain(ctx context.Context) result {
	if res, queued := j.sendQueued(ctx); queued {
		return res
	}
	router := j.Pools.Router(j.service.Name)
	for range maxReplicasTried {
		choice := j.choose()
		if len(choice.replicas) == 0 {
			return j.refuseChoice(&choice)
		}
		r := choice.replicas[0]
		if j.takeLimit(ctx, r.Key(), 1) {
			return j.sendPlain(ctx, r)
		}
		if ctx.Err() != nil {
			return resultAborted
		}
		router.Rest(r.Key(), j.Clock.Now()+max(j.grant.RetryAfter, 1))
	}
	return resultRefused
}

// sendPlain sends the request to a replica of a plain service, which needs no permit.
func (j *job) sendPlain(ctx context.Context, r *magno.Replica) result {
	router := j.Pools.Router(j.service.Name)
	router.Sent(r.Key(), plainWork)
	start := j.Clock.Now()
	res := j.send(ctx, r, 0)
	router.Ended(r.Key(), plainWork, j.Clock.Now()-start, res.worked())
	router.Report(r.Key(), magno.Backlog{})
	return res
}
