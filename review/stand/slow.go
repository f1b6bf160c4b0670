package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

func init() {
	cases["slow"] = slowCase
}

// slowCase runs clients that ask for a long answer over kept connections. With trouble, they read it slowly, but all the
// time.
func slowCase(w *world, trouble bool) (held bool, err error) {
	const clients, size, chunk, pause = 6, 5 << 20, 10 << 10, 100 * time.Millisecond
	r := route("vendor-report", "/report/", "non_idempotent", "claims-desk", 1)
	r["timeout_ms"], r["target_latency_ms"] = 100000, 1000
	w.store.Put("op/config", map[string]any{
		"version": 7, "services": []any{map[string]any{"name": "claims-desk", "connection_limit": 96}}, "routes": []any{r},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4 << 20, "header_timeout_ms": 5000, "idle_timeout_ms": 15000},
	})
	for i := range 2 {
		p := &plain{id: fmt.Sprintf("c-%d", i+1), onRun: func(id string, _ *http.Request) { w.logf("run %s", id) }, size: size}
		if err := w.serve(w.worker(i+1), p); err != nil {
			return false, err
		}
		w.store.Put("servers/"+p.id, p.entry("claims-desk", w.worker(i+1), 1))
	}
	if _, err := w.entry(1); err != nil {
		return false, err
	}
	if !w.waitReady(1) {
		return false, errors.New("the entry isn't ready")
	}
	time.Sleep(4 * time.Second) // stability_window_ms
	var mu sync.Mutex
	whole, lost := 0, 0
	var readers sync.WaitGroup
	for n := range clients {
		readers.Add(1)
		go func() {
			defer readers.Done()
			conn, err := net.Dial("tcp", w.callers(1))
			if err != nil {
				return
			}
			defer func() { _ = conn.Close() }()
			in := bufio.NewReaderSize(conn, chunk)
			for k := range 2 { // the second one over the kept connection is slow
				id := fmt.Sprintf("%08x%08x", n+1, k+1)
				path := "/report/short"
				if k == 1 {
					path = "/report/long"
				}
				fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: 100000\r\nContent-Length: 2\r\n\r\nok", path, host, names["attempt"], id, names["deadline"])
				w.logf("sent %s to entry 1: %s", id, path)
				res, err := http.ReadResponse(in, nil)
				if err != nil {
					w.logf("answer %s none: %v", id, err)
					mu.Lock()
					lost++
					mu.Unlock()
					return
				}
				got, begun := 0, time.Now()
				buf := make([]byte, chunk)
				for err == nil {
					var m int
					m, err = io.ReadFull(res.Body, buf)
					got += m
					if trouble && k == 1 && err == nil {
						time.Sleep(pause)
					}
				}
				w.logf("answer %s status %d, %d bytes of %d, ended with %v after %v", id, res.StatusCode, got, res.ContentLength, err, time.Since(begun).Round(time.Millisecond))
				if k == 1 {
					mu.Lock()
					if int64(got) == res.ContentLength {
						whole++
					} else {
						lost++
					}
					mu.Unlock()
				}
			}
		}()
	}
	readers.Wait()
	fmt.Printf("%d whole answers, %d cut\n", whole, lost)
	w.logf("%d whole answers, %d cut", whole, lost)
	if whole+lost < clients {
		return false, errors.New("too few answers")
	}
	return lost <= 3, nil
}
