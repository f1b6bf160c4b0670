package main

import (
	"errors"
	"fmt"
	"sync"
	"time"
)

func init() {
	cases["foreign"] = foreignCase
}

// foreignCase runs two model workers. With trouble, another writer writes an entry into the store for the address of each
// of them, which names a service that isn't configured, and deletes it again.
func foreignCase(w *world, trouble bool) (held bool, err error) {
	const (
		adapters, workers = 8, 2
		foreignTime       = 3 * time.Second
		settleTime        = 12 * time.Second // the recovery_s of the settings
	)
	var mu sync.Mutex
	begun := 0
	w.store.Put("op/config", plan(7, 20, nil, nil))
	engines := make([]*engine, workers)
	for i := range engines {
		e := newEngine(w, fmt.Sprintf("i-%d", i+1), "base", 20)
		e.onRun = func(id, name string, version int64) {
			mu.Lock()
			defer mu.Unlock()
			begun++
			w.logf("run %s at %s on %s@%d", id, e.id, name, version)
		}
		engines[i] = e
		if err := w.serve(w.worker(i+1), e); err != nil {
			return false, err
		}
		w.store.Put("servers/"+e.id, e.entry("reader-pool", w.worker(i+1), "ready"))
		if _, err = w.agent(i+1, "reader-pool"); err != nil {
			return false, err
		}
	}
	for i := 1; i <= 2; i++ {
		if _, err := w.entry(i); err != nil {
			return false, err
		}
	}
	if !w.waitReady(2) {
		return false, errors.New("the entries aren't ready")
	}
	// Workers write their entries again each heartbeat, as the platform's page says.
	stopBeats := w.beat(engines)
	defer stopBeats()
	served := w.sendFor(8*time.Second, adapters)
	w.logf("before: %d of %d served", served.ok, served.sent)
	if served.ok*2 < served.sent || served.sent < 100 {
		return false, fmt.Errorf("only %d of %d requests were served before", served.ok, served.sent)
	}
	if trouble {
		for i, e := range engines {
			key := fmt.Sprintf("servers/x-%d", i+1)
			w.store.Put(key, e.entry("printing", w.worker(i+1), "ready"))
			w.logf("another writer writes %s with the address %s and the service printing", key, w.worker(i+1))
		}
		time.Sleep(foreignTime)
		for i := range engines {
			w.store.Delete(fmt.Sprintf("servers/x-%d", i+1))
		}
		w.logf("another writer deletes its entries")
	}
	time.Sleep(settleTime)
	after := w.sendFor(30*time.Second, adapters)
	w.logf("after: %d of %d served", after.ok, after.sent)
	fmt.Printf("served %d of %d before, %d of %d after\n", served.ok, served.sent, after.ok, after.sent)
	return after.ok*4 >= after.sent, nil
}

// beat writes the workers' entries again and again, until the returned function is called.
func (w *world) beat(engines []*engine) (stop func()) {
	ended := make(chan struct{})
	go func() {
		for {
			select {
			case <-ended:
				return
			case <-time.After(1200 * time.Millisecond):
			}
			for i, e := range engines {
				e.mu.Lock()
				e.sequence++
				e.mu.Unlock()
				w.store.Put("servers/"+e.id, e.entry("reader-pool", w.worker(i+1), "ready"))
			}
		}
	}()
	return func() { close(ended) }
}

// tally counts requests and those that were served.
type tally struct{ sent, ok int }

// sendFor sends requests from a few clients for a time.
func (w *world) sendFor(d time.Duration, adapters int) tally {
	var t tally
	var mu sync.Mutex
	var senders sync.WaitGroup
	end := time.Now().Add(d)
	for n := range 2 * adapters {
		senders.Add(1)
		go func() {
			defer senders.Done()
			for k := 0; time.Now().Before(end); k++ {
				time.Sleep(300 * time.Millisecond)
				status := w.send(1+n%2, fmt.Sprintf("%04x%04x%08x", w.now().Milliseconds()%65536, n+1, k+1), adapterName(n%adapters))
				mu.Lock()
				t.sent++
				if status == 200 {
					t.ok++
				}
				mu.Unlock()
			}
		}()
	}
	senders.Wait()
	return t
}
