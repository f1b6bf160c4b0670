package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"sync"
	"time"

	"magnoliastall.example/platform/fake"
)

// Terms of the platform for a request that ends the upstreams that run it: later than fatalDelay
// after the third of them ended, it may reach upstreams fatalSends times.
const (
	fatalEnds  = 3
	fatalDelay = 3 * time.Second
	fatalSends = 3
)

const (
	// minAway and maxAway are the usual limits of how long an upstream is gone after its end.
	minAway = time.Second
	maxAway = 3 * time.Second
	// maxCopies limits the senders of a fatal request.
	maxCopies = 3
	// addresses is the number of addresses from which a fatal request comes.
	addresses = 20
	// maxFatalRun limits how long a fatal request runs before its upstream ends.
	maxFatalRun = 80 * time.Millisecond
)

// ending is the end of an upstream under a request.
type ending struct {
	target string
	worker *fake.Worker
	at     time.Time
}

// fatal holds the targets whose requests end the upstreams that run them.
type fatal struct {
	mu      sync.Mutex
	targets map[string]bool
	endings []ending
	rnd     *rand.Rand
	// minAway and maxAway limit how long an upstream is gone after its end.
	minAway, maxAway time.Duration
}

func newFatal(seed uint64) *fatal {
	rnd := rand.New(rand.NewPCG(seed, 1<<33)) //nolint:gosec // not used as a secret
	return &fatal{targets: map[string]bool{}, rnd: rnd, minAway: minAway, maxAway: maxAway}
}

// set makes requests to the target fatal, or no longer.
func (x *fatal) set(target string, on bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.targets[target] = on
}

// draw reports whether requests to the target are fatal, how long one runs before its upstream ends,
// and how long that is away.
func (x *fatal) draw(target string) (after, away time.Duration, ok bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if !x.targets[target] {
		return 0, 0, false
	}
	after = time.Duration(x.rnd.Int64N(int64(maxFatalRun)))
	away = x.minAway + time.Duration(x.rnd.Int64N(int64(x.maxAway-x.minAway)))
	return after, away, true
}

// record records the end of a worker under a request, once for each target.
func (x *fatal) record(target string, w *fake.Worker) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if !slices.ContainsFunc(x.endings, func(e ending) bool { return e.target == target && e.worker == w }) {
		x.endings = append(x.endings, ending{target: target, worker: w, at: time.Now()})
	}
}

// of returns the ends of upstreams under a target's requests, in order.
func (x *fatal) of(target string) []ending {
	x.mu.Lock()
	defer x.mu.Unlock()
	var list []ending
	for _, e := range x.endings {
		if e.target == target {
			list = append(list, e)
		}
	}
	slices.SortFunc(list, func(a, b ending) int { return a.at.Compare(b.at) })
	return list
}

// fatalTargets returns all targets that were ever fatal.
func (x *fatal) fatalTargets() []string {
	x.mu.Lock()
	defer x.mu.Unlock()
	var list []string
	for target := range x.targets {
		list = append(list, target)
	}
	slices.Sort(list)
	return list
}

// onRun ends an upstream soon if a fatal request begins to run there.
func (f *fleet) onRun(u *upstream, w *fake.Worker, target, parts string) fake.Fate {
	cause, fate := target, fake.FateSilent
	if part := f.fatal.part(parts); part != "" {
		cause = part
		if pathOf(target) == fake.PathResume || pathOf(target) == fake.PathFlow {
			fate = fake.FateBegun
		}
	}
	after, away, ok := f.fatal.draw(cause)
	if !ok {
		return fake.FateServed
	}
	go func() {
		time.Sleep(after)
		f.end(u, w, cause, away)
	}()
	return fate
}

// end ends a worker without notice, under a request to the target unless that is empty: its connections
// break and new ones are refused. After a while another incarnation serves at its address.
func (f *fleet) end(u *upstream, w *fake.Worker, target string, away time.Duration) {
	f.endUntil(u, w, target, away, f.replace)
}

// endUntil is end with the function that starts the worker again.
func (f *fleet) endUntil(u *upstream, w *fake.Worker, target string, away time.Duration, start func(*upstream)) {
	f.mu.Lock()
	if u.worker != w {
		f.mu.Unlock()
		return // replaced meanwhile
	}
	stop := u.stop
	u.stop = nil
	f.endedAt[w] = append(f.endedAt[w], time.Now())
	f.mu.Unlock()
	if target != "" {
		f.fatal.record(target, w)
	}
	if stop == nil {
		return // it has ended already
	}
	stop()
	time.Sleep(away)
	if f.ctx.Err() != nil {
		return
	}
	start(u)
	if err := f.listen(u); err != nil {
		fmt.Fprintf(os.Stderr, "soak: %s does not come back: %v\n", u.listed, err)
	}
}

// listen serves the present incarnation of an upstream, directly and through its proxy.
func (f *fleet) listen(u *upstream) error {
	ctx, cancel := context.WithCancel(f.ctx)
	l, err := listenAt(ctx, u.listen)
	if err != nil {
		cancel()
		return err
	}
	serveOn(ctx, &gatedListener{Listener: l, gate: &u.gate}, u.handler)
	if err := u.proxy.run(ctx); err != nil {
		cancel()
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	u.stop = cancel
	return nil
}

// checkFatal returns the targets whose requests reached upstreams too often after the third of
// those had ended.
func (o *observer) checkFatal(x *fatal, workers []*fake.Worker) []string {
	var broken []string
	for _, target := range x.fatalTargets() {
		ends := x.of(target)
		if len(ends) < fatalEnds {
			continue
		}
		third := ends[fatalEnds-1].at
		late := 0
		for _, w := range workers {
			for _, a := range w.Arrivals() {
				if a.Target == target && a.At.Sub(third) > fatalDelay && !o.disturbed(o.entry(a.ID), w, a.At.Add(-fatalDelay), a.At) {
					late++
				}
			}
		}
		if late > fatalSends {
			broken = append(broken, fmt.Sprintf("%s ended %d upstreams and reached upstreams %d times later than %s after the third end",
				target, len(ends), late, fatalDelay))
		}
	}
	return broken
}

// suspectLine matches an entry's log line of a request that it refused as fatal.
var suspectLine = regexp.MustCompile(`msg=request .*request="?([^" ]+)"? .*outcome=suspect`)

// checkSound returns the requests that an entry refused as fatal and that are not.
func (s *Soak) checkSound() []string {
	fatalTargets := s.fleet.fatal.fatalTargets()
	var broken []string
	for i := range s.fleet.size.Entries {
		data, err := os.ReadFile(filepath.Join(s.Dir, entryName(i)+".log"))
		if err != nil {
			return []string{err.Error()}
		}
		for _, line := range strings.Split(string(data), "\n") {
			m := suspectLine.FindStringSubmatch(line)
			if m == nil {
				continue
			}
			s.mu.Lock()
			r := s.sent[m[1]]
			s.mu.Unlock()
			isFatal := func(name string) bool { return name == r.target || hasPart(r.parts, name) }
			if r == nil || !slices.ContainsFunc(fatalTargets, isFatal) {
				broken = append(broken, "refused though its upstreams ended by themselves: "+line)
			}
		}
	}
	return broken
}

// startFatal has copies of a request sent that ends the upstreams that run it, until the returned
// function is called.
func (s *Soak) startFatal(rnd *rand.Rand) func() {
	path := []string{fake.PathOnce, fake.PathRepeat, fake.PathStream, fake.PathResume}[rnd.IntN(4)]
	target, body, adapter := fmt.Sprintf("%sfatal-%d", path, rnd.Uint32()), []string{"", "body"}[rnd.IntN(2)], ""
	if path == fake.PathStream || path == fake.PathResume {
		adapter = fmt.Sprintf("a%d", 1+rnd.IntN(adapters))
	}
	ctx, stop := context.WithCancel(context.Background())
	var sending sync.WaitGroup
	s.fleet.fatal.set(target, true)
	for range 1 + rnd.IntN(maxCopies) {
		copies := rand.New(rand.NewPCG(rnd.Uint64(), 0)) //nolint:gosec // not used as a secret
		sending.Go(func() { s.sendFatal(ctx, target, body, adapter, copies) })
	}
	return func() {
		time.Sleep(fatalDelay + maxAway)
		stop()
		sending.Wait()
		s.fleet.fatal.set(target, false)
	}
}

// sendFatal sends requests to one target until ctx ends: each from a drawn address, at a drawn entry
// and under a new id.
func (s *Soak) sendFatal(ctx context.Context, target, body, adapter string, rnd *rand.Rand) {
	for ctx.Err() == nil {
		caller := callerFrom(fmt.Sprintf("127.0.9.%d", 10+rnd.IntN(addresses)))
		s.sendTo(ctx, caller, s.fleet.entries[rnd.IntN(len(s.fleet.entries))], target, body, s.newID(), adapter)
		caller.HTTP.CloseIdleConnections()
		time.Sleep(time.Duration(50+rnd.IntN(100)) * time.Millisecond)
	}
}

// callerFrom returns a caller with an address of its own.
func callerFrom(ip string) *fake.Caller {
	d := &net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(ip)}}
	return &fake.Caller{HTTP: &http.Client{Transport: &http.Transport{DialContext: d.DialContext}}, Key: fake.Key}
}

// newID returns an unused ID of a request.
func (s *Soak) newID() string {
	return fmt.Sprintf("fatal-%d", s.nextID.Add(1))
}

// sendTo sends one request to a target and records its outcome.
func (s *Soak) sendTo(ctx context.Context, caller *fake.Caller, address, target, body, id, adapter string) fake.Outcome {
	return s.sendMessage(ctx, caller, address, fake.Message{Target: target, Body: body, ID: id, Adapter: adapter})
}

// sendMessage sends one request and records its outcome.
func (s *Soak) sendMessage(ctx context.Context, caller *fake.Caller, address string, m fake.Message) fake.Outcome {
	r := &request{path: pathOf(m.Target), target: m.Target, parts: m.Parts, entry: address, key: caller.Key, at: time.Now()}
	_, _ = fmt.Sscan(m.From, &r.from)
	s.mu.Lock()
	s.sent[m.ID] = r
	s.mu.Unlock()
	o := caller.SendMessage(ctx, address, m)
	s.mu.Lock()
	defer s.mu.Unlock()
	r.outcome, r.doneAt = o, time.Now()
	s.checkRequest(m.ID, r)
	return o
}

// pathOf returns the path of the route to which a target belongs.
func pathOf(target string) string {
	for _, path := range []string{fake.PathOnce, fake.PathRepeat, fake.PathStream, fake.PathResume, fake.PathFlow} {
		if strings.HasPrefix(target, path) {
			return path
		}
	}
	return ""
}
