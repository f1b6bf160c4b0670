package relay

import (
	"context"

	"magnoliastall.example/magno"
	"magnoliastall.example/magno/gate"
)

// agentlessShare is the share of an engine's limit that entries without access to its agent use.
// The agent may still grant the whole limit to the others.
const agentlessShare = 0.25

// recordNotice records what the upstream that answered states about itself, and passes it on to
// the process that grants requests to it. An answer that is misrouted or has no request id may
// be another upstream's. One that isn't signed ends nothing by what it doesn't state: not every
// failure comes from the part of the upstream that knows its state.
func (j *job) recordNotice(key string, reply *magno.Reply) {
	if reply.ID != j.id || reply.Misrouted {
		return
	}
	n, sentAt, grant := reply.Notice, j.sentAt, j.grant
	if !reply.Signed {
		sentAt, grant = 0, magno.LimitGrant{}
	}
	changed := j.Notices.Record(key, n, sentAt)
	if changed || n.RetryAfter > 0 {
		j.Log.Info("upstream notice", "replica", key, "request", j.id, "limited", n.Limited, "rate", n.Rate, "leaving", n.Leaving, "rest", n.RetryAfter)
	}
	if n.RetryAfter > 0 {
		j.Pools.Router(j.service.Name).Rest(key, j.Clock.Now()+n.RetryAfter)
		if j.Queues != nil {
			j.Queues.Rest(j.service.Name, key, j.Clock.Now()+n.RetryAfter)
		}
	}
	switch {
	case j.service.Engine != nil:
		if changed || (j.permitLimited != n.Limited && (n.Limited || reply.Signed)) {
			j.Permits.ReportNotice(key, gate.NoticeCall{ID: j.permitID, Limited: n.Limited, Rate: n.Rate, Leaving: n.Leaving, Signed: reply.Signed})
		}
	case changed, grant.Granted && (!n.Limited || n.Rate != grant.Rate):
		j.Limits.Report(key, n, grant)
	}
}

// takeLimit reports whether a request may be sent to an upstream that has no agent to grant it. It
// may if the upstream names no limit, or if the given share of its limit allows it.
func (j *job) takeLimit(ctx context.Context, key string, share float64) bool {
	j.grant = magno.LimitGrant{}
	rate, limited := j.Notices.Limit(key)
	if !limited {
		return true
	}
	j.grant = j.Limits.Take(ctx, key, rate*share)
	if !j.grant.Granted {
		j.deferRefusal(magno.Refuse(magno.KindBusy, "the upstream's limit is reached").WithRetryAfter(j.grant.RetryAfter))
	}
	return j.grant.Granted
}

// deferRefusal keeps a refusal for the case that no other upstream accepts the request. Of
// several, the one with the earliest time to return is kept.
func (j *job) deferRefusal(r *magno.Refusal) {
	if j.refusal == nil || r.After < j.refusal.After {
		j.refusal = r
	}
}
