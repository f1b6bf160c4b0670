// Package start implements start-up and shutdown of daemons: settings, log, signals, tasks
// and exit code.
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

// Exit codes of a daemon; see also setup.ExitUsage.
const (
	ExitOK     = 0
	ExitFailed = 1
)

// drainPollInterval is how often a planned stop checks whether work is still running.
const drainPollInterval = 20 * time.Millisecond

// Daemon is a process of the system. Fields must be set before Run.
type Daemon struct {
	Tasks []magno.Task
	Log   *slog.Logger
	// Leave is called at the beginning of a planned stop. No new work is accepted after it.
	Leave func()
	// Busy returns the number of running requests, for which a planned stop waits.
	Busy func() int64
	// DrainTimeout bounds that wait.
	DrainTimeout magno.Millis
	// Reload is called on SIGHUP. It is nil if settings can't change without a restart.
	Reload func()
}

// ParseOptions reads settings into opts. If ok is false, the program has to exit with the
// returned code.
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

// NewLogger returns a logger that writes a line of key=value pairs per event.
func NewLogger(w io.Writer, process string) *slog.Logger {
	opts := &slog.HandlerOptions{ReplaceAttr: errorMessage}
	return slog.New(slog.NewTextHandler(w, opts)).With("process", process)
}

// errorMessage replaces errors by their message. Otherwise errors with a stack trace would
// log the trace.
func errorMessage(_ []string, a slog.Attr) slog.Attr {
	if err, ok := a.Value.Any().(error); ok {
		a.Value = slog.StringValue(err.Error())
	}
	return a
}

// Run runs the tasks until one fails or a signal requests a planned stop, and returns the
// exit code. A second signal ends the process without waiting for running work.
func (d *Daemon) Run() int {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	defer signal.Stop(signals)
	reloads := make(chan os.Signal, 1)
	if d.Reload != nil {
		signal.Notify(reloads, syscall.SIGHUP)
		defer signal.Stop(reloads)
	}
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		d.wait(ctx, signals, reloads)
		cancel()
	}()
	supervisor := magno.Supervisor{Tasks: d.Tasks, OnExit: func(exit magno.Exit) {
		d.Log.Info("duty", "name", exit.Task, "ended", true, "error", exit.Err)
	}}
	err := supervisor.Run(ctx)
	cancel()
	<-stopped
	if err != nil {
		d.Log.Error("stopped", "error", err)
		return ExitFailed
	}
	d.Log.Info("stopped")
	return ExitOK
}

// wait handles signals and returns when the process may exit.
func (d *Daemon) wait(ctx context.Context, signals, reloads <-chan os.Signal) {
	for stopping := false; !stopping; {
		select {
		case <-ctx.Done():
			return
		case <-reloads:
			d.Log.Info("reload")
			d.Reload()
		case sig := <-signals:
			d.Log.Info("leaving", "signal", sig.String(), "busy", d.Busy())
			stopping = true
		}
	}
	d.Leave()
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	timeout := time.After(d.DrainTimeout.Duration())
	for d.Busy() > 0 {
		select {
		case <-ctx.Done():
			return
		case <-timeout:
			d.Log.Warn("leaving", "cut", d.Busy())
			return
		case <-signals:
			return
		case <-ticker.C:
		}
	}
}
