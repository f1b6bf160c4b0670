package soak

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"magnoliastall.example/platform/fake"
)

// upstream is a worker at an address, with its entry in the instance list.
type upstream struct {
	worker  *fake.Worker
	service string
	// listed is the address in the list, which is that of a proxy; listen is the worker's
	// own.
	listed, listen string
	incarnation    int
	listState      string
	// build is the version of its software, of all incarnations.
	build   string
	handler *swapHandler
	proxy   *proxy
	// gate is shut while it is silent.
	gate gate
	// stop ends the present incarnation, nil if it has ended.
	stop context.CancelFunc
}

// States of an upstream in the list.
const (
	stateReady    = "ready"
	stateDraining = "draining"
)

// swapHandler lets the next incarnation of a worker serve at the same address.
type swapHandler struct {
	mu sync.Mutex
	h  http.Handler
	// thawed is closed when the worker runs on, nil while it isn't frozen.
	thawed chan struct{}
}

// freeze holds all requests until the returned function is called. Connections are accepted, and those that
// break meanwhile bring their requests all the same, as out of the socket of a process that was stopped.
func (s *swapHandler) freeze() (thaw func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.thawed != nil {
		return func() {}
	}
	s.thawed = make(chan struct{})
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		close(s.thawed)
		s.thawed = nil
	}
}

func (s *swapHandler) set(h http.Handler) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.h = h
}

// ServeHTTP passes the request to the current handler.
func (s *swapHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	thawed := s.thawed
	s.mu.Unlock()
	if thawed != nil {
		<-thawed
	}
	s.mu.Lock()
	h := s.h
	s.mu.Unlock()
	h.ServeHTTP(w, r)
}

// engine starts an engine with its proxies and its agent.
func (f *fleet) engine(ctx context.Context, n int) error {
	u := &upstream{service: fake.EngineService, listed: f.address(3, n, 20), listen: f.address(2, n, 20), handler: &swapHandler{}}
	u.build = f.buildOf(n)
	f.engines = append(f.engines, u)
	if err := f.serve(u); err != nil {
		return err
	}
	if err := f.proxy(ctx, f.address(3, n, 10), f.address(2, n, 10)); err != nil {
		return err
	}
	return f.run(ctx, "agent", &fake.Machine{
		Name: agentName(n - 1), Zone: f.size.dataCentre(n - 1), IP: f.ip(2, n), Worker: u.listen,
		InternalPort: portBase + 10, Store: f.address(5, 2, 30), RetrySlack: f.size.RetrySlack, Memory: f.size.Memory,
	})
}

func (f *fleet) serve(u *upstream) error {
	u.proxy = &proxy{listen: u.listed, target: u.listen}
	f.proxies = append(f.proxies, u.proxy)
	f.replace(u)
	return f.listen(u)
}

// replace starts a new incarnation and lists it under a new name.
func (f *fleet) replace(u *upstream) {
	f.mu.Lock()
	defer f.mu.Unlock()
	old := u.worker
	f.endedAt[old] = append(f.endedAt[old], time.Now())
	u.incarnation++
	u.worker = &fake.Worker{ID: fmt.Sprintf("%s-%d", u.listed, u.incarnation), Slots: adapterSlots, Events: eventsPerStream, Build: u.build, LongEvents: longStream, LongSuffix: longSuffix}
	if u.service == fake.EngineService {
		u.worker.Model, u.worker.StartEmpty = fake.Model, old != nil
	}
	w := u.worker
	w.OnRun = func(_, target, parts string) fake.Fate { return f.onRun(u, w, target, parts) }
	w.Start()
	u.handler.set(w)
	f.allWorkers = append(f.allWorkers, u.worker)
	u.listState = stateReady
	f.list(u)
	if old != nil {
		f.store.Delete("servers/" + old.ID)
	}
}

// restart restarts a worker under the same name.
func (f *fleet) restart(u *upstream) {
	f.mu.Lock()
	defer f.mu.Unlock()
	u.worker.StartEmpty = u.service == fake.EngineService
	f.endedAt[u.worker] = append(f.endedAt[u.worker], time.Now())
	u.worker.Start()
	u.listState = stateReady
	f.list(u)
}

// buildOf returns the build of the nth upstream of a service, empty for the usual one.
func (f *fleet) buildOf(n int) string {
	if len(f.builds) == 0 {
		return ""
	}
	return f.builds[n%len(f.builds)]
}

// rebuild restarts a worker under the same name with the next build.
func (f *fleet) rebuild(u *upstream) {
	f.mu.Lock()
	u.build = f.builds[(slices.Index(f.builds, u.build)+1)%len(f.builds)]
	u.worker.Build = u.build
	f.mu.Unlock()
	f.restart(u)
}

// list writes the entry of an upstream. The caller holds mu.
func (f *fleet) list(u *upstream) {
	f.store.Put("servers/"+u.worker.ID, u.worker.StoreEntry(u.service, u.listed, f.size.dataCentre(f.indexOf(u)), u.listState))
	delete(f.drainedAt, u.worker)
	if u.listState == stateDraining {
		f.drainedAt[u.worker] = time.Now()
	}
}

// current returns the present worker of an upstream.
func (f *fleet) current(u *upstream) *fake.Worker {
	f.mu.Lock()
	defer f.mu.Unlock()
	return u.worker
}

// upstreams returns all engines and plain services.
func (f *fleet) upstreams() []*upstream { return slices.Concat(f.engines, f.plains) }

// indexOf returns the place of an upstream among those of its service.
func (f *fleet) indexOf(u *upstream) int {
	if u.service == fake.EngineService {
		return slices.Index(f.engines, u)
	}
	return slices.Index(f.plains, u)
}

// endedIn reports whether a worker ended or restarted unplanned in a period.
func (f *fleet) endedIn(w *fake.Worker, from, to time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.ContainsFunc(f.endedAt[w], func(at time.Time) bool { return at.After(from) && at.Before(to) })
}
