package site

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"magnoliastall.example/magno"
	"magnoliastall.example/magno/shed"
	"magnoliastall.example/magno/strain"
)

// planOf is a configuration with a plain service at which requests may run once.
func planOf(version int64, prefix string, timeout magno.Millis) *magno.Plan {
	return &magno.Plan{Version: version, Routes: []magno.Route{{
		Name: "r", Host: "h.example", Prefix: prefix, Kind: magno.RouteOnce, Parts: []magno.Part{{Service: "s", Weight: 1}},
		Attempts: 2, Timeout: timeout, Aim: callerAim, Gap: magno.Second,
	}}, Services: []magno.Service{{Name: "s"}}}
}

// rig is an entry with one upstream that answers once it is told to.
type rig struct {
	entry         *entry
	listener      *shedListener
	upstream      *httptest.Server
	reached, next chan struct{}
	release       func()
}

func startRig(t *testing.T, half, stream, withPlan bool) *rig {
	t.Helper()
	r := &rig{reached: make(chan struct{}, 4), next: make(chan struct{})}
	r.release = sync.OnceFunc(func() { close(r.next) })
	r.upstream = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		_, _ = io.Copy(io.Discard, req.Body)
		w.Header().Set("Id", req.Header.Get("Id"))
		w.Header().Set("Signed", "1")
		if stream {
			w.Header().Set("Content-Type", "text/event-stream")
			_, _ = io.WriteString(w, "id: 1\ndata: x\n\n")
			_ = http.NewResponseController(w).Flush()
			r.reached <- struct{}{}
			<-r.next
			_, _ = io.WriteString(w, "id: 2\ndata: x\n\n")
			return
		}
		w.Header().Set("Content-Length", "8")
		if half {
			_, _ = io.WriteString(w, "half")
			_ = http.NewResponseController(w).Flush()
		}
		r.reached <- struct{}{}
		<-r.next
		if !half {
			_, _ = io.WriteString(w, "half")
		}
		_, _ = io.WriteString(w, "rest")
	}))
	t.Cleanup(r.upstream.Close)
	t.Cleanup(r.release)
	r.entry = startEntry(t, nil, "e", freeAddress(t, "127.0.0.2"), 1)
	r.entry.settings.Grace = magno.Minute
	r.entry.front.settings.Grace = magno.Minute
	if withPlan {
		p := planOf(1, "/p/", callerTime)
		if stream {
			p.Routes[0].Kind = magno.RouteStream
		}
		r.setPlan(1, p)
	}
	handler, _ := r.entry.front.handler(r.entry.front.relay)
	r.listener = startShedServer(t, r.entry.front.relay.LoadLevel, shed.DefaultLimits, handler)
	return r
}

// setPlan puts a configuration in force, with the upstream.
func (r *rig) setPlan(revision magno.Revision, p *magno.Plan) {
	replica := &magno.Replica{ID: "u", Service: "s", Address: r.upstream.Listener.Addr().String(), DataCentre: "e", Slots: 4}
	r.entry.book.ApplyRead([]magno.Change{{Key: "plan", Revision: revision, Plan: p}, {Key: "u", Revision: 1, Replica: replica}}, revision, true)
}

// states bring a request to a state, call event there, and let it go on.
var states = map[string]func(t *testing.T, r *rig, event func()) net.Conn{
	"in the accept queue": func(t *testing.T, r *rig, event func()) net.Conn {
		r.listener.mu.Lock()
		r.listener.limits = shed.Limits{}
		r.listener.mu.Unlock()
		r.entry.front.relay.SetLoadLevel(strain.Overloaded)
		r.connect(t) // the accept that had begun takes it
		c := r.connect(t)
		r.release()
		send(t, c, whole)
		event()
		r.entry.front.relay.SetLoadLevel(strain.Normal)
		return c
	},
	"header being read": func(t *testing.T, r *rig, event func()) net.Conn {
		c := r.connect(t)
		r.release()
		send(t, c, whole[:30])
		event()
		send(t, c, whole[30:])
		return c
	},
	"body being read": func(t *testing.T, r *rig, event func()) net.Conn {
		c := r.connect(t)
		r.release()
		send(t, c, whole[:len(whole)-2])
		waitFor(t, "the header", func() bool { return r.entry.front.relay.Active() == 1 })
		event()
		send(t, c, whole[len(whole)-2:])
		return c
	},
	"first configuration": func(t *testing.T, r *rig, event func()) net.Conn {
		c := r.connect(t)
		r.release()
		send(t, c, whole)
		waitFor(t, "the request", func() bool { return r.entry.front.relay.Active() == 1 })
		event()
		r.setPlan(9, planOf(9, "/p/", callerTime))
		return c
	},
	"sent and unanswered": atUpstream,
	"answering":           atUpstream,
	"streaming": func(t *testing.T, r *rig, event func()) net.Conn {
		c := r.connect(t)
		send(t, c, whole)
		<-r.reached
		begun := bufferedConn{Conn: c, in: bufio.NewReader(c)}
		begun.awaitEvent(t)
		event()
		r.release()
		return begun
	},
	"second request": func(t *testing.T, r *rig, event func()) net.Conn {
		c := r.connect(t)
		r.release()
		send(t, c, whole)
		if status, err := readAnswer(c); err != nil || status != http.StatusOK {
			t.Fatalf("the first got %d %v", status, err)
		}
		event()
		send(t, c, whole)
		return c
	},
}

// bufferedConn is a connection of whose input a part was read ahead.
type bufferedConn struct {
	net.Conn
	in *bufio.Reader
}

func (c bufferedConn) Read(p []byte) (int, error) { return c.in.Read(p) }

// awaitEvent reads ahead until the first event of a stream has come.
func (c bufferedConn) awaitEvent(t *testing.T) {
	t.Helper()
	for n := 1; ; n++ {
		b, err := c.in.Peek(n)
		if err != nil {
			t.Fatalf("no event came, got %q: %v", b, err)
		}
		if bytes.HasSuffix(b, []byte("data: x\n\n")) {
			return
		}
	}
}

// atUpstream calls event while the upstream has a request.
func atUpstream(t *testing.T, r *rig, event func()) net.Conn {
	t.Helper()
	c := r.connect(t)
	send(t, c, whole)
	<-r.reached
	event()
	r.release()
	return c
}

// connect opens a connection to the entry.
func (r *rig) connect(t *testing.T) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", r.listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return c
}

const whole = "POST /p/1 HTTP/1.1\r\nHost: h.example\r\nId: 1\r\nContent-Length: 4\r\n\r\nbody"

func send(t *testing.T, c net.Conn, text string) {
	t.Helper()
	if _, err := fmt.Fprint(c, text); err != nil {
		t.Error(err)
	}
}

// Guards against connections of whole requests that end without an answer while the instance is
// overloaded, stops, or gets a configuration.
func TestWholeRequestIsAnsweredWhateverHappens(t *testing.T) {
	events := map[string]func(r *rig){
		"overload":          func(r *rig) { r.entry.front.relay.SetLoadLevel(strain.Overloaded) },
		"strain":            func(r *rig) { r.entry.front.relay.SetLoadLevel(strain.Strained) },
		"stop":              func(r *rig) { r.entry.front.leave() },
		"route removed":     func(r *rig) { r.setPlan(2, planOf(2, "/other/", callerTime)) },
		"shorter timeout":   func(r *rig) { r.setPlan(2, planOf(2, "/p/", magno.Second)) },
		"service removed":   func(r *rig) { p := planOf(2, "/p/", callerTime); p.Services = nil; r.setPlan(2, p) },
		"upstream unlisted": func(r *rig) { r.entry.book.ApplyRead([]magno.Change{{Key: "u", Revision: 2, Deleted: true}}, 2, false) },
		"nothing":           func(*rig) {},
	}
	for state, bring := range states {
		for event, happen := range events {
			t.Run(state+"/"+event, func(t *testing.T) {
				r := startRig(t, state == "answering", state == "streaming", state != "first configuration")
				c := bring(t, r, func() { happen(r) })
				status, err := readAnswer(c)
				if err != nil {
					t.Fatalf("no whole answer: %d %v", status, err)
				}
				t.Logf("%s, %s: %d", state, event, status)
				if (state == "sent and unanswered" || state == "answering" || state == "streaming") && status != http.StatusOK {
					t.Errorf("got %d though the upstream answers", status)
				}
			})
		}
	}
}

// Guards against a connection that closes behind its last answer and takes that away from a caller that
// has sent its next request already. That request isn't read.
func TestRequestBehindTheLastAnswerTakesNothingAway(t *testing.T) {
	r := startRig(t, false, false, true)
	r.entry.front.relay.SetLoadLevel(strain.Strained)
	c := r.connect(t)
	send(t, c, whole)
	<-r.reached
	send(t, c, whole)
	r.release()
	if status, err := readAnswer(c); err != nil || status != http.StatusOK {
		t.Errorf("got %d %v", status, err)
	}
	waitFor(t, "the end of the connection", func() bool {
		_, err := c.Read(make([]byte, 1))
		return err != nil
	})
	if len(r.reached) != 0 {
		t.Error("the second request was sent on")
	}
}

// Guards against an answer whose end is taken away from a caller that reads slowly, for its next request
// is unread when the connection is closed.
func TestAnswerToASlowCallerIsWholeThoughItsNextRequestIsUnread(t *testing.T) {
	const size = 8 << 20
	var read, written atomic.Bool
	l := startShedServer(t, never, shed.DefaultLimits, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		read.Store(true)
		w.Header().Set("Connection", "close")
		_, _ = w.Write(make([]byte, size))
		written.Store(true)
	}))
	c, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	send(t, c, whole)
	waitFor(t, "the first request", read.Load)
	send(t, c, whole)
	got, part := 0, make([]byte, 64<<10)
	for !written.Load() {
		n, err := c.Read(part)
		if got += n; err != nil {
			t.Fatal(err)
		}
	}
	time.Sleep(100 * time.Millisecond) // the connection is closed meanwhile
	rest, err := io.ReadAll(c)
	if got += len(rest); err != nil || got < size {
		t.Errorf("got %d bytes of more than %d: %v", got, size, err)
	}
}
