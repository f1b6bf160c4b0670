package relay

import (
	"maps"
	"sync"

	"github.com/VictoriaMetrics/metrics"

	"magnoliastall.example/magno"
	"magnoliastall.example/magno/agenda"
	"magnoliastall.example/magno/view"
)

const (
	// returnTimeDivisor is the divisor of the time that a caller has left which gives how long it
	// waits before it returns.
	returnTimeDivisor = 3
	// poolChangeDivisor is the divisor of a pool's request slots which gives the change from which on
	// what was planned for it is void.
	poolChangeDivisor = 4
	// poolCountInterval is how often the request slots of all pools are counted at most, which
	// takes a pass over the list.
	poolCountInterval = magno.Second
	// spreadLogInterval is the time without a planned return after which the next one is logged.
	spreadLogInterval = 5 * magno.Second
)

// returns plans when the callers that are refused return, for each service.
type returns struct {
	mu       sync.Mutex
	services map[string]*serviceReturns
	// slots is the number of request slots of each service, counted from the list snap at countedAt.
	slots     map[string]int
	snap      *view.Snapshot
	countedAt magno.Millis
}

// serviceReturns is the plan of one service.
type serviceReturns struct {
	agenda agenda.Agenda
	// slots is the pool's number of request slots for which the agenda plans.
	slots int
	// plannedAt is when the agenda last changed the Retry-After of a refusal.
	plannedAt magno.Millis
}

// service returns the plan of a service, created on first use. The caller holds mu.
func (r *returns) service(name string, clock *magno.Clock) *serviceReturns {
	s := r.services[name]
	if s == nil {
		if r.services == nil {
			r.services = map[string]*serviceReturns{}
		}
		s = &serviceReturns{agenda: agenda.Agenda{Clock: clock}, slots: r.slots[name]}
		r.services[name] = s
	}
	return s
}

// served counts an answered request of a service.
func (r *returns) served(name string, clock *magno.Clock) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.service(name, clock).agenda.Served()
}

// countSlots counts the request slots of each pool if the list has changed. The plan of a pool
// that changed by a quarter is void, as is that of a service without upstreams. The caller holds mu.
func (r *returns) countSlots(snap *view.Snapshot, now magno.Millis) {
	if snap == r.snap || (r.snap != nil && now-r.countedAt < poolCountInterval) {
		return
	}
	r.snap, r.countedAt = snap, now
	r.slots = map[string]int{}
	for _, replica := range snap.Replicas {
		if !replica.Leaving {
			r.slots[replica.Service] += replica.Slots
		}
	}
	maps.DeleteFunc(r.services, func(name string, _ *serviceReturns) bool { return r.slots[name] == 0 })
	for name, s := range r.services {
		if s.slots == 0 { // its requests were served before the first count
			s.slots = r.slots[name]
		}
		n := r.slots[name]
		if change := max(n-s.slots, s.slots-n); change*poolChangeDivisor >= s.slots && s.slots != 0 {
			s.agenda.Reset()
			s.slots = n
		}
	}
}

// returnAfter returns the Retry-After of a refusal. If many callers were refused for lack of
// capacity, it spreads their return over the time in which there is capacity for them.
func (j *job) returnAfter(refusal *magno.Refusal) magno.Millis {
	if j.service == nil || (refusal.Kind != magno.KindBusy && refusal.Kind != magno.KindLoading) {
		return refusal.After
	}
	now := j.Clock.Now()
	own := now + refusal.After
	j.returns.mu.Lock()
	defer j.returns.mu.Unlock()
	j.returns.countSlots(j.Book.Current(), now)
	s := j.returns.service(j.service.Name, j.Clock)
	at := s.agenda.Promise(j.rank(), own, now+(j.deadline-now)/returnTimeDivisor)
	if at == own {
		return refusal.After
	}
	if now-s.plannedAt > spreadLogInterval {
		j.Log.Info("returns spread", "service", j.service.Name, "request", j.id, "own", refusal.After, "after", at-now)
	}
	s.plannedAt = now
	metrics.GetOrCreateCounter(`returns_planned_total{service="` + j.service.Name + `"}`).Inc()
	metrics.GetOrCreateHistogram("return_delay_seconds").Update(float64(at-own) / 1000)
	return at - now
}
