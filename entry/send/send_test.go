package send

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"

	"magnoliastall.example/magno"
	"magnoliastall.example/magno/crash"
	"magnoliastall.example/magno/fleet"
	"magnoliastall.example/magno/retry"
	"magnoliastall.example/magno/wire"
)

// testTimeout is only reached if something is broken.
const testTimeout = 30 * magno.Second

// router returns the agents in order, without those to be avoided.
type router struct {
	names []string
	// reports gets each report if it isn't nil.
	reports chan magno.BacklogReport
}

func (r *router) Update([]magno.Target) {}
func (r *router) Route(q magno.Query) []string {
	for _, name := range r.names {
		if !strings.Contains(strings.Join(q.Avoid, " "), name) {
			return []string{name}
		}
	}
	return nil
}
func (r *router) Report(name string, b magno.Backlog) {
	if r.reports != nil {
		r.reports <- magno.BacklogReport{Agent: name, Backlog: b}
	}
}
func (r *router) Sent(string, int)                      {}
func (r *router) Ended(string, int, magno.Millis, bool) {}
func (r *router) Homes(_ magno.Query, _ string, n int) []string {
	return r.names[:min(n, len(r.names))]
}

// harness is a sender with agents a, b, ... that answer as scripted; x is an agent that
// can't be reached.
type harness struct {
	sender *Sender
	budget *retry.Budget
	// stream sends the parts after the first; if nil, none are sent.
	stream func(ctx context.Context, peer *wire.Peer)
	// from gets where the caller of each run takes reports, if it isn't nil.
	from chan string

	mu sync.Mutex
	// calls lists the agents called, in order; scripts holds the answers of each, the
	// last of which is repeated.
	calls   []string
	scripts map[string][]func(context.Context) (any, error)
}

func newHarness(t *testing.T, names string, scripts map[string][]func(context.Context) (any, error)) *harness {
	t.Helper()
	h := &harness{scripts: scripts, budget: &retry.Budget{Base: 1, Cap: 1}}
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	t.Cleanup(wg.Wait)
	t.Cleanup(cancel)
	run := func(d magno.Task) {
		wg.Add(1)
		go func() { defer wg.Done(); _ = d.Run(ctx) }()
	}
	instances := []magno.Instance{}
	for name := range strings.SplitSeq(names, "") {
		in := magno.Instance{Name: name, Role: magno.RoleAgent, Pool: "p", State: magno.InstanceLive, Address: "127.0.0.1:1"}
		if name != "x" {
			m := &wire.Mesh{Listen: "127.0.0.1:0"}
			m.Handle(magno.MethodRun, func(ctx context.Context, peer *wire.Peer, params json.RawMessage) (any, error) {
				h.note(params)
				if h.stream != nil {
					_ = peer.Notify(ctx, magno.MethodPart, magno.RunPart{Seq: 1, Piece: magno.Piece{Text: "t"}})
					h.stream(ctx, peer)
				}
				return h.answer(ctx, name)
			})
			m.Handle(magno.MethodTicket, func(ctx context.Context, _ *wire.Peer, _ json.RawMessage) (any, error) { return hang(ctx) })
			if err := m.Open(); err != nil {
				t.Fatal(err)
			}
			run(m)
			in.Address = m.Addr()
		}
		instances = append(instances, in)
	}
	list := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(rw).Encode(map[string]any{"revision": 1, "instances": instances})
	}))
	t.Cleanup(list.Close)
	log := slog.New(slog.DiscardHandler)
	fl := &fleet.Fleet{URL: list.URL, Clock: &magno.Clock{}, Log: log}
	run(fl)
	for end := time.Now().Add(testTimeout.Duration()); len(fl.LiveAgents("p")) < len(instances); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("timed out waiting for the instance list")
		}
	}
	mesh := &wire.Mesh{}
	run(mesh)
	r := &router{names: strings.Split(names, "")}
	h.sender = &Sender{
		Clock: &magno.Clock{}, Mesh: mesh, Fleet: fl, Attempts: 3,
		Router: func(string) magno.Router { return r }, Budget: func(string) *retry.Budget { return h.budget },
		Suspects: &crash.Suspects{Clock: &magno.Clock{}},
	}
	return h
}

func (h *harness) note(params json.RawMessage) {
	if h.from == nil {
		return
	}
	var call magno.RunCall
	_ = json.Unmarshal(params, &call)
	h.from <- call.From
}

func (h *harness) answer(ctx context.Context, name string) (any, error) {
	h.mu.Lock()
	h.calls = append(h.calls, name)
	script := h.scripts[name]
	if len(script) > 1 {
		h.scripts[name] = script[1:]
	}
	h.mu.Unlock()
	return script[0](ctx)
}

func (h *harness) callOrder() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return strings.Join(h.calls, "")
}

func (h *harness) do(key string, left magno.Millis) (magno.Result, *magno.Refusal) {
	work := magno.Work{Job: magno.Job{ID: "id", Fingerprint: 7}}
	r := Request{Work: work, Pool: "p", Key: key, Deadline: h.sender.Clock.Now() + left}
	result, _, refusal := h.sender.Do(context.Background(), r, func(magno.Piece) {})
	return result, refusal
}

func ok(context.Context) (any, error) {
	return magno.RunReply{Result: &magno.Result{Text: "t"}, Sum: xxhash.Sum64String("t")}, nil
}

func refuse(kind magno.Kind, run magno.Run) func(context.Context) (any, error) {
	return func(context.Context) (any, error) {
		return magno.RunReply{Refusal: magno.Refuse(kind, "by script").WithRun(run)}, nil
	}
}

func heldBy(holder string) func(context.Context) (any, error) {
	return func(context.Context) (any, error) {
		refusal := magno.Refuse(magno.KindUnknown, "held elsewhere")
		return magno.RunReply{Refusal: refusal, Holder: holder}, nil
	}
}

// meshRefuses is a refusal of the transport, which the agent's ledger doesn't know of.
func meshRefuses(context.Context) (any, error) {
	return nil, magno.Refuse(magno.KindBusy, "too many calls")
}

// ends is an agent whose upstream ends under the work.
func ends(upstream uint64) []func(context.Context) (any, error) {
	return []func(context.Context) (any, error){func(context.Context) (any, error) {
		refusal := magno.Refuse(magno.KindInterrupted, "by script")
		return magno.RunReply{Refusal: refusal, Ended: &magno.UpstreamEnd{Upstream: upstream}}, nil
	}}
}

func hang(ctx context.Context) (any, error) { <-ctx.Done(); return nil, ctx.Err() }

type script = map[string][]func(context.Context) (any, error)

// Guards against sending a request on under which three upstreams ended, against refusing one after
// fewer, and against counting ends before it completed.
func TestEndsUnderARequest(t *testing.T) {
	served := []func(context.Context) (any, error){ok}
	h := newHarness(t, "abcd", script{"a": ends(1), "b": ends(2), "c": ends(3), "d": served})
	h.sender.Attempts = 2
	if _, refusal := h.do("", testTimeout); refusal == nil || refusal.Kind != magno.KindInterrupted {
		t.Fatalf("two ends: %v, want it to be interrupted", refusal)
	}
	h.sender.Attempts = 4
	if _, refusal := h.do("", testTimeout); refusal == nil || refusal.Kind != magno.KindSuspect || refusal.Run != magno.RunUnknown || h.callOrder() != "ababc" {
		t.Fatalf("the third end: %v after calls %q", refusal, h.callOrder())
	}
	before := h.callOrder()
	if _, refusal := h.do("", testTimeout); refusal == nil || refusal.Kind != magno.KindSuspect || refusal.Run != magno.RunNo {
		t.Errorf("after three ends: %v, want %s", refusal, magno.KindSuspect)
	}
	if got := h.callOrder(); got != before {
		t.Errorf("called %q after the third end", got[len(before):])
	}

	h = newHarness(t, "abcd", script{"a": ends(1), "b": ends(2), "c": served, "d": served})
	if _, refusal := h.do("", testTimeout); refusal != nil || h.sender.Suspects.Count(7) != 0 {
		t.Errorf("served after two ends: %v, %d ends still count", refusal, h.sender.Suspects.Count(7))
	}
}

// An attempt fails, and the caller must get either the whole answer or a true report.
// Repeatable work is retried elsewhere. A keyed request is only sent again where that
// can't run it twice, and only a ledger may say "not run": otherwise the caller would
// send the work again and get a second receipt.
func TestDo(t *testing.T) {
	yes, no, unknown := magno.RunYes, magno.RunNo, magno.RunUnknown
	busy, gone, doubt := refuse(magno.KindBusy, no), refuse(magno.KindNoUpstream, no), refuse(magno.KindUnknown, unknown)
	cut := refuse(magno.KindInterrupted, unknown)
	type answers = []func(context.Context) (any, error)
	tests := []struct {
		name, agents, key string
		scripts           script
		calls             string
		kind              magno.Kind
		run               magno.Run
	}{
		{"first", "ab", "", script{"a": {ok}, "b": {ok}}, "a", "", ""},
		{"busy, then another", "ab", "", script{"a": {busy}, "b": {ok}}, "ab", "", ""},
		{"unreachable, then another", "xb", "", script{"b": {ok}}, "b", "", ""},
		{"doubt, then another", "ab", "", script{"a": {doubt}, "b": {ok}}, "ab", "", ""},
		{"a pool of one comes back", "a", "", script{"a": {gone, ok}}, "aa", "", ""},
		{"all busy", "abcd", "", script{"a": {busy}, "b": {busy}, "c": {busy}, "d": {ok}}, "abc", magno.KindBusy, no},
		{"doubt stays", "abc", "", script{"a": {doubt}, "b": {busy}, "c": {busy}}, "abc", magno.KindBusy, unknown},
		{"no second for a wrong request", "ab", "", script{"a": {refuse(magno.KindMalformed, no)}, "b": {ok}}, "a", magno.KindMalformed, no},
		{"no second for what ran", "ab", "", script{"a": {refuse(magno.KindFailed, yes)}, "b": {ok}}, "a", magno.KindFailed, yes},
		{"cuts without an end make no suspect", "abc", "", script{"a": {cut}, "b": {cut}, "c": {ok}}, "abc", "", ""},
		{"mesh refuses", "a", "", script{"a": {meshRefuses}}, "aaa", magno.KindBusy, no},

		{"keyed: home", "ab", "k", script{"a": {ok}, "b": {ok}}, "a", "", ""},
		{"keyed: home unreachable", "xb", "k", script{"b": {ok}}, "b", "", ""},
		{"keyed: none reachable", "x", "k", nil, "", magno.KindNoUpstream, unknown},
		{"keyed: mesh refuses", "ab", "k", script{"a": {meshRefuses}, "b": {ok}}, "a", magno.KindBusy, unknown},
		{"keyed: the ledger says not run", "ab", "k", script{"a": {busy}, "b": {ok}}, "a", magno.KindBusy, no},
		{"keyed: the home leaves", "ab", "k", script{"a": {refuse(magno.KindLeaving, unknown)}, "b": {ok}}, "ab", "", ""},
		{"keyed: doubt is not asked elsewhere", "ab", "k", script{"a": {doubt}, "b": {ok}}, "a", magno.KindUnknown, unknown},
		{"keyed: the holder is asked", "abc", "k", script{"a": {heldBy("c")}, "b": {ok}, "c": {ok}}, "ac", "", ""},
		{"keyed: holders that name each other", "ab", "k", script{"a": {heldBy("b")}, "b": {heldBy("a")}}, "aba", magno.KindUnknown, unknown},
		{"keyed: the holder is gone", "ab", "k", script{"a": {heldBy("z")}, "b": {ok}}, "a", magno.KindNoUpstream, unknown},
		{"keyed: an empty reply", "ab", "k", script{"a": answers{func(context.Context) (any, error) { return magno.RunReply{}, nil }}}, "a", magno.KindInternal, unknown},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h := newHarness(t, tt.agents, tt.scripts)
			result, refusal := h.do(tt.key, testTimeout)
			if got := h.callOrder(); got != tt.calls {
				t.Errorf("called %q, want %q", got, tt.calls)
			}
			switch {
			case refusal == nil && (tt.kind != "" || result.Text != "t"):
				t.Errorf("answered %+v", result)
			case refusal != nil && (refusal.Kind != tt.kind || refusal.Run != tt.run):
				t.Errorf("%v run=%s, want %s run=%s", refusal, refusal.Run, tt.kind, tt.run)
			}
		})
	}
}

// All agents of a pool fail under load. Callers' retries must not multiply the load: the
// retry budget is spent once, after which each request gets one attempt.
func TestBudget(t *testing.T) {
	h := newHarness(t, "ab", script{"a": {refuse(magno.KindBusy, magno.RunNo)}, "b": {refuse(magno.KindBusy, magno.RunNo)}})
	h.budget.Depth = 3
	const requests = 20
	for range requests {
		if _, refusal := h.do("", testTimeout); refusal == nil || refusal.After == 0 {
			t.Fatalf("%v", refusal)
		}
	}
	if got := len(h.callOrder()); got != requests+3 {
		t.Errorf("%d attempts for %d requests, want 3 more", got, requests)
	}
}

// A caller reads its stream more slowly than the engine generates it. The agent must not be
// blamed, as it would lose its work, and there must be no second attempt, which would
// generate the same answer for the same slow caller.
func TestSlowCaller(t *testing.T) {
	stalled, sent := make(chan struct{}), make(chan struct{})
	h := newHarness(t, "ab", script{"a": {ok}, "b": {ok}})
	h.stream = func(ctx context.Context, peer *wire.Peer) {
		defer close(sent)
		<-stalled
		for n := 2; n < 3000 && peer.Notify(ctx, magno.MethodPart, magno.RunPart{Seq: n}) == nil; n++ {
			continue
		}
	}
	r := Request{Work: magno.Work{Job: magno.Job{ID: "id"}}, Pool: "p", Stream: true, Deadline: h.sender.Clock.Now() + testTimeout}
	_, _, refusal := h.sender.Do(context.Background(), r, func(magno.Piece) {
		close(stalled)
		<-sent
		// Its answer comes on the same connection, after all parts were read.
		a, _ := h.sender.Fleet.Find("a")
		if err := h.sender.Mesh.Call(context.Background(), a.Address, "none", nil, nil); wire.NotSent(err) {
			t.Error(err)
		}
	})
	if refusal == nil || refusal.Kind != magno.KindCancelled || h.callOrder() != "a" {
		t.Errorf("%v after %q", refusal, h.callOrder())
	}
}

// A body grows when it is encoded and may then exceed the limit of a message. The caller
// must learn that it is too large; "no upstream" would make it retry.
func TestTooLarge(t *testing.T) {
	h := newHarness(t, "a", script{"a": {ok}})
	for key, run := range map[string]magno.Run{"": magno.RunNo, "k": magno.RunUnknown} {
		r := Request{Work: magno.Work{Body: strings.Repeat("<", 1<<20)}, Pool: "p", Key: key, Deadline: h.sender.Clock.Now() + testTimeout}
		_, _, refusal := h.sender.Do(context.Background(), r, func(magno.Piece) {})
		if refusal == nil || refusal.Kind != magno.KindTooLarge || refusal.Run != run {
			t.Errorf("key %q: %v", key, refusal)
		}
	}
}

// An agent hangs while it runs a request. At the deadline the waiting caller must learn
// that the work may have run and when to retry; "cancelled" would mean that the caller
// itself had left.
func TestFrozenAgent(t *testing.T) {
	for _, key := range []string{"", "k"} {
		h := newHarness(t, "a", script{"a": {hang}})
		_, refusal := h.do(key, 100)
		if refusal == nil || refusal.Kind != magno.KindDeadline || refusal.Run != magno.RunUnknown || refusal.After == 0 {
			t.Errorf("key %q: %v", key, fmt.Sprint(refusal))
		}
	}
}

// An agent hangs before it issues a ticket. The caller must not wait for it forever.
func TestTicketOfFrozenAgent(t *testing.T) {
	h := newHarness(t, "a", nil)
	if _, refusal := h.sender.Ticket(context.Background(), "p", magno.Ref{}); refusal == nil || refusal.After == 0 {
		t.Errorf("%v", refusal)
	}
}
