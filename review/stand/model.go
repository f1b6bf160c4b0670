package main

import (
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"
)

func init() {
	cases["model"] = modelCase
}

// modelCase runs two model workers. With trouble, a new configuration lists another base model in place of the one that
// they hold, and clients ask for its adapters from then on.
func modelCase(w *world, trouble bool) (held bool, err error) {
	const adapters, workers, slots = 8, 2, 20
	const weights = 72700 + 66*slots // that of plan
	w.store.Put("op/config", patient(plan(7, slots, nil, nil)))
	engines := make([]*engine, workers)
	for i := range engines {
		e := newEngine(w, fmt.Sprintf("i-%d", i+1), "base", slots)
		e.weights, e.sizes = weights, map[string]float64{"base": 72700, "next": 72700}
		e.onRun = func(id, name string, version int64) { w.logf("run %s at %s on %s@%d", id, e.id, name, version) }
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
	defer w.beat(engines)()
	var model atomic.Value
	model.Store("base")
	var mu sync.Mutex
	served, cut := map[string]int{}, 0
	stop := make(chan struct{})
	var senders sync.WaitGroup
	for n := range 2 * adapters {
		senders.Add(1)
		go func() {
			defer senders.Done()
			for k := 0; ; k++ {
				select {
				case <-stop:
					return
				case <-time.After(250 * time.Millisecond):
				}
				name, path := model.Load().(string), "/lines/x"
				if n%4 == 0 {
					path = "/lines/long"
				}
				status := w.sendOn(path, 1+n%2, fmt.Sprintf("%08x%08x", n+1, k+1), name+"/"+adapterName(n%adapters))
				mu.Lock()
				switch status {
				case 200:
					served[name]++
				case 0:
					cut++
				}
				mu.Unlock()
			}
		}()
	}
	time.Sleep(8 * time.Second)
	if trouble {
		w.store.Put("op/config", patient(rename(plan(12, slots, nil, nil), "next")))
		w.logf("ack of the configuration 12, with the model next in place of base")
		time.Sleep(2 * time.Second) // config_apply_ms
		model.Store("next")
		w.logf("clients ask for the model next")
	}
	time.Sleep(30 * time.Second)
	close(stop)
	senders.Wait()
	broken := 0
	for _, e := range engines {
		e.mu.Lock()
		broken += len(e.violations)
		e.mu.Unlock()
	}
	mu.Lock()
	defer mu.Unlock()
	w.logf("%d orders over the memory; served of base %d, of next %d; %d answers were cut", broken, served["base"], served["next"], cut)
	fmt.Printf("%d orders over the memory; served of base %d, of next %d; %d answers were cut\n", broken, served["base"], served["next"], cut)
	if served["base"] < 100 {
		return false, errors.New("too few requests were served before")
	}
	return broken == 0, nil
}

// patient gives the first route of a configuration the latency target of a less urgent kind of request.
func patient(plan map[string]any) map[string]any {
	plan["routes"].([]any)[0].(map[string]any)["target_latency_ms"] = 2000
	return plan
}
