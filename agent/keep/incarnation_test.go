package keep

import (
	"testing"
	"time"

	"magnoliastall.example/magno"
	"magnoliastall.example/magno/gate"
)

// offerStuck starts a permit call that waits, since the engine refuses all orders.
func offerStuck(t *testing.T, a *agent) <-chan *gate.PermitReply {
	t.Helper()
	got := make(chan *gate.PermitReply, 1)
	go func() {
		reply, err := a.permit(t, "1")
		if err != nil {
			t.Error(err)
		}
		got <- reply
	}()
	for a.sendStatus(t, "r@1", 1).Backlog.Queued == 0 {
		time.Sleep(time.Millisecond)
	}
	return got
}

// Guards against a permit for an engine that was replaced while the request waited: the request would
// reach an incarnation that the list of its entry doesn't name. The reply must name the incarnation
// and the revision, so that the entry can fetch the list.
func TestWaitingRequestIsRefusedWhenTheIncarnationChanges(t *testing.T) {
	e := newEngine()
	e.fence = 1 << 60 // all orders are refused
	a := start(t, e)
	got := offerStuck(t, a)
	a.sendStatus(t, "r@2", 7)
	r := <-got
	if r.Refusal == nil || r.Refusal.Kind != magno.KindNoUpstream {
		t.Fatalf("got %+v", r)
	}
	if r.Status.Replica != "r@2" || r.Status.Revision != 7 {
		t.Errorf("the reply names %s at revision %s, want r@2 at 7", r.Status.Replica, r.Status.Revision)
	}
	if n := a.sendStatus(t, "r@2", 7).Backlog.Queued; n != 0 {
		t.Errorf("%d requests are still queued", n)
	}
}

// Guards against permits for an engine that restarted before the list names its new incarnation, for
// requests that wait and for new ones. Two incarnations within a second are refused alike.
func TestLaterIncarnationThatNoListNamesIsRefused(t *testing.T) {
	e := newEngine()
	e.fence = 1 << 60
	a := start(t, e)
	got := offerStuck(t, a)
	e.set(func() { e.born = 2 })
	if r := <-got; r.Refusal == nil || r.Refusal.Kind != magno.KindNoUpstream {
		t.Fatalf("the waiting request got %+v", r)
	}
	e.set(func() { e.born, e.fence = 3, 0 })
	for a.sendStatus(t, "r@1", 1).EngineStart != 3 {
		time.Sleep(time.Millisecond)
	}
	r, err := a.permit(t, "2")
	if err != nil || r.Refusal == nil || r.Refusal.Kind != magno.KindNoUpstream {
		t.Fatalf("a new request got %+v, %v", r, err)
	}
	call := gate.PermitCall{Replica: "r@3", Spec: spec("r@3"), Revision: 9, Request: permitRequest("3")}
	var reply gate.PermitReply
	if err := a.caller.Call(t.Context(), a.addr, gate.MethodPermit, call, &reply); err != nil || reply.Refusal != nil {
		t.Errorf("a request for the listed incarnation got %+v, %v", reply.Refusal, err)
	}
}
