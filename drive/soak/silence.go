package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"

	"magnoliastall.example/platform/fake"
)

const (
	// minSilence and maxSilence limit how long upstreams stand still, minSound and maxSound the time between
	// two silences of a service.
	minSilence = 900 * time.Millisecond
	maxSilence = 1700 * time.Millisecond
	minSound   = 500 * time.Millisecond
	maxSound   = 1100 * time.Millisecond
	// maxPlanPause limits the pause between two planned changes.
	maxPlanPause = 800 * time.Millisecond
	// minKept is the number of callers on kept connections, keptPerEntry that for each entry if it is more.
	minKept      = 42
	keptPerEntry = 4
	maxKeptPause = 40 * time.Millisecond
	// sparePlains is the number of further upstreams of the plain service, so that there are two of each build
	// beside a silent one.
	sparePlains = 4
	// keptWork is how long an upstream of the plain service works on a request.
	keptWork = 20 * time.Millisecond
	// minRoutes and maxRoutes limit how many further routes a configuration has.
	minRoutes = 300
	maxRoutes = 2000
	// shortTimeout is the time limit that a configuration sets in place of the usual one.
	usualTimeout = 4 * time.Second
	shortTimeout = 3500 * time.Millisecond
	// stopPause is the least time between two planned stops, and releaseDelay how long an upstream serves after
	// it is listed as leaving.
	stopPause    = gracePeriod + time.Second
	releaseDelay = time.Second
	// drainPoll is how often it is asked whether it has finished its requests.
	drainPoll = 10 * time.Millisecond
)

// Planned changes.
const (
	changeStop    = "stop"
	changeReload  = "reload"
	changePlan    = "configuration"
	changeRelease = "release"
)

// sickStatus maps the remainders of seeds to the status of the upstreams that aren't silent. With the other seeds
// there is planned work instead.
var sickStatus = map[uint64]int{2: http.StatusInternalServerError, 3: http.StatusServiceUnavailable}

const silenceKinds = 4

// playSilences lets upstreams stand still again and again while callers on kept connections send requests.
func (s *Soak) playSilences(run context.Context) {
	sick := sickStatus[s.Seed%silenceKinds]
	if err := s.fleet.startPlains(sparePlains); err != nil {
		s.mu.Lock()
		s.violation("no further upstreams: %v", err)
		s.mu.Unlock()
		return
	}
	for _, u := range s.fleet.plains {
		s.fleet.current(u).SetCapacity(keptCapacity)
	}
	ctx, stop := context.WithTimeout(run, s.Duration)
	defer stop()
	calling, stopCalls := context.WithCancel(run)
	defer stopCalls()
	var sending, disturbing sync.WaitGroup
	for n := range max(minKept, keptPerEntry*len(s.fleet.entries)) {
		sending.Go(func() { s.sendKept(calling, n) })
	}
	disturbing.Go(func() { s.silence(ctx, s.fleet.engines, sick, 0) })
	disturbing.Go(func() { s.silence(ctx, s.fleet.plains, sick, 1) })
	if sick == 0 {
		disturbing.Go(func() { s.planWork(ctx) })
	}
	disturbing.Wait()
	stopCalls()
	sending.Wait()
	s.fleet.setPlan(0, usualTimeout)
	for _, what := range s.checkLost(sick == 0) {
		s.mu.Lock()
		s.violation("%s", what)
		s.mu.Unlock()
	}
	s.checkRecovery(run, "silent upstreams", recoveryLimit)
}

// keptCapacity lets requests be in progress as a silence begins, and turns none away.
var keptCapacity = fake.Capacity{Slots: 1000, Queue: 1000, Work: keptWork}

// silence lets one to all upstreams of a service stand still, again and again. The others answer with the status
// meanwhile, unless it is zero.
func (s *Soak) silence(ctx context.Context, ups []*upstream, sick int, n uint64) {
	rnd := rand.New(rand.NewPCG(s.Seed, 1<<37+n)) //nolint:gosec // not used as a secret
	for ctx.Err() == nil {
		time.Sleep(between(rnd, minSound, maxSound))
		length, order := between(rnd, minSilence, maxSilence), rnd.Perm(len(ups))
		silent := 1 + rnd.IntN(len(ups))
		var standing sync.WaitGroup
		for i, k := range order {
			if i < silent {
				standing.Go(func() { ups[k].gate.shut(length) })
			} else if sick != 0 {
				s.fleet.failOne(ups[k], sick)
			}
		}
		standing.Wait()
		for _, u := range ups {
			s.fleet.current(u).FailWith(0)
		}
		s.mu.Lock()
		s.faults["silence of "+ups[0].service]++
		s.mu.Unlock()
	}
}

func between(rnd *rand.Rand, low, high time.Duration) time.Duration {
	return low + time.Duration(rnd.Int64N(int64(high-low)))
}

// planWork makes planned changes one after the other, of which stops and releases overlap with others.
func (s *Soak) planWork(ctx context.Context) {
	rnd := rand.New(rand.NewPCG(s.Seed, 1<<38)) //nolint:gosec // not used as a secret
	var releasing sync.WaitGroup
	defer releasing.Wait()
	released, stopped := true, time.Time{}
	var done chan struct{}
	for ctx.Err() == nil {
		time.Sleep(time.Duration(rnd.Int64N(int64(maxPlanPause))))
		entry := rnd.IntN(len(s.fleet.entries))
		change := rnd.IntN(6)
		if done != nil {
			select {
			case <-done:
				released = true
			default:
			}
		}
		switch {
		case time.Since(stopped) > stopPause:
			stopped = time.Now()
			s.change(changeStop, entry, stopWindow)
			s.fleet.process(entryName(entry)).signal(syscall.SIGTERM)
		case change == 0 && released:
			ups := [][]*upstream{s.fleet.engines, s.fleet.plains}[rnd.IntN(2)]
			released, done = false, make(chan struct{})
			ended := done
			releasing.Go(func() {
				defer close(ended)
				s.release(ctx, ups)
			})
		case change == 1:
			s.change(changeReload, entry, reloadWindow)
			s.fleet.process(entryName(entry)).signal(syscall.SIGHUP)
			s.fleet.process(agentName(rnd.IntN(len(s.fleet.engines)))).signal(syscall.SIGHUP)
		default:
			routes := rnd.IntN(2) * (minRoutes + rnd.IntN(maxRoutes-minRoutes))
			timeout := []time.Duration{usualTimeout, shortTimeout}[rnd.IntN(2)]
			s.change(changePlan, -1, planWindow)
			s.fleet.setPlan(routes, timeout)
		}
	}
}

// change records a planned change.
func (s *Soak) change(what string, entry int, window time.Duration) {
	s.fleet.plan(what, entry, window)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults["planned "+what]++
}

// release replaces the upstreams of a service one after the other. Each leaves as planned, once it has finished its
// requests.
func (s *Soak) release(ctx context.Context, ups []*upstream) {
	for _, u := range ups {
		if ctx.Err() != nil {
			return
		}
		s.change(changeRelease, -1, planWindow)
		s.fleet.drain(u)
		time.Sleep(releaseDelay)
		for w := s.fleet.current(u); w.Active() > 0; {
			time.Sleep(drainPoll)
		}
		u.gate.wait()
		s.fleet.replace(u)
		s.fleet.current(u).SetCapacity(keptCapacity)
	}
}

// sendKept sends one request after another on a kept connection until ctx ends.
func (s *Soak) sendKept(ctx context.Context, n int) {
	rnd := rand.New(rand.NewPCG(s.Seed, uint64(n)+1<<39)) //nolint:gosec // not used as a secret
	c := &keptCaller{caller: &fake.Caller{Key: fake.Key}, address: s.fleet.entries[n%len(s.fleet.entries)]}
	defer c.drop()
	paths := []string{fake.PathOnce, fake.PathRepeat, fake.PathStream, fake.PathResume, fake.PathFlow}
	for ctx.Err() == nil {
		path := paths[rnd.IntN(len(paths))]
		m := fake.Message{Target: path + "x", ID: s.newID()}
		m.Body = "body of " + m.ID
		switch path {
		case fake.PathRepeat:
			m.Body = strings.Repeat("x", rnd.IntN(2)*rnd.IntN(maxLongBody))
		case fake.PathStream, fake.PathResume:
			m.Adapter = fmt.Sprintf("a%d", 1+rnd.IntN(adapters))
			m.Target = path + []string{"x", longSuffix}[rnd.IntN(2)]
		case fake.PathFlow:
			m.Target = path + longSuffix
		}
		s.sendOnKept(c, m)
		time.Sleep(time.Duration(rnd.Int64N(int64(maxKeptPause))))
	}
}

// sendOnKept sends one request on a kept connection and records its outcome.
func (s *Soak) sendOnKept(c *keptCaller, m fake.Message) {
	r := &request{path: pathOf(m.Target), target: m.Target, entry: c.address, key: c.caller.Key, at: time.Now()}
	s.mu.Lock()
	s.sent[m.ID] = r
	s.mu.Unlock()
	o, wholeAt := c.send(context.Background(), m)
	s.mu.Lock()
	defer s.mu.Unlock()
	r.outcome, r.wholeAt, r.doneAt = o, wholeAt, time.Now()
	s.checkRequest(m.ID, r)
	s.kinds["kept "+strings.Trim(r.path, "/")+" "+outcomeName(o)]++
}
