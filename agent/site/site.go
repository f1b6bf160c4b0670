// Package site assembles an agent on a platform that a plug-in speaks for.
//
//	entries <--> mesh <--> keep <--> engine on this machine
package site

import (
	"fmt"
	"log/slog"
	"net"
	"os"
	"runtime/debug"
	"strconv"

	"magnoliastall.example/agent/keep"
	"magnoliastall.example/magno"
	"magnoliastall.example/magno/admin"
	"magnoliastall.example/magno/event"
	"magnoliastall.example/magno/lines"
	"magnoliastall.example/magno/setup"
	"magnoliastall.example/magno/start"
	"magnoliastall.example/magno/wire"

	// The site that deployments name.
	_ "magnoliastall.example/platform"
)

const (
	// anyone lets every address of the platform's network call: machines come
	// and go, and the settings name no networks.
	anyone = "0.0.0.0/0"
	// collect is the garbage collector's target, in percent of the live heap.
	collect = 50
	// metricsPort is where metrics are served on each machine.
	metricsPort = 9464
	// stopTime bounds a planned stop; nothing of a request passes this process.
	stopTime = magno.Second
)

// Main runs an agent on the named site and returns its exit code.
func Main(name string) int {
	log := &lines.Writer{Out: os.Stdout}
	code := run(name, log)
	log.Flush()
	return code
}

func run(name string, out *lines.Writer) int {
	made, err := magno.Plugin(magno.SortSite, name)
	if err != nil {
		fmt.Fprintln(os.Stderr, "agent:", err)
		return setup.ExitUsage
	}
	site, ok := made.(magno.Site)
	if !ok {
		fmt.Fprintf(os.Stderr, "agent: plug-in %q is no site\n", name)
		return setup.ExitUsage
	}
	set, err := site.Settings()
	if err != nil {
		fmt.Fprintln(os.Stderr, "agent:", err)
		return setup.ExitUsage
	}
	debug.SetGCPercent(collect)
	log := start.Log(out, set.Name)
	return serve(site, set, log, out)
}

func serve(site magno.Site, set *magno.SiteSettings, log *slog.Logger, out *lines.Writer) int {
	clock := magno.NewSteady()
	mesh := &wire.Mesh{Listen: net.JoinHostPort(set.IP, strconv.Itoa(set.Inner)), Allow: []string{anyone}, Clock: clock, Log: log}
	if err := mesh.Open(); err != nil {
		log.Error("start", "error", err)
		return start.ExitFailed
	}
	k := &keep.Keep{
		Name: set.Name, Engine: site.Engine(set.Upstream), Mesh: mesh, Clock: clock, Log: log, Fence: int64(clock.Now()),
	}
	k.Open()
	log.Info("start", "dc", set.DataCentre, "peers", mesh.Addr(), "upstream", set.Upstream, "service", set.Service)
	d := start.Daemon{
		Duties: []magno.Duty{mesh, k.Duty(), out, &admin.Server{
			Listen: net.JoinHostPort(set.IP, strconv.Itoa(metricsPort)), Allow: []string{anyone},
			Ready: func() bool { return true }, Status: func() any { return k.Name },
			Events: &event.Ring{Process: set.Name, Size: 1},
		}},
		Log: log, Leave: k.Leave, Busy: func() int64 { return 0 }, Drain: stopTime, Reload: func() {},
	}
	return d.Run()
}
