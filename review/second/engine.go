package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Times of a model worker.
const (
	adapterTime = 250 * time.Millisecond
	firstTime   = 60 * time.Millisecond
	eventTime   = 20 * time.Millisecond
	eventCount  = 8
)

// run is a run of a request at a worker.
type run struct {
	id, worker, adapter string
	version             int
	arrived, begun      time.Time
}

// adapter is one that a model worker holds or loads.
type adapter struct {
	version int
	// readyAt is when its load ends, next the version that replaces it then if that is above zero.
	readyAt time.Time
	next    int
	using   int
}

// engine is a stand-in for a model worker.
type engine struct {
	w                  *world
	id, service, model string
	address, zone      string
	slots              int
	born               int64
	// newest returns the newest version of an adapter in the store of weights.
	newest func(adapter string) int

	mu       sync.Mutex
	adapters map[string]*adapter
	sequence int64
	fence    int64
	active   int
	runs     []run
}

// entryValue is what the worker writes into the store.
func (e *engine) entryValue(state string) map[string]any {
	e.mu.Lock()
	defer e.mu.Unlock()
	return map[string]any{
		"service": e.service, "address": e.address, "zone": e.zone, "version": "v1", "slots": 64, "state": state,
		"cold_remaining_ms": 0, "sequence": e.sequence, "born": e.born,
	}
}

// heartbeat writes the entry of the worker until the run ends.
func (e *engine) heartbeat() {
	for {
		e.w.store.put("servers/"+e.id, e.entryValue("ready"))
		if !e.w.pause(heartbeat) {
			return
		}
	}
}

// settle ends the loads that are over. The caller holds mu.
func (e *engine) settle() {
	for _, a := range e.adapters {
		if a.next > 0 && a.using == 0 && !time.Now().Before(a.readyAt) {
			a.version, a.next = a.next, 0
		}
	}
}

// loaded reports whether an adapter is there in some version. The caller holds mu.
func (a *adapter) loaded() bool { return a != nil && a.version > 0 }

// ServeHTTP serves reports, orders and requests.
func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case names["report"]:
		e.serveReport(w)
	case names["order"]:
		e.serveOrder(w, r)
	default:
		e.serveRequest(w, r)
	}
}

func (e *engine) serveReport(w http.ResponseWriter) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.settle()
	held, pending := []string{}, []string{}
	for name, a := range e.adapters {
		if a.loaded() {
			held = append(held, fmt.Sprintf("%s@%d", name, a.version))
		}
		if a.next > 0 {
			pending = append(pending, fmt.Sprintf("%s/%s@%d", e.model, name, a.next))
		}
	}
	writeJSON(w, map[string]any{
		"stage": "combined", "models": []any{map[string]any{"name": e.model, "version": 1, "adapters": held}}, "busy": false,
		"sequence": e.sequence, "queued": 0, "active": e.active, "kv_cache_used": 0, "kv_cache_total": 166836, "handles": 0,
		"pending": pending, "runs": []any{}, "born": e.born, "available": map[string]any{"in_memory": []string{e.model}, "on_disk": []string{e.model}},
	})
}

func (e *engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var o map[string]any
	if json.NewDecoder(r.Body).Decode(&o) != nil || o["holder"] == nil || o[names["fence"]] == nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if want := r.Header.Get(names["instance"]); want != "" && want != e.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.settle()
	fence := int64(o[names["fence"]].(float64))
	if fence < e.fence {
		w.WriteHeader(http.StatusPreconditionFailed)
		return
	}
	e.fence = fence
	name, _ := o["adapter"].(string)
	wanted, _ := o["version"].(float64)
	e.w.note("order at %s: %v %s version %v", e.id, o["operation"], name, wanted)
	switch a := e.adapters[name]; {
	case name == "":
		w.WriteHeader(http.StatusOK) // the base model is there
	case o["operation"] == "unloading":
		delete(e.adapters, name)
		e.sequence++
		w.WriteHeader(http.StatusOK)
	case a != nil && a.next > 0:
		w.WriteHeader(http.StatusConflict)
	default:
		version := int(wanted)
		if version == 0 {
			version = e.newest(name)
		}
		if a.loaded() && a.version == version {
			w.WriteHeader(http.StatusOK)
			return
		}
		if a == nil {
			a = &adapter{}
			e.adapters[name] = a
		}
		a.next, a.readyAt = version, time.Now().Add(adapterTime)
		e.sequence++
		w.WriteHeader(http.StatusAccepted)
	}
}

func (e *engine) serveRequest(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	id := r.Header.Get(names["attempt"])
	_, name, _ := strings.Cut(r.Header.Get(names["model"]), "/")
	w.Header().Set(names["attempt"], id)
	_, _ = io.Copy(io.Discard, r.Body)
	e.mu.Lock()
	e.settle()
	a := e.adapters[name]
	rejection := 0
	switch {
	case r.Header.Get(names["instance"]) != e.id:
		rejection = http.StatusMisdirectedRequest
	case a != nil && a.next > 0: // an order concerns it that isn't done
		rejection = http.StatusServiceUnavailable
	case !a.loaded():
		rejection = http.StatusMisdirectedRequest
	}
	if rejection != 0 {
		e.mu.Unlock()
		w.Header().Set(names["notrun"], "1")
		w.WriteHeader(rejection)
		return
	}
	a.using++
	e.active++
	version := a.version
	e.mu.Unlock()
	defer func() {
		e.mu.Lock()
		a.using--
		e.active--
		e.settle()
		e.mu.Unlock()
	}()
	time.Sleep(firstTime)
	e.mu.Lock()
	e.runs = append(e.runs, run{id: id, worker: e.id, adapter: name, version: version, arrived: arrived, begun: time.Now()})
	e.mu.Unlock()
	e.w.note("run of %s at %s on %s version %d", id, e.id, name, version)
	w.Header().Set(names["signature"], "s."+e.id)
	w.Header().Set("Content-Type", "text/event-stream")
	for n := 1; n <= eventCount; n++ {
		fmt.Fprintf(w, "id: %d\ndata: %s.%d.%d\n\n", n, id, n, version)
		w.(http.Flusher).Flush()
		select {
		case <-r.Context().Done():
			return
		case <-time.After(eventTime):
		}
	}
}

// allRuns returns the runs so far.
func (e *engine) allRuns() []run {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]run(nil), e.runs...)
}

// number formats a number without an exponent.
func number(n int) string { return strconv.Itoa(n) }
