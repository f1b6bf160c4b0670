// Package serve handles the calls from entries and other agents to an agent.
//
//	run -----> leaving? -> deadline -> ledger (calls with a key) -> loop -> upstream
//	           parts <----------------------------------------------'
//	cancel --> cancels the context of a run
package serve

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"magnoliastall.example/agent/gather"
	"magnoliastall.example/agent/loop"
	"magnoliastall.example/magno"
	"magnoliastall.example/magno/crash"
	"magnoliastall.example/magno/event"
	"magnoliastall.example/magno/once"
	"magnoliastall.example/magno/ticket"
	"magnoliastall.example/magno/wire"
)

// leavingRetryDelay is how long a caller should wait before it tries another instance.
const leavingRetryDelay magno.Millis = 50

// keyedGrace is how long after its deadline a run with an idempotency key may continue. It bounds
// how long a planned stop waits for such runs.
const keyedGrace = 30 * magno.Second

// Server handles calls. Its fields must be set before Register.
type Server struct {
	Clock  *magno.Clock
	Loop   *loop.Loop
	Ledger *once.Ledger
	Events *event.Ring
	// Suspects is shared with the scheduler.
	Suspects *crash.Suspects
	// ConfigVersion returns the version of the configuration in force.
	ConfigVersion func() int64
	// Retired reports whether ref is retired for an entry that used the given version of the
	// configuration.
	Retired func(ref magno.Ref, version int64) bool
	// Build returns the version of the upstream's software, empty if it states none. It may be nil.
	Build func() string
	// Ready reports whether the upstream and the configuration are known.
	Ready func() bool

	// leaving is true once the instance accepts no new work.
	leaving atomic.Bool
	drained atomic.Bool
	// listedLeaving is true while the platform's list states that the instance is leaving.
	listedLeaving atomic.Bool
	// statedLeavingAt is when the upstream stated that it leaves, zero if it didn't.
	statedLeavingAt atomic.Int64
	// busy counts the runs under way. A planned stop waits until it is zero.
	busy atomic.Int64

	mesh *wire.Mesh
	// toldRests are the entries that were told of a rest of the upstream.
	toldRests toldRests

	mu sync.Mutex
	// cancels maps the ID of a call to the cancel function of its context.
	cancels map[string]context.CancelFunc
}

// Register registers the handlers on a mesh.
func (s *Server) Register(m *wire.Mesh) {
	s.cancels = map[string]context.CancelFunc{}
	s.mesh = m
	m.Handle(magno.MethodRun, s.run)
	m.Handle(magno.MethodCancel, s.cancel)
	m.Handle(magno.MethodTicket, s.ticket)
}

// Leave makes the agent refuse new work permanently.
func (s *Server) Leave() { s.leaving.Store(true) }

// SetDrained sets whether operators have drained the instance.
func (s *Server) SetDrained(drained bool) { s.drained.Store(drained) }

// SetListedLeaving sets whether the platform's list states that the instance is leaving.
func (s *Server) SetListedLeaving(leaving bool) { s.listedLeaving.Store(leaving) }

// TakeNotice takes what the upstream stated in an answer to a request that was sent at the given
// time, and reports whether it began to leave or no longer does. An answer without the statement
// undoes it only if its request was sent after it: others may be older.
func (s *Server) TakeNotice(n magno.Notice, sentAt magno.Millis) (changed bool) {
	at := s.statedLeavingAt.Load()
	switch {
	case n.Leaving:
		return s.statedLeavingAt.CompareAndSwap(0, int64(s.Clock.Now()))
	case at > 0 && int64(sentAt) > at:
		return s.statedLeavingAt.CompareAndSwap(at, 0)
	}
	return false
}

// UpstreamStarted forgets what the upstream stated before it started.
func (s *Server) UpstreamStarted() { s.statedLeavingAt.Store(0) }

// Drained reports whether operators have drained the instance.
func (s *Server) Drained() bool { return s.drained.Load() }

// Leaving reports whether new work is refused.
func (s *Server) Leaving() bool {
	return s.leaving.Load() || s.drained.Load() || s.listedLeaving.Load() || s.statedLeavingAt.Load() > 0
}

// Busy returns the number of runs under way.
func (s *Server) Busy() int64 { return s.busy.Load() }

func (s *Server) run(ctx context.Context, peer *wire.Peer, params json.RawMessage) (any, error) {
	var call magno.RunCall
	if err := json.Unmarshal(params, &call); err != nil {
		return nil, magno.Refuse(magno.KindMalformed, "%v", err)
	}
	s.busy.Add(1)
	defer s.busy.Add(-1)
	reply := s.dispatch(ctx, peer, &call)
	reply.Backlog = s.Loop.Backlog()
	s.toldRests.add(call.From, s.Clock.Now(), reply.Backlog.Rest)
	reply.Config = s.ConfigVersion()
	outcome := "ok"
	if reply.Refusal != nil {
		outcome = string(reply.Refusal.Kind)
	}
	metrics.GetOrCreateCounter(fmt.Sprintf(`magno_runs_total{outcome=%q}`, outcome)).Inc()
	return reply, nil
}

// dispatch refuses a call that must not be accepted and runs any other.
func (s *Server) dispatch(ctx context.Context, peer *wire.Peer, call *magno.RunCall) magno.RunReply {
	if call.Key != "" {
		return s.keyed(ctx, peer, call)
	}
	if refusal := s.refusal(call); refusal != nil {
		return refusalReply(refusal)
	}
	s.setLocalTimes(call)
	s.mergeEnds(call)
	ctx, cancel := context.WithTimeout(ctx, call.Left.Duration())
	defer cancel()
	defer s.registerCancel(call.Call, cancel)()
	return s.execute(ctx, peer, call)
}

// refusal returns the reason why new work is refused, or nil if it is accepted.
func (s *Server) refusal(call *magno.RunCall) *magno.Refusal {
	switch {
	case s.Leaving():
		return magno.Refuse(magno.KindLeaving, "the instance takes no new work").WithRetryAfter(leavingRetryDelay)
	case !s.Ready():
		return magno.Refuse(magno.KindStarting, "the agent has no upstream or configuration yet")
	case s.Retired(call.Work.Job.Ref, call.Config):
		return magno.Refuse(magno.KindRetired, "%s is retired", call.Work.Job.Ref).WithField("model")
	case call.Left <= 0:
		return magno.Refuse(magno.KindPast, "the deadline has passed")
	}
	return nil
}

// setLocalTimes sets the job's arrival and deadline by the clock of this process.
func (s *Server) setLocalTimes(call *magno.RunCall) {
	call.Work.Job.Arrived = s.Clock.Now()
	call.Work.Job.Deadline = call.Work.Job.Arrived + call.Left
}

// mergeEnds merges the ends of upstreams under the request that the entry knows of.
func (s *Server) mergeEnds(call *magno.RunCall) {
	if len(call.Ends) > 0 {
		s.Suspects.MergeEnds(call.Work.Job.Fingerprint, call.Ends)
	}
}

// keyed runs a call with an idempotency key, which must not be executed twice. The run does not
// end with the connection: if the entry disconnects it continues, because the caller will retry
// and must get the answer. A call whose key is recorded here is answered also while the agent is
// leaving, since no other instance can do so. A call with a new key is refused before the key is
// recorded; as earlier copies of it may have run elsewhere, the refusal says RunUnknown.
func (s *Server) keyed(ctx context.Context, peer *wire.Peer, call *magno.RunCall) magno.RunReply {
	keyed := once.Call{
		Key:      call.Key,
		Scope:    call.Work.Job.Customer,
		BodyHash: xxhash.Sum64String(call.Work.Job.Profile + "\x00" + call.Work.Path + "\x00" + call.Work.Body),
	}
	if refusal := s.refusal(call); refusal != nil && !s.Ledger.Has(keyed) {
		return refusalReply(refusal.WithRun(magno.RunUnknown))
	}
	s.setLocalTimes(call)
	s.mergeEnds(call)
	reply := s.Ledger.Do(ctx, keyed, func(run context.Context) magno.RunReply {
		s.busy.Add(1)
		defer s.busy.Add(-1)
		// A run that has started may finish after the deadline: a retry of the caller can then
		// be answered, which is worth more than the capacity that the run occupies.
		run, cancel := context.WithTimeout(run, (call.Left + keyedGrace).Duration())
		defer cancel()
		return s.execute(run, peer, call)
	})
	if reply.Replay {
		reply.Parts = 0
		s.Events.Add("replay", call.Work.Job.ID, "key="+call.Key)
	}
	return reply
}

// execute runs work on the upstream and streams the parts of the result.
func (s *Server) execute(ctx context.Context, peer *wire.Peer, call *magno.RunCall) magno.RunReply {
	parts, build := 0, ""
	if s.Build != nil {
		build = s.Build()
	}
	stream := &gather.Coalescer{Clock: s.Clock, Send: func(p magno.Piece) {
		parts++
		// An error does not stop the run: the reply states the number of parts, so the entry
		// detects a missing one.
		_ = peer.Notify(ctx, magno.MethodPart, magno.RunPart{Call: call.Call, Seq: parts, Piece: p, Build: build})
	}}
	if wait := s.Suspects.Unsettled(call.Work.Job.Fingerprint); wait > 0 {
		_ = magno.Sleep(ctx, wait) // if ctx ends, the loop refuses the run
	}
	result, err := s.Loop.Do(ctx, call.Work, func(p magno.Piece) {
		if call.Stream {
			stream.Add(p)
		}
	})
	stream.Close()
	if err != nil {
		refusal := asRefusal(err)
		return magno.RunReply{Refusal: refusal, Ended: refusal.Ended}
	}
	return magno.RunReply{Result: &result, Parts: parts, Sum: xxhash.Sum64String(result.Text), Build: build}
}

// ticket issues a key for calls that only this process runs.
func (s *Server) ticket(context.Context, *wire.Peer, json.RawMessage) (any, error) {
	if s.Leaving() || !s.Ready() {
		return nil, magno.Refuse(magno.KindLeaving, "the instance takes no new work").WithRetryAfter(leavingRetryDelay)
	}
	key, err := ticket.NewKey()
	if err != nil {
		return nil, err
	}
	return ticket.Ticket{Key: key, Incarnation: s.Ledger.Incarnation, Agent: s.Ledger.Self}, nil
}

func (s *Server) cancel(_ context.Context, _ *wire.Peer, params json.RawMessage) (any, error) {
	var call magno.CancelCall
	if err := json.Unmarshal(params, &call); err != nil {
		return nil, magno.Refuse(magno.KindMalformed, "%v", err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if cancel := s.cancels[call.Call]; cancel != nil {
		cancel()
	}
	return struct{}{}, nil
}

// registerCancel makes a call cancellable until the returned function is called.
func (s *Server) registerCancel(call string, cancel context.CancelFunc) func() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cancels[call] = cancel
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.cancels, call)
	}
}

func refusalReply(refusal *magno.Refusal) magno.RunReply { return magno.RunReply{Refusal: refusal} }

func asRefusal(err error) *magno.Refusal {
	var refusal *magno.Refusal
	if errors.As(err, &refusal) {
		return refusal
	}
	return magno.Refuse(magno.KindInternal, "%v", err)
}
