package main

import (
	"context"
	"fmt"
	"io"
	"strings"
	"time"

	"magnoliastall.example/magno/event"
)

// runTrace merges the events of all processes into one timeline.
func runTrace(ctx context.Context, args []string, out io.Writer) int {
	f := newFlags("trace", "trace [flags] [REQUEST]")
	last := f.set.Int("last", 200, "most events to print, the newest; 0 for all")
	rest, code, ok := f.parse(args, 0, 1)
	if !ok {
		return code
	}
	request := ""
	if len(rest) == 1 {
		request = rest[0]
	}
	rings, missing, err := queryAll[[]event.Event](ctx, f, "/v1/events?after=0")
	if err != nil {
		return fail(err)
	}
	events := mergeEvents(rings, request)
	if *last > 0 && len(events) > *last {
		events = events[len(events)-*last:]
	}
	if *f.json {
		printJSON(out, events)
		return reportMissing(missing)
	}
	for _, e := range events {
		at := time.UnixMilli(int64(e.Time)).UTC().Format("15:04:05.000")
		_, _ = fmt.Fprintf(out, "%s %-10s %-9s %s %s\n", at, e.Process, e.Kind, e.Request, e.Text)
	}
	if code := reportMissing(missing); code != exitOK {
		return code
	}
	if len(events) == 0 {
		return exitFindings
	}
	return exitOK
}

// mergeEvents repeatedly takes the earliest of the next events of all processes, so
// that the events of a process stay in order even if its clock was set back. If
// request is not empty, only its events are returned, and those of its attempts,
// whose identifiers have a suffix.
func mergeEvents(rings [][]event.Event, request string) []event.Event {
	all := []event.Event{}
	next := make([]int, len(rings))
	for {
		earliest := -1
		for i, ring := range rings {
			if next[i] < len(ring) && (earliest < 0 || ring[next[i]].Time < rings[earliest][next[earliest]].Time) {
				earliest = i
			}
		}
		if earliest < 0 {
			return all
		}
		e := rings[earliest][next[earliest]]
		next[earliest]++
		if request == "" || e.Request == request || strings.HasPrefix(e.Request, request+".") {
			all = append(all, e)
		}
	}
}
