package soak

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"magnoliastall.example/platform/fake"
)

// Terms of the platform for repeats: in any window, the upstreams of a service may get retryRatio
// arrivals beyond the first of a request for each request to the service, and retrySlack on top, over
// all entries. The requests are those of the window, of the one before or of the one that began half a
// window earlier, whichever has most.
const (
	retryWindow = 10 * time.Second
	retryRatio  = 0.2
	retrySlack  = 40
)

// retryLoad is the number of repeats in the window that ends at a time.
type retryLoad struct {
	at      time.Time
	repeats int
	allowed float64
}

// excess returns how many repeats are over the limit, negative if none are.
func (l *retryLoad) excess() float64 { return float64(l.repeats) - l.allowed }

// worstRetryLoad returns the window with the most repeats beyond what is allowed. Both lists are in
// order.
func worstRetryLoad(sent, repeats []time.Time) retryLoad {
	count := func(list []time.Time, from, to time.Time) int {
		after := func(a, t time.Time) int {
			if a.After(t) {
				return 1
			}
			return -1
		}
		low, _ := slices.BinarySearchFunc(list, from, after)
		high, _ := slices.BinarySearchFunc(list, to, after)
		return high - low
	}
	var worst retryLoad
	for i, at := range repeats {
		from := at.Add(-retryWindow)
		requests := 0
		for _, earlier := range []time.Duration{0, retryWindow / 2, retryWindow} {
			requests = max(requests, count(sent, from.Add(-earlier), at.Add(-earlier)))
		}
		l := retryLoad{at: at, repeats: count(repeats[:i+1], from, at), allowed: retryRatio*float64(requests) + retrySlack}
		if i == 0 || l.excess() > worst.excess() {
			worst = l
		}
	}
	return worst
}

// repeatsAt returns the times of the arrivals at workers beyond the first of each request, in order.
func repeatsAt(workers []*fake.Worker) []time.Time {
	var all []fake.Arrival
	for _, w := range workers {
		all = append(all, w.Arrivals()...)
	}
	slices.SortFunc(all, func(a, b fake.Arrival) int { return cmp.Or(a.At.Compare(b.At), strings.Compare(a.ID, b.ID)) })
	seen := map[string]bool{}
	var repeats []time.Time
	for _, a := range all {
		if seen[a.ID] {
			repeats = append(repeats, a.At)
		}
		seen[a.ID] = true
	}
	return repeats
}

// retryLoads returns the worst window of each service.
func (s *Soak) retryLoads() map[string]retryLoad {
	sent := map[string][]time.Time{}
	s.mu.Lock()
	for _, r := range s.sent {
		sent[serviceOf(r.path)] = append(sent[serviceOf(r.path)], r.at)
	}
	s.mu.Unlock()
	workers := map[string][]*fake.Worker{}
	for _, w := range s.fleet.workers() {
		service := fake.PlainService
		if w.Model != "" {
			service = fake.EngineService
		}
		workers[service] = append(workers[service], w)
	}
	loads := map[string]retryLoad{}
	for service, list := range workers {
		slices.SortFunc(sent[service], time.Time.Compare)
		loads[service] = worstRetryLoad(sent[service], repeatsAt(list))
	}
	return loads
}

// serviceOf returns the service to which a route's path leads.
func serviceOf(path string) string {
	if path == fake.PathStream || path == fake.PathResume {
		return fake.EngineService
	}
	return fake.PlainService
}

// checkRetries returns the services whose upstreams got more repeats than allowed.
func (s *Soak) checkRetries() []string {
	var broken []string
	for service, l := range s.retryLoads() {
		if l.excess() > 0 {
			broken = append(broken, fmt.Sprintf("%s got %d repeats within %s up to %d ms, allowed %.0f",
				service, l.repeats, retryWindow, l.at.Sub(s.started).Milliseconds(), l.allowed))
		}
	}
	slices.Sort(broken)
	return broken
}

// fail makes all upstreams fail with the status, or by broken connections, until the returned function
// is called.
func (f *fleet) fail(status int) func() {
	for _, u := range f.upstreams() {
		f.failOne(u, status)
	}
	return func() {
		for _, u := range f.upstreams() {
			f.current(u).AbortNext(0)
			f.current(u).FailWith(0)
		}
	}
}

// failOne makes an upstream fail with the status, or by broken connections with 0.
func (f *fleet) failOne(u *upstream, status int) {
	if status == 0 {
		f.current(u).AbortNext(1 << 30)
		return
	}
	f.current(u).FailWith(status)
}

// kill kills entries, with a pause between two of them. Each starts again after restartDelay.
func (f *fleet) kill(entries int, pause time.Duration) {
	for i := range entries {
		f.process(entryName(i)).signal(syscall.SIGKILL)
		time.Sleep(pause)
	}
}

const (
	// maxBurst limits how long upstreams fail before entries are killed, burstRest is how long they
	// fail afterwards. maxKillPause limits the pause between two kills.
	maxBurst     = 3 * time.Second
	burstRest    = 4 * time.Second
	maxKillPause = 600 * time.Millisecond
	// burstCallers is the number of further callers during a burst, whose requests may be repeated,
	// and burstPause their pause between two requests.
	burstCallers = 16
	burstPause   = 50 * time.Millisecond
)

// startBurst makes all upstreams fail beside more requests than usual. The returned function lets them
// fail on, kills entries, all at once or one after the other, and ends the failures.
func (s *Soak) startBurst(rnd *rand.Rand) func() {
	f := s.fleet
	end := f.fail([]int{0, http.StatusInternalServerError, http.StatusServiceUnavailable}[rnd.IntN(3)])
	burst, killed := time.Duration(rnd.Int64N(int64(maxBurst))), 1+rnd.IntN(len(f.entries))
	pause := time.Duration(rnd.IntN(2)) * time.Duration(rnd.Int64N(int64(maxKillPause)))
	path, adapter := fake.PathRepeat, ""
	if rnd.IntN(2) == 0 {
		path, adapter = fake.PathResume, "a1"
	}
	ctx, stop := context.WithCancel(context.Background())
	var sending sync.WaitGroup
	for range burstCallers {
		sending.Go(func() { s.sendBurst(ctx, path, adapter) })
	}
	return func() {
		time.Sleep(burst)
		f.kill(killed, pause)
		time.Sleep(burstRest)
		stop()
		sending.Wait()
		end()
	}
}

// sendBurst sends requests to all entries in turn until ctx ends.
func (s *Soak) sendBurst(ctx context.Context, path, adapter string) {
	caller := &fake.Caller{HTTP: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}}, Key: fake.Key}
	for n := 0; ctx.Err() == nil; n++ {
		s.sendTo(context.Background(), caller, s.fleet.entries[n%len(s.fleet.entries)], path+"burst", "body", s.newID(), adapter)
		time.Sleep(burstPause)
	}
}
