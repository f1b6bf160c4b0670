package site

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"

	"magnoliastall.example/entry/peers"
	"magnoliastall.example/magno"
	"magnoliastall.example/magno/notice"
	"magnoliastall.example/magno/view"
)

// newPools returns the pools of an entry whose list names two engines, of which one leaves.
func newPools(t testing.TB) *pools {
	t.Helper()
	clock := magno.NewClock(magno.Hour)
	book := &view.Store{Clock: clock}
	book.ApplyRead([]magno.Change{
		{Key: "plan", Revision: 1, Plan: &magno.Plan{Version: 1, Services: []magno.Service{{Name: "s", Engine: &magno.Engine{Batch: 1}}}}},
		{Key: "a", Revision: 1, Replica: engine("a", 1, false)},
		{Key: "b", Revision: 1, Replica: engine("b", 1, true)},
	}, 1, true)
	return &pools{
		clock: clock, book: book, notices: &notice.Board{Clock: clock}, peers: &peers.Peers{Clock: clock}, settings: &magno.SiteSettings{Name: "e"},
		log: slog.New(slog.DiscardHandler),
	}
}

func engine(id string, start magno.Millis, leaving bool) *magno.Replica {
	return &magno.Replica{ID: id, StartedAt: start, Service: "s", Address: id + ":1", DataCentre: "x", Slots: 4, Leaving: leaving}
}

// restart lists another incarnation of an engine. The pools are not updated, as by a task that hasn't
// been scheduled yet.
func (p *pools) restart(id string, start magno.Millis) {
	revision := p.book.Current().Revision + 1
	p.book.ApplyRead([]magno.Change{{Key: id, Revision: revision, Replica: engine(id, start, false)}}, revision, false)
}

func chosen(p *pools) []string {
	return p.Router("s").Choose(magno.Query{Ref: magno.Ref{Adapter: "m/x"}}).Names
}

// isClosed reports whether the channel that wakes waiting requests is closed.
func isClosed(ch <-chan struct{}) bool {
	select {
	case <-ch:
		return true
	default:
		return false
	}
}

// Guards against the loss of what agents report before the first request of a service: that an engine is
// down, or what it holds. A calm agent isn't polled again for a while.
func TestReportBeforeTheFirstRequestIsKept(t *testing.T) {
	p := newPools(t)
	p.report("s", "a@1", magno.Backlog{Down: true})
	if names := chosen(p); len(names) != 0 {
		t.Errorf("chose %v, though the only engine that stays is down", names)
	}
}

// Guards against a request or a report that comes for an incarnation that was listed a moment ago: the
// request would find no upstream, and the report would be lost.
func TestPoolsFollowTheListAtOnce(t *testing.T) {
	p := newPools(t)
	if names := chosen(p); len(names) != 1 || names[0] != "a@1" {
		t.Fatalf("chose %v", names)
	}
	p.restart("a", 2)
	if names := chosen(p); len(names) != 1 || names[0] != "a@2" {
		t.Errorf("chose %v, want the incarnation that is listed now", names)
	}
	p.restart("a", 3)
	p.report("s", "a@3", magno.Backlog{Down: true})
	if names := chosen(p); len(names) != 0 {
		t.Errorf("chose %v, though a report said that it is down", names)
	}
}

// Guards against waits for engines that leave, and against requests that sleep through the arrival of
// one. A change that concerns no target must not wake them.
func TestListedSlotsAndArrivals(t *testing.T) {
	p := newPools(t)
	slots, usable := p.Listed("s")
	if slots != 4 || isClosed(usable) {
		t.Fatalf("%d slots, want the 4 of the engine that stays", slots)
	}
	p.update()
	revision := p.book.Current().Revision + 1
	p.book.ApplyRead([]magno.Change{{Key: "m/x", Revision: revision, Pin: &magno.Pin{Model: "m", Adapter: "x", Number: 1}}}, revision, false)
	p.update()
	if isClosed(usable) {
		t.Error("a change of no target wakes waiting requests")
	}
	p.restart("a", 2)
	p.update()
	if !isClosed(usable) {
		t.Error("a new incarnation doesn't wake waiting requests")
	}
	_, usable = p.Listed("s")
	p.wakeWaiting("s")
	if !isClosed(usable) {
		t.Error("a usable engine doesn't wake waiting requests")
	}
	p.restart("b", 5)
	if slots, _ := p.Listed("s"); slots != 8 {
		t.Errorf("%d slots, want 8", slots)
	}
}

// Guards against a total of repeats that can't be found out afterwards: entries logged only what they refused.
func TestBudgetIsLoggedBeforeItIsUsedUp(t *testing.T) {
	var log bytes.Buffer
	p := newPools(t)
	p.log = slog.New(slog.NewTextHandler(&log, nil))
	p.settings.RetrySlack, p.settings.RetryWindow = 100, 10*magno.Second
	p.clock.Advance(p.settings.RetryWindow)
	sent := 0
	for p.ReserveRetry("s") && p.SpendRetry("s", "") {
		sent++
	}
	if n := strings.Count(log.String(), `msg="retry budget" service=s`); n != 1 {
		t.Errorf("%d lines within a second, want one:\n%s", n, log.String())
	}
	for _, want := range []string{"part=1", "processes=1", "age=", "limit=65"} {
		if !strings.Contains(log.String(), want) {
			t.Errorf("no %s in:\n%s", want, log.String())
		}
	}
	if sent != 65 {
		t.Errorf("%d retries were sent, want 65", sent)
	}
}
