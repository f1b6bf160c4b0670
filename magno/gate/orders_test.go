package gate

import (
	"fmt"
	"maps"
	"testing"

	"magnoliastall.example/magno"
)

// All slots are in use when a request for another adapter arrives, so its load needs an
// eviction first. The load must follow at once; with the pending eviction blocking it, such
// requests waited for over a second.
func TestLoadFollowsTheEvictionAtOnce(t *testing.T) {
	h := newHarness(t, 2)
	h.offer(h.request("1", "a", 100))
	h.offer(h.request("2", "b", 100))
	h.run(1000, nil)
	h.gate.Done("1", true)
	h.gate.Done("2", true)
	h.offer(h.request("3", "c", 100))
	h.run(400, nil)
	if !h.granted["3"] {
		t.Error("the request was not admitted within 400 ms of an adapter becoming idle")
	}
}

// Replies to commands are lost, so it is unknown which were executed. The engine must still
// never be commanded to hold more adapters than it has slots: that would crash it, and end
// every stream that it runs.
func TestNeverMoreAdaptersThanSlots(t *testing.T) {
	for seed := range 20 {
		h := newHarness(t, 3)
		n := seed
		lost := func() bool { n++; return n%3 == 0 }
		for i := range 60 {
			h.offer(h.request(fmt.Sprint(i), fmt.Sprintf("a%d", (i*7+seed)%11), 100))
			h.run(90, lost)
			if i >= 3 {
				h.gate.Done(fmt.Sprint(i-3), true)
			}
		}
	}
}

// An engine refuses a command because it is another incarnation. The command is not repeated at
// each decision, which used up the agent's CPU time while it had to find out about the new
// incarnation.
func TestRefusedOrderIsNotGivenAtOnceAgain(t *testing.T) {
	h := newHarness(t, 2)
	h.offer(h.request("1", "a", 100))
	issued := 0
	for range 30 {
		h.gate.Decide()
		for _, c := range h.gate.Commands() {
			issued++
			h.gate.ApplyOutcome(c, magno.OrderMisrouted, h.clock.Now())
		}
		h.clock.Advance(10)
		h.report()
	}
	if issued != 2 {
		t.Errorf("the command was issued %d times in 300 ms, want 2", issued)
	}
}

// A new version of an adapter is declared while streams of the old one run. After updateSpread
// no new request may start on the old version.
func TestOldVersionIsGivenOutForAWhileOnly(t *testing.T) {
	h := newHarness(t, 2)
	h.offer(h.request("1", "a", 100))
	h.run(600, nil)
	spec := h.spec()
	spec.Pins = map[string]int64{"m/a": 2}
	h.gate.SetSpec(spec)
	h.clock.Advance(updateSpread)
	h.offer(h.request("2", "a", 100))
	s := h.gate.Decide()
	if len(s.Grants) > 0 {
		t.Error("a request was admitted on a retired version")
	}
	c := h.gate.Commands()
	if len(c) != 1 || !c[0].Load || c[0].Version != 2 {
		t.Errorf("commands are %v, want the load of version 2", c)
	}
}

// Guards against versions in series that each put off the time from which the first one takes no new requests. That time
// differs between adapters.
func TestVersionsInSeriesDoNotKeepAnOldOne(t *testing.T) {
	for _, name := range []string{"a", "b", "c", "d", "e", "f"} {
		h := newHarness(t, 2)
		h.offer(h.request("1", name, 100))
		h.run(600, nil)
		for version := int64(2); version < 2+2*maxDeclarations; version++ {
			spec := h.spec()
			spec.Pins = map[string]int64{QualifiedName("m", name): version}
			h.gate.SetSpec(spec)
			h.clock.Advance(updateSpread / maxDeclarations)
		}
		h.offer(h.request("2", name, 100))
		if s := h.gate.Decide(); len(s.Grants) > 0 {
			t.Errorf("a request for %s was admitted on version %d, %d ms after the second one was declared", name, s.Grants[0].Version, 2*updateSpread)
		}
		if n := len(h.gate.inventory.declared[QualifiedName("m", name)]); n > maxDeclarations {
			t.Errorf("%d versions are kept", n)
		}
	}
}

// Guards against an agent that has just started beside an engine with an old version of an adapter, and takes a
// version that was declared long ago for one that is declared now.
func TestStartedAgentGivesOutNoOldVersion(t *testing.T) {
	h := newHarness(t, 2)
	h.held["a"] = 1
	h.gate = &Gate{Clock: h.clock}
	spec := h.spec()
	spec.Pins = map[string]int64{"m/a": 2}
	h.gate.SetSpec(spec)
	h.report()
	h.offer(h.request("1", "a", 100))
	if s := h.gate.Decide(); len(s.Grants) > 0 {
		t.Errorf("a request was admitted on version %d", s.Grants[0].Version)
	}
	c := h.gate.Commands()
	if len(c) != 1 || !c[0].Load || c[0].Version != 2 {
		t.Errorf("commands are %v, want the load of version 2", c)
	}
}

// After a restart all engines load at once, and each load takes longer than usual; at other
// times the store has spare bandwidth. The number of concurrent loads of an engine follows the
// load times.
func TestLoadsAtOnceFollowTheStore(t *testing.T) {
	var l loadLimiter
	for range 20 {
		l.recordLoad(250)
	}
	if l.limit() != maxParallelLoads {
		t.Errorf("limit is %d concurrent loads with a fast store", l.limit())
	}
	for range 5 {
		l.recordLoad(700)
	}
	if l.limit() != minParallelLoads {
		t.Errorf("limit is %d concurrent loads with a slow store", l.limit())
	}
}

// All machines lose power, and the platform's instance list is unavailable for some seconds
// more. The engines are empty and no spec is known, but the disks have a copy of one model.
// Unless it is loaded before the list is back, callers wait for a second to three seconds
// longer.
func TestModelOnDiskIsLoadedWithoutSpec(t *testing.T) {
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
		g.ApplyReport(&magno.Report{Loaded: c.held, LocalModels: c.disk}, clock.Now())
		g.Decide()
		got := ""
		if list := g.Commands(); len(list) > 0 {
			got = list[0].Model
		}
		if got != c.want {
			t.Errorf("%s: loaded model %q, want %q", c.name, got, c.want)
		}
		if more := g.Commands(); len(more) > 0 {
			t.Errorf("%s: further commands: %v", c.name, more)
		}
	}
}

// The spec arrives while the base model is being loaded. The load must continue, and the
// reported wait must be what is left of it.
func TestModelLoadContinuesWhenSpecArrives(t *testing.T) {
	clock := magno.NewClock(magno.Hour)
	g := &Gate{Clock: clock}
	g.ApplyReport(&magno.Report{LocalModels: []string{model}}, clock.Now())
	g.ApplyOutcome(g.Commands()[0], magno.OrderAccepted, clock.Now())
	clock.Advance(1000)
	g.SetSpec((&harness{slots: 2}).spec())
	g.ApplyReport(&magno.Report{LocalModels: []string{model}, Busy: true}, clock.Now())
	if list := g.Commands(); len(list) > 0 {
		t.Errorf("commands are %v while the model is being loaded", list)
	}
	if wait := g.Backlog().LoadWait; wait < 300 || wait > 800 {
		t.Errorf("load wait is %d ms, want the rest of 1300 ms and the load of an adapter", wait)
	}
}

// Guards against loading an older version of an adapter because an entry read the list from an
// older copy.
func TestVersionsOfASpecNeverDecrease(t *testing.T) {
	g := &Gate{Clock: magno.NewClock(magno.Hour)}
	g.SetSpec(Spec{Replica: "r@1", ID: "r", Pins: map[string]int64{"m/a": 7, "m/b": 1}})
	g.SetSpec(Spec{Replica: "r@1", ID: "r", Pins: map[string]int64{"m/a": 6, "m/c": 2}})
	if got, want := g.Spec().Pins, map[string]int64{"m/a": 7, "m/b": 1, "m/c": 2}; !maps.Equal(got, want) {
		t.Errorf("got %v, want %v", got, want)
	}
}
