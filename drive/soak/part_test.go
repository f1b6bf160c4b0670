package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"magnoliastall.example/platform/fake"
)

const (
	partCallers = 4
	// partSuffix ends the targets of the cases.
	partSuffix = "parts"
	// partTime is how long requests with a fatal part are sent.
	partTime = soundDelay + 4*time.Second
	// soundTime is how long only sound ones are sent before.
	soundTime = 2 * time.Second
	// minLongAway and maxLongAway limit how long upstreams are gone that come back only when sends count as
	// late.
	minLongAway = fatalDelay + 500*time.Millisecond
	maxLongAway = fatalDelay + 2*time.Second
)

// partCase is a fatal part and the sound requests beside it.
type partCase struct {
	name, path string
	// prompt returns the parts of a prompt but the last.
	prompt func(rnd *rand.Rand, fatal bool) []string
	// part is the fatal part, at the given place of its prompts.
	part string
	// keepsFirst is true if sound prompts have the same first part as fatal ones.
	keepsFirst bool
	// longAway is true if upstreams are gone for longer than usual.
	longAway bool
}

// begins counts requests sent in a period and those of them that begin.
type begins struct {
	from, to    time.Time
	sent, begun int
}

// add counts a request.
func (b *begins) add(at time.Time, begun bool) {
	if at.Before(b.from) || (!b.to.IsZero() && at.After(b.to)) {
		return
	}
	b.sent++
	b.begun += count(begun)
}

// share returns the share of requests that begin.
func (b *begins) share() float64 { return float64(b.begun) / float64(max(b.sent, 1)) }

// sendParts has callers send requests of a case until ctx ends, to a target with the suffix, and returns when
// each was sent and whether it began.
func (s *Soak) sendParts(ctx context.Context, c *partCase, suffix string, callers int, fatal bool) map[time.Time]bool {
	var mu sync.Mutex
	began := map[time.Time]bool{}
	var sending sync.WaitGroup
	for n := range callers {
		sending.Go(func() {
			rnd := rand.New(rand.NewPCG(s.Seed, uint64(2*n+count(fatal)))) //nolint:gosec // not used as a secret
			caller := &fake.Caller{HTTP: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}}, Key: fake.Key}
			for ctx.Err() == nil {
				id := s.newID()
				prompt := c.prompt(rnd, fatal)
				m := fake.Message{Target: c.path + suffix, Body: "body of " + id, ID: id}
				m.Parts = strings.Join(append(prompt, id), ":100,") + ":50"
				if serviceOf(c.path) == fake.EngineService {
					m.Adapter = "a1"
				}
				at := time.Now()
				o := s.sendMessage(ctx, caller, s.fleet.entries[rnd.IntN(len(s.fleet.entries))], m)
				mu.Lock()
				began[at] = o.Status == http.StatusOK && o.Body != ""
				mu.Unlock()
				time.Sleep(time.Duration(20+rnd.IntN(60)) * time.Millisecond)
			}
		})
	}
	sending.Wait()
	return began
}

// secondPart returns prompts of which the fatal ones have a fatal second part.
func secondPart(_ *rand.Rand, fatal bool) []string {
	if fatal {
		return []string{"aa", "dead"}
	}
	return []string{"aa", "bb"}
}

// Guards against requests that share a part which ends upstreams, and are sent on since no two of them are
// alike, and against refusing the sound ones beside them.
func TestPartThatEndsUpstreamsIsHeldBack(t *testing.T) {
	first := func(_ *rand.Rand, fatal bool) []string {
		if fatal {
			return []string{"dead", "bb"}
		}
		return []string{"aa", "bb"}
	}
	own := func(rnd *rand.Rand, fatal bool) []string {
		session := fmt.Sprintf("5e%x", rnd.IntN(40))
		if fatal {
			return []string{"aa", session, "dead"}
		}
		return []string{"aa", session}
	}
	for _, c := range []partCase{
		{name: "second part, plain service", path: fake.PathFlow, prompt: secondPart, part: "dead", keepsFirst: true},
		{name: "first part, plain service", path: fake.PathFlow, prompt: first, part: "dead"},
		{name: "third part, beside sessions", path: fake.PathFlow, prompt: own, part: "dead", keepsFirst: true},
		{name: "second part, engines", path: fake.PathResume, prompt: secondPart, part: "dead", keepsFirst: true},
		{name: "second part, no event", path: fake.PathRepeat, prompt: secondPart, part: "dead", keepsFirst: true},
	} {
		t.Run(c.name, func(t *testing.T) { testPart(t, &c) })
	}
}

// Guards against a part that ends all upstreams before it is refused, and then again each time they are
// back.
func TestPartThatEndsAWholePoolIsHeldBack(t *testing.T) {
	for _, c := range []partCase{
		{name: "plain service", path: fake.PathFlow, prompt: secondPart, part: "dead", keepsFirst: true, longAway: true},
		{name: "engines", path: fake.PathResume, prompt: secondPart, part: "dead", keepsFirst: true, longAway: true},
	} {
		t.Run(c.name, func(t *testing.T) { testPart(t, &c) })
	}
}

func testPart(t *testing.T, c *partCase) {
	s := startStreamSoak(t, c.path)
	playTime := partTime
	if c.longAway {
		s.fleet.fatal.minAway, s.fleet.fatal.maxAway = minLongAway, maxLongAway
		playTime += maxLongAway
	}
	name := partName(c.part)
	s.fleet.fatal.set(name, true)
	sound, stopSound := context.WithCancel(context.Background())
	var began map[time.Time]bool
	done := make(chan struct{})
	started := time.Now()
	go func() {
		defer close(done)
		began = s.sendParts(sound, c, partSuffix, burstCallers, false)
	}()
	time.Sleep(soundTime)
	fatalFrom := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), playTime)
	defer cancel()
	s.sendParts(ctx, c, partSuffix, partCallers, true)
	stopSound()
	<-done
	ends := s.fleet.fatal.of(name)
	broken, fifth := s.observer().checkPart(s.fleet.fatal, name, s.fleet.workers())
	if broken != "" {
		t.Error(broken)
	}
	if len(ends) == 0 {
		t.Fatal("no upstream ended")
	}
	if fifth.IsZero() {
		fifth = ends[len(ends)-1].at
		if quiet := fatalFrom.Add(playTime / 2); fifth.After(quiet) {
			fifth = quiet
		}
	}
	before, after := begins{from: started, to: fatalFrom}, begins{from: fifth.Add(soundDelay)}
	for at, ok := range began {
		before.add(at, ok)
		after.add(at, ok)
	}
	t.Logf("%d upstreams ended; %d of %d sound requests begin before, %d of %d after", len(ends), before.begun, before.sent, after.begun, after.sent)
	if c.keepsFirst && after.share() < soundShare*before.share() {
		t.Errorf("%.2f of sound requests begin, %.2f did before", after.share(), before.share())
	}
	for _, what := range s.checkRetries() {
		t.Error(what)
	}
}

// Guards against a check that can't fail: requests with a fatal part that reach upstreams late and often.
func TestPartCheckFindsLateRequests(t *testing.T) {
	x := newFatal(1)
	name := partName("dead:100")
	x.set(name, true)
	var workers []*fake.Worker
	for range partEnds {
		w := &fake.Worker{ID: "w"}
		w.Start()
		x.record(name, w)
		workers = append(workers, w)
	}
	o := &observer{
		entry:     func(string) int { return 0 },
		disturbed: func(int, *fake.Worker, time.Time, time.Time) bool { return false },
	}
	time.Sleep(fatalDelay + 10*time.Millisecond)
	for n := range fatalSends {
		workers[n].ArriveWith("1", "/flow/x", promptOf("1", "dead"))
		workers[n].ArriveWith("2", "/flow/x", promptOf("dead", "other"))
	}
	if broken := o.checkParts(x, workers); len(broken) != 0 {
		t.Errorf("%d late requests are allowed: %q", fatalSends, broken)
	}
	workers[0].ArriveWith("3", "/flow/x", promptOf("3", "other", "dead"))
	if broken := o.checkParts(x, workers); len(broken) != 1 {
		t.Errorf("got %q, want one too many", broken)
	}
}
