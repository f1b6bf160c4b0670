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
	// workEvery is how often the gate is looked at while requests wait: a
	// tenth of the window in which it spaces prompts.
	workEvery = 20 * magno.Millis(1)
	// idleEvery is how often it is looked at otherwise.
	idleEvery = 200 * magno.Millis(1)
	// inboxSize bounds the messages that wait for the gate; more than all
	// entries have under way at once.
	inboxSize = 1024
)

// Keep is the duty that owns the gate. Fields are set before Open.
type Keep struct {
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
	// doing takes commands for speak; at most one list is under way.
	doing chan []magno.Command
	busy  bool
	// asks maps the ID of a waiting request to where its reply goes.
	asks map[string]chan gate.PermitReply
	// revision is that of the spec in force, born the engine's last report's,
	// which was asked for at asked.
	revision int64
	born     magno.Millis
	asked    magno.Millis
	down     bool
	leaving  bool
	// pressed is true while requests wait.
	pressed atomic.Bool
	served  served
	// recent are the lists that entries may have.
	recent gate.ListHistory
}

// Open takes the methods on the mesh, before either runs.
func (k *Keep) Open() {
	k.gate.Clock = k.Clock
	k.inbox = make(chan func(), inboxSize)
	k.doing = make(chan []magno.Command, 1)
	k.asks = map[string]chan gate.PermitReply{}
	k.served.open()
	k.Mesh.Handle(gate.MethodPermit, k.permit)
	k.Mesh.Handle(gate.MethodEnd, k.end)
	k.Mesh.Handle(gate.MethodStatus, k.status)
}

// Name implements magno.Duty.
func (k *Keep) Name() string { return "keep" }

// Run decides until ctx ends.
func (k *Keep) Run(ctx context.Context) error {
	spoken := make(chan struct{})
	go func() {
		defer close(spoken)
		k.speak(ctx)
	}()
	defer func() { <-spoken }()
	timer := time.NewTimer(idleEvery.Span())
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case f := <-k.inbox:
			f()
			k.drain()
		case <-timer.C:
		}
		k.step()
		wait := idleEvery
		if len(k.asks) > 0 {
			wait = workEvery
		}
		timer.Reset(wait.Span())
	}
}

// drain takes what else is in the inbox, so that one look at the gate serves
// all of it.
func (k *Keep) drain() {
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
func (k *Keep) post(ctx context.Context, f func()) bool {
	select {
	case k.inbox <- f:
		return true
	case <-ctx.Done():
		return false
	}
}

// step carries out what the gate decides.
func (k *Keep) step() {
	s := k.gate.Decide()
	for _, g := range s.Grants {
		k.served.grants.Inc()
		k.served.waited(g.Waited, &g.Waits)
		k.reply(g.ID, gate.PermitReply{Version: g.Version, Waits: g.Waits})
	}
	for _, t := range s.Rejections {
		k.refused(t.ID, t.Refusal, t.Waits.LogArgs()...)
		k.served.refusals.Inc()
		k.reply(t.ID, gate.PermitReply{Refusal: t.Refusal, Waits: t.Waits})
	}
	k.pressed.Store(len(k.asks) > 0)
	if k.busy || k.down || k.leaving {
		return
	}
	if list := k.gate.Commands(); len(list) > 0 {
		k.busy = true
		k.doing <- list
	}
}

// refused logs why a request doesn't begin here, and how old what that rests on
// is: the engine's report in ms, the revision of its description.
func (k *Keep) refused(id string, r *magno.Refusal, more ...any) {
	line := append([]any{"request", id, "kind", r.Kind, "why", r.Detail, "age", k.age(), "rev", k.revision}, more...)
	k.Log.Info("refused", line...)
}

// age is how old the engine's last report is.
func (k *Keep) age() magno.Millis { return k.Clock.Now() - k.asked }

// reply ends the wait of a request.
func (k *Keep) reply(id string, r gate.PermitReply) {
	ch := k.asks[id]
	if ch == nil {
		return
	}
	delete(k.asks, id)
	r.Status = k.state()
	ch <- r // it has room for one
}

// state is what entries are told.
func (k *Keep) state() gate.StatusReply {
	r := gate.StatusReply{
		Replica: k.gate.Spec().Replica, Revision: k.revision, EngineStart: k.born,
		Down: k.down, Leaving: k.leaving, Backlog: k.gate.Backlog(),
	}
	r.SetListsHash()
	k.recent.Record(&r)
	return r
}

// Leave refuses all that waits and comes from now on. Entries then send what
// the engine holds without asking, so a stop of this process ends no request.
func (k *Keep) Leave() {
	done := make(chan struct{})
	k.inbox <- func() {
		defer close(done)
		k.leaving = true
		for id := range k.asks {
			k.gate.Done(id, false)
			k.reply(id, gate.PermitReply{Refusal: magno.Refuse(magno.KindLeaving, "this agent stops")})
		}
	}
	<-done
}
