package keep

import (
	"context"
	"errors"
	"log/slog"
	"strings"
	"sync"
	"testing"
	"time"

	"magnoliastall.example/magno"
	"magnoliastall.example/magno/gate"
	"magnoliastall.example/magno/wire"
)

// engine is a fake that carries out orders at once.
type engine struct {
	mu     sync.Mutex
	held   map[string]int64
	model  bool
	fence  int64
	born   magno.Millis
	fail   bool
	fenced int
	orders int64
}

func (e *engine) Report(context.Context) (*magno.Report, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.fail {
		return nil, errors.New("no answer")
	}
	r := &magno.Report{StartedAt: e.born, Orders: e.orders, Loaded: map[string]map[string]int64{}}
	if e.model {
		r.Loaded["m"] = map[string]int64{}
		for name := range e.held {
			r.Loaded["m"][name] = 1
		}
	}
	return r, nil
}

func (e *engine) Order(_ context.Context, c magno.Command) (magno.Outcome, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if c.Fence < e.fence {
		e.fenced++
		return magno.OrderFenced, nil
	}
	e.orders++
	switch {
	case c.Adapter == "":
		e.model = c.Load
	case c.Load:
		e.held[c.Adapter] = 1
	default:
		delete(e.held, c.Adapter)
	}
	return magno.OrderDone, nil
}

func (e *engine) set(f func()) {
	e.mu.Lock()
	defer e.mu.Unlock()
	f()
}

// agent is a running Controller of an engine, with a mesh for calls to it.
type agent struct {
	*Controller
	addr   string
	caller *wire.Mesh
	log    logBuffer
}

func start(t *testing.T, e *engine) *agent {
	t.Helper()
	clock := magno.NewMonotonic()
	a := &agent{caller: &wire.Mesh{Clock: clock}}
	mesh := &wire.Mesh{Listen: "127.0.0.1:0", Clock: clock}
	if err := mesh.Open(); err != nil {
		t.Fatal(err)
	}
	a.addr = mesh.Addr()
	a.Controller = &Controller{Self: "a", Engine: e, Mesh: mesh, Clock: clock, Log: slog.New(slog.NewTextHandler(&a.log, nil)), Fence: 5}
	a.Open()
	ctx, cancel := context.WithCancel(context.Background())
	ends := make(chan error, 3)
	go func() { ends <- mesh.Run(ctx) }()
	go func() { ends <- a.Run(ctx) }()
	go func() { ends <- a.caller.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		for range 3 {
			if err := <-ends; err != nil {
				t.Error(err)
			}
		}
	})
	a.sendStatus(t, "r@1", 1)
	return a
}

func spec(replica string) *gate.Spec {
	return &gate.Spec{Replica: replica, ID: "r", Engine: magno.Engine{
		Models: []magno.Model{{Name: "m", Size: 10, Adapter: 1}}, Slots: 2, Memory: 100, Tokens: 10000, Batch: 4,
	}}
}

// logBuffer is a log that can be read while it is written.
type logBuffer struct {
	mu sync.Mutex
	b  strings.Builder
}

func (x *logBuffer) Write(p []byte) (int, error) {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.b.Write(p)
}

func (x *logBuffer) lines(msg string) []string {
	x.mu.Lock()
	defer x.mu.Unlock()
	var list []string
	for _, line := range strings.Split(x.b.String(), "\n") {
		if strings.Contains(line, "msg="+msg+" ") {
			list = append(list, line)
		}
	}
	return list
}

// sendStatus sends the status call that entries send at each poll.
func (a *agent) sendStatus(t *testing.T, replica string, revision magno.Revision) gate.StatusReply {
	t.Helper()
	var reply gate.StatusReply
	call := gate.StatusCall{Entry: "e", Spec: spec(replica), Revision: revision}
	err := a.caller.Call(t.Context(), a.addr, gate.MethodStatus, call, &reply)
	if err != nil {
		t.Fatal(err)
	}
	return reply
}

func (a *agent) permit(t *testing.T, id string) (*gate.PermitReply, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	var reply gate.PermitReply
	err := a.caller.Call(ctx, a.addr, gate.MethodPermit, gate.PermitCall{Replica: "r@1", Request: permitRequest(id)}, &reply)
	return &reply, err
}

func permitRequest(id string) gate.Request {
	return gate.Request{
		ID: id, Model: "m", Adapter: "x", Prompt: 100, MaxOutput: 50, StartTarget: 60000, MaxWait: 60000, TimeLeft: 60000,
	}
}

func newEngine() *engine { return &engine{held: map[string]int64{}, born: 1} }

func TestPermitComesOnceTheAdapterIsThere(t *testing.T) {
	e := newEngine()
	a := start(t, e)
	reply, err := a.permit(t, "1")
	if err != nil || reply.Refusal != nil || reply.Version != 1 {
		t.Fatalf("got %+v, %v", reply, err)
	}
	if !e.model || e.held["x"] == 0 {
		t.Error("the permit was granted before the adapter was loaded")
	}
}

// The engine beside the agent was replaced, and a permit call has its new spec. The call must not
// be refused for the outdated spec that the agent had. An older spec must be ignored.
func TestPermitUpdatesEngineSpec(t *testing.T) {
	a := start(t, newEngine())
	ask := func(revision magno.Revision, replica string) *magno.Refusal {
		var reply gate.PermitReply
		call := gate.PermitCall{Replica: replica, Spec: spec(replica), Revision: revision, Request: gate.Request{
			ID: replica, Model: "m", Adapter: "x", Prompt: 100, MaxOutput: 50, StartTarget: 60000, MaxWait: 60000, TimeLeft: 60000,
		}}
		if err := a.caller.Call(t.Context(), a.addr, gate.MethodPermit, call, &reply); err != nil {
			t.Fatal(err)
		}
		return reply.Refusal
	}
	if r := ask(2, "r@2"); r != nil {
		t.Errorf("refused: %v", r)
	}
	if r := ask(1, "r@1"); r == nil {
		t.Error("an older spec was accepted")
	}
}

// Log lines of orders and refusals must show the age of the data that they are based on: a wrong
// decision from a fresh report is a different fault than one from an old report.
func TestLogLinesHaveReportAgeAndRevision(t *testing.T) {
	a := start(t, newEngine())
	if _, err := a.permit(t, "1"); err != nil {
		t.Fatal(err)
	}
	a.sendStatus(t, "r@2", 7)
	if reply, err := a.permit(t, "2"); err != nil || reply.Refusal == nil {
		t.Fatalf("got %+v, %v", reply, err)
	}
	// Orders may be sent before or after the agent learns of the new spec.
	for msg, rev := range map[string]string{"order": " rev=", "refused": " rev=7"} {
		lines := a.log.lines(msg)
		if len(lines) == 0 {
			t.Errorf("no log line with message %q", msg)
		}
		for _, line := range lines {
			if !strings.Contains(line, " age=") || !strings.Contains(line, rev) {
				t.Errorf("%s: want age and %s", line, rev)
			}
		}
	}
}

// An earlier start of this agent, with its clock ahead, sent orders. The engine refuses lower
// fencing tokens, so unless the agent raises its own, nothing can be loaded any more.
func TestFenceRisesUntilOrdersAreAccepted(t *testing.T) {
	e := newEngine()
	e.fence = 10_000
	a := start(t, e)
	if reply, err := a.permit(t, "1"); err != nil || reply.Refusal != nil {
		t.Fatalf("got %+v, %v", reply, err)
	}
	if e.fenced == 0 || e.fenced > 6 {
		t.Errorf("%d orders were refused for their fencing token, want 1 to 6", e.fenced)
	}
}

// The engine stops responding. Requests must be refused at once, so that they are sent elsewhere
// instead of waiting for it, and accepted again when it responds.
func TestSilentEngineRefusesAtOnce(t *testing.T) {
	e := newEngine()
	a := start(t, e)
	if _, err := a.permit(t, "1"); err != nil {
		t.Fatal(err)
	}
	e.set(func() { e.fail = true })
	for down := false; !down; {
		down = a.sendStatus(t, "r@1", 2).Down
	}
	reply, err := a.permit(t, "2")
	if err != nil || reply.Refusal == nil || reply.Refusal.Kind != magno.KindNoUpstream {
		t.Fatalf("got %+v, %v", reply, err)
	}
	e.set(func() { e.fail = false })
	for down := true; down; {
		down = a.sendStatus(t, "r@1", 3).Down
	}
	if reply, err := a.permit(t, "3"); err != nil || reply.Refusal != nil {
		t.Fatalf("got %+v, %v", reply, err)
	}
}

// The engine stops responding while a request waits for it. Guards against a request that waits until
// it gives up although its agent knows that it can't run here.
func TestSilentEngineRefusesWaitingRequests(t *testing.T) {
	e := newEngine()
	e.fence = 1 << 60 // all orders are refused
	a := start(t, e)
	got := offerStuck(t, a)
	e.set(func() { e.fail = true })
	if r := <-got; r.Refusal == nil || r.Refusal.Kind != magno.KindNoUpstream || !r.Status.Down {
		t.Fatalf("got %+v", r)
	}
	if n := a.sendStatus(t, "r@1", 1).Backlog.Queued; n != 0 {
		t.Errorf("%d requests are still queued", n)
	}
}

// An entry that was cut off sends the spec of an engine that is gone. The newer spec must stay in
// force.
func TestOlderEngineSpecIsIgnored(t *testing.T) {
	a := start(t, newEngine())
	a.sendStatus(t, "r@9", 9)
	if got := a.sendStatus(t, "r@1", 4).Replica; got != "r@9" {
		t.Errorf("replica %s, want r@9", got)
	}
}

// The agent is stopped while requests wait. They must be refused at once, so that they are sent
// elsewhere.
func TestStopRefusesWaitingRequests(t *testing.T) {
	e := newEngine()
	e.fence = 1 << 60 // all orders are refused
	a := start(t, e)
	type result struct {
		reply *gate.PermitReply
		err   error
	}
	got := make(chan result, 1)
	go func() {
		reply, err := a.permit(t, "1")
		got <- result{reply, err}
	}()
	for a.sendStatus(t, "r@1", 1).Backlog.Queued == 0 {
	}
	a.Leave()
	if r := <-got; r.err != nil || r.reply.Refusal == nil || r.reply.Refusal.Kind != magno.KindLeaving {
		t.Fatalf("got %+v, %v", r.reply, r.err)
	}
}

// An agent starts while its engine names a limit, which only entries know of. It must hold from the
// first permit on, or the engine gets a burst with each restart of its agent. What the agent knows
// itself goes before what entries believe.
func TestRestartedAgentLearnsTheLimitFromEntries(t *testing.T) {
	a := start(t, newEngine())
	if _, err := a.permit(t, "0"); err != nil { // the adapter is loaded now
		t.Fatal(err)
	}
	call := gate.PermitCall{Replica: "r@1", Request: permitRequest("1"), Limit: &magno.LimitState{Limited: true, Rate: 10, Age: 3000}}
	var reply gate.PermitReply
	if err := a.caller.Call(t.Context(), a.addr, gate.MethodPermit, call, &reply); err != nil || reply.Refusal != nil {
		t.Fatalf("got %+v, %v", reply, err)
	}
	if s := reply.Status.Limit; s == nil || !s.Limited || s.Rate != 10 || reply.Waits[gate.CauseLimit] == 0 {
		t.Errorf("the limit is %+v, the waits are %v", reply.Status.Limit, reply.Waits)
	}
	if err := a.caller.Notify(t.Context(), a.addr, gate.MethodNotice, gate.NoticeCall{Replica: "r@1", ID: "1", Signed: true}); err != nil {
		t.Fatal(err)
	}
	status := gate.StatusCall{Replica: "r@1", Limit: call.Limit}
	var after gate.StatusReply
	if err := a.caller.Call(t.Context(), a.addr, gate.MethodStatus, status, &after); err != nil || after.Limit == nil || after.Limit.Limited {
		t.Errorf("the limit is %+v after it has ended, %v", after.Limit, err)
	}
}

// Guards against going back to an earlier life of the engine because an entry read the list from
// an older copy: the agent would drop what it knows and refuse every request.
func TestSpecOfAnEarlierLifeIsIgnored(t *testing.T) {
	e := newEngine()
	e.born = 5
	a := start(t, e)
	for a.sendStatus(t, "r@5", 2).EngineStart != 5 {
		time.Sleep(time.Millisecond) // until the first report
	}
	if got := a.sendStatus(t, "r@1", 3); got.Replica != "r@5" || got.Revision != 2 {
		t.Errorf("the agent went to %s at revision %s", got.Replica, got.Revision)
	}
	e.set(func() { e.born = 7 })
	for a.sendStatus(t, "r@7", 4).Replica != "r@7" {
		time.Sleep(time.Millisecond)
	}
}
