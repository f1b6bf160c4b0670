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

// limit is generous: nothing here waits for it unless something is broken.
const limit = 30 * magno.Second

// router offers the agents in order, without those to be avoided.
type router struct{ names []string }

func (r *router) Update([]magno.Target) {}
func (r *router) Route(q magno.Query) []string {
	for _, name := range r.names {
		if !strings.Contains(strings.Join(q.Avoid, " "), name) {
			return []string{name}
		}
	}
	return nil
}
func (r *router) Report(string, magno.Backlog)          {}
func (r *router) Sent(string, int)                      {}
func (r *router) Ended(string, int, magno.Millis, bool) {}
func (r *router) Homes(_ magno.Query, _ string, n int) []string {
	return r.names[:min(n, len(r.names))]
}

// world is a sender and agents a, b, ... that answer by script; x is an agent
// that can't be reached.
type world struct {
	sender *Sender
	budget *retry.Budget
	// stream sends parts after the first; nil sends none.
	stream func(ctx context.Context, peer *wire.Peer)

	mu sync.Mutex
	// asked lists who got a call, in order; scripts holds what each answers
	// next, the last one for ever.
	asked   []string
	scripts map[string][]func(context.Context) (any, error)
}

func newWorld(t *testing.T, names string, scripts map[string][]func(context.Context) (any, error)) *world {
	t.Helper()
	w := &world{scripts: scripts, budget: &retry.Budget{Base: 1, Cap: 1}}
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	t.Cleanup(wg.Wait)
	t.Cleanup(cancel)
	run := func(d magno.Duty) {
		wg.Add(1)
		go func() { defer wg.Done(); _ = d.Run(ctx) }()
	}
	instances := []magno.Instance{}
	for name := range strings.SplitSeq(names, "") {
		in := magno.Instance{Name: name, Role: magno.RoleAgent, Pool: "p", State: magno.InstanceLive, Address: "127.0.0.1:1"}
		if name != "x" {
			m := &wire.Mesh{Listen: "127.0.0.1:0"}
			m.Handle(magno.MethodRun, func(ctx context.Context, peer *wire.Peer, _ json.RawMessage) (any, error) {
				if w.stream != nil {
					_ = peer.Notify(ctx, magno.MethodPart, magno.RunPart{Seq: 1, Piece: magno.Piece{Text: "t"}})
					w.stream(ctx, peer)
				}
				return w.answer(ctx, name)
			})
			m.Handle(magno.MethodTicket, func(ctx context.Context, _ *wire.Peer, _ json.RawMessage) (any, error) { return silent(ctx) })
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
	for end := time.Now().Add(limit.Span()); len(fl.LiveAgents("p")) < len(instances); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the list was not read")
		}
	}
	mesh := &wire.Mesh{}
	run(mesh)
	r := &router{names: strings.Split(names, "")}
	w.sender = &Sender{
		Clock: &magno.Clock{}, Mesh: mesh, Fleet: fl, Attempts: 3,
		Router: func(string) magno.Router { return r }, Budget: func(string) *retry.Budget { return w.budget },
		Suspects: &crash.Suspects{Clock: &magno.Clock{}},
	}
	return w
}

func (w *world) answer(ctx context.Context, name string) (any, error) {
	w.mu.Lock()
	w.asked = append(w.asked, name)
	script := w.scripts[name]
	if len(script) > 1 {
		w.scripts[name] = script[1:]
	}
	w.mu.Unlock()
	return script[0](ctx)
}

func (w *world) path() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return strings.Join(w.asked, "")
}

func (w *world) do(key string, left magno.Millis) (magno.Result, *magno.Refusal) {
	work := magno.Work{Job: magno.Job{ID: "id", Print: 7}}
	r := Request{Work: work, Pool: "p", Key: key, Deadline: w.sender.Clock.Now() + left}
	result, _, refusal := w.sender.Do(context.Background(), r, func(magno.Piece) {})
	return result, refusal
}

func ok(context.Context) (any, error) {
	return magno.RunReply{Result: &magno.Result{Text: "t"}, Sum: xxhash.Sum64String("t")}, nil
}

func refuses(kind magno.Kind, run magno.Run) func(context.Context) (any, error) {
	return func(context.Context) (any, error) {
		return magno.RunReply{Refusal: magno.Refuse(kind, "by script").Ran(run)}, nil
	}
}

func names(holder string) func(context.Context) (any, error) {
	return func(context.Context) (any, error) {
		refusal := magno.Refuse(magno.KindUnknown, "held elsewhere")
		return magno.RunReply{Refusal: refusal, Holder: holder}, nil
	}
}

// meshRefuses is a refusal that the agent's ledger never saw.
func meshRefuses(context.Context) (any, error) {
	return nil, magno.Refuse(magno.KindBusy, "too many calls")
}

func silent(ctx context.Context) (any, error) { <-ctx.Done(); return nil, ctx.Err() }

type script = map[string][]func(context.Context) (any, error)

// An attempt fails; the caller waits for the whole answer or a true account.
// Work that may be repeated goes on to others; a keyed request is only asked
// for again where that can't run it twice, and "not run" is a ledger's word
// alone: the caller would send the work again and the receipt come twice.
func TestDo(t *testing.T) {
	yes, no, unknown := magno.RunYes, magno.RunNo, magno.RunUnknown
	busy, gone, doubt := refuses(magno.KindBusy, no), refuses(magno.KindNoUpstream, no), refuses(magno.KindUnknown, unknown)
	cut := refuses(magno.KindInterrupted, unknown)
	type answers = []func(context.Context) (any, error)
	tests := []struct {
		name, agents, key string
		scripts           script
		path              string
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
		{"no second for a wrong request", "ab", "", script{"a": {refuses(magno.KindMalformed, no)}, "b": {ok}}, "a", magno.KindMalformed, no},
		{"no second for what ran", "ab", "", script{"a": {refuses(magno.KindFailed, yes)}, "b": {ok}}, "a", magno.KindFailed, yes},
		{"two cuts make a suspect", "abc", "", script{"a": {cut}, "b": {cut}, "c": {ok}}, "ab", magno.KindSuspect, unknown},
		{"mesh refuses", "a", "", script{"a": {meshRefuses}}, "aaa", magno.KindBusy, no},

		{"keyed: home", "ab", "k", script{"a": {ok}, "b": {ok}}, "a", "", ""},
		{"keyed: home unreachable", "xb", "k", script{"b": {ok}}, "b", "", ""},
		{"keyed: none reachable", "x", "k", nil, "", magno.KindNoUpstream, unknown},
		{"keyed: mesh refuses", "ab", "k", script{"a": {meshRefuses}, "b": {ok}}, "a", magno.KindBusy, unknown},
		{"keyed: the ledger says not run", "ab", "k", script{"a": {busy}, "b": {ok}}, "a", magno.KindBusy, no},
		{"keyed: the home leaves", "ab", "k", script{"a": {refuses(magno.KindLeaving, unknown)}, "b": {ok}}, "ab", "", ""},
		{"keyed: doubt is not asked elsewhere", "ab", "k", script{"a": {doubt}, "b": {ok}}, "a", magno.KindUnknown, unknown},
		{"keyed: the holder is asked", "abc", "k", script{"a": {names("c")}, "b": {ok}, "c": {ok}}, "ac", "", ""},
		{"keyed: holders that name each other", "ab", "k", script{"a": {names("b")}, "b": {names("a")}}, "aba", magno.KindUnknown, unknown},
		{"keyed: the holder is gone", "ab", "k", script{"a": {names("z")}, "b": {ok}}, "a", magno.KindNoUpstream, unknown},
		{"keyed: an empty reply", "ab", "k", script{"a": answers{func(context.Context) (any, error) { return magno.RunReply{}, nil }}}, "a", magno.KindInternal, unknown},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			w := newWorld(t, tt.agents, tt.scripts)
			result, refusal := w.do(tt.key, limit)
			if got := w.path(); got != tt.path {
				t.Errorf("asked %q, want %q", got, tt.path)
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

// A pool fails altogether under load. Each caller's attempts must not multiply
// the load: the budget's depth is spent once, then each request comes once.
func TestBudget(t *testing.T) {
	w := newWorld(t, "ab", script{"a": {refuses(magno.KindBusy, magno.RunNo)}, "b": {refuses(magno.KindBusy, magno.RunNo)}})
	w.budget.Depth = 3
	const requests = 20
	for range requests {
		if _, refusal := w.do("", limit); refusal == nil || refusal.After == 0 {
			t.Fatalf("%v", refusal)
		}
	}
	if got := len(w.path()); got != requests+3 {
		t.Errorf("%d attempts for %d requests, want 3 more", got, requests)
	}
}

// A caller takes its stream more slowly than the engine makes it. That is no
// fault of the agent's: blamed for it, it would lose its work, and a second
// attempt would make the same answer once more for the same slow caller.
func TestSlowCaller(t *testing.T) {
	stalled, sent := make(chan struct{}), make(chan struct{})
	w := newWorld(t, "ab", script{"a": {ok}, "b": {ok}})
	w.stream = func(ctx context.Context, peer *wire.Peer) {
		defer close(sent)
		<-stalled
		for n := 2; n < 3000 && peer.Notify(ctx, magno.MethodPart, magno.RunPart{Seq: n}) == nil; n++ {
			continue
		}
	}
	r := Request{Work: magno.Work{Job: magno.Job{ID: "id"}}, Pool: "p", Stream: true, Deadline: w.sender.Clock.Now() + limit}
	_, _, refusal := w.sender.Do(context.Background(), r, func(magno.Piece) {
		close(stalled)
		<-sent
		// Its answer comes on the same connection, after all parts were read there.
		a, _ := w.sender.Fleet.Find("a")
		if err := w.sender.Mesh.Call(context.Background(), a.Address, "none", nil, nil); wire.NotSent(err) {
			t.Error(err)
		}
	})
	if refusal == nil || refusal.Kind != magno.KindCancelled || w.path() != "a" {
		t.Errorf("%v after %q", refusal, w.path())
	}
}

// A body grows when it is encoded and may then be over what one message holds.
// The caller hears that it is too large; "no upstream" would make it try again.
func TestTooLarge(t *testing.T) {
	w := newWorld(t, "a", script{"a": {ok}})
	for key, run := range map[string]magno.Run{"": magno.RunNo, "k": magno.RunUnknown} {
		r := Request{Work: magno.Work{Body: strings.Repeat("<", 1<<20)}, Pool: "p", Key: key, Deadline: w.sender.Clock.Now() + limit}
		_, _, refusal := w.sender.Do(context.Background(), r, func(magno.Piece) {})
		if refusal == nil || refusal.Kind != magno.KindTooLarge || refusal.Run != run {
			t.Errorf("key %q: %v", key, refusal)
		}
	}
}

// An agent freezes with the request in it. The caller still waits and must
// hear at the deadline that it is over, that the work may have run and when to
// come back; "cancelled" would say that the caller itself went away.
func TestFrozenAgent(t *testing.T) {
	for _, key := range []string{"", "k"} {
		w := newWorld(t, "a", script{"a": {silent}})
		_, refusal := w.do(key, 100)
		if refusal == nil || refusal.Kind != magno.KindDeadline || refusal.Run != magno.RunUnknown || refusal.After == 0 {
			t.Errorf("key %q: %v", key, fmt.Sprint(refusal))
		}
	}
}

// An agent freezes before it gives a ticket. The caller has sent nothing yet
// and must not wait for it without end.
func TestTicketOfFrozenAgent(t *testing.T) {
	w := newWorld(t, "a", nil)
	if _, refusal := w.sender.Ticket(context.Background(), "p", magno.Ref{}); refusal == nil || refusal.After == 0 {
		t.Errorf("%v", refusal)
	}
}
