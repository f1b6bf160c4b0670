package keep

import (
	"fmt"
	"testing"

	"magnoliastall.example/magno"
	"magnoliastall.example/magno/gate"
)

// Guards against places at the engine that are held for requests which ended before the agent got to their call: the
// end of a request is handled at once, and may overtake it.
func TestNoPermitForARequestThatEndedBefore(t *testing.T) {
	a := start(t, newEngine())
	if reply, err := a.permit(t, "0"); err != nil || reply.Refusal != nil {
		t.Fatalf("got %+v, %v", reply, err)
	}
	for i := range 5 { // one more than the engine runs at once
		id := fmt.Sprint("ended", i)
		if err := a.caller.Notify(t.Context(), a.addr, gate.MethodEnd, gate.EndCall{ID: id}); err != nil {
			t.Fatal(err)
		}
		if reply, err := a.permit(t, id); err != nil || reply.Refusal == nil || reply.Refusal.Kind != magno.KindCancelled {
			t.Errorf("got %+v, %v, want a refusal as cancelled", reply, err)
		}
	}
	if reply, err := a.permit(t, "1"); err != nil || reply.Refusal != nil {
		t.Errorf("got %+v, %v for another request", reply, err)
	}
}

// Guards against ends of unknown requests that are kept for good, or in any number.
func TestEarlyEndsAreForgotten(t *testing.T) {
	var e earlyEnds
	now := magno.Hour
	e.add("a", now)
	e.add("b", now)
	if !e.take("a", now+earlyEndTime) || e.take("a", now+earlyEndTime) {
		t.Error("an end doesn't count once")
	}
	if e.take("b", now+2*earlyEndTime) {
		t.Error("an end is kept for too long")
	}
	for i := range 3 * maxEarlyEnds {
		e.add(fmt.Sprint(i), now)
	}
	if n := len(e.recent) + len(e.older); n > 2*maxEarlyEnds {
		t.Errorf("%d are kept", n)
	}
}
