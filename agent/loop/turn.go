package loop

import (
	"context"
	"time"

	"magnoliastall.example/magno"
)

// turnUseTimeout is how long a turn may stay unused. The job that it was requested for may no
// longer wait, and other agents need the turn.
const turnUseTimeout magno.Millis = 300

// wantedLoad is the result of magno.TurnTaker.Want.
type wantedLoad struct {
	ref  magno.Ref
	cost float64
	ok   bool
}

// LoadWanted returns a channel that receives a value while jobs wait for adapters.
func (l *Loop) LoadWanted() <-chan struct{} { return l.loadWanted }

// Want returns the load that the scheduler needs most and the cost of its delay. It returns false
// if the scheduler needs no load or no turn for it.
func (l *Loop) Want(ctx context.Context) (ref magno.Ref, cost float64, ok bool) {
	taker, is := l.Scheduler.(magno.TurnTaker)
	if !is {
		return magno.Ref{}, 0, false
	}
	got := make(chan wantedLoad, 1)
	asked := l.post(func() {
		var w wantedLoad
		w.ref, w.cost, w.ok = taker.Want()
		got <- w
	})
	if !asked {
		return magno.Ref{}, 0, false
	}
	select {
	case w := <-got:
		return w.ref, w.cost, w.ok
	case <-ctx.Done():
	case <-l.ended:
	}
	return magno.Ref{}, 0, false
}

// Load gives the scheduler a turn for one load. It returns when the load has ended, when left has
// passed, or when the scheduler has not used the turn within turnUseTimeout.
func (l *Loop) Load(ctx context.Context, left magno.Millis) {
	taker, is := l.Scheduler.(magno.TurnTaker)
	if !is {
		return
	}
	done := make(chan struct{})
	l.post(func() {
		l.turnEnded = done
		taker.Turn(l.Clock.Now() + min(left, turnUseTimeout))
	})
	unused := time.NewTimer(turnUseTimeout.Duration())
	defer unused.Stop()
	limit := time.NewTimer(left.Duration())
	defer limit.Stop()
	for {
		select {
		case <-done:
			return
		case <-unused.C:
			if !l.loadStarted(ctx, done) {
				return
			}
		case <-limit.C:
			return
		case <-ctx.Done():
			return
		case <-l.ended:
			return
		}
	}
}

// loadStarted reports whether a load is under way. If none is, it ends the wait for one.
func (l *Loop) loadStarted(ctx context.Context, done chan struct{}) bool {
	got := make(chan bool, 1)
	l.post(func() {
		busy := l.loadsInFlight > 0
		if !busy && l.turnEnded == done {
			l.turnEnded = nil
		}
		got <- busy
	})
	select {
	case busy := <-got:
		return busy
	case <-ctx.Done():
	case <-l.ended:
	}
	return false
}

// endTurn ends the wait in Load.
func (l *Loop) endTurn() {
	if l.turnEnded != nil {
		close(l.turnEnded)
		l.turnEnded = nil
	}
}
