package keep

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"magnoliastall.example/magno"
	"magnoliastall.example/magno/gate"
	"magnoliastall.example/magno/wire"
)

// ask sends a permit call in the background. Its reply, nil for none, comes on the channel.
func (a *agent) ask(ctx context.Context, req gate.Request) chan *gate.PermitReply {
	got := make(chan *gate.PermitReply, 1)
	go func() {
		var reply gate.PermitReply
		if err := a.caller.Call(ctx, a.addr, gate.MethodPermit, gate.PermitCall{Replica: "r@1", Request: req}, &reply); err != nil {
			got <- nil
			return
		}
		got <- &reply
	}()
	return got
}

// busy grants permits until the batch is full, which is four.
func (a *agent) busy(t *testing.T) {
	t.Helper()
	for i := range 4 {
		if reply, err := a.permit(t, fmt.Sprint("running", i)); err != nil || reply.Refusal != nil {
			t.Fatalf("got %+v, %v", reply, err)
		}
	}
}

// waitQueued waits until n requests are queued.
func (a *agent) waitQueued(t *testing.T, n int) {
	t.Helper()
	for a.sendStatus(t, "r@1", 1).Backlog.Queued != n {
		if t.Context().Err() != nil {
			t.Fatal("the test is over")
		}
	}
}

// More urgent requests overtake one that waits for a full engine. Guards against it waiting there
// until it is late although its entry knows a better engine, and against a decision that
// operators can't see.
func TestOvertakenRequestIsHandedBackToItsEntry(t *testing.T) {
	a := start(t, newEngine())
	a.busy(t)
	handedBack := metrics.GetOrCreateCounter("handed_back_total")
	before := handedBack.Get()
	// A place is expected about every 375 ms with the initial estimate of run times.
	low := permitRequest("e/1/low")
	low.Rank, low.StartTarget, low.DeclineAbove, low.RoundTrip = 1, 3500, 800, 1
	got := a.ask(t.Context(), low)
	a.waitQueued(t, 1)
	time.Sleep(2 * time.Millisecond) // so that its wait is not zero
	for i := range 10 {
		a.ask(t.Context(), permitRequest(fmt.Sprint("urgent", i)))
	}
	reply := <-got
	if reply == nil || !reply.Declined || reply.Refusal != nil {
		t.Fatalf("got %+v, want the request handed back", reply)
	}
	if reply.Status.Replica != "r@1" || reply.Waits == (gate.Waits{}) {
		t.Errorf("the reply has no status or no waits: %+v", reply)
	}
	if handedBack.Get() != before+1 {
		t.Errorf("the metric went from %d to %d", before, handedBack.Get())
	}
	if lines := a.log.lines(`"handed back"`); len(lines) != 1 || !strings.Contains(lines[0], "request=e/1/low") || !strings.Contains(lines[0], "wait=") {
		t.Errorf("the log has %q", lines)
	}
	a.waitQueued(t, 10)
}

// An entry dies while its requests wait, or its link is cut. Guards against a queue of requests
// that nobody will send, and against a permit for one of them.
func TestRequestsOfALostEntryAreDropped(t *testing.T) {
	a := start(t, newEngine())
	a.busy(t)
	ctx, die := context.WithCancel(t.Context())
	entry := &agent{caller: &wire.Mesh{Clock: a.Clock}, addr: a.addr}
	ended := make(chan error, 1)
	go func() { ended <- entry.caller.Run(ctx) }()
	var lost []chan *gate.PermitReply
	for i := range 5 {
		lost = append(lost, entry.ask(t.Context(), permitRequest(fmt.Sprint("lost", i))))
	}
	a.waitQueued(t, 5)
	die()
	if err := <-ended; err != nil {
		t.Error(err)
	}
	for _, got := range lost {
		if reply := <-got; reply != nil {
			t.Errorf("got %+v for a call whose connection is cut", reply)
		}
	}
	since := a.Clock.Now()
	a.waitQueued(t, 0)
	if took := a.Clock.Now() - since; took > 30*magno.Second { // they would give up after 60 s
		t.Errorf("they were dropped after %d ms", took)
	}
	if running := a.sendStatus(t, "r@1", 1).Backlog.Running; running != 4 {
		t.Errorf("%d requests run, want the four from before", running)
	}
}
