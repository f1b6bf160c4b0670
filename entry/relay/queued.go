package relay

import (
	"context"
	"slices"

	"github.com/cockroachdb/errors"

	"magnoliastall.example/entry/queues"
	"magnoliastall.example/magno"
	"magnoliastall.example/magno/caller"
	"magnoliastall.example/magno/queue"
)

// unfitRest is for how long a queue doesn't use an upstream that may not be sent to, if it states no
// time itself. The queue learns that an upstream leaves a moment later.
const unfitRest = 50 * magno.Millis(1)

// Queues holds the queues of plain services that many entries share. queues.Manager implements it.
type Queues interface {
	// Acquire waits until the request is to be sent.
	Acquire(ctx context.Context, service string, r queues.Request) (*queues.Turn, error)
	// Rest excludes an upstream until the given time.
	Rest(service, upstream string, until magno.Millis)
}

// sendQueued sends the request when its turn comes. It returns false if the service has no queue.
func (j *job) sendQueued(ctx context.Context) (res result, queued bool) {
	if j.Queues == nil || j.requiredBuild() != "" {
		return 0, false
	}
	for range maxReplicasTried {
		turn, err := j.Queues.Acquire(ctx, j.service.Name, queues.Request{
			Customer: j.customerName(), Rank: j.route.Rank, Received: j.received, Due: j.received + j.route.Aim, Deadline: j.deadline, Avoid: j.tried,
		})
		var refusal *magno.Refusal
		switch {
		case errors.Is(err, queues.ErrNotQueued):
			return 0, false
		case errors.As(err, &refusal):
			j.refusal = refusal
			return resultRefused, true
		case err != nil:
			return resultAborted, true
		}
		if res, sent := j.takeTurn(ctx, turn); sent {
			return res, true
		}
	}
	return resultRefused, true
}

// takeTurn sends the request to the upstream of a turn. It returns false if that may not be sent to
// now.
func (j *job) takeTurn(ctx context.Context, turn *queues.Turn) (res result, sent bool) {
	defer turn.End(queue.Result{Void: true}) // unless it ended before
	key := turn.Upstream
	list := j.findReplicas([]string{key})
	switch {
	case caller.Left(j.r.Context()):
		return resultAborted, true
	case len(list) == 0:
		j.Queues.Rest(j.service.Name, key, j.Clock.Now()+max(j.Notices.RestLeft(key), unfitRest))
		return 0, false
	case j.runs > 0 && slices.Contains(j.tried, key):
		return resultRefused, true // it may have run there
	case !j.takeLimit(ctx, key, 1):
		if ctx.Err() != nil {
			return resultAborted, true
		}
		j.Queues.Rest(j.service.Name, key, j.Clock.Now()+max(j.grant.RetryAfter, 1))
		return 0, false
	}
	j.turn, j.turnAt = turn, j.Clock.Now()
	res = j.sendPlain(ctx, list[0])
	switch res {
	case resultDone:
		j.endTurn(queue.Result{OK: true})
	case resultNotRun:
		j.endTurn(queue.Result{Shed: true})
	case resultUnsent, resultFailed, resultSuperseded:
		j.endTurn(queue.Result{})
	case resultAborted:
		if j.r.Context().Err() == nil && !j.race.hasLost(j.racer) {
			j.endTurn(queue.Result{}) // no answer by the deadline
		}
	}
	return res, true
}

// endTurn ends the turn of the last send, if it had one.
func (j *job) endTurn(res queue.Result) {
	if j.turn == nil {
		return
	}
	res.Took = j.Clock.Now() - j.turnAt
	j.turn.End(res)
	j.turn = nil
}
