package main

import (
	"io"
	"net/http"
	"strconv"
	"strings"
)

// plain is a stand-in of a worker of a plain service, which answers at once.
type plain struct {
	id string
	// onRun is called as a request begins.
	onRun func(id string, r *http.Request)

	// size is the length in bytes of the answers to targets that end in long.
	size int
}

// entry is what the worker writes into the store.
func (p *plain) entry(service, address string, sequence int) map[string]any {
	return map[string]any{
		"service": service, "address": address, "zone": "zone-a", "version": "v1", "slots": 6, "state": "ready",
		"cold_remaining_ms": 0, "sequence": sequence, "born": 1700000000000,
	}
}

func (p *plain) ServeHTTP(res http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/health" {
		res.Header().Set(names["instanceid"], p.id)
		return
	}
	id := r.Header.Get(names["attempt"])
	_, _ = io.Copy(io.Discard, r.Body)
	res.Header().Set(names["attempt"], id)
	if r.Header.Get(names["instance"]) != p.id {
		res.Header().Set(names["notexecuted"], "1")
		res.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	p.onRun(id, r)
	res.Header().Set(names["signature"], "by "+p.id)
	if strings.HasSuffix(r.RequestURI, "long") {
		res.Header().Set("Content-Length", strconv.Itoa(p.size))
		_, _ = io.WriteString(res, strings.Repeat("x", p.size))
		return
	}
	_, _ = io.WriteString(res, "done "+id)
}
