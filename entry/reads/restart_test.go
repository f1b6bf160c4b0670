package reads

import (
	"context"
	"errors"
	"log/slog"
	"testing"

	"magnoliastall.example/magno"
	"magnoliastall.example/magno/view"
)

// Guards against new incarnations that become known half a second late after a loss of power, and
// against a call to the list every 100 ms in a fleet that replaces upstreams all the time.
func TestPauseAfterAnAnswer(t *testing.T) {
	old := &magno.Replica{ID: "a", StartedAt: 1, Service: "s", Address: "a:1", DataCentre: "x", Slots: 1}
	slots, next, leaving := *old, *old, *old
	slots.Slots = 2
	next.StartedAt = 2
	leaving.Leaving, leaving.StartedAt = true, 3
	for _, c := range []struct {
		name    string
		replica *magno.Replica
		pause   magno.Millis
	}{
		{"the same incarnation", &slots, watchPause},
		{"a new incarnation", &next, restartPause},
		{"one that leaves", &leaving, watchPause},
	} {
		t.Run(c.name, func(t *testing.T) {
			clock := magno.NewClock(magno.Hour)
			list := &scriptedList{}
			r := &Reader{
				List: list, Book: &view.Store{Clock: clock}, Broadcast: func(view.Update) {},
				ReportReachable: func(bool) {}, Log: slog.New(slog.DiscardHandler),
			}
			r.init()
			r.readAll = false
			r.Book.ApplyRead([]magno.Change{{Key: "a", Revision: 1, Replica: old}}, 1, true)
			list.next = []magno.Change{{Key: "a", Revision: 2, Replica: c.replica}}
			if got := r.poll(t.Context()); got != c.pause {
				t.Errorf("a pause of %d ms, want %d ms", got, c.pause)
			}
		})
	}
}

// Guards against short pauses without a bound.
func TestShortPausesAreBounded(t *testing.T) {
	clock := magno.NewClock(magno.Hour)
	r := &Reader{Book: &view.Store{Clock: clock}}
	short := 0
	const windows, step = 6, 100 * magno.Millis(1)
	for range windows * restartWindow / step {
		if r.takeRestartPause() {
			short++
		}
		clock.Advance(step)
	}
	if short != windows*maxRestartPauses {
		t.Errorf("%d short pauses in %d windows, want %d in each", short, windows, maxRestartPauses)
	}
}

// scriptedList answers a watch with the next changes.
type scriptedList struct{ next []magno.Change }

func (l *scriptedList) All(context.Context, bool) ([]magno.Change, magno.Revision, error) {
	return nil, 0, errors.New("not expected")
}

func (l *scriptedList) Wait(context.Context, magno.Revision, magno.Millis) ([]magno.Change, magno.Revision, error) {
	return l.next, l.next[len(l.next)-1].Revision, nil
}
