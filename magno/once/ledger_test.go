package once

import (
	"context"
	"sync"
	"testing"

	"magnoliastall.example/magno"
	"magnoliastall.example/magno/ticket"
)

// countingRun returns a run function that counts its calls.
func countingRun(n *int, text string) func(context.Context) magno.RunReply {
	return func(context.Context) magno.RunReply {
		*n++
		return magno.RunReply{Result: &magno.Result{Text: text}}
	}
}

// Guards against counting a receipt twice after its answer got lost and the caller sends it
// again, to the same agent and then to another.
func TestCopiesGetOneAnswer(t *testing.T) {
	c := newCluster(1)
	first, second := c.newLedger("a"), c.newLedger("b")
	call := Call{Key: key(c.clock.Now(), 1), Scope: "delta", BodyHash: 5}
	var runs int
	for i := range 3 {
		reply := first.Do(context.Background(), call, countingRun(&runs, "x"))
		if reply.Result == nil || reply.Result.Text != "x" || reply.Replay != (i > 0) {
			t.Fatalf("copy %d: %+v", i, reply)
		}
	}
	reply := second.Do(context.Background(), call, countingRun(&runs, "y"))
	if reply.Refusal == nil || reply.Refusal.Run != magno.RunUnknown || reply.Holder != "a" {
		t.Fatalf("at another agent: %+v", reply)
	}
	if runs != 1 {
		t.Fatalf("%d runs", runs)
	}
}

// Guards against a second run when two copies arrive at the same time; both callers must
// get the answer of the one run.
func TestCopyJoinsTheRun(t *testing.T) {
	c := newCluster(1)
	l := c.newLedger("a")
	call := Call{Key: key(c.clock.Now(), 1), BodyHash: 5}
	started, finish := make(chan struct{}), make(chan struct{})
	var wg sync.WaitGroup
	replies := make([]magno.RunReply, 2)
	wg.Go(func() {
		replies[0] = l.Do(context.Background(), call, func(context.Context) magno.RunReply {
			close(started)
			<-finish
			return magno.RunReply{Result: &magno.Result{Text: "x"}}
		})
	})
	<-started
	wg.Go(func() {
		replies[1] = l.Do(context.Background(), call, func(context.Context) magno.RunReply { panic("second run") })
	})
	cancelled, cancel := context.WithCancel(context.Background())
	cancel()
	if gone := l.Do(cancelled, call, nil); gone.Refusal == nil || gone.Refusal.Run != magno.RunUnknown {
		t.Errorf("cancelled caller: %+v", gone)
	}
	close(finish)
	wg.Wait()
	for _, r := range replies {
		if r.Result == nil || r.Result.Text != "x" {
			t.Errorf("%+v", r)
		}
	}
}

// Guards against losing a receipt half-way: the caller loses its connection during the run
// and sends the request again.
func TestRunGoesOnWithoutItsCaller(t *testing.T) {
	c := newCluster(1)
	l := c.newLedger("a")
	call := Call{Key: key(c.clock.Now(), 1)}
	ctx, cancel := context.WithCancel(context.Background())
	finish := make(chan struct{})
	first := l.Do(ctx, call, func(run context.Context) magno.RunReply {
		cancel()
		<-finish
		if run.Err() != nil {
			return magno.RunReply{Refusal: magno.Refuse(magno.KindCancelled, "ended")}
		}
		return magno.RunReply{Result: &magno.Result{Text: "x"}}
	})
	if first.Refusal == nil || first.Refusal.Run != magno.RunUnknown {
		t.Fatalf("cancelled caller: %+v", first)
	}
	close(finish)
	if reply := l.Do(context.Background(), call, nil); reply.Result == nil || reply.Result.Text != "x" {
		t.Fatalf("copy: %+v", reply)
	}
}

// Guards against a wrong refusal of a key that can't be run. Its Run must be "no" only if
// this process holds the key and won't run it.
func TestRefusals(t *testing.T) {
	busy := func(context.Context) magno.RunReply {
		return magno.RunReply{Refusal: magno.Refuse(magno.KindBusy, "full")}
	}
	now := newCluster(1).clock.Now()
	fresh := Call{Key: key(now, 1), BodyHash: 1}
	tests := []struct {
		name  string
		call  Call
		setup func(*cluster, *Ledger)
		kind  magno.Kind
		run   magno.Run
	}{
		{"granted and then refused", fresh, nil, magno.KindBusy, magno.RunNo},
		{"no time in the key", Call{Key: "receipt-17"}, nil, magno.KindNoKey, magno.RunNo},
		{"issued ahead of the clock", Call{Key: key(now+skew+1, 1)}, nil, magno.KindLater, magno.RunUnknown},
		{"older than the retention", Call{Key: key(now-retention, 1)}, nil, magno.KindStaleKey, magno.RunUnknown},
		{"issued before the witnesses started", Call{Key: key(now-1, 1)}, nil, magno.KindUnknown, magno.RunUnknown},
		{"a ticket of another process", Call{Key: key(now, 1) + ".9.a"}, nil, magno.KindUnknown, magno.RunUnknown},
		{"another body under the key", fresh, func(_ *cluster, l *Ledger) {
			l.Do(context.Background(), Call{Key: fresh.Key, BodyHash: 2}, busy)
		}, magno.KindMismatch, magno.RunNo},
		{"another body, and nobody granted the key", fresh, func(c *cluster, l *Ledger) {
			clear(c.network.witnesses)
			l.Do(context.Background(), Call{Key: fresh.Key, BodyHash: 2}, busy)
		}, magno.KindMismatch, magno.RunUnknown},
		{"three witnesses out of reach", fresh, func(c *cluster, _ *Ledger) {
			c.roster.Members = c.roster.Members[:7]
			for _, m := range c.roster.Members[:3] {
				delete(c.network.witnesses, m)
			}
		}, magno.KindLater, magno.RunUnknown},
		{"no roster for the key's time", fresh, func(c *cluster, _ *Ledger) { c.roster.Until = now }, magno.KindLater, magno.RunUnknown},
		{"the ledger is full", fresh, func(_ *cluster, l *Ledger) {
			l.MaxKeys = 1
			l.Do(context.Background(), Call{Key: key(now, 2)}, busy)
		}, magno.KindLater, magno.RunUnknown},
		{"answers fill the memory", fresh, func(_ *cluster, l *Ledger) {
			var n int
			l.MaxBytes = 1
			l.Do(context.Background(), Call{Key: key(now, 2)}, countingRun(&n, "text"))
		}, magno.KindLater, magno.RunUnknown},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := newCluster(1)
			l := c.newLedger("a")
			if tt.setup != nil {
				tt.setup(c, l)
			}
			reply := l.Do(context.Background(), tt.call, busy)
			if reply.Refusal == nil || reply.Refusal.Kind != tt.kind || reply.Refusal.Run != tt.run {
				t.Fatalf("got %+v", reply.Refusal)
			}
		})
	}
}

// Guards against refusing new keys when a data centre is lost, which has two of a key's
// witnesses.
func TestFreshKeysRunWithoutADataCentre(t *testing.T) {
	c := newCluster(1)
	for name, place := range c.roster.DataCentres {
		if place == "dc0" {
			delete(c.network.witnesses, name)
		}
	}
	l := c.newLedger("a")
	var runs int
	for n := range 50 {
		if reply := l.Do(context.Background(), Call{Key: key(c.clock.Now(), n)}, countingRun(&runs, "x")); reply.Refusal != nil {
			t.Fatalf("key %d: %v", n, reply.Refusal)
		}
	}
}

// Guards against an agent that runs a key again, or answers "not run", after its previous
// process ran the key.
func TestReplacedAgentSaysUnknown(t *testing.T) {
	c := newCluster(1)
	call := Call{Key: key(c.clock.Now(), 1)}
	var runs int
	c.newLedger("a").Do(context.Background(), call, countingRun(&runs, "x"))
	reply := c.newLedger("a").Do(context.Background(), call, countingRun(&runs, "y"))
	if runs != 1 || reply.Refusal == nil || reply.Refusal.Run != magno.RunUnknown {
		t.Fatalf("%d runs, %+v", runs, reply)
	}
}

// Guards against a ticket that can't run, or runs twice, while the agent that it names
// reaches no witness.
func TestTicketRunsWithoutWitnesses(t *testing.T) {
	c := newCluster(1)
	clear(c.network.witnesses)
	l := c.newLedger("a")
	tk := ticket.Ticket{Key: key(c.clock.Now(), 1), Incarnation: l.Incarnation, Agent: l.Self}
	var runs int
	for range 2 {
		if reply := l.Do(context.Background(), Call{Key: tk.String()}, countingRun(&runs, "x")); reply.Result == nil {
			t.Fatalf("%+v", reply)
		}
	}
	if runs != 1 {
		t.Fatalf("%d runs", runs)
	}
}
