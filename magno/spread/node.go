// Package spread runs the gossip protocol over the network and acts on its
// decisions: it watches the configuration service while this process is a reader,
// and fetches the full configuration from a peer if deltas are not enough.
//
//	gossip.State --exchanges--> mesh --> peers
//	      |  ^------ replies, requests ----'
//	      +-- reader? --> watch.Reader --> config.Store
//	      +-- behind? --> mend.Syncer --> config.Store
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

const (
	// tickInterval is half of gossip.UrgentInterval, so that ticks add little delay
	// to urgent changes.
	tickInterval = 25 * magno.Millis(1)
	// exchangeTimeout is several round trips between regions, but short enough that a
	// lost peer is noticed within seconds.
	exchangeTimeout = magno.Second
	// pullTimeout is for a full configuration of tens of megabytes.
	pullTimeout = magno.Minute
	// mergeInterval is how often the platform's list is merged.
	mergeInterval = magno.Second
	// maxExchanges is how many exchanges run at once.
	maxExchanges = 16
	// maxServedPulls is how many peers fetch a configuration from this process at
	// once. The others try peers that already have it, so that the number of
	// sources doubles each round.
	maxServedPulls = 2
)

// Node connects the gossip protocol of a process to its mesh and store. Fields
// are set before Open.
type Node struct {
	// Self is this process, without state and incarnation.
	Self  gossip.Member
	Mesh  *wire.Mesh
	Store *config.Store
	// Reader runs while this process is a reader of its data centre; nil for a
	// process that never is.
	Reader *watch.Reader
	// List returns the platform's list as last read, false before the first read.
	List func() ([]magno.Instance, bool)
	// OnInstance is called when an instance is live or leaving according to a peer,
	// OnMark with each new mark. Both may be nil, and neither may call the node.
	OnInstance func(magno.Instance)
	OnMark     func(gossip.Mark)
	Clock      *magno.Clock
	Log        *slog.Logger
	// Metrics may be nil.
	Metrics *metrics.Set
	// SendRate is in bytes a second; zero means gossip.DefaultSendRate.
	SendRate int

	mu    sync.Mutex
	state *gossip.State

	mender *mend.Syncer
	// servedPulls and running limit concurrent pulls by peers and exchanges.
	servedPulls chan struct{}
	running     chan struct{}
	pulling     bool
	wg          sync.WaitGroup

	sent, received, exchanges, failures, overBudget *metrics.Counter
}

// Name implements magno.Task.
func (n *Node) Name() string { return "spread" }

// Open registers the handlers on the mesh. It is called once, before the mesh or
// the node runs.
func (n *Node) Open() {
	if n.Log == nil {
		n.Log = slog.New(slog.DiscardHandler)
	}
	if n.Metrics == nil {
		n.Metrics = metrics.NewSet()
	}
	now := n.Clock.Now()
	n.state = &gossip.State{
		Self: n.Self, Store: n.Store, Clock: n.Clock, SendRate: n.SendRate, OnMark: n.OnMark, OnMember: n.onMember,
		Rand: rand.New(rand.NewPCG(uint64(now), uint64(len(n.Self.Name)))), //nolint:gosec // no secret
	}
	n.mender = &mend.Syncer{Store: n.Store}
	n.servedPulls = make(chan struct{}, maxServedPulls)
	n.running = make(chan struct{}, maxExchanges)
	n.initMetrics()
	n.Mesh.Handle(magno.MethodGossip, n.handleMessage)
	n.Mesh.Handle(magno.MethodDelta, n.servePull)
}

func (n *Node) initMetrics() {
	n.sent = n.Metrics.GetOrCreateCounter("gossip_sent_bytes_total")
	n.received = n.Metrics.GetOrCreateCounter("gossip_received_bytes_total")
	n.exchanges = n.Metrics.GetOrCreateCounter("gossip_exchanges_total")
	n.failures = n.Metrics.GetOrCreateCounter("gossip_failures_total")
	n.overBudget = n.Metrics.GetOrCreateCounter("gossip_over_budget_total")
	n.Metrics.GetOrCreateGauge("gossip_members", func() float64 { return float64(n.Status().Members) })
	n.Metrics.GetOrCreateGauge("gossip_suspects", func() float64 { return float64(n.Status().Suspect) })
	n.Metrics.GetOrCreateGauge("gossip_reader", func() float64 {
		if n.Status().Reader {
			return 1
		}
		return 0
	})
}

func (n *Node) onMember(m gossip.Member) {
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

// Run runs the protocol until ctx ends.
func (n *Node) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer n.wg.Wait()
	defer cancel()
	changes := n.Store.Subscribe()
	ticks := time.NewTicker(tickInterval.Duration())
	defer ticks.Stop()
	reader := &role{name: "reader", log: n.Log}
	defer reader.stop()
	var lastMerge magno.Millis
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-changes:
			n.withState(func(s *gossip.State) { s.ConfigChanged() })
		case <-ticks.C:
			if now := n.Clock.Now(); now-lastMerge >= mergeInterval {
				lastMerge = now
				n.mergeInstances()
			}
			n.tick(ctx)
			if n.Reader != nil {
				reader.setHeld(ctx, n.IsReader(), n.Reader.Run)
			}
		}
	}
}

// withState calls f with the state locked.
func (n *Node) withState(f func(*gossip.State)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	f(n.state)
}

// mergeInstances merges the platform's list, and reports leaving members again:
// the list, which lags, may have replaced their state since.
func (n *Node) mergeInstances() {
	list, ok := n.List()
	if !ok {
		return
	}
	n.withState(func(s *gossip.State) {
		s.MergeInstances(list)
		for _, m := range s.Members() {
			if m.State == gossip.Leaving && m.Incarnation > 0 {
				n.onMember(m)
			}
		}
	})
}

func (n *Node) tick(ctx context.Context) {
	var messages []gossip.Outbound
	var from gossip.Outbound
	n.withState(func(s *gossip.State) {
		messages = s.Tick()
		if !n.pulling {
			from, n.pulling = s.NextPull()
		}
	})
	for _, out := range messages {
		n.send(ctx, out)
	}
	if from.Name != "" {
		n.wg.Add(1)
		go n.pull(ctx, from)
	}
}

// send starts an exchange, or drops the message if too many are running.
func (n *Node) send(ctx context.Context, out gossip.Outbound) {
	select {
	case n.running <- struct{}{}:
	default:
		return
	}
	n.wg.Add(1)
	go func() {
		defer n.wg.Done()
		defer func() { <-n.running }()
		n.exchange(ctx, out)
	}()
}

// exchange sends a message and the further ones that result from replies.
func (n *Node) exchange(ctx context.Context, out gossip.Outbound) {
	for next := []gossip.Outbound{out}; len(next) > 0; {
		out, next = next[0], next[1:]
		var reply gossip.Message
		n.exchanges.Inc()
		n.sent.Add(out.Message.Size())
		err := n.call(ctx, out.Address, magno.MethodGossip, out.Message, &reply)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			n.failures.Inc()
			n.Log.Debug("exchange failed", "peer", out.Name, "error", err)
			if !refusedByPeer(err) {
				n.withState(func(s *gossip.State) { s.PeerFailed(out.Name) })
			}
			return
		}
		n.received.Add(reply.Size())
		n.withState(func(s *gossip.State) { next = append(next, s.HandleReply(out, &reply)...) })
	}
}

func (n *Node) call(ctx context.Context, addr, method string, params, result any) error {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout.Duration())
	defer cancel()
	return n.Mesh.Call(ctx, addr, method, params, result)
}

// pull fetches the configuration from a peer.
func (n *Node) pull(ctx context.Context, from gossip.Outbound) {
	defer n.wg.Done()
	ctx, cancel := context.WithTimeout(ctx, pullTimeout.Duration())
	defer cancel()
	version, err := n.mender.Pull(ctx, from.Name, func(ctx context.Context, req mend.Request) (mend.Reply, error) {
		var reply mend.Reply
		err := n.Mesh.Call(ctx, from.Address, magno.MethodDelta, req, &reply)
		return reply, err
	})
	if err != nil && ctx.Err() == nil {
		n.Log.Warn("configuration fetch failed", "peer", from.Name, "version", version, "error", err)
	}
	n.withState(func(s *gossip.State) {
		s.PullDone(version, err)
		n.pulling = false
	})
}

// handleMessage answers a message of a peer.
func (n *Node) handleMessage(_ context.Context, _ *wire.Peer, params json.RawMessage) (any, error) {
	var in gossip.Message
	if err := json.Unmarshal(params, &in); err != nil {
		return nil, magno.Refuse(magno.KindMalformed, "%v", err)
	}
	n.received.Add(len(params))
	var reply *gossip.Message
	var ok bool
	n.withState(func(s *gossip.State) { reply, ok = s.Receive(&in) })
	if !ok {
		n.overBudget.Inc()
		return nil, magno.Refuse(magno.KindBusy, "the budget for exchanges is used up")
	}
	n.sent.Add(reply.Size())
	return reply, nil
}

// servePull answers a peer that fetches the configuration.
func (n *Node) servePull(_ context.Context, _ *wire.Peer, params json.RawMessage) (any, error) {
	var req mend.Request
	if err := json.Unmarshal(params, &req); err != nil {
		return nil, magno.Refuse(magno.KindMalformed, "%v", err)
	}
	select {
	case n.servedPulls <- struct{}{}:
		defer func() { <-n.servedPulls }()
		return n.mender.Serve(req), nil
	default:
		return nil, magno.Refuse(magno.KindBusy, "enough peers fetch from this process")
	}
}

// Synced reports whether this process knows that it is not behind its peers. It is
// not ready before.
func (n *Node) Synced() (synced bool) {
	n.withState(func(s *gossip.State) { synced = s.Synced() })
	return synced
}

// IsReader reports whether this process is a reader of its data centre.
func (n *Node) IsReader() (is bool) {
	n.withState(func(s *gossip.State) { is = s.IsReader() })
	return is
}

// Leave announces that this process accepts no new work from now on.
func (n *Node) Leave() { n.withState(func(s *gossip.State) { s.Leave() }) }

// SetMark sends a mark to all members.
func (n *Node) SetMark(m gossip.Mark) { n.withState(func(s *gossip.State) { s.SetMark(m) }) }

// Status returns the protocol state for operators.
func (n *Node) Status() (st gossip.Status) {
	n.withState(func(s *gossip.State) { st = s.Status() })
	return st
}
