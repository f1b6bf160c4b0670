package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// engine is a stand-in of a model worker.
type engine struct {
	world     *world
	id, model string
	slots     int
	events    int
	eventTime time.Duration
	loadTime  time.Duration
	// onRun is called as a request begins, with the version of its adapter.
	onRun func(id, adapter string, version int64)
	// delayOrder returns how late an order is taken.
	delayOrder func(load bool, adapter string) time.Duration

	// weights is the memory for models and adapters in MB, sizes that of each model. Zero means one model without bound.
	weights float64
	sizes   map[string]float64
	// crashTime is how long a crashed worker is away.
	crashTime time.Duration

	mu         sync.Mutex
	born       int64
	models     map[string]time.Time // by when they are loaded
	recent     []string             // the adapters that were loaded, the newest last
	crashedAt  time.Time
	adapters   map[string]*adapter
	newest     map[string]int64
	sequence   int64
	fence      int64
	active     int
	violations []string
}

// adapter is one that is loaded or being loaded. Next is the version that replaces it once its runs have ended.
type adapter struct {
	version, next int64
	ready         time.Time
	runs          int
}

func newEngine(w *world, id, model string, slots int) *engine {
	return &engine{
		world: w, id: id, model: model, slots: slots, events: 6, eventTime: 20 * time.Millisecond, loadTime: 250 * time.Millisecond,
		born: time.Now().UnixMilli(), adapters: map[string]*adapter{}, newest: map[string]int64{},
		models: map[string]time.Time{model: {}}, crashTime: 3 * time.Second,
	}
}

// entry is what the worker writes into the store.
func (e *engine) entry(service, address, state string) map[string]any {
	e.mu.Lock()
	defer e.mu.Unlock()
	return map[string]any{
		"service": service, "address": address, "zone": "zone-a", "version": "v1", "slots": 64, "state": state,
		"cold_remaining_ms": 0, "sequence": e.sequence, "born": e.born,
	}
}

// declare declares a new version of an adapter, which loads fetch from now on.
func (e *engine) declare(name string, version int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.newest[name] = version
}

func (e *engine) ServeHTTP(res http.ResponseWriter, r *http.Request) {
	if e.away() {
		panic(http.ErrAbortHandler)
	}
	switch r.URL.Path {
	case names["report"]:
		e.report(res)
	case names["order"]:
		e.order(res, r)
	case "/health":
		res.Header().Set(names["instanceid"], e.id)
	default:
		e.request(res, r)
	}
}

// away reports whether the worker is down after a crash. It is back empty, as a new incarnation under its id.
func (e *engine) away() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case e.crashedAt.IsZero():
		return false
	case time.Since(e.crashedAt) < e.crashTime:
		return true
	}
	e.crashedAt, e.born = time.Time{}, time.Now().UnixMilli()
	e.models, e.adapters, e.sequence, e.fence, e.active = map[string]time.Time{}, map[string]*adapter{}, 0, 0, 0
	e.recent = nil
	return false
}

// loadModel orders a model to be loaded. The caller holds mu.
func (e *engine) loadModel(name string) int {
	if _, held := e.models[name]; held {
		return http.StatusOK
	}
	sum := e.sizes[name]
	for held, ready := range e.models {
		sum += e.sizes[held]
		if time.Now().Before(ready) {
			return http.StatusConflict
		}
	}
	e.sequence++
	e.models[name] = time.Now().Add(modelLoadTime)
	if sum > e.weights {
		e.violations = append(e.violations, fmt.Sprintf("%.3f s: ordered to load %s: %.0f MB in %.0f MB", e.world.now().Seconds(), name, sum, e.weights))
		e.world.logf("BROKEN %s is ordered to load %s: %.0f MB in %.0f MB; it crashes", e.id, name, sum, e.weights)
		e.crashedAt = time.Now()
	}
	return http.StatusAccepted
}

// unloadModel drops a model and its adapters, unless something runs. The caller holds mu.
func (e *engine) unloadModel(name string) int {
	if e.active > 0 {
		return http.StatusConflict
	}
	e.sequence++
	delete(e.models, name)
	for key := range e.adapters {
		if model, _, _ := strings.Cut(key, "/"); model == name {
			delete(e.adapters, key)
		}
	}
	return http.StatusAccepted
}

// longFactor is how many times as long as others the streams are whose targets end in long.
const longFactor = 40

// modelLoadTime is the load_time_s of the configuration.
const modelLoadTime = 3200 * time.Millisecond

// settle ends the loads that are done. The caller holds mu.
func (e *engine) settle() {
	for _, a := range e.adapters {
		if a.next > 0 && a.runs == 0 && a.ready.IsZero() {
			a.ready = time.Now().Add(e.loadTime)
		}
		if a.next > 0 && !a.ready.IsZero() && time.Now().After(a.ready) {
			a.version, a.next, a.ready = a.next, 0, time.Time{}
		}
	}
}

func (e *engine) report(res http.ResponseWriter) {
	e.mu.Lock()
	e.settle()
	held, pending, models, busy := map[string][]string{}, []string{}, []any{}, false
	for key, a := range e.adapters {
		model, name, _ := strings.Cut(key, "/")
		if a.version > 0 {
			held[model] = append(held[model], fmt.Sprintf("%s@%d", name, a.version))
		}
		if a.next > 0 {
			pending = append(pending, fmt.Sprintf("%s@%d", key, a.next))
		}
	}
	for model, ready := range e.models {
		if time.Now().Before(ready) {
			busy = true
			continue
		}
		models = append(models, map[string]any{"name": model, "version": 1, "adapters": append([]string{}, held[model]...)})
	}
	body := map[string]any{
		"stage": "combined", "models": models, "busy": busy,
		"sequence": e.sequence, "queued": 0, "active": e.active, "kv_cache_used": 0, "kv_cache_total": 100000, "handles": 0,
		"pending": pending, "born": e.born, "available": map[string]any{"in_memory": []string{}, "on_disk": []string{}},
	}
	e.mu.Unlock()
	res.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(res).Encode(body)
}

func (e *engine) order(res http.ResponseWriter, r *http.Request) {
	var o map[string]any
	if json.NewDecoder(r.Body).Decode(&o) != nil || o["holder"] == nil || o[names["fence"]] == nil {
		res.WriteHeader(http.StatusBadRequest)
		return
	}
	load := o["operation"] == "loading"
	model, _ := o["model"].(string)
	name, _ := o["adapter"].(string)
	version, _ := o["version"].(float64)
	fence, _ := o[names["fence"]].(float64)
	if e.delayOrder != nil {
		if d := e.delayOrder(load, name); d > 0 {
			e.world.logf("order of %s load=%t %s is taken %v late", e.id, load, name, d)
			time.Sleep(d)
		}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	status := e.apply(r.Header.Get(names["instance"]), load, model, name, int64(version), int64(fence))
	e.world.logf("order at %s load=%t model=%s adapter=%s version=%d -> %d, %d adapters in %d slots", e.id, load, model, name, int64(version), status, len(e.adapters), e.slots)
	res.WriteHeader(status)
}

// keptAdapters is how many adapters load from the worker's host memory.
const keptAdapters = 256

// takes returns how long a load takes: adapters that the worker held recently load ten times as fast. The caller holds mu.
func (e *engine) takes(key string) time.Duration {
	i := slices.Index(e.recent, key)
	if i >= 0 {
		e.recent = slices.Delete(e.recent, i, i+1)
	}
	e.recent = append(e.recent, key)
	e.recent = e.recent[max(len(e.recent)-keptAdapters, 0):]
	if i >= 0 {
		return e.loadTime / 10
	}
	return e.loadTime
}

func (e *engine) apply(instance string, load bool, model, name string, version, fence int64) int {
	e.settle()
	switch {
	case instance != "" && instance != e.id:
		return http.StatusMisdirectedRequest
	case fence < e.fence:
		return http.StatusPreconditionFailed
	}
	e.fence = fence
	key := model + "/" + name
	a := e.adapters[key]
	if version == 0 {
		version = max(e.newest[name], 1)
	}
	_, there := e.models[model]
	switch {
	case name == "" && load:
		return e.loadModel(model)
	case name == "":
		return e.unloadModel(model)
	case !there:
		return http.StatusMisdirectedRequest
	case load && a == nil:
		e.sequence++
		e.adapters[key] = &adapter{next: version, ready: time.Now().Add(e.takes(key))}
		if len(e.adapters) > e.slots {
			e.violations = append(e.violations, fmt.Sprintf("%.3f s: ordered to load %s: %d adapters in %d slots", e.world.now().Seconds(), name, len(e.adapters), e.slots))
			e.world.logf("BROKEN %s is ordered to load %s: %d adapters in %d slots", e.id, name, len(e.adapters), e.slots)
		}
		return http.StatusAccepted
	case load && (a.version >= version || a.next >= version):
		return http.StatusOK
	case load:
		e.sequence++
		a.next, a.ready = version, time.Time{}
		return http.StatusAccepted
	case a == nil:
		return http.StatusOK
	case a.runs > 0 || a.next > 0:
		return http.StatusConflict
	}
	e.sequence++
	delete(e.adapters, key)
	return http.StatusOK
}

func (e *engine) request(res http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(names["attempt"])
	_, _ = io.Copy(io.Discard, r.Body)
	model, name, _ := strings.Cut(r.Header.Get(names["model"]), "/")
	res.Header().Set(names["attempt"], id)
	e.mu.Lock()
	e.settle()
	a := e.adapters[model+"/"+name]
	rejection := 0
	switch {
	case r.Header.Get(names["instance"]) != e.id || a == nil || a.version == 0:
		rejection = http.StatusMisdirectedRequest
	case a.next > 0:
		rejection = http.StatusServiceUnavailable
	}
	if rejection != 0 {
		e.mu.Unlock()
		res.Header().Set(names["notexecuted"], "1")
		res.WriteHeader(rejection)
		return
	}
	a.runs++
	e.active++
	version, born := a.version, e.born
	e.mu.Unlock()
	e.onRun(id, name, version)
	defer func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.born == born { // else it has crashed
			a.runs--
			e.active--
		}
	}()
	res.Header().Set(names["signature"], "by "+e.id)
	res.Header().Set("Content-Type", "text/event-stream")
	events := e.events
	if strings.HasSuffix(r.RequestURI, "long") {
		events *= longFactor
	}
	for n := 1; n <= events; n++ {
		select {
		case <-r.Context().Done():
			return
		case <-time.After(e.eventTime):
		}
		if e.away() {
			panic(http.ErrAbortHandler)
		}
		_, _ = io.WriteString(res, "id: "+strconv.Itoa(n)+"\ndata: "+id+"\n\n")
		res.(http.Flusher).Flush()
	}
}
