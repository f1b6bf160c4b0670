package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

func init() {
	cases["orders"] = ordersCase
}

// ordersCase asks for more adapters than a worker has places for. With trouble, the worker takes some orders late.
func ordersCase(w *world, trouble bool) (held bool, err error) {
	const slots, adapters = 6, 14
	w.store.Put("op/config", plan(7, slots, nil, nil))
	e := newEngine(w, "i-1", "base", slots)
	begun := 0
	var mu sync.Mutex
	e.onRun = func(id, name string, version int64) {
		mu.Lock()
		defer mu.Unlock()
		begun++
		w.logf("run %s at %s on %s@%d", id, e.id, name, version)
	}
	loads := 0
	random := rand.New(rand.NewPCG(1, 1))
	e.delayOrder = func(load bool, _ string) time.Duration {
		mu.Lock()
		defer mu.Unlock()
		if !load || !trouble {
			return 0
		}
		loads++
		if loads > 12 && random.IntN(6) == 0 {
			return 1500 * time.Millisecond
		}
		return 0
	}
	if err := w.serve(w.worker(1), e); err != nil {
		return false, err
	}
	w.store.Put("servers/"+e.id, e.entry("reader-pool", w.worker(1), "ready"))
	if _, err := w.agent(1, "reader-pool"); err != nil {
		return false, err
	}
	for i := 1; i <= 2; i++ {
		if _, err := w.entry(i); err != nil {
			return false, err
		}
	}
	if !w.waitReady(2) {
		return false, errors.New("the entries aren't ready")
	}
	stop := make(chan struct{})
	var senders sync.WaitGroup
	for n := range adapters {
		senders.Add(1)
		go func() {
			defer senders.Done()
			for k := 0; ; k++ {
				select {
				case <-stop:
					return
				case <-time.After(time.Duration(100+rand.IntN(900)) * time.Millisecond):
				}
				w.send(1+n%2, fmt.Sprintf("%08x%08x", n+1, k+1), adapterName(n))
			}
		}()
	}
	time.Sleep(40 * time.Second)
	close(stop)
	senders.Wait()
	e.mu.Lock()
	defer e.mu.Unlock()
	w.logf("%d runs, %d violations", begun, len(e.violations))
	fmt.Printf("%d runs, %d times over the places\n", begun, len(e.violations))
	if begun < 100 {
		return false, errors.New("too few requests ran")
	}
	return len(e.violations) == 0, nil
}
