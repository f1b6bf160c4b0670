// Package lease admits requests against customers' rate limits. It holds the tokens leased to
// this process and requests more from the customer's home, the entry that does the accounting
// for that customer.
//
//	relay --Take--> quota --enough tokens--> admitted
//	                  |
//	                  '--> call --lease--> home: grant (this or another entry)
//
// Waiting requests of one customer share a call. A home that doesn't answer delays its callers
// by one timeout; in the meantime the process admits requests from its own share of the limit.
package lease

import (
	"context"
	"encoding/json"
	"log/slog"
	"sync"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"

	"magnoliastall.example/magno"
	"magnoliastall.example/magno/grant"
	"magnoliastall.example/magno/quota"
	"magnoliastall.example/magno/wire"
)

// MethodLease requests tokens from a customer's home. It takes a grant.Request and returns a
// grant.Reply.
const MethodLease = "lease"

const (
	// callTimeout bounds a call to a home. A home that timed out isn't called again for
	// homeRetryDelay.
	callTimeout    = 150 * magno.Millis(1)
	homeRetryDelay = magno.Second
	// defaultWindow is used where the platform specifies no window.
	defaultWindow = 8 * magno.Second
	// maxHomes bounds the homes that are tried. The second is tried only if the first can't be
	// reached at all.
	maxHomes = 2
	// maxWaits bounds the calls to a home that one request waits for.
	maxWaits = 3
	// waitRetryAfter is the Retry-After of a request that got no decision in time.
	waitRetryAfter = 200 * magno.Millis(1)
	// returnInterval is how often unused tokens are returned to their homes.
	returnInterval = 500 * magno.Millis(1)
)

var errNoHome = errors.New("no home of the customer can be reached")

// Manager leases tokens for this process and grants them for the customers it is the home of.
// Exported fields are set before Open.
type Manager struct {
	// Self is this entry's address.
	Self string
	Mesh *wire.Mesh
	// Homes lists the addresses of a customer's homes in order of preference.
	Homes func(customer string) []string
	// Count returns the number of entries that are alive and the number known.
	Count func() (alive, known int)
	// Limit returns a customer's configured limit, nil if it has none.
	Limit func(customer string) *magno.Limit
	// Window is the interval over which limits are enforced. Zero means defaultWindow.
	Window magno.Millis
	Clock  *magno.Clock
	Log    *slog.Logger

	mu     sync.Mutex
	quota  quota.Quota
	grants grant.Granter
	queues map[string]*queue
	// retryAt maps homes that timed out to the time at which they may be called again.
	retryAt      map[string]magno.Millis
	calls, fails *metrics.Counter
	inFlight     sync.WaitGroup
	// closed is true once no more calls may start.
	closed bool
}

// queue holds the calls to one customer's home, which are made one at a time.
type queue struct {
	running bool
	// pending is the call that waiting requests join, nil if there is none.
	pending *call
}

// call is one request for tokens to a home.
type call struct {
	customer string
	limit    magno.Limit
	// need is the total cost of the requests that wait for the call, smallest the lowest cost
	// among them.
	need, smallest float64
	// done is closed after failed is set.
	done   chan struct{}
	failed bool
}

// Open registers the method on the mesh. It must be called before the mesh runs.
func (m *Manager) Open() {
	m.quota.Clock, m.grants.Clock = m.Clock, m.Clock
	m.quota.StartedAt = m.Clock.Now()
	m.grants.Window = m.Window
	if m.Window <= 0 {
		m.grants.Window = defaultWindow
	}
	m.queues, m.retryAt = map[string]*queue{}, map[string]magno.Millis{}
	m.calls = metrics.GetOrCreateCounter("lease_calls_total")
	m.fails = metrics.GetOrCreateCounter("lease_failures_total")
	m.Mesh.Handle(MethodLease, m.handleLease)
}

// Name implements magno.Task.
func (m *Manager) Name() string { return "lease" }

// Run returns unused tokens to their homes until ctx ends, then waits for calls in flight.
func (m *Manager) Run(ctx context.Context) error {
	defer m.close()
	for magno.Sleep(ctx, returnInterval) {
		m.mu.Lock()
		for customer, limit := range m.quota.Surplus() {
			m.enqueue(customer, limit, 0)
		}
		m.mu.Unlock()
	}
	return nil
}

// close waits for calls in flight and prevents new ones.
func (m *Manager) close() {
	m.mu.Lock()
	m.closed = true
	m.mu.Unlock()
	m.inFlight.Wait()
}

// Take admits a request and charges its cost to the customer's limit, or returns a refusal.
func (m *Manager) Take(ctx context.Context, c *magno.Customer, cost float64) *magno.Refusal {
	m.mu.Lock()
	v, after := m.quota.Take(c.Name, *c.Limit, cost)
	if v == quota.Allowed && m.quota.Low(c.Name, *c.Limit) {
		m.enqueue(c.Name, *c.Limit, 0)
	}
	for range maxWaits {
		if v != quota.Pending {
			break
		}
		pending := m.enqueue(c.Name, *c.Limit, cost)
		m.mu.Unlock()
		select {
		case <-pending.done:
		case <-ctx.Done():
			return magno.Refuse(magno.KindQuota, "its time was over before the allowance was known").WithRetryAfter(waitRetryAfter)
		}
		m.mu.Lock()
		if pending.failed {
			_, known := m.Count()
			v, after = m.quota.Fallback(c.Name, *c.Limit, cost, known)
		} else {
			v, after = m.quota.TakeAgain(c.Name, *c.Limit, cost)
		}
	}
	m.mu.Unlock()
	switch v {
	case quota.Allowed:
		return nil
	case quota.Pending:
		after = waitRetryAfter
	}
	return magno.Refuse(magno.KindQuota, "%s is over its limit", c.Name).WithRetryAfter(after)
}

// Give returns the cost of a request that was not executed.
func (m *Manager) Give(c *magno.Customer, cost float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.quota.Give(c.Name, *c.Limit, cost)
}

// enqueue adds a request's cost to the customer's pending call and starts the call if none is
// running. A cost of zero only triggers the call. The caller holds mu.
func (m *Manager) enqueue(customer string, limit magno.Limit, cost float64) *call {
	q := m.queues[customer]
	if q == nil {
		q = &queue{}
		m.queues[customer] = q
	}
	if q.pending == nil {
		q.pending = &call{customer: customer, limit: limit, done: make(chan struct{})}
	}
	c := q.pending
	c.limit = limit
	if cost > 0 && (c.smallest == 0 || cost < c.smallest) {
		c.smallest = cost
	}
	c.need += cost
	if m.closed {
		q.pending, c.failed = nil, true
		close(c.done)
		return c
	}
	if !q.running {
		q.running = true
		m.inFlight.Add(1)
		go func() {
			defer m.inFlight.Done()
			m.runQueue(q)
		}()
	}
	return c
}

// runQueue makes a customer's calls until none is pending.
func (m *Manager) runQueue(q *queue) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for q.pending != nil {
		c := q.pending
		q.pending = nil
		req := m.quota.Ask(c.customer, c.limit, c.need, c.smallest)
		m.mu.Unlock()
		reply, err := m.requestTokens(req)
		m.mu.Lock()
		if err != nil {
			c.failed = true
			m.quota.Give(c.customer, c.limit, req.Returned)
		} else {
			m.quota.Granted(req, reply, c.limit)
		}
		close(c.done)
	}
	q.running = false
}

// requestTokens requests tokens from the customer's home.
func (m *Manager) requestTokens(req grant.Request) (grant.Reply, error) {
	homes := m.Homes(req.Customer)
	for _, addr := range homes[:min(len(homes), maxHomes)] {
		if addr == m.Self {
			return m.grantLocally(req)
		}
		if m.backingOff(addr) {
			return grant.Reply{}, errNoHome
		}
		m.calls.Inc()
		var reply grant.Reply
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout.Duration())
		err := m.Mesh.Call(ctx, addr, MethodLease, req, &reply)
		cancel()
		if err == nil {
			return reply, nil
		}
		m.fails.Inc()
		m.Log.Info("lease", "home", addr, "customer", req.Customer, "need", req.Need, "error", err)
		if !wire.NotSent(err) || errors.Is(err, context.DeadlineExceeded) {
			m.startBackoff(addr)
			return grant.Reply{}, err
		}
	}
	return grant.Reply{}, errNoHome
}

func (m *Manager) backingOff(addr string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.Clock.Now() < m.retryAt[addr]
}

func (m *Manager) startBackoff(addr string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.retryAt[addr] = m.Clock.Now() + homeRetryDelay
}

// grantLocally answers a request for tokens as the customer's home.
func (m *Manager) grantLocally(req grant.Request) (grant.Reply, error) {
	limit := m.Limit(req.Customer)
	if limit == nil {
		return grant.Reply{}, magno.Refuse(magno.KindStarting, "no limit of customer %q is known here", req.Customer)
	}
	alive, known := m.Count()
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.grants.Grant(req, *limit, alive, known), nil
}

func (m *Manager) handleLease(_ context.Context, _ *wire.Peer, params json.RawMessage) (any, error) {
	var req grant.Request
	if err := json.Unmarshal(params, &req); err != nil {
		return nil, magno.Refuse(magno.KindMalformed, "%v", err)
	}
	return m.grantLocally(req)
}
