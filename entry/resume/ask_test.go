package resume

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"magnoliastall.example/magno/keeper"
	"magnoliastall.example/magno/origin"
)

// Guards against a call to each keeper for each stream of all callers that take theirs up at once: keepers
// answer none of them in time.
func TestManyStreamsAreAskedForInOneMessage(t *testing.T) {
	const streams = 1000
	_, asker, agent := startSilentPair(t)
	build := func(n int) string { return []string{"v1", "v2", ""}[n%3] }
	attempt := func(n int) string { return fmt.Sprint("stream-", n) }
	for n := range streams {
		if build(n) != "" {
			agent.Record(attempt(n), origin.Origin{Service: service, Build: build(n)})
		}
	}
	// As if a call to the agent ran.
	asker.questions.waiting = map[string][]*question{agent.Self: nil}
	var list []*question
	for n := range streams {
		q := &question{stream: origin.StreamID(attempt(n)), answers: make(chan answer, 1)}
		if asker.questions.add(agent.Self, q) {
			t.Fatal("a second call is made while one runs")
		}
		list = append(list, q)
	}
	asker.askInTurn(context.Background(), agent.Self)
	for n, q := range list {
		got := ""
		if r := <-q.answers; r.origin != nil {
			got = r.origin.Build
		} else if !r.answered {
			t.Fatal("the agent didn't answer")
		}
		if got != build(n) {
			t.Errorf("stream %d began at %q, want %q", n, got, build(n))
		}
	}
	if len(asker.questions.waiting) != 0 {
		t.Error("a call is taken for running that has ended")
	}
}

// Guards against answers that are given to the wrong one of those who ask at once, and against some that
// nobody answers.
func TestAllWhoAskAtOnceAreAnswered(t *testing.T) {
	f, asker, agent := startSilentPair(t)
	f.update(map[string][]string{service: {"v1", "v2"}})
	const streams = 64
	for n := range streams {
		agent.Record(fmt.Sprint(n), origin.Origin{Service: service, Build: fmt.Sprint("v", n)})
	}
	var wrong atomic.Int64
	var asking sync.WaitGroup
	for n := range streams {
		asking.Go(func() {
			for {
				got := asker.find(fmt.Sprint(n))
				if got != "" && strings.TrimPrefix(got, "v") != fmt.Sprint(n) {
					wrong.Add(1)
				}
				if got != "" {
					return
				}
			}
		})
	}
	asking.Wait()
	if n := wrong.Load(); n > 0 {
		t.Errorf("%d streams are taken for others", n)
	}
}

// Guards against a keeper of the version before that is asked for one stream and doesn't see it: the first of
// a call is where it was.
func TestOneStreamIsAskedForAsBefore(t *testing.T) {
	var c keeper.Call
	c.Add(0)
	c.Add(7)
	if c.Stream != 7 || len(c.Others) != 0 {
		t.Errorf("got %+v, want stream 7 alone", c)
	}
	r := keeper.Reply{Origin: &origin.Origin{Build: "v1"}}
	if o := r.Origins(&c)[7]; o == nil || o.Build != "v1" {
		t.Errorf("got %v, want v1", o)
	}
}
