package main

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"

	"magnoliastall.example/magctl/peers"
)

// flags are the ones that all subcommands have.
type flags struct {
	set           *flag.FlagSet
	fleet, admins *string
	json          *bool
}

func newFlags(name, usage string) *flags {
	f := &flags{set: flag.NewFlagSet("magctl "+name, flag.ContinueOnError)}
	f.set.Usage = func() {
		_, _ = fmt.Fprintf(f.set.Output(), "usage: magctl %s\n", usage)
		f.set.PrintDefaults()
	}
	f.fleet = f.set.String("fleet", os.Getenv("MAGNO_FLEET"), "`file` that lists the administration APIs; default $MAGNO_FLEET")
	f.admins = f.set.String("admin", "", "`addresses` of administration APIs, comma-separated, instead of -fleet")
	f.json = f.set.Bool("json", false, "print JSON for scripts")
	return f
}

// parse parses the flags and returns the remaining arguments. When ok is false, the
// command must exit with code.
func (f *flags) parse(args []string, minArgs, maxArgs int) (rest []string, code int, ok bool) {
	err := f.set.Parse(args)
	if errors.Is(err, flag.ErrHelp) {
		return nil, exitOK, false
	}
	if err != nil {
		return nil, exitUsage, false
	}
	if n := f.set.NArg(); n < minArgs || n > maxArgs {
		f.set.Usage()
		return nil, exitUsage, false
	}
	return f.set.Args(), exitOK, true
}

// queryAll requests path from every process. It returns the decoded answers in the
// order of the processes; missing describes those that did not answer.
func queryAll[T any](ctx context.Context, f *flags, path string) (values []T, missing []string, err error) {
	p, err := peers.Load(*f.fleet, *f.admins)
	if err != nil {
		return nil, nil, err
	}
	for _, a := range p.Get(ctx, path) {
		var value T
		if a.Err == nil {
			a.Err = json.Unmarshal(a.Body, &value)
		}
		if a.Err != nil {
			missing = append(missing, fmt.Sprintf("%s: %v", a.Address, a.Err))
			continue
		}
		values = append(values, value)
	}
	return values, missing, nil
}

// reportMissing prints the processes that did not answer and returns the exit code.
func reportMissing(missing []string) int {
	for _, m := range missing {
		fmt.Fprintln(os.Stderr, "magctl: no answer from", m)
	}
	if len(missing) > 0 {
		return exitUnreachable
	}
	return exitOK
}

func fail(err error) int {
	fmt.Fprintln(os.Stderr, "magctl:", err)
	return exitUsage
}

func printJSON(w io.Writer, value any) {
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	_ = enc.Encode(value)
}
