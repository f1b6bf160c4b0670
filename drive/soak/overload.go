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
	// usualCallers is the number of callers of each customer, burstFactor by how much more the one has that
	// sends many times its usual rate, and overloadPause a caller's pause between two requests.
	usualCallers  = 20
	burstFactor   = 6
	overloadPause = 10 * time.Millisecond
	// overloadRamp is how long the overload lasts before entries fail, overloadPaused how long one of them is
	// paused, and overloadRest how long the overload goes on afterwards.
	overloadRamp   = time.Second
	overloadPaused = 1500 * time.Millisecond
	overloadRest   = time.Second
	// overloadSeeds is the number of seeds of which one plays an overload.
	overloadSeeds = 3
	// callerTime is the time that callers give a request, of which they wait for returnPart at most before they
	// send it once more.
	callerTime = 4 * time.Second
	returnPart = 3
)

// overloadCapacity is the capacity of an upstream of the plain service: far below what the callers send, with a
// queue in which an answer becomes late.
var overloadCapacity = fake.Capacity{Slots: 2, Queue: 8, Work: 40 * time.Millisecond}

// overload counts what became of the requests of an overload, by the customer's key and the route.
type overload struct {
	mu sync.Mutex
	// untold are those refused without a time to return.
	served, refused, untold map[string]int
	// returned counts the callers that returned as told, shed the requests that upstreams turned away.
	returned, shed int
}

// playOverload sends more requests than the plain service and the engines can take. Meanwhile an entry is killed
// and another one paused.
func (s *Soak) playOverload() *overload {
	rnd := rand.New(rand.NewPCG(s.Seed, 1<<35)) //nolint:gosec // not used as a secret
	o := &overload{served: map[string]int{}, refused: map[string]int{}, untold: map[string]int{}}
	var workers []*fake.Worker
	for _, u := range s.fleet.plains {
		w := s.fleet.current(u)
		w.SetCapacity(overloadCapacity)
		workers = append(workers, w)
	}
	ctx, stop := context.WithCancel(context.Background())
	var sending sync.WaitGroup
	for key, n := range map[string]int{fake.Key: usualCallers, fake.OtherKey: burstFactor * usualCallers} {
		for i := range n {
			sending.Go(func() { s.sendOverload(ctx, o, key, uint64(i)) })
		}
	}
	time.Sleep(overloadRamp)
	killed := rnd.IntN(len(s.fleet.entries))
	paused := s.fleet.process(entryName((killed + 1) % len(s.fleet.entries)))
	s.fleet.process(entryName(killed)).signal(syscall.SIGKILL)
	paused.signal(syscall.SIGSTOP)
	time.Sleep(overloadPaused)
	paused.signal(syscall.SIGCONT)
	time.Sleep(overloadRest)
	stop()
	sending.Wait()
	for _, w := range workers {
		w.SetCapacity(fake.Capacity{})
		o.shed += w.Shed()
	}
	s.faults["overload"]++
	return o
}

// sendOverload sends one request after another until ctx ends. What is refused is sent once more after the time
// that the refusal states, as callers of the platform do.
func (s *Soak) sendOverload(ctx context.Context, o *overload, key string, n uint64) {
	rnd := rand.New(rand.NewPCG(s.Seed, n+1<<36)) //nolint:gosec // not used as a secret
	caller := &fake.Caller{HTTP: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}}, Key: key}
	for ctx.Err() == nil {
		target, adapter := fake.PathOnce+"x", ""
		switch {
		case n%2 == 0: // long streams fill the engines
			target, adapter = fake.PathResume+longSuffix, fmt.Sprintf("a%d", 1+rnd.IntN(adapters))
		case rnd.IntN(2) == 0:
			target = fake.PathRepeat + "x"
		}
		for try := range 2 {
			out := s.sendLimited(caller, s.fleet.entries[rnd.IntN(len(s.fleet.entries))], target, adapter)
			o.add(key+" "+strings.Trim(pathOf(target), "/"), &out, try)
			if !out.NotRun || out.RetryAfter == 0 || out.RetryAfter > callerTime/returnPart {
				break
			}
			time.Sleep(out.RetryAfter)
		}
		time.Sleep(overloadPause)
	}
}

// sendLimited sends one request of a caller that leaves after callerTime.
func (s *Soak) sendLimited(caller *fake.Caller, entry, target, adapter string) fake.Outcome {
	ctx, cancel := context.WithTimeout(context.Background(), callerTime)
	defer cancel()
	id, body := s.newID(), ""
	if pathOf(target) != fake.PathRepeat {
		body = "body of " + id
	}
	return s.sendTo(ctx, caller, entry, target, body, id, adapter)
}

// add counts the outcome of a request, by the number of tries before.
func (o *overload) add(kind string, out *fake.Outcome, try int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	switch {
	case out.Status == http.StatusOK && out.Complete:
		o.served[kind]++
	case out.NotRun && out.RetryAfter == 0:
		o.untold[kind]++
	case out.NotRun:
		o.refused[kind]++
	}
	o.returned += try
}
