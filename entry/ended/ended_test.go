package ended

import (
	"context"
	"fmt"
	"log/slog"
	"testing"

	"magnoliastall.example/magno"
	"magnoliastall.example/magno/crash"
	"magnoliastall.example/magno/keeper"
	"magnoliastall.example/magno/wire"
)

// fleet is a number of agents, and the clock of all processes.
type fleet struct {
	t      *testing.T
	clock  *magno.Clock
	agents []string
}

func newFleet(t *testing.T) *fleet {
	f := &fleet{t: t, clock: magno.NewClock(magno.Hour)}
	f.startAgents()
	return f
}

// startAgents replaces all agents by new processes.
func (f *fleet) startAgents() {
	f.agents = nil
	for range keepers + 2 {
		mesh := f.mesh()
		e := &keeper.Ends{Mesh: mesh, Suspects: &crash.Suspects{Clock: f.clock}, Log: slog.New(slog.DiscardHandler)}
		e.Open()
		f.run(mesh)
		f.agents = append(f.agents, mesh.Addr())
	}
}

func (f *fleet) mesh() *wire.Mesh {
	f.t.Helper()
	mesh := &wire.Mesh{Listen: "127.0.0.1:0"}
	if err := mesh.Open(); err != nil {
		f.t.Fatal(err)
	}
	return mesh
}

func (f *fleet) run(mesh *wire.Mesh) {
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- mesh.Run(ctx) }()
	f.t.Cleanup(func() {
		cancel()
		if err := <-ended; err != nil {
			f.t.Error(err)
		}
	})
}

// startEntry starts an entry that has the given place in the order of readers.
func (f *fleet) startEntry(place int) *Manager {
	mesh := f.mesh()
	f.run(mesh)
	entries := []string{"a", "b", "c", "d"}
	entries[place] = mesh.Addr()
	return &Manager{
		Self: mesh.Addr(), Mesh: mesh, Clock: f.clock, Log: slog.New(slog.DiscardHandler),
		Entries: func() []string { return entries }, Agents: func() []string { return f.agents },
		Suspects: &crash.Suspects{Clock: f.clock, PoolSize: func(uint64) int { return 10 }},
	}
}

// exchange has an entry exchange records if that is due, and reports whether it is.
func (f *fleet) exchange(m *Manager) bool {
	due := m.isDue()
	if due {
		m.exchange(f.t.Context())
	}
	return due
}

// endUpstreams ends three upstreams under a request, some seconds apart.
func (f *fleet) endUpstreams(m *Manager, print uint64) {
	for i := range 3 {
		f.clock.Advance(3 * magno.Second)
		m.Suspects.RecordEnd(print, magno.NewUpstreamEnd("s", fmt.Sprintf("u%d-%d", print, i)))
	}
}

// Guards against a request that ends upstreams and is sent on after all entries were killed, or after all agents
// were and then all entries.
func TestStartedEntryLearnsFromAgents(t *testing.T) {
	print := crash.RequestPrint(1)
	for _, agents := range []bool{false, true} {
		f := newFleet(t)
		before := f.startEntry(0)
		f.exchange(before)
		f.endUpstreams(before, print)
		f.exchange(before)
		if agents {
			f.startAgents()
			f.clock.Advance(repeatInterval)
			f.exchange(before)
		}
		started := f.startEntry(3)
		f.exchange(started)
		if !started.Suspects.MustRefuse(print) {
			t.Errorf("agents killed before: %v: the request isn't refused, %d ends are known", agents, started.Suspects.Count(print))
		}
	}
}

// Guards against refusing a sound request for ends of which it was cleared since.
func TestClearedRequestIsNotRefused(t *testing.T) {
	print := crash.RequestPrint(1)
	f := newFleet(t)
	before := f.startEntry(0)
	f.exchange(before)
	f.endUpstreams(before, print)
	f.exchange(before)
	f.clock.Advance(magno.Second)
	before.Suspects.Clear(print)
	f.clock.Advance(tellInterval)
	if !f.exchange(before) {
		t.Error("agents aren't told of a completion")
	}
	started := f.startEntry(3)
	f.exchange(started)
	if n := started.Suspects.Count(print); n > 0 {
		t.Errorf("%d ends are known", n)
	}
}

// Guards against messages to the same few agents from each entry of a fleet, and from one all the while.
func TestFewEntriesTellAgents(t *testing.T) {
	for place, want := range []bool{true, true, false, false} {
		f := newFleet(t)
		m := f.startEntry(place)
		if !f.exchange(m) || f.exchange(m) {
			t.Errorf("place %d: a start is one call", place)
		}
		f.clock.Advance(repeatInterval)
		if f.exchange(m) {
			t.Errorf("place %d: there is nothing to tell", place)
		}
		f.endUpstreams(m, crash.RequestPrint(uint64(place+1)))
		if due := f.exchange(m); due != want {
			t.Errorf("place %d: told is %v, want %v", place, due, want)
		}
		if f.exchange(m) {
			t.Errorf("place %d: told twice", place)
		}
	}
}

// Guards against calls to agents that don't answer at the rate of a start.
func TestAgentsThatDoNotAnswerAreCalledSeldom(t *testing.T) {
	f := newFleet(t)
	m := f.startEntry(0)
	f.agents = []string{"127.0.0.1:1"}
	calls := 0
	for range 300 {
		if f.exchange(m) {
			calls++
		}
		f.clock.Advance(startInterval)
	}
	if calls < 2 || calls > 15 {
		t.Errorf("%d calls within 30 s", calls)
	}
}
