package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// The case "readers": two machines lose their path to the store for cutTime, those that read the list at
// that time, and a worker reports that it leaves.
const (
	deskService = "claims-desk"
	entryNum    = 4
	workerNum   = 4
	cutTime     = 4 * time.Second
	settleTime  = 6 * time.Second
	deskPause   = 8 * time.Millisecond
	deskLimit   = 1500 * time.Millisecond
	deskWork    = 15 * time.Millisecond
	// readerTime is within which a machine that reads the list calls the store.
	readerTime = 1500 * time.Millisecond
)

// deskPlan is the configuration of the case.
func deskPlan(version, timeout int) map[string]any {
	return map[string]any{
		"version": version,
		"routes": []any{map[string]any{
			"name": "r-i9n73hh", "host": host, names["prefix"]: "/puxa403/", "route_kind": "non_idempotent", "timeout_ms": timeout, "target_latency_ms": 100,
			"priority": 2, "service": deskService, "attempts": 1, "sticky": false, "resumable": false,
		}},
		"services": []any{map[string]any{"name": deskService, "health_path": "/health", "connection_limit": 96, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}
}

// startDesk starts the workers of the plain service.
func startDesk(w *world, work time.Duration, body []byte) ([]*plain, error) {
	var list []*plain
	for i := range workerNum {
		p := &plain{
			w: w, id: fmt.Sprintf("i-02d9e6b%d", i), service: deskService, address: w.address(3, i+1, portWorker), zone: fmt.Sprintf("hall-%c", 'a'+i),
			born: time.Now().UnixMilli(), state: "ready", work: work, body: body,
		}
		if err := w.serve(p.address, p); err != nil {
			return nil, err
		}
		go p.heartbeat()
		list = append(list, p)
	}
	return list, nil
}

// runReaders counts the requests that machines whose path to the store is sound send to the worker later than
// drainTime after the store acknowledged that it leaves.
func runReaders(w *world, trouble bool) (int, error) {
	w.store.put("op/config", deskPlan(3, 800))
	var proxies []*proxy
	for i := range entryNum {
		p, err := newProxy(w, w.address(0, i+11, portStore), w.address(0, 1, portStore))
		if err != nil {
			return 0, err
		}
		proxies = append(proxies, p)
	}
	workers, err := startDesk(w, deskWork, nil)
	if err != nil {
		return 0, err
	}
	if err := w.startEntries(entryNum, func(i int) string { return w.address(0, i+11, portStore) }); err != nil {
		return 0, err
	}
	if err := w.awaitReady(entryNum); err != nil {
		return 0, err
	}
	c := newClient(w)
	var mu sync.Mutex
	var all sync.WaitGroup
	sentBy, served := map[string]int{}, 0
	all.Add(1)
	go func() {
		defer all.Done()
		for n, end := 0, time.Now().Add(settleTime+cutTime+time.Second); time.Now().Before(end) && w.pause(deskPause); n++ {
			all.Add(1)
			go func() {
				defer all.Done()
				a := c.send(w.entry(n%entryNum), http.MethodPost, "/puxa403/2f", "", "", "record", deskLimit)
				mu.Lock()
				defer mu.Unlock()
				sentBy[a.id] = n % entryNum
				if a.status == http.StatusOK && a.whole {
					served++
				}
			}()
		}
	}()
	w.pause(settleTime)
	cut := map[int]bool{}
	for i, p := range proxies {
		if p.usedWithin(readerTime) {
			cut[i] = true
		}
	}
	if len(cut) != 2 {
		return 0, fmt.Errorf("%w: %d machines read the list", errCannotRun, len(cut))
	}
	for i := range cut {
		w.say("%s reads the list", w.procs[i].name)
		if trouble {
			w.say("its path to the store is cut for %s", cutTime)
			proxies[i].cut()
		}
	}
	w.pause(50 * time.Millisecond)
	leaving := workers[uncut(cut)]
	acked := leaving.drain()
	w.noteAt(acked, "ack of %s that %s leaves", "draining", leaving.id)
	w.pause(cutTime - 50*time.Millisecond)
	if trouble {
		for i := range cut {
			proxies[i].heal()
		}
		w.say("the paths are back")
	}
	all.Wait()
	broken, last := 0, time.Duration(0)
	for _, a := range leaving.allArrivals() {
		after := a.at.Sub(acked)
		if !a.ran || after <= drainTime || cut[sentBy[a.id]] {
			continue
		}
		broken++
		last = max(last, after)
		w.noteAt(a.at, "DRAIN: %s, taken by %s, reached %s %s after the ack", a.id, w.procs[sentBy[a.id]].name, leaving.id, after)
	}
	w.say("%d requests, %d served; %d reached %s over %s after the ack by way of machines that weren't cut off, the last %s after it", len(sentBy), served, broken, leaving.id, drainTime, last)
	if served*2 < len(sentBy) || len(sentBy) == 0 {
		return 0, fmt.Errorf("%w: %d of %d requests were served", errCannotRun, served, len(sentBy))
	}
	return broken, nil
}

// uncut returns the index of a machine that isn't cut off. Its data centre has a worker.
func uncut(cut map[int]bool) int {
	for i := range entryNum {
		if !cut[i] {
			return i
		}
	}
	return 0
}
