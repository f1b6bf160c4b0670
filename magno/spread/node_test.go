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

// process is a node on a port of its own.
type process struct {
	*Node
	stop func()
	mu   sync.Mutex
	told map[string]magno.InstanceState
}

// list is the platform's list, shared by the processes of a test.
type list struct {
	mu   sync.Mutex
	rows []magno.Instance
}

func (l *list) get() ([]magno.Instance, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]magno.Instance(nil), l.rows...), true
}

func start(t *testing.T, l *list, name, dc string) *process {
	t.Helper()
	p := &process{told: map[string]magno.InstanceState{}}
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
			p.told[in.Name] = in.State
		},
	}
	p.Open()
	l.mu.Lock()
	l.rows = append(l.rows, magno.Instance{Name: name, Role: magno.RoleAgent, DataCentre: dc, Address: mesh.Addr(), State: magno.InstanceLive})
	l.mu.Unlock()
	ctx, cancel := context.WithCancel(context.Background())
	ends := make(chan error, 2)
	go func() { ends <- mesh.Run(ctx) }()
	go func() { ends <- p.Run(ctx) }()
	var once sync.Once
	p.stop = func() {
		once.Do(func() {
			cancel()
			for range 2 {
				if err := <-ends; err != nil {
					t.Error(err)
				}
			}
		})
	}
	t.Cleanup(p.stop)
	return p
}

func (p *process) heard(name string) magno.InstanceState {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.told[name]
}

func until(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(time.Minute); !ok(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("waited in vain for " + what)
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

// Processes in two data centres, over real connections: a whole version that
// one of them has reaches all, so does a change, so does a leaving process,
// and a process that starts late isn't settled before it has what they have.
func TestProcesses(t *testing.T) {
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
	until(t, "version 1", everyone(1))
	cfg := sample(2, 3000)
	cfg.Adapters[9].Versions = []string{"v1", "v2"}
	if err := all[3].Store.Load(cfg, nil, "test"); err != nil {
		t.Fatal(err)
	}
	until(t, "version 2", everyone(2))
	all = append(all, start(t, l, "late", "dc1"))
	until(t, "the late one", everyone(2))
	if all[6].Store.Now().Sum != all[0].Store.Now().Sum {
		t.Fatal("other content")
	}
	all[5].Leave()
	until(t, "leaving", func() bool {
		for _, p := range all {
			if p != all[5] && p.heard("n5") != magno.InstanceLeaving {
				return false
			}
		}
		return true
	})
}

// The reader of a data centre ends; another must take the role up.
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
	until(t, "two readers", func() bool { return readers() == gossip.RoleReplicas })
	for i, p := range all {
		if p.IsReader() {
			p.stop()
			all = append(all[:i:i], all[i+1:]...)
			break
		}
	}
	until(t, "two readers again", func() bool { return readers() == gossip.RoleReplicas })
}
