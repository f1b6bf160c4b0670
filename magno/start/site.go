package start

import (
	"fmt"
	"log/slog"
	"os"
	"reflect"
	"runtime/debug"

	"magnoliastall.example/magno"
	"magnoliastall.example/magno/lines"
	"magnoliastall.example/magno/setup"
)

const (
	// Anyone lets every address of a platform's network call: machines come and
	// go, and the settings name no networks.
	AnyAddress = "0.0.0.0/0"
	// MetricsPort is where metrics are served on each machine; the deploy file
	// names it too.
	MetricsPort = 9464
	// collect is the garbage collector's target, in percent of the live heap:
	// memory costs more on the platform than the processor time that it saves, and live
	// heaps are a few megabytes.
	collect = 20
	// memoryPart is the part of the memory limit from which on the collector
	// works harder instead of letting the process be killed.
	memoryPart = 0.8
)

// Site runs a program on the site that the plug-in of that name speaks for, and
// returns its exit code. What serve logs is written before it returns.
func RunSite(program, name string, serve func(magno.Site, *magno.SiteSettings, *lines.Writer) int) int {
	site, set, err := settings(name)
	if err != nil {
		fmt.Fprintf(os.Stderr, "%s: %v\n", program, err)
		return setup.ExitUsage
	}
	debug.SetGCPercent(collect)
	if set.MemoryLimit > 0 {
		debug.SetMemoryLimit(int64(memoryPart * float64(set.MemoryLimit)))
	}
	out := &lines.Writer{Out: os.Stdout}
	defer out.Flush()
	return serve(site, set, out)
}

func settings(name string) (magno.Site, *magno.SiteSettings, error) {
	made, err := magno.NewPlugin(magno.PluginSite, name)
	if err != nil {
		return nil, nil, err
	}
	site, ok := made.(magno.Site)
	if !ok {
		return nil, nil, fmt.Errorf("plug-in %q is no site", name)
	}
	set, err := site.Settings()
	return site, set, err
}

// Reload returns what reads the settings again when they changed. What a process
// is told of itself holds until its next start; the log says whether it changed.
func Reloader(site magno.Site, set *magno.SiteSettings, log *slog.Logger) func() {
	return func() {
		now, err := site.Settings()
		if err != nil {
			log.Warn("settings", "error", err)
			return
		}
		log.Info("settings", "changed", !reflect.DeepEqual(now, set))
	}
}
