package relay

import (
	"context"
	"strconv"

	"magnoliastall.example/magno"
	"magnoliastall.example/magno/gate"
)

// choice is a router's, as far as its names are known still.
type choice struct {
	replicas []*magno.Replica
	// most is the longest wait for which the first is the best, zero for any.
	most magno.Millis
}

// choose asks the router.
func (j *job) choose() choice {
	c := j.Pools.Router(j.service.Name).Choose(j.query())
	return choice{replicas: j.replicas(c.Names), most: c.Most}
}

// best asks the agent of the best replica, which may say that another one is
// better by now, and then the others.
func (j *job) best(ctx context.Context, choice choice) result {
	for range mostDeclines {
		if len(choice.replicas) == 0 {
			break // all left since
		}
		res, ok := j.permitted(ctx, choice.replicas[0], choice.most)
		switch {
		case res == resultDeclined:
			choice = j.choose()
		case ok:
			return res
		case ctx.Err() != nil:
			return resultGone
		default:
			return j.engine(ctx, choice.replicas[1:])
		}
	}
	return j.engine(ctx, choice.replicas)
}

// engine asks the agents of the best replicas in turn until one lets the
// request begin, however long that takes.
func (j *job) engine(ctx context.Context, replicas []*magno.Replica) result {
	for _, r := range replicas[:min(len(replicas), mostChoices)] {
		res, ok := j.permitted(ctx, r, 0)
		if ok {
			return res
		}
		if ctx.Err() != nil {
			return resultGone
		}
	}
	return resultRefused
}

// permitted sends to one engine, if it may; false when it may not. What waits
// for its permit counts as the engine's work as well: a clump of requests would
// otherwise follow its first one to an engine that looks idle still.
func (j *job) permitted(ctx context.Context, r *magno.Replica, most magno.Millis) (result, bool) {
	key, work := r.Key(), j.call.Prompt
	router := j.Pools.Router(j.service.Name)
	router.Sent(key, work)
	id, res := j.permit(ctx, key, most)
	if res != resultDone {
		router.Sent(key, -work)
		return res, res == resultGone
	}
	sent := j.Clock.Now()
	res = j.send(ctx, r, j.rank())
	router.Ended(key, work, j.Clock.Now()-sent, res != resultUnsent && res != resultFailed)
	j.Permits.Release(key, gate.EndCall{ID: id, OK: res == resultDone, MaxPause: j.pause})
	return res, true
}

// permit waits until the request may begin at a replica. It returns what the
// permit goes by, with resultDone when the request may, resultRefused when it
// may not, resultDeclined when another one is better now, and resultGone when
// there is nobody left to serve.
func (j *job) permit(ctx context.Context, key string, most magno.Millis) (string, result) {
	from := j.Clock.Now()
	ask := j.ask(from)
	ask.DeclineAbove = most
	reply, err := j.Permits.Acquire(ctx, key, ask)
	j.waited += j.Clock.Now() - from
	if err == nil {
		j.waits.Add(&reply.Waits)
	}
	switch {
	case ctx.Err() != nil:
		if err == nil {
			j.Permits.Release(key, gate.EndCall{ID: ask.ID})
		}
		return "", resultGone
	case err != nil:
		// Nobody decides there now. What the engine held goes without.
		if !j.Permits.Holds(key, gate.QualifiedName(j.call.Model, j.call.Adapter)) {
			return "", resultRefused
		}
	case reply.Declined:
		return "", resultDeclined
	case reply.Refusal != nil:
		if j.refusal == nil || reply.Refusal.After < j.refusal.After {
			j.refusal = magno.Refuse(reply.Refusal.Kind, "%s", reply.Refusal.Detail).Later(max(reply.Refusal.After, busyAfter))
		}
		return "", resultRefused
	}
	if len(j.replicas([]string{key})) == 0 {
		// It began to leave while the request waited for its turn there.
		j.Permits.Release(key, gate.EndCall{ID: ask.ID})
		return "", resultRefused
	}
	return ask.ID, resultDone
}

// ask is the request as the gate sees it.
func (j *job) ask(now magno.Millis) gate.Request {
	left := j.end - now
	due, until := j.awaited()
	patience := left - leastRun
	if j.route.Kind == magno.KindStream {
		patience = min(patience, until-waitSlack-now)
	}
	return gate.Request{
		ID:    j.Name + "/" + strconv.FormatUint(j.number.Add(1), 10) + "/" + j.id,
		Model: j.call.Model, Adapter: j.call.Adapter, Prompt: j.call.Prompt, MaxOutput: j.call.Output, ExpectedOutput: j.call.Length,
		PrefixTokens: j.call.Shared, PrefixHash: j.call.Prefix, Rank: j.rank(),
		StartTarget: due - now, MaxWait: patience, TimeLeft: left,
		MaxGap: j.route.Gap,
	}
}

// awaited tells when the caller's next event is due, and when a caller of a stream
// leaves without it. Both count from the last event that the caller got: a stream
// that broke off after some seconds goes on elsewhere if that one takes it at once.
// Counted from the first attempt, its time had always passed, and no engine took it.
func (j *job) awaited() (due, until magno.Millis) {
	gap := max(callersGap, aimGaps*j.route.Aim, pauseGaps*j.route.Gap)
	if j.events > 0 {
		return j.passed + j.route.Gap, j.passed + gap
	}
	return j.came + j.route.Aim, j.came + gap
}
