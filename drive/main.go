// Command drive load-tests and simulates the system.
//
//	drive sim     simulates routing and scheduling policies on a virtual clock
//	drive live    sends load to running processes over HTTP and verifies the results
//	drive layout  writes the settings of a local deployment
//	drive soak    runs the real programs on a simulated platform and injects faults
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"

	"magnoliastall.example/magno/setup"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	code := run(ctx, os.Args[1:])
	stop()
	os.Exit(code)
}

func run(ctx context.Context, args []string) int {
	if len(args) == 0 {
		fmt.Fprintln(os.Stderr, "usage: drive sim|live|layout|soak [flags]; -help lists them")
		return setup.ExitUsage
	}
	switch args[0] {
	case "sim":
		return runSim(ctx, args[1:])
	case "live":
		return runLive(ctx, args[1:])
	case "soak":
		return runSoak(args[1:])
	case "layout":
		return runLayout(args[1:])
	}
	fmt.Fprintf(os.Stderr, "drive: no command %q\n", args[0])
	return setup.ExitUsage
}
