package serve

import (
	"testing"

	"magnoliastall.example/magno"
)

// Guards against an answer from before the upstream began to leave undoing that it leaves, and
// against work being refused after it has restarted.
func TestUpstreamThatLeavesTakesNoNewWork(t *testing.T) {
	clock := magno.NewClock(magno.Hour)
	s := &Server{Clock: clock}
	before := clock.Now()
	clock.Advance(10)
	if !s.TakeNotice(magno.Notice{Leaving: true}, before) || s.TakeNotice(magno.Notice{Leaving: true}, before) || !s.Leaving() {
		t.Error("the statement is no change, or one twice")
	}
	if s.TakeNotice(magno.Notice{}, before) || !s.Leaving() {
		t.Error("an older answer undid it")
	}
	clock.Advance(10)
	if !s.TakeNotice(magno.Notice{}, clock.Now()) || s.Leaving() {
		t.Error("a later answer without it didn't undo it")
	}
	s.TakeNotice(magno.Notice{Leaving: true}, clock.Now())
	s.UpstreamStarted()
	if s.Leaving() {
		t.Error("work is refused after the restart")
	}
}
