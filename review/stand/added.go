package main

import (
	"errors"
	"fmt"
	"sync"
	"time"
)

func init() {
	cases["added"] = addedCase
}

// addedCase runs two model workers that have memory for two base models and hold one. A new configuration adds a route.
// With trouble, that configuration lists a second model, and the requests on the new route name it.
func addedCase(w *world, trouble bool) (held bool, err error) {
	const adapters, workers, slots = 6, 2, 20
	const weights = 2*72700 + 66*slots
	roomy := func(p map[string]any) map[string]any {
		p["services"].([]any)[0].(map[string]any)["engine"].(map[string]any)["weights_mb"] = weights
		return p
	}
	w.store.Put("op/config", roomy(plan(7, slots, nil, nil)))
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
	time.Sleep(5 * time.Second)
	next := roomy(plan(12, slots, nil, []any{route("vendor-lines", "/vendor/", "streaming", "reader-pool", 2)}))
	model := "base"
	if trouble {
		model = "next"
		engine := next["services"].([]any)[0].(map[string]any)["engine"].(map[string]any)
		second := map[string]any{}
		for key, value := range engine["models"].([]any)[0].(map[string]any) {
			second[key] = value
		}
		second["name"] = model
		engine["models"] = append(engine["models"].([]any), second)
	}
	w.store.Put("op/config", next)
	w.logf("ack of the configuration 12 with the route vendor-lines; its requests name the model %s", model)
	time.Sleep(5 * time.Second) // config_apply_ms and stability_window_ms
	var mu sync.Mutex
	var first, added tally
	var senders sync.WaitGroup
	end := time.Now().Add(45 * time.Second)
	for n := range 4 * adapters {
		senders.Add(1)
		go func() {
			defer senders.Done()
			for k := 0; time.Now().Before(end); k++ {
				time.Sleep(500 * time.Millisecond)
				id := fmt.Sprintf("%08x%08x", n+1, k+1)
				path, name, t := "/lines/x", "base/", &first
				if n%4 >= 2 {
					path, name, t = "/vendor/x", model+"/", &added
				}
				status := w.sendOn(path, 1+n%2, id, name+adapterName(n%adapters))
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
	w.logf("first route: %d of %d served, added route: %d of %d", first.ok, first.sent, added.ok, added.sent)
	fmt.Printf("first route: %d of %d served, added route: %d of %d\n", first.ok, first.sent, added.ok, added.sent)
	if first.ok*2 < first.sent || added.sent < 20 {
		return false, errors.New("too few requests were served on the first route")
	}
	return added.ok*first.sent*4 >= first.ok*added.sent, nil
}
