// Package proc holds what every process of the system has: its connections,
// the configuration in force, the instances it knows of, and the part that
// talks about both with others.
//
//	platform --> watch, fleet --> Store, Fleet --Follow--> the daemon's parts
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

// Process is one process as its peers see it.
type Process struct {
	// Self is this process; its Address is bound by Open.
	Self magno.Instance
	// Config and List are URLs of the platform.
	Config, List string
	// Allow lists the networks whose processes may call.
	Allow []string
	Log   *slog.Logger
	// Follow is told of each version that comes into force, by one goroutine.
	// It is set before the duties run.
	OnConfig func(*config.Snapshot)

	// The fields below are made by Open.

	Clock    *magno.Clock
	Events   *event.Ring
	Mesh     *wire.Mesh
	Store    *config.Store
	Fleet    *fleet.Fleet
	Node     *spread.Node
	Suspects *crash.Suspects
}

// Open binds the address, first of all, and makes the parts.
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
	p.Suspects = &crash.Suspects{Clock: p.Clock}
	sharer := &alert.Publisher{Suspects: p.Suspects}
	p.Node = &spread.Node{
		Self: gossip.Member{Name: p.Self.Name, Role: p.Self.Role, DataCentre: p.Self.DataCentre,
			Pool: p.Self.Pool, Address: p.Self.Address},
		Mesh: p.Mesh, Store: p.Store, List: p.Fleet.PlatformList, OnInstance: p.Fleet.Override, OnMark: sharer.Receive,
		Reader: &watch.Reader{URL: p.Config, Store: p.Store, Clock: p.Clock, Log: p.Log, Metrics: set},
		Clock:  p.Clock, Log: p.Log, Metrics: set,
	}
	sharer.SetMark, p.Suspects.OnChange = p.Node.SetMark, sharer.Publish
	p.Node.Open()
	return nil
}

// Duties are those of the parts.
func (p *Process) Tasks() []magno.Task {
	return []magno.Task{p.Mesh, p.Node, p.Fleet, &follow{p}}
}

// follow brings each new version to the daemon's parts that keep a copy.
type follow struct {
	process *Process
}

// Name implements magno.Task.
func (f *follow) Name() string { return "follow" }

// Run follows the configuration until ctx ends.
func (f *follow) Run(ctx context.Context) error {
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
