// Package site assembles an agent for a platform, which a site plug-in implements.
//
//	entries <--> mesh <--> keep <--> engine on this machine
//	              '--> keeper: what entries know of streams and ends
package site

import (
	"net"
	"strconv"

	"magnoliastall.example/agent/keep"
	"magnoliastall.example/magno"
	"magnoliastall.example/magno/admin"
	"magnoliastall.example/magno/builds"
	"magnoliastall.example/magno/crash"
	"magnoliastall.example/magno/event"
	"magnoliastall.example/magno/keeper"
	"magnoliastall.example/magno/lines"
	"magnoliastall.example/magno/origin"
	"magnoliastall.example/magno/start"
	"magnoliastall.example/magno/wire"

	// The site plug-in of deployments.
	_ "magnoliastall.example/platform"
)

// stopTimeout bounds a planned stop. It is short because no request data passes through this
// process.
const stopTimeout = magno.Second

// Main runs an agent on the named site and returns the exit code of the process.
func Main(name string) int { return start.RunSite("agent", name, run) }

func run(site magno.Site, set *magno.SiteSettings, out *lines.Writer) int {
	log := start.NewLogger(out, set.Name)
	clock := magno.NewMonotonic()
	mesh := &wire.Mesh{Listen: net.JoinHostPort(set.IP, strconv.Itoa(set.InternalPort)), Allow: []string{start.AnyAddress}, Clock: clock, Log: log}
	if err := mesh.Open(); err != nil {
		log.Error("agent failed to start", "error", err)
		return start.ExitFailed
	}
	k := &keep.Controller{
		Self: set.Name, Engine: site.Engine(set.UpstreamAddress), Mesh: mesh, Clock: clock, Log: log, Fence: int64(clock.Now()),
		OrderByEstimate: set.OrderByEstimate,
	}
	k.Open()
	records := &keeper.Keeper{Mesh: mesh, Table: &origin.Table{}, Builds: &builds.History{Clock: clock}, Log: log}
	records.Open()
	ends := &keeper.Ends{Mesh: mesh, Suspects: &crash.Suspects{Clock: clock}, Log: log}
	ends.Open()
	log.Info("start", "dc", set.DataCentre, "peers", mesh.Addr(), "upstream", set.UpstreamAddress, "service", set.Service)
	watch := &start.Watch{Site: site, Settings: set, Log: log}
	d := start.Daemon{
		Tasks: []magno.Task{mesh, k, watch, out, &admin.Server{
			Listen: net.JoinHostPort(set.IP, strconv.Itoa(start.MetricsPort)), Allow: []string{start.AnyAddress},
			Ready: func() bool { return true }, Status: func() any { return k.Self },
			Events: &event.Ring{Process: set.Name, Size: 1},
		}},
		Log: log, Leave: k.Leave, Busy: func() int64 { return 0 }, DrainTimeout: stopTimeout, Reload: watch.Reload,
	}
	return d.Run()
}
