package resume

import (
	"context"
	"fmt"
	"log/slog"
	"slices"
	"sync"
	"testing"
	"time"

	"magnoliastall.example/magno"
	"magnoliastall.example/magno/builds"
	"magnoliastall.example/magno/origin"
	"magnoliastall.example/magno/wire"
)

// node is a process that a test can end: an entry, or an agent if its Manager only holds records.
type node struct {
	*Manager
	clock *magno.Clock
	// end ends its process, as far as others can tell.
	end func()
}

// fleet is a number of entries and agents that take all others for alive.
type fleet struct {
	// mu is held while the fields are read by running nodes, or replaced.
	mu              sync.Mutex
	entries, agents []*node
}

// startNodes starts entries and no agents.
func startNodes(t *testing.T, n int) []*node { return startFleet(t, n, 0).entries }

// startFleet starts entries and agents, all with clocks that show the same.
func startFleet(t *testing.T, entries, agents int) *fleet {
	t.Helper()
	f := &fleet{}
	for range entries {
		f.entries = append(f.entries, f.newNode(t))
	}
	for range agents {
		f.agents = append(f.agents, f.newNode(t))
	}
	for _, k := range slices.Concat(f.entries, f.agents) {
		k.start(t, slices.Contains(f.entries, k))
	}
	return f
}

func (f *fleet) newNode(t *testing.T) *node {
	t.Helper()
	mesh := &wire.Mesh{Listen: "127.0.0.1:0"}
	if err := mesh.Open(); err != nil {
		t.Fatal(err)
	}
	clock := magno.NewClock(magno.Hour)
	addrs := func(list *[]*node) (addrs []string) {
		f.mu.Lock()
		defer f.mu.Unlock()
		for _, k := range *list {
			addrs = append(addrs, k.Self)
		}
		return addrs
	}
	m := &Manager{
		Self: mesh.Addr(), Mesh: mesh, Current: func() bool { return true }, Table: &origin.Table{}, Builds: &builds.History{Clock: clock}, Clock: clock, AskTimeout: magno.Minute,
		Log: slog.New(slog.DiscardHandler), Entries: func() []string { return addrs(&f.entries) }, Agents: func() []string { return addrs(&f.agents) },
	}
	m.Open()
	return &node{Manager: m, clock: clock}
}

// start runs the node's mesh, and its manager if that tells others.
func (k *node) start(t *testing.T, tells bool) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	tasks := []func(context.Context) error{k.Mesh.Run}
	if tells {
		tasks = append(tasks, k.Run)
	}
	ended := make(chan error, len(tasks))
	for _, run := range tasks {
		go func() { ended <- run(ctx) }()
	}
	k.end = sync.OnceFunc(func() {
		cancel()
		for range tasks {
			if err := <-ended; err != nil {
				t.Error(err)
			}
		}
	})
	t.Cleanup(k.end)
}

// restartEntries ends all entries and starts as many others that know nothing, with the list.
func (f *fleet) restartEntries(t *testing.T, listed map[string][]string) {
	t.Helper()
	now := f.entries[0].clock.Now()
	n := len(f.entries)
	for _, k := range f.entries {
		k.end()
	}
	f.entries = nil
	for range n {
		f.entries = append(f.entries, f.newNode(t))
	}
	for _, k := range f.entries {
		k.clock.Advance(now - k.clock.Now())
		k.Builds.Update(listed)
		k.start(t, true)
	}
}

// update gives all entries a list.
func (f *fleet) update(listed map[string][]string) {
	for _, k := range f.entries {
		k.Builds.Update(listed)
	}
}

// advance moves all clocks on.
func (f *fleet) advance(d magno.Millis) {
	for _, k := range slices.Concat(f.entries, f.agents) {
		k.clock.Advance(d)
	}
}

// waitUntil waits for a condition that needs messages.
func waitUntil(t *testing.T, what string, is func() bool) {
	t.Helper()
	for end := time.Now().Add(time.Minute); !is(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("not so after a minute: %s", what)
		}
	}
}

// knowing returns how many of the nodes hold the record of an attempt's stream.
func knowing(nodes []*node, attempt string) int {
	n := 0
	for _, k := range nodes {
		if k.Table.Find(origin.StreamID(attempt)) != nil {
			n++
		}
	}
	return n
}

// waitForKeepers waits until the entries that are told where a stream began know it, and no others.
func waitForKeepers(t *testing.T, nodes []*node, attempt string) {
	t.Helper()
	waitUntil(t, "the keepers among the entries know where the stream began", func() bool {
		return knowing(nodes, attempt) == min(keeperCount+1, len(nodes))
	})
}

// waitForBuilds waits until some agent has the builds of a service within the time that a stream lasts.
func (f *fleet) waitForBuilds(t *testing.T, versions ...string) {
	t.Helper()
	waitUntil(t, fmt.Sprint("an agent of each entry knows of the builds ", versions), func() bool {
		n := 0
		for _, k := range f.agents {
			if _, known := k.Builds.Watched(service, lasts); slices.Equal(known, versions) {
				n++
			}
		}
		return n >= min(keeperCount, len(f.agents))
	})
}
