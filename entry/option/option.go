// Package option holds the settings of an entry.
package option

import (
	"magnoliastall.example/magno"
	"magnoliastall.example/magno/setup"
)

// Option holds the settings of an entry. Each field is a key of the settings file and a
// flag.
type Option struct {
	Name       string   `json:"name" help:"name of the instance"`
	DataCentre string   `json:"dc" help:"data centre of the instance"`
	Listen     string   `json:"listen" help:"address for callers, IP:PORT"`
	Admin      string   `json:"admin" help:"address of the administration API, IP:PORT"`
	Peer       string   `json:"peer" help:"address for other processes of the system, IP:PORT"`
	Config     string   `json:"platform" help:"URL of the platform's configuration service"`
	List       string   `json:"list" help:"URL of the platform's instance list"`
	Allow      []string `json:"allow" help:"networks whose processes may call, CIDR; empty: this machine"`
	Router     string   `json:"router" help:"router plug-in"`
	Body       int64    `json:"body" help:"most bytes of a caller's body"`
	Deadline   int64    `json:"deadline" help:"milliseconds for a request that states no deadline and whose profile has none"`
	Attempts   int      `json:"attempts" help:"most attempts for one request"`
	Drain      int64    `json:"drain" help:"most milliseconds that a planned stop waits for running requests"`
	Grace      int64    `json:"grace" help:"milliseconds between not being ready and taking no new connection"`
}

// Default returns the settings for a single entry on this machine.
func Default() *Option {
	return &Option{
		Name: "entry", DataCentre: "local",
		Listen: "127.0.0.1:7080", Admin: "127.0.0.1:7090", Peer: "127.0.0.1:7100",
		Config: "http://127.0.0.1:7010", List: "http://127.0.0.1:7020",
		Router: "near", Body: 1 << 20, Deadline: 30000, Attempts: 3, Drain: 60000, Grace: 2000,
	}
}

// Check implements setup.Checker.
func (o *Option) Check() error {
	for key, value := range map[string]string{"name": o.Name, "dc": o.DataCentre} {
		if value == "" {
			return &setup.Error{Key: key, Message: "is empty"}
		}
	}
	if err := setup.Range("body", o.Body, 1<<10, 4<<20); err != nil {
		return err
	}
	if err := setup.Range("deadline", o.Deadline, 1, int64(magno.Hour)); err != nil {
		return err
	}
	if err := setup.Range("attempts", o.Attempts, 1, 10); err != nil {
		return err
	}
	if err := setup.Range("drain", o.Drain, 0, int64(magno.Hour)); err != nil {
		return err
	}
	return setup.Range("grace", o.Grace, 0, int64(magno.Minute))
}
