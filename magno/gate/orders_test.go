package gate

import (
	"fmt"
	"testing"

	"magnoliastall.example/magno"
)

// All slots are in use and a request comes for another adapter. Its load needs
// room first. Callers saw such requests wait for over a second, for the order
// that made room also barred the load.
func TestLoadFollowsTheEvictionAtOnce(t *testing.T) {
	w := newWorld(t, 2)
	w.offer(w.ask("1", "a", 100))
	w.offer(w.ask("2", "b", 100))
	w.run(1000, nil)
	w.gate.Done("1", true)
	w.gate.Done("2", true)
	w.offer(w.ask("3", "c", 100))
	w.run(400, nil)
	if !w.granted["3"] {
		t.Error("a request still waits 400 ms after an idle adapter could make room")
	}
}

// Answers to orders are lost, so nobody knows which were carried out. Whatever
// the engine then holds, it is never ordered to hold more than it has slots
// for; more would crash it, and with it every stream that runs there.
func TestNeverMoreAdaptersThanSlots(t *testing.T) {
	for seed := range 20 {
		w := newWorld(t, 3)
		n := seed
		lost := func() bool { n++; return n%3 == 0 }
		for i := range 60 {
			w.offer(w.ask(fmt.Sprint(i), fmt.Sprintf("a%d", (i*7+seed)%11), 100))
			w.run(90, lost)
			if i >= 3 {
				w.gate.Done(fmt.Sprint(i-3), true)
			}
		}
	}
}

// An engine refuses an order, for another incarnation is there by now. The
// order isn't given again with each look: that took the processor of the agent
// just when it was needed to find out.
func TestRefusedOrderIsNotGivenAtOnceAgain(t *testing.T) {
	w := newWorld(t, 2)
	w.offer(w.ask("1", "a", 100))
	given := 0
	for range 30 {
		w.gate.Decide()
		for _, c := range w.gate.Commands() {
			given++
			w.gate.ApplyOutcome(c, magno.OrderElse, w.clock.Now())
		}
		w.clock.Advance(10)
		w.report()
	}
	if given != 2 {
		t.Errorf("the order was given %d times in 300 ms, want 2", given)
	}
}

// A new version of an adapter is declared while streams of the old one run. New
// requests wait for it or go elsewhere; none begins on the old one for long.
func TestOldVersionIsGivenOutForAWhileOnly(t *testing.T) {
	w := newWorld(t, 2)
	w.offer(w.ask("1", "a", 100))
	w.run(600, nil)
	spec := w.spec()
	spec.Pins = map[string]int64{"m/a": 2}
	w.gate.SetSpec(spec)
	w.clock.Advance(renewSpread)
	w.offer(w.ask("2", "a", 100))
	s := w.gate.Decide()
	if len(s.Grants) > 0 {
		t.Error("a request began on a version that was replaced long ago")
	}
	c := w.gate.Commands()
	if len(c) != 1 || !c[0].Load || c[0].Version != 2 {
		t.Errorf("ordered %v, want the load of version 2", c)
	}
}

// After a restart every engine loads at once, and each load takes longer than
// usual; on a calm day the store has room. The loads under way at one engine
// follow that.
func TestLoadsAtOnceFollowTheStore(t *testing.T) {
	var w width
	for range 20 {
		w.loaded(250)
	}
	if w.limit() != mostWidth {
		t.Errorf("%d loads at once though the store has room", w.limit())
	}
	for range 5 {
		w.loaded(700)
	}
	if w.limit() != leastWidth {
		t.Errorf("%d loads at once though the store is slow", w.limit())
	}
}

// All machines lose power while the platform's list is away for some seconds more.
// The engines are empty, and nobody knows which models they are to hold, but the
// copy of one is on their disks. Loaded only once the list is back, it would keep all
// callers waiting for a second or three after that.
func TestModelOnDiskIsLoadedBeforeAnyoneTells(t *testing.T) {
	for _, c := range []struct {
		name string
		disk []string
		held map[string]map[string]int64
		want string
	}{
		{"one copy", []string{"m"}, nil, "m"},
		{"in memory and on disk", []string{"m", "m", "m/a@1"}, nil, "m"},
		{"adapters only", []string{"m/a@1"}, nil, ""},
		{"nothing", nil, nil, ""},
		{"which of two was held isn't known", []string{"m", "n"}, nil, ""},
		{"it holds one", []string{"m"}, map[string]map[string]int64{"m": {}}, ""},
	} {
		clock := magno.NewClock(magno.Hour)
		g := &Gate{Clock: clock}
		g.ApplyReport(&magno.Report{Held: c.held, Warm: c.disk}, clock.Now())
		g.Decide()
		got := ""
		if list := g.Commands(); len(list) > 0 {
			got = list[0].Model
		}
		if got != c.want {
			t.Errorf("%s: ordered %q, want %q", c.name, got, c.want)
		}
		if more := g.Commands(); len(more) > 0 {
			t.Errorf("%s: ordered again: %v", c.name, more)
		}
	}
}

// The list is back, and the agent is told what stands beside it while the base model
// is being loaded. The load goes on, and what is left of it is what callers are told.
func TestModelThatIsBeingLoadedStaysWhenAgentIsTold(t *testing.T) {
	clock := magno.NewClock(magno.Hour)
	g := &Gate{Clock: clock}
	g.ApplyReport(&magno.Report{Warm: []string{model}}, clock.Now())
	g.ApplyOutcome(g.Commands()[0], magno.OrderAccepted, clock.Now())
	clock.Advance(1000)
	g.SetSpec((&world{slots: 2}).spec())
	g.ApplyReport(&magno.Report{Warm: []string{model}, Busy: true}, clock.Now())
	if list := g.Commands(); len(list) > 0 {
		t.Errorf("ordered %v while the model is on its way", list)
	}
	if wait := g.Backlog().LoadWait; wait < 300 || wait > 800 {
		t.Errorf("a wait of %d ms, want what is left of 1,300 and an adapter's load", wait)
	}
}
