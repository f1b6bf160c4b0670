package site

import (
	"context"
	"errors"
	"net"
	"net/http/httptest"
	"strconv"
	"sync"
	"testing"
	"time"

	"magnoliastall.example/magno"
)

// fakeList is a platform's list that answers once it is up.
type fakeList struct {
	mu      sync.Mutex
	up      bool
	changes []magno.Change
	changed chan struct{}
}

var errListDown = errors.New("the list is down")

// add appends a change and assigns its revision.
func (l *fakeList) add(c magno.Change) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c.Revision = magno.Revision(len(l.changes) + 1)
	if c.Replica != nil {
		c.Replica.Since = c.Revision
	}
	l.changes = append(l.changes, c)
	if l.changed != nil {
		close(l.changed)
	}
	l.changed = make(chan struct{})
}

func (l *fakeList) start() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.up = true
}

// after returns the changes after a revision, and a channel that is closed on the next one.
func (l *fakeList) after(revision magno.Revision) ([]magno.Change, magno.Revision, <-chan struct{}, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.up {
		return nil, 0, nil, errListDown
	}
	return l.changes[min(int(revision), len(l.changes)):], magno.Revision(len(l.changes)), l.changed, nil
}

// All implements magno.Lister.
func (l *fakeList) All(context.Context, bool) ([]magno.Change, magno.Revision, error) {
	changes, revision, _, err := l.after(0)
	return changes, revision, err
}

// Wait implements magno.Lister.
func (l *fakeList) Wait(ctx context.Context, after magno.Revision, wait magno.Millis) ([]magno.Change, magno.Revision, error) {
	timer := time.NewTimer(wait.Duration())
	defer timer.Stop()
	for {
		changes, revision, changed, err := l.after(after)
		if err != nil || len(changes) > 0 {
			return changes, revision, err
		}
		select {
		case <-changed:
		case <-timer.C:
			return nil, revision, nil
		case <-ctx.Done():
			return nil, 0, ctx.Err()
		}
	}
}

// Replays a start of all processes at once after a loss of power: entries and agents know nothing, the
// list comes up a moment later and names the incarnations of before, and the engines follow one after
// the other. Guards against refusals of requests that the first engines can serve in time.
func TestRequestsDuringTheStartOfAFleet(t *testing.T) {
	_, port, err := net.SplitHostPort(freeAddress(t, "127.0.0.10"))
	if err != nil {
		t.Fatal(err)
	}
	agentPort, err := strconv.Atoi(port)
	if err != nil {
		t.Fatal(err)
	}
	list := &fakeList{}
	list.add(magno.Change{Key: "plan", Plan: testPlan()})
	for n := range machines {
		ip := machineIP(n)
		list.add(magno.Change{Key: machineID(ip, 1), Replica: &magno.Replica{
			ID: machineID(ip, 1), StartedAt: 1, Service: "s", Address: freeAddress(t, ip), DataCentre: "x", Slots: 16,
		}})
	}
	first, second := freeAddress(t, "127.0.0.2"), freeAddress(t, "127.0.0.3")
	entries := []*entry{
		startEntry(t, list, "one", first, agentPort, first, second), startEntry(t, list, "two", second, agentPort, first, second),
	}
	var servers []*httptest.Server
	for _, e := range entries {
		server := httptest.NewServer(e.front.relay)
		defer server.Close()
		servers = append(servers, server)
	}
	s, o := &site{}, &outcome{}
	var loads sync.WaitGroup
	sent := 0
	send := func() {
		for _, server := range servers {
			round := sent
			loads.Go(func() { s.load(t, server, round, 4, o) })
			sent += 4
		}
	}
	time.Sleep(powerUpInterval)
	list.start()
	for _, e := range entries {
		// The wait for the configuration ends after 300 ms, in which a busy machine may not bring it.
		waitFor(t, "the configuration", func() bool { return e.book.Current().Plan != nil })
	}
	for n := range machines {
		send()
		time.Sleep(powerUpInterval)
		m := startMachine(t, n, agentPort)
		m.restart(t)
		list.add(magno.Change{Key: machineID(m.ip, 1), Deleted: true})
		list.add(magno.Change{Key: m.replica().ID, Replica: m.replica()})
	}
	loads.Wait()
	t.Logf("%d of %d served", o.served, sent)
	if o.served != sent {
		t.Errorf("%d of %d requests were served", o.served, sent)
	}
}
