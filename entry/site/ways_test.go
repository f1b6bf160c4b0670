package site

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"testing"

	"magnoliastall.example/magno"
	"magnoliastall.example/magno/budget"
	"magnoliastall.example/magno/shed"
	"magnoliastall.example/magno/strain"
)

// Guards against a request that is sent on although its connection was still in the accept queue at the end of the grace
// period: such a connection is reset, or its request refused.
func TestRequestInTheAcceptQueueIsNotSentOnAtTheEnd(t *testing.T) {
	r := startRig(t, false, false, true)
	r.release()
	end := r.serveUntilTheEnd(t)
	r.entry.front.relay.SetLoadLevel(strain.Overloaded)
	for range shed.DefaultLimits.Unanswered + 1 { // the accept that had begun takes one more
		r.connect(t)
	}
	c := r.connect(t)
	send(t, c, whole)
	end()
	if status, err := readAnswer(c); err == nil && status != http.StatusTooManyRequests {
		t.Errorf("got %d", status)
	}
	if len(r.reached) != 0 {
		t.Error("the request was sent on")
	}
}

// Guards against an answer that looks complete though the end of the grace period cut it on its way to a slow caller.
func TestAnswerToASlowCallerDoesNotLookWholeAtTheEnd(t *testing.T) {
	const size = 64 << 20 // more than sockets hold
	f := &front{log: slog.New(slog.DiscardHandler)}
	begun := make(chan struct{})
	handler, g := f.handler(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		w.Header().Set("Content-Length", strconv.Itoa(size))
		_, _ = w.Write([]byte("begin"))
		close(begun)
		_, _ = w.Write(make([]byte, size-len("begin")))
	}))
	addr := freeAddress(t, "127.0.0.1")
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() {
		ended <- serveGuarded(ctx, addr, never, &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout}, 1, g.end)
	}()
	waitFor(t, "the server", func() bool { return accepting(addr) })
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	send(t, c, whole)
	<-begun
	cancel()
	if err := <-ended; err != nil {
		t.Error(err)
	}
	if status, err := readAnswer(c); err == nil {
		t.Errorf("got %d, complete", status)
	}
}

// Guards against a second request that is sent on, or takes the answer of the first away, at the end of the grace period.
func TestRequestBehindTheLastAnswerIsNotSentOnAtTheEnd(t *testing.T) {
	r := startRig(t, false, false, true)
	end := r.serveUntilTheEnd(t)
	c := r.connect(t)
	send(t, c, whole)
	<-r.reached
	r.entry.front.leave()
	send(t, c, whole)
	end()
	if status, err := readAnswer(c); err != nil || status != http.StatusBadGateway {
		t.Errorf("got %d %v", status, err)
	}
	if len(r.reached) != 0 {
		t.Error("the second request was sent on")
	}
}

// Guards against a kept connection on which half a header is held for ever, or sent on, at its timeout.
func TestLateHeaderOnAKeptConnectionIsNotSentOn(t *testing.T) {
	r := startRig(t, false, false, true)
	r.release()
	r.serveWithTimeouts(t, shortTimeout, magno.Minute.Duration())
	c := r.connect(t)
	send(t, c, whole)
	if status, err := readAnswer(c); err != nil || status != http.StatusOK {
		t.Fatalf("the first got %d %v", status, err)
	}
	<-r.reached
	_, _ = io.WriteString(c, whole[:30]) // may fail, for the other side may have closed
	if status, err := readAnswer(c); err == nil {
		t.Errorf("got %d", status)
	}
	if len(r.reached) != 0 {
		t.Error("half a request was sent on")
	}
}

// takeMemory leaves no memory for further bodies and answers until the returned function is called.
func (r *rig) takeMemory() (free func()) {
	var taken []func()
	for _, m := range []*budget.Budget{r.entry.front.relay.BodyMemory, r.entry.front.relay.ResponseMemory} {
		seq, n := int64(0), int64(0)
		for ok := true; ok; {
			if seq, ok = m.Grow(seq, 1); ok {
				n++
			}
		}
		taken = append(taken, func() { m.Release(seq, n) })
	}
	return func() {
		for _, release := range taken {
			release()
		}
	}
}

// Guards against a request that is cut, or left without an answer, as others take all memory for a while. One that comes
// meanwhile over a kept connection is refused.
func TestRequestInProgressIsServedThoughMemoryRunsOut(t *testing.T) {
	for state, want := range map[string]int{
		"first configuration": http.StatusOK, "sent and unanswered": http.StatusOK, "answering": http.StatusOK,
		"streaming": http.StatusOK, "second request": http.StatusTooManyRequests,
	} {
		t.Run(state, func(t *testing.T) {
			r := startRig(t, state == "answering", state == "streaming", state != "first configuration")
			relay := r.entry.front.relay
			relay.BodyMemory, relay.ResponseMemory = &budget.Budget{Size: 1 << 16}, &budget.Budget{Size: 1 << 16}
			var free func()
			c := states[state](t, r, func() { free = r.takeMemory() })
			if state == "second request" {
				defer free()
			} else {
				free()
			}
			if status, err := readAnswer(c); err != nil || status != want {
				t.Errorf("got %d %v, want %d", status, err, want)
			}
		})
	}
}

// Guards against a kept connection whose next request ends in a panic and without an answer.
func TestPanicOnAKeptConnectionIsAnswered(t *testing.T) {
	f := &front{log: slog.New(slog.DiscardHandler)}
	requests := 0
	handler, _ := f.handler(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		if requests++; requests > 1 {
			panic("failed")
		}
		w.WriteHeader(http.StatusOK)
	}))
	server := httptest.NewServer(handler)
	defer server.Close()
	c, err := net.Dial("tcp", server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	in := bufio.NewReader(c)
	for _, want := range []int{http.StatusOK, http.StatusInternalServerError} {
		if _, err := fmt.Fprint(c, whole); err != nil {
			t.Fatal(err)
		}
		res, err := http.ReadResponse(in, nil)
		if err != nil {
			t.Fatal(err)
		}
		_, err = io.Copy(io.Discard, res.Body)
		_ = res.Body.Close()
		if err != nil || res.StatusCode != want {
			t.Errorf("got %d %v, want %d", res.StatusCode, err, want)
		}
	}
}
