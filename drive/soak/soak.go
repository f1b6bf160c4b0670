package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sort"
	"strings"
	"sync"
	"syscall"
	"time"

	"magnoliastall.example/platform/fake"
)

const (
	callers = 12
	// turning is how many of them use keys that are withdrawn from time to time.
	turning = 4
	// adapters is how many are asked for: more than one engine holds.
	adapters = 9
	// pauseMost bounds the pause between two faults, faultMost how long one
	// lasts; they overlap.
	pauseMost = 500 * time.Millisecond
	faultMost = 1500 * time.Millisecond
	// calm is how long after the last fault the fleet must serve everything,
	// recovery how long after a loss of all power: half of what the platform
	// allows.
	calm     = 12 * time.Second
	recovery = 6 * time.Second
	// afterwards is how many requests must then be served in a row.
	afterwards = 30
	// outage is how long the list stays down after a loss of power.
	outage = 2 * time.Second
	// look is how often the upstreams are asked what they saw.
	look = 250 * time.Millisecond
)

// Soak is one run. Fields are set before Run.
type Soak struct {
	Seed     uint64
	Duration time.Duration
	// Dir takes settings and logs, Bin holds the programs.
	Dir, Bin string
	Out      io.Writer

	fleet *fleet
	mu    sync.Mutex
	// sent are requests by id, with what their callers got.
	sent   map[string]*request
	kinds  map[string]int
	faults map[string]int
	broken []string
	// known are the promises in broken, from began on.
	known map[string]bool
	began time.Time
}

// request is one attempt.
type request struct {
	path    string
	outcome fake.Outcome
	// key is what its caller sent at a time.
	key string
	at  time.Time
}

// Run plays and returns the promises that were broken.
func (s *Soak) Run(ctx context.Context) ([]string, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s.sent, s.kinds, s.faults, s.known = map[string]*request{}, map[string]int{}, map[string]int{}, map[string]bool{}
	s.fleet = newFleet(s.Dir, s.Bin)
	if err := s.fleet.start(ctx); err != nil {
		return nil, err
	}
	if err := s.fleet.ready(ctx); err != nil {
		return nil, err
	}
	s.began = time.Now()
	watched := make(chan struct{})
	watching, unwatch := context.WithCancel(ctx)
	go func() {
		defer close(watched)
		s.watch(watching)
	}()
	playing, stop := context.WithTimeout(ctx, s.Duration)
	defer stop()
	var working sync.WaitGroup
	for i := range callers {
		working.Add(1)
		go func() {
			defer working.Done()
			s.call(ctx, playing, i)
		}()
	}
	s.harm(playing)
	working.Wait()
	s.heal()
	s.after(ctx, "the last fault", calm)
	s.blackout()
	s.after(ctx, "a loss of all power", recovery)
	unwatch()
	<-watched
	s.check()
	s.print()
	return s.broken, nil
}

// call sends requests one after the other until playing ends.
func (s *Soak) call(ctx, playing context.Context, n int) {
	rnd := rand.New(rand.NewPCG(s.Seed, uint64(n)+1)) //nolint:gosec // no secret
	caller := &fake.Caller{HTTP: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2}}, Key: fake.Key}
	for i := 0; playing.Err() == nil; i++ {
		if n < turning {
			caller.Key = s.fleet.key(rnd)
		}
		address := s.fleet.entries[rnd.IntN(entries)]
		s.once(ctx, caller, address, fmt.Sprintf("s%d-%d-%d", s.Seed, n, i), rnd)
		time.Sleep(time.Duration(rnd.IntN(40)) * time.Millisecond)
	}
}

// once sends one request and notes what came of it.
func (s *Soak) once(ctx context.Context, caller *fake.Caller, address, id string, rnd *rand.Rand) fake.Outcome {
	path := []string{fake.PathOnce, fake.PathRepeat, fake.PathStream, fake.PathResume, fake.PathResume}[rnd.IntN(5)]
	adapter := ""
	if path == fake.PathStream || path == fake.PathResume {
		adapter = fmt.Sprintf("a%d", 1+rnd.IntN(adapters))
	}
	limit := 6 * time.Second
	if rnd.IntN(20) == 0 {
		limit = time.Duration(rnd.IntN(60)) * time.Millisecond // it leaves early
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	at := time.Now()
	o := caller.Send(ctx, address, path, id, adapter)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sent[id] = &request{path: path, outcome: o, key: caller.Key, at: at}
	s.one(id, s.sent[id])
	s.kinds[fmt.Sprintf("%s %s", strings.Trim(path, "/"), outcomeName(o))]++
	return o
}

func outcomeName(o fake.Outcome) string {
	switch {
	case o.Status == 0:
		return "no answer"
	case o.NotRun:
		return "refused"
	case o.Status == http.StatusOK && o.Complete:
		return "served"
	case o.Status == http.StatusOK:
		return "broken off"
	}
	return "failed"
}

// harm injects faults until ctx ends. The seed decides all of them.
func (s *Soak) harm(ctx context.Context) {
	rnd := rand.New(rand.NewPCG(s.Seed, 0)) //nolint:gosec // no secret
	var ending sync.WaitGroup
	defer ending.Wait()
	for ctx.Err() == nil {
		pause := time.Duration(rnd.Int64N(int64(pauseMost)))
		last := time.Duration(rnd.Int64N(int64(faultMost)))
		name, undo := s.fault(rnd)
		s.faults[name]++
		ending.Add(1)
		go func() {
			defer ending.Done()
			time.Sleep(last)
			undo()
		}()
		time.Sleep(pause)
	}
}

// fault begins one fault and returns what ends it.
func (s *Soak) fault(rnd *rand.Rand) (string, func()) {
	f := s.fleet
	p := f.procs[rnd.IntN(len(f.procs))]
	x := f.proxies[rnd.IntN(len(f.proxies))]
	u := append(f.engines[:len(f.engines):len(f.engines)], f.plains...)[rnd.IntN(engines+plains)]
	none := func() {}
	switch n := rnd.IntN(16); n {
	case 0, 1:
		p.signal(syscall.SIGKILL)
		return "kill " + p.kind, none
	case 2:
		p.signal(syscall.SIGSTOP)
		return "pause " + p.kind, func() { p.signal(syscall.SIGCONT) }
	case 3:
		p.signal(syscall.SIGTERM)
		return "term " + p.kind, none
	case 4:
		p.signal(syscall.SIGHUP)
		return "hup " + p.kind, none
	case 5, 6, 7, 8, 9:
		m := mode(1 + rnd.IntN(len(modeNames)-1))
		x.set(m)
		return "path " + modeNames[m], func() { x.set(modePass) }
	case 10:
		f.store.Down.Store(true)
		return "list down", func() { f.store.Down.Store(false) }
	case 11:
		f.store.Compact()
		return "list compacted", none
	case 12:
		f.publish()
		return "configuration", none
	case 13:
		f.renew(u)
		return "upstream replaced", none
	case 14:
		f.restart(u)
		return "upstream restarted", none
	default:
		u.worker.AbortNext(1 + rnd.IntN(4))
		return "answers broken", none
	}
}

// heal ends what faults may be left.
func (s *Soak) heal() {
	for _, x := range s.fleet.proxies {
		x.set(modePass)
	}
	for _, p := range s.fleet.procs {
		p.signal(syscall.SIGCONT)
	}
	s.fleet.store.Down.Store(false)
	for _, u := range append(s.fleet.engines, s.fleet.plains...) {
		u.worker.AbortNext(0)
	}
}

// blackout ends all processes and empties all upstreams at once; with every
// other seed the list comes back later than they do.
func (s *Soak) blackout() {
	late := s.Seed%2 == 1
	s.fleet.store.Down.Store(late)
	for _, p := range s.fleet.procs {
		p.signal(syscall.SIGKILL)
	}
	for _, u := range append(s.fleet.engines, s.fleet.plains...) {
		s.fleet.restart(u)
	}
	if late {
		time.Sleep(outage)
		s.fleet.store.Down.Store(false)
	}
}

// after sends requests once the faults are over; all must be served.
func (s *Soak) after(ctx context.Context, what string, within time.Duration) {
	caller := &fake.Caller{HTTP: &http.Client{Transport: &http.Transport{}}, Key: fake.Key}
	rnd := rand.New(rand.NewPCG(s.Seed, 1<<32)) //nolint:gosec // no secret
	row, last := 0, fake.Outcome{}
	for i, end := 0, time.Now().Add(within); row < afterwards && time.Now().Before(end); i++ {
		o := s.once(ctx, caller, s.fleet.entries[i%entries], fmt.Sprintf("s%d-after %s-%d", s.Seed, what, i), rnd)
		if o.Status == http.StatusOK && o.Complete {
			row++
			continue
		}
		// A caller that left early by itself proves nothing.
		if o.Status != 0 {
			row, last = 0, o
		}
		time.Sleep(50 * time.Millisecond)
	}
	if row < afterwards {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.fail("only %d requests in a row were served within %s of %s; last status %d", row, within, what, last.Status)
	}
}

// fail notes a broken promise once, and says so at once. The caller holds mu.
func (s *Soak) fail(format string, args ...any) {
	what := fmt.Sprintf(format, args...)
	if s.known[what] {
		return
	}
	s.known[what] = true
	s.broken = append(s.broken, what)
	fmt.Fprintf(s.Out, "seed %d: BROKEN after %d ms: %s\n", s.Seed, time.Since(s.began).Milliseconds(), what)
}

// watch asks the upstreams, until ctx ends, for what they saw that must not be.
func (s *Soak) watch(ctx context.Context) {
	ticks := time.NewTicker(look)
	defer ticks.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticks.C:
			s.mu.Lock()
			s.upstreams()
			s.mu.Unlock()
		}
	}
}

// upstreams takes what the upstreams noted. The caller holds mu.
func (s *Soak) upstreams() {
	for _, w := range s.fleet.workers() {
		for _, what := range w.Violations() {
			s.fail("upstream %s: %s", w.ID, what)
		}
	}
}

// check compares once more what callers got with what ran, for what ran only
// after its caller had its answer.
func (s *Soak) check() {
	s.mu.Lock()
	defer s.mu.Unlock()
	ids := make([]string, 0, len(s.sent))
	for id := range s.sent {
		ids = append(ids, id)
	}
	sort.Strings(ids)
	for _, id := range ids {
		s.one(id, s.sent[id])
	}
	s.upstreams()
}

// one holds what a caller got against what ran. The caller holds mu.
func (s *Soak) one(id string, r *request) {
	runs, o := s.fleet.runs(id), r.outcome
	if (r.path == fake.PathOnce || r.path == fake.PathStream) && runs > 1 {
		s.fail("%s %s ran %d times", r.path, id, runs)
	}
	if runs > 0 && s.fleet.expired(r.key, r.at) {
		s.fail("%s %s ran with a key that had been withdrawn for over %s", r.path, id, fake.RevokeDelay)
	}
	if o.NotRun && runs > 0 && r.path != fake.PathRepeat {
		s.fail("%s %s was told %d and ran %d times", r.path, id, o.Status, runs)
	}
	if o.Status != http.StatusOK {
		return
	}
	want := "done " + id
	if r.path == fake.PathStream || r.path == fake.PathResume {
		want = ""
		for n := 1; n <= events; n++ {
			want += fake.Event(id, n)
		}
	}
	if o.Complete && o.Body != want {
		s.fail("%s %s looks whole and is %q", r.path, id, o.Body)
	}
	if !strings.HasPrefix(want, o.Body) {
		s.fail("%s %s has other bytes than its own: %q", r.path, id, o.Body)
	}
}

// print writes the table of one run.
func (s *Soak) print() {
	fmt.Fprintf(s.Out, "seed %d: %d requests, %d broken promises\n", s.Seed, len(s.sent), len(s.broken))
	printCounts(s.Out, "  requests:", s.kinds)
	printCounts(s.Out, "  faults:", s.faults)
	for _, what := range s.broken {
		fmt.Fprintln(s.Out, "  BROKEN:", what)
	}
}

func printCounts(w io.Writer, title string, counts map[string]int) {
	names := make([]string, 0, len(counts))
	for name := range counts {
		names = append(names, name)
	}
	sort.Strings(names)
	fmt.Fprint(w, title)
	for _, name := range names {
		fmt.Fprintf(w, " %s %d;", name, counts[name])
	}
	fmt.Fprintln(w)
}
