package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"
)

func init() {
	cases["stuck"] = stuckCase
}

// stuckTime is how long the agent stands still, as long as a machine that freezes on the site.
const stuckTime = 3500 * time.Millisecond

// stuckCase asks for many rare adapters. With trouble, the agent beside the worker stands still once.
func stuckCase(w *world, trouble bool) (held bool, err error) {
	const (
		entries, slots, adapters = 8, 19, 10000
		clients, pause           = 40, 2300 * time.Millisecond // 16 requests a second at most
		recovery                 = 15 * time.Second            // recovery_s of the site
	)
	p := plan(7, slots, nil, nil)
	first := p["routes"].([]any)[0].(map[string]any)
	first["target_latency_ms"], first["target_gap_ms"] = 500, 300
	w.store.Put("op/config", p)
	e := newEngine(w, "i-1", "base", slots)
	e.loadTime = 288 * time.Millisecond
	e.onRun = func(id, name string, version int64) { w.logf("run %s at %s on %s@%d", id, e.id, name, version) }
	if err := w.serve(w.worker(1), e); err != nil {
		return false, err
	}
	w.store.Put("servers/"+e.id, e.entry("reader-pool", w.worker(1), "ready"))
	agent, err := w.agent(1, "reader-pool")
	if err != nil {
		return false, err
	}
	for i := 1; i <= entries; i++ {
		if _, err := w.entry(i); err != nil {
			return false, err
		}
	}
	if !w.waitReady(entries) {
		return false, errors.New("the entries aren't ready")
	}
	defer w.beat([]*engine{e})()
	play := func(d time.Duration) (t tally) {
		var mu sync.Mutex
		var senders sync.WaitGroup
		end := time.Now().Add(d)
		for n := range clients {
			senders.Add(1)
			go func() {
				defer senders.Done()
				time.Sleep(pause * time.Duration(n) / clients)
				for time.Now().Before(end) {
					id := fmt.Sprintf("%016x", rand.Uint64())
					status := w.send(1+n%entries, id, adapterName(1+rand.IntN(adapters)))
					mu.Lock()
					t.sent++
					if status == 200 {
						t.ok++
					}
					mu.Unlock()
					time.Sleep(pause)
				}
			}()
		}
		senders.Wait()
		return t
	}
	play(10 * time.Second)
	before := play(10 * time.Second)
	w.logf("before: %d of %d served", before.ok, before.sent)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		play(12 * time.Second)
	}()
	time.Sleep(5 * time.Second)
	if trouble {
		agent.signal(syscall.SIGSTOP)
		time.Sleep(stuckTime)
		agent.signal(syscall.SIGCONT)
	}
	back := time.Now()
	<-ended
	w.logf("requests go on until the end of recovery_s")
	play(recovery - time.Since(back))
	after := play(30 * time.Second)
	w.logf("later than recovery_s after the machine was back: %d of %d served", after.ok, after.sent)
	fmt.Printf("served %d of %d before, %d of %d after\n", before.ok, before.sent, after.ok, after.sent)
	if before.ok*4 < before.sent {
		return false, fmt.Errorf("only %d of %d requests were served before", before.ok, before.sent)
	}
	return after.ok*4 >= after.sent, nil
}
