// Command stand runs stand-ins, which are simulated versions of the services that
// the system uses: model engines, plain services, weight store, configuration
// service and instance list. A process runs one of them, or all that its settings
// list.
//
//	stand [flags]            run stand-ins
//	stand publish [flags]    publish a configuration or an instance list
//	stand fault [flags]      activate a fault
package main

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"magnoliastall.example/magno"
	"magnoliastall.example/magno/setup"
)

func main() {
	log := slog.New(slog.NewTextHandler(os.Stdout, nil))
	if len(os.Args) > 1 {
		switch os.Args[1] {
		case "publish":
			os.Exit(runPublish(context.Background(), os.Args[2:], log))
		case "fault":
			os.Exit(sendFault(context.Background(), os.Args[2:], log))
		}
	}
	cfg := defaults()
	if err := setup.Load("stand", os.Args[1:], &cfg); err != nil {
		fmt.Fprintln(os.Stderr, "stand:", err)
		os.Exit(setup.ExitUsage)
	}
	tasks, err := buildTasks(cfg, log)
	if err != nil {
		log.Error("start failed", "err", err)
		os.Exit(1)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	supervisor := magno.Supervisor{Tasks: tasks}
	err = supervisor.Run(ctx)
	stop()
	if err != nil {
		log.Error("stopped", "err", err)
		os.Exit(1)
	}
	log.Info("stopped")
}
