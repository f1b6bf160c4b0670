package soak

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"magnoliastall.example/platform/fake"
	"magnoliastall.example/stand/endless"
)

const (
	// endlessPlay is how long requests are sent beside each row.
	endlessPlay = time.Second
	// One of endlessShare upstreams answers without end. Of the requests leastServed must be served all the same.
	endlessShare = 3
	leastServed  = 0.95
	// maxRowMemory is the resident memory, in bytes, that an entry may have beside rows that are no answer.
	maxRowMemory = 60 << 20
)

// Guards against answers without end that fill an entry's memory, hold requests to the end of their time or take them
// away from sound upstreams.
func TestEndlessAnswersTakeNoMemoryAndNoRequest(t *testing.T) {
	s := startSoakOf(t, Size{Entries: 2, Engines: 1, Plains: 2 * endlessShare})
	watching, unwatch := context.WithCancel(t.Context())
	watched := make(chan struct{})
	go func() {
		defer close(watched)
		s.pollUpstreams(watching)
	}()
	for _, row := range endlessRows() {
		before := s.statuses()
		var undo []func()
		for n := 0; n < len(s.fleet.plains); n += endlessShare {
			undo = append(undo, s.fleet.answerEndlessly(s.fleet.plains[n], row))
		}
		s.sendRepeatable(t.Context(), endlessPlay)
		for _, u := range undo {
			u()
		}
		all, got := 0, s.statuses()
		for status, n := range before {
			got[status] -= n
		}
		for _, n := range got {
			all += n
		}
		if served := got[http.StatusOK]; float64(served) < leastServed*float64(all) || got[0] > 0 || got[http.StatusGatewayTimeout] > 0 {
			t.Errorf("%s: answers by status %v, want %.2f of them served, none late, none without an answer", row, got, leastServed)
		}
		s.mu.Lock()
		largest := s.largest
		s.mu.Unlock()
		if !isOwnBody(row) && largest > maxRowMemory {
			t.Errorf("%s: an entry takes %d bytes, want %d at most", row, largest, maxRowMemory)
		}
		t.Logf("%s: %v, largest entry so far %.1f MB", row, got, float64(largest)/(1<<20))
	}
	unwatch()
	<-watched
	s.checkAll()
	for _, what := range s.violations {
		t.Error(what)
	}
}

// endlessRows returns all rows but that of valid events. Those whose bodies are kept up to a size are last, as memory is
// given back slowly.
func endlessRows() []endless.Row {
	var list []endless.Row
	for row := range endless.Events {
		if !isOwnBody(row) {
			list = append(list, row)
		}
	}
	return append(list, endless.Body, endless.Event)
}

// isOwnBody reports whether a row is the beginning of a sound answer of a plain service.
func isOwnBody(row endless.Row) bool { return row == endless.Body || row == endless.Event }

// statuses counts the answers so far by status, 0 for none or a part of one.
func (s *Soak) statuses() map[int]int {
	counts := map[int]int{}
	for _, r := range s.requestsInOrder() {
		status := r.outcome.Status
		if !r.outcome.Complete {
			status = 0
		}
		counts[status]++
	}
	return counts
}

// sendRepeatable has all callers send requests that may be repeated for a while.
func (s *Soak) sendRepeatable(ctx context.Context, length time.Duration) {
	ctx, stop := context.WithTimeout(ctx, length)
	defer stop()
	var sending sync.WaitGroup
	for i := range callers {
		sending.Go(func() {
			caller := &fake.Caller{HTTP: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}}, Key: fake.Key}
			for ctx.Err() == nil {
				s.sendLimited(caller, s.fleet.entries[i%len(s.fleet.entries)], fake.PathRepeat+"x", "")
			}
		})
	}
	sending.Wait()
}

// Guards against a fault that isn't played, or that outlives its end or its upstream's life.
func TestEndlessUpstreamServesNothing(t *testing.T) {
	f, u := &fleet{}, &upstream{worker: &fake.Worker{ID: "u"}, handler: &swapHandler{}}
	sound := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "sound") })
	u.handler.set(sound)
	s := httptest.NewServer(u.handler)
	defer s.Close()
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	get := func() string {
		res, err := client.Get(s.URL)
		if err != nil {
			return ""
		}
		defer res.Body.Close()
		text, _ := io.ReadAll(io.LimitReader(res.Body, 5))
		return string(text)
	}
	rnd := rand.New(rand.NewPCG(1, 1))
	for range 20 {
		name, undo := f.startEndless(u, rnd)
		if got := get(); got == "sound" {
			t.Errorf("%s: the upstream serves requests", name)
		}
		undo()
		if got := get(); got != "sound" {
			t.Errorf("after %s: got %q", name, got)
		}
	}
	_, first := f.startEndless(u, rnd)
	_, second := f.startEndless(u, rnd)
	first()
	second()
	if got := get(); got != "sound" {
		t.Errorf("after two faults that overlapped: got %q", got)
	}
	_, undo := f.startEndless(u, rnd)
	u.handler.set(http.NotFoundHandler()) // the next incarnation
	undo()
	if got := get(); got == "sound" {
		t.Error("the end of the fault brought an incarnation back that has ended")
	}
}
