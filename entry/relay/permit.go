package relay

import (
	"context"
	"slices"
	"strconv"

	"magnoliastall.example/magno"
	"magnoliastall.example/magno/caller"
	"magnoliastall.example/magno/gate"
)

// choice is a router's choice, limited to the replicas that are still available.
type choice struct {
	replicas []*magno.Replica
	// maxWait is the longest wait at the first replica for which it is the best one, zero for
	// any.
	maxWait magno.Millis
	// retryAfter is the time until one accepts requests again, if there is none because all rest.
	retryAfter magno.Millis
}

// choose asks the router for replicas. Those that declined the request are avoided as long as
// there are others: their agents decided from current state. If there are none, the request waits
// at one of them, which must not decline it again.
func (j *job) choose() choice {
	c := j.chooseFor(j.query())
	if len(c.replicas) > 0 || len(j.declined) == 0 {
		return c
	}
	q := j.query()
	q.Avoid = j.tried
	c = j.chooseFor(q)
	c.maxWait = 0
	return c
}

func (j *job) chooseFor(q magno.Query) choice {
	c := j.Pools.Router(j.service.Name).Choose(q)
	return choice{replicas: j.findReplicas(c.Names), maxWait: c.MaxWait, retryAfter: c.RetryAfter}
}

// sendToBest requests a permit for the best replica. Its agent may decline at once or after a
// wait, because another one is better now. The request has not been sent then, and keeps its
// arrival time and its deadline. After maxDeclines the remaining replicas are tried.
func (j *job) sendToBest(ctx context.Context, choice choice) result {
	for len(j.declined) < maxDeclines {
		if len(choice.replicas) == 0 {
			break // all replicas are leaving by now
		}
		res, ok := j.sendWithPermit(ctx, choice.replicas[0], choice.maxWait)
		switch {
		case res == resultDeclined:
			j.declined = append(j.declined, choice.replicas[0].Key())
			choice = j.choose()
		case res == resultRefused && j.newer > 0 && j.waitForList(ctx, len(choice.replicas) > 1):
			choice = j.choose()
		case ok:
			return res
		case ctx.Err() != nil:
			return resultAborted
		default:
			return j.sendToRest(ctx, choice.replicas, 1)
		}
	}
	return j.sendToRest(ctx, choice.replicas, 0)
}

// sendToRest requests permits for the replicas of a choice after the first ones. If no engine of the choice can be
// used at present, those that declined the request follow.
func (j *job) sendToRest(ctx context.Context, replicas []*magno.Replica, first int) result {
	res := j.sendToAny(ctx, replicas[first:])
	if res != resultRefused || j.answered || ctx.Err() != nil {
		return res
	}
	asked := slices.Clone(j.tried) // it may have run there
	for _, r := range replicas {
		asked = append(asked, r.Key())
	}
	return j.sendToAny(ctx, slices.DeleteFunc(j.findReplicas(j.declined), func(r *magno.Replica) bool {
		return slices.Contains(asked, r.Key())
	}))
}

// sendToAny requests permits for the best replicas in turn until one is granted, however long
// the wait.
func (j *job) sendToAny(ctx context.Context, replicas []*magno.Replica) result {
	for _, r := range replicas[:min(len(replicas), maxReplicasTried)] {
		res, ok := j.sendWithPermit(ctx, r, 0)
		if ok {
			return res
		}
		if ctx.Err() != nil {
			return resultAborted
		}
	}
	return resultRefused
}

// sendWithPermit sends to one engine after acquiring a permit. It returns false if there was
// none. Requests that wait for a permit count as the engine's work as well: otherwise a burst
// of requests would follow the first one to an engine that still looks idle.
func (j *job) sendWithPermit(ctx context.Context, r *magno.Replica, maxWait magno.Millis) (result, bool) {
	key, work := r.Key(), j.call.Prompt
	router := j.Pools.Router(j.service.Name)
	router.Sent(key, work)
	id, res := j.acquirePermit(ctx, key, maxWait)
	if res != resultDone {
		router.Sent(key, -work)
		return res, res == resultAborted
	}
	sent := j.Clock.Now()
	j.permitID = id
	res = j.send(ctx, r, j.rank())
	j.answered = j.answered || res == resultRefused // by this entry
	router.Ended(key, work, j.Clock.Now()-sent, res.worked())
	j.releasePermit(key, gate.EndCall{ID: id, OK: res == resultDone, MaxPause: j.longestPause, Output: j.output()})
	return res, true
}

// acquirePermit waits for the permit to start at a replica and returns its ID. The result is
// resultDone if the request may start, resultRefused if not, resultDeclined if another replica
// is better now, and resultAborted if the caller is gone or the deadline has passed.
func (j *job) acquirePermit(ctx context.Context, key string, maxWait magno.Millis) (string, result) {
	start := j.Clock.Now()
	j.permitLimited, j.grant, j.engineStart, j.newer = false, magno.LimitGrant{}, 0, 0
	req := j.permitRequest(start)
	req.DeclineAbove = maxWait
	reply, err := j.Permits.Acquire(ctx, key, req)
	j.permitWait += j.Clock.Now() - start
	if err == nil {
		j.waitCauses.Add(&reply.Waits)
	}
	switch {
	case ctx.Err() != nil || caller.Left(j.r.Context()):
		if err == nil {
			j.releasePermit(key, gate.EndCall{ID: req.ID})
		}
		return "", resultAborted
	case err != nil:
		// The agent is lost. Requests for what the engine held are sent without a permit, unless the
		// engine doesn't respond either, or has ended: it, or its successor, would get them later.
		if !j.Permits.Holds(key, gate.QualifiedName(j.call.Model, j.call.Adapter)) || j.Conns.Ended(key) || !j.Permits.Responds(ctx, key) {
			return "", resultRefused
		}
		if !j.takeLimit(ctx, key, agentlessShare) {
			j.answered = true
			return "", resultRefused
		}
		j.Log.Info("no permit", "request", j.id, "replica", key, "waited", j.Clock.Now()-start, "error", err)
	case reply.Declined:
		return "", resultDeclined
	case reply.Refusal != nil:
		j.recordUnusable(key, reply)
		j.deferRefusal(magno.Refuse(reply.Refusal.Kind, "%s", reply.Refusal.Detail).WithRetryAfter(max(reply.Refusal.After, busyRetryAfter)))
		return "", resultRefused
	}
	if err == nil && reply.Status.Replica != "" && reply.Status.Replica != key {
		// The engine was replaced after the permit was granted.
		j.releasePermit(key, gate.EndCall{ID: req.ID})
		j.recordUnusable(key, reply)
		j.deferRefusal(magno.Refuse(magno.KindNoUpstream, "another incarnation is there: %q", reply.Status.Replica).WithRetryAfter(busyRetryAfter))
		return "", resultRefused
	}
	if err == nil {
		j.answered = true
		j.engineStart = reply.Status.EngineStart
		j.permitLimited = reply.Status.Limit != nil && reply.Status.Limit.Limited
	}
	if len(j.findReplicas([]string{key})) == 0 {
		// The replica began to leave, or to turn requests away, while the request waited.
		j.releasePermit(key, gate.EndCall{ID: req.ID})
		if left := j.Notices.RestLeft(key); left > 0 {
			j.deferRefusal(magno.Refuse(magno.KindBusy, "the upstream turns requests away").WithRetryAfter(left))
		}
		if snap := j.Book.Current(); snap.Find(key) == nil {
			j.newer, j.answered = snap.Revision, false // its successor may be listed
		}
		return "", resultRefused
	}
	return req.ID, resultDone
}

// releasePermit ends a permit. A hedge doesn't wait until its agent knows: another upstream's answer may be complete, and
// ends once the hedge has.
func (j *job) releasePermit(key string, call gate.EndCall) {
	h := j.Handler
	if !j.hedged {
		h.Permits.Release(key, call)
		return
	}
	h.active.Add(1)
	go func() {
		defer h.active.Add(-1)
		h.Permits.Release(key, call)
	}()
}

// permitRequest returns the request in the form that the agent's gate expects.
func (j *job) permitRequest(now magno.Millis) gate.Request {
	left := j.deadline - now
	due, _ := j.eventDeadlines()
	return gate.Request{
		ID:    j.Name + "/" + strconv.FormatUint(j.permitSeq.Add(1), 10) + "/" + j.id,
		Route: j.route.Name, Model: j.call.Model, Adapter: j.call.Adapter, Customer: j.customerName(), Prompt: j.call.Prompt, MaxOutput: j.call.Output, ExpectedOutput: j.call.Length,
		PrefixTokens: j.call.Shared, PrefixHash: j.call.Prefix, Rank: j.rank(),
		StartTarget: due - now, MaxWait: j.patience(now), TimeLeft: left,
		MaxGap: j.route.Gap,
	}
}

// patience returns how long the request may wait before it starts.
func (j *job) patience(now magno.Millis) magno.Millis {
	patience := j.deadline - now - minRunTime
	if j.route.Kind == magno.RouteStream {
		_, until := j.eventDeadlines()
		patience = min(patience, until-callerMargin-now)
	}
	return patience
}

// eventDeadlines returns when the caller's next event is due, and when the caller of a stream
// abandons it without one. Both count from the last event that the caller got, so that a stream
// which broke off after some seconds can be resumed if another engine accepts it at once.
// Counted from the first attempt, its time would always be over, and no engine would accept it.
func (j *job) eventDeadlines() (due, until magno.Millis) {
	patience := j.callerPatience()
	if j.events > 0 {
		return j.lastEventAt + j.route.Gap, j.lastEventAt + patience
	}
	return j.received + j.route.Aim, j.received + patience
}

// callerPatience returns the time without an event after which a caller abandons a stream.
func (j *job) callerPatience() magno.Millis {
	return max(minCallerPatience, callerPatienceAims*j.route.Aim, callerPatienceGaps*j.route.Gap)
}
