package site

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"magnoliastall.example/magno"
)

// Guards against an overloaded instance that reads requests which it can't serve: a connection that is
// closed unread can be opened again at another one, whatever the request.
func TestOverloadedInstanceClosesNewConnectionsUnread(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := l.Addr().String()
	_ = l.Close()
	var overloaded atomic.Bool
	var read atomic.Int32
	handler := http.HandlerFunc(func(http.ResponseWriter, *http.Request) { read.Add(1) })
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() {
		ended <- serve(ctx, addr, overloaded.Load, &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout}, magno.Second)
	}()
	for !accepting(addr) {
		time.Sleep(time.Millisecond)
	}
	kept := &http.Client{Transport: &http.Transport{}}
	get := func(c *http.Client) bool {
		res, err := c.Get("http://" + addr)
		if err != nil {
			return false
		}
		defer res.Body.Close()
		_, _ = io.Copy(io.Discard, res.Body)
		return res.StatusCode == http.StatusOK
	}
	post := func() bool {
		c := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
		res, err := c.Post("http://"+addr, "", strings.NewReader("body"))
		if err != nil {
			return false
		}
		defer res.Body.Close()
		return res.StatusCode == http.StatusOK
	}
	if !get(kept) || !post() {
		t.Fatal("not served before")
	}
	overloaded.Store(true)
	before := read.Load()
	if post() || read.Load() != before {
		t.Error("a request over a new connection was read")
	}
	if !get(kept) {
		t.Error("a request over an open connection wasn't read")
	}
	overloaded.Store(false)
	if !post() {
		t.Error("not served afterwards")
	}
	cancel()
	if err := <-ended; err != nil {
		t.Error(err)
	}
}
