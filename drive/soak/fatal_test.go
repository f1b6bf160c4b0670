package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"magnoliastall.example/platform/fake"
)

const (
	// trialTime is the time after the last end of an upstream within which an entry tries a
	// request that is refused for the ends.
	trialTime = 15 * time.Second
	// fatalTime is how long a test sends a fatal request: three ends with the time to return after
	// each, the time until it is tried, and time for further sends.
	fatalTime = 3*maxAway + trialTime + 4*time.Second
)

// served reports whether a request is served in time, sent again and again to all entries.
func (s *Soak) served(caller *fake.Caller, target, body, adapter string) bool {
	return s.servedWithin(recoveryLimit, caller, target, body, adapter)
}

func (s *Soak) servedWithin(limit time.Duration, caller *fake.Caller, target, body, adapter string) bool {
	end := time.Now().Add(limit)
	for n := 0; time.Now().Before(end); n++ {
		o := s.sendTo(context.Background(), caller, s.fleet.entries[n%len(s.fleet.entries)], target, body, s.newID(), adapter)
		if o.Status == http.StatusOK && o.Complete {
			return true
		}
		time.Sleep(50 * time.Millisecond)
	}
	return false
}

// Guards against a request that ends each upstream that runs it and is sent on, whatever entry it
// comes to, with a body or without.
func TestRequestThatEndsUpstreamsIsHeldBack(t *testing.T) {
	s := startSoak(t)
	cases := map[string][]struct{ name, target, body, adapter string }{
		fake.PlainService: {
			{"plain service, no body", fake.PathRepeat + "fatal-1", "", ""},
			{"plain service, body, runs once", fake.PathOnce + "fatal-2", "b", ""},
		},
		fake.EngineService: {
			{"stream that resumes", fake.PathResume + "fatal-3", "b", "a1"},
			{"stream, no body", fake.PathStream + "fatal-4", "", "a2"},
		},
	}
	other := callerFrom("127.0.9.1")
	other.Key = fake.OtherKey
	s.sendFor(func() {
		var services sync.WaitGroup
		for _, list := range cases {
			services.Go(func() {
				for i, c := range list {
					s.fleet.fatal.set(c.target, true)
					ctx, cancel := context.WithTimeout(context.Background(), fatalTime)
					var sending sync.WaitGroup
					for n := range maxCopies {
						sending.Go(func() {
							rnd := rand.New(rand.NewPCG(s.Seed, uint64(maxCopies*i+n))) //nolint:gosec // not used as a secret
							s.sendFatal(ctx, c.target, c.body, c.adapter, rnd)
						})
					}
					sending.Wait()
					cancel()
					s.fleet.fatal.set(c.target, false)
					if !s.served(other, c.target, c.body, c.adapter) {
						t.Errorf("%s: the same request of another customer isn't served", c.name)
					}
				}
			})
		}
		services.Wait()
	})
	for _, list := range cases {
		for _, c := range list {
			t.Run(c.name, func(t *testing.T) {
				ends := len(s.fleet.fatal.of(c.target))
				t.Logf("%d upstreams ended", ends)
				if ends < fatalEnds {
					t.Errorf("ended %d upstreams, too few to tell", ends)
				}
			})
		}
	}
	for _, what := range s.observer().checkFatal(s.fleet.fatal, s.fleet.workers()) {
		t.Error(what)
	}
	for _, what := range s.checkSound() {
		t.Error(what)
	}
}

// Guards against refusing a request because upstreams ended by themselves while they ran it, though
// others served it between, or because connections to sound upstreams were cut.
func TestSoundRequestIsServedThoughUpstreamsEnd(t *testing.T) {
	const rounds = 5
	for _, c := range []struct{ name, target, body, adapter string }{
		{"plain service, no body", fake.PathRepeat + "sound-1", "", ""},
		{"plain service, body", fake.PathRepeat + "sound-2", "b", ""},
		{"stream", fake.PathResume + "sound-3", "b", "a1"},
		{"stream, no body", fake.PathResume + "sound-4", "", "a2"},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := startSoak(t)
			caller := callerFrom("127.0.9.2")
			// sendUntil sends to one entry until what is wanted has happened. The entry may refuse for a time: it closes
			// new connections while its processor is overloaded, and refuses a request of three ends until it learns that
			// the request has completed elsewhere.
			sendUntil := func(happened func(id string) bool) bool {
				for end := time.Now().Add(recoveryLimit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
					id := s.newID()
					o := s.sendTo(context.Background(), caller, s.fleet.entries[0], c.target, c.body, id, c.adapter)
					if happened(id) {
						return true
					}
					t.Logf("%s: status %d, sent again", id, o.Status)
				}
				return false
			}
			served := func() bool { return s.served(caller, c.target, c.body, c.adapter) }
			endCount := func() int { return len(s.fleet.fatal.of(c.target)) }
			for round := range rounds {
				before := endCount()
				s.fleet.fatal.set(c.target, true)
				ended := sendUntil(func(string) bool { return endCount() > before })
				s.fleet.fatal.set(c.target, false)
				if !ended {
					t.Fatalf("round %d: no upstream ended", round)
				}
				if !served() {
					t.Fatalf("round %d: not served after an upstream ended that ran it", round)
				}
			}
			for round := range rounds {
				for _, u := range s.fleet.upstreams() {
					s.fleet.current(u).AbortNext(1)
				}
				if !sendUntil(func(id string) bool { return s.fleet.runs(id) > 0 }) {
					t.Fatalf("round %d: no request reached an upstream whose connections are cut", round)
				}
				time.Sleep(200 * time.Millisecond)
				if !served() {
					t.Fatalf("round %d: not served after connections to upstreams were cut", round)
				}
			}
			if ends := endCount(); ends < rounds {
				t.Errorf("%d upstreams ended, want one in each of %d rounds", ends, rounds)
			}
			for _, what := range s.checkSound() {
				t.Error(what)
			}
		})
	}
}

// Guards against a sound request that three upstreams' own ends hit in a row, and that is refused at
// all entries for as long as they remember.
func TestSoundRequestIsServedAgainAfterThreeEnds(t *testing.T) {
	const target, body = fake.PathOnce + "sound-5", "b" // one send each, so that no fourth upstream ends
	s := startPlainSoak(t)
	caller := callerFrom("127.0.9.2")
	s.fleet.fatal.set(target, true)
	for n := 0; len(s.fleet.fatal.of(target)) < fatalEnds; n++ {
		s.sendTo(context.Background(), caller, s.fleet.entries[n%len(s.fleet.entries)], target, body, s.newID(), "")
		time.Sleep(100 * time.Millisecond)
	}
	s.fleet.fatal.set(target, false)
	time.Sleep(fatalDelay) // entries tell each other of ends and completions within this time
	for _, entry := range s.fleet.entries {
		if o := s.sendTo(context.Background(), caller, entry, target, body, s.newID(), ""); o.Status != http.StatusServiceUnavailable {
			t.Errorf("%s answers %d after three ends, want a refusal", entry, o.Status)
		}
	}
	if !s.servedWithin(trialTime, caller, target, body, "") {
		t.Error("not served again")
	}
	time.Sleep(fatalDelay)
	for _, entry := range s.fleet.entries {
		if o := s.sendTo(context.Background(), caller, entry, target, body, s.newID(), ""); o.Status != http.StatusOK {
			t.Errorf("%s answers %d after the request has completed", entry, o.Status)
		}
	}
}

// Guards against a check that can't fail: a request that reaches upstreams late and often.
func TestFatalCheckFindsLateRequests(t *testing.T) {
	const target = "/repeat/fatal"
	x := newFatal(1)
	x.set(target, true)
	var workers []*fake.Worker
	for range fatalEnds {
		w := &fake.Worker{ID: "w"}
		w.Start()
		x.record(target, w)
		x.record(target, w)
		workers = append(workers, w)
	}
	o := &observer{
		entry:     func(string) int { return 0 },
		disturbed: func(int, *fake.Worker, time.Time, time.Time) bool { return false },
	}
	for range fatalSends {
		workers[0].Arrive("1", target)
	}
	time.Sleep(fatalDelay + 10*time.Millisecond)
	for range fatalSends {
		workers[1].Arrive("2", target)
		workers[1].Arrive("3", "/repeat/another")
	}
	if broken := o.checkFatal(x, workers); len(broken) != 0 {
		t.Errorf("%d late requests are allowed: %q", fatalSends, broken)
	}
	workers[2].Arrive("4", target)
	if broken := o.checkFatal(x, workers); len(broken) != 1 {
		t.Errorf("got %q, want one too many", broken)
	}
	o.disturbed = func(int, *fake.Worker, time.Time, time.Time) bool { return true }
	if broken := o.checkFatal(x, workers); len(broken) != 0 {
		t.Errorf("an entry that was disturbed: %q", broken)
	}
}

// Guards against a check that can't fail: an entry's log line of a sound request that it refused.
func TestSoundCheckFindsRefusedRequests(t *testing.T) {
	s := &Soak{Dir: t.TempDir(), fleet: newFleet("", "", Size{}), sent: map[string]*request{"a-1": {target: "/repeat/fatal"}, "b-2": {target: "/repeat/x"}}}
	s.fleet.fatal.set("/repeat/fatal", true)
	line := `time=2026-01-01T00:00:00.000Z level=INFO msg=request process=entry-1 request=%s route=repeat customer=alpha adapter="" status=503 outcome=%s why="upstreams ended under this request" replica="" tries=0` + "\n"
	text := fmt.Sprintf(line, "a-1", "suspect") + fmt.Sprintf(line, "b-2", "served")
	for i := range entryCount {
		if err := os.WriteFile(filepath.Join(s.Dir, entryName(i)+".log"), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	if broken := s.checkSound(); len(broken) != 0 {
		t.Errorf("a fatal request that was refused: %q", broken)
	}
	if err := os.WriteFile(filepath.Join(s.Dir, entryName(0)+".log"), []byte(text+fmt.Sprintf(line, "b-2", "suspect")), 0o600); err != nil {
		t.Fatal(err)
	}
	if broken := s.checkSound(); len(broken) != 1 {
		t.Errorf("got %q, want the sound request", broken)
	}
}
