package main

import (
	"context"
	"fmt"
	"io"
	"sort"
	"strings"
	"text/tabwriter"

	"magnoliastall.example/magno"
	"magnoliastall.example/magno/config"
)

// processState is the answer of an entry or agent to /v1/status. Fields that only
// one role has are empty for the other.
type processState struct {
	Name       string        `json:"name"`
	Role       magno.Role    `json:"role"`
	DataCentre string        `json:"dc"`
	Pool       string        `json:"pool,omitempty"`
	Up         bool          `json:"up"`
	Ready      bool          `json:"ready"`
	Leaving    bool          `json:"leaving"`
	Drained    bool          `json:"drained"`
	Config     config.Status `json:"config"`
	Backlog    magno.Backlog `json:"backlog"`
	Held       []string      `json:"held,omitempty"`
	Pinned     []string      `json:"pinned,omitempty"`
	Busy       int64         `json:"busy"`
	Keys       int           `json:"keys"`
	Grants     int           `json:"grants"`
	Suspects   int           `json:"suspects"`
}

// runStatus prints the state of every process.
func runStatus(ctx context.Context, args []string, out io.Writer) int {
	f := newFlags("status", "status [flags]")
	if _, code, ok := f.parse(args, 0, 0); !ok {
		return code
	}
	states, missing, err := queryAll[processState](ctx, f, "/v1/status")
	if err != nil {
		return fail(err)
	}
	if *f.json {
		printJSON(out, states)
		return reportMissing(missing)
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "NAME\tROLE\tDC\tPOOL\tSTATE\tCONFIG\tBUSY\tQUEUED\tWAIT ms\tHELD\tPINNED\tKEYS\tGRANTS\tSUSPECTS\tBACKLOG BY BUSINESS")
	for _, s := range states {
		_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%s\n", s.Name, s.Role, s.DataCentre, s.Pool,
			s.summary(), s.Config.Version, s.Busy, s.Backlog.Queued, s.Backlog.Wait, len(s.Held), len(s.Pinned),
			s.Keys, s.Grants, s.Suspects, formatBacklog(s.Backlog.Customer))
	}
	_ = w.Flush()
	for _, s := range states {
		if s.Config.Refused != nil {
			_, _ = fmt.Fprintf(out, "%s refused version %d: %s\n", s.Name, s.Config.Refused.Version, s.Config.Refused.Reason)
		}
	}
	return reportMissing(missing)
}

// summary returns the most important state of a process in one word.
func (s processState) summary() string {
	switch {
	case s.Drained:
		return "drained"
	case s.Leaving:
		return "leaving"
	case s.Role == magno.RoleAgent && !s.Up:
		return "down"
	case !s.Ready:
		return "starting"
	}
	return "ready"
}

func formatBacklog(tokens map[string]int) string {
	list := make([]string, 0, len(tokens))
	for name, n := range tokens {
		list = append(list, fmt.Sprintf("%s=%d", name, n))
	}
	sort.Strings(list)
	return strings.Join(list, " ")
}
