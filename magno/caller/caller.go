// Package caller tells when the caller of a request has closed its connection.
//
//	ConnContext --> Left: the state of the connection, now
//	Wrap: requests in progress --Run, each interval: Left--> context cancelled
//
// Load pattern: callers give up while their request lies unread before a busy process, waits, or is at an upstream, and
// what they sent behind it lies before the end of the connection. net/http ends the context of a request only once it
// has read that end: not while another goroutine is about to, and never behind a byte of a further request.
package caller

import (
	"context"
	"maps"
	"net"
	"net/http"
	"sync"
	"syscall"

	"golang.org/x/sys/unix"

	"magnoliastall.example/magno"
)

// interval is the time between two checks of the requests in progress.
const interval = 200 * magno.Millis(1)

// connKey is the context key of a caller's connection.
type connKey struct{}

// ConnContext makes the connection of a request known to Left. It is the ConnContext of the http.Server.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	if wrapper, ok := c.(interface{ NetConn() net.Conn }); ok { // such as a tls.Conn
		c = wrapper.NetConn()
	}
	return context.WithValue(ctx, connKey{}, c)
}

// Left reports whether the caller of a request is known to have closed its connection, or its side of it, whatever of
// its bytes are unread.
func Left(ctx context.Context) bool {
	if ctx.Err() != nil {
		return true
	}
	sc, ok := ctx.Value(connKey{}).(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	left := false
	// Control, as Read would wait for the read of the server.
	err = raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		left = err == nil && info.State != unix.BPF_TCP_ESTABLISHED
	})
	return left || err != nil
}

// Watch cancels the requests in progress of callers that left. Its zero value is ready to use.
type Watch struct {
	mu sync.Mutex
	// active maps the contexts of the requests in progress to their ends.
	active map[context.Context]context.CancelFunc
	// began is closed as the first request begins, nil if nobody waits for that.
	began chan struct{}
}

// Wrap returns a handler that calls next with a context that ends once the caller has left, while Run runs.
func (w *Watch) Wrap(next http.Handler) http.Handler {
	return http.HandlerFunc(func(res http.ResponseWriter, r *http.Request) {
		ctx, cancel := context.WithCancel(r.Context())
		defer cancel()
		w.add(ctx, cancel)
		defer w.remove(ctx)
		next.ServeHTTP(res, r.WithContext(ctx))
	})
}

func (w *Watch) add(ctx context.Context, cancel context.CancelFunc) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.active == nil {
		w.active = map[context.Context]context.CancelFunc{}
	}
	w.active[ctx] = cancel
	if w.began != nil {
		close(w.began)
		w.began = nil
	}
}

func (w *Watch) remove(ctx context.Context) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.active, ctx)
}

// Name implements magno.Task.
func (w *Watch) Name() string { return "callers" }

// Run checks the requests in progress until ctx ends.
func (w *Watch) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-w.busy():
		}
		if !magno.Sleep(ctx, interval) {
			return nil
		}
		w.check()
	}
}

// busy returns a channel that is closed once requests are in progress.
func (w *Watch) busy() <-chan struct{} {
	w.mu.Lock()
	defer w.mu.Unlock()
	began := make(chan struct{})
	if len(w.active) > 0 {
		close(began)
		return began
	}
	w.began = began
	return began
}

// check cancels the requests whose callers have left.
func (w *Watch) check() {
	w.mu.Lock()
	active := maps.Clone(w.active) // a call for each connection, during which others begin and end
	w.mu.Unlock()
	for ctx, cancel := range active {
		if Left(ctx) {
			cancel()
		}
	}
}
