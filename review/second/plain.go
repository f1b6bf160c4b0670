package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

// largeSuffix is the end of the path of requests whose answer is the body of the worker.
const largeSuffix = "/large"

// arrival is a request that reached a plain worker.
type arrival struct {
	id string
	at time.Time
	// ran is true if the worker ran it.
	ran bool
}

// plain is a stand-in for a worker of a plain service.
type plain struct {
	w             *world
	id, service   string
	address, zone string
	born          int64
	work          time.Duration
	body          []byte

	mu       sync.Mutex
	state    string
	removed  bool
	sequence int64
	arrivals []arrival
}

func (p *plain) entryValue(state string) map[string]any {
	return map[string]any{
		"service": p.service, "address": p.address, "zone": p.zone, "version": "v1", "slots": 6, "state": state,
		"cold_remaining_ms": 0, "sequence": 1, "born": p.born,
	}
}

// heartbeat writes the entry of the worker until the run ends.
func (p *plain) heartbeat() {
	for {
		p.mu.Lock()
		if !p.removed {
			p.w.store.put("servers/"+p.id, p.entryValue(p.state))
		}
		p.mu.Unlock()
		if !p.w.pause(heartbeat) {
			return
		}
	}
}

// drain reports that the worker leaves, and returns when the store acknowledged that.
func (p *plain) drain() time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.state = "draining"
	return p.w.store.put("servers/"+p.id, p.entryValue(p.state))
}

// remove removes the worker's entry, and returns when the store acknowledged that.
func (p *plain) remove() time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.removed = true
	return p.w.store.remove("servers/" + p.id)
}

// ServeHTTP serves requests.
func (p *plain) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	a := arrival{id: r.Header.Get(names["attempt"]), at: time.Now()}
	w.Header().Set(names["attempt"], a.id)
	_, _ = io.Copy(io.Discard, r.Body)
	a.ran = r.Header.Get(names["instance"]) == p.id
	p.mu.Lock()
	p.arrivals = append(p.arrivals, a)
	p.mu.Unlock()
	p.w.noteAt(a.at, "arrival of %s at %s, runs %t", a.id, p.id, a.ran)
	if !a.ran {
		w.Header().Set(names["notrun"], "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	time.Sleep(p.work)
	w.Header().Set(names["signature"], "s."+p.id)
	if p.body != nil && strings.HasSuffix(r.URL.Path, largeSuffix) {
		w.Header().Set("Content-Length", number(len(p.body)))
		_, _ = w.Write(p.body)
		return
	}
	fmt.Fprintf(w, "done %s", a.id)
}

// allArrivals returns the requests that reached the worker so far.
func (p *plain) allArrivals() []arrival {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]arrival(nil), p.arrivals...)
}
