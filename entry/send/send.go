// Package send brings a request to an agent and its answer back: which agent,
// how many attempts, and what may be told when attempts fail.
//
//	front --Do--> repeatable: router picks ----> attempt --> agent
//	              with a key: home order by key -^   |
//	                                                 v
//	              pieces checked, joined, passed on once
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

// answerSlack is how much longer than the deadline the agent's own answer is
// awaited, in milliseconds: only the agent can say whether the work was run.
const answerSlack magno.Millis = 500

// homesAsked is the most homes that one keyed request is brought to. A second
// one finds out whether the first, lost to us, was given the key; a third has
// nothing to add but time.
const homesAsked = 3

// Request is one caller's request on its way.
type Request struct {
	Work magno.Work
	Pool string
	// Key is empty when the work may be repeated without harm.
	Key string
	// Config is the version it was decided by.
	ConfigVersion int64
	// Deadline is a point in time of this process's clock.
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
	// Suspects remembers requests under which upstreams failed.
	Suspects *crash.Suspects
	Events   *event.Ring
	// Attempts is the most attempts for one request.
	Attempts   int
	DataCentre string
}

// outcome is what one attempt came to.
type outcome struct {
	result magno.Result
	replay bool
	// refusal is nil when result is the whole answer.
	refusal *magno.Refusal
	// lost is true when the agent gave no answer though it may have got the
	// call.
	lost bool
	// holder names the agent that holds the key, when the one asked does not.
	holder string
	// backlog rode on the answer; nil when there was none.
	backlog *magno.Backlog
}

// Do returns the whole answer or a *magno.Refusal. emit gets each piece of a
// streamed request once and in order.
func (s *Sender) Do(ctx context.Context, r Request, emit func(magno.Piece)) (magno.Result, bool, *magno.Refusal) {
	ctx, cancel := context.WithTimeout(ctx, (r.Deadline - s.Clock.Now() + answerSlack).Span())
	defer cancel()
	j := &joiner{emit: emit}
	if r.Key != "" {
		return s.keyed(ctx, r, j)
	}
	return s.repeated(ctx, r, j)
}

// repeated makes attempts for work that may be run again.
func (s *Sender) repeated(ctx context.Context, r Request, j *joiner) (magno.Result, bool, *magno.Refusal) {
	budget := s.Budget(r.Pool)
	run := magno.RunNo
	var tried []string
	for n := 1; ; n++ {
		name, out := s.routed(ctx, r, n, tried, j)
		if out.refusal == nil {
			budget.Succeeded()
			return out.result, out.replay, nil
		}
		tried = append(tried, name)
		run = worse(run, out.refusal.Run)
		left := r.Deadline - s.Clock.Now()
		if n == s.Attempts || name == "" || j.broken || ctx.Err() != nil || !again(out.refusal) {
			return magno.Result{}, false, out.refusal.Ran(run)
		}
		wait, ok := budget.Allow(out.refusal, n, left, 0, true)
		if !ok || !magno.Pause(ctx, wait) {
			return magno.Result{}, false, out.refusal.Ran(run)
		}
	}
}

// routed makes one attempt where the router says. The name is empty when it
// knows no upstream that was not tried.
func (s *Sender) routed(ctx context.Context, r Request, n int, tried []string, j *joiner) (string, outcome) {
	job := r.Work.Job
	if s.Suspects.MustRefuse(job.Print) {
		return "", outcome{refusal: magno.Refuse(magno.KindSuspect, "requests like it crashed upstreams")}
	}
	router := s.Router(r.Pool)
	q := magno.Query{Ref: job.Ref, Prefix: job.Prefix, Customer: job.Customer, DataCentre: s.DataCentre, Work: job.Prompt + job.Output, Avoid: tried}
	names := router.Route(q)
	if len(names) == 0 && len(tried) > 0 {
		// All were tried; in a pool of one, the same upstream may be back.
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
	router.Ended(name, q.Work, s.Clock.Now()-begin, out.refusal == nil || !faulty(out))
	return name, out
}

// faulty tells whether an outcome speaks against the upstream; a full queue
// or a wrong request does not.
func faulty(out outcome) bool {
	switch out.refusal.Kind {
	case magno.KindNoUpstream, magno.KindUnknown, magno.KindInterrupted, magno.KindInternal, magno.KindStarting:
		return true
	}
	return out.lost
}

// again tells whether another upstream may do better.
func again(r *magno.Refusal) bool {
	switch r.Kind {
	case magno.KindNoUpstream, magno.KindLeaving, magno.KindStarting, magno.KindUnknown,
		magno.KindInterrupted, magno.KindBusy, magno.KindLoading:
		return true
	}
	return false
}

// worse keeps what is known about several attempts: one that may have run
// can't be undone by a later one that did not.
func worse(a, b magno.Run) magno.Run {
	if a == magno.RunYes || b == magno.RunYes {
		return magno.RunYes
	}
	if a == magno.RunUnknown || b == magno.RunUnknown {
		return magno.RunUnknown
	}
	return magno.RunNo
}

// keyed brings work that may not be repeated to its home, whose ledger makes
// it safe to ask again. What an unreachable home did can only be learned from
// the next one, which asks the witnesses; it may name the agent that holds the
// key, which is asked then. "Not run" is told only when a ledger said so: that
// this process sent nothing says nothing of an earlier copy of the request.
func (s *Sender) keyed(ctx context.Context, r Request, j *joiner) (magno.Result, bool, *magno.Refusal) {
	last := magno.Refuse(magno.KindNoUpstream, "no upstream of pool %s is known", r.Pool).Ran(magno.RunUnknown)
	queue := s.homes(r)
	for n := 0; n < homesAsked && len(queue) > 0 && ctx.Err() == nil && !j.broken; n++ {
		name := queue[0]
		queue = queue[1:]
		out := s.attempt(ctx, name, r, n, j)
		if out.lost && n == 0 {
			// The home may live and only the connection be gone; it then joins
			// the second call to the run under way.
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
		if !elsewhere(last) {
			break
		}
	}
	return magno.Result{}, false, last
}

// homes lists the agents of the request's pool that may take its key.
func (s *Sender) homes(r Request) []string {
	if agent, ok := only(r.Key); ok {
		return []string{agent}
	}
	homer, ok := s.Router(r.Pool).(magno.Homer)
	if !ok {
		return nil
	}
	return homer.Homes(magno.Query{Ref: r.Work.Job.Ref, Customer: r.Work.Job.Customer}, r.Key, homesAsked)
}

// elsewhere tells whether the next home is to be asked.
func elsewhere(r *magno.Refusal) bool {
	switch r.Kind {
	case magno.KindNoUpstream, magno.KindLeaving, magno.KindStarting:
		return r.Run != magno.RunNo
	case magno.KindUnknown:
		return r.Field == fieldLost
	}
	return false
}

// fieldLost marks a refusal that this process made because an agent's answer
// was lost, as against one that an agent decided.
const fieldLost = "answer"

// unasked corrects a refusal that no ledger made: an agent that is busy or out
// of reach may hold the key's earlier copy, and "not run" would make the caller
// send the work again under a new key.
func unasked(key string, refusal *magno.Refusal) *magno.Refusal {
	if key != "" && refusal.Run == magno.RunNo {
		return refusal.Ran(magno.RunUnknown)
	}
	return refusal
}

// attempt asks one agent once.
func (s *Sender) attempt(ctx context.Context, name string, r Request, n int, j *joiner) outcome {
	instance, ok := s.Fleet.Find(name)
	if !ok {
		return outcome{refusal: unasked(r.Key, magno.Refuse(magno.KindNoUpstream, "%s is gone", name))}
	}
	id := r.Work.Job.ID
	call := magno.RunCall{
		Call: fmt.Sprintf("%s/%d", id, n), Key: r.Key, Work: r.Work, Stream: r.Stream,
		Config: r.ConfigVersion, Left: r.Deadline - s.Clock.Now(), Crashes: s.Suspects.CrashCount(r.Work.Job.Print),
	}
	call.Work.Job.ID = fmt.Sprintf("%s.%d", id, n)
	if call.Left <= 0 {
		return outcome{refusal: unasked(r.Key, magno.Refuse(magno.KindDeadline, "the deadline passed on the way"))}
	}
	s.Events.Add("attempt", id, fmt.Sprintf("to=%s n=%d left=%d", name, n, call.Left))
	out := s.call(ctx, instance.Address, call, j)
	if out.backlog != nil {
		s.Router(r.Pool).Report(name, *out.backlog)
	}
	kind := "ok"
	if out.refusal != nil {
		kind = string(out.refusal.Kind)
	}
	if kind == string(magno.KindInterrupted) && out.refusal.Run == magno.RunUnknown {
		// Its next attempt runs alone; if that fails as well there is none.
		s.Suspects.RecordFailure(r.Work.Job.Print)
	}
	metrics.GetOrCreateCounter(fmt.Sprintf(`magno_attempts_total{outcome=%q}`, kind)).Inc()
	s.Events.Add("answer", id, fmt.Sprintf("from=%s n=%d outcome=%s", name, n, kind))
	return out
}

func (s *Sender) call(ctx context.Context, address string, call magno.RunCall, j *joiner) outcome {
	j.begin()
	var reply magno.RunReply
	err := s.Mesh.CallStream(ctx, address, magno.MethodRun, call, &reply, j.part)
	if err != nil {
		return s.failed(ctx, address, call, err)
	}
	if reply.Refusal != nil {
		return outcome{refusal: reply.Refusal, backlog: &reply.Backlog, holder: reply.Holder}
	}
	if reply.Result == nil {
		return outcome{refusal: magno.Refuse(magno.KindInternal, "the agent's reply holds nothing")}
	}
	if refusal := j.whole(reply, call); refusal != nil {
		return outcome{refusal: refusal}
	}
	return outcome{result: *reply.Result, replay: reply.Replay, backlog: &reply.Backlog}
}

// failed says what a call without an answer came to.
func (s *Sender) failed(ctx context.Context, address string, call magno.RunCall, err error) outcome {
	if refusal, ok := err.(*magno.Refusal); ok { //nolint:errorlint // the mesh returns it bare
		return outcome{refusal: unasked(call.Key, refusal)}
	}
	if wire.TooLarge(err) {
		refusal := magno.Refuse(magno.KindTooLarge, "the request is too large to be brought to an agent: %v", err)
		return outcome{refusal: unasked(call.Key, refusal)}
	}
	if wire.NotSent(err) {
		refusal := magno.Refuse(magno.KindNoUpstream, "the agent can't be reached: %v", err)
		return outcome{refusal: unasked(call.Key, refusal)}
	}
	if call.Key == "" {
		// Beside the answer: an agent that can't be reached would hold the
		// caller's answer up for cancelLimit.
		go s.stop(address, call.Call) //nolint:contextcheck // the call's context has ended
	}
	if wire.SlowConsumer(err) {
		// Another attempt would be as slow, and the agent is not at fault.
		return outcome{refusal: magno.Refuse(magno.KindCancelled, "the caller took its answer too slowly")}
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		// The caller still waits; "cancelled" would not say when to come back.
		refusal := magno.Refuse(magno.KindDeadline, "the agent gave no answer before the deadline")
		return outcome{refusal: refusal.Ran(magno.RunUnknown), lost: true}
	}
	if ctx.Err() != nil {
		return outcome{refusal: magno.Refuse(magno.KindCancelled, "nobody waits any more"), lost: true}
	}
	return outcome{refusal: magno.Refuse(magno.KindUnknown, "%v", err).At(fieldLost), lost: true}
}

// cancelLimit bounds the message that ends a run whose caller has gone.
const cancelLimit = time.Second

// stop tells an agent that nobody waits for a call, so that the engine's
// place and the adapter's pin are free for others.
func (s *Sender) stop(address, call string) {
	ctx, cancel := context.WithTimeout(context.Background(), cancelLimit)
	defer cancel()
	_ = s.Mesh.Notify(ctx, address, magno.MethodCancel, magno.CancelCall{Call: call})
}
