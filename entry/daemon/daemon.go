// Package daemon assembles an entry with the system's own configuration service.
//
//	platform --> reader, fleet --> Store, routers
//	                                    v
//	callers --> front ----> sender ----> mesh --> agents
package daemon

import (
	"fmt"
	"log/slog"
	"os"

	"magnoliastall.example/entry/front"
	"magnoliastall.example/entry/lease"
	"magnoliastall.example/entry/option"
	"magnoliastall.example/entry/send"
	"magnoliastall.example/magno"
	"magnoliastall.example/magno/admin"
	"magnoliastall.example/magno/config"
	"magnoliastall.example/magno/proc"
	"magnoliastall.example/magno/start"

	// Registers the router plug-ins that settings name.
	_ "magnoliastall.example/magno/route"
)

// entry holds the components of the process.
type entry struct {
	*proc.Process
	opts    *option.Option
	routers *routers
	front   *front.Front
	lease   *lease.Manager
}

// Main runs an entry and returns its exit code.
func Main(args []string) int {
	opts := option.Default()
	if code, ok := start.ParseOptions("entry", args, opts); !ok {
		return code
	}
	log := start.NewLogger(os.Stdout, opts.Name)
	e, err := assemble(opts, log)
	if err != nil {
		log.Error("start", "error", err)
		return start.ExitFailed
	}
	d := start.Daemon{
		Tasks: e.tasks(), Log: log, Leave: e.leave,
		Busy: e.front.Busy, DrainTimeout: magno.Millis(opts.Drain),
	}
	return d.Run()
}

func assemble(opts *option.Option, log *slog.Logger) (*entry, error) {
	e := &entry{opts: opts, Process: &proc.Process{
		Self:   magno.Instance{Name: opts.Name, Role: magno.RoleEntry, DataCentre: opts.DataCentre, Address: opts.Peer},
		Config: opts.Config, List: opts.List, Allow: opts.Allow, Log: log,
	}}
	if err := e.Open(); err != nil {
		return nil, err
	}
	e.routers = &routers{plugin: opts.Router, clock: e.Clock, fleet: e.Fleet, store: e.Store}
	if err := e.routers.check(); err != nil {
		return nil, err
	}
	e.Fleet.OnChange, e.OnConfig = e.routers.update, e.follow
	sender := &send.Sender{
		Clock: e.Clock, Mesh: e.Mesh, Fleet: e.Fleet, Router: e.routers.pool, Budget: e.routers.budget, Suspects: e.Suspects,
		Events: e.Events, Self: opts.Peer, Attempts: opts.Attempts, DataCentre: opts.DataCentre,
	}
	sender.Register()
	homes := &quotaHomes{self: e.Self, fleet: e.Fleet, store: e.Store}
	e.lease = &lease.Manager{
		Self: opts.Peer, Mesh: e.Mesh, Homes: homes.forCustomer, Count: homes.count, Limit: homes.limit, Clock: e.Clock, Log: log,
	}
	e.lease.Open()
	e.front = &front.Front{
		Listen: opts.Listen, Clock: e.Clock, Catalogue: &catalogue{store: e.Store}, Settled: e.Node.Synced, Sender: sender, Quotas: e.lease,
		Events: e.Events, Log: log, MaxBody: opts.Body, DefaultDeadline: magno.Millis(opts.Deadline),
		Grace: magno.Millis(opts.Grace), Drain: magno.Millis(opts.Drain),
		Bound: func(addr string) { log.Info("listening", "addr", addr, "dc", opts.DataCentre) },
	}
	return e, nil
}

func (e *entry) tasks() []magno.Task {
	return append(e.Tasks(), e.front, e.lease, &admin.Server{
		Listen: e.opts.Admin, Allow: e.opts.Allow, Events: e.Events, Status: e.status, Explain: e.explain,
		Ready:   e.front.Ready,
		OnBound: func(addr string) { e.Log.Info("listening", "admin", addr) },
	})
}

// leave begins a planned stop.
func (e *entry) leave() {
	e.front.Leave()
	e.Node.Leave()
}

// follow passes a new version of the configuration to the routers.
func (e *entry) follow(snap *config.Snapshot) {
	e.Events.Add("config", "", fmt.Sprintf("version=%d", snap.Version))
	e.routers.update()
}
