package soak

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
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
func worstRetryLoad(sent, repeats []time.Time, slack int) retryLoad {
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
		l := retryLoad{at: at, repeats: count(repeats[:i+1], from, at), allowed: retryRatio*float64(requests) + float64(slack)}
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
		loads[service] = worstRetryLoad(sent[service], repeatsAt(list), s.fleet.size.RetrySlack)
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
