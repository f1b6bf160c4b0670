package relay

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"magnoliastall.example/entry/desk"
	"magnoliastall.example/entry/hop"
	"magnoliastall.example/magno"
	"magnoliastall.example/magno/crash"
	"magnoliastall.example/magno/gate"
	"magnoliastall.example/magno/view"
)

// plainDialect has short header names of its own.
type plainDialect struct{}

func (plainDialect) Read(h http.Header) magno.Call {
	h.Del("Only")
	h.Del("Customer")
	return magno.Call{ID: h.Get("Id"), Left: 2000, Model: "m", Adapter: "a", Prompt: 100, Output: 50, Key: h.Get("Authorization")}
}

func (plainDialect) Write(h http.Header, o magno.Onward) {
	h.Set("Only", o.Replica)
	if o.Keyed {
		h.Del("Authorization")
	}
	if o.Customer != "" {
		h.Set("Customer", o.Customer)
	}
	if o.From != "" {
		h.Set("From", o.From)
	}
}

func (plainDialect) Reply(status int, h http.Header) magno.Reply {
	return magno.Reply{
		ID: h.Get("Id"), NotRun: h.Get("Not-Run") != "", Signed: h.Get("Signed") != "",
		Elsewhere: status == http.StatusMisdirectedRequest,
	}
}

// pools sends to the replicas in order.
type pools struct {
	mu    sync.Mutex
	names []string
	allow int
	// open is the work that each replica was told to have.
	open map[string]int
	// most is the wait that the first is worth, last has a replica chosen last.
	most magno.Millis
	last map[string]bool
}

func (p *pools) Router(string) magno.Chooser { return p }
func (p *pools) CountRequest(string)         {}
func (p *pools) AllowRetry(string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.allow--
	return p.allow >= 0
}
func (p *pools) Update([]magno.Target) {}
func (p *pools) Route(q magno.Query) []string {
	var list []string
	for _, n := range p.names {
		avoided := false
		for _, a := range q.Avoid {
			avoided = avoided || a == n
		}
		if !avoided {
			list = append(list, n)
		}
	}
	return list
}
func (p *pools) Choose(q magno.Query) magno.Choice {
	p.mu.Lock()
	defer p.mu.Unlock()
	names := p.Route(q)
	slices.SortStableFunc(names, func(a, b string) int {
		switch {
		case p.last[a] == p.last[b]:
			return 0
		case p.last[a]:
			return 1
		}
		return -1
	})
	return magno.Choice{Names: names, Most: p.most}
}
func (p *pools) Report(string, magno.Backlog) {}
func (p *pools) Sent(name string, work int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.open == nil {
		p.open = map[string]int{}
	}
	p.open[name] += work
}
func (p *pools) work(name string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open[name]
}
func (p *pools) Ended(name string, work int, _ magno.Millis, _ bool) { p.Sent(name, -work) }

// permits lets everything through, after during has run, but what a replica in
// full asks for.
type permits struct {
	during func(key string)
	dead   bool
	full   map[string]bool
	// declines is told of each ask that may be declined, and says whether it is.
	declines func(key string) bool
}

func (p *permits) Acquire(_ context.Context, key string, ask gate.Request) (*gate.PermitReply, error) {
	if p.declines != nil && ask.DeclineAbove > 0 && p.declines(key) {
		return &gate.PermitReply{Declined: true}, nil
	}
	if p.dead {
		return nil, desk.ErrAgentLost
	}
	if p.during != nil {
		p.during(key)
	}
	if p.full[key] {
		return &gate.PermitReply{Refusal: magno.Refuse(magno.KindBusy, "full").Later(100)}, nil
	}
	return &gate.PermitReply{}, nil
}
func (p *permits) Release(string, gate.EndCall) {}
func (p *permits) Holds(string, string) bool    { return true }
func (p *permits) Down(string) bool             { return false }
func (p *permits) ReportUnreachable(string)     {}

// upstream answers each request on a connection with what script writes, and
// counts requests.
type upstream struct {
	addr string
	mu   sync.Mutex
	got  []*http.Request
}

func serveUpstream(t testing.TB, script func(n int, r *http.Request, c net.Conn) bool) *upstream {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	u := &upstream{addr: l.Addr().String()}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go u.serve(c, script)
		}
	}()
	return u
}

func (u *upstream) serve(c net.Conn, script func(int, *http.Request, net.Conn) bool) {
	defer c.Close()
	br := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		_, _ = io.ReadAll(r.Body)
		u.mu.Lock()
		u.got = append(u.got, r)
		n := len(u.got)
		u.mu.Unlock()
		if !script(n, r, c) {
			return
		}
	}
}

func (u *upstream) count() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return len(u.got)
}

// whole writes an answer with the request's id and a signature.
func whole(c net.Conn, id string, status int, body string) {
	fmt.Fprintf(c, "HTTP/1.1 %d x\r\nId: %s\r\nSigned: 1\r\nContent-Length: %d\r\n\r\n%s", status, id, len(body), body)
}

// head begins a stream.
func head(c net.Conn, id string) {
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nSigned: %s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", id, id)
}

func chunk(c net.Conn, text string) { fmt.Fprintf(c, "%x\r\n%s\r\n", len(text), text) }

func event(n int) string { return fmt.Sprintf("id: %d\ndata: x%d\n\n", n, n) }

// site is a relay before its upstreams.
type site struct {
	*Handler
	pools   *pools
	permits *permits
	server  *httptest.Server
	changes []magno.Change
}

func newSite(t testing.TB, kind magno.RouteKind, resume bool, ups ...*upstream) *site {
	t.Helper()
	clock := magno.NewSteady()
	s := &site{pools: &pools{allow: 10}, permits: &permits{}}
	plan := &magno.Plan{Version: 1, Routes: []magno.Route{{
		Name: "r", Host: "h.example", Prefix: "/p/", Kind: kind, Parts: []magno.Part{{Service: "s", Weight: 1}},
		Attempts: 2, Timeout: 1500, Aim: 200, Gap: 100, Resume: resume,
	}}, Services: []magno.Service{{Name: "s"}}}
	if kind == magno.KindStream {
		plan.Services[0].Engine = &magno.Engine{Batch: 4}
	}
	s.changes = []magno.Change{{Key: "plan", Revision: 1, Plan: plan}}
	for i, u := range ups {
		r := &magno.Replica{ID: fmt.Sprintf("u%d", i), Service: "s", Address: u.addr, DataCentre: "x", Slots: 4}
		s.pools.names = append(s.pools.names, r.Key())
		s.changes = append(s.changes, magno.Change{Key: r.ID, Revision: 1, Replica: r})
	}
	book := &view.Book{Clock: clock}
	book.Read(s.changes, 1, true)
	s.Handler = &Handler{
		Name: "e", Clock: clock, Book: book, Dialect: plainDialect{}, Conns: &hop.Pool{Clock: clock}, Permits: s.permits,
		Pools: s.pools, Suspects: &crash.Suspects{Clock: &magno.Clock{}}, Log: slog.New(slog.DiscardHandler),
	}
	s.server = httptest.NewServer(s.Handler)
	t.Cleanup(s.server.Close)
	return s
}

// got is the head of an answer.
type got struct {
	StatusCode int
	Header     http.Header
	Close      bool
}

// get sends a request and returns status, header and body; the error tells that
// the answer broke off.
func (s *site) get(t testing.TB, method, id string) (*got, string, error) {
	t.Helper()
	return s.ask(t, method, "/p/1", id, "")
}

// ask is get with a path and an Authorization header.
func (s *site) ask(t testing.TB, method, path, id, key string) (*got, string, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	var body io.Reader
	if method == http.MethodPost {
		body = strings.NewReader("body")
	}
	req, err := http.NewRequestWithContext(ctx, method, s.server.URL+path, body)
	if err != nil {
		t.Fatal(err)
	}
	req.Host = "h.example"
	req.Header.Set("Id", id)
	req.Header.Set("Only", "forged")
	req.Header.Set("Customer", "forged")
	if key != "" {
		req.Header.Set("Authorization", key)
	}
	res, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		return nil, "", err
	}
	defer res.Body.Close()
	text, err := io.ReadAll(res.Body)
	return &got{res.StatusCode, res.Header, res.Close}, string(text), err
}

// oneEvent answers with a stream of one event.
func oneEvent(_ int, r *http.Request, c net.Conn) bool {
	head(c, r.Header.Get("Id"))
	chunk(c, event(1))
	fmt.Fprint(c, "0\r\n\r\n")
	return true
}

func until(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(time.Minute); !ok(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("waited in vain for " + what)
		}
	}
}
