package main

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	quotaRate   = 20000 // tokens a second
	quotaBurst  = 20000
	quotaWindow = 8 * time.Second
	quotaSlack  = 17000
	quotaCost   = 1000 // tokens of each request
	// quotaBound is (rate x window + burst) x (1 + quota_overshoot) + quota_slack, with an overshoot of 0.25.
	quotaBound = (quotaRate*8+quotaBurst)*125/100 + quotaSlack
)

func init() {
	cases["seeds"] = seedsCase
}

// seedsCase runs two entries and a tenant that asks for several times its allowance at both. With trouble, the seeds in
// the settings with which the entries start are out of date. They are right seed_lag_s later, and the entries get a signal.
func seedsCase(w *world, trouble bool) (held bool, err error) {
	const lag = 3 * time.Second
	w.bounds = map[string]string{"quota": "8", "overshoot": "0.25", "slack": "17000", "failclosed": "true", "revoke": "5000"}
	right := w.seeds
	if trouble {
		w.seeds = w.ip(91) + ":7504," + w.ip(92) + ":7504," + w.ip(93) + ":7504"
	}
	w.store.Put("op/config", map[string]any{
		"version":  7,
		"services": []any{map[string]any{"name": "claims-desk", "connection_limit": 96}},
		"routes":   []any{route("status-check", "/status/", "non_idempotent", "claims-desk", 1)},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 1 << 20, "header_timeout_ms": 5000, "idle_timeout_ms": 15000},
		"tenants": []any{map[string]any{
			"name": "north", "api_keys": []string{"k-north-1"}, "priority": 1,
			"rate_per_s": quotaRate, "burst": quotaBurst, "unit": "token_streaming", "uncached_tokens": 100,
		}},
	})
	var mu sync.Mutex
	var runs []time.Time
	for i := range 4 {
		p := &plain{id: fmt.Sprintf("c-%d", i+1), onRun: func(id string, _ *http.Request) {
			mu.Lock()
			runs = append(runs, time.Now())
			mu.Unlock()
			w.logf("run %s", id)
		}}
		if err := w.serve(w.worker(i+1), p); err != nil {
			return false, err
		}
		w.store.Put("servers/"+p.id, p.entry("claims-desk", w.worker(i+1), 1))
	}
	var entries []*proc
	for i := 1; i <= 2; i++ {
		p, err := w.entry(i)
		if err != nil {
			return false, err
		}
		entries = append(entries, p)
	}
	if trouble {
		time.Sleep(lag)
		for _, p := range entries {
			p.fields["seeds"] = right
			if err := p.writeSettings(); err != nil {
				return false, err
			}
			w.logf("the settings of %s have the right seeds", p.name)
			p.signal(syscall.SIGHUP)
		}
	}
	if !w.waitReady(2) {
		return false, errors.New("the entries aren't ready")
	}
	time.Sleep(15 * time.Second) // longer than any bound for machines to find each other, and than the tenant's window
	w.logf("the tenant asks for three times its allowance")
	end := time.Now().Add(40 * time.Second)
	var senders sync.WaitGroup
	served := [2]int{}
	for n := range 12 {
		senders.Add(1)
		go func() {
			defer senders.Done()
			for k := 0; time.Now().Before(end); k++ {
				time.Sleep(200 * time.Millisecond)
				if w.ask(1+n%2, fmt.Sprintf("%08x%08x", n+1, k+1)) == 200 {
					mu.Lock()
					served[n%2]++
					mu.Unlock()
				}
			}
		}()
	}
	senders.Wait()
	mu.Lock()
	defer mu.Unlock()
	most := 0
	for i := range runs {
		tokens := 0
		for _, at := range runs[i:] {
			if at.Sub(runs[i]) >= quotaWindow {
				break
			}
			tokens += quotaCost
		}
		most = max(most, tokens)
	}
	w.logf("%d tokens ran within %v, %d are allowed; %d and %d requests served by the two entries", most, quotaWindow, quotaBound, served[0], served[1])
	fmt.Printf("%d tokens within %v, allowed are %d; %d and %d requests served\n", most, quotaWindow, quotaBound, served[0], served[1])
	if served[0]+served[1] < 100 {
		return false, errors.New("too few requests were served")
	}
	return most <= quotaBound, nil
}

// ask sends a request of the tenant and returns the status, 0 without an answer.
func (w *world) ask(entry int, id string) int {
	req, err := http.NewRequest(http.MethodPost, "http://"+w.callers(entry)+"/status/x", strings.NewReader("status "+id))
	if err != nil {
		return 0
	}
	req.Host = host
	req.Header.Set(names["attempt"], id)
	req.Header.Set("Authorization", "Bearer k-north-1")
	req.Header.Set(names["tokens"], "600,400")
	req.Header.Set(names["deadline"], "1500")
	w.logf("sent %s to entry %d, %d tokens", id, entry, quotaCost)
	res, err := client.Do(req)
	if err != nil {
		w.logf("answer %s none: %v", id, err)
		return 0
	}
	_, _ = io.Copy(io.Discard, res.Body)
	_ = res.Body.Close()
	w.logf("answer %s status %d", id, res.StatusCode)
	return res.StatusCode
}
