package proof

import (
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"testing"

	"magnoliastall.example/drive/layout"
	"magnoliastall.example/magno"
)

const (
	recordPath = "/v1/call/receipt-record"
	slowWork   = 400 // milliseconds of a plain call: time enough to fail in its middle
)

// busyHome returns the agent that runs something now.
func (f *fleet) busyHome() string {
	home := ""
	f.eventually("an agent runs the call", func() bool {
		for _, in := range f.instances {
			var s struct {
				Backlog magno.Backlog `json:"backlog"`
			}
			if in.Pool == "status" && f.status(in.Name, &s) && s.Backlog.Running > 0 {
				home = in.Name
				return true
			}
		}
		return false
	})
	return home
}

// An extension agent's browser sends a receipt twice through two entries,
// because the first answer was slow. The receipt must be recorded once, and
// both answers must be the same.
func TestSentTwiceRunsOnce(t *testing.T) {
	f := newFleet(t, layout.Layout{Engines: 1, PlainServices: 4, Adapters: 4, PlainCallMs: slowWork})
	key, body := newKey(), `{"receipt":"twice"}`
	replies := make([]reply, 4)
	var wg sync.WaitGroup
	for i := range replies {
		wg.Add(1)
		go func() {
			defer wg.Done()
			replies[i] = f.post(i%2, recordPath, key, body)
		}()
	}
	wg.Wait()
	for _, r := range replies {
		if r.status != 200 || r.body != replies[0].body {
			t.Errorf("got %v, the first was %v", r, replies[0])
		}
	}
	if n := f.runsOf(body); n != 1 {
		t.Errorf("the receipt was recorded %d times", n)
	}
}

// The agent that took a receipt is killed while the service records it. The
// caller sends it again through another entry. Whoever answers knows no more
// than that it may have been recorded: "not run" would make the caller record
// it a second time, and running it again would double it.
func TestHomeKilledWhileItRuns(t *testing.T) {
	f := newFleet(t, layout.Layout{Engines: 1, PlainServices: 4, Adapters: 4, PlainCallMs: slowWork})
	key, body := newKey(), `{"receipt":"killed"}`
	first := make(chan reply, 1)
	go func() { first <- f.post(0, recordPath, key, body) }()
	f.kill(f.busyHome())
	for i, r := range []reply{<-first, f.post(1, recordPath, key, body), f.post(0, recordPath, key, body)} {
		if r.status == 200 || r.run() != magno.RunUnknown {
			t.Errorf("answer %d: %v", i, r)
		}
	}
	if n := f.runsOf(body); n > 1 {
		t.Errorf("the receipt was recorded %d times", n)
	}
}

// The agent that took a receipt freezes before it sends it on, and wakes up
// after the caller has given up and sent the receipt again. The late agent
// still acts on what it knew; the receipt must be recorded once at most.
func TestHomeFrozenThenWoken(t *testing.T) {
	f := newFleet(t, layout.Layout{Engines: 1, PlainServices: 4, Adapters: 4, PlainCallMs: slowWork})
	for i := range 4 {
		body := fmt.Sprintf(`{"receipt":"frozen %d"}`, i)
		key := newKey()
		frozen := fmt.Sprintf("s%d", i)
		f.freeze(frozen)
		first := make(chan reply, 1)
		go func() { first <- f.post(0, recordPath, key, body) }()
		again := f.post(1, recordPath, key, body)
		f.wake(frozen)
		one := <-first
		for _, r := range []reply{one, again} {
			if r.status != 200 && r.run() == magno.RunNo && f.runsOf(body) > 0 {
				t.Errorf("told not run, and it was: %v", r)
			}
		}
		if n := f.runsOf(body); n > 1 {
			t.Errorf("recorded %d times: %v, %v", n, one, again)
		}
	}
}

// An agent is gone while nothing runs. New receipts must still be recorded:
// none may be refused because one witness of seven is missing.
func TestOneAgentLostRefusesNothing(t *testing.T) {
	f := newFleet(t, layout.Layout{Engines: 4, PlainServices: 4, Adapters: 4})
	f.kill("s2")
	for i := range 40 {
		body := fmt.Sprintf(`{"receipt":"lost agent %d"}`, i)
		r := f.post(i%2, recordPath, newKey(), body)
		if r.status != 200 {
			t.Errorf("receipt %d: %v", i, r)
		}
		if n := f.runsOf(body); n != 1 {
			t.Errorf("receipt %d was recorded %d times", i, n)
		}
	}
}

// The service records a receipt and its answer gets lost on the way back. The
// caller must hear that it is unknown, each time it asks, and never get a
// second run.
func TestAnswerLost(t *testing.T) {
	f := newFleet(t, layout.Layout{Engines: 1, PlainServices: 4, Adapters: 4})
	for _, in := range f.instances {
		if in.Pool == "status" {
			f.upstreamFault(in.Name, `{"kind":"lost","value":1}`)
		}
	}
	key, body := newKey(), `{"receipt":"answer lost"}`
	for i := range 3 {
		if r := f.post(i%2, recordPath, key, body); r.status == 200 || r.run() == magno.RunNo {
			t.Errorf("answer %d: %v", i, r)
		}
	}
	if n := f.runsOf(body); n != 1 {
		t.Errorf("the receipt was recorded %d times", n)
	}
}

// A caller uses one key for two different receipts. The second must not get
// the first one's answer, nor be recorded under its key.
func TestKeyUsedForAnotherBody(t *testing.T) {
	f := newFleet(t, layout.Layout{Engines: 1, PlainServices: 4, Adapters: 4})
	key := newKey()
	if r := f.post(0, recordPath, key, `{"receipt":"a"}`); r.status != 200 {
		t.Fatal(r)
	}
	r := f.post(1, recordPath, key, `{"receipt":"b"}`)
	if r.kind() != magno.KindMismatch || strings.Contains(r.body, "sum") {
		t.Errorf("got %v", r)
	}
	if n := f.runsOf(`{"receipt":"b"}`); n != 0 {
		t.Errorf("the second receipt was recorded %d times", n)
	}
}

// A caller fetched a ticket before it sent its receipt. The agent that the
// ticket names dies. Nobody else may run it: the caller hears that it is
// unknown, however often it asks, and a receipt that did run is not doubled.
func TestTicketOfDeadAgent(t *testing.T) {
	f := newFleet(t, quick(1))
	r := f.post(0, "/v1/tickets/receipt-record", "", "")
	var got struct {
		Ticket string `json:"ticket"`
	}
	if err := json.Unmarshal([]byte(r.body), &got); err != nil || got.Ticket == "" {
		t.Fatal(r)
	}
	body := `{"receipt":"ticket"}`
	first := f.post(0, recordPath, got.Ticket, body)
	again := f.post(1, recordPath, got.Ticket, body)
	if first.status != 200 || again.body != first.body {
		t.Fatalf("%v, then %v", first, again)
	}
	agent := got.Ticket[strings.LastIndex(got.Ticket, ".")+1:]
	f.kill(agent)
	f.start(agent)
	f.ready()
	for n := range 2 {
		if r := f.post(n, recordPath, got.Ticket, body); r.status == 200 || r.run() != magno.RunUnknown {
			t.Errorf("after the restart: %v", r)
		}
	}
	if n := f.runsOf(body); n != 1 {
		t.Errorf("the receipt was recorded %d times", n)
	}
}
