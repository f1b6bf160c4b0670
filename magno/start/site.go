package start

import (
	"fmt"
	"os"
	"runtime/debug"

	"magnoliastall.example/magno"
	"magnoliastall.example/magno/lines"
	"magnoliastall.example/magno/setup"
)

const (
	// AnyAddress allows access from all addresses of the platform's network: machines are
	// added and removed, and the settings contain no networks.
	AnyAddress = "0.0.0.0/0"
	// MetricsPort is the port for metrics on each machine. It must match the deploy file.
	MetricsPort = 9464
	// gcPercent is below the default of 100 because memory costs more on the platform than
	// the CPU time that it saves, and live heaps are a few megabytes.
	gcPercent = 20
	// memoryLimitFraction is the part of the process's memory limit that is set as the soft
	// limit of the Go runtime. From there on the garbage collector runs more often, before
	// the process is killed.
	memoryLimitFraction = 0.8
)

// RunSite runs a program on the platform whose site plug-in has the given name, and returns
// its exit code. It flushes the log before it returns.
func RunSite(program, name string, serve func(magno.Site, *magno.SiteSettings, *lines.Writer) int) int {
	site, set, err := settings(name)
	if err != nil {
		fmt.Fprintf(os.Stderr, "%s: %v\n", program, err)
		return setup.ExitUsage
	}
	debug.SetGCPercent(gcPercent)
	if set.MemoryLimit > 0 {
		debug.SetMemoryLimit(int64(memoryLimitFraction * float64(set.MemoryLimit)))
	}
	out := &lines.Writer{Out: os.Stdout}
	defer out.Flush()
	return serve(site, set, out)
}

func settings(name string) (magno.Site, *magno.SiteSettings, error) {
	plugin, err := magno.NewPlugin(magno.PluginSite, name)
	if err != nil {
		return nil, nil, err
	}
	site, ok := plugin.(magno.Site)
	if !ok {
		return nil, nil, fmt.Errorf("plug-in %q does not implement magno.Site", name)
	}
	set, err := site.Settings()
	return site, set, err
}
