// Package queues holds the queues of an entry for plain services that many entries share.
//
//	relay --Acquire--> queue.Queue --Turn--> relay: send --Turn.End--> queue.Queue
//	list, notices --Update--^    ^--Run: timed decisions, peers' demand, metrics
//
// Where the settings ask for it, a service is queued if it has at most as many request slots as there are live entries. Requests to
// others are sent at once: with several request slots for each entry, every entry's own count of
// outstanding requests is enough to spread them.
package queues

import (
	"context"
	"log/slog"
	"math"
	"strconv"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"magnoliastall.example/magno"
	"magnoliastall.example/magno/queue"
	"magnoliastall.example/magno/view"
)

const (
	// refreshInterval is the time between two updates by the peers' demand, which come with hellos.
	refreshInterval = 400 * magno.Millis(1)
	// keepFactor is by how much a queued service's request slots may exceed the entries before it is
	// no longer queued. One entry that ends must not change how all others send.
	keepFactor = 1.25
	// minDemand is the least demand that is reported, in requests per second.
	minDemand = 0.05
	// demandScale rounds what is reported to tenths, which keeps hellos short.
	demandScale = 10
)

// ErrNotQueued is returned for a service whose requests are sent at once.
var ErrNotQueued = errors.New("the service isn't queued")

// Manager holds the queues. Exported fields are set before use.
type Manager struct {
	// Enabled is false if no service is queued.
	Enabled bool
	Clock   *magno.Clock
	Book    *view.Store
	// Leaving reports whether an upstream states that it leaves.
	Leaving func(key string) bool
	// Count returns how many entries are alive and how many may be, this one included. Until it has
	// met others an entry may know their number from its seeds.
	Count func() (alive, known int)
	// DemandShare returns this entry's share of the demand of all entries, given its own.
	DemandShare func(service string, own float64) float64
	// Seed makes entries choose differently among equal upstreams.
	Seed string
	Log  *slog.Logger

	mu       sync.Mutex
	services map[string]*service
	// wakeAt is when Run decides next, wake tells it that this is earlier than it knows.
	wakeAt magno.Millis
	wake   chan struct{}
	nextID uint64
}

// service is the queue of one service.
type service struct {
	name   string
	queue  queue.Queue
	active bool
	slots  int
	// waiting holds where to deliver the decision on each request that waits.
	waiting map[string]chan decision
}

// decision starts a request at an upstream, or refuses it.
type decision struct {
	upstream string
	refusal  *magno.Refusal
}

// Request is a request that is to be sent.
type Request struct {
	Customer string
	Rank     int
	// Due is when its answer loses its full value, Deadline when it is of no use any more.
	Due, Deadline magno.Millis
	// Received is when it arrived.
	Received magno.Millis
	// Avoid lists the upstreams that it was sent to.
	Avoid []string
}

// Turn allows to send one request to one upstream.
type Turn struct {
	Upstream string

	manager *Manager
	service *service
	id      string
	once    sync.Once
}

// Acquire waits until the request is to be sent. It returns ErrNotQueued, a *magno.Refusal, or the
// error of ctx otherwise.
func (m *Manager) Acquire(ctx context.Context, name string, r Request) (*Turn, error) {
	if !m.Enabled {
		return nil, ErrNotQueued
	}
	m.mu.Lock()
	s := m.get(name)
	if !s.active {
		m.mu.Unlock()
		return nil, ErrNotQueued
	}
	m.nextID++
	id := strconv.FormatUint(m.nextID, 10)
	refusal := s.queue.Offer(queue.Item{
		ID: id, Customer: r.Customer, Rank: r.Rank, StartBy: s.startBy(&r), Deadline: r.Deadline, Avoid: r.Avoid,
	})
	if refusal != nil {
		m.mu.Unlock()
		countRefused(name)
		return nil, refusal
	}
	decided := make(chan decision, 1)
	s.waiting[id] = decided
	m.decide(s)
	m.mu.Unlock()
	t := &Turn{manager: m, service: s, id: id}
	select {
	case d := <-decided:
		return t.decided(d)
	case <-ctx.Done():
	}
	m.mu.Lock()
	cancelled := s.queue.Cancel(id)
	delete(s.waiting, id)
	m.mu.Unlock()
	if !cancelled { // decided meanwhile
		if _, err := t.decided(<-decided); err != nil {
			return nil, err
		}
		t.End(queue.Result{Void: true})
	}
	return nil, ctx.Err()
}

// startBy returns by when a request is to be sent to be on time. At most half of the time that it has
// is set aside for the answer: if answers usually take longer, hardly any would count as on time.
func (s *service) startBy(r *Request) magno.Millis {
	return r.Due - min(s.queue.Stats().Usual, (r.Due-r.Received)/2)
}

func (t *Turn) decided(d decision) (*Turn, error) {
	if d.refusal != nil {
		countRefused(t.service.name)
		return nil, d.refusal
	}
	t.Upstream = d.upstream
	return t, nil
}

// End reports the end of the request. Only the first call counts.
func (t *Turn) End(res queue.Result) {
	t.once.Do(func() {
		t.manager.mu.Lock()
		defer t.manager.mu.Unlock()
		t.service.queue.Done(t.id, res)
		t.manager.decide(t.service)
	})
}

// Rest excludes an upstream of a service until the given time.
func (m *Manager) Rest(name, upstream string, until magno.Millis) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if s := m.services[name]; s != nil {
		s.queue.Rest(upstream, until)
	}
}

// Update passes the current upstreams to all queues.
func (m *Manager) Update() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, s := range m.services {
		m.updateUpstreams(s)
		m.decide(s)
	}
}

// Demand returns the requests per second that callers send to each service, nil if none is queued.
func (m *Manager) Demand() map[string]float64 {
	if !m.Enabled {
		return nil
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	demand := map[string]float64{}
	for name, s := range m.services {
		if d := s.queue.Stats().Demand; d >= minDemand {
			demand[name] = math.Round(d*demandScale) / demandScale
		}
	}
	return demand
}

// Name implements magno.Task.
func (m *Manager) Name() string { return "queues" }

// Run makes the decisions that are due at a time, until ctx ends.
func (m *Manager) Run(ctx context.Context) error {
	m.mu.Lock()
	m.setup()
	m.mu.Unlock()
	timer := time.NewTimer(0)
	defer timer.Stop()
	refreshedAt := magno.Millis(0)
	for {
		timer.Reset(m.due(&refreshedAt).Duration())
		select {
		case <-ctx.Done():
			return nil
		case <-timer.C:
		case <-m.wake:
		}
	}
}

// due makes the decisions that are due, and returns the time until the next are.
func (m *Manager) due(refreshedAt *magno.Millis) magno.Millis {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.Clock.Now()
	if now-*refreshedAt >= refreshInterval {
		*refreshedAt = now
		for _, s := range m.services {
			m.refresh(s)
		}
	}
	if m.wakeAt != 0 && m.wakeAt <= now {
		m.wakeAt = 0
		for _, s := range m.services {
			m.decide(s)
		}
	}
	wait := *refreshedAt + refreshInterval - now
	if m.wakeAt != 0 {
		wait = min(wait, m.wakeAt-now)
	}
	return max(wait, 1)
}

func (m *Manager) setup() {
	if m.services == nil {
		m.services, m.wake = map[string]*service{}, make(chan struct{}, 1)
	}
}

// get returns a service's queue, creating it on first use. The caller holds mu.
func (m *Manager) get(name string) *service {
	m.setup()
	if s := m.services[name]; s != nil {
		return s
	}
	s := &service{name: name, waiting: map[string]chan decision{}}
	s.queue = queue.Queue{Clock: m.Clock, Seed: xxhash.Sum64String(m.Seed + name), Weight: m.weight}
	m.services[name] = s
	m.updateUpstreams(s)
	m.refresh(s)
	return s
}

// weight returns a customer's weight.
func (m *Manager) weight(customer string) float64 {
	plan := m.Book.Current().Plan
	if plan == nil {
		return 1
	}
	for i := range plan.Customers {
		if plan.Customers[i].Name == customer {
			return plan.Customers[i].Weight
		}
	}
	return 1
}

// updateUpstreams passes the current upstreams to a queue. The caller holds mu.
func (m *Manager) updateUpstreams(s *service) {
	var list []queue.Upstream
	s.slots = 0
	for _, r := range m.Book.Current().Replicas {
		if r.Service != s.name {
			continue
		}
		u := queue.Upstream{Name: r.Key(), Slots: r.Slots, Leaving: r.Leaving || m.Leaving(r.Key())}
		list = append(list, u)
		if !u.Leaving {
			s.slots += u.Slots
		}
	}
	s.queue.Update(list)
}

// refresh passes the peers' state to a queue and reports the queue's own. The caller holds mu.
func (m *Manager) refresh(s *service) {
	alive, known := m.Count()
	if active := s.isQueued(alive, known); active != s.active {
		s.active = active
		m.Log.Info("queue", "service", s.name, "active", active, "slots", s.slots, "entries", alive)
	}
	stats := s.queue.Stats()
	s.queue.SetPeers(alive, m.share(s.name, alive, stats.Demand))
	metrics.GetOrCreateGauge(`queue_waiting{service="`+s.name+`"}`, nil).Set(float64(stats.Waiting))
	metrics.GetOrCreateGauge(`queue_window{service="`+s.name+`"}`, nil).Set(stats.Window)
	if was, changed := s.queue.Changed(); changed {
		m.Log.Info("queue window", "service", s.name, "window", stats.Window, "was", was, "waiting", stats.Waiting, "usual", stats.Usual, "entries", alive)
	}
}

// share returns this entry's share of the demand, zero if no other entry is known to be alive.
func (m *Manager) share(name string, alive int, own float64) float64 {
	if alive <= 1 {
		return 0
	}
	return m.DemandShare(name, own)
}

// isQueued reports whether the service's requests wait here. An entry that is cut off from the others
// goes on as before: they still share the service.
func (s *service) isQueued(alive, known int) bool {
	switch {
	case s.slots == 0:
		return s.active
	case s.active && alive == 1:
		return true
	case s.active:
		return float64(s.slots) <= keepFactor*float64(max(alive, known))
	}
	if alive == 1 {
		return known > 1 && s.slots <= known // none was heard yet
	}
	return s.slots <= alive
}

// decide delivers what the queue decides now. The caller holds mu.
func (m *Manager) decide(s *service) {
	d := s.queue.Next()
	for _, st := range d.Starts {
		s.waiting[st.ID] <- decision{upstream: st.Upstream}
		delete(s.waiting, st.ID)
	}
	for _, r := range d.Rejections {
		s.waiting[r.ID] <- decision{refusal: r.Refusal}
		delete(s.waiting, r.ID)
	}
	if d.Wake == 0 || (m.wakeAt != 0 && m.wakeAt <= d.Wake) {
		return
	}
	m.wakeAt = d.Wake
	select {
	case m.wake <- struct{}{}:
	default: // Run knows
	}
}

func countRefused(service string) {
	metrics.GetOrCreateCounter(`queue_refused_total{service="` + service + `"}`).Inc()
}
