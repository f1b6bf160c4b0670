package main

import (
	"errors"
	"fmt"
	"time"
)

func init() {
	cases["label"] = labelCase
}

// labelCase adds a service of model workers by a new configuration. With trouble, its name has quotation marks.
func labelCase(w *world, trouble bool) (held bool, err error) {
	const adapters = 8
	name := "reader-pool north"
	if trouble {
		name = `reader-pool "north"`
	}
	w.store.Put("op/config", plan(7, 20, nil, nil))
	engines := []*engine{newEngine(w, "i-1", "base", 20), newEngine(w, "i-2", "base", 20)}
	services := []string{"reader-pool", name}
	for i, e := range engines {
		e.onRun = func(id, adapter string, version int64) { w.logf("run %s at %s on %s@%d", id, e.id, adapter, version) }
		if err := w.serve(w.worker(i+1), e); err != nil {
			return false, err
		}
		w.store.Put("servers/"+e.id, e.entry(services[i], w.worker(i+1), "ready"))
		if _, err = w.agent(i+1, services[i]); err != nil {
			return false, err
		}
	}
	var entries []*proc
	for i := 1; i <= 2; i++ {
		p, err := w.entry(i)
		if err != nil {
			return false, err
		}
		entries = append(entries, p)
	}
	if !w.waitReady(2) {
		return false, errors.New("the entries aren't ready")
	}
	before := w.sendFor(5*time.Second, adapters)
	if before.ok*2 < before.sent {
		return false, fmt.Errorf("only %d of %d requests were served before", before.ok, before.sent)
	}
	next := plan(12, 20, nil, nil)
	first := next["services"].([]any)[0].(map[string]any)
	second := map[string]any{}
	for key, value := range first {
		second[key] = value
	}
	second["name"] = name
	next["services"] = append(next["services"].([]any), second)
	next["routes"] = append(next["routes"].([]any), route("north-items", "/north/", "streaming", name, 2))
	w.store.Put("op/config", next)
	w.logf("ack of the configuration 12 with the service %s", name)
	after := w.sendFor(20*time.Second, adapters)
	restless := 0
	for _, p := range entries {
		w.logf("process %s ended %d times by itself", p.name, p.ends())
		if p.ends() >= 3 {
			restless++
		}
	}
	fmt.Printf("served %d of %d before, %d of %d after; %d of %d entries ended by themselves three times or more\n",
		before.ok, before.sent, after.ok, after.sent, restless, len(entries))
	return restless < 2, nil
}
