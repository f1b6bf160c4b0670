package soak

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"time"

	"magnoliastall.example/platform/fake"
)

const (
	// minBurst and maxBurst limit how long upstreams fail before entries are killed, burstRest is how
	// long they fail afterwards. maxKillPause limits the pause between two kills.
	minBurst     = time.Second
	maxBurst     = 3 * time.Second
	burstRest    = 6 * time.Second
	maxKillPause = 600 * time.Millisecond
	// burstCallers is the number of further callers, whose requests may be repeated, and burstPause
	// their pause between two requests.
	burstCallers = 16
	burstPause   = 50 * time.Millisecond
	// retrySeeds is the number of seeds of which one plays the worst load for the retry budget, which
	// takes longer than all else.
	retrySeeds = 3
)

// burst is a time in which all upstreams fail and entries are killed.
type burst struct {
	// status is that of all responses, 0 for broken connections.
	status int
	// length is how long upstreams fail before the first of the killed entries is, pause the time
	// between two kills.
	length, pause time.Duration
	killed        int
}

func drawBurst(rnd *rand.Rand, entries int) burst {
	return burst{
		status: []int{0, http.StatusInternalServerError, http.StatusServiceUnavailable}[rnd.IntN(3)],
		length: minBurst + time.Duration(rnd.Int64N(int64(maxBurst-minBurst))),
		pause:  time.Duration(rnd.IntN(2)) * time.Duration(rnd.Int64N(int64(maxKillPause))),
		killed: 1 + rnd.IntN(entries),
	}
}

// play makes all upstreams fail, kills entries, and lets the upstreams fail on for a while.
func (b *burst) play(f *fleet) {
	end := f.fail(b.status)
	defer end()
	time.Sleep(b.length)
	f.kill(b.killed, b.pause)
	time.Sleep(burstRest)
}

// startBurst has further callers send requests. The returned function plays a burst beside them.
func (s *Soak) startBurst(rnd *rand.Rand) func() {
	b := drawBurst(rnd, len(s.fleet.entries))
	stop := s.startBurstCallers(rnd)
	return func() {
		b.play(s.fleet)
		stop()
	}
}

// playRetries plays the worst load for the retry budget: requests come steadily for a whole window, and
// the repeats that they allow are sent right before the kills.
func (s *Soak) playRetries() {
	rnd := rand.New(rand.NewPCG(s.Seed, 1<<34)) //nolint:gosec // not used as a secret
	b := drawBurst(rnd, len(s.fleet.entries))
	stop := s.startBurstCallers(rnd)
	time.Sleep(retryWindow)
	b.play(s.fleet)
	stop()
	s.faults["worst load of retries"]++
}

// startBurstCallers has further callers send requests to one of the services.
func (s *Soak) startBurstCallers(rnd *rand.Rand) (stop func()) {
	if rnd.IntN(2) == 0 {
		return s.sendSteadily(burstPause, fake.PathResume, "a1")
	}
	return s.sendSteadily(burstPause, fake.PathRepeat, "")
}

// sendSteadily has callers send requests to all entries in turn until the returned function is called.
func (s *Soak) sendSteadily(pause time.Duration, path, adapter string) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var sending sync.WaitGroup
	for i := range burstCallers {
		sending.Go(func() {
			caller := &fake.Caller{HTTP: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}}, Key: fake.Key}
			for n := i; ctx.Err() == nil; n++ {
				s.sendTo(context.Background(), caller, s.fleet.entries[n%len(s.fleet.entries)], path+"burst", "", s.newID(), adapter)
				time.Sleep(pause)
			}
		})
	}
	return func() {
		cancel()
		sending.Wait()
	}
}

// fail makes all upstreams fail with the status, or by broken connections with 0, until the returned
// function is called.
func (f *fleet) fail(status int) (end func()) {
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

// kill kills the first entries, with a pause after each. They start again after restartDelay.
func (f *fleet) kill(entries int, pause time.Duration) {
	for i := range entries {
		f.process(entryName(i)).signal(syscall.SIGKILL)
		time.Sleep(pause)
	}
}
