// Package proc assembles the components that all processes share: connections to peers, the
// configuration in force, the known instances, and the gossip node that exchanges both.
//
//	platform --> watch, fleet --> Store, Fleet --OnConfig--> components of the daemon
//	peers <----> Mesh <--> Node ----^       |
//	                         '--- marks --> Suspects
package proc

import (
	"context"
	"log/slog"

	"github.com/VictoriaMetrics/metrics"

	"magnoliastall.example/magno"
	"magnoliastall.example/magno/alert"
	"magnoliastall.example/magno/check"
	"magnoliastall.example/magno/config"
	"magnoliastall.example/magno/crash"
	"magnoliastall.example/magno/event"
	"magnoliastall.example/magno/fleet"
	"magnoliastall.example/magno/gossip"
	"magnoliastall.example/magno/spread"
	"magnoliastall.example/magno/watch"
	"magnoliastall.example/magno/wire"
)

// holdEnds is the number of ends after which a request is held back for a while. A call makes several
// attempts within moments.
const holdEnds = 2

// Process contains the shared components of a process.
type Process struct {
	// Self is this process. Open listens on its Address.
	Self magno.Instance
	// Config and List are the URLs of the configuration service and the instance list.
	Config, List string
	// Allow lists the networks from which other processes may connect.
	Allow []string
	Log   *slog.Logger
	// OnConfig is called with each version that comes into force, always by the same
	// goroutine. It must be set before the tasks run.
	OnConfig func(*config.Snapshot)

	// The fields below are set by Open.

	Clock    *magno.Clock
	Events   *event.Ring
	Mesh     *wire.Mesh
	Store    *config.Store
	Fleet    *fleet.Fleet
	Node     *spread.Node
	Suspects *crash.Suspects
}

// Open binds the address before it does anything else, and then creates the components.
func (p *Process) Open() error {
	p.Clock = &magno.Clock{}
	p.Mesh = &wire.Mesh{Listen: p.Self.Address, Allow: p.Allow, Log: p.Log}
	if err := p.Mesh.Open(); err != nil {
		return err
	}
	set := metrics.GetDefaultSet()
	p.Events = &event.Ring{Process: p.Self.Name, Clock: p.Clock}
	p.Store = &config.Store{Clock: p.Clock, Log: p.Log, Metrics: set, Check: check.New(p.Clock)}
	p.Fleet = &fleet.Fleet{URL: p.List, Clock: p.Clock, Log: p.Log}
	p.Suspects = &crash.Suspects{Clock: magno.NewMonotonic(), PoolSize: p.poolSize, HoldEnds: holdEnds}
	publisher := &alert.Publisher{Suspects: p.Suspects}
	p.Node = &spread.Node{
		Self: gossip.Member{Name: p.Self.Name, Role: p.Self.Role, DataCentre: p.Self.DataCentre,
			Pool: p.Self.Pool, Address: p.Self.Address},
		Mesh: p.Mesh, Store: p.Store, List: p.Fleet.PlatformList, OnInstance: p.Fleet.Override, OnMark: publisher.Receive,
		Reader: &watch.Reader{URL: p.Config, Store: p.Store, Clock: p.Clock, Log: p.Log, Metrics: set},
		Clock:  p.Clock, Log: p.Log, Metrics: set,
	}
	publisher.SetMark, p.Suspects.OnChange = p.Node.SetMark, publisher.Publish
	p.Node.Open()
	return nil
}

// poolSize returns the number of upstreams in the pool with the given magno.PoolID.
func (p *Process) poolSize(pool uint64) int {
	n := 0
	for _, in := range p.Fleet.All() {
		if in.Pool != "" && magno.PoolID(in.Pool) == pool {
			n++
		}
	}
	return n
}

// Tasks returns the tasks of the components.
func (p *Process) Tasks() []magno.Task {
	return []magno.Task{p.Mesh, p.Node, p.Fleet, &configFollower{p}}
}

// configFollower calls OnConfig with each new version, for the components of the daemon that
// keep a copy.
type configFollower struct {
	process *Process
}

// Name implements magno.Task.
func (f *configFollower) Name() string { return "follow" }

// Run implements magno.Task.
func (f *configFollower) Run(ctx context.Context) error {
	changes := f.process.Store.Subscribe()
	for {
		select {
		case <-ctx.Done():
			return nil
		case snap := <-changes:
			f.process.OnConfig(snap)
		}
	}
}
