package main

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"

	"magnoliastall.example/magno"
	"magnoliastall.example/stand/conf"
	"magnoliastall.example/stand/engine"
	"magnoliastall.example/stand/insts"
	"magnoliastall.example/stand/plain"
	"magnoliastall.example/stand/serve"
	"magnoliastall.example/stand/weight"
)

// service is implemented by every simulated service.
type service interface {
	Name() string
	Run(ctx context.Context) error
	Handler() http.Handler
	Admin() http.Handler
}

// buildTasks returns the tasks of every configured service and binds its
// addresses.
func buildTasks(cfg config, log *slog.Logger) ([]magno.Task, error) {
	configs := []config{cfg}
	if cfg.Kind == kindAll {
		configs = cfg.Services
	}
	if len(configs) == 0 {
		return nil, fmt.Errorf("stands: no service is configured")
	}
	var tasks []magno.Task
	for _, c := range configs {
		s, err := c.newService()
		if err != nil {
			return nil, err
		}
		tasks = append(tasks, s)
		for _, endpoint := range []struct {
			title, addr string
			handler     http.Handler
		}{
			{s.Name(), c.Listen, s.Handler()},
			{s.Name() + " admin", c.Admin, s.Admin()},
		} {
			if endpoint.addr == "" {
				continue
			}
			server := &serve.Server{Title: endpoint.title, Addr: endpoint.addr, Handler: endpoint.handler}
			addr, err := server.Listen()
			if err != nil {
				return nil, err
			}
			log.Info("listening", "addr", addr, "name", endpoint.title, "kind", c.Kind)
			tasks = append(tasks, server)
		}
	}
	return tasks, nil
}

// newService returns the simulated service that the settings describe.
func (c config) newService() (service, error) {
	name := c.Name
	if name == "" {
		name = c.Kind
	}
	switch c.Kind {
	case kindEngine:
		return &engine.Engine{
			Title: name, StepTime: c.Step, BatchSize: c.Batch, TokenBudget: c.Tokens, AdapterSlots: c.Slots, CacheSize: c.Cache,
			QueueLimit: c.Queue, EventDelay: c.EventDelay, EventLossInterval: c.EventLossInterval, ReportLag: c.Lag,
			RestartTime: c.Restart, StoreURL: c.Store, LoadTime: c.Load,
		}, nil
	case kindPlain:
		return &plain.Service{Title: name, WorkTime: c.Work, Concurrency: c.Batch, QueueLimit: c.Queue, RestartTime: c.Restart}, nil
	case kindStore:
		return &weight.Store{Title: name, Rate: c.Rate, FullSpeedLoads: c.Width, LoadTime: c.Load}, nil
	case kindConf:
		return &conf.Service{Title: name, Rate: c.Rate}, nil
	case kindList:
		return &insts.List{Title: name, Lag: c.Lag}, nil
	}
	return nil, fmt.Errorf("kind: %q is not allowed in stands", c.Kind)
}
