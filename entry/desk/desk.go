// Package desk is the client of the agents beside engines. It requests permits from them and
// tracks the state that each agent reports of its engine.
//
//	Run: each tick --status--> agents --> agentState --> OnBacklog (router)
//	                                        |    ^
//	                          StatusBatch   v    |  StatusBatch
//	                        other entries of the data centre
//	relay --Acquire--> agent;  relay --Release--> agent
//
// Requests aren't refused because an agent doesn't answer. What its engine held a moment ago is
// most likely still loaded, so such requests are sent without a permit until the agent is back, if the
// engine itself responds.
package desk

import (
	"context"
	"log/slog"
	"net"
	"reflect"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"magnoliastall.example/magno"
	"magnoliastall.example/magno/gate"
	"magnoliastall.example/magno/notice"
	"magnoliastall.example/magno/view"
	"magnoliastall.example/magno/wire"
)

const (
	// pollInterval is how often an agent is polled, unless the reply to a permit has just
	// reported its state. Waits at an engine change within a few hundred milliseconds. With
	// more than pollScaleAgents agents the interval grows with their number, up to maxPollScale
	// times.
	pollInterval    = 250 * magno.Millis(1)
	pollScaleAgents = 13
	maxPollScale    = 4
	// maxCalmInterval bounds the interval for an agent whose state doesn't change.
	maxCalmInterval = 30 * magno.Second
	// maxCalmWait is the longest wait at an engine that counts as calm.
	maxCalmWait = 20 * magno.Millis(1)
	// maxDownInterval bounds the interval for an engine that is down: it may be back at any
	// moment.
	maxDownInterval = 500 * magno.Millis(1)
	// callTimeout bounds a poll: several round trips between data centres. A permit without a
	// reply within this time may be waiting in the queue, or its machine may be gone.
	callTimeout = 300 * magno.Millis(1)
	// maxMisses is the number of polls that must fail in a row before an agent counts as lost
	// and permits are no longer waited for.
	maxMisses = 2
	// recoveryTime is how long an agent that was lost, or whose engine is down, is polled as often
	// as one that missed a poll: machines and processes restart within this time, and no request is
	// sent there until a poll shows it.
	recoveryTime = 10 * magno.Second
	// releaseTimeout bounds the notification that a request ended.
	releaseTimeout = magno.Second
	// maxPolledPerTick bounds the agents that one entry polls in each tick. With more agents,
	// those with recent requests take precedence.
	maxPolledPerTick = 64
	// tickSlack is the tolerance for a tick that comes early.
	tickSlack = 20 * magno.Millis(1)
	// recentUse is how long an agent counts as in use after a permit.
	recentUse = 5 * magno.Second
	// roundTripWeight is the weight of a new sample in the moving average of round trips. A
	// single poll may wait for a process that is busy.
	roundTripWeight = 0.125
	// heldRetention is how long the last known state of an engine is used after its agent went
	// silent: a few restarts of an agent.
	heldRetention = 10 * magno.Second
)

// ErrAgentLost means that the agent is unknown or doesn't answer.
var ErrAgentLost = errors.New("the engine's agent doesn't answer")

// Client polls agents and requests permits. Exported fields are set before Open.
type Client struct {
	// Self is this instance's name.
	Self  string
	Mesh  *wire.Mesh
	Book  *view.Store
	Clock *magno.Clock
	Log   *slog.Logger
	// Engine returns a client of the engine at an address.
	Engine func(address string) magno.EngineClient
	// AgentPort is the port that agents listen on, the same on all machines.
	AgentPort int
	// Addr is this entry's own address. Entries lists the addresses of all entries in its data
	// centre, including its own, in order of preference for polling agents. It is nil if this
	// is the only entry.
	Addr    string
	Entries func() []string
	// Notices holds what upstreams state about themselves.
	Notices *notice.Board
	// OnBacklog is called with each reported backlog and the key of the incarnation.
	OnBacklog func(service, key string, b magno.Backlog)
	// OnUsable is called, after OnBacklog, when an engine becomes usable: its agent answers for
	// the first time or again, or it is no longer down. It may be nil.
	OnUsable func(service string)
	// OnRestEnded is called when an engine has restarted that had asked for rest. It may be nil.
	OnRestEnded func(service, key string)
	// FetchRevision is called with the revision at which the list named a later incarnation than
	// this entry knows. It may be nil and must not block.
	FetchRevision func(revision magno.Revision)

	// forwardQueue holds the replies of agents to be forwarded to the other entries.
	forwardQueue chan gate.StatusReply

	mu sync.Mutex
	// agents matches the replicas of snap, removed holds those that did so before.
	agents  map[string]*agentState
	removed removedAgents
	snap    *view.Snapshot
	// addresses are those of the agents, nil if they aren't determined for snap yet.
	addresses []string
	// turns counts the agents that were considered for a turn in takesTurn, separately for
	// those that this entry polls on behalf of its data centre and for the others.
	turns struct {
		own, other int
	}
	polls *metrics.Counter
	fails *metrics.Counter
}

// Name implements magno.Task.
func (c *Client) Name() string { return "desk" }

// Open registers the methods on the mesh. It must be called before either runs.
func (c *Client) Open() {
	c.forwardQueue = make(chan gate.StatusReply, maxQueuedStatuses)
	c.Mesh.Handle(MethodForward, c.handleForward)
}

// Run polls agents until ctx ends.
func (c *Client) Run(ctx context.Context) error {
	c.polls = metrics.GetOrCreateCounter("agent_polls_total")
	c.fails = metrics.GetOrCreateCounter("agent_poll_failures_total")
	ticks := time.NewTicker(pollInterval.Duration())
	defer ticks.Stop()
	forwardTimer := time.NewTimer(forwardDelay.Duration())
	defer forwardTimer.Stop()
	var wg sync.WaitGroup
	defer wg.Wait()
	var batch []gate.StatusReply
	changed := c.Book.Changed()
	c.pollDue(ctx, &wg)
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
			changed = c.Book.Changed()
			c.pollDue(ctx, &wg)
		case <-ticks.C:
			c.pollDue(ctx, &wg)
		case a := <-c.forwardQueue:
			if len(batch) == 0 {
				forwardTimer.Reset(forwardDelay.Duration())
			}
			batch = append(batch, a)
		case <-forwardTimer.C:
			c.forward(ctx, &wg, batch)
			batch = nil
		}
	}
}

// pollDue polls the agents that are due.
func (c *Client) pollDue(ctx context.Context, wg *sync.WaitGroup) {
	c.syncAgents()
	for _, s := range c.due() {
		wg.Add(1)
		go func() {
			defer wg.Done()
			c.poll(ctx, s)
		}()
	}
}

// syncAgents updates the agents from the list. It does so only when the list has changed:
// comparing the specs of all agents is too expensive for each tick.
func (c *Client) syncAgents() {
	c.mu.Lock()
	defer c.mu.Unlock()
	snap := c.Book.Current() // read with mu held, since several tasks call this
	if snap.Plan == nil || snap == c.snap {
		return
	}
	c.snap, c.addresses = snap, nil
	weights := customerWeights(snap.Plan.Customers)
	old := c.agents
	c.agents = make(map[string]*agentState, len(old))
	for _, r := range snap.Replicas {
		service, s := snap.Plan.Service(r.Service), old[r.Key()]
		if service == nil && s != nil {
			c.agents[r.Key()] = s // requests that began before are still sent there
		}
		if service == nil || service.Engine == nil {
			continue
		}
		host, _, _ := net.SplitHostPort(r.Address) // validated when it was decoded
		if s == nil {
			s = &agentState{
				addr: net.JoinHostPort(host, strconv.Itoa(c.AgentPort)), hash: xxhash.Sum64String(r.Key()),
				lostCh: make(chan struct{}), heardAt: c.Clock.Now(),
			}
		}
		s.replica = r
		spec := &gate.Spec{Replica: r.Key(), ID: r.ID, Engine: *service.Engine, Pins: snap.Pins, Leaving: r.Leaving, Weights: weights}
		if s.spec == nil || !reflect.DeepEqual(s.spec, spec) {
			s.spec, s.specRevision = spec, snap.Revision
		}
		c.agents[r.Key()] = s
	}
	c.removeAgents(old)
}

// Addresses returns the addresses of the agents of all engines in the list, sorted. The caller must not
// change them.
func (c *Client) Addresses() []string {
	c.syncAgents()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.addresses == nil {
		c.addresses = make([]string, 0, len(c.agents))
		for _, s := range c.agents {
			c.addresses = append(c.addresses, s.addr)
		}
		slices.Sort(c.addresses)
		c.addresses = slices.Compact(c.addresses)
	}
	return c.addresses
}

// due returns the agents to poll now and marks them as being polled.
func (c *Client) due() []*agentState {
	share := c.currentShare()
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.Clock.Now()
	intervals := intervalsFor(len(c.agents), len(share.others) > 0)
	list := make([]*agentState, 0, min(len(c.agents), maxPolledPerTick))
	for _, s := range c.agents {
		owned, total := share.owns(s), len(c.agents)
		if owned {
			total /= share.pollers()
		}
		turn := &c.turns.other
		if owned {
			turn = &c.turns.own
		}
		if s.polling || s.isFresh(now, intervals, owned) || !takesTurn(s, now, total, turn) {
			continue
		}
		s.polling, s.polledAt, s.sentRevision = true, now, s.specRevision
		list = append(list, s)
	}
	return list
}

// pollIntervals are the times between two polls of an agent.
type pollIntervals struct {
	// busy applies to agents whose state changed, calm to the others.
	busy, calm magno.Millis
}

// intervalsFor returns the intervals for a number of agents, which the entries of a data centre
// may share. The interval of calm agents grows with their number, so that the number of replies
// per second that an entry receives doesn't.
func intervalsFor(agents int, shared bool) pollIntervals {
	scaled := pollInterval * magno.Millis(max(agents, pollScaleAgents)) / pollScaleAgents
	p := pollIntervals{busy: min(scaled, maxPollScale*pollInterval), calm: scaled}
	if shared {
		p.busy, p.calm = p.busy/sharedPollDivisor, p.calm/sharedPollDivisor
	}
	p.busy = max(p.busy, pollInterval)
	p.calm = min(max(p.calm, p.busy), maxCalmInterval)
	return p
}

// takesTurn reports whether an agent may be polled now, given the total number of agents of its
// kind (polled on behalf of the data centre, or not). In a very large fleet, agents that aren't
// in use or are lost are polled seldom: polling a thousand of them would use up a small
// machine's processor.
func takesTurn(s *agentState, now magno.Millis, total int, turn *int) bool {
	suspected := s.misses > 0 && !s.lost
	if total < 2*maxPolledPerTick || now-s.usedAt <= recentUse || suspected {
		return true
	}
	*turn++
	rounds := (total + maxPolledPerTick - 1) / maxPolledPerTick // rounded up, so that both kinds together stay within the bound
	return *turn%rounds == 0
}

// poll polls one agent, and sends the spec if the agent doesn't have it.
func (c *Client) poll(ctx context.Context, s *agentState) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout.Duration())
	defer cancel()
	c.mu.Lock()
	spec, revision, listsHash := s.spec, s.specRevision, s.status.ListsHash
	c.mu.Unlock()
	call := gate.StatusCall{Revision: revision, ListsHash: listsHash, Replica: spec.Replica, Limit: c.Notices.State(spec.Replica)}
	var reply gate.StatusReply
	sentAt := c.Clock.Now()
	err := c.Mesh.Call(ctx, s.addr, gate.MethodStatus, call, &reply)
	took := c.Clock.Now() - sentAt
	if err == nil && (reply.Revision < revision || (reply.Replica != spec.Replica && reply.Revision <= revision)) {
		call.Spec, call.Entry = spec, c.Self
		err = c.Mesh.Call(ctx, s.addr, gate.MethodStatus, call, &reply)
	}
	c.polls.Inc()
	c.mu.Lock()
	s.polling = false
	if err == nil {
		s.recordTrip(max(took, 1))
	}
	c.mu.Unlock()
	if err != nil {
		c.fails.Inc()
		c.recordMiss(s, err)
		return
	}
	c.queueForward(reply)
	c.recordStatus(s, &reply, listsHash)
}
