package main

import (
	"flag"
	"fmt"
	"os"

	"magnoliastall.example/drive/layout"
	"magnoliastall.example/magno/setup"
)

// runLayout implements `drive layout`.
func runLayout(args []string) int {
	set := flag.NewFlagSet("drive layout", flag.ContinueOnError)
	l := &layout.Layout{}
	set.StringVar(&l.Dir, "out", "out/demo", "`folder` to write to")
	set.IntVar(&l.Port, "port", 7000, "lowest port; 600 are used")
	set.StringVar(&l.Deployment, "deploy", "delta", "delta or cursada")
	set.IntVar(&l.Entries, "entries", 3, "entry instances")
	set.IntVar(&l.Adapters, "adapters", 24, "adapters")
	if err := set.Parse(args); err != nil {
		return setup.ExitUsage
	}
	if err := l.Write(); err != nil {
		fmt.Fprintf(os.Stderr, "drive layout: %v\n", err)
		return 1
	}
	return 0
}
