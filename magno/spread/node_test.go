package spread

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"magnoliastall.example/magno"
	"magnoliastall.example/magno/config"
	"magnoliastall.example/magno/gossip"
	"magnoliastall.example/magno/wire"
)

// process is a node with a mesh on a port of its own.
type process struct {
	*Node
	stop func()
	mu   sync.Mutex
	// states has the last state reported by OnInstance.
	states map[string]magno.InstanceState
}

// list is the platform's list, shared by the processes of a test.
type list struct {
	mu        sync.Mutex
	instances []magno.Instance
}

func (l *list) get() ([]magno.Instance, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]magno.Instance(nil), l.instances...), true
}

func start(t *testing.T, l *list, name, dc string) *process {
	t.Helper()
	p := &process{states: map[string]magno.InstanceState{}}
	mesh := &wire.Mesh{Listen: "127.0.0.1:0"}
	if err := mesh.Open(); err != nil {
		t.Fatal(err)
	}
	clock := &magno.Clock{}
	p.Node = &Node{
		Self: gossip.Member{Name: name, Role: magno.RoleAgent, DataCentre: dc, Address: mesh.Addr()},
		Mesh: mesh, Store: &config.Store{}, List: l.get, Clock: clock,
		OnInstance: func(in magno.Instance) {
			p.mu.Lock()
			defer p.mu.Unlock()
			p.states[in.Name] = in.State
		},
	}
	p.Open()
	l.mu.Lock()
	l.instances = append(l.instances, magno.Instance{Name: name, Role: magno.RoleAgent, DataCentre: dc, Address: mesh.Addr(), State: magno.InstanceLive})
	l.mu.Unlock()
	ctx, cancel := context.WithCancel(context.Background())
	errs := make(chan error, 2)
	go func() { errs <- mesh.Run(ctx) }()
	go func() { errs <- p.Run(ctx) }()
	var once sync.Once
	p.stop = func() {
		once.Do(func() {
			cancel()
			for range 2 {
				if err := <-errs; err != nil {
					t.Error(err)
				}
			}
		})
	}
	t.Cleanup(p.stop)
	return p
}

func (p *process) stateOf(name string) magno.InstanceState {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.states[name]
}

func waitFor(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(time.Minute); !ok(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("timed out waiting for " + what)
		}
	}
}

func sample(version int64, n int) *magno.Config {
	cfg := &magno.Config{
		Version:   version,
		Customers: []magno.Customer{{Name: "delta", Weight: 1}},
		Pools:     []magno.Pool{{Name: "read", Kind: magno.PoolEngine, Base: "llama"}},
	}
	for i := range n {
		name := fmt.Sprintf("a%d", i)
		cfg.Adapters = append(cfg.Adapters, magno.Adapter{Name: name, Base: "llama", Versions: []string{"v1"}})
		cfg.Profiles = append(cfg.Profiles, magno.Profile{Name: "p" + name, Customer: "delta", Pool: "read",
			Adapter: name, Version: "v1"})
	}
	return cfg
}

// Six processes in two data centres, over TCP: a configuration that one of them
// loads must reach all, and so must a change and a leaving process. A process that
// starts later must not count as synced before it has their version.
func TestStateReachesAllProcesses(t *testing.T) {
	l := &list{}
	var all []*process
	for i := range 6 {
		all = append(all, start(t, l, fmt.Sprintf("n%d", i), fmt.Sprintf("dc%d", i%2)))
	}
	if err := all[0].Store.Load(sample(1, 3000), nil, "test"); err != nil {
		t.Fatal(err)
	}
	everyone := func(version int64) func() bool {
		return func() bool {
			for _, p := range all {
				if p.Store.Version() != version || !p.Synced() {
					return false
				}
			}
			return true
		}
	}
	waitFor(t, "version 1", everyone(1))
	cfg := sample(2, 3000)
	cfg.Adapters[9].Versions = []string{"v1", "v2"}
	if err := all[3].Store.Load(cfg, nil, "test"); err != nil {
		t.Fatal(err)
	}
	waitFor(t, "version 2", everyone(2))
	all = append(all, start(t, l, "late", "dc1"))
	waitFor(t, "the process that started later", everyone(2))
	if all[6].Store.Current().Sum != all[0].Store.Current().Sum {
		t.Fatal("the new process has other content of the same version")
	}
	all[5].Leave()
	waitFor(t, "leaving", func() bool {
		for _, p := range all {
			if p != all[5] && p.stateOf("n5") != magno.InstanceLeaving {
				return false
			}
		}
		return true
	})
}

// A reader of a data centre stops: another process must take over the role.
func TestReaderRoleMoves(t *testing.T) {
	l := &list{}
	var all []*process
	for i := range 5 {
		all = append(all, start(t, l, fmt.Sprintf("n%d", i), "dc"))
	}
	readers := func() (n int) {
		for _, p := range all {
			if p.IsReader() {
				n++
			}
		}
		return n
	}
	waitFor(t, "two readers", func() bool { return readers() == gossip.RoleReplicas })
	for i, p := range all {
		if p.IsReader() {
			p.stop()
			all = append(all[:i:i], all[i+1:]...)
			break
		}
	}
	waitFor(t, "two readers again", func() bool { return readers() == gossip.RoleReplicas })
}
