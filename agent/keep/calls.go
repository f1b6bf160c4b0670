package keep

import (
	"context"
	"encoding/json"

	"github.com/VictoriaMetrics/metrics"

	"magnoliastall.example/magno"
	"magnoliastall.example/magno/gate"
	"magnoliastall.example/magno/wire"
)

// stats holds the metrics of the calls from entries.
type stats struct {
	grants, refusals, orders *metrics.Counter
	// declined counts requests that were declined because another engine is better suited.
	declined *metrics.Counter
	// handedBack counts the requests among them that were queued, refusedLate the queued ones
	// that were refused since they could not start before they gave up.
	handedBack, refusedLate *metrics.Counter
	waits                   *metrics.Histogram
	// causes has, for each cause, the part of each wait that is due to it.
	causes map[gate.Cause]*metrics.Histogram
	// overtakes counts the permits of requests that were ahead of an earlier one by fair shares.
	overtakes *metrics.Counter
	// byLength counts the permits that declared maxima would not have allowed.
	byLength *metrics.Counter
	// rate is the engine's estimated prefill rate, in tokens per millisecond.
	rate *metrics.Gauge
}

func (s *stats) open() {
	s.grants = metrics.GetOrCreateCounter("permits_granted_total")
	s.refusals = metrics.GetOrCreateCounter("permits_refused_total")
	s.declined = metrics.GetOrCreateCounter("permits_declined_total")
	s.handedBack = metrics.GetOrCreateCounter("handed_back_total")
	s.refusedLate = metrics.GetOrCreateCounter("refused_late_total")
	s.orders = metrics.GetOrCreateCounter("orders_total")
	s.waits = metrics.GetOrCreateHistogram("permit_wait_seconds")
	s.overtakes = metrics.GetOrCreateCounter("permits_by_share_total")
	s.byLength = metrics.GetOrCreateCounter("permits_by_length_total")
	s.rate = metrics.GetOrCreateGauge("engine_prefill_rate", nil)
	s.causes = map[gate.Cause]*metrics.Histogram{}
	for _, c := range gate.Causes() {
		s.causes[c] = metrics.GetOrCreateHistogram(`permit_wait_cause_seconds{cause="` + c.String() + `"}`)
	}
}

// recordWait records the wait of a request that starts, in total and by cause.
func (s *stats) recordWait(all magno.Millis, parts *gate.Waits) {
	s.waits.Update(float64(all) / 1000)
	for c, part := range parts {
		if part > 0 {
			s.causes[gate.Cause(c)].Update(float64(part) / 1000)
		}
	}
}

// permit handles MethodPermit. It returns once the request may start or is refused.
func (k *Controller) permit(ctx context.Context, _ *wire.Peer, params json.RawMessage) (any, error) {
	var call gate.PermitCall
	if err := json.Unmarshal(params, &call); err != nil {
		return nil, magno.Refuse(magno.KindMalformed, "%v", err)
	}
	ch := make(chan gate.PermitReply, 1)
	if !k.post(ctx, func() { k.offer(&call, ch) }) {
		return nil, ctx.Err()
	}
	select {
	case r := <-ch:
		k.listHistory.Trim(&r.Status, call.ListsHash)
		return r, nil
	case <-ctx.Done(): // the entry has disconnected, which ends the request
		k.post(context.WithoutCancel(ctx), func() { k.drop(call.ID, false) })
		return nil, ctx.Err()
	}
}

// offer passes a request to the gate. It runs on the gate's goroutine.
func (k *Controller) offer(call *gate.PermitCall, ch chan gate.PermitReply) {
	k.updateSpec(call.Spec, call.Revision, call.ID)
	k.waiting[call.ID] = ch
	if k.early.take(call.ID, k.Clock.Now()) {
		k.reply(call.ID, gate.PermitReply{Refusal: refuseCancelled()})
		return
	}
	r := k.check(call)
	if r == nil {
		k.adoptLimit(call.Limit, call.ID)
	}
	if r == nil && k.gate.Declines(&call.Request) {
		k.stats.declined.Inc()
		k.reply(call.ID, gate.PermitReply{Declined: true})
		return
	}
	if r == nil {
		r = k.gate.Offer(call.Request)
	}
	if r != nil {
		k.logRefusal(call.ID, r, "rank", call.Rank, "left", call.TimeLeft)
		k.stats.refusals.Inc()
		k.reply(call.ID, gate.PermitReply{Refusal: r})
	}
}

// handBack answers a queued request for which another engine is better by now.
func (k *Controller) handBack(x *gate.Decline) {
	k.stats.declined.Inc()
	k.stats.handedBack.Inc()
	args := append([]any{"request", x.ID, "why", "late here", "wait", x.Expected, "due", x.StartIn, "age", k.reportAge()}, x.Waits.LogArgs()...)
	k.Log.Info("handed back", args...)
	k.reply(x.ID, gate.PermitReply{Declined: true, Waits: x.Waits})
}

// check refuses a request that this agent cannot admit at present.
func (k *Controller) check(call *gate.PermitCall) *magno.Refusal {
	switch {
	case k.leaving:
		return magno.Refuse(magno.KindLeaving, "this agent stops")
	case k.down:
		return magno.Refuse(magno.KindNoUpstream, "the engine doesn't answer")
	case k.gate.Spec().Replica == "":
		return magno.Refuse(magno.KindStarting, "what stands beside this agent isn't known yet")
	case call.Replica != k.gate.Spec().Replica:
		return magno.Refuse(magno.KindNoUpstream, "another incarnation is here: %q", k.gate.Spec().Replica)
	case k.isSuperseded():
		return magno.Refuse(magno.KindNoUpstream, "a later incarnation is here, started at %d", k.engineStart)
	}
	return nil
}

// isSuperseded reports whether the engine has restarted since the list named the incarnation of the
// spec. Neither the list nor any entry may know of the later one yet.
func (k *Controller) isSuperseded() bool {
	start := magno.KeyStart(k.gate.Spec().Replica)
	return start > 0 && start < k.engineStart
}

// refuseWaiting refuses the waiting requests because the incarnation that they wait for has ended or
// doesn't answer. A permit granted now would let a request reach an incarnation that its entry's list
// doesn't name, or one that can't run it.
func (k *Controller) refuseWaiting(format string, args ...any) {
	for id := range k.waiting {
		r := magno.Refuse(magno.KindNoUpstream, format, args...)
		k.gate.Done(id, false)
		k.logRefusal(id, r)
		k.stats.refusals.Inc()
		k.reply(id, gate.PermitReply{Refusal: r})
	}
}

// drop ends a request, whether it runs, waits or hasn't been offered yet.
func (k *Controller) drop(id string, ok bool) {
	switch {
	case k.waiting[id] != nil:
		k.gate.Done(id, ok)
		k.reply(id, gate.PermitReply{Refusal: refuseCancelled()})
	case k.gate.Started(id):
		k.gate.Done(id, ok)
	case !ok:
		k.early.add(id, k.Clock.Now())
	}
}

func refuseCancelled() *magno.Refusal {
	return magno.Refuse(magno.KindCancelled, "the caller went away")
}

// end handles MethodEnd.
func (k *Controller) end(ctx context.Context, _ *wire.Peer, params json.RawMessage) (any, error) {
	var call gate.EndCall
	if err := json.Unmarshal(params, &call); err != nil {
		k.Log.Warn("malformed notification of the end of a request", "error", err)
		return nil, err
	}
	k.post(ctx, func() {
		k.gate.RecordPause(call.ID, call.MaxPause)
		if call.OK {
			k.gate.RecordOutput(call.ID, call.Output)
		}
		k.drop(call.ID, call.OK)
	})
	return nil, nil
}

// notice handles MethodNotice.
func (k *Controller) notice(ctx context.Context, _ *wire.Peer, params json.RawMessage) (any, error) {
	var call gate.NoticeCall
	if err := json.Unmarshal(params, &call); err != nil {
		k.Log.Warn("malformed notice of an engine", "error", err)
		return nil, err
	}
	k.post(ctx, func() { k.applyNotice(&call) })
	return nil, nil
}

// applyNotice runs on the gate's goroutine.
func (k *Controller) applyNotice(call *gate.NoticeCall) {
	if call.Replica != k.gate.Spec().Replica {
		return
	}
	changed := false
	switch {
	case call.Limited:
		changed = k.gate.NameLimit(call.Rate, k.Clock.Now())
	case call.Signed:
		changed = k.gate.EndLimit(call.ID)
	}
	if changed {
		k.logLimit(call.ID)
	}
	if call.Leaving && k.gate.SetLeaving() {
		k.Log.Info("engine leaves", "request", call.ID)
	}
}

// adoptLimit takes a limit that an entry knows of, unless this process knows better: it may have
// started after the engine named the limit. What it has told entries must not come back as news,
// later by the way there and back each time: the limit would seem to be named again and again,
// and would never end.
func (k *Controller) adoptLimit(s *magno.LimitState, request string) {
	if s == nil || !s.Limited || k.gate.Limit() != nil {
		return
	}
	if k.gate.NameLimit(s.Rate, k.Clock.Now()-s.Age) {
		k.logLimit(request)
	}
}

// logLimit logs that the engine's limit changed, and by which request that became known.
func (k *Controller) logLimit(request string) {
	s := k.gate.Limit()
	k.Log.Info("engine limit", "limited", s.Limited, "rate", s.Rate, "request", request)
}

// status handles MethodStatus: it takes the entry's spec of the engine and returns the state of
// this agent.
func (k *Controller) status(ctx context.Context, _ *wire.Peer, params json.RawMessage) (any, error) {
	var call gate.StatusCall
	if err := json.Unmarshal(params, &call); err != nil {
		return nil, magno.Refuse(magno.KindMalformed, "%v", err)
	}
	ch := make(chan gate.StatusReply, 1)
	if !k.post(ctx, func() { ch <- k.applyStatus(&call) }) {
		return nil, ctx.Err()
	}
	select {
	case r := <-ch:
		k.listHistory.Trim(&r, call.ListsHash)
		return r, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// applyStatus runs on the gate's goroutine.
func (k *Controller) applyStatus(call *gate.StatusCall) gate.StatusReply {
	k.updateSpec(call.Spec, call.Revision, call.Entry)
	if call.Replica == k.gate.Spec().Replica {
		k.adoptLimit(call.Limit, "")
	}
	return k.currentStatus()
}

// updateSpec sets the spec of the engine if it is newer than the present one. From is the name of
// the entry that sent it or the ID of its request, for the log.
func (k *Controller) updateSpec(spec *gate.Spec, revision magno.Revision, from string) {
	if spec == nil || revision <= k.specRevision {
		return
	}
	was := k.gate.Spec().Replica
	if start := magno.KeyStart(spec.Replica); start > 0 && start < k.engineStart && magno.KeyStart(was) == k.engineStart {
		k.Log.Info("spec of an earlier life ignored", "replica", spec.Replica, "is", was, "rev", revision, "from", from)
		return
	}
	if spec.Replica != was {
		k.Log.Info("replica", "is", spec.Replica, "was", was, "rev", revision, "from", from)
	}
	k.specRevision = revision
	k.gate.SetSpec(*spec)
	if spec.Replica != was {
		k.refuseWaiting("another incarnation is here: %q", spec.Replica)
	}
}
