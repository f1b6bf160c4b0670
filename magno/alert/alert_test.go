package alert

import (
	"testing"

	"magnoliastall.example/magno"
	"magnoliastall.example/magno/crash"
	"magnoliastall.example/magno/gossip"
)

// Guards against an end, or that a request was cleared of it, being lost on the way to a peer because
// another process published the same request at the same time.
func TestEndsOfSeveralProcessesReachAPeer(t *testing.T) {
	clock := magno.NewClock(1_000_000)
	marks := map[string]gossip.Mark{}
	newProcess := func() (*crash.Suspects, *Publisher) {
		s := &crash.Suspects{Clock: clock}
		p := &Publisher{Suspects: s, SetMark: func(m gossip.Mark) {
			if m.Seq > marks[m.Key].Seq {
				marks[m.Key] = m
			}
		}}
		s.OnChange = p.Publish
		return s, p
	}
	a, toA := newProcess()
	b, _ := newProcess()
	c, toC := newProcess()
	a.RecordEnd(7, magno.UpstreamEnd{Upstream: 1, Pool: 9})
	b.RecordEnd(7, magno.UpstreamEnd{Upstream: 2, Pool: 9})
	a.RecordEnd(7, magno.UpstreamEnd{Upstream: 3, Pool: 9})
	for _, m := range marks {
		toC.Receive(m)
	}
	if n := c.Count(7); n != 3 || !c.MustRefuse(7) {
		t.Errorf("%d ends, want 3", n)
	}
	c.Clear(7)
	for _, m := range marks {
		toA.Receive(m)
	}
	if n := a.Count(7); n != 0 {
		t.Errorf("%d ends after the request completed elsewhere", n)
	}
}

// Guards against a malformed mark, or one of another type, being taken for an end.
func TestOtherMarksAreIgnored(t *testing.T) {
	s := &crash.Suspects{Clock: magno.NewClock(1_000_000)}
	p := &Publisher{Suspects: s}
	for _, m := range []gossip.Mark{
		{Key: "other/7/1", Data: "9"}, {Key: "crash/7", Data: "9"}, {Key: "crash/7/!", Data: "9"}, {Key: "crash/!/1", Data: "9"}, {Key: "crash/7/1", Data: "!"},
	} {
		p.Receive(m)
	}
	if n := len(s.List()); n != 0 {
		t.Errorf("%d records", n)
	}
}
