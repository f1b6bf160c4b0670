package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"time"

	"magnoliastall.example/magctl/peers"
)

// pollInterval is the pause between two rounds of requests.
const pollInterval = 100 * time.Millisecond

// runWait waits until every process is ready, or the timeout.
func runWait(ctx context.Context, args []string, _ io.Writer) int {
	f := newFlags("wait", "wait [-for 30s]")
	timeout := f.set.Duration("for", 30*time.Second, "longest wait")
	if _, code, ok := f.parse(args, 0, 0); !ok {
		return code
	}
	p, err := peers.Load(*f.fleet, *f.admins)
	if err != nil {
		return fail(err)
	}
	ctx, cancel := context.WithTimeout(ctx, *timeout)
	defer cancel()
	for {
		notReady := ""
		for _, a := range p.Get(ctx, "/ready") {
			if a.Err != nil {
				notReady = fmt.Sprintf("%s: %v", a.Address, a.Err)
			}
		}
		if notReady == "" {
			return exitOK
		}
		select {
		case <-ctx.Done():
			fmt.Fprintln(os.Stderr, "magctl: not ready:", notReady)
			return exitFindings
		case <-time.After(pollInterval):
		}
	}
}
