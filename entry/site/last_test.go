package site

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"magnoliastall.example/magno"
	"magnoliastall.example/magno/strain"
)

// fixedListener only has an address.
type fixedListener struct {
	net.Listener
	addr net.Addr
}

func (l fixedListener) Addr() net.Addr { return l.addr }

// serveUntilTheEnd serves the rig's requests at another address with the entry's own server. The returned function ends
// the grace period and waits for the end of the server.
func (r *rig) serveUntilTheEnd(t *testing.T) (end func()) {
	t.Helper()
	addr := freeAddress(t, "127.0.0.1")
	handler, g := r.entry.front.handler(r.entry.front.relay)
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() {
		ended <- serveGuarded(ctx, addr, r.entry.front.relay.LoadLevel, &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout, ConnContext: connContext}, 1, g.end)
	}()
	waitFor(t, "the server", func() bool { return accepting(addr) })
	tcp, err := net.ResolveTCPAddr("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	r.listener = &shedListener{Listener: fixedListener{addr: tcp}}
	return func() {
		cancel()
		if err := <-ended; err != nil {
			t.Error(err)
		}
	}
}

// Guards against a request that has no answer, or a part of one that looks complete, at the end of the grace period.
func TestRequestInProgressIsAnsweredAtTheEnd(t *testing.T) {
	for _, c := range []struct {
		state    string
		status   int
		complete bool
	}{
		{"first configuration", http.StatusBadGateway, true},
		{"sent and unanswered", http.StatusBadGateway, true},
		{"answering", http.StatusBadGateway, true}, // nothing of an answer with a length is passed on before its end
		{"streaming", http.StatusOK, false},
	} {
		t.Run(c.state, func(t *testing.T) {
			r := startRig(t, c.state == "answering", c.state == "streaming", c.state != "first configuration")
			end := r.serveUntilTheEnd(t)
			conn := states[c.state](t, r, end)
			status, err := readAnswer(conn)
			if status != c.status || (err == nil) != c.complete {
				t.Errorf("got %d %v, want %d, complete %t", status, err, c.status, c.complete)
			}
		})
	}
}

// Guards against a request that waits for an engine whose agent can't be reached, and has no answer at the end of the
// grace period, or ends as the settings are reloaded.
func TestWaitingRequestIsAnsweredAtTheEnd(t *testing.T) {
	for name, happen := range map[string]func(t *testing.T, r *rig){
		"end":            func(*testing.T, *rig) {},
		"reload and end": func(t *testing.T, r *rig) { startReloadable(t, r.entry.settings)() },
	} {
		t.Run(name, func(t *testing.T) {
			r := startRig(t, false, false, false)
			p := testPlan()
			p.Routes[0].Aim = magno.Minute
			r.setPlan(1, p)
			end := r.serveUntilTheEnd(t)
			waited := metrics.GetOrCreateCounter("waited_for_upstream_total")
			before := waited.Get()
			c := r.connect(t)
			send(t, c, whole)
			waitFor(t, "a waiting request", func() bool { return waited.Get() > before })
			happen(t, r)
			if n := r.entry.front.relay.Active(); n != 1 {
				t.Errorf("%d requests are in progress", n)
			}
			end()
			if status, err := readAnswer(c); err != nil || status != http.StatusBadGateway {
				t.Errorf("got %d %v", status, err)
			}
			if len(r.reached) != 0 {
				t.Error("the request was sent on")
			}
		})
	}
}

// Guards against a body that is late at the end of the grace period and whose caller isn't told so.
func TestBodyBeingReadIsAnsweredAtTheEnd(t *testing.T) {
	r := startRig(t, false, false, true)
	end := r.serveUntilTheEnd(t)
	c := r.connect(t)
	send(t, c, whole[:len(whole)-2])
	waitFor(t, "the header", func() bool { return r.entry.front.relay.Active() == 1 })
	end()
	if status, err := readAnswer(c); err != nil || status != http.StatusBadGateway {
		t.Errorf("got %d %v", status, err)
	}
	if len(r.reached) != 0 {
		t.Error("half a request was sent on")
	}
}

// Guards against a request that is sent on although its connection is closed at the end of the grace period: what comes
// behind the last answer, or is whole only then, isn't read.
func TestRequestThatCrossesTheEndIsNotSentOn(t *testing.T) {
	for name, first := range map[string]string{"kept connection": whole, "header being read": whole[:30]} {
		t.Run(name, func(t *testing.T) {
			r := startRig(t, false, false, true)
			r.release()
			end := r.serveUntilTheEnd(t)
			c := r.connect(t)
			send(t, c, first)
			rest := whole[len(first):]
			if rest == "" {
				if status, err := readAnswer(c); err != nil || status != http.StatusOK {
					t.Fatalf("the first got %d %v", status, err)
				}
				<-r.reached
				rest = whole
			}
			end()
			_, _ = io.WriteString(c, rest) // may fail, for the other side has closed
			if status, err := readAnswer(c); err == nil {
				t.Errorf("got %d", status)
			}
			if len(r.reached) != 0 {
				t.Error("the request was sent on")
			}
		})
	}
}

// Guards against a second request that takes the last answer of its connection away, or is sent on behind it, once
// the instance stops or gets a configuration.
func TestRequestBehindTheLastAnswerIsNotSentOn(t *testing.T) {
	for name, happen := range map[string]func(t *testing.T, r *rig){
		"stop":                     func(_ *testing.T, r *rig) { r.entry.front.leave() },
		"stop and reload":          func(t *testing.T, r *rig) { r.entry.front.leave(); startReloadable(t, r.entry.settings)() },
		"stop and a route removed": func(_ *testing.T, r *rig) { r.entry.front.leave(); r.setPlan(2, planOf(2, "/other/", callerTime)) },
		"overload":                 func(_ *testing.T, r *rig) { r.entry.front.relay.SetLoadLevel(strain.Overloaded) },
		"strain":                   func(_ *testing.T, r *rig) { r.entry.front.relay.SetLoadLevel(strain.Strained) },
	} {
		t.Run(name, func(t *testing.T) {
			r := startRig(t, false, false, true)
			c := r.connect(t)
			send(t, c, whole)
			<-r.reached
			happen(t, r)
			send(t, c, whole)
			r.release()
			_ = c.SetReadDeadline(time.Now().Add(time.Minute))
			all, err := io.ReadAll(c)
			if err != nil {
				t.Fatal(err)
			}
			in := bufio.NewReader(strings.NewReader(string(all)))
			res, err := http.ReadResponse(in, nil)
			if err != nil {
				t.Fatal(err)
			}
			body, err := io.ReadAll(res.Body)
			_ = res.Body.Close()
			if err != nil || res.StatusCode != http.StatusOK || string(body) != "halfrest" || !res.Close || in.Buffered() != 0 {
				t.Errorf("got %d %q %v, close %t, and %d bytes behind it", res.StatusCode, body, err, res.Close, in.Buffered())
			}
			if len(r.reached) != 0 {
				t.Error("the second request was sent on")
			}
		})
	}
}

// Timeouts of connections that tests wait for. Headers are sent within headerTimeout also on a busy machine.
const (
	shortTimeout  = 50 * time.Millisecond
	headerTimeout = 2 * time.Second
)

// serveWithTimeouts serves the rig's requests with other timeouts of connections.
func (r *rig) serveWithTimeouts(t *testing.T, header, idle time.Duration) {
	t.Helper()
	handler, _ := r.entry.front.handler(r.entry.front.relay)
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r.listener = newShedListener(inner, never, r.listener.limits)
	s := &http.Server{Handler: handler, ReadHeaderTimeout: header, IdleTimeout: idle, ConnContext: connContext}
	ended := make(chan error, 1)
	go func() { ended <- s.Serve(r.listener) }()
	t.Cleanup(func() {
		_ = s.Close()
		<-ended
	})
}

// Guards against a part of a header that is held for ever, or sent on, at its timeout.
func TestHeaderThatIsLateIsNotSentOn(t *testing.T) {
	r := startRig(t, false, false, true)
	r.release()
	r.serveWithTimeouts(t, shortTimeout, time.Minute)
	c := r.connect(t)
	_, _ = io.WriteString(c, whole[:30]) // may fail, for the other side may have closed
	if status, err := readAnswer(c); err == nil {
		t.Errorf("got %d", status)
	}
	if len(r.reached) != 0 {
		t.Error("half a request was sent on")
	}
}

// Guards against a whole request that ends at a timeout of its connection while it is served.
func TestTimeoutsOfConnectionsTouchNoWholeRequest(t *testing.T) {
	for state := range map[string]bool{"sent and unanswered": true, "answering": true, "streaming": true, "body being read": true} {
		t.Run(state, func(t *testing.T) {
			r := startRig(t, state == "answering", state == "streaming", true)
			t.Parallel()
			r.serveWithTimeouts(t, headerTimeout, shortTimeout)
			c := states[state](t, r, func() { time.Sleep(headerTimeout + shortTimeout) })
			if status, err := readAnswer(c); err != nil || status != http.StatusOK {
				t.Errorf("got %d %v", status, err)
			}
		})
	}
}

// Guards against a request that crosses the idle timeout, gets no answer and is sent on: it is served, or isn't read.
func TestRequestThatCrossesTheIdleTimeoutIsAnsweredOrNotRead(t *testing.T) {
	const rounds = 40
	served := 0
	for n := range rounds {
		r := startRig(t, false, false, true)
		r.release()
		r.serveWithTimeouts(t, time.Minute, shortTimeout)
		c := r.connect(t)
		send(t, c, whole)
		if status, err := readAnswer(c); err != nil || status != http.StatusOK {
			t.Fatalf("the first got %d %v", status, err)
		}
		<-r.reached
		time.Sleep(shortTimeout + time.Duration(n-rounds/2)*50*time.Microsecond)
		_, _ = io.WriteString(c, whole) // may fail, for the other side has closed
		status, err := readAnswer(c)
		switch {
		case err == nil && status == http.StatusOK:
			served++
		case err == nil:
			t.Errorf("got %d", status)
		case len(r.reached) != 0:
			t.Errorf("a request was sent on and got %v", err)
		}
	}
	t.Logf("%d of %d were served", served, rounds)
}
