// Package limit keeps requests within the limits that upstreams without an agent name.
//
//	relay --Take--> home of the upstream (this or another entry): pace --> granted or not
//	relay --Report--> home --state, at each change--> all entries
//
// Load pattern: a plain service names a limit of a few requests per second, and hundreds of
// entries send to it, each about once a minute. An entry that has only its own answers to go
// by would learn of the limit after it has mattered, and none knows what the others send. So
// one entry, the upstream's home, counts for all and tells all of them of the limit. It also tells
// them that the upstream leaves.
//
// Nothing lasts: a home that starts takes the limit from the first entry that asks it, and
// begins without a burst. While no home can be reached no request is granted, since every
// entry could be the only one that still is.
package limit

import (
	"context"
	"encoding/json"
	"log/slog"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"magnoliastall.example/magno"
	"magnoliastall.example/magno/grant"
	"magnoliastall.example/magno/notice"
	"magnoliastall.example/magno/pace"
	"magnoliastall.example/magno/wire"
)

// Methods of the protocol between entries.
const (
	MethodTake   = "take"   // takeCall, answered by takeReply
	MethodReport = "stated" // reportCall, a notification to the home
	MethodState  = "limit"  // stateCall, a notification to all entries
)

const (
	// callTimeout bounds a call to a home.
	callTimeout = 150 * magno.Millis(1)
	// homeRetryAfter is when to ask again after no home answered.
	homeRetryAfter = 300 * magno.Millis(1)
	// maxHomes bounds the homes that are tried. The second is tried only if the first can't be
	// reached at all.
	maxHomes = 2
	// stateTimeout bounds the delivery of a change to one entry, and doubles with each of
	// maxDeliveries tries. The first change opens connections to all entries, which takes a small
	// or busy machine some time.
	stateTimeout  = 500 * magno.Millis(1)
	maxDeliveries = 4
	// maxQueued bounds the changes that wait to be sent to all entries.
	maxQueued = 64
	// homeTTL is how long a home remembers an upstream that nobody asked for.
	homeTTL       = magno.Minute
	pruneInterval = 10 * magno.Second
	// retellInterval is the least time after which all entries are told again of what was news to one of
	// them: those that started since don't know it either.
	retellInterval = magno.Second
)

// takeCall asks for one request to an upstream. Rate is its limit as far as the caller knows.
type takeCall struct {
	Key  string  `json:"key"`
	Rate float64 `json:"rate"`
}

type takeReply struct {
	magno.LimitGrant
	// State is what the home knows of the limit.
	State magno.LimitState `json:"state"`
}

// reportCall tells the home what an answer stated. Grant is zero if the request was sent without
// one.
type reportCall struct {
	Key     string           `json:"key"`
	Limited bool             `json:"limited,omitempty"`
	Rate    float64          `json:"rate,omitempty"`
	Leaving bool             `json:"leaving,omitempty"`
	Grant   magno.LimitGrant `json:"grant"`
}

// stateCall tells what the home knows of an upstream.
type stateCall struct {
	Key string `json:"key"`
	// State is nil if no limit was named.
	State *magno.LimitState `json:"state,omitempty"`
	// LeavingAge is the time since the upstream stated that it leaves, zero if it didn't.
	LeavingAge magno.Millis `json:"parting,omitempty"`
}

// change is a change of what the home knows of an upstream.
type change struct {
	key     string
	state   *magno.LimitState
	leaving bool
	at      magno.Millis
}

// call returns the call that tells of the change at the given time.
func (c *change) call(now magno.Millis) stateCall {
	call := stateCall{Key: c.key}
	if c.state != nil {
		aged := *c.state
		aged.Age += now - c.at
		call.State = &aged
	}
	if c.leaving {
		call.LeavingAge = max(now-c.at, 1)
	}
	return call
}

// Manager asks the homes of upstreams, and is the home of some. Exported fields are set before
// Open.
type Manager struct {
	// Self is this entry's address.
	Self string
	Mesh *wire.Mesh
	// Homes lists the addresses of an upstream's homes in order of preference.
	Homes func(key string) []string
	// Entries returns a new list of the addresses of all live entries, including this one.
	Entries func() []string
	// Count returns the number of entries that are alive and the number known.
	Count   func() (alive, known int)
	Notices *notice.Board
	Clock   *magno.Clock
	Log     *slog.Logger

	// process identifies this process in grants.
	process uint64

	mu sync.Mutex
	// homes holds the upstreams that this entry is the home of.
	homes        map[string]*home
	changes      chan change
	calls, fails *metrics.Counter
}

// home is the accounting of one upstream.
type home struct {
	limiter pace.Limiter
	// leaving is true once all entries were told that the upstream leaves.
	leaving bool
	// usedAt is when the upstream was last asked for, toldAt when all entries were last told of it.
	usedAt, toldAt magno.Millis
}

// Open registers the methods on the mesh. It must be called before the mesh runs.
func (m *Manager) Open() {
	m.process = rand.Uint64() | 1
	m.homes = map[string]*home{}
	m.changes = make(chan change, maxQueued)
	m.calls = metrics.GetOrCreateCounter("limit_calls_total")
	m.fails = metrics.GetOrCreateCounter("limit_failures_total")
	m.Mesh.Handle(MethodTake, m.handleTake)
	m.Mesh.Handle(MethodReport, m.handleReport)
	m.Mesh.Handle(MethodState, m.handleState)
}

// Name implements magno.Task.
func (m *Manager) Name() string { return "limit" }

// Run sends changes to all entries until ctx ends.
func (m *Manager) Run(ctx context.Context) error {
	ticks := time.NewTicker(pruneInterval.Duration())
	defer ticks.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case c := <-m.changes:
			m.broadcast(ctx, c)
		case <-ticks.C:
			m.prune()
		}
	}
}

// Take asks the upstream's home for one request. A home that doesn't answer grants nothing.
func (m *Manager) Take(ctx context.Context, key string, rate float64) magno.LimitGrant {
	homes := m.Homes(key)
	for _, addr := range homes[:min(len(homes), maxHomes)] {
		reply, err := m.callTake(ctx, addr, takeCall{Key: key, Rate: rate})
		if err == nil {
			if !reply.State.Limited {
				m.Notices.Adopt(key, reply.State)
			}
			return reply.LimitGrant
		}
		m.fails.Inc()
		m.Log.Info("limit", "home", addr, "replica", key, "error", err)
		if !wire.NotSent(err) {
			break
		}
	}
	return magno.LimitGrant{RetryAfter: homeRetryAfter}
}

func (m *Manager) callTake(ctx context.Context, addr string, call takeCall) (takeReply, error) {
	if addr == m.Self {
		return m.take(call), nil
	}
	m.calls.Inc()
	ctx, cancel := context.WithTimeout(ctx, callTimeout.Duration())
	defer cancel()
	var reply takeReply
	err := m.Mesh.Call(ctx, addr, MethodTake, call, &reply)
	return reply, err
}

// Report tells the upstream's home what an answer stated. The answer belongs to a request with
// the given grant, zero if it was sent without one. If the notification is lost, the next
// answer repeats it.
func (m *Manager) Report(key string, n magno.Notice, g magno.LimitGrant) {
	homes := m.Homes(key)
	if len(homes) == 0 {
		return
	}
	call := reportCall{Key: key, Limited: n.Limited, Rate: n.Rate, Leaving: n.Leaving, Grant: g}
	if homes[0] == m.Self {
		m.report(call)
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout.Duration())
	defer cancel()
	if err := m.Mesh.Notify(ctx, homes[0], MethodReport, call); err != nil {
		m.Log.Info("limit", "home", homes[0], "replica", key, "limited", n.Limited, "rate", n.Rate, "error", err)
	}
}

// take grants a request as the upstream's home.
//
// While entries are partitioned each part has a home of its own, and each grants only the share
// of the entries that it sees, or nothing if it can't know how many others there are.
func (m *Manager) take(call takeCall) takeReply {
	alive, known := m.Count()
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.Clock.Now()
	l := &m.home(call.Key, now).limiter
	if l.State(now) == nil {
		l.Name(call.Rate, now, now)
	}
	state := *l.State(now)
	if !l.Allows(now) {
		return takeReply{LimitGrant: magno.LimitGrant{RetryAfter: l.RetryAfter(now)}, State: state}
	}
	if state.Limited && !grant.Grants(alive, known) {
		return takeReply{LimitGrant: magno.LimitGrant{RetryAfter: homeRetryAfter}, State: state}
	}
	l.Take(1 / grant.Share(alive, known))
	return takeReply{LimitGrant: magno.LimitGrant{Granted: true, Rate: state.Rate, At: now, Process: m.process}, State: state}
}

// report takes what an answer stated as the upstream's home, and has all entries told of a
// change.
func (m *Manager) report(call reportCall) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.Clock.Now()
	if !m.learn(&call, now) {
		return
	}
	h := m.home(call.Key, now)
	select {
	case m.changes <- change{key: call.Key, state: h.limiter.State(now), leaving: h.leaving, at: now}:
	default: // entries learn of it from their own answers
		m.Log.Warn("queue of upstream states is full", "replica", call.Key)
	}
}

// learn records what an answer stated, and reports whether all entries are to be told. The caller holds mu.
//
// Load pattern: most entries are killed at once, but not the home. Each that starts reports what is news to
// it alone, and the others that started would have to find out for themselves.
func (m *Manager) learn(call *reportCall, now magno.Millis) bool {
	h := m.home(call.Key, now)
	l := &h.limiter
	changed := call.Leaving != h.leaving
	h.leaving = call.Leaving
	switch {
	case call.Limited:
		changed = l.Name(call.Rate, now, now) || changed
	case call.Grant.Process == m.process: // other processes have other clocks
		changed = l.End(call.Grant.At, now) || changed
	}
	again := (call.Leaving || call.Limited) && now-h.toldAt >= retellInterval
	if !changed && !again {
		return false
	}
	h.toldAt = now
	return true
}

// home returns the accounting of an upstream. The caller holds mu.
func (m *Manager) home(key string, now magno.Millis) *home {
	h := m.homes[key]
	if h == nil {
		h = &home{}
		m.homes[key] = h
	}
	h.usedAt = now
	return h
}

func (m *Manager) prune() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for key, h := range m.homes {
		if m.Clock.Now()-h.usedAt > homeTTL {
			delete(m.homes, key)
		}
	}
}

// adopt records what a home knows of an upstream.
func (m *Manager) adopt(c stateCall, from string) {
	if c.State != nil && m.Notices.Adopt(c.Key, *c.State) {
		m.Log.Info("upstream notice", "replica", c.Key, "limited", c.State.Limited, "rate", c.State.Rate, "from", from)
	}
	if c.LeavingAge > 0 && m.Notices.AdoptLeaving(c.Key, c.LeavingAge) {
		m.Log.Info("upstream notice", "replica", c.Key, "leaving", true, "from", from)
	}
}

// broadcast tells all entries what is known of an upstream. Those that weren't reached are tried
// again; an entry that never is learns it from its own answers.
func (m *Manager) broadcast(ctx context.Context, c change) {
	m.adopt(c.call(m.Clock.Now()), m.Self)
	addrs := slices.DeleteFunc(m.Entries(), func(addr string) bool { return addr == m.Self })
	for n := 0; n < maxDeliveries && len(addrs) > 0 && ctx.Err() == nil; n++ {
		addrs = m.deliver(ctx, addrs, stateTimeout<<n, c.call(m.Clock.Now()))
	}
}

// deliver tells the given entries what is known of an upstream, and returns those that weren't
// reached.
func (m *Manager) deliver(ctx context.Context, addrs []string, timeout magno.Millis, call stateCall) []string {
	var mu sync.Mutex
	var missed []string
	err := m.Mesh.Broadcast(ctx, addrs, MethodState, timeout, call, func(addr string, err error) {
		m.Log.Info("cannot pass on an upstream's state", "addr", addr, "replica", call.Key, "error", err)
		mu.Lock()
		defer mu.Unlock()
		missed = append(missed, addr)
	})
	if err != nil {
		m.Log.Error("cannot encode an upstream's state", "replica", call.Key, "error", err)
	}
	return missed
}

func (m *Manager) handleTake(_ context.Context, _ *wire.Peer, params json.RawMessage) (any, error) {
	var call takeCall
	if err := json.Unmarshal(params, &call); err != nil {
		return nil, magno.Refuse(magno.KindMalformed, "%v", err)
	}
	return m.take(call), nil
}

func (m *Manager) handleReport(_ context.Context, _ *wire.Peer, params json.RawMessage) (any, error) {
	var call reportCall
	if err := json.Unmarshal(params, &call); err != nil {
		m.Log.Warn("malformed report of a limit", "error", err)
		return nil, err
	}
	m.report(call)
	return nil, nil
}

func (m *Manager) handleState(_ context.Context, p *wire.Peer, params json.RawMessage) (any, error) {
	var call stateCall
	if err := json.Unmarshal(params, &call); err != nil {
		m.Log.Warn("malformed state of a limit", "error", err)
		return nil, err
	}
	m.adopt(call, p.Addr)
	return nil, nil
}
