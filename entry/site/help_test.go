package site

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"magnoliastall.example/agent/keep"
	"magnoliastall.example/magno"
	"magnoliastall.example/magno/wire"
)

// machine is a machine with an engine, which answers over HTTP, and its agent.
type machine struct {
	ip, address string
	// wrong counts the requests that were meant for another incarnation.
	wrong int

	mu sync.Mutex
	// incarnation is the number of the engine's current one, from 1 on.
	incarnation int
	loaded      map[string]bool
	model       bool
	orders      int64

	stopEngine, stopAgent func()
}

// startMachine starts a machine with the first incarnation of its engine. agentPort is the same on all machines.
func startMachine(t *testing.T, n, agentPort int) *machine {
	t.Helper()
	m := &machine{ip: machineIP(n), incarnation: 1, loaded: map[string]bool{}}
	m.address = freeAddress(t, m.ip)
	m.startEngine(t)
	t.Cleanup(func() { m.stopEngine() })
	m.startAgent(t, agentPort)
	t.Cleanup(func() { m.stopAgent() })
	return m
}

// startEngine makes the engine accept connections.
func (m *machine) startEngine(t *testing.T) {
	t.Helper()
	l, err := net.Listen("tcp", m.address)
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: m, ReadHeaderTimeout: time.Minute}
	done := make(chan error, 1)
	go func() { done <- server.Serve(l) }()
	m.stopEngine = sync.OnceFunc(func() {
		_ = server.Close()
		<-done
	})
}

// startAgent starts the agent without a spec.
func (m *machine) startAgent(t *testing.T, port int) {
	t.Helper()
	clock := magno.NewMonotonic()
	mesh := &wire.Mesh{Listen: net.JoinHostPort(m.ip, strconv.Itoa(port)), Clock: clock}
	for end := time.Now().Add(time.Minute); ; time.Sleep(time.Millisecond) {
		err := mesh.Open()
		if err == nil {
			break
		}
		if time.Now().After(end) {
			t.Fatal(err)
		}
	}
	k := &keep.Controller{Self: "agent", Engine: m, Mesh: mesh, Clock: clock, Log: slog.New(slog.DiscardHandler), Fence: 1}
	k.Open()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 2)
	go func() { done <- mesh.Run(ctx) }()
	go func() { done <- k.Run(ctx) }()
	m.stopAgent = sync.OnceFunc(func() {
		cancel()
		for range 2 {
			if err := <-done; err != nil {
				t.Error(err)
			}
		}
	})
}

// restart starts the next incarnation of the engine, with nothing loaded. Its connections are closed.
func (m *machine) restart(t *testing.T) {
	t.Helper()
	m.stopEngine()
	m.mu.Lock()
	m.incarnation++
	m.loaded, m.model, m.orders = map[string]bool{}, false, 0
	m.mu.Unlock()
	m.startEngine(t)
}

// machineIP is the address of the nth machine.
func machineIP(n int) string { return fmt.Sprintf("127.0.0.%d", 10+n) }

// machineID is the ID of an incarnation of the engine of a machine.
func machineID(ip string, incarnation int) string { return fmt.Sprintf("%s-%d", ip, incarnation) }

// replica is the engine's current incarnation in the platform's list.
func (m *machine) replica() *magno.Replica {
	m.mu.Lock()
	defer m.mu.Unlock()
	return &magno.Replica{ID: machineID(m.ip, m.incarnation), StartedAt: magno.Millis(m.incarnation), Service: "s", Address: m.address, DataCentre: "x", Slots: 16, Since: magno.Revision(m.incarnation)}
}

// Report implements magno.EngineClient.
func (m *machine) Report(context.Context) (*magno.Report, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	r := &magno.Report{StartedAt: magno.Millis(m.incarnation), Orders: m.orders, Loaded: map[string]map[string]int64{}}
	if m.model {
		r.Loaded["m"] = map[string]int64{}
		for name := range m.loaded {
			r.Loaded["m"][name] = 1
		}
	}
	return r, nil
}

// Order implements magno.EngineClient.
func (m *machine) Order(_ context.Context, c magno.Command) (magno.Outcome, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.orders++
	switch {
	case c.Adapter == "":
		m.model = c.Load
	case c.Load:
		m.loaded[c.Adapter] = true
	default:
		delete(m.loaded, c.Adapter)
	}
	return magno.OrderDone, nil
}

// ServeHTTP streams one event, to a request for the current incarnation only.
func (m *machine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	m.mu.Lock()
	wrong := r.Header.Get("Only") != machineID(m.ip, m.incarnation)
	if wrong {
		m.wrong++
	}
	m.mu.Unlock()
	w.Header().Set("Id", r.Header.Get("Id"))
	w.Header().Set("Signed", "1")
	if wrong {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	_, _ = w.Write([]byte("id: 1\ndata: x\n\n"))
}

// plainDialect is a dialect with short header names.
type plainDialect struct{}

func (plainDialect) Read(h http.Header) magno.Call {
	return magno.Call{ID: h.Get("Id"), Left: callerTime, Model: "m", Adapter: h.Get("Adapter"), Prompt: 100, Output: 50}
}

func (plainDialect) Write(h http.Header, o magno.ForwardInfo) { h.Set("Only", o.Replica) }

func (plainDialect) Reply(status int, h http.Header) magno.Reply {
	return magno.Reply{ID: h.Get("Id"), Signed: h.Get("Signed") != "", NotRun: status == http.StatusMisdirectedRequest, Misrouted: status == http.StatusMisdirectedRequest}
}

// fakeSite is a platform. Without a list, tests change the books of entries themselves.
type fakeSite struct{ list magno.Lister }

func (fakeSite) Settings() (*magno.SiteSettings, error) { return &magno.SiteSettings{}, nil }
func (s fakeSite) Lister(string) magno.Lister           { return s.list }
func (fakeSite) Engine(string) magno.EngineClient       { return nil }
func (fakeSite) Dialect() magno.Dialect                 { return plainDialect{} }
func (fakeSite) ReadyPath() string                      { return "/ready" }

// testPlan is a configuration with one route to one pool.
func testPlan() *magno.Plan {
	return &magno.Plan{Version: 1, Routes: []magno.Route{{
		Name: "r", Host: "h.example", Prefix: "/p/", Kind: magno.RouteStream, Parts: []magno.Part{{Service: "s", Weight: 1}},
		Attempts: 2, Timeout: callerTime, Aim: callerAim, Gap: magno.Second,
	}}, Services: []magno.Service{{Name: "s", Engine: &magno.Engine{
		Models: []magno.Model{{Name: "m", Size: 10, Adapter: 1}}, Slots: 8, Memory: 1000, Tokens: 100000, Batch: 16,
	}}}}
}

// startEntry starts an entry without the task that listens for callers, and without the one that reads
// the list if that is nil.
func startEntry(t *testing.T, list magno.Lister, name, address string, agentPort int, seeds ...string) *entry {
	t.Helper()
	e := assemble(fakeSite{list}, &magno.SiteSettings{
		Name: name, DataCentre: name, PeerAddress: address, InternalPort: agentPort, Seeds: seeds, RetryRatio: 1, RetrySlack: 100, RetryWindow: magno.Second,
	}, slog.New(slog.NewTextHandler(newFailures(t), nil)))
	if err := e.mesh.Open(); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	tasks := []magno.Task{e.mesh, e.peers, e.desk, e.lease, e.limit, e.resume, &follower{e}}
	if list != nil {
		tasks = append(tasks, e.reader)
	}
	done := make(chan error, len(tasks))
	for _, task := range tasks {
		go func() { done <- task.Run(ctx) }()
	}
	t.Cleanup(func() {
		cancel()
		for range tasks {
			if err := <-done; err != nil {
				t.Error(err)
			}
		}
	})
	return e
}

// failures writes the lines of requests that were not served, and of sends without an answer, to the
// log of the test, until the test ends: handlers of a server that was closed may still run then.
type failures struct {
	t *testing.T

	mu    sync.Mutex
	ended bool
}

func newFailures(t *testing.T) *failures {
	t.Helper()
	f := &failures{t: t}
	t.Cleanup(func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.ended = true
	})
	return f
}

func (f *failures) Write(p []byte) (int, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.ended {
		return len(p), nil
	}
	if line := string(p); strings.Contains(line, "msg=try ") || strings.Contains(line, "msg=request ") && !strings.Contains(line, "status=200") {
		f.t.Log(strings.TrimSpace(line))
	}
	return len(p), nil
}

// freeAddress returns an address that was free a moment ago.
func freeAddress(t *testing.T, ip string) string {
	t.Helper()
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

func waitFor(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(time.Minute); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("timed out waiting for " + what)
		}
	}
}
