// Package keep holds the gate of the engine beside this process: it asks the
// engine for its state, gives it orders, and answers entries.
//
//	entries --permit, end, status--> inbox --> Run: gate --> replies
//	                                  ^           |
//	                          reports |           | commands
//	engine <------------------------ speak <------'
//
// One goroutine owns the gate, another speaks to the engine, so that a silent
// engine doesn't hold up answers.
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
	// busyInterval is how often the gate is looked at while requests wait: a
	// tenth of the window in which it spaces prompts.
	busyInterval = 20 * magno.Millis(1)
	// idleInterval is how often it is looked at otherwise.
	idleInterval = 200 * magno.Millis(1)
	// inboxSize bounds the messages that wait for the gate; more than all
	// entries have under way at once.
	inboxSize = 1024
)

// Controller is the duty that owns the gate. Fields are set before Open.
type Controller struct {
	// Self is this instance's name, the holder of its orders.
	Self   string
	Engine magno.Engineer
	Mesh   *wire.Mesh
	Clock  *magno.Clock
	Log    *slog.Logger
	// Fence is the first fence; it should be over that of an earlier start.
	Fence int64

	gate  gate.Gate
	inbox chan func()
	// commands takes commands for speak; at most one list is under way.
	commands chan []magno.Command
	sending  bool
	// waiting maps the ID of a waiting request to where its reply goes.
	waiting map[string]chan gate.PermitReply
	// specRevision is that of the spec in force, born the engine's last report's,
	// which was asked for at asked.
	specRevision  int64
	engineStart   magno.Millis
	reportAskedAt magno.Millis
	down          bool
	leaving       bool
	// hasWaiting is true while requests wait.
	hasWaiting atomic.Bool
	stats      stats
	// listHistory are the lists that entries may have.
	listHistory gate.ListHistory
}

// Open takes the methods on the mesh, before either runs.
func (k *Controller) Open() {
	k.gate.Clock = k.Clock
	k.inbox = make(chan func(), inboxSize)
	k.commands = make(chan []magno.Command, 1)
	k.waiting = map[string]chan gate.PermitReply{}
	k.stats.open()
	k.Mesh.Handle(gate.MethodPermit, k.permit)
	k.Mesh.Handle(gate.MethodEnd, k.end)
	k.Mesh.Handle(gate.MethodStatus, k.status)
}

// Name implements magno.Duty.
func (k *Controller) Name() string { return "keep" }

// Run decides until ctx ends.
func (k *Controller) Run(ctx context.Context) error {
	spoken := make(chan struct{})
	go func() {
		defer close(spoken)
		k.serveEngine(ctx)
	}()
	defer func() { <-spoken }()
	timer := time.NewTimer(idleInterval.Span())
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
		timer.Reset(wait.Span())
	}
}

// drainInbox takes what else is in the inbox, so that one look at the gate serves
// all of it.
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

// post hands f to the goroutine that owns the gate.
func (k *Controller) post(ctx context.Context, f func()) bool {
	select {
	case k.inbox <- f:
		return true
	case <-ctx.Done():
		return false
	}
}

// applyDecisions carries out what the gate decides.
func (k *Controller) applyDecisions() {
	s := k.gate.Decide()
	for _, g := range s.Grants {
		k.stats.grants.Inc()
		k.stats.recordWait(g.Waited, &g.Waits)
		k.reply(g.ID, gate.PermitReply{Version: g.Version, Waits: g.Waits})
	}
	for _, t := range s.Rejections {
		k.logRefusal(t.ID, t.Refusal, t.Waits.LogArgs()...)
		k.stats.refusals.Inc()
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

// logRefusal logs why a request doesn't begin here, and how old what that rests on
// is: the engine's report in ms, the revision of its description.
func (k *Controller) logRefusal(id string, r *magno.Refusal, more ...any) {
	line := append([]any{"request", id, "kind", r.Kind, "why", r.Detail, "age", k.reportAge(), "rev", k.specRevision}, more...)
	k.Log.Info("refused", line...)
}

// reportAge is how old the engine's last report is.
func (k *Controller) reportAge() magno.Millis { return k.Clock.Now() - k.reportAskedAt }

// reply ends the wait of a request.
func (k *Controller) reply(id string, r gate.PermitReply) {
	ch := k.waiting[id]
	if ch == nil {
		return
	}
	delete(k.waiting, id)
	r.Status = k.currentStatus()
	ch <- r // it has room for one
}

// currentStatus is what entries are told.
func (k *Controller) currentStatus() gate.StatusReply {
	r := gate.StatusReply{
		Replica: k.gate.Spec().Replica, Revision: k.specRevision, EngineStart: k.engineStart,
		Down: k.down, Leaving: k.leaving, Backlog: k.gate.Backlog(),
	}
	r.SetListsHash()
	k.listHistory.Record(&r)
	return r
}

// Leave refuses all that waits and comes from now on. Entries then send what
// the engine holds without asking, so a stop of this process ends no request.
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
