// Package start holds what every daemon does at its start and its end:
// settings, log, signals, duties, exit code.
package start

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"syscall"
	"time"

	"magnoliastall.example/magno"
	"magnoliastall.example/magno/setup"
)

// The exit codes of a daemon, besides setup.ExitUsage.
const (
	ExitOK     = 0
	ExitFailed = 1
)

// drainLook is how often a planned stop looks whether work is still running.
const drainLook = 20 * time.Millisecond

// Daemon is one process of the system. Fields are set before Run.
type Daemon struct {
	Tasks []magno.Task
	Log   *slog.Logger
	// Leave is called first at a planned stop: no new work from then on.
	Leave func()
	// Busy counts what a planned stop waits for.
	Busy func() int64
	// Drain bounds that wait.
	DrainTimeout magno.Millis
	// Reload is called when the settings changed; nil where nothing can change
	// without a new start.
	Reload func()
}

// Options reads settings into opts and returns an exit code other than
// ExitOK when the program is to end.
func ParseOptions(name string, args []string, opts any) (code int, ok bool) {
	err := setup.Load(name, args, opts)
	if errors.Is(err, flag.ErrHelp) {
		return ExitOK, false
	}
	if err != nil {
		fmt.Fprintf(os.Stderr, "%s: %v\n", name, err)
		return setup.ExitUsage, false
	}
	return ExitOK, true
}

// Log returns a logger that writes one line of key=value pairs an event.
func NewLogger(w io.Writer, process string) *slog.Logger {
	opts := &slog.HandlerOptions{ReplaceAttr: oneLine}
	return slog.New(slog.NewTextHandler(w, opts)).With("process", process)
}

// oneLine keeps an error to its message: errors with a stack would print it
// into the line.
func oneLine(_ []string, a slog.Attr) slog.Attr {
	if err, ok := a.Value.Any().(error); ok {
		a.Value = slog.StringValue(err.Error())
	}
	return a
}

// Run works until a duty fails or a signal asks for a planned stop. A second
// signal ends the process without waiting.
func (d *Daemon) Run() int {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	defer signal.Stop(signals)
	hups := make(chan os.Signal, 1)
	if d.Reload != nil {
		signal.Notify(hups, syscall.SIGHUP)
		defer signal.Stop(hups)
	}
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		d.wait(ctx, signals, hups)
		cancel()
	}()
	kernel := magno.Supervisor{Tasks: d.Tasks, OnExit: func(end magno.Exit) {
		d.Log.Info("duty", "name", end.Task, "ended", true, "error", end.Err)
	}}
	err := kernel.Run(ctx)
	cancel()
	<-stopped
	if err != nil {
		d.Log.Error("stopped", "error", err)
		return ExitFailed
	}
	d.Log.Info("stopped")
	return ExitOK
}

// wait returns when the process may end.
func (d *Daemon) wait(ctx context.Context, signals, hups <-chan os.Signal) {
	for asked := false; !asked; {
		select {
		case <-ctx.Done():
			return
		case <-hups:
			d.Log.Info("reload")
			d.Reload()
		case sig := <-signals:
			d.Log.Info("leaving", "signal", sig.String(), "busy", d.Busy())
			asked = true
		}
	}
	d.Leave()
	ticker := time.NewTicker(drainLook)
	defer ticker.Stop()
	limit := time.After(d.DrainTimeout.Duration())
	for d.Busy() > 0 {
		select {
		case <-ctx.Done():
			return
		case <-limit:
			d.Log.Warn("leaving", "cut", d.Busy())
			return
		case <-signals:
			return
		case <-ticker.C:
		}
	}
}
