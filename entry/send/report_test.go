package send

import (
	"context"
	"testing"
	"time"

	"magnoliastall.example/magno"
	"magnoliastall.example/magno/wire"
)

// Guards against an entry that goes on leaving an upstream alone though its agent reports that its
// rest has ended, and against reports of agents that aren't listed.
func TestReportOfAnAgentReachesItsRouter(t *testing.T) {
	h := newHarness(t, "a", nil)
	reports := make(chan magno.BacklogReport, 10)
	h.sender.Router = func(pool string) magno.Router {
		if pool != "p" {
			t.Errorf("a router of pool %q was asked for", pool)
		}
		return &router{reports: reports}
	}
	m := &wire.Mesh{Listen: "127.0.0.1:0"}
	h.sender.Mesh = m
	h.sender.Register()
	if err := m.Open(); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); _ = m.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
	agent := &wire.Mesh{}
	for _, name := range []string{"stranger", "a"} { // notifications are handled in order
		report := magno.BacklogReport{Agent: name, Backlog: magno.Backlog{Running: 3}}
		if err := agent.Notify(ctx, m.Addr(), magno.MethodBacklog, report); err != nil {
			t.Fatal(err)
		}
	}
	select {
	case r := <-reports:
		if r.Agent != "a" || r.Backlog.Running != 3 || len(reports) > 0 {
			t.Errorf("got %+v and %d more, want the one of a", r, len(reports))
		}
	case <-time.After(time.Minute):
		t.Fatal("the report didn't reach the router")
	}
}

// Guards against calls that don't say where reports are taken.
func TestCallsSayWhereReportsAreTaken(t *testing.T) {
	got := make(chan string, 1)
	h := newHarness(t, "a", map[string][]func(context.Context) (any, error){"a": {ok}})
	h.from = got
	h.sender.Self = "127.0.0.1:7"
	if _, refusal := h.do("", magno.Minute); refusal != nil {
		t.Fatal(refusal)
	}
	if from := <-got; from != "127.0.0.1:7" {
		t.Errorf("the call is from %q", from)
	}
}
