package site

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"magnoliastall.example/magno"
)

// An entry is stopped, and its grace period is nearly over. A request that it has read is
// being refused, slowly, as the machine is overloaded. The caller must get that answer: if
// the connection is closed instead, the caller doesn't know whether the request ran, and
// may not retry.
func TestRequestThatWasReadIsAnsweredAtTheEnd(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := l.Addr().String()
	_ = l.Close()
	reading, finish := make(chan struct{}), make(chan struct{})
	handler := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		close(reading)
		<-finish
		time.Sleep(50 * time.Millisecond) // longer than closing takes
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() {
		ended <- serve(ctx, addr, never, &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout}, magno.Minute)
	}()
	answered := make(chan string, 1)
	go func() { answered <- getStatus("http://" + addr) }()
	<-reading
	cancel()
	for accepting(addr) {
		time.Sleep(time.Millisecond)
	}
	close(finish)
	if got := <-answered; got != "503 Service Unavailable" {
		t.Errorf("the caller got %q", got)
	}
	if err := <-ended; err != nil {
		t.Error(err)
	}
}

// A stream is still active when the process must exit. It must be cut off: if the process
// waited for it, it would be killed in the middle of other work.
func TestEndDoesNotWaitForStreams(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := l.Addr().String()
	_ = l.Close()
	reading := make(chan struct{})
	handler := http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		close(reading)
		<-r.Context().Done()
	})
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() {
		ended <- serve(ctx, addr, never, &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout}, 1)
	}()
	go getStatus("http://" + addr)
	<-reading
	cancel()
	select {
	case err := <-ended:
		if err != nil {
			t.Error(err)
		}
	case <-time.After(time.Minute):
		t.Error("timed out waiting for the server to stop while a stream is active")
	}
}

// accepting reports whether a server accepts connections.
func accepting(addr string) bool {
	conn, err := net.Dial("tcp", addr)
	if err == nil {
		_ = conn.Close()
	}
	return err == nil
}

// getStatus returns the status of a response, or the error; it retries until the server
// listens.
func getStatus(url string) string {
	for end := time.Now().Add(time.Minute); ; time.Sleep(time.Millisecond) {
		res, err := http.Get(url)
		var op *net.OpError
		if errors.As(err, &op) && op.Op == "dial" && time.Now().Before(end) {
			continue
		}
		if err != nil {
			return err.Error()
		}
		_, _ = io.Copy(io.Discard, res.Body)
		_ = res.Body.Close()
		return res.Status
	}
}
