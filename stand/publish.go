package main

import (
	"context"
	"flag"
	"fmt"
	"log/slog"

	"magnoliastall.example/magno/setup"
	"magnoliastall.example/stand/publ"
)

// runPublish runs `stand publish`, which publishes files on the simulated platform.
func runPublish(ctx context.Context, args []string, log *slog.Logger) int {
	set := flag.NewFlagSet("stand publish", flag.ContinueOnError)
	conf := set.String("conf", "http://127.0.0.1:7011", "`URL` of the configuration service's operators' port")
	list := set.String("list", "http://127.0.0.1:7021", "`URL` of the instance list's operators' port")
	config := set.String("config", "", "configuration `file` to publish")
	instances := set.String("instances", "", "instance list `file` to publish")
	if err := set.Parse(args); err != nil {
		return setup.ExitUsage
	}
	p := &publ.Publisher{ConfURL: *conf, ListURL: *list}
	if err := publishFiles(ctx, p, *config, *instances, log); err != nil {
		log.Error("publish failed", "err", err)
		return 1
	}
	return 0
}

func publishFiles(ctx context.Context, p *publ.Publisher, config, instances string, log *slog.Logger) error {
	if config == "" && instances == "" {
		return fmt.Errorf("nothing to publish: set -config or -instances")
	}
	if config != "" {
		version, err := p.PublishConfig(ctx, config)
		if err != nil {
			return err
		}
		log.Info("published", "config", config, "version", version)
	}
	if instances == "" {
		return nil
	}
	if err := p.PublishInstances(ctx, instances); err != nil {
		return err
	}
	log.Info("published", "instances", instances)
	return nil
}

// sendFault runs `stand fault`, which activates a fault at a simulated service.
func sendFault(ctx context.Context, args []string, log *slog.Logger) int {
	set := flag.NewFlagSet("stand fault", flag.ContinueOnError)
	to := set.String("to", "", "`URL` of the stand-in's operators' port")
	body := set.String("order", "", "the fault, such as {\"kind\":\"outage\"}; see docs/PROTOCOLS.md")
	if err := set.Parse(args); err != nil {
		return setup.ExitUsage
	}
	if err := publ.SetFault(ctx, *to, []byte(*body)); err != nil {
		log.Error("cannot activate fault", "err", err)
		return 1
	}
	return 0
}
