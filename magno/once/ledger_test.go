package once

import (
	"context"
	"sync"
	"testing"

	"magnoliastall.example/magno"
	"magnoliastall.example/magno/ticket"
)

// counted returns a run that counts its calls.
func counted(n *int, text string) func(context.Context) magno.RunReply {
	return func(context.Context) magno.RunReply {
		*n++
		return magno.RunReply{Result: &magno.Result{Text: text}}
	}
}

// A caller whose answer got lost sends its receipt again, to the same agent
// and then to another. Without the ledger the receipt counts twice.
func TestCopiesGetOneAnswer(t *testing.T) {
	b := newBench(1)
	first, second := b.ledger("a"), b.ledger("b")
	call := Call{Key: key(b.clock.Now(), 1), Scope: "delta", BodyHash: 5}
	var runs int
	for i := range 3 {
		reply := first.Do(context.Background(), call, counted(&runs, "x"))
		if reply.Result == nil || reply.Result.Text != "x" || reply.Replay != (i > 0) {
			t.Fatalf("copy %d: %+v", i, reply)
		}
	}
	reply := second.Do(context.Background(), call, counted(&runs, "y"))
	if reply.Refusal == nil || reply.Refusal.Run != magno.RunUnknown || reply.Holder != "a" {
		t.Fatalf("at another agent: %+v", reply)
	}
	if runs != 1 {
		t.Fatalf("%d runs", runs)
	}
}

// Two copies come at the same time. Both callers wait for the one run.
func TestCopyJoinsTheRun(t *testing.T) {
	b := newBench(1)
	l := b.ledger("a")
	call := Call{Key: key(b.clock.Now(), 1), BodyHash: 5}
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
	left, leave := context.WithCancel(context.Background())
	leave()
	if gone := l.Do(left, call, nil); gone.Refusal == nil || gone.Refusal.Run != magno.RunUnknown {
		t.Errorf("a caller that left: %+v", gone)
	}
	close(finish)
	wg.Wait()
	for _, r := range replies {
		if r.Result == nil || r.Result.Text != "x" {
			t.Errorf("%+v", r)
		}
	}
}

// A caller loses its connection while its receipt is read, and sends it again.
// If the run ended with the connection, the receipt would be lost half-way.
func TestRunGoesOnWithoutItsCaller(t *testing.T) {
	b := newBench(1)
	l := b.ledger("a")
	call := Call{Key: key(b.clock.Now(), 1)}
	ctx, leave := context.WithCancel(context.Background())
	finish := make(chan struct{})
	first := l.Do(ctx, call, func(run context.Context) magno.RunReply {
		leave()
		<-finish
		if run.Err() != nil {
			return magno.RunReply{Refusal: magno.Refuse(magno.KindCancelled, "ended")}
		}
		return magno.RunReply{Result: &magno.Result{Text: "x"}}
	})
	if first.Refusal == nil || first.Refusal.Run != magno.RunUnknown {
		t.Fatalf("the caller that left: %+v", first)
	}
	close(finish)
	if reply := l.Do(context.Background(), call, nil); reply.Result == nil || reply.Result.Text != "x" {
		t.Fatalf("the copy: %+v", reply)
	}
}

// What a caller is told when a key can't be run, and whether that excludes a
// run: "no" only where this process holds the key and won't run it.
func TestRefusals(t *testing.T) {
	busy := func(context.Context) magno.RunReply {
		return magno.RunReply{Refusal: magno.Refuse(magno.KindBusy, "full")}
	}
	now := newBench(1).clock.Now()
	fresh := Call{Key: key(now, 1), BodyHash: 1}
	tests := []struct {
		name string
		call Call
		with func(*bench, *Ledger)
		kind magno.Kind
		run  magno.Run
	}{
		{"granted and then refused", fresh, nil, magno.KindBusy, magno.RunNo},
		{"no time in the key", Call{Key: "receipt-17"}, nil, magno.KindNoKey, magno.RunNo},
		{"issued ahead of the clock", Call{Key: key(now+skew+1, 1)}, nil, magno.KindLater, magno.RunUnknown},
		{"older than the retention", Call{Key: key(now-retention, 1)}, nil, magno.KindStaleKey, magno.RunUnknown},
		{"issued before the witnesses started", Call{Key: key(now-1, 1)}, nil, magno.KindUnknown, magno.RunUnknown},
		{"a ticket of another process", Call{Key: key(now, 1) + ".9.a"}, nil, magno.KindUnknown, magno.RunUnknown},
		{"another body under the key", fresh, func(_ *bench, l *Ledger) {
			l.Do(context.Background(), Call{Key: fresh.Key, BodyHash: 2}, busy)
		}, magno.KindMismatch, magno.RunNo},
		{"another body, and nobody granted the key", fresh, func(b *bench, l *Ledger) {
			clear(b.wire.witnesses)
			l.Do(context.Background(), Call{Key: fresh.Key, BodyHash: 2}, busy)
		}, magno.KindMismatch, magno.RunUnknown},
		{"three witnesses out of reach", fresh, func(b *bench, _ *Ledger) {
			b.roster.Members = b.roster.Members[:7]
			for _, m := range b.roster.Members[:3] {
				delete(b.wire.witnesses, m)
			}
		}, magno.KindLater, magno.RunUnknown},
		{"no roster for the key's time", fresh, func(b *bench, _ *Ledger) { b.roster.Until = now }, magno.KindLater, magno.RunUnknown},
		{"the ledger is full", fresh, func(_ *bench, l *Ledger) {
			l.MaxKeys = 1
			l.Do(context.Background(), Call{Key: key(now, 2)}, busy)
		}, magno.KindLater, magno.RunUnknown},
		{"answers fill the memory", fresh, func(_ *bench, l *Ledger) {
			var n int
			l.MaxBytes = 1
			l.Do(context.Background(), Call{Key: key(now, 2)}, counted(&n, "text"))
		}, magno.KindLater, magno.RunUnknown},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := newBench(1)
			l := b.ledger("a")
			if tt.with != nil {
				tt.with(b, l)
			}
			reply := l.Do(context.Background(), tt.call, busy)
			if reply.Refusal == nil || reply.Refusal.Kind != tt.kind || reply.Refusal.Run != tt.run {
				t.Fatalf("got %+v", reply.Refusal)
			}
		})
	}
}

// A data centre is lost with its two witnesses of the key, or one agent ends.
// Nobody's fresh request may be refused for that.
func TestFreshKeysRunWithoutADataCentre(t *testing.T) {
	b := newBench(1)
	for name, place := range b.roster.Places {
		if place == "dc0" {
			delete(b.wire.witnesses, name)
		}
	}
	l := b.ledger("a")
	var runs int
	for n := range 50 {
		if reply := l.Do(context.Background(), Call{Key: key(b.clock.Now(), n)}, counted(&runs, "x")); reply.Refusal != nil {
			t.Fatalf("key %d: %v", n, reply.Refusal)
		}
	}
}

// An agent is replaced after it ran a key. Its successor must not run it, nor
// say that it wasn't run.
func TestReplacedAgentSaysUnknown(t *testing.T) {
	b := newBench(1)
	call := Call{Key: key(b.clock.Now(), 1)}
	var runs int
	b.ledger("a").Do(context.Background(), call, counted(&runs, "x"))
	reply := b.ledger("a").Do(context.Background(), call, counted(&runs, "y"))
	if runs != 1 || reply.Refusal == nil || reply.Refusal.Run != magno.RunUnknown {
		t.Fatalf("%d runs, %+v", runs, reply)
	}
}

// A caller fetched a ticket, and no witness can be reached from the agent that
// it names. The ticket still runs, once.
func TestTicketRunsWithoutWitnesses(t *testing.T) {
	b := newBench(1)
	clear(b.wire.witnesses)
	l := b.ledger("a")
	tk := ticket.Ticket{Key: key(b.clock.Now(), 1), Incarnation: l.Incarnation, Agent: l.Self}
	var runs int
	for range 2 {
		if reply := l.Do(context.Background(), Call{Key: tk.String()}, counted(&runs, "x")); reply.Result == nil {
			t.Fatalf("%+v", reply)
		}
	}
	if runs != 1 {
		t.Fatalf("%d runs", runs)
	}
}
