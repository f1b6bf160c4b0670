package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"magnoliastall.example/platform/fake"
)

const (
	graceCallers = 16
	// graceBefore is for how long callers send before the stop, graceAfter after it.
	graceBefore = 8 * time.Second
	graceAfter  = gracePeriod + 500*time.Millisecond
	// gracePause is the longest pause of a caller between two requests.
	gracePause = 60 * time.Millisecond
	// firstGraceNetwork is the network of the first fleet of these tests.
	firstGraceNetwork = 110
)

// lateAnswer is a request that was sent after the stop, and its answer.
type lateAnswer struct {
	id, path string
	// after is the time from the stop to when the request was sent, took that until its answer.
	after, took time.Duration
	outcome     fake.Outcome
}

// Guards against requests that come late in the grace period of a planned stop and are passed on though they can't end
// in time: they run, and their callers learn nothing of it. A refusal that is true is owed at once.
func TestRequestLateInTheGraceIsServedOrRefused(t *testing.T) {
	for i, c := range []struct {
		path, adapter string
		// work is how long requests last, body the time over which their bodies arrive.
		work, body time.Duration
	}{
		{fake.PathOnce, "", 300 * time.Millisecond, 0},
		{fake.PathOnce, "", 1500 * time.Millisecond, 0},
		{fake.PathRepeat, "", 1500 * time.Millisecond, 0},
		{fake.PathOnce, "", 2500 * time.Millisecond, 0},
		{fake.PathFlow, "", 1500 * time.Millisecond, 0},
		{fake.PathOnce, "", 900 * time.Millisecond, 1500 * time.Millisecond},
		{fake.PathStream, "a1", 0, 0},
		{fake.PathResume, "a1", 0, 0},
	} {
		t.Run(fmt.Sprint(strings.Trim(c.path, "/"), c.work, c.body), func(t *testing.T) {
			t.Parallel()
			s := startSoakOf(t, Size{Entries: 2, Engines: 3, Network: firstGraceNetwork + i})
			for _, u := range s.fleet.plains {
				s.fleet.current(u).SetCapacity(fake.Capacity{Slots: 4 * graceCallers, Work: c.work})
			}
			answers := s.stopUnderCallers(c.path, c.adapter, c.body)
			refused, failed := 0, 0
			for _, a := range answers {
				switch {
				case a.outcome.Status == http.StatusOK && a.outcome.Complete:
				case a.outcome.NotRun:
					refused++
					if n := s.fleet.runs(a.id); n > 0 {
						t.Errorf("%s was refused with %d and ran %d times", a.id, a.outcome.Status, n)
					}
				default:
					failed++
					t.Errorf("%s%s sent %s after the stop ended %s later with status %d, complete %t; it ran %d times",
						a.path, a.id, a.after, a.took, a.outcome.Status, a.outcome.Complete, s.fleet.runs(a.id))
				}
			}
			t.Logf("%d answers to requests of the grace period, %d refused, %d failed", len(answers), refused, failed)
			if len(answers) < graceCallers/2 {
				t.Errorf("only %d requests were sent in the grace period", len(answers))
			}
		})
	}
}

// stopUnderCallers stops the first entry while callers send to it on kept connections, and returns the answers to what
// they sent after the stop. A request whose connection was closed before it was read has no answer.
func (s *Soak) stopUnderCallers(path, adapter string, body time.Duration) []lateAnswer {
	var mu sync.Mutex
	var answers []lateAnswer
	var sending sync.WaitGroup
	stop := time.Now().Add(graceBefore)
	for n := range graceCallers {
		sending.Go(func() {
			rnd := rand.New(rand.NewPCG(s.Seed, uint64(n))) //nolint:gosec // not used as a secret
			c := &keptCaller{caller: &fake.Caller{Key: fake.Key}, address: s.fleet.entries[0], bodyTime: body}
			defer c.drop()
			for time.Since(stop) < graceAfter {
				m := fake.Message{Target: path + "x", ID: s.newID(), Body: "body", Adapter: adapter}
				if serviceOf(path) == fake.EngineService {
					m.Target = path + longSuffix
				}
				at := time.Now()
				o, wholeAt := c.send(s.fleet.ctx, m)
				crossed := o.Status == 0 && (wholeAt.IsZero() || (s.fleet.runs(m.ID) == 0 && time.Since(wholeAt) < lossSlack))
				if at.After(stop) && !crossed {
					mu.Lock()
					answers = append(answers, lateAnswer{m.ID, path, at.Sub(stop), time.Since(at), o})
					mu.Unlock()
				}
				time.Sleep(time.Duration(rnd.Int64N(int64(gracePause))))
			}
		})
	}
	time.Sleep(time.Until(stop))
	s.fleet.process(entryName(0)).signal(syscall.SIGTERM)
	sending.Wait()
	return answers
}
