// Package serve answers the calls that entries and other agents make to an
// agent.
//
//	run -----> leaving? -> deadline -> ledger (calls with a key) -> loop -> upstream
//	           parts <----------------------------------------------'
//	cancel --> ends the context of a run
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

// leavingRetryDelay is when a caller may come back to another instance.
const leavingRetryDelay magno.Millis = 50

// keyedGrace is how long after its deadline a keyed run may still end, in
// milliseconds. It bounds what a planned stop waits for.
const keyedGrace = 30 * magno.Second

// Server answers calls. Fields are set before Register.
type Server struct {
	Clock  *magno.Clock
	Loop   *loop.Loop
	Ledger *once.Ledger
	Events *event.Ring
	// Suspects is shared with the scheduler.
	Suspects *crash.Suspects
	// ConfigVersion returns the configuration version in force.
	ConfigVersion func() int64
	// Retired tells whether ref is retired for an entry that decided by the
	// configuration version given.
	Retired func(ref magno.Ref, version int64) bool
	// Ready tells whether the upstream and the configuration are known.
	Ready func() bool

	// leaving is true once the instance takes no new work.
	leaving atomic.Bool
	drained atomic.Bool
	// listedLeaving is true while the platform's list says that the instance leaves.
	listedLeaving atomic.Bool
	// busy counts runs; a planned stop waits until it is zero.
	busy atomic.Int64

	mu sync.Mutex
	// cancels maps a call to the end of its context.
	cancels map[string]context.CancelFunc
}

// Register names the handlers on a mesh.
func (s *Server) Register(m *wire.Mesh) {
	s.cancels = map[string]context.CancelFunc{}
	m.Handle(magno.MethodRun, s.run)
	m.Handle(magno.MethodCancel, s.cancel)
	m.Handle(magno.MethodTicket, s.ticket)
}

// Leave makes the agent refuse new work for good.
func (s *Server) Leave() { s.leaving.Store(true) }

// SetDrained sets whether operators have drained the instance.
func (s *Server) SetDrained(drained bool) { s.drained.Store(drained) }

// SetListedLeaving sets whether the platform's list says that the instance leaves.
func (s *Server) SetListedLeaving(leaving bool) { s.listedLeaving.Store(leaving) }

// Drained tells whether operators have drained the instance.
func (s *Server) Drained() bool { return s.drained.Load() }

// Leaving tells whether new work is refused.
func (s *Server) Leaving() bool {
	return s.leaving.Load() || s.drained.Load() || s.listedLeaving.Load()
}

// Busy counts the runs under way.
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
	reply.Config = s.ConfigVersion()
	outcome := "ok"
	if reply.Refusal != nil {
		outcome = string(reply.Refusal.Kind)
	}
	metrics.GetOrCreateCounter(fmt.Sprintf(`magno_runs_total{outcome=%q}`, outcome)).Inc()
	return reply, nil
}

// dispatch refuses what must not be taken, then runs the rest.
func (s *Server) dispatch(ctx context.Context, peer *wire.Peer, call *magno.RunCall) magno.RunReply {
	if call.Key != "" {
		return s.keyed(ctx, peer, call)
	}
	if refusal := s.refusal(call); refusal != nil {
		return refusalReply(refusal)
	}
	s.setLocalTimes(call)
	s.mergeCrashes(call)
	ctx, cancel := context.WithTimeout(ctx, call.Left.Span())
	defer cancel()
	defer s.registerCancel(call.Call, cancel)()
	return s.execute(ctx, peer, call)
}

// refusal says why new work is not taken, nil when it is.
func (s *Server) refusal(call *magno.RunCall) *magno.Refusal {
	switch {
	case s.Leaving():
		return magno.Refuse(magno.KindLeaving, "the instance takes no new work").Later(leavingRetryDelay)
	case !s.Ready():
		return magno.Refuse(magno.KindStarting, "the agent has no upstream or configuration yet")
	case s.Retired(call.Work.Job.Ref, call.Config):
		return magno.Refuse(magno.KindRetired, "%s is retired", call.Work.Job.Ref).At("model")
	case call.Left <= 0:
		return magno.Refuse(magno.KindPast, "the deadline has passed")
	}
	return nil
}

// setLocalTimes puts the job's times in this process's clock.
func (s *Server) setLocalTimes(call *magno.RunCall) {
	call.Work.Job.Arrived = s.Clock.Now()
	call.Work.Job.Deadline = call.Work.Job.Arrived + call.Left
}

// mergeCrashes takes what the entry saw of the request.
func (s *Server) mergeCrashes(call *magno.RunCall) {
	print := call.Work.Job.Print
	if call.Crashes == 0 || print == 0 {
		return
	}
	s.Suspects.Merge([]crash.Record{{Fingerprint: print, Crashes: call.Crashes, UpdatedAt: s.Clock.Now()}})
}

// keyed runs a call that may not be repeated. Its context is not the
// connection's: when the entry goes away the run goes on, for the caller will
// ask again and must find the answer. A key that is recorded here is answered
// also while the agent leaves, since nobody else can answer for it; a new one
// is turned away before it is recorded, and that says nothing of earlier
// copies.
func (s *Server) keyed(ctx context.Context, peer *wire.Peer, call *magno.RunCall) magno.RunReply {
	keyed := once.Call{
		Key:      call.Key,
		Scope:    call.Work.Job.Customer,
		BodyHash: xxhash.Sum64String(call.Work.Job.Profile + "\x00" + call.Work.Path + "\x00" + call.Work.Body),
	}
	if refusal := s.refusal(call); refusal != nil && !s.Ledger.Has(keyed) {
		return refusalReply(refusal.Ran(magno.RunUnknown))
	}
	s.setLocalTimes(call)
	s.mergeCrashes(call)
	reply := s.Ledger.Do(ctx, keyed, func(run context.Context) magno.RunReply {
		s.busy.Add(1)
		defer s.busy.Add(-1)
		// A run that was begun is let finish after the deadline, for its end
		// is worth more to the caller who asks again than the place it holds.
		run, cancel := context.WithTimeout(run, (call.Left + keyedGrace).Span())
		defer cancel()
		return s.execute(run, peer, call)
	})
	if reply.Replay {
		reply.Parts = 0
		s.Events.Add("replay", call.Work.Job.ID, "key="+call.Key)
	}
	return reply
}

// execute runs work on the upstream and streams its parts.
func (s *Server) execute(ctx context.Context, peer *wire.Peer, call *magno.RunCall) magno.RunReply {
	parts := 0
	stream := &gather.Coalescer{Clock: s.Clock, Send: func(p magno.Piece) {
		parts++
		// A part that can't be sent is no reason to stop: the reply says how
		// many there were, and the entry notices the gap.
		_ = peer.Notify(ctx, magno.MethodPart, magno.RunPart{Call: call.Call, Seq: parts, Piece: p})
	}}
	result, err := s.Loop.Do(ctx, call.Work, func(p magno.Piece) {
		if call.Stream {
			stream.Add(p)
		}
	})
	stream.Close()
	if err != nil {
		return refusalReply(asRefusal(err))
	}
	return magno.RunReply{Result: &result, Parts: parts, Sum: xxhash.Sum64String(result.Text)}
}

// ticket gives a key that only this process runs.
func (s *Server) ticket(context.Context, *wire.Peer, json.RawMessage) (any, error) {
	if s.Leaving() || !s.Ready() {
		return nil, magno.Refuse(magno.KindLeaving, "the instance takes no new work").Later(leavingRetryDelay)
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

// registerCancel lets a call be cancelled until the returned function is called.
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
