package agenda

import (
	"slices"
	"testing"

	"pgregory.net/rapid"

	"magnoliastall.example/magno"
)

// newAgenda returns an agenda that has learned a capacity per second, and counts as overloaded.
func newAgenda(rate float64) *Agenda {
	clock := magno.NewClock(magno.Hour)
	a := &Agenda{Clock: clock}
	a.advance(clock.Now())
	a.capacity.rate, a.capacity.known = rate, true
	a.refused[a.slot%refusalSlots] = 1 << 20
	return a
}

type promise struct {
	rank             int
	earliest, latest magno.Millis
}

func drawPromises(t *rapid.T, now magno.Millis) []promise {
	list := make([]promise, rapid.IntRange(1, 200).Draw(t, "promises"))
	for i := range list {
		earliest := now + magno.Millis(rapid.IntRange(0, 3000).Draw(t, "earliest"))
		list[i] = promise{
			rank: rapid.IntRange(0, 3).Draw(t, "rank"), earliest: earliest,
			latest: earliest + magno.Millis(rapid.IntRange(-500, 3000).Draw(t, "patience")),
		}
	}
	return list
}

// Whatever was promised before, a caller is never told to return before the refusal's own time or
// later than it honours, and no later than a time slot after its own time if the capacity that it
// needs isn't reserved. Those who are promised a time in between get capacity there: of one rank
// no more than the forecast plus one for each stretch of time.
func TestPromisesStayWithinTheirBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.SampledFrom([]float64{0.5, 3, 20, 47, 245, 3000}).Draw(t, "rate")
		took := magno.Millis(1000 / rate) // the time whose capacity one caller uses
		a := newAgenda(rate)
		now := a.Clock.Now()
		var made, planned []magno.Millis
		for _, p := range drawPromises(t, now) {
			at := a.Promise(0, p.earliest, p.latest)
			if at < p.earliest || at > max(p.earliest, p.latest) {
				t.Fatalf("promised %d, want %d to %d", at-now, p.earliest-now, p.latest-now)
			}
			free := !slices.ContainsFunc(made, func(other magno.Millis) bool { return other < p.earliest+took+2*slotTime })
			if free && at > p.earliest+slotTime {
				t.Fatalf("promised %d, though nothing is reserved up to %d", at-now, p.earliest+took-now)
			}
			made = append(made, at)
			if at > p.earliest && at < min(p.latest, now+(slotCount-1)*slotTime) {
				planned = append(planned, at)
			}
		}
		slices.Sort(planned)
		for i, from := range planned {
			for k := i; k < len(planned); k++ {
				slots := slotOf(planned[k]) - slotOf(from) + 1
				if got, room := k-i+1, rate*float64(slots)*float64(slotTime)/float64(magno.Second); float64(got) > room+1+capacityError {
					t.Fatalf("%d callers return within %d time slots with capacity for %.2f", got, slots, room)
				}
			}
		}
	})
}

// Callers of a less urgent rank must not delay the return of more urgent ones: each gets the same
// time as if the others did not exist.
func TestLessUrgentCallersDelayNoOther(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.SampledFrom([]float64{3, 47, 245}).Draw(t, "rate")
		all, urgent := newAgenda(rate), newAgenda(rate)
		for _, p := range drawPromises(t, all.Clock.Now()) {
			at := all.Promise(p.rank, p.earliest, p.latest)
			if p.rank > 1 {
				continue
			}
			if want := urgent.Promise(p.rank, p.earliest, p.latest); at != want {
				t.Fatalf("a caller of rank %d is told %d, %d without those of ranks 2 and 3", p.rank, at, want)
			}
		}
	})
}

// Promises, answers, resets and pauses of any length occur in any order. No reservation may outlive
// its time slot: it would keep callers away from free capacity.
func TestReservationsExpire(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		clock := magno.NewClock(magno.Hour)
		a := &Agenda{Clock: clock}
		t.Repeat(map[string]func(*rapid.T){
			"refuse": func(t *rapid.T) {
				for _, p := range drawPromises(t, clock.Now()) {
					a.Promise(p.rank, p.earliest, p.latest)
				}
			},
			"serve": func(t *rapid.T) {
				for range rapid.IntRange(1, 30).Draw(t, "served") {
					a.Served()
				}
			},
			"pause": func(t *rapid.T) { clock.Advance(magno.Millis(rapid.IntRange(1, 2000).Draw(t, "pause"))) },
			"idle":  func(t *rapid.T) { clock.Advance(magno.Millis(rapid.IntRange(5000, 100_000).Draw(t, "idle"))) },
			"reset": func(*rapid.T) { a.Reset() },
		})
		clock.Advance(slotCount * slotTime)
		a.advance(clock.Now())
		if a.reserved != [rankCount][slotCount]int{} || a.recentRefusals() != 0 {
			t.Fatalf("reservations are left after %d ms: %v", slotCount*slotTime, a.reserved)
		}
	})
}

// serve counts completions at a rate for some time, with refusals if overloaded.
func serve(a *Agenda, rate int, span magno.Millis, overloaded bool) {
	for i := range int(span) {
		if i%(1000/rate) == 0 {
			a.Served()
		}
		if overloaded && i%10 == 0 {
			now := a.Clock.Now()
			a.Promise(0, now, now) // its caller can't return in time
		}
		a.Clock.Advance(1)
	}
}

// spread returns how long after the first of n refused callers the last one is told to return.
func spread(a *Agenda, n int) magno.Millis {
	now := a.Clock.Now()
	last := now
	for range n {
		last = max(last, a.Promise(0, now+200, now+5*magno.Second))
	}
	return last - now - 200
}

// The refusal's own time must hold where the agenda has no reason to change it, and where what
// it knows is out of date.
func TestWhenTheAgendaApplies(t *testing.T) {
	tests := []struct {
		name string
		// before brings the agenda into a state in which 50 callers are refused.
		before   func(a *Agenda)
		refusals int
		min, max magno.Millis
	}{
		{"no completion was seen", func(*Agenda) {}, 50, 0, 0},
		{"few callers were refused", func(a *Agenda) { serve(a, 20, 5000, false) }, minRefusals, 0, 0},
		{"a capacity of 100 a second", func(a *Agenda) { serve(a, 100, 5000, true) }, 50, 400, 600},
		{"a capacity of 100 a second after a minute without requests", func(a *Agenda) {
			serve(a, 100, 5000, true)
			a.Clock.Advance(magno.Minute)
		}, 50, 400, 600},
		{"a quarter of 100 a second, which is the usual demand", func(a *Agenda) { serve(a, 100, 5000, false) }, 50, 1800, 2100},
		{"the pool slowed to 20 a second two seconds ago", func(a *Agenda) {
			serve(a, 100, 5000, true)
			serve(a, 20, 2000, true)
		}, 50, 1500, 2600},
		{"little demand since 100 a second", func(a *Agenda) {
			serve(a, 100, 5000, false)
			serve(a, 5, 5000, false)
		}, 50, 400, 600},
		{"the pool changed", func(a *Agenda) {
			serve(a, 100, 5000, true)
			a.Reset()
		}, 50, 0, 0},
		{"the pool changed two seconds ago", func(a *Agenda) {
			serve(a, 20, 5000, true)
			a.Reset()
			serve(a, 100, 2000, true)
		}, 50, 400, 600},
	}
	for _, tt := range tests {
		a := &Agenda{Clock: magno.NewClock(magno.Hour)}
		tt.before(a)
		if got := spread(a, tt.refusals); got < tt.min || got > tt.max {
			t.Errorf("%s: %d refused callers return within %d ms, want %d to %d", tt.name, tt.refusals, got, tt.min, tt.max)
		}
	}
}

// The costliest promise: everything is reserved up to the horizon, at the least urgent rank.
func BenchmarkPromise(b *testing.B) {
	a := newAgenda(245)
	now := a.Clock.Now()
	for range 5000 {
		a.Promise(rankCount-1, now, now+5*magno.Second)
	}
	for b.Loop() {
		a.Promise(rankCount-1, now, now+5*magno.Second)
	}
}
