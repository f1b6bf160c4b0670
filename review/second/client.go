package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// host is that of all routes.
const host = "ficu95.example"

// client is a stand-in for consumers. It keeps channels open.
type client struct {
	w    *world
	http *http.Client
	next atomic.Int64
}

func newClient(w *world) *client {
	return &client{w: w, http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true}}}
}

// answer is what a consumer got.
type answer struct {
	id     string
	status int
	body   string
	whole  bool
	sent   time.Time
	header http.Header
}

// send sends a request and reads its answer.
func (c *client) send(entry, method, path, model, tokens, body string, patience time.Duration) answer {
	a := answer{id: fmt.Sprintf("%08x%08x", c.w.begun.UnixMilli()&0xffffffff, c.next.Add(1)), sent: time.Now()}
	ctx, cancel := context.WithTimeout(c.w.ctx, patience)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+entry+path, strings.NewReader(body))
	if err != nil {
		panic(err)
	}
	r.Host = host
	r.Header.Set(names["attempt"], a.id)
	r.Header.Set(names["deadline"], number(int(patience.Milliseconds())))
	if model != "" {
		r.Header.Set(names["model"], model)
		r.Header.Set(names["tokens"], tokens)
	}
	c.w.noteAt(a.sent, "sent %s to %s: %s %s %s", a.id, entry, method, path, model)
	res, err := c.http.Do(r)
	if err != nil {
		c.w.note("answer %s: %v", a.id, err)
		return a
	}
	defer res.Body.Close()
	text, err := io.ReadAll(res.Body)
	a.status, a.body, a.whole, a.header = res.StatusCode, string(text), err == nil, res.Header
	c.w.note("answer %s: %d, %d bytes, whole %t", a.id, a.status, len(text), a.whole)
	return a
}
