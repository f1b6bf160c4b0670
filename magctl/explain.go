package main

import (
	"context"
	"fmt"
	"io"
	"net/url"
	"os"
	"strings"

	"magnoliastall.example/magctl/peers"
	"magnoliastall.example/magno"
)

// explanation is an entry's answer to /v1/explain; see package daemon of the
// entry.
type explanation struct {
	Profile magno.Profile    `json:"profile"`
	Retired bool             `json:"retired"`
	Order   []string         `json:"order"`
	Agents  []magno.Instance `json:"agents"`
	Drained []string         `json:"drained"`
}

// runExplain prints where a request of a profile would be routed now.
func runExplain(ctx context.Context, args []string, out io.Writer) int {
	f := newFlags("explain", "explain [flags] PROFILE")
	rest, code, ok := f.parse(args, 1, 1)
	if !ok {
		return code
	}
	if _, err := peers.Load(*f.fleet, *f.admins); err != nil {
		return fail(err)
	}
	// Agents do not serve /v1/explain, so their errors are ignored.
	explanations, _, err := queryAll[explanation](ctx, f, "/v1/explain?profile="+url.QueryEscape(rest[0]))
	if err != nil {
		return fail(err)
	}
	if len(explanations) == 0 {
		fmt.Fprintf(os.Stderr, "magctl: no entry knows profile %q\n", rest[0])
		return exitFindings
	}
	if *f.json {
		printJSON(out, explanations)
		return exitOK
	}
	e := explanations[0]
	p := e.Profile
	_, _ = fmt.Fprintf(out, "profile  %s  customer %s  pool %s  adapter %s@%s  urgency %d  repeat %t  retired %t\n",
		p.Name, p.Customer, p.Pool, p.Adapter, p.Version, p.Urgency, p.Idempotent, e.Retired)
	for i, entry := range explanations {
		_, _ = fmt.Fprintf(out, "entry %d would try  %s\n", i, strings.Join(entry.Order, ", "))
	}
	if !p.Idempotent {
		_, _ = fmt.Fprintln(out, "its requests carry a key, whose home is asked first; the order above holds for none of them")
	}
	if len(e.Drained) > 0 {
		_, _ = fmt.Fprintf(out, "drained  %s\n", strings.Join(e.Drained, ", "))
	}
	return exitOK
}
