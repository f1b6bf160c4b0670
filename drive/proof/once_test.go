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
	recordPath     = "/v1/call/receipt-record"
	slowCallMillis = 400 // duration of a plain call, long enough to inject a fault while it runs
)

// busyAgent returns the agent that is running a call.
func (f *fleet) busyAgent() string {
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

// A caller sends the same request through two entries because the first response is slow.
// The call must run once, and all responses must be the same.
func TestSentTwiceRunsOnce(t *testing.T) {
	f := newFleet(t, layout.Layout{Engines: 1, PlainServices: 4, Adapters: 4, PlainCallMs: slowCallMillis})
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

// The agent is killed while the service runs its call, and the caller retries through
// another entry. Every reply must report an unknown result: "not run" would make the caller
// issue the call anew, and running it again would duplicate it.
func TestAgentKilledWhileItRuns(t *testing.T) {
	f := newFleet(t, layout.Layout{Engines: 1, PlainServices: 4, Adapters: 4, PlainCallMs: slowCallMillis})
	key, body := newKey(), `{"receipt":"killed"}`
	first := make(chan reply, 1)
	go func() { first <- f.post(0, recordPath, key, body) }()
	f.kill(f.busyAgent())
	for i, r := range []reply{<-first, f.post(1, recordPath, key, body), f.post(0, recordPath, key, body)} {
		if r.status == 200 || r.run() != magno.RunUnknown {
			t.Errorf("answer %d: %v", i, r)
		}
	}
	if n := f.runsOf(body); n > 1 {
		t.Errorf("the receipt was recorded %d times", n)
	}
}

// The agent is suspended before it forwards a call and resumes after the caller has timed
// out and retried. It then acts on outdated state; the call must run at most once.
func TestAgentPausedThenResumed(t *testing.T) {
	f := newFleet(t, layout.Layout{Engines: 1, PlainServices: 4, Adapters: 4, PlainCallMs: slowCallMillis})
	for i := range 4 {
		body := fmt.Sprintf(`{"receipt":"frozen %d"}`, i)
		key := newKey()
		frozen := fmt.Sprintf("s%d", i)
		f.pause(frozen)
		first := make(chan reply, 1)
		go func() { first <- f.post(0, recordPath, key, body) }()
		again := f.post(1, recordPath, key, body)
		f.resume(frozen)
		one := <-first
		for _, r := range []reply{one, again} {
			if r.status != 200 && r.run() == magno.RunNo && f.runsOf(body) > 0 {
				t.Errorf("reported as not run, but the call ran: %v", r)
			}
		}
		if n := f.runsOf(body); n > 1 {
			t.Errorf("ran %d times: %v, %v", n, one, again)
		}
	}
}

// One agent is gone while nothing runs. New calls must still run: none may be refused
// because one of the seven witnesses is missing.
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

// The service runs a call, but its response is lost. The caller must be told that the
// result is unknown on every attempt, and the call must not run again.
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

// A caller uses one key for two different requests. The second must neither get the
// response of the first nor run.
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

// A caller fetches a ticket before it sends its request, and the agent named in the ticket
// is restarted. No other agent may run the request: each attempt must report an unknown
// result, and the call must not run twice.
func TestTicketOfDeadAgent(t *testing.T) {
	f := newFleet(t, fastLayout(1))
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
		t.Fatalf("replies %v and %v differ or failed", first, again)
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
