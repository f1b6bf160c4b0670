package site

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"magnoliastall.example/magno"
	"magnoliastall.example/magno/shed"
	"magnoliastall.example/magno/strain"
)

// levelValue is a load level that tests set.
type levelValue struct{ atomic.Int32 }

func (v *levelValue) set(l strain.Level)  { v.Store(int32(l)) }
func (v *levelValue) level() strain.Level { return strain.Level(v.Load()) }

// startShedServer serves callers over a listener with the given limits, and returns the listener.
func startShedServer(t *testing.T, level func() strain.Level, limits shed.Limits, h http.Handler) *shedListener {
	t.Helper()
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := newShedListener(inner, level, limits)
	s := &http.Server{Handler: h, ReadHeaderTimeout: readHeaderTimeout, ConnContext: connContext}
	ended := make(chan error, 1)
	go func() { ended <- s.Serve(l) }()
	t.Cleanup(func() {
		_ = s.Close()
		<-ended
	})
	return l
}

// startOverloadable starts an entry with a configuration, and serves callers.
func startOverloadable(t *testing.T) (*entry, string) {
	t.Helper()
	e := startEntry(t, nil, "e", freeAddress(t, "127.0.0.2"), 1)
	e.book.ApplyRead([]magno.Change{{Key: "plan", Revision: 1, Plan: testPlan()}}, 1, true)
	l := startShedServer(t, e.front.relay.LoadLevel, shed.DefaultLimits, e.front.relay)
	return e, l.Addr().String()
}

// sendWhole opens a connection and sends a whole request.
func sendWhole(addr string, n int) (net.Conn, error) {
	c, err := net.Dial("tcp", addr)
	if err != nil {
		return nil, err
	}
	if _, err = fmt.Fprintf(c, "POST /p/1 HTTP/1.1\r\nHost: h.example\r\nId: %d\r\nContent-Length: 4\r\n\r\nbody", n); err != nil {
		_ = c.Close()
		return nil, err
	}
	return c, nil
}

// readAnswer reads a whole answer and returns its status.
func readAnswer(c net.Conn) (int, error) {
	_ = c.SetReadDeadline(time.Now().Add(time.Minute))
	res, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, err
	}
	defer func() { _ = res.Body.Close() }()
	_, err = io.Copy(io.Discard, res.Body)
	return res.StatusCode, err
}

// Guards against a whole request that waits unread for seconds, as connections over which nothing was sent hold all
// places of an overloaded instance.
func TestSilentConnectionsTakeNoPlaces(t *testing.T) {
	e, addr := startOverloadable(t)
	e.front.relay.SetLoadLevel(strain.Overloaded)
	for range shed.DefaultLimits.Unanswered {
		c, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = c.Close() }()
	}
	begun := time.Now()
	c, err := sendWhole(addr, 1)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	if status, err := readAnswer(c); err != nil || time.Since(begun) >= readHeaderTimeout-time.Second {
		t.Errorf("got %d, %v after %v", status, err, time.Since(begun))
	}
}

// Guards against callers of an overloaded instance that have sent a whole request and get neither an
// answer nor a refusal.
func TestWholeRequestIsAnsweredWhateverTheLoadLevel(t *testing.T) {
	const callers, perLevel = 240, 20
	e, addr := startOverloadable(t)
	levels := []strain.Level{strain.Overloaded, strain.Strained, strain.Normal}
	var sent atomic.Int32
	var wg sync.WaitGroup
	for n := range callers {
		wg.Go(func() {
			i := int(sent.Add(1))
			e.front.relay.SetLoadLevel(levels[i/perLevel%len(levels)])
			c, err := sendWhole(addr, n)
			if err != nil {
				t.Error(err)
				return
			}
			defer func() { _ = c.Close() }()
			if _, err := readAnswer(c); err != nil {
				t.Errorf("no answer: %v", err)
			}
		})
	}
	wg.Wait()
}

// Guards against an overloaded instance that serves what it has no time for: a request over a new
// connection gets the status that promises that it has not run, a time, and the end of its connection.
func TestOverloadedInstanceRefusesNewConnections(t *testing.T) {
	e, addr := startOverloadable(t)
	for _, method := range []string{http.MethodGet, http.MethodPost} {
		e.front.relay.SetLoadLevel(strain.Overloaded)
		req, err := http.NewRequestWithContext(t.Context(), method, "http://"+addr+"/p/1", strings.NewReader("body"))
		if err != nil {
			t.Fatal(err)
		}
		req.Host, req.Header = "h.example", http.Header{"Id": {"1"}}
		res, err := (&http.Transport{}).RoundTrip(req)
		if err != nil {
			t.Fatal(err)
		}
		_ = res.Body.Close()
		if res.StatusCode != http.StatusTooManyRequests || res.Header.Get("Retry-After") != "0.200" || !res.Close {
			t.Errorf("%s got %d, Retry-After %q, close %v", method, res.StatusCode, res.Header.Get("Retry-After"), res.Close)
		}
	}
}

// Guards against an overloaded instance that closes the connections which its callers keep.
func TestOverloadedInstanceAnswersOverKeptConnections(t *testing.T) {
	var level levelValue
	l := startShedServer(t, level.level, shed.DefaultLimits, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	kept := &http.Client{Transport: &http.Transport{MaxConnsPerHost: 1}}
	for _, is := range []strain.Level{strain.Normal, strain.Overloaded, strain.Strained, strain.Normal} {
		level.set(is)
		res, err := kept.Get("http://" + l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, res.Body)
		_ = res.Body.Close()
	}
	if l.state.Open != 0 {
		t.Errorf("%d connections were refused", l.state.Open)
	}
}

// Guards against as many connections and requests in an overloaded process as callers open, and against
// callers that get no answer for it.
func TestOverloadedInstanceHoldsFewRequests(t *testing.T) {
	const callers = 100
	limits := shed.Limits{Unanswered: 4, Open: 8}
	var level levelValue
	level.set(strain.Overloaded)
	var active, most atomic.Int32
	next := make(chan struct{})
	l := startShedServer(t, level.level, limits, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		n := active.Add(1)
		defer active.Add(-1)
		for is := most.Load(); n > is && !most.CompareAndSwap(is, n); is = most.Load() {
		}
		<-next
		w.Header().Set("Connection", "close")
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	var conns []net.Conn
	for n := range callers {
		c, err := sendWhole(l.Addr().String(), n)
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = c.Close() }()
		conns = append(conns, c)
	}
	waitFor(t, "the first requests", func() bool { return int(active.Load()) == limits.Unanswered })
	var wg sync.WaitGroup
	wg.Go(func() {
		for range callers {
			next <- struct{}{}
			l.mu.Lock()
			if l.state.Open > limits.Open {
				t.Errorf("%d connections are open", l.state.Open)
			}
			l.mu.Unlock()
		}
	})
	for _, c := range conns {
		if status, err := readAnswer(c); err != nil || status != http.StatusServiceUnavailable {
			t.Fatalf("got %d %v", status, err)
		}
		_ = c.Close()
	}
	wg.Wait()
	if int(most.Load()) > limits.Unanswered {
		t.Errorf("%d requests at once", most.Load())
	}
	waitFor(t, "the end of all connections", func() bool {
		l.mu.Lock()
		defer l.mu.Unlock()
		return l.state.Open == 0 && l.state.Unanswered == 0
	})
}

// Guards against work for callers that have left while their connections waited.
func TestCallersThatLeftInTheAcceptQueueAreLeftOut(t *testing.T) {
	var level levelValue
	level.set(strain.Overloaded)
	reading, next := make(chan string, 4), make(chan struct{}, 4)
	l := startShedServer(t, level.level, shed.Limits{Unanswered: 1, Open: 1}, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		reading <- r.Header.Get("Id")
		<-next
		w.Header().Set("Connection", "close")
	}))
	send := func(n int) net.Conn {
		t.Helper()
		c, err := sendWhole(l.Addr().String(), n)
		if err != nil {
			t.Fatal(err)
		}
		return c
	}
	first := send(1)
	defer func() { _ = first.Close() }()
	if got := <-reading; got != "1" {
		t.Fatalf("request %s is read first", got)
	}
	_ = send(2).Close()
	last := send(3)
	defer func() { _ = last.Close() }()
	next <- struct{}{}
	next <- struct{}{}
	if _, err := readAnswer(first); err != nil {
		t.Fatal(err)
	}
	if got := <-reading; got != "3" {
		t.Errorf("request %s is read next", got)
	}
	if _, err := readAnswer(last); err != nil {
		t.Fatal(err)
	}
}

// Guards against a stop that waits for a place at an overloaded instance.
func TestOverloadedInstanceStops(t *testing.T) {
	for range 20 {
		var level levelValue
		level.set(strain.Overloaded)
		addr := freeAddress(t, "127.0.0.1")
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan error, 1)
		go func() {
			ended <- serve(ctx, addr, level.level, &http.Server{Handler: http.NotFoundHandler(), ReadHeaderTimeout: readHeaderTimeout}, 1)
		}()
		for !accepting(addr) {
			time.Sleep(time.Millisecond)
		}
		var conns []net.Conn
		for range 2 * shed.DefaultLimits.Unanswered { // connections that send nothing
			c, err := net.Dial("tcp", addr)
			if err != nil {
				t.Fatal(err)
			}
			conns = append(conns, c)
		}
		cancel()
		if err := <-ended; err != nil {
			t.Error(err)
		}
		for _, c := range conns {
			_ = c.Close()
		}
	}
}
