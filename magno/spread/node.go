// Package spread carries gossip between processes and follows what it decides:
// it watches the configuration service while this process is a reader, and
// fetches from a peer what deltas can't bring.
//
//	gossip.State --exchanges--> mesh --> peers
//	      |  ^------ replies, requests ----'
//	      +-- reads? --> watch.Reader --> config.Store
//	      +-- behind? --> mend.Mender --> config.Store
package spread

import (
	"context"
	"encoding/json"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"magnoliastall.example/magno"
	"magnoliastall.example/magno/config"
	"magnoliastall.example/magno/gossip"
	"magnoliastall.example/magno/mend"
	"magnoliastall.example/magno/watch"
	"magnoliastall.example/magno/wire"
)

// Figures of a node.
const (
	// tickEvery is half of gossip.Haste, so that news waits no longer.
	tickEvery = 25 * magno.Millis(1)
	// callLimit is how long an exchange waits: several round trips between
	// regions, and short enough that a lost peer is noticed within seconds.
	callLimit = magno.Second
	// pullLimit is how long a whole version may take; tens of megabytes.
	pullLimit = magno.Minute
	// seedEvery is how often the platform's list is compared.
	seedEvery = magno.Second
	// maxExchanges is how many run at once.
	maxExchanges = 16
	// maxPulls is how many peers this process serves at once. The others go
	// to peers that were served before, so that the number doubles.
	maxPulls = 2
)

// Node is the part of a process that talks about state with others. Fields
// are set before Open.
type Node struct {
	// Self is this process, without condition and incarnation.
	Self  gossip.Member
	Mesh  *wire.Mesh
	Store *config.Store
	// Reader is run while this process is a reader of its data centre; nil
	// for a process that never is.
	Reader *watch.Reader
	// List returns the platform's list as last read, false before that.
	List func() ([]magno.Instance, bool)
	// OnInstance is told what peers say of an instance; Marked of a mark. Both may
	// be nil, and neither may call the node.
	OnInstance func(magno.Instance)
	OnMark     func(gossip.Mark)
	Clock      *magno.Clock
	Log        *slog.Logger
	// Metrics may be nil.
	Metrics *metrics.Set
	// SendRate is in bytes a second sent; zero means gossip.DefaultBudget.
	SendRate int

	mu    sync.Mutex
	state *gossip.State

	mender    *mend.Mender
	pulls     chan struct{}
	exchanges chan struct{}
	pulling   bool
	working   sync.WaitGroup

	sent, received, calls, failures, refused *metrics.Counter
}

// Name returns the duty's name.
func (n *Node) Name() string { return "spread" }

// Open takes its methods on the mesh. It is called once, before either runs.
func (n *Node) Open() {
	if n.Log == nil {
		n.Log = slog.New(slog.DiscardHandler)
	}
	if n.Metrics == nil {
		n.Metrics = metrics.NewSet()
	}
	now := n.Clock.Now()
	n.state = &gossip.State{
		Self: n.Self, Store: n.Store, Clock: n.Clock, SendRate: n.SendRate, OnMark: n.OnMark, OnMember: n.learn,
		Rand: rand.New(rand.NewPCG(uint64(now), uint64(len(n.Self.Name)))), //nolint:gosec // no secret
	}
	n.mender = &mend.Mender{Store: n.Store}
	n.pulls = make(chan struct{}, maxPulls)
	n.exchanges = make(chan struct{}, maxExchanges)
	n.measure()
	n.Mesh.Handle(magno.MethodGossip, n.receive)
	n.Mesh.Handle(magno.MethodDelta, n.serve)
}

func (n *Node) measure() {
	n.sent = n.Metrics.GetOrCreateCounter("gossip_sent_bytes_total")
	n.received = n.Metrics.GetOrCreateCounter("gossip_received_bytes_total")
	n.calls = n.Metrics.GetOrCreateCounter("gossip_exchanges_total")
	n.failures = n.Metrics.GetOrCreateCounter("gossip_failures_total")
	n.refused = n.Metrics.GetOrCreateCounter("gossip_over_budget_total")
	n.Metrics.GetOrCreateGauge("gossip_members", func() float64 { return float64(n.Status().Members) })
	n.Metrics.GetOrCreateGauge("gossip_suspects", func() float64 { return float64(n.Status().Suspect) })
	n.Metrics.GetOrCreateGauge("gossip_reader", func() float64 {
		if n.Status().Reader {
			return 1
		}
		return 0
	})
}

func (n *Node) learn(m gossip.Member) {
	if n.OnInstance == nil {
		return
	}
	in := magno.Instance{Name: m.Name, Role: m.Role, DataCentre: m.DataCentre, Pool: m.Pool, Address: m.Address,
		State: magno.InstanceLive}
	if m.State == gossip.Leaving {
		in.State = magno.InstanceLeaving
	}
	n.OnInstance(in)
}

// Run exchanges until ctx ends.
func (n *Node) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer n.working.Wait()
	defer cancel()
	changes := n.Store.Subscribe()
	ticks := time.NewTicker(tickEvery.Span())
	defer ticks.Stop()
	reader := &role{name: "reader", log: n.Log}
	defer reader.stop()
	var seeded magno.Millis
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-changes:
			n.with(func(s *gossip.State) { s.ConfigChanged() })
		case <-ticks.C:
			if now := n.Clock.Now(); now-seeded >= seedEvery {
				seeded = now
				n.seed()
			}
			n.tick(ctx)
			if n.Reader != nil {
				reader.set(ctx, n.IsReader(), n.Reader.Run)
			}
		}
	}
}

// with calls f while no other goroutine uses the state.
func (n *Node) with(f func(*gossip.State)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	f(n.state)
}

// seed compares the platform's list, and says again who leaves, for a lagging
// list may have said otherwise since.
func (n *Node) seed() {
	list, ok := n.List()
	if !ok {
		return
	}
	n.with(func(s *gossip.State) {
		s.MergeInstances(list)
		for _, m := range s.Members() {
			if m.State == gossip.Leaving && m.Incarnation > 0 {
				n.learn(m)
			}
		}
	})
}

func (n *Node) tick(ctx context.Context) {
	var outs []gossip.Outbound
	var from gossip.Outbound
	n.with(func(s *gossip.State) {
		outs = s.Tick()
		if !n.pulling {
			from, n.pulling = s.NextPull()
		}
	})
	for _, out := range outs {
		n.send(ctx, out)
	}
	if from.Name != "" {
		n.working.Add(1)
		go n.pull(ctx, from)
	}
}

// send starts an exchange unless too many run.
func (n *Node) send(ctx context.Context, out gossip.Outbound) {
	select {
	case n.exchanges <- struct{}{}:
	default:
		return
	}
	n.working.Add(1)
	go func() {
		defer n.working.Done()
		defer func() { <-n.exchanges }()
		n.exchange(ctx, out)
	}()
}

// exchange sends a message and whatever follows from the reply.
func (n *Node) exchange(ctx context.Context, out gossip.Outbound) {
	for next := []gossip.Outbound{out}; len(next) > 0; {
		out, next = next[0], next[1:]
		var reply gossip.Message
		n.calls.Inc()
		n.sent.Add(out.Message.Size())
		err := n.call(ctx, out.Address, magno.MethodGossip, out.Message, &reply)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			n.failures.Inc()
			n.Log.Debug("exchange failed", "peer", out.Name, "error", err)
			if !answered(err) {
				n.with(func(s *gossip.State) { s.PeerFailed(out.Name) })
			}
			return
		}
		n.received.Add(reply.Size())
		n.with(func(s *gossip.State) { next = append(next, s.HandleReply(out, &reply)...) })
	}
}

func (n *Node) call(ctx context.Context, addr, method string, params, result any) error {
	ctx, cancel := context.WithTimeout(ctx, callLimit.Span())
	defer cancel()
	return n.Mesh.Call(ctx, addr, method, params, result)
}

// pull fetches a version from a peer.
func (n *Node) pull(ctx context.Context, from gossip.Outbound) {
	defer n.working.Done()
	ctx, cancel := context.WithTimeout(ctx, pullLimit.Span())
	defer cancel()
	told, err := n.mender.Pull(ctx, from.Name, func(ctx context.Context, ask mend.Ask) (mend.Reply, error) {
		var reply mend.Reply
		err := n.Mesh.Call(ctx, from.Address, magno.MethodDelta, ask, &reply)
		return reply, err
	})
	if err != nil && ctx.Err() == nil {
		n.Log.Warn("pull failed", "peer", from.Name, "version", told, "error", err)
	}
	n.with(func(s *gossip.State) {
		s.PullDone(told, err)
		n.pulling = false
	})
}

// receive answers a peer's message.
func (n *Node) receive(_ context.Context, _ *wire.Peer, params json.RawMessage) (any, error) {
	var in gossip.Message
	if err := json.Unmarshal(params, &in); err != nil {
		return nil, magno.Refuse(magno.KindMalformed, "%v", err)
	}
	n.received.Add(len(params))
	var reply *gossip.Message
	var ok bool
	n.with(func(s *gossip.State) { reply, ok = s.Receive(&in) })
	if !ok {
		n.refused.Inc()
		return nil, magno.Refuse(magno.KindBusy, "the budget for exchanges is used up")
	}
	n.sent.Add(reply.Size())
	return reply, nil
}

// serve answers a peer that fetches a version.
func (n *Node) serve(_ context.Context, _ *wire.Peer, params json.RawMessage) (any, error) {
	var ask mend.Ask
	if err := json.Unmarshal(params, &ask); err != nil {
		return nil, magno.Refuse(magno.KindMalformed, "%v", err)
	}
	select {
	case n.pulls <- struct{}{}:
		defer func() { <-n.pulls }()
		return n.mender.Serve(ask), nil
	default:
		return nil, magno.Refuse(magno.KindBusy, "enough peers fetch from this process")
	}
}

// Synced is true once this process knows that it is not behind its peers; it
// isn't ready before.
func (n *Node) Synced() (settled bool) {
	n.with(func(s *gossip.State) { settled = s.Synced() })
	return settled
}

// IsReader is true while this process is a reader of its data centre.
func (n *Node) IsReader() (reads bool) {
	n.with(func(s *gossip.State) { reads = s.IsReader() })
	return reads
}

// Leave tells all that this process takes no new work from now on.
func (n *Node) Leave() { n.with(func(s *gossip.State) { s.Leave() }) }

// SetMark spreads a mark.
func (n *Node) SetMark(m gossip.Mark) { n.with(func(s *gossip.State) { s.SetMark(m) }) }

// Status describes what is known.
func (n *Node) Status() (st gossip.Status) {
	n.with(func(s *gossip.State) { st = s.Status() })
	return st
}
