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
