// Package send sends a request to an agent and returns its answer. It selects the agents,
// limits the attempts, and determines what may be reported when attempts fail.
//
//	front --Do--> repeatable: selected by router ----> attempt --> agent
//	              keyed: home order of the key -----^     |
//	                                                      v
//	                 pieces checked, joined, forwarded once
package send

import (
	"context"
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"

	"magnoliastall.example/magno"
	"magnoliastall.example/magno/crash"
	"magnoliastall.example/magno/event"
	"magnoliastall.example/magno/fleet"
	"magnoliastall.example/magno/retry"
	"magnoliastall.example/magno/wire"
)

// answerSlack is how long after the deadline the agent's own answer is still awaited:
// only the agent knows whether the work was run.
const answerSlack magno.Millis = 500

// maxHomes is the maximum number of homes that a keyed request is sent to. The second one
// can determine whether the first, now unreachable, has the key; a third would only add
// latency.
const maxHomes = 3

// Request is a caller's request to be sent to an agent.
type Request struct {
	Work magno.Work
	Pool string
	// Key is the idempotency key, empty if the work may be repeated.
	Key string
	// ConfigVersion is the version of the configuration that it was accepted under.
	ConfigVersion int64
	// Deadline is a time on this process's clock.
	Deadline magno.Millis
	Stream   bool
}

// Sender is safe for concurrent use. Its fields are set before use.
type Sender struct {
	Clock *magno.Clock
	Mesh  *wire.Mesh
	Fleet *fleet.Fleet
	// Router returns the router of a pool.
	Router func(pool string) magno.Router
	// Budget returns the retry budget of a pool.
	Budget func(pool string) *retry.Budget
	// Suspects records requests during which upstreams failed.
	Suspects *crash.Suspects
	Events   *event.Ring
	// Self is the address at which this process takes reports of agents.
	Self string
	// Attempts is the maximum number of attempts per request.
	Attempts   int
	DataCentre string
}

// outcome is the result of one attempt.
type outcome struct {
	result magno.Result
	replay bool
	// refusal is nil if result is a complete answer.
	refusal *magno.Refusal
	// answerLost is true if no answer came although the agent may have received the call.
	answerLost bool
	// ended is set if the upstream ended while it ran the work.
	ended *magno.UpstreamEnd
	// holder is the agent that holds the key, if it isn't the one asked.
	holder string
	// backlog came with the answer; nil if there was none.
	backlog *magno.Backlog
}

// Do returns the complete answer and whether it is a replay, or a refusal. It calls emit for
// each piece of a streamed request, once and in order.
func (s *Sender) Do(ctx context.Context, r Request, emit func(magno.Piece)) (magno.Result, bool, *magno.Refusal) {
	ctx, cancel := context.WithTimeout(ctx, (r.Deadline - s.Clock.Now() + answerSlack).Duration())
	defer cancel()
	j := &joiner{emit: emit}
	if r.Key != "" {
		return s.doKeyed(ctx, r, j)
	}
	return s.doRepeatable(ctx, r, j)
}

// doRepeatable makes attempts for work that may be run more than once.
func (s *Sender) doRepeatable(ctx context.Context, r Request, j *joiner) (magno.Result, bool, *magno.Refusal) {
	budget := s.Budget(r.Pool)
	run := magno.RunNo
	var tried []string
	for n := 1; ; n++ {
		name, out := s.attemptRouted(ctx, r, n, tried, j)
		if out.refusal == nil {
			budget.Succeeded()
			return out.result, out.replay, nil
		}
		tried = append(tried, name)
		run = combineRuns(run, out.refusal.Run)
		left := r.Deadline - s.Clock.Now()
		if n == s.Attempts || name == "" || j.diverged || ctx.Err() != nil || !isRetryable(out.refusal) {
			return magno.Result{}, false, out.refusal.WithRun(run)
		}
		wait, ok := budget.Allow(out.refusal, n, left, 0, true)
		if !ok || !magno.Sleep(ctx, wait) {
			return magno.Result{}, false, out.refusal.WithRun(run)
		}
	}
}

// attemptRouted makes one attempt at an agent selected by the router. The name is empty if
// there is no agent left to try.
func (s *Sender) attemptRouted(ctx context.Context, r Request, n int, tried []string, j *joiner) (string, outcome) {
	job := r.Work.Job
	if wait := s.Suspects.Unsettled(job.Fingerprint); wait > 0 && !magno.Sleep(ctx, wait) {
		return "", outcome{refusal: magno.Refuse(magno.KindDeadline, "its time was over before it was known whether it is a suspect")}
	}
	if s.Suspects.MustRefuse(job.Fingerprint) {
		return "", outcome{refusal: magno.Refuse(magno.KindSuspect, "requests like it crashed upstreams")}
	}
	router := s.Router(r.Pool)
	q := magno.Query{Ref: job.Ref, Prefix: job.Prefix, Customer: job.Customer, DataCentre: s.DataCentre, Work: job.Prompt + job.Output, Avoid: tried}
	names := router.Route(q)
	if len(names) == 0 && len(tried) > 0 {
		// All were tried. In a pool of one, the same upstream may be back.
		q.Avoid = nil
		names = router.Route(q)
	}
	if len(names) == 0 {
		return "", outcome{refusal: magno.Refuse(magno.KindNoUpstream, "pool %s has no upstream left to try", r.Pool)}
	}
	name := names[0]
	begin := s.Clock.Now()
	router.Sent(name, q.Work)
	out := s.attempt(ctx, name, r, n-1, j)
	router.Ended(name, q.Work, s.Clock.Now()-begin, out.refusal == nil || !isUpstreamFault(out))
	return name, out
}

// isUpstreamFault reports whether an outcome counts against the upstream; a full queue or
// an invalid request does not.
func isUpstreamFault(out outcome) bool {
	switch out.refusal.Kind {
	case magno.KindNoUpstream, magno.KindUnknown, magno.KindInterrupted, magno.KindInternal, magno.KindStarting:
		return true
	}
	return out.answerLost
}

// isRetryable reports whether another upstream may succeed.
func isRetryable(r *magno.Refusal) bool {
	switch r.Kind {
	case magno.KindNoUpstream, magno.KindLeaving, magno.KindStarting, magno.KindUnknown,
		magno.KindInterrupted, magno.KindBusy, magno.KindLoading:
		return true
	}
	return false
}

// combineRuns combines the run states of several attempts: an attempt that may have run
// can't be undone by a later one that didn't.
func combineRuns(a, b magno.Run) magno.Run {
	if a == magno.RunYes || b == magno.RunYes {
		return magno.RunYes
	}
	if a == magno.RunUnknown || b == magno.RunUnknown {
		return magno.RunUnknown
	}
	return magno.RunNo
}

// doKeyed sends work that must not be repeated to its home, whose ledger makes it safe to
// ask again. Only the next home, which asks the witnesses, can determine what an unreachable
// home did. It may name the agent that holds the key, which is asked next. "Not run" is only
// reported if a ledger said so: that this process sent nothing doesn't rule out an earlier
// copy of the request.
func (s *Sender) doKeyed(ctx context.Context, r Request, j *joiner) (magno.Result, bool, *magno.Refusal) {
	last := magno.Refuse(magno.KindNoUpstream, "no upstream of pool %s is known", r.Pool).WithRun(magno.RunUnknown)
	queue := s.homes(r)
	for n := 0; n < maxHomes && len(queue) > 0 && ctx.Err() == nil && !j.diverged; n++ {
		name := queue[0]
		queue = queue[1:]
		out := s.attempt(ctx, name, r, n, j)
		if out.answerLost && n == 0 {
			// The home may be alive with only the connection lost; it then attaches the
			// second call to the running work.
			queue = append([]string{name}, queue...)
		}
		if out.refusal == nil {
			return out.result, out.replay, nil
		}
		last = out.refusal
		if out.holder != "" && out.holder != name {
			queue = []string{out.holder}
			continue
		}
		if !asksNextHome(last) {
			break
		}
	}
	return magno.Result{}, false, last
}

// homes returns the agents of the request's pool that may accept its key.
func (s *Sender) homes(r Request) []string {
	if agent, ok := ticketAgent(r.Key); ok {
		return []string{agent}
	}
	router, ok := s.Router(r.Pool).(magno.HomeRouter)
	if !ok {
		return nil
	}
	return router.Homes(magno.Query{Ref: r.Work.Job.Ref, Customer: r.Work.Job.Customer}, r.Key, maxHomes)
}

// asksNextHome reports whether the next home is to be asked.
func asksNextHome(r *magno.Refusal) bool {
	switch r.Kind {
	case magno.KindNoUpstream, magno.KindLeaving, magno.KindStarting:
		return r.Run != magno.RunNo
	case magno.KindUnknown:
		return r.Field == lostAnswerField
	}
	return false
}

// lostAnswerField marks a refusal made by this process because an agent's answer was lost,
// as opposed to one made by an agent.
const lostAnswerField = "answer"

// withUnknownRun changes "not run" to "unknown" in a refusal of a keyed request that no
// ledger made. A busy or unreachable agent may hold an earlier copy of the request, and
// "not run" would make the caller send the work again under a new key.
func withUnknownRun(key string, refusal *magno.Refusal) *magno.Refusal {
	if key != "" && refusal.Run == magno.RunNo {
		return refusal.WithRun(magno.RunUnknown)
	}
	return refusal
}

// attempt sends the request to one agent once.
func (s *Sender) attempt(ctx context.Context, name string, r Request, n int, j *joiner) outcome {
	in, ok := s.Fleet.Find(name)
	if !ok {
		return outcome{refusal: withUnknownRun(r.Key, magno.Refuse(magno.KindNoUpstream, "%s is gone", name))}
	}
	id := r.Work.Job.ID
	call := magno.RunCall{
		Call: fmt.Sprintf("%s/%d", id, n), Key: r.Key, Work: r.Work, Stream: r.Stream,
		Config: r.ConfigVersion, Left: r.Deadline - s.Clock.Now(), Ends: s.Suspects.Ends(r.Work.Job.Fingerprint),
		From: s.Self,
	}
	call.Work.Job.ID = fmt.Sprintf("%s.%d", id, n)
	if call.Left <= 0 {
		return outcome{refusal: withUnknownRun(r.Key, magno.Refuse(magno.KindDeadline, "the deadline passed on the way"))}
	}
	s.Events.Add("attempt", id, fmt.Sprintf("to=%s n=%d left=%d", name, n, call.Left))
	out := s.call(ctx, in.Address, call, j)
	if out.backlog != nil {
		s.Router(r.Pool).Report(name, *out.backlog)
	}
	kind := "ok"
	if out.refusal != nil {
		kind = string(out.refusal.Kind)
	}
	switch {
	case out.ended != nil:
		s.Suspects.RecordEnd(r.Work.Job.Fingerprint, *out.ended)
	case out.refusal == nil && !out.replay:
		s.Suspects.Clear(r.Work.Job.Fingerprint)
	}
	metrics.GetOrCreateCounter(fmt.Sprintf(`magno_attempts_total{outcome=%q}`, kind)).Inc()
	s.Events.Add("answer", id, fmt.Sprintf("from=%s n=%d outcome=%s", name, n, kind))
	return out
}

func (s *Sender) call(ctx context.Context, address string, call magno.RunCall, j *joiner) outcome {
	j.begin()
	var reply magno.RunReply
	err := s.Mesh.CallStream(ctx, address, magno.MethodRun, call, &reply, j.onPart)
	if err != nil {
		return s.callFailed(ctx, address, call, err)
	}
	if reply.Refusal != nil {
		return outcome{refusal: reply.Refusal, backlog: &reply.Backlog, holder: reply.Holder, ended: reply.Ended}
	}
	if reply.Result == nil {
		return outcome{refusal: magno.Refuse(magno.KindInternal, "the agent's reply holds nothing")}
	}
	if refusal := j.verify(reply, call); refusal != nil {
		return outcome{refusal: refusal}
	}
	return outcome{result: *reply.Result, replay: reply.Replay, backlog: &reply.Backlog}
}

// callFailed returns the outcome of a call that got no answer.
func (s *Sender) callFailed(ctx context.Context, address string, call magno.RunCall, err error) outcome {
	if refusal, ok := err.(*magno.Refusal); ok { //nolint:errorlint // the mesh doesn't wrap it
		return outcome{refusal: withUnknownRun(call.Key, refusal)}
	}
	if wire.TooLarge(err) {
		refusal := magno.Refuse(magno.KindTooLarge, "the request is too large to be brought to an agent: %v", err)
		return outcome{refusal: withUnknownRun(call.Key, refusal)}
	}
	if wire.NotSent(err) {
		refusal := magno.Refuse(magno.KindNoUpstream, "the agent can't be reached: %v", err)
		return outcome{refusal: withUnknownRun(call.Key, refusal)}
	}
	if call.Key == "" {
		// Asynchronous: an unreachable agent would delay the caller's answer by
		// cancelTimeout.
		go s.cancelRun(address, call.Call) //nolint:contextcheck // the call's context has ended
	}
	if wire.SlowConsumer(err) {
		// Another attempt would be as slow, and the agent is not at fault.
		return outcome{refusal: magno.Refuse(magno.KindCancelled, "the caller took its answer too slowly")}
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		// The caller is still waiting; "cancelled" would not say when to retry.
		refusal := magno.Refuse(magno.KindDeadline, "the agent gave no answer before the deadline")
		return outcome{refusal: refusal.WithRun(magno.RunUnknown), answerLost: true}
	}
	if ctx.Err() != nil {
		return outcome{refusal: magno.Refuse(magno.KindCancelled, "nobody waits any more"), answerLost: true}
	}
	return outcome{refusal: magno.Refuse(magno.KindUnknown, "%v", err).WithField(lostAnswerField), answerLost: true}
}

// cancelTimeout bounds the message that cancels a run whose caller has left.
const cancelTimeout = time.Second

// cancelRun tells an agent that a call was abandoned, which frees its place at the engine
// and unpins the adapter.
func (s *Sender) cancelRun(address, call string) {
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	_ = s.Mesh.Notify(ctx, address, magno.MethodCancel, magno.CancelCall{Call: call})
}
