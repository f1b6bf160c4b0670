package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"magnoliastall.example/drive/soak"
)

// runSoak runs one seed after another. It returns 1 if a guarantee was violated.
func runSoak(args []string) int {
	flags := flag.NewFlagSet("soak", flag.ContinueOnError)
	seed := flags.Uint64("seed", 1, "first seed")
	count := flags.Uint64("seeds", 1, "how many seeds")
	duration := flags.Duration("for", 8*time.Second, "how long faults come with each seed")
	bin := flags.String("bin", "bin", "where the programs are")
	out := flags.String("out", "out/soak", "where settings and logs go")
	var size soak.Size
	flags.IntVar(&size.Entries, "entries", 0, "how many entries, 0 for the usual number")
	flags.IntVar(&size.Engines, "engines", 0, "how many engines with agents, 0 for the usual number")
	flags.IntVar(&size.Plains, "plains", 0, "how many upstreams of the plain service, 0 for the usual number")
	flags.IntVar(&size.DataCentres, "centres", 0, "over how many data centres they are spread, 0 for one")
	flags.IntVar(&size.RetrySlack, "slack", 0, "the retry budget's part that doesn't depend on the requests, 0 for the usual one")
	flags.IntVar(&size.Network, "network", 0, "the second byte of all addresses, 127.NETWORK.0.0/16")
	flags.Float64Var(&size.Share, "share", 0, "the share of the time for which each process runs, 0 for all of it")
	silences := flags.Bool("silences", false, "play only upstreams that fall silent, with planned work or failures beside them")
	if err := flags.Parse(args); err != nil {
		return 2
	}
	code := 0
	for s := *seed; s < *seed+*count; s++ {
		dir := filepath.Join(*out, fmt.Sprint(s))
		if err := os.MkdirAll(dir, 0o750); err != nil {
			fmt.Fprintln(os.Stderr, "soak:", err)
			return 2
		}
		one := &soak.Soak{Seed: s, Duration: *duration, Dir: dir, Bin: *bin, Out: os.Stdout, Size: size, SilencesOnly: *silences}
		broken, err := one.Run(context.Background())
		if err != nil {
			fmt.Fprintf(os.Stderr, "soak: seed %d: %v\n", s, err)
			return 2
		}
		if len(broken) > 0 {
			code = 1
		}
		time.Sleep(time.Second) // lets the processes of this seed exit
	}
	return code
}
