package hop

import "testing"

// Guards against requests that are sent to the successor of an upstream that ended: it closed connections
// that it had promised to keep. One that expired says nothing, and neither does an upstream without any.
func TestEndedUpstream(t *testing.T) {
	p, c, far, addr := newIdleConn(t, "timeout=60")
	if p.Ended("other") {
		t.Error("an upstream without connections counts as ended")
	}
	if p.Ended(c.key) {
		t.Error("an upstream with an open connection counts as ended")
	}
	again, err := p.Get(t.Context(), c.key, addr)
	if err != nil || !again.Reused {
		t.Fatalf("the check has used up the connection: %v", err)
	}
	p.keep(again)
	_ = far.Close()
	waitUnusable(t, c)
	for range 2 {
		if !p.Ended(c.key) {
			t.Error("an upstream that closed its connection doesn't count as ended")
		}
	}
	p.Prune(func(string) bool { return false })
	if p.Ended(c.key) {
		t.Error("an upstream that is no longer listed is remembered")
	}
}

// Guards against an upstream that counts as ended because it closed a connection that had expired.
func TestExpiredConnectionSaysNothing(t *testing.T) {
	p, c, far, _ := newIdleConn(t, "timeout=5")
	_ = far.Close()
	waitUnusable(t, c)
	p.Clock.Advance(c.expires - p.Clock.Now())
	if p.Ended(c.key) {
		t.Error("the upstream counts as ended")
	}
}

// Guards against a request that is sent over an idle connection to an upstream that has ended: the connection is
// half-open, or leads to the successor.
func TestIdleConnectionsOfAnEndedUpstreamAreClosed(t *testing.T) {
	p, c, _, addr := newIdleConn(t, "timeout=60")
	p.SetEnded(c.key)
	if !p.Ended(c.key) {
		t.Error("the upstream doesn't count as ended")
	}
	next, err := p.Get(t.Context(), c.key, addr)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = next.Close() }()
	if next.Reused {
		t.Error("the idle connection is used again")
	}
}
