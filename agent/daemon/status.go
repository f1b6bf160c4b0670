package daemon

import (
	"sort"

	"magnoliastall.example/magno"
	"magnoliastall.example/magno/config"
)

// Status is an agent's state, as its administration API gives it.
type Status struct {
	Name       string        `json:"name"`
	Role       magno.Role    `json:"role"`
	DataCentre string        `json:"dc"`
	Pool       string        `json:"pool"`
	Upstream   string        `json:"upstream"`
	Up         bool          `json:"up"`
	Ready      bool          `json:"ready"`
	Leaving    bool          `json:"leaving"`
	Drained    bool          `json:"drained"`
	Config     config.Status `json:"config"`
	Backlog    magno.Backlog `json:"backlog"`
	// Held lists the adapters in slots, Pinned those in use.
	Held   []string `json:"held"`
	Pinned []string `json:"pinned"`
	// Busy counts runs, Keys and Grants what the ledger and the witness hold.
	Busy   int64 `json:"busy"`
	Keys   int   `json:"keys"`
	Grants int   `json:"grants"`
	// Suspects counts requests that crashed upstreams or may have.
	Suspects int          `json:"suspects"`
	Probe    *magno.Probe `json:"probe,omitempty"`
}

func (a *agent) status() any {
	s := Status{
		Name: a.opts.Name, Role: magno.RoleAgent, DataCentre: a.opts.DataCentre, Pool: a.opts.Pool,
		Upstream: a.opts.Upstream, Up: a.probe.Up(), Ready: a.ready(), Leaving: a.server.Leaving(),
		Drained: a.server.Drained(), Config: a.Store.Status(), Backlog: a.loop.Backlog(),
		Held: []string{}, Pinned: []string{},
		Busy: a.server.Busy(), Keys: a.ledger.Len(), Grants: a.witness.Len(), Suspects: len(a.Suspects.List()), Probe: a.probe.Last(),
	}
	for ref, pinned := range a.loop.Holds() {
		s.Held = append(s.Held, ref.String())
		if pinned {
			s.Pinned = append(s.Pinned, ref.String())
		}
	}
	sort.Strings(s.Held)
	sort.Strings(s.Pinned)
	return s
}
