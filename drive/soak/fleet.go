// Package soak runs the real programs as processes of their own and injects
// faults from outside them, while callers send requests and every promise is
// checked by what callers and upstreams saw.
//
//	callers --> entries (processes) --> proxies --> engines, plain services
//	               |  '--> proxy --> store            ^
//	               '----- proxies --> agents (processes)
//
// A seed decides which faults come when; how the processes run beside each
// other it can't decide, so a seed that failed is kept with what was seen.
package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"magnoliastall.example/platform/fake"
)

// The fleet. Each machine has an address of its own in 127.0.0.0/8, so that all
// of them use the same ports, as the platform's do.
const (
	entries  = 3
	engines  = 4
	plains   = 2
	slots    = 5
	events   = 12
	portBase = 21000
	// readyTime is how long the fleet may take to serve its first request.
	readyTime = 20 * time.Second
)

// fleet is everything that runs.
type fleet struct {
	dir, bin string
	store    *fake.Store
	procs    []*process
	proxies  []*proxy
	engines  []*upstream
	plains   []*upstream
	entries  []string

	mu sync.Mutex
	// all are the workers of all incarnations.
	all     []*fake.Worker
	version int64
	// keys are all further keys so far, the last one in force; withdrawn is when the
	// store had taken each of the others out.
	keys      []string
	withdrawn map[string]time.Time
}

// upstream is a worker at an address, and what stands in the list of it.
type upstream struct {
	worker  *fake.Worker
	service string
	// listed is the address in the list, a proxy's; listen where it serves.
	listed, listen string
	serial         int
	handler        *switcher
}

// switcher lets another incarnation serve at the same address.
type switcher struct {
	mu sync.Mutex
	h  http.Handler
}

func (s *switcher) set(h http.Handler) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.h = h
}

// ServeHTTP serves what is there now.
func (s *switcher) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	h := s.h
	s.mu.Unlock()
	h.ServeHTTP(w, r)
}

// process is one program of the system. It is started again when it ends.
type process struct {
	name, bin, kind string
	settings        string
	log             *os.File

	mu  sync.Mutex
	cmd *exec.Cmd
}

func at(net, host, port int) string { return fmt.Sprintf("127.0.%d.%d:%d", net, host, portBase+port) }

func newFleet(dir, bin string) *fleet {
	return &fleet{dir: dir, bin: bin, store: fake.NewStore(), withdrawn: map[string]time.Time{}}
}

// start starts everything; it ends with ctx.
func (f *fleet) start(ctx context.Context) error {
	if err := serve(ctx, at(5, 1, 30), f.store); err != nil {
		return err
	}
	if err := f.proxy(ctx, at(5, 2, 30), at(5, 1, 30)); err != nil {
		return err
	}
	f.publish()
	for i := range engines {
		if err := f.engine(ctx, i+1); err != nil {
			return err
		}
	}
	for i := range plains {
		u := &upstream{service: fake.PlainService, listed: at(3, 100+i, 20), listen: at(4, i+1, 20), handler: &switcher{}}
		f.plains = append(f.plains, u)
		if err := f.serve(ctx, u); err != nil {
			return err
		}
	}
	var seeds []string
	for i := range entries {
		seeds = append(seeds, at(1, i+1, 3))
	}
	for i := range entries {
		m := &fake.Machine{
			Name: fmt.Sprintf("entry-%d", i+1), Zone: "z", IP: fmt.Sprintf("127.0.1.%d", i+1), Callers: at(1, i+1, 1),
			Ready: at(1, i+1, 2), Peers: at(1, i+1, 3), InternalPort: portBase + 10, Store: at(5, 2, 30), Seeds: seeds,
		}
		f.entries = append(f.entries, m.Callers)
		if err := f.run(ctx, "entry", m); err != nil {
			return err
		}
	}
	return nil
}

// engine starts an engine with its proxies and its agent.
func (f *fleet) engine(ctx context.Context, n int) error {
	u := &upstream{service: fake.EngineService, listed: at(3, n, 20), listen: at(2, n, 20), handler: &switcher{}}
	f.engines = append(f.engines, u)
	if err := f.serve(ctx, u); err != nil {
		return err
	}
	if err := f.proxy(ctx, at(3, n, 10), at(2, n, 10)); err != nil {
		return err
	}
	return f.run(ctx, "agent", &fake.Machine{
		Name: fmt.Sprintf("agent-%d", n), Zone: "z", IP: fmt.Sprintf("127.0.2.%d", n), Worker: u.listen,
		InternalPort: portBase + 10, Store: at(5, 2, 30),
	})
}

func (f *fleet) serve(ctx context.Context, u *upstream) error {
	f.renew(u)
	if err := serve(ctx, u.listen, u.handler); err != nil {
		return err
	}
	return f.proxy(ctx, u.listed, u.listen)
}

// renew starts another incarnation, and lists it under a new name.
func (f *fleet) renew(u *upstream) {
	f.mu.Lock()
	defer f.mu.Unlock()
	old := u.worker
	u.serial++
	u.worker = &fake.Worker{ID: fmt.Sprintf("%s-%d", u.listed, u.serial), Slots: slots, Events: events}
	if u.service == fake.EngineService {
		u.worker.Model, u.worker.StartEmpty = fake.Model, old != nil
	}
	u.worker.Start()
	u.handler.set(u.worker)
	f.all = append(f.all, u.worker)
	f.store.Put("servers/"+u.worker.ID, u.worker.StoreEntry(u.service, u.listed, "z", "ready"))
	if old != nil {
		f.store.Delete("servers/" + old.ID)
	}
}

// restart starts a worker again under its name.
func (f *fleet) restart(u *upstream) {
	f.mu.Lock()
	defer f.mu.Unlock()
	u.worker.StartEmpty = u.service == fake.EngineService
	u.worker.Start()
	f.store.Put("servers/"+u.worker.ID, u.worker.StoreEntry(u.service, u.listed, "z", "ready"))
}

// publish writes the next version of the configuration, with another further key.
func (f *fleet) publish() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.version++
	key := fmt.Sprintf("further-%d", f.version)
	f.store.Put("op/config", fake.Plan(f.version, slots, key))
	if n := len(f.keys); n > 0 {
		f.withdrawn[f.keys[n-1]] = time.Now()
	}
	f.keys = append(f.keys, key)
}

// key is one of all further keys, more often one of late.
func (f *fleet) key(rnd *rand.Rand) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := len(f.keys)
	return f.keys[n-1-rnd.IntN(rnd.IntN(n)+1)]
}

// expired tells whether a key must no longer have been accepted at a time.
func (f *fleet) expired(key string, at time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	when, gone := f.withdrawn[key]
	return gone && at.Sub(when) > fake.RevokeDelay
}

// runs is how often a request began to run, over all incarnations.
func (f *fleet) runs(id string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, w := range f.all {
		n += w.Runs(id)
	}
	return n
}

// workers are those of all incarnations so far.
func (f *fleet) workers() []*fake.Worker {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.all)
}

func (f *fleet) proxy(ctx context.Context, listen, target string) error {
	p := &proxy{listen: listen, target: target}
	f.proxies = append(f.proxies, p)
	return p.run(ctx)
}

func serve(ctx context.Context, address string, h http.Handler) error {
	var lc net.ListenConfig
	l, err := lc.Listen(ctx, "tcp", address)
	if err != nil {
		return err
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	go func() { _ = s.Serve(l) }()
	go func() {
		<-ctx.Done()
		_ = s.Close()
	}()
	return nil
}

// run starts a program on a machine, and again whenever it ends.
func (f *fleet) run(ctx context.Context, kind string, m *fake.Machine) error {
	p := &process{name: m.Name, kind: kind, bin: filepath.Join(f.bin, kind), settings: filepath.Join(f.dir, m.Name+".conf")}
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
	go p.keep(ctx)
	return nil
}

func (p *process) start() error {
	cmd := exec.Command(p.bin, "site", "platform") //nolint:noctx // it outlives no context: keep ends it
	cmd.Env = append(os.Environ(), fake.SettingsEnv+"="+p.settings)
	cmd.Stdout, cmd.Stderr = p.log, p.log
	if err := cmd.Start(); err != nil {
		return errors.Wrapf(err, "start %s", p.name)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cmd = cmd
	return nil
}

// restartAfter is the pause before a process that ended is started again.
const restartAfter = 200 * time.Millisecond

// keep starts the process again when it ends, until ctx does.
func (p *process) keep(ctx context.Context) {
	go func() {
		<-ctx.Done()
		p.signal(syscall.SIGCONT)
		p.signal(syscall.SIGKILL)
	}()
	for {
		p.mu.Lock()
		cmd := p.cmd
		p.mu.Unlock()
		_ = cmd.Wait() // how it ended stands in its log
		select {
		case <-ctx.Done():
			return
		case <-time.After(restartAfter):
		}
		if p.start() != nil {
			return
		}
	}
}

// signal reaches only this process, by its id.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil && p.cmd.Process != nil {
		_ = p.cmd.Process.Signal(s) // it may have ended by itself
	}
}

// ready waits until the fleet serves.
func (f *fleet) ready(ctx context.Context) error {
	caller := &fake.Caller{HTTP: &http.Client{Transport: &http.Transport{}}, Key: fake.Key}
	for end := time.Now().Add(readyTime); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		id := fmt.Sprintf("ready-%d", rand.Uint64()) //nolint:gosec // no secret
		if o := caller.Send(ctx, f.entries[0], fake.PathResume, id, "a1"); o.Status == http.StatusOK && o.Complete {
			return nil
		}
	}
	return errors.New("the fleet serves nothing")
}
