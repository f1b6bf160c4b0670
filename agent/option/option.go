// Package option holds the settings of an agent.
package option

import (
	"magnoliastall.example/magno"
	"magnoliastall.example/magno/setup"
)

// Option holds the settings that an agent reads at its start. Each field is a key in the settings
// file and a command-line flag.
type Option struct {
	Name       string   `json:"name" help:"name of the instance, the slot that outlives the process"`
	DataCentre string   `json:"dc" help:"data centre of the instance"`
	Pool       string   `json:"pool" help:"pool that the upstream belongs to"`
	Kind       string   `json:"kind" help:"kind of upstream: engine or plain"`
	Listen     string   `json:"listen" help:"address for other processes of the system, IP:PORT"`
	Admin      string   `json:"admin" help:"address of the administration API, IP:PORT"`
	Upstream   string   `json:"upstream" help:"address of the upstream, IP:PORT"`
	Config     string   `json:"platform" help:"URL of the platform's configuration service"`
	List       string   `json:"list" help:"URL of the platform's instance list"`
	Allow      []string `json:"allow" help:"networks whose processes may call, CIDR; empty: this machine"`
	Probe      int64    `json:"probe" help:"milliseconds between two probes of the upstream"`
	Drain      int64    `json:"drain" help:"most milliseconds that a planned stop waits for running work"`
	Scheduler  string   `json:"scheduler" help:"scheduler plug-in"`
	Retention  int64    `json:"retention" help:"milliseconds for which an idempotency key is remembered"`
	Skew       int64    `json:"skew" help:"most milliseconds by which two clocks of the fleet differ"`
	Ledger     int      `json:"ledger" help:"most idempotency keys that are remembered"`
}

// Default returns the settings of a single agent on the local machine.
func Default() *Option {
	return &Option{
		Name: "agent", DataCentre: "local", Pool: "reading", Kind: string(magno.PoolEngine),
		Listen: "127.0.0.1:7200", Admin: "127.0.0.1:7300", Upstream: "127.0.0.1:7400",
		Config: "http://127.0.0.1:7010", List: "http://127.0.0.1:7020",
		Probe: 200, Drain: 60000, Scheduler: "fair",
		Retention: int64(magno.KeyRetention), Skew: 500, Ledger: 50000,
	}
}

// Check implements setup.Checker.
func (o *Option) Check() error {
	if o.Kind != string(magno.PoolEngine) && o.Kind != string(magno.PoolPlain) {
		return &setup.Error{Key: "kind", Message: "is neither engine nor plain"}
	}
	for key, value := range map[string]string{"name": o.Name, "dc": o.DataCentre, "pool": o.Pool} {
		if value == "" {
			return &setup.Error{Key: key, Message: "is empty"}
		}
	}
	if err := setup.Range("probe", o.Probe, 10, 10000); err != nil {
		return err
	}
	if err := setup.Range("drain", o.Drain, 0, 3600000); err != nil {
		return err
	}
	if err := setup.Range("retention", o.Retention, 1000, int64(7*24*magno.Hour)); err != nil {
		return err
	}
	if err := setup.Range("skew", o.Skew, 0, 60000); err != nil {
		return err
	}
	return setup.Range("ledger", o.Ledger, 100, 10000000)
}
