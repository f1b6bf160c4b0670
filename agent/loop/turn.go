package loop

import (
	"context"
	"time"

	"magnoliastall.example/magno"
)

// turnUseTimeout is how long a turn may stay unused, in milliseconds: the wait that
// it was for may have ended meanwhile, and others wait for it.
const turnUseTimeout magno.Millis = 300

// wantedLoad is a scheduler's wish for a load.
type wantedLoad struct {
	ref  magno.Ref
	harm float64
	ok   bool
}

// LoadWanted gives a value when jobs wait for adapters.
func (l *Loop) LoadWanted() <-chan struct{} { return l.loadWanted }

// Want tells the load that the scheduler wants most; ok is false when it
// wants none, or needs no turn.
func (l *Loop) Want(ctx context.Context) (ref magno.Ref, harm float64, ok bool) {
	turner, is := l.Scheduler.(magno.Turner)
	if !is {
		return magno.Ref{}, 0, false
	}
	got := make(chan wantedLoad, 1)
	asked := l.post(func() {
		var w wantedLoad
		w.ref, w.harm, w.ok = turner.Want()
		got <- w
	})
	if !asked {
		return magno.Ref{}, 0, false
	}
	select {
	case w := <-got:
		return w.ref, w.harm, w.ok
	case <-ctx.Done():
	case <-l.ended:
	}
	return magno.Ref{}, 0, false
}

// Load lets the scheduler order one load and returns when it has ended, when
// left has passed, or when the scheduler made no use of the turn.
func (l *Loop) Load(ctx context.Context, left magno.Millis) {
	turner, is := l.Scheduler.(magno.Turner)
	if !is {
		return
	}
	over := make(chan struct{})
	l.post(func() {
		l.turnEnded = over
		turner.Turn(l.Clock.Now() + min(left, turnUseTimeout))
	})
	unused := time.NewTimer(turnUseTimeout.Span())
	defer unused.Stop()
	limit := time.NewTimer(left.Span())
	defer limit.Stop()
	for {
		select {
		case <-over:
			return
		case <-unused.C:
			if !l.loadStarted(ctx, over) {
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

// loadStarted tells whether a load is under way.
func (l *Loop) loadStarted(ctx context.Context, over chan struct{}) bool {
	got := make(chan bool, 1)
	l.post(func() {
		busy := l.loadsInFlight > 0
		if !busy && l.turnEnded == over {
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

// endTurn ends the wait of Load.
func (l *Loop) endTurn() {
	if l.turnEnded != nil {
		close(l.turnEnded)
		l.turnEnded = nil
	}
}
