// Package soak runs the real programs as separate processes and injects faults from
// outside, while callers send requests. What callers and upstreams observed is checked
// against the system's guarantees.
//
//	callers --> entries (processes) --> proxies --> engines, plain services
//	               |  '--> proxy --> store            ^
//	               '----- proxies --> agents (processes)
//
// A seed determines which faults occur when, but not how the processes interleave. A
// failure may not recur with the same seed, so a failed seed is kept together with its
// observations.
package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"magnoliastall.example/platform/fake"
)

const (
	adapterSlots    = 5
	eventsPerStream = 12
	portBase        = 21000
	// maxSeeds is the largest number of seeds that the platform names.
	maxSeeds = 3
	// readyTimeout limits the time until the fleet serves its first request.
	readyTimeout = 20 * time.Second
	// portTimeout limits the wait for a port that an earlier fleet used.
	portTimeout = 2 * time.Second
)

// fleet holds all processes, proxies and upstreams.
type fleet struct {
	dir, bin string
	size     Size
	store    *fake.Store
	// storeHandler answers in the place of store.
	storeHandler swapHandler
	procs        []*process
	proxies      []*proxy
	engines      []*upstream
	plains       []*upstream
	entries      []string

	mu sync.Mutex
	// allWorkers are the workers of all incarnations.
	allWorkers []*fake.Worker
	version    int64
	// keys are all additional customer keys so far; only the last one is valid. withdrawn
	// maps each of the others to when it was removed from the store.
	keys      []string
	withdrawn map[string]time.Time
	// firstWithdrawn is as withdrawn, but isn't put off if a restore of the list loses that.
	firstWithdrawn map[string]time.Time
	// drainedAt maps workers to when the list last got an entry that says that they leave.
	drainedAt map[*fake.Worker]time.Time
	// endedAt maps workers to their unplanned ends and restarts.
	endedAt map[*fake.Worker][]time.Time
	fatal   *fatal
	// builds are the versions of the upstreams' software, one after the other, all the same if empty.
	builds []string
	// ctx is that of start.
	ctx context.Context //nolint:containedctx // upstreams that return run until it ends
	// furtherRoutes is the number of routes of the newest configuration that no caller uses, limits are the
	// time limits of the others.
	furtherRoutes int
	limits        []timeLimit
	planned       []planned
	// endless is the number of upstreams that answer without end.
	endless atomic.Int32
	// listDisturbedAt are the times at which the list failed, recovered or lost its history.
	listDisturbedAt []time.Time
}

// ip returns the address of a machine.
func (f *fleet) ip(net, host int) string {
	return fmt.Sprintf("127.%d.%d.%d", f.size.Network, net, host)
}

func (f *fleet) address(net, host, port int) string {
	return fmt.Sprintf("%s:%d", f.ip(net, host), portBase+port)
}

func newFleet(dir, bin string, size Size) *fleet {
	size.fill()
	return &fleet{
		dir: dir, bin: bin, size: size, store: fake.NewStore(), withdrawn: map[string]time.Time{}, firstWithdrawn: map[string]time.Time{},
		drainedAt: map[*fake.Worker]time.Time{}, endedAt: map[*fake.Worker][]time.Time{}, fatal: newFatal(0),
	}
}

// start starts the fleet, which runs until ctx ends.
func (f *fleet) start(ctx context.Context) error {
	if err := f.startList(ctx); err != nil {
		return err
	}
	for i := range f.size.Engines {
		if err := f.engine(ctx, i+1); err != nil {
			return err
		}
	}
	if err := f.startPlains(f.size.Plains); err != nil {
		return err
	}
	return f.startEntries(ctx, f.size.Entries)
}

// startList starts the list with the first configuration. All else runs until ctx ends, too.
func (f *fleet) startList(ctx context.Context) error {
	f.ctx = ctx
	f.storeHandler.set(f.store)
	if err := serve(ctx, f.address(5, 1, 30), &f.storeHandler); err != nil {
		return err
	}
	if err := f.proxy(ctx, f.address(5, 2, 30), f.address(5, 1, 30)); err != nil {
		return err
	}
	f.publish()
	return nil
}

// startPlains starts n upstreams of the plain service.
func (f *fleet) startPlains(n int) error {
	for range n {
		i := len(f.plains)
		u := &upstream{service: fake.PlainService, listed: f.address(3, 100+i, 20), listen: f.address(4, i+1, 20), handler: &swapHandler{}, build: f.buildOf(i)}
		f.plains = append(f.plains, u)
		if err := f.serve(u); err != nil {
			return err
		}
	}
	return nil
}

// startEntries starts n entries. The first of them are seeds, maxSeeds at most.
func (f *fleet) startEntries(ctx context.Context, n int) error {
	var seeds []string
	for i := range min(n, maxSeeds) {
		seeds = append(seeds, f.address(1, i+1, 3))
	}
	for i := range n {
		if err := f.startEntry(ctx, i, seeds); err != nil {
			return err
		}
	}
	return nil
}

// startEntry starts the entry with an index.
func (f *fleet) startEntry(ctx context.Context, i int, seeds []string) error {
	m := f.entryMachine(i, seeds)
	f.entries = append(f.entries, m.Callers)
	return f.run(ctx, "entry", m)
}

// entryMachine returns the machine of the entry with an index.
func (f *fleet) entryMachine(i int, seeds []string) *fake.Machine {
	return &fake.Machine{
		Name: entryName(i), Zone: f.size.dataCentre(i), IP: f.ip(1, i+1), Callers: f.address(1, i+1, 1),
		Ready: f.address(1, i+1, 2), Peers: f.address(1, i+1, 3), InternalPort: portBase + 10, Store: f.address(5, 2, 30), Seeds: seeds, RetrySlack: f.size.RetrySlack, Memory: f.size.Memory,
	}
}

// publish writes the next version of the configuration, with a new additional key.
func (f *fleet) publish() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.version++
	key := fmt.Sprintf("further-%d", f.version)
	f.keys = append(f.keys, key)
	f.putPlan()
	if n := len(f.keys); n > 1 {
		f.withdrawn[f.keys[n-2]] = time.Now()
		f.firstWithdrawn[f.keys[n-2]] = time.Now()
	}
}

// putPlan writes the newest configuration. The caller holds mu.
func (f *fleet) putPlan() {
	f.store.Put("op/config", f.newestPlan())
}

// loseWithdrawals puts off the withdrawals that a restore of the list lost, and returns the keys.
// The caller holds mu.
func (f *fleet) loseWithdrawals(since time.Time) []string {
	var lost []string
	for key, at := range f.withdrawn {
		if at.After(since) {
			f.withdrawn[key] = time.Now().Add(time.Hour)
			lost = append(lost, key)
		}
	}
	return lost
}

// withdrawnAt returns when a key was first withdrawn.
func (f *fleet) withdrawnAt(key string) (time.Time, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	at, gone := f.firstWithdrawn[key]
	return at, gone
}

// key returns a random key, with recent keys more likely than old ones.
func (f *fleet) key(rnd *rand.Rand) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := len(f.keys)
	return f.keys[n-1-rnd.IntN(rnd.IntN(n)+1)]
}

// expired returns whether a key must no longer have been accepted at that time.
func (f *fleet) expired(key string, at time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	when, gone := f.withdrawn[key]
	return gone && at.Sub(when) > fake.RevokeDelay
}

// runs returns how often a request began to run, over all incarnations.
func (f *fleet) runs(id string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, w := range f.allWorkers {
		n += w.Runs(id)
	}
	return n
}

// process returns the process with the given name.
func (f *fleet) process(name string) *process {
	for _, p := range f.procs {
		if p.name == name {
			return p
		}
	}
	return nil
}

// disturbed reports whether an entry was started, stopped, killed or paused in a period.
func (f *fleet) disturbed(entry int, from, to time.Time) bool {
	p := f.process(entryName(entry))
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.ContainsFunc(p.disturbedAt, func(at time.Time) bool { return at.After(from) && at.Before(to) })
}

// pathFault reports whether the path to a worker was faulty in a period.
func (f *fleet) pathFault(w *fake.Worker, from, to time.Time) bool {
	listed, _, _ := strings.Cut(w.ID, "-")
	return slices.ContainsFunc(f.proxies, func(p *proxy) bool { return p.listen == listed && p.faultyIn(from, to) })
}

// entryName names the entry with the given index in entries.
func entryName(i int) string { return fmt.Sprintf("entry-%d", i+1) }

// agentName names the agent of the engine with the given index in engines.
func agentName(i int) string { return fmt.Sprintf("agent-%d", i+1) }

// workers returns the workers of all incarnations so far.
func (f *fleet) workers() []*fake.Worker {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.allWorkers)
}

func (f *fleet) proxy(ctx context.Context, listen, target string) error {
	p := &proxy{listen: listen, target: target}
	f.proxies = append(f.proxies, p)
	return p.run(ctx)
}

// listenAt listens at an address, which an earlier fleet may still be closing.
func listenAt(ctx context.Context, address string) (net.Listener, error) {
	var lc net.ListenConfig
	l, err := lc.Listen(ctx, "tcp", address)
	for end := time.Now().Add(portTimeout); err != nil && time.Now().Before(end); l, err = lc.Listen(ctx, "tcp", address) {
		time.Sleep(10 * time.Millisecond)
	}
	return l, err
}

func serve(ctx context.Context, address string, h http.Handler) error {
	l, err := listenAt(ctx, address)
	if err != nil {
		return err
	}
	serveOn(ctx, l, h)
	return nil
}

// serveOn serves the connections of a listener until ctx ends.
func serveOn(ctx context.Context, l net.Listener, h http.Handler) {
	s := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	go func() { _ = s.Serve(l) }()
	go func() {
		<-ctx.Done()
		_ = s.Close()
	}()
}

// run starts a program on a machine and restarts it whenever it exits.
func (f *fleet) run(ctx context.Context, kind string, m *fake.Machine) error {
	p := &process{name: m.Name, kind: kind, bin: filepath.Join(f.bin, kind), settings: filepath.Join(f.dir, m.Name+".conf"), ended: make(chan struct{})}
	if err := os.WriteFile(p.settings, []byte(m.Settings()), 0o600); err != nil {
		return err
	}
	log, err := os.Create(filepath.Join(f.dir, m.Name+".log"))
	if err != nil {
		return err
	}
	p.log = log
	f.procs = append(f.procs, p)
	if err := p.start(); err != nil {
		return err
	}
	go p.supervise(ctx)
	if f.size.Share > 0 {
		go p.throttle(ctx, f.size.Share)
	}
	return nil
}

// wait waits until all processes have ended, after the context of start did.
func (f *fleet) wait() {
	for _, p := range f.procs {
		<-p.ended
	}
}

// ready waits until the fleet serves requests of the route with the path.
func (f *fleet) ready(ctx context.Context, path string) error {
	caller := &fake.Caller{HTTP: &http.Client{Transport: &http.Transport{}}, Key: fake.Key}
	adapter := ""
	if serviceOf(path) == fake.EngineService {
		adapter = "a1"
	}
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		id := fmt.Sprintf("ready-%d", rand.Uint64()) //nolint:gosec // not used as a secret
		if o := caller.Send(ctx, f.entries[0], path, id, adapter); o.Status == http.StatusOK && o.Complete {
			return nil
		}
	}
	return errors.New("the fleet did not serve a request within the ready timeout")
}
