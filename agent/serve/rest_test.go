package serve

import (
	"context"
	"encoding/json"
	"log/slog"
	"testing"
	"time"

	"magnoliastall.example/agent/loop"
	"magnoliastall.example/magno"
	"magnoliastall.example/magno/once"
	"magnoliastall.example/magno/sched"
	"magnoliastall.example/magno/wire"
)

// idle is an upstream that isn't asked to run anything.
type idle struct{ magno.Upstream }

// startTask runs a task until the test ends.
func startTask(t *testing.T, task magno.Task) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); _ = task.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
}

func openMesh(t *testing.T, m *wire.Mesh) {
	t.Helper()
	m.Listen, m.Log = "127.0.0.1:0", slog.New(slog.DiscardHandler)
	if err := m.Open(); err != nil {
		t.Fatal(err)
	}
	startTask(t, m)
}

// Guards against an entry that leaves an upstream alone long after a restart that ended its rest:
// it sends nothing there, so no reply tells it. One that doesn't say where it takes reports, as
// before they were sent, is answered as before.
func TestEntryIsToldOfARestThatEndedEarly(t *testing.T) {
	clock := &magno.Clock{}
	l := loop.New()
	l.Clock, l.Scheduler, l.Upstream, l.Log = clock, &sched.Sched{Clock: clock, Limits: magno.Limits{Batch: 1}}, idle{}, slog.New(slog.DiscardHandler)
	s := &Server{
		Clock: clock, Loop: l, Ledger: &once.Ledger{Self: "a1"}, ConfigVersion: func() int64 { return 1 },
		Retired: func(magno.Ref, int64) bool { return false }, Ready: func() bool { return true },
	}
	l.OnRestCut = s.ReportRestCut
	agent, entry := &wire.Mesh{}, &wire.Mesh{}
	s.Register(agent)
	reports := make(chan magno.BacklogReport, 10)
	entry.Handle(magno.MethodBacklog, func(_ context.Context, _ *wire.Peer, params json.RawMessage) (any, error) {
		var r magno.BacklogReport
		err := json.Unmarshal(params, &r)
		reports <- r
		return struct{}{}, err
	})
	openMesh(t, agent)
	openMesh(t, entry)
	startTask(t, l)
	ask := func(from string) magno.Backlog {
		call := magno.RunCall{Call: "c", Work: magno.Work{Job: magno.Job{ID: "c"}}, Left: magno.Second, Config: 1, From: from}
		var reply magno.RunReply
		if err := entry.Call(context.Background(), agent.Addr(), magno.MethodRun, call, &reply); err != nil || reply.Refusal == nil {
			t.Fatalf("got %+v, %v, want a refusal within the rest", reply, err)
		}
		return reply.Backlog
	}
	l.TakeNotice(magno.Notice{RetryAfter: magno.Hour}, clock.Now())
	for end := time.Now().Add(time.Minute); l.Backlog().Rest == 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("no rest is stated")
		}
	}
	if b := ask(""); b.Rest == 0 || b.Wait < b.Rest {
		t.Errorf("a caller is told of %+v, want a wait for the rest", b)
	}
	ask(entry.Addr())
	ask(entry.Addr())
	l.Reset(magno.Probe{Boot: 2, Limits: magno.Limits{Batch: 1}})
	select {
	case r := <-reports:
		if r.Agent != "a1" || r.Backlog.Rest != 0 || r.Backlog.Wait != 0 {
			t.Errorf("reported %+v, want that a1 rests no more", r)
		}
	case <-time.After(time.Minute):
		t.Fatal("the entry wasn't told")
	}
	if left := s.toldRests.take(clock.Now()); len(left) > 0 || len(reports) > 0 {
		t.Errorf("%v are to be told again, %d further reports", left, len(reports))
	}
}

// Guards against remembering entries that are long gone.
func TestEntriesThatWereToldOfAnEarlierRestAreForgotten(t *testing.T) {
	var told toldRests
	told.add("", 0, magno.Minute)
	told.add("before", 0, magno.Minute)
	told.add("none", magno.Second, 0)
	told.add("now", magno.Minute, magno.Minute)
	if len(told.until) != 1 {
		t.Errorf("%v are remembered, want one", told.until)
	}
	if got := told.take(2 * magno.Minute); len(got) != 0 {
		t.Errorf("%v are told at the end of the rest", got)
	}
}
