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
		one := &soak.Soak{Seed: s, Duration: *duration, Dir: dir, Bin: *bin, Out: os.Stdout}
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
