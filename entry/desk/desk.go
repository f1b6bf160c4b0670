// Package desk speaks to the agents beside engines: it asks for permits, and
// keeps what each agent tells of its engine.
//
//	Run: each tick --status--> agents --> seats --> Reported (router)
//	                                       |  ^
//	                                  word v  | word
//	                     other entries of the data centre
//	relay --Permit--> agent;  relay --End--> agent
//
// An agent that doesn't answer is no reason to refuse: what its engine held a
// moment ago is still there, so requests for it go without a permit until the
// agent is back.
package desk

import (
	"context"
	"log/slog"
	"net"
	"reflect"
	"strconv"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"magnoliastall.example/magno"
	"magnoliastall.example/magno/gate"
	"magnoliastall.example/magno/view"
	"magnoliastall.example/magno/wire"
)

const (
	// pollEvery is how often an agent is asked for its state unless an answer to
	// a permit just told it. Waits at an engine change within a few hundred
	// milliseconds. With more than pollScale agents the pause grows with their
	// number, up to pollMost times.
	pollEvery = 250 * magno.Millis(1)
	pollScale = 13
	pollMost  = 4
	// pollCalm bounds the pause of an agent that had nothing to tell.
	pollCalm = 30 * magno.Second
	// calmWait is the wait at an engine up to which it counts as calm.
	calmWait = 20 * magno.Millis(1)
	// pollDown is the most for an engine that is down: it may be back any moment.
	pollDown = 500 * magno.Millis(1)
	// pollTime bounds the answer: several round trips between data centres. A permit
	// that isn't answered within it may wait, or its machine may be gone.
	pollTime = 300 * magno.Millis(1)
	// deadAfter is how many polls in a row must fail until permits are no longer
	// waited for.
	deadAfter = 2
	// endTime bounds the handing over of the word that a request ended.
	endTime = magno.Second
	// mostPolled bounds the agents that one entry asks at each tick. With more,
	// those that it lately sent requests to come first.
	mostPolled = 64
	// pollSlack lets a tick count that comes a little early.
	pollSlack = 20 * magno.Millis(1)
	// usedFor is how long an agent counts as in use after a permit.
	usedFor = 5 * magno.Second
	// heldFor is how long what an engine held counts after its agent went
	// silent: a few agents' restarts.
	heldFor = 10 * magno.Second
)

// ErrAgentLost tells that the agent doesn't answer.
var ErrAgentLost = errors.New("the agent doesn't answer")

// Client is the duty. Fields are set before Run.
type Client struct {
	// Self is this instance's name.
	Self  string
	Mesh  *wire.Mesh
	Book  *view.Book
	Clock *magno.Clock
	Log   *slog.Logger
	// AgentPort is where agents listen, the same on all machines.
	AgentPort int
	// Addr is this entry's own address. Mates lists those of all entries of its data
	// centre, its own among them, in the order in which they are to ask agents; nil
	// where it is the only one.
	Addr    string
	Entries func() []string
	// OnBacklog is told each backlog by the incarnation's key.
	OnBacklog func(service, key string, b magno.Backlog)

	// answers are what agents answered and mates don't know yet.
	answers chan gate.StatusReply

	mu sync.Mutex
	// seats follow snap.
	seats map[string]*seat
	snap  *view.Snapshot
	// next counts the agents that were passed over or asked in turn: those that this
	// entry asks for its data centre, and the others.
	next struct {
		mine, other int
	}
	polls *metrics.Counter
	fails *metrics.Counter
}

// Name implements magno.Duty.
func (d *Client) Name() string { return "desk" }

// Open takes the methods on the mesh, before either runs.
func (d *Client) Open() {
	d.answers = make(chan gate.StatusReply, mostAnswers)
	d.Mesh.Handle(MethodForward, d.onWord)
}

// Run polls agents until ctx ends.
func (d *Client) Run(ctx context.Context) error {
	d.polls = metrics.GetOrCreateCounter("agent_polls_total")
	d.fails = metrics.GetOrCreateCounter("agent_poll_failures_total")
	ticks := time.NewTicker(pollEvery.Span())
	defer ticks.Stop()
	gather := time.NewTimer(wordDelay.Span())
	defer gather.Stop()
	var working sync.WaitGroup
	defer working.Wait()
	var answers []gate.StatusReply
	changed := d.Book.Changed()
	d.ask(ctx, &working)
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
			changed = d.Book.Changed()
			d.ask(ctx, &working)
		case <-ticks.C:
			d.ask(ctx, &working)
		case a := <-d.answers:
			if len(answers) == 0 {
				gather.Reset(wordDelay.Span())
			}
			answers = append(answers, a)
		case <-gather.C:
			d.pass(ctx, &working, answers)
			answers = nil
		}
	}
}

// ask asks the agents whose turn it is.
func (d *Client) ask(ctx context.Context, working *sync.WaitGroup) {
	d.seat(d.Book.Now())
	for _, s := range d.due() {
		working.Add(1)
		go func() {
			defer working.Done()
			d.poll(ctx, s)
		}()
	}
}

// seat brings the seats up to the list, when that has changed: comparing what
// every agent is to be told is too much to do at each tick.
func (d *Client) seat(snap *view.Snapshot) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if snap.Plan == nil || snap == d.snap {
		return
	}
	d.snap = snap
	old := d.seats
	d.seats = make(map[string]*seat, len(old))
	for _, r := range snap.Replicas {
		service := snap.Plan.Service(r.Service)
		if service == nil || service.Engine == nil {
			continue
		}
		host, _, _ := net.SplitHostPort(r.Address) // checked when it was decoded
		s := old[r.Key()]
		if s == nil {
			s = &seat{
				addr: net.JoinHostPort(host, strconv.Itoa(d.AgentPort)), hash: xxhash.Sum64String(r.Key()),
				lost: make(chan struct{}), heard: d.Clock.Now(),
			}
		}
		s.replica = r
		spec := &gate.Spec{Replica: r.Key(), ID: r.ID, Engine: *service.Engine, Pins: snap.Pins, Leaving: r.Leaving}
		if s.spec == nil || !reflect.DeepEqual(s.spec, spec) {
			s.spec, s.revision = spec, snap.Revision
		}
		d.seats[r.Key()] = s
	}
}

// due lists the agents to ask now.
func (d *Client) due() []*seat {
	share := d.share()
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.Clock.Now()
	pauses := pausesOf(len(d.seats), len(share.others) > 0)
	list := make([]*seat, 0, min(len(d.seats), mostPolled))
	for _, s := range d.seats {
		mine, of := share.mine(s), len(d.seats)
		if mine {
			of /= share.askers()
		}
		next := &d.next.other
		if mine {
			next = &d.next.mine
		}
		if s.polling || s.fresh(now, pauses, mine) || !turn(s, now, of, next) {
			continue
		}
		s.polling, s.asked, s.told = true, now, s.revision
		list = append(list, s)
	}
	return list
}

// pauses is how long agents aren't asked again.
type pauses struct {
	// busy is the pause of those that had news, calm that of the others.
	busy, calm magno.Millis
}

// pausesOf returns the pauses for so many agents, which the entries of a data centre may
// share. Those of calm ones grow with the number of agents, so that what an entry learns
// of them in a second doesn't.
func pausesOf(agents int, shared bool) pauses {
	scaled := pollEvery * magno.Millis(max(agents, pollScale)) / pollScale
	p := pauses{busy: min(scaled, pollMost*pollEvery), calm: scaled}
	if shared {
		p.busy, p.calm = p.busy/matesHalve, p.calm/matesHalve
	}
	p.busy = max(p.busy, pollEvery)
	p.calm = min(max(p.calm, p.busy), pollCalm)
	return p
}

// turn tells whether an agent may be asked now, one of so many that may be due. Of very
// many, those that aren't in use are asked seldom, and those that are lost as well: a
// thousand of them would otherwise take up all of a small machine.
func turn(s *seat, now magno.Millis, of int, next *int) bool {
	missed := s.misses > 0 && !s.dead
	if of < 2*mostPolled || now-s.used <= usedFor || missed {
		return true
	}
	*next++
	turns := (of + mostPolled - 1) / mostPolled // rounded up, or two kinds exceed the bound
	return *next%turns == 0
}

// poll asks one agent, and tells it what it doesn't know yet.
func (d *Client) poll(ctx context.Context, s *seat) {
	ctx, cancel := context.WithTimeout(ctx, pollTime.Span())
	defer cancel()
	d.mu.Lock()
	spec, revision, held := s.spec, s.revision, s.status.ListsHash
	d.mu.Unlock()
	call := gate.StatusCall{Revision: revision, ListsHash: held}
	var reply gate.StatusReply
	err := d.Mesh.Call(ctx, s.addr, gate.MethodStatus, call, &reply)
	if err == nil && (reply.Revision < revision || (reply.Replica != spec.Replica && reply.Revision <= revision)) {
		call.Spec, call.Entry = spec, d.Self
		err = d.Mesh.Call(ctx, s.addr, gate.MethodStatus, call, &reply)
	}
	d.polls.Inc()
	d.mu.Lock()
	s.polling = false
	d.mu.Unlock()
	if err != nil {
		d.fails.Inc()
		d.missed(s, err)
		return
	}
	d.tell(reply)
	d.heard(s, &reply, held)
}

func (d *Client) missed(s *seat, err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	s.misses++
	if s.misses == 1 {
		s.silent = d.Clock.Now()
	}
	if s.misses == deadAfter {
		s.dead = true
		close(s.lost)
		d.Log.Warn("agent lost", "replica", s.replica.Key(), "addr", s.addr, "error", err)
	}
}

// heard takes an agent's state, told to an entry that had the list held.
func (d *Client) heard(s *seat, reply *gate.StatusReply, held uint64) {
	d.mu.Lock()
	reply.Restore(held, &s.status)
	if s.dead {
		s.dead, s.lost = false, make(chan struct{})
		d.Log.Info("agent back", "replica", s.replica.Key(), "addr", s.addr)
	}
	s.calm = calm(&s.status, reply)
	if reply.Down != s.status.Down {
		d.Log.Info("engine", "replica", s.replica.Key(), "down", reply.Down)
	}
	s.misses, s.unreached, s.heard, s.status = 0, false, d.Clock.Now(), *reply
	key, service := s.replica.Key(), s.replica.Service
	mine, b := reply.Replica == key, reply.Backlog
	b.Down = s.down()
	d.mu.Unlock()
	if mine && d.OnBacklog != nil {
		d.OnBacklog(service, key, b)
	}
}

// ReportUnreachable tells that an engine couldn't be connected to. With its agent dead too
// the machine is gone: what it held is no longer there, and nothing is sent to it
// until its agent answers again.
func (d *Client) ReportUnreachable(key string) {
	d.mu.Lock()
	s := d.seats[key]
	if s == nil || !s.dead || s.unreached {
		d.mu.Unlock()
		return
	}
	s.unreached = true
	service := s.replica.Service
	d.Log.Info("engine unreached", "replica", key, "addr", s.addr)
	d.mu.Unlock()
	if d.OnBacklog != nil {
		d.OnBacklog(service, key, magno.Backlog{Down: true})
	}
}

// hurry has an agent asked at the next tick that wasn't heard since.
func (d *Client) hurry(s *seat, since magno.Millis) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if s.heard < since && !s.dead {
		s.asked = 0
	}
}

// Holds tells whether an engine held a model or adapter when its agent was
// last heard, and that the agent hasn't been silent for long.
func (d *Client) Holds(key, name string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.seats[key]
	if s == nil || s.unreached || s.status.Replica != key || (s.misses > 0 && d.Clock.Now()-s.silent > heldFor) {
		return false
	}
	hash := magno.Ref{Adapter: name}.Hash()
	for _, h := range s.status.Backlog.Warm {
		if h == hash {
			return true
		}
	}
	return false
}

// Down tells whether the engine is known not to answer, or to have started
// anew since the list named this incarnation.
func (d *Client) Down(key string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.seats[key]
	if s == nil {
		return true
	}
	return s.down()
}
