// Package keep runs the admission control (package gate) of the engine beside this process: it
// polls the engine's state, sends it orders, and answers the calls of entries.
//
//	entries --permit, end, status--> inbox --> Run: gate --> replies
//	                                  ^           |
//	                          reports |           | commands
//	engine <---------------- serveEngine <--------'
//
// One goroutine owns the gate and another communicates with the engine, so that an engine that
// does not respond does not delay replies.
package keep

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"magnoliastall.example/magno"
	"magnoliastall.example/magno/gate"
	"magnoliastall.example/magno/wire"
)

const (
	// busyInterval is the interval of gate decisions while requests wait. It is a tenth of the
	// window in which the gate spaces prompts.
	busyInterval = 20 * magno.Millis(1)
	// idleInterval is the interval of gate decisions otherwise.
	idleInterval = 200 * magno.Millis(1)
	// inboxSize bounds the steps that wait for the gate. It is more than all entries together have
	// under way.
	inboxSize = 1024
)

// Controller owns the gate. It implements magno.Task. Its exported fields must be set before Open.
type Controller struct {
	// Self is the name of this instance. Orders state it as their holder.
	Self   string
	Engine magno.EngineClient
	Mesh   *wire.Mesh
	Clock  *magno.Clock
	Log    *slog.Logger
	// OrderByEstimate is that of the gate.
	OrderByEstimate bool
	// Fence is the initial fencing token. It should be higher than that of any earlier start.
	Fence int64

	gate  gate.Gate
	inbox chan func()
	// commands passes commands to serveEngine. At most one list is under way, and sending is true
	// while one is.
	commands chan []magno.Command
	sending  bool
	// waiting maps the ID of a waiting request to the channel for its reply.
	waiting map[string]chan gate.PermitReply
	early   earlyEnds
	// specRevision is the revision of the spec in force. engineStart is taken from the engine's
	// latest report, which was requested at reportAskedAt.
	specRevision  magno.Revision
	engineStart   magno.Millis
	reportAskedAt magno.Millis
	down          bool
	leaving       bool
	// hasWaiting is true while requests wait.
	hasWaiting atomic.Bool
	stats      stats
	// rate is the engine's prefill rate that was last logged.
	rate float64
	// listHistory has the lists that entries may know already and that replies then omit.
	listHistory gate.ListHistory
}

// Open registers the handlers on the mesh. It must be called before either runs.
func (k *Controller) Open() {
	k.gate.Clock, k.gate.OrderByEstimate = k.Clock, k.OrderByEstimate
	k.inbox = make(chan func(), inboxSize)
	k.commands = make(chan []magno.Command, 1)
	k.waiting = map[string]chan gate.PermitReply{}
	k.stats.open()
	k.Mesh.Handle(gate.MethodPermit, k.permit)
	k.Mesh.Handle(gate.MethodEnd, k.end)
	k.Mesh.Handle(gate.MethodStatus, k.status)
	k.Mesh.Handle(gate.MethodNotice, k.notice)
}

// Name implements magno.Task.
func (k *Controller) Name() string { return "keep" }

// Run runs the gate until ctx is done.
func (k *Controller) Run(ctx context.Context) error {
	engineDone := make(chan struct{})
	go func() {
		defer close(engineDone)
		k.serveEngine(ctx)
	}()
	defer func() { <-engineDone }()
	timer := time.NewTimer(idleInterval.Duration())
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case f := <-k.inbox:
			f()
			k.drainInbox()
		case <-timer.C:
		}
		k.applyDecisions()
		wait := idleInterval
		if len(k.waiting) > 0 {
			wait = busyInterval
		}
		timer.Reset(wait.Duration())
	}
}

// drainInbox executes all queued steps, so that one decision of the gate covers all of them.
func (k *Controller) drainInbox() {
	for {
		select {
		case f := <-k.inbox:
			f()
		default:
			return
		}
	}
}

// post queues f for the goroutine that owns the gate. It returns false if ctx is done before.
func (k *Controller) post(ctx context.Context, f func()) bool {
	select {
	case k.inbox <- f:
		return true
	case <-ctx.Done():
		return false
	}
}

// applyDecisions carries out the decisions of the gate.
func (k *Controller) applyDecisions() {
	s := k.gate.Decide()
	for _, g := range s.Grants {
		k.stats.grants.Inc()
		k.stats.recordWait(g.Waited, &g.Waits)
		if g.Overtook {
			k.stats.overtakes.Inc()
		}
		if g.ByLength {
			k.stats.byLength.Inc()
		}
		k.reply(g.ID, gate.PermitReply{Version: g.Version, Waits: g.Waits})
	}
	for _, x := range s.Declines {
		k.handBack(&x)
	}
	for _, t := range s.Rejections {
		k.logRefusal(t.ID, t.Refusal, t.Waits.LogArgs()...)
		k.stats.refusals.Inc()
		if t.Early {
			k.stats.refusedLate.Inc()
		}
		k.reply(t.ID, gate.PermitReply{Refusal: t.Refusal, Waits: t.Waits})
	}
	k.hasWaiting.Store(len(k.waiting) > 0)
	if k.sending || k.down || k.leaving {
		return
	}
	if list := k.gate.Commands(); len(list) > 0 {
		k.sending = true
		k.commands <- list
	}
}

// logRefusal logs why a request is refused, with the age of the data that the decision is based
// on: the engine's report, in ms, and the revision of its spec.
func (k *Controller) logRefusal(id string, r *magno.Refusal, attrs ...any) {
	args := append([]any{"request", id, "kind", r.Kind, "why", r.Detail, "age", k.reportAge(), "rev", k.specRevision}, attrs...)
	k.Log.Info("refused", args...)
}

// reportAge returns the age of the engine's latest report.
func (k *Controller) reportAge() magno.Millis { return k.Clock.Now() - k.reportAskedAt }

// reply sends the reply to a waiting request.
func (k *Controller) reply(id string, r gate.PermitReply) {
	ch := k.waiting[id]
	if ch == nil {
		return
	}
	delete(k.waiting, id)
	r.Status = k.currentStatus()
	ch <- r // does not block, as the channel has a buffer of one
}

// currentStatus returns the status that is reported to entries.
func (k *Controller) currentStatus() gate.StatusReply {
	r := gate.StatusReply{
		Replica: k.gate.Spec().Replica, Revision: k.specRevision, EngineStart: k.engineStart,
		Down: k.down, Leaving: k.leaving, LeavingAge: k.gate.LeavingAge(), Backlog: k.gate.Backlog(),
	}
	r.Limit, r.RestartAge = k.gate.Limit(), k.gate.RestartAge()
	r.SetListsHash()
	k.listHistory.Record(&r)
	return r
}

// Leave refuses all waiting and future requests. Entries then send those whose adapter the engine
// already holds without asking for a permit, so a stop of this process does not end any request.
func (k *Controller) Leave() {
	done := make(chan struct{})
	k.inbox <- func() {
		defer close(done)
		k.leaving = true
		for id := range k.waiting {
			k.gate.Done(id, false)
			k.reply(id, gate.PermitReply{Refusal: magno.Refuse(magno.KindLeaving, "this agent stops")})
		}
	}
	<-done
}
