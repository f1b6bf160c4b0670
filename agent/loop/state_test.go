package loop

import (
	"context"
	"testing"

	"magnoliastall.example/magno"
)

// restingSched reports a fixed backlog.
type restingSched struct {
	fifo
	backlog magno.Backlog
}

func (s *restingSched) Backlog() magno.Backlog { return s.backlog }

func (s *restingSched) Next() []magno.Order { return nil }

// Guards against an answer that states a rest anew which began long ago, so that requests are kept
// away after its end: no step was taken since, and so the scheduler wasn't asked again.
func TestRestThatIsReportedLaterIsShorter(t *testing.T) {
	clock := magno.NewClock(magno.Hour)
	sched := &restingSched{backlog: magno.Backlog{
		Wait: magno.Minute + 100, Rest: magno.Minute, Waits: map[string]magno.Millis{"a": magno.Minute + 200},
	}}
	l := New()
	l.Clock, l.Scheduler = clock, sched
	l.applyOrders(context.Background())
	for _, tt := range []struct{ after, rest magno.Millis }{{0, magno.Minute}, {50_000, 10_000}, {30_000, 0}} {
		clock.Advance(tt.after)
		b := l.Backlog()
		if b.Rest != tt.rest || b.Wait != tt.rest+100 || b.Waits["a"] != tt.rest+200 {
			t.Errorf("%+v is reported, want a rest of %d ms and queues of 100 and 200 ms beyond it", b, tt.rest)
		}
	}
	if sched.backlog.Waits["a"] != magno.Minute+200 {
		t.Error("the scheduler's own backlog was changed")
	}
}

// Guards against entries that leave an upstream alone long after a restart that ended its rest,
// and against reports of rests that end at their time.
func TestRestThatARestartEndsIsReported(t *testing.T) {
	clock := magno.NewClock(magno.Hour)
	sched := &restingSched{}
	l := New()
	l.Clock, l.Scheduler = clock, sched
	cuts := 0
	l.OnRestCut = func() { cuts++ }
	for _, tt := range []struct {
		name       string
		after      magno.Millis
		rest       magno.Millis
		cutsByThen int
	}{
		{"none yet", 0, 0, 0},
		{"begins", 0, magno.Minute, 0},
		{"goes on", 20_000, 40_000, 0},
		{"has ended", 40_000, 0, 0},
		{"begins again", 0, magno.Minute, 0},
		{"is cut", 59_000, 0, 1},
		{"stays cut", 500, 0, 1},
	} {
		clock.Advance(tt.after)
		sched.backlog = magno.Backlog{Wait: tt.rest, Rest: tt.rest}
		l.applyOrders(context.Background())
		if cuts != tt.cutsByThen {
			t.Errorf("%d reports when a rest %s, want %d", cuts, tt.name, tt.cutsByThen)
		}
		if rest := l.Backlog().Rest; rest != tt.rest {
			t.Errorf("a rest of %d ms is stated when it %s", rest, tt.name)
		}
	}
}
