package daemon

import (
	"sort"

	"magnoliastall.example/magno"
	"magnoliastall.example/magno/config"
)

// Status is the state of an agent as the administration API returns it.
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
	// Held lists the adapters in slots, Pinned those of them that are in use.
	Held   []string `json:"held"`
	Pinned []string `json:"pinned"`
	// Busy counts runs under way, Keys the keys in the ledger, Grants those in the witness.
	Busy   int64 `json:"busy"`
	Keys   int   `json:"keys"`
	Grants int   `json:"grants"`
	// Suspects counts requests that have crashed, or may have crashed, an upstream.
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
