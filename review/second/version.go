package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// The case "version": the agent beside a model worker stands still for freezeTime, and new versions of
// adapters are declared meanwhile.
const (
	enginePool  = "reader-pool"
	modelName   = "daka510000"
	adapterNum  = 24
	engineNum   = 2
	freezeTime  = 3500 * time.Millisecond
	sendPause   = 10 * time.Millisecond
	warmTime    = 7 * time.Second
	afterTime   = 5 * time.Second
	streamLimit = 4 * time.Second
)

// enginePlan is the configuration of the case.
func enginePlan(version int) map[string]any {
	return map[string]any{
		"version": version,
		"routes": []any{map[string]any{
			"name": "r-2b9wu3f", "host": host, names["prefix"]: "/pufi791/", "route_kind": "streaming", "timeout_ms": 12000, "target_latency_ms": 800,
			"priority": 0, "service": enginePool, "attempts": 1, "sticky": true, "resumable": false, "target_gap_ms": 250,
		}},
		"services": []any{map[string]any{
			"name": enginePool, "health_path": "/health", "connection_limit": 360, "protocol": "h1", "tls": false,
			"engine": map[string]any{
				"slots": 64, "kv_cache_tokens": 166836, "kv_bytes": 163840, "link_bandwidth_mbps": 370000.0, "stride": 6, "weights_mb": 76200.0,
				names["slots"]: 30, "loads_per_s": 2.4,
				"models": []any{map[string]any{
					"name": modelName, "weights_mb": 72700.0, "load_time_s": 3.2, "adapters": 3000, "adapter_size_mb": 66.0, "warm_s": 0.6, "disk_load_s": 1.3,
				}},
			},
		}},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}
}

// runVersion counts the requests that run on an older version of their adapter and reach the worker later than
// versionTime after the newer one was acknowledged.
func runVersion(w *world, trouble bool) (int, error) {
	var mu sync.Mutex
	newest, ackedAt := map[string]int{}, map[string]time.Time{}
	newestOf := func(name string) int {
		mu.Lock()
		defer mu.Unlock()
		return max(newest[name], 1)
	}
	w.store.put("op/config", enginePlan(3))
	if err := w.startEntries(2, func(int) string { return w.address(0, 1, portStore) }); err != nil {
		return 0, err
	}
	var engines []*engine
	for i := range engineNum {
		e := &engine{
			w: w, id: fmt.Sprintf("i-7f3a91c%d", i), service: enginePool, model: modelName, address: w.address(2, i+1, portWorker),
			zone: fmt.Sprintf("hall-%c", 'a'+i%2), born: time.Now().UnixMilli(), newest: newestOf, adapters: map[string]*adapter{},
		}
		if err := w.serve(e.address, e); err != nil {
			return 0, err
		}
		go e.heartbeat()
		if err := w.startAgent(fmt.Sprintf("side-hall-%c-%d", 'a'+i%2, i+1), w.ip(2, i+1), e.zone, enginePool); err != nil {
			return 0, err
		}
		engines = append(engines, e)
	}
	if err := w.awaitReady(2); err != nil {
		return 0, err
	}
	c := newClient(w)
	served := sendStreams(w, c, warmTime+freezeTime+afterTime)
	w.pause(warmTime)
	agent := w.procs[2]
	if trouble {
		w.say("SIGSTOP of %s for %s", agent.name, freezeTime)
		agent.signal(syscall.SIGSTOP)
	}
	w.pause(200 * time.Millisecond)
	for n := range adapterNum {
		name := fmt.Sprintf("a%d", n+1)
		mu.Lock()
		newest[name] = 2
		ackedAt[name] = w.store.put("op/version/"+modelName+"."+name, map[string]any{"model": modelName, "adapter": name, "version": 2})
		mu.Unlock()
		w.noteAt(ackedAt[name], "ack of version 2 of %s", name)
	}
	w.pause(freezeTime - 200*time.Millisecond)
	if trouble {
		w.say("SIGCONT of %s", agent.name)
		agent.signal(syscall.SIGCONT)
	}
	total, whole := served()
	broken, runs, late := 0, 0, time.Duration(0)
	for _, e := range engines {
		for _, r := range e.allRuns() {
			runs++
			after := r.arrived.Sub(ackedAt[r.adapter]) // it begins a little later
			if r.version >= newest[r.adapter] || after <= versionTime {
				continue
			}
			broken++
			late = max(late, after)
			w.noteAt(r.begun, "VERSION: %s arrived at %s, on version %d of %s, %s after the ack of version %d", r.id, r.worker, r.version, r.adapter, after, newest[r.adapter])
		}
	}
	w.say("%d requests, %d whole answers, %d runs; %d arrived over %s after the ack and ran on an older version, the last %s after it", total, whole, runs, broken, versionTime, late)
	if whole*2 < total || total == 0 {
		return 0, fmt.Errorf("%w: %d of %d requests were served", errCannotRun, whole, total)
	}
	return broken, nil
}

// sendStreams sends requests for all adapters for a time. The returned function waits for their answers and
// returns how many were sent, and how many answers were whole.
func sendStreams(w *world, c *client, length time.Duration) func() (total, whole int) {
	var mu sync.Mutex
	var all sync.WaitGroup
	total, whole := 0, 0
	all.Add(1)
	go func() {
		defer all.Done()
		for n, end := 0, time.Now().Add(length); time.Now().Before(end) && w.pause(sendPause); n++ {
			all.Add(1)
			go func() {
				defer all.Done()
				model := fmt.Sprintf("%s/a%d", modelName, rand.IntN(adapterNum)+1)
				a := c.send(w.entry(n%2), http.MethodPost, "/pufi791/2f", model, "400,48", "prompt", streamLimit)
				mu.Lock()
				defer mu.Unlock()
				total++
				if a.status == http.StatusOK && a.whole {
					whole++
				}
			}()
		}
	}()
	return func() (int, int) {
		all.Wait()
		return total, whole
	}
}
