package main

import (
	"errors"
	"fmt"

	"magnoliastall.example/magno"
	"magnoliastall.example/magno/setup"
)

// The kinds of simulated service.
const (
	kindEngine = "engine"
	kindPlain  = "plain"
	kindStore  = "store"
	kindConf   = "conf"
	kindList   = "list"
	kindAll    = "all" // every service in the list of the key stands
)

// config has the settings of one service, and those of the program. Keys that a
// kind does not use are ignored; zero means the default of the kind.
type config struct {
	Kind   string `json:"kind" help:"engine, plain, store, conf, list, or all of stands"`
	Name   string `json:"name" help:"name in logs"`
	Listen string `json:"listen" help:"IP:PORT for the system; port 0 takes a free one"`
	Admin  string `json:"admin" help:"IP:PORT for operators; port 0 takes a free one"`

	Step              magno.Millis `json:"step" help:"ms of an engine's step"`
	Batch             int          `json:"batch" help:"requests of an engine's step, or calls at once of a plain service"`
	Tokens            int          `json:"tokens" help:"capacity of an engine's step"`
	Queue             int          `json:"queue" help:"requests or calls that may wait"`
	Slots             int          `json:"slots" help:"adapters that an engine holds"`
	Cache             int          `json:"cache" help:"prefixes that an engine keeps"`
	EventDelay        magno.Millis `json:"late" help:"ms until a cache event shows"`
	EventLossInterval int          `json:"gap" help:"each such cache event is lost; 0 loses none"`
	Lag               magno.Millis `json:"lag" help:"ms that a report or list is behind"`
	Restart           magno.Millis `json:"restart" help:"ms that an upstream is down after a crash"`
	Store             string       `json:"store" help:"URL of the weight store of an engine"`
	Load              magno.Millis `json:"load" help:"ms of an adapter load at full speed"`
	Work              magno.Millis `json:"work" help:"ms of a plain call"`
	Rate              float64      `json:"rate" help:"loads a second of the store, calls a second of the configuration service"`
	Width             int          `json:"width" help:"loads at once at full speed"`

	Services []config `json:"stands" help:"settings of each, for kind all"`
}

func defaults() config {
	return config{Kind: kindAll, Listen: "127.0.0.1:0", Admin: "127.0.0.1:0"}
}

// maxNumber bounds every number, so that a typing error is reported here instead of
// exhausting the machine.
const maxNumber = 1 << 20

// Check returns an error for the first key that is out of range.
func (c *config) Check() error {
	switch c.Kind {
	case kindEngine, kindPlain, kindStore, kindConf, kindList, kindAll:
	default:
		return &setup.Error{Key: "kind", Message: fmt.Sprintf("%q is unknown", c.Kind)}
	}
	numbers := []struct {
		key   string
		value float64
	}{
		{"step", float64(c.Step)}, {"batch", float64(c.Batch)}, {"tokens", float64(c.Tokens)},
		{"queue", float64(c.Queue)}, {"slots", float64(c.Slots)}, {"cache", float64(c.Cache)},
		{"late", float64(c.EventDelay)}, {"gap", float64(c.EventLossInterval)},
		{"lag", float64(c.Lag)}, {"restart", float64(c.Restart)}, {"load", float64(c.Load)},
		{"work", float64(c.Work)}, {"rate", c.Rate}, {"width", float64(c.Width)},
	}
	for _, n := range numbers {
		if err := setup.Range(n.key, n.value, 0, maxNumber); err != nil {
			return err
		}
	}
	for i := range c.Services {
		if err := c.Services[i].Check(); err != nil {
			return nameService(err, c.Services[i].Name)
		}
	}
	return nil
}

// nameService adds the name of the service to a fault. The same key occurs for many
// services of a list, and setup reports the line of the last occurrence.
func nameService(err error, name string) error {
	var fault *setup.Error
	if errors.As(err, &fault) {
		fault.Message += fmt.Sprintf(", in the stand-in %q", name)
	}
	return err
}
