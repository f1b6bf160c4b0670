package notice

import (
	"testing"

	"magnoliastall.example/magno"
)

// Guards against an answer that was made before the upstream named its limit, and arrives after
// one that names it, ending the limit.
func TestOlderAnswerDoesNotEndALimit(t *testing.T) {
	clock := magno.NewClock(magno.Hour)
	b := &Board{Clock: clock}
	sent := clock.Now()
	clock.Advance(10)
	if !b.Record("u", magno.Notice{Limited: true, Rate: 2}, sent) {
		t.Error("a new limit is no change")
	}
	clock.Advance(10)
	if b.Record("u", magno.Notice{}, sent) {
		t.Error("an older answer changed the state")
	}
	if rate, ok := b.Limit("u"); !ok || rate != 2 || b.Limited() != 1 {
		t.Errorf("the limit is %v, %t", rate, ok)
	}
	if !b.Record("u", magno.Notice{}, clock.Now()) {
		t.Error("a newer answer without a limit is no change")
	}
	if _, ok := b.Limit("u"); ok || b.Limited() != 0 {
		t.Error("the limit has not ended")
	}
}

func TestLimitsOfUpstreamsThatAreGoneAreForgotten(t *testing.T) {
	b := &Board{Clock: magno.NewClock(magno.Hour)}
	b.Record("u", magno.Notice{Limited: true, Rate: 2}, 0)
	b.Record("v", magno.Notice{Limited: true}, 0)
	b.Prune(func(key string) bool { return key == "v" })
	if _, ok := b.Limit("u"); ok {
		t.Error("the limit of an upstream that is gone is kept")
	}
	if rate, ok := b.Limit("v"); !ok || rate != 0 {
		t.Errorf("the limit of the other one is %v, %t; want 0", rate, ok)
	}
}

// Guards against an entry that no answer of the upstream has reached ignoring its limit, and
// against an old message of another process replacing newer knowledge.
func TestLimitIsAdoptedFromAnotherProcess(t *testing.T) {
	clock := magno.NewClock(magno.Hour)
	b := &Board{Clock: clock}
	if b.Adopt("u", magno.LimitState{Age: 10}) {
		t.Error("the end of an unknown limit is a change")
	}
	if !b.Adopt("u", magno.LimitState{Limited: true, Rate: 3, Age: 500}) || b.State("u").Age != 500 {
		t.Error("the limit was not adopted")
	}
	if b.Adopt("u", magno.LimitState{Age: 1000}) {
		t.Error("the end of an earlier limit ended this one")
	}
	if !b.Adopt("u", magno.LimitState{Age: 100}) || b.State("u") != nil {
		t.Error("its end was not adopted")
	}
	if b.Adopt("u", magno.LimitState{Limited: true, Rate: 3, Age: 400}) {
		t.Error("the limit returned from before its end")
	}
}

func TestRestartEndsWhatWasStatedBefore(t *testing.T) {
	clock := magno.NewClock(magno.Hour)
	b := &Board{Clock: clock}
	b.Record("u", magno.Notice{Limited: true, Rate: 2}, clock.Now())
	b.Restarted("u", clock.Now()-10)
	if b.State("u") == nil {
		t.Error("an earlier restart ended the limit")
	}
	clock.Advance(100)
	b.Restarted("u", clock.Now()-10)
	if b.State("u") != nil {
		t.Error("the limit of before the restart still holds")
	}
}

// Guards against an answer from before the upstream began to leave undoing that it leaves.
func TestLeavingIsKept(t *testing.T) {
	clock := magno.NewClock(magno.Hour)
	b := &Board{Clock: clock}
	sent := clock.Now()
	clock.Advance(10)
	if b.Leaving("u") || !b.Record("u", magno.Notice{Leaving: true}, sent) || !b.Leaving("u") {
		t.Error("the upstream doesn't leave")
	}
	if b.Record("u", magno.Notice{}, sent) || !b.Leaving("u") {
		t.Error("an older answer undid it")
	}
	clock.Advance(10)
	b.Restarted("u", clock.Now())
	if b.Leaving("u") {
		t.Error("it still leaves after a restart")
	}
}

// Guards against a shorter time in a later answer ending a rest early.
func TestRestLastsAsLongAsAsked(t *testing.T) {
	clock := magno.NewClock(magno.Hour)
	b := &Board{Clock: clock}
	b.Record("u", magno.Notice{RetryAfter: 3000}, 0)
	clock.Advance(1000)
	b.Record("u", magno.Notice{RetryAfter: 500}, 0)
	if left := b.RestLeft("u"); left != 2000 || b.RestLeft("v") != 0 {
		t.Errorf("%d ms are left, want 2000", left)
	}
	clock.Advance(2000)
	if left := b.RestLeft("u"); left != 0 {
		t.Errorf("%d ms are left after the end", left)
	}
}

// Guards against an upstream being left alone after the restart that ended its rest, and against
// a rest that it stated after the restart being cut.
func TestRestartEndsARest(t *testing.T) {
	clock := magno.NewClock(magno.Hour)
	b := &Board{Clock: clock}
	b.Record("u", magno.Notice{RetryAfter: magno.Minute}, clock.Now())
	clock.Advance(100)
	b.Restarted("u", clock.Now()-50)
	if left := b.RestLeft("u"); left != 0 {
		t.Errorf("%d ms are left after the restart", left)
	}
	b.Record("u", magno.Notice{RetryAfter: 3000}, clock.Now())
	clock.Advance(100)
	b.Restarted("u", clock.Now()-150)
	if left := b.RestLeft("u"); left != 2900 {
		t.Errorf("%d ms are left of a rest that began after the restart, want 2900", left)
	}
}
