// Package lease holds this process's parts of the customers' allowances, and asks the
// customers' homes for more.
//
//	relay --Take--> quota --tokens at hand--> runs
//	                  |
//	                  '--> call --lease--> home: grant (here or another entry)
//
// Waiting requests of one customer share a call. A home that doesn't answer costs its
// callers one time limit, and this process uses a part of its own meanwhile.
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

// MethodLease is asked of a customer's home: grant.Request, answered by grant.Reply.
const MethodLease = "lease"

const (
	// callTime is the timeout of a call to a home, retryAfter how long a home that timed
	// out isn't called again.
	callTime   = 150 * magno.Millis(1)
	retryAfter = magno.Second
	// defaultWindow holds where the platform states none.
	defaultWindow = 8 * magno.Second
	// mostHomes is how many homes are tried: the second only where the first can't be
	// reached at all.
	mostHomes = 2
	// mostWaits is how often a request waits for a home's answer.
	mostWaits = 3
	// waitAfter is when a caller should come back whose request got no word in time.
	waitAfter = 200 * magno.Millis(1)
	// giveEvery is how often tokens that nobody needs go back to their homes.
	giveEvery = 500 * magno.Millis(1)
)

var errNoHome = errors.New("no home answers")

// Manager is the duty. Fields are set before Open.
type Manager struct {
	// Self is this entry's address.
	Self string
	Mesh *wire.Mesh
	// Homes lists the addresses of a customer's homes, the first one first.
	Homes func(customer string) []string
	// Count tells how many entries are alive and known.
	Count func() (alive, known int)
	// Limit is a customer's in the configuration, nil where it has none.
	Limit func(customer string) *magno.Limit
	// Window is the span in which allowances are bounded, zero for defaultWindow.
	Window magno.Millis
	Clock  *magno.Clock
	Log    *slog.Logger

	mu     sync.Mutex
	quota  quota.Quota
	grants grant.Granter
	queues map[string]*queue
	// retry maps homes that didn't answer to when they may be asked again.
	retry        map[string]magno.Millis
	calls, fails *metrics.Counter
	working      sync.WaitGroup
	// ended is true once no call may begin.
	ended bool
}

// queue is one customer's calls to its home, made one at a time.
type queue struct {
	running bool
	// next is the call that waiting requests join, nil when none waits.
	next *call
}

// call is one question to a home.
type call struct {
	customer string
	limit    magno.Limit
	// need is what the requests that wait for it cost, least the smallest of them.
	need, least float64
	// done is closed after failed is set.
	done   chan struct{}
	failed bool
}

// Open takes the method on the mesh, before it runs.
func (l *Manager) Open() {
	l.quota.Clock, l.grants.Clock = l.Clock, l.Clock
	l.grants.Window = l.Window
	if l.Window <= 0 {
		l.grants.Window = defaultWindow
	}
	l.queues, l.retry = map[string]*queue{}, map[string]magno.Millis{}
	l.calls = metrics.GetOrCreateCounter("lease_calls_total")
	l.fails = metrics.GetOrCreateCounter("lease_failures_total")
	l.Mesh.Handle(MethodLease, l.onLease)
}

// Name implements magno.Duty.
func (l *Manager) Name() string { return "lease" }

// Run gives back what nobody needs until ctx ends, then waits for calls under way.
func (l *Manager) Run(ctx context.Context) error {
	defer l.end()
	for magno.Pause(ctx, giveEvery) {
		l.mu.Lock()
		for customer, limit := range l.quota.Surplus() {
			l.join(customer, limit, 0)
		}
		l.mu.Unlock()
	}
	return nil
}

// end lets calls under way finish, and none begin.
func (l *Manager) end() {
	l.mu.Lock()
	l.ended = true
	l.mu.Unlock()
	l.working.Wait()
}

// Take takes a request's cost from its customer's allowance, or refuses it.
func (l *Manager) Take(ctx context.Context, c *magno.Customer, cost float64) *magno.Refusal {
	l.mu.Lock()
	v, after := l.quota.Take(c.Name, *c.Limit, cost)
	if v == quota.Allowed && l.quota.Low(c.Name, *c.Limit) {
		l.join(c.Name, *c.Limit, 0)
	}
	for range mostWaits {
		if v != quota.Pending {
			break
		}
		asked := l.join(c.Name, *c.Limit, cost)
		l.mu.Unlock()
		select {
		case <-asked.done:
		case <-ctx.Done():
			return magno.Refuse(magno.KindQuota, "its time was over before the allowance was known").Later(waitAfter)
		}
		l.mu.Lock()
		if asked.failed {
			_, known := l.Count()
			v, after = l.quota.Fallback(c.Name, *c.Limit, cost, known)
		} else {
			v, after = l.quota.TakeAgain(c.Name, *c.Limit, cost)
		}
	}
	l.mu.Unlock()
	switch v {
	case quota.Allowed:
		return nil
	case quota.Pending:
		after = waitAfter
	}
	return magno.Refuse(magno.KindQuota, "%s is over its limit", c.Name).Later(after)
}

// Give returns the cost of a request that has not run.
func (l *Manager) Give(c *magno.Customer, cost float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.quota.Give(c.Name, *c.Limit, cost)
}

// join has a request's cost asked for, with what else waits; zero for none. The caller
// holds mu.
func (l *Manager) join(customer string, limit magno.Limit, cost float64) *call {
	q := l.queues[customer]
	if q == nil {
		q = &queue{}
		l.queues[customer] = q
	}
	if q.next == nil {
		q.next = &call{customer: customer, limit: limit, done: make(chan struct{})}
	}
	c := q.next
	c.limit = limit
	if cost > 0 && (c.least == 0 || cost < c.least) {
		c.least = cost
	}
	c.need += cost
	if l.ended {
		q.next, c.failed = nil, true
		close(c.done)
		return c
	}
	if !q.running {
		q.running = true
		l.working.Add(1)
		go func() {
			defer l.working.Done()
			l.work(q)
		}()
	}
	return c
}

// work makes a customer's calls until none waits.
func (l *Manager) work(q *queue) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for q.next != nil {
		c := q.next
		q.next = nil
		ask := l.quota.Ask(c.customer, c.limit, c.need, c.least)
		l.mu.Unlock()
		reply, err := l.call(ask)
		l.mu.Lock()
		if err != nil {
			c.failed = true
			l.quota.Give(c.customer, c.limit, ask.Returned)
		} else {
			l.quota.Granted(ask, reply, c.limit)
		}
		close(c.done)
	}
	q.running = false
}

// call asks the customer's home.
func (l *Manager) call(ask grant.Request) (grant.Reply, error) {
	homes := l.Homes(ask.Customer)
	for _, addr := range homes[:min(len(homes), mostHomes)] {
		if addr == l.Self {
			return l.grant(ask)
		}
		if l.backsOff(addr) {
			return grant.Reply{}, errNoHome
		}
		l.calls.Inc()
		var reply grant.Reply
		ctx, cancel := context.WithTimeout(context.Background(), callTime.Span())
		err := l.Mesh.Call(ctx, addr, MethodLease, ask, &reply)
		cancel()
		if err == nil {
			return reply, nil
		}
		l.fails.Inc()
		l.Log.Info("lease", "home", addr, "customer", ask.Customer, "need", ask.Need, "error", err)
		if !wire.NotSent(err) || errors.Is(err, context.DeadlineExceeded) {
			l.backOff(addr)
			return grant.Reply{}, err
		}
	}
	return grant.Reply{}, errNoHome
}

func (l *Manager) backsOff(addr string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.Clock.Now() < l.retry[addr]
}

func (l *Manager) backOff(addr string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.retry[addr] = l.Clock.Now() + retryAfter
}

// grant answers as the customer's home.
func (l *Manager) grant(ask grant.Request) (grant.Reply, error) {
	limit := l.Limit(ask.Customer)
	if limit == nil {
		return grant.Reply{}, magno.Refuse(magno.KindStarting, "no limit of customer %q is known here", ask.Customer)
	}
	alive, known := l.Count()
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.grants.Grant(ask, *limit, alive, known), nil
}

func (l *Manager) onLease(_ context.Context, _ *wire.Peer, params json.RawMessage) (any, error) {
	var ask grant.Request
	if err := json.Unmarshal(params, &ask); err != nil {
		return nil, magno.Refuse(magno.KindMalformed, "%v", err)
	}
	return l.grant(ask)
}
