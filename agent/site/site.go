// Package site assembles an agent on a platform that a plug-in speaks for.
//
//	entries <--> mesh <--> keep <--> engine on this machine
package site

import (
	"net"
	"strconv"

	"magnoliastall.example/agent/keep"
	"magnoliastall.example/magno"
	"magnoliastall.example/magno/admin"
	"magnoliastall.example/magno/event"
	"magnoliastall.example/magno/lines"
	"magnoliastall.example/magno/start"
	"magnoliastall.example/magno/wire"

	// The site that deployments name.
	_ "magnoliastall.example/platform"
)

// stopTimeout bounds a planned stop; nothing of a request passes this process.
const stopTimeout = magno.Second

// Main runs an agent on the named site and returns its exit code.
func Main(name string) int { return start.Site("agent", name, run) }

func run(site magno.Site, set *magno.SiteSettings, out *lines.Writer) int {
	log := start.Log(out, set.Name)
	clock := magno.NewSteady()
	mesh := &wire.Mesh{Listen: net.JoinHostPort(set.IP, strconv.Itoa(set.Inner)), Allow: []string{start.Anyone}, Clock: clock, Log: log}
	if err := mesh.Open(); err != nil {
		log.Error("start", "error", err)
		return start.ExitFailed
	}
	k := &keep.Controller{
		Self: set.Name, Engine: site.Engine(set.Upstream), Mesh: mesh, Clock: clock, Log: log, Fence: int64(clock.Now()),
	}
	k.Open()
	log.Info("start", "dc", set.DataCentre, "peers", mesh.Addr(), "upstream", set.Upstream, "service", set.Service)
	d := start.Daemon{
		Duties: []magno.Duty{mesh, k, out, &admin.Server{
			Listen: net.JoinHostPort(set.IP, strconv.Itoa(start.MetricsPort)), Allow: []string{start.Anyone},
			Ready: func() bool { return true }, Status: func() any { return k.Self },
			Events: &event.Ring{Process: set.Name, Size: 1},
		}},
		Log: log, Leave: k.Leave, Busy: func() int64 { return 0 }, Drain: stopTimeout, Reload: start.Reload(site, set, log),
	}
	return d.Run()
}
