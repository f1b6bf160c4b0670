package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

const host = "shop.example"

// route returns a route of the configuration.
func route(name, path, kind, service string, attempts int) map[string]any {
	return map[string]any{
		"name": name, "host": host, names["prefix"]: path, "route_kind": kind, "timeout_ms": 12000, "target_latency_ms": 800,
		"priority": 0, "service": service, "attempts": attempts, "resumable": false, "target_gap_ms": 250, "sticky": true,
	}
}

// plan returns a configuration with a service of model workers.
func plan(version int64, slots int, services []any, routes []any) map[string]any {
	engine := map[string]any{"name": "reader-pool", "connection_limit": 360, "engine": map[string]any{
		"slots": 64, "kv_cache_tokens": 166836, "weights_mb": 72700 + 66*slots, names["slots"]: slots,
		"models": []any{map[string]any{"name": "base", "weights_mb": 72700, "load_time_s": 3.2, "disk_load_s": 1.3, "adapters": 3000, "adapter_size_mb": 66}},
	}}
	return map[string]any{
		"version": version, "services": append([]any{engine}, services...),
		"routes": append([]any{route("line-items", "/lines/", "streaming", "reader-pool", 2)}, routes...),
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 1 << 20, "header_timeout_ms": 5000, "idle_timeout_ms": 15000},
	}
}

// rename gives the model of a configuration another name.
func rename(plan map[string]any, name string) map[string]any {
	engine := plan["services"].([]any)[0].(map[string]any)["engine"].(map[string]any)
	engine["models"].([]any)[0].(map[string]any)["name"] = name
	return plan
}

// client sends requests over kept connections.
var client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 100}}

// send sends a stream request for an adapter, and returns the status, 0 without a whole answer.
func (w *world) send(entry int, id, adapter string) int { return w.sendTo(entry, id, "base/"+adapter) }

// sendTo is send with the model of the adapter.
func (w *world) sendTo(entry int, id, adapter string) int {
	return w.sendOn("/lines/x", entry, id, adapter)
}

// sendOn is sendTo on the route with a path.
func (w *world) sendOn(path string, entry int, id, adapter string) int {
	req, err := http.NewRequest(http.MethodPost, "http://"+w.callers(entry)+path, strings.NewReader("receipt "+id))
	if err != nil {
		return 0
	}
	req.Host = host
	req.Header.Set(names["attempt"], id)
	req.Header.Set(names["model"], adapter)
	req.Header.Set(names["tokens"], "400,50")
	req.Header.Set(names["deadline"], "12000")
	w.logf("sent %s to entry %d: %s for %s", id, entry, path, adapter)
	begun := time.Now()
	res, err := client.Do(req)
	if err != nil {
		w.logf("answer %s none: %v", id, err)
		return 0
	}
	defer func() { _ = res.Body.Close() }()
	text, err := io.ReadAll(res.Body)
	w.logf("answer %s status %d, %d bytes, %v after %v", id, res.StatusCode, len(text), err, time.Since(begun).Round(time.Millisecond))
	if err != nil {
		return 0
	}
	return res.StatusCode
}

func adapterName(i int) string { return fmt.Sprintf("a%d", i) }
