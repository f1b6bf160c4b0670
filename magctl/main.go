// Command magctl is the command line for operators. It only reads; operators make
// changes by publishing them on the platform.
package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
)

// Exit codes.
const (
	exitOK          = 0
	exitFindings    = 1 // invalid file, a process not ready, or nothing found
	exitUsage       = 2
	exitUnreachable = 3 // a process did not answer
)

// command is one subcommand.
type command struct {
	name, usage, help string
	run               func(ctx context.Context, args []string, out io.Writer) int
}

// commands returns the subcommands in the order of the help text.
func commands() []command {
	return []command{
		{"check", "check FILE", "check a configuration as the daemons would, before it is published", runCheck},
		{"diff", "diff OLD NEW", "say what publishing NEW over OLD will do", runDiff},
		{"key", "key [-new FILE]", "print the digest of a caller's key, made anew or read from standard input", runKey},
		{"pack", "pack -out DIR FILE", "write the values to publish, in the order of the file 'order'", runPack},
		{"status", "status [-json]", "show the state of every process", runStatus},
		{"explain", "explain PROFILE", "say where a request of a profile would go now, and why", runExplain},
		{"trace", "trace [REQUEST]", "merge the events of all processes into one time line", runTrace},
		{"wait", "wait [-for 30s]", "wait until every process is ready", runWait},
	}
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	code := run(ctx, os.Args[1:], os.Stdout)
	stop()
	os.Exit(code)
}

func run(ctx context.Context, args []string, out io.Writer) int {
	if len(args) == 0 {
		printHelp(os.Stderr)
		return exitUsage
	}
	if args[0] == "help" || args[0] == "-help" || args[0] == "-h" {
		printHelp(out)
		return exitOK
	}
	for _, c := range commands() {
		if c.name == args[0] {
			return c.run(ctx, args[1:], out)
		}
	}
	fmt.Fprintf(os.Stderr, "magctl: no command %q; magctl help lists them\n", args[0])
	return exitUsage
}

func printHelp(w io.Writer) {
	_, _ = fmt.Fprint(w, "usage: magctl COMMAND [flags]\n\n")
	for _, c := range commands() {
		_, _ = fmt.Fprintf(w, "  %-20s %s\n", c.usage, c.help)
	}
	_, _ = fmt.Fprint(w, "\n`magctl COMMAND -help` lists a command's flags.\n"+
		"Exit codes: 0 done, 1 faults or nothing found, 2 wrong usage, 3 a process could not be asked.\n")
}
