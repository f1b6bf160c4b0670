package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"

	"magnoliastall.example/magno/pack"
	"magnoliastall.example/magno/setup"
)

// runPack writes the values of a configuration as files for operators to publish.
func runPack(_ context.Context, args []string, out io.Writer) int {
	f := newFlags("pack", "pack -out DIR FILE")
	dir := f.set.String("out", "", "`folder` to write to")
	rest, code, ok := f.parse(args, 1, 1)
	if !ok {
		return code
	}
	if *dir == "" {
		return fail(fmt.Errorf("flag -out is required"))
	}
	cfg, faults, err := readConfig(rest[0], nil)
	if err != nil || len(faults) > 0 {
		return reportInvalid(f, out, err, faults)
	}
	values, err := pack.Pack(*cfg)
	if err != nil {
		return fail(err)
	}
	var order strings.Builder
	for _, v := range values {
		path := filepath.Join(*dir, filepath.FromSlash(v.Key))
		if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
			return fail(err)
		}
		if err := os.WriteFile(path, v.Data, 0o600); err != nil {
			return fail(err)
		}
		order.WriteString(v.Key + "\n")
	}
	if err := os.WriteFile(filepath.Join(*dir, "order"), []byte(order.String()), 0o600); err != nil {
		return fail(err)
	}
	_, _ = fmt.Fprintf(out, "version %d: %d values in %s; publish them in the order of the file 'order'\n", cfg.Version, len(values), *dir)
	return exitOK
}

// reportInvalid prints why a file cannot be used and returns the exit code.
func reportInvalid(f *flags, out io.Writer, err error, faults []*setup.Error) int {
	if err != nil {
		return fail(err)
	}
	return printFaults(f, out, faults)
}
