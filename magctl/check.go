package main

import (
	"context"
	"fmt"
	"io"

	"magnoliastall.example/magno"
	"magnoliastall.example/magno/setup"
)

// runCheck validates a configuration by the same rules as the daemons.
func runCheck(_ context.Context, args []string, out io.Writer) int {
	f := newFlags("check", "check [flags] FILE")
	active := f.set.String("after", "", "`file` with the configuration in force; its rosters bind the new one")
	rest, code, ok := f.parse(args, 1, 1)
	if !ok {
		return code
	}
	var old []magno.Roster
	if *active != "" {
		cfg, faults, err := readConfig(*active, nil)
		if err != nil {
			return fail(err)
		}
		if len(faults) > 0 {
			return printFaults(f, out, faults)
		}
		old = cfg.Rosters
	}
	cfg, faults, err := readConfig(rest[0], old)
	if err != nil {
		return fail(err)
	}
	if len(faults) > 0 {
		return printFaults(f, out, faults)
	}
	_, _ = fmt.Fprintf(out, "%s: version %d is sound: %d customers, %d pools, %d adapters, %d profiles, %d drained, %d rosters\n",
		rest[0], cfg.Version, len(cfg.Customers), len(cfg.Pools), len(cfg.Adapters), len(cfg.Profiles), len(cfg.Drained), len(cfg.Rosters))
	return exitOK
}

func printFaults(f *flags, out io.Writer, faults []*setup.Error) int {
	if *f.json {
		printJSON(out, faults)
		return exitFindings
	}
	for _, fault := range faults {
		_, _ = fmt.Fprintln(out, fault)
	}
	return exitFindings
}
