package site

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"magnoliastall.example/entry/relay"
	"magnoliastall.example/magno"
	"magnoliastall.example/magno/gate"
)

const (
	// callerTime and callerAim are long, so that the result doesn't depend on the machine's speed.
	callerTime = 10 * magno.Second
	callerAim  = 8 * magno.Second
	// machines, rounds and requests are the size of the replayed load: requests come at the same time
	// in each round.
	machines = 6
	rounds   = 4
	requests = 40
	// powerUpInterval is the time from the return of one machine to that of the next.
	powerUpInterval = 60 * time.Millisecond
)

// site is a pool of machines with two entries, of which one has each change of the list first.
type site struct {
	machines      []*machine
	ahead, behind *entry
	agentPort     int
	revision      magno.Revision
}

func startSite(t *testing.T) *site {
	t.Helper()
	_, port, err := net.SplitHostPort(freeAddress(t, "127.0.0.10"))
	if err != nil {
		t.Fatal(err)
	}
	s := &site{}
	if s.agentPort, err = strconv.Atoi(port); err != nil {
		t.Fatal(err)
	}
	for n := range machines {
		s.machines = append(s.machines, startMachine(t, n, s.agentPort))
	}
	first, second := freeAddress(t, "127.0.0.2"), freeAddress(t, "127.0.0.3")
	s.ahead = startEntry(t, nil, "ahead", first, s.agentPort, first, second)
	s.behind = startEntry(t, nil, "behind", second, s.agentPort, first, second)
	s.revision = 1
	changes := []magno.Change{{Key: "plan", Revision: 1, Plan: testPlan()}}
	for _, m := range s.machines {
		r := m.replica()
		changes = append(changes, magno.Change{Key: r.ID, Revision: 1, Replica: r})
	}
	for _, e := range []*entry{s.ahead, s.behind} {
		e.book.ApplyRead(changes, 1, true)
		waitFor(t, "the other entry", func() bool { alive, _ := e.peers.Count(); return alive == 2 })
	}
	s.settle(t)
	return s
}

// settle waits until both entries know the list and have a status of each agent.
func (s *site) settle(t *testing.T) {
	t.Helper()
	for _, e := range []*entry{s.ahead, s.behind} {
		waitFor(t, "the list", func() bool { return e.book.Current().Revision == s.revision })
		for _, m := range s.machines {
			key := m.replica().Key()
			waitFor(t, "the agents", func() bool { return s.hasSpec(t, m) && !e.desk.Down(key) })
		}
	}
}

// restart restarts engines, and updates the list of the entry that is ahead. If agents is true, their
// agents restart as well.
func (s *site) restart(t *testing.T, list []*machine, agents bool) {
	t.Helper()
	s.revision++
	var changes []magno.Change
	for _, m := range list {
		before := m.replica()
		if agents {
			m.stopAgent()
		}
		m.restart(t)
		after := m.replica()
		after.Since = s.revision
		changes = append(changes, magno.Change{Key: before.ID, Revision: s.revision, Deleted: true}, magno.Change{Key: after.ID, Revision: s.revision, Replica: after})
		if agents {
			m.startAgent(t, s.agentPort)
		}
	}
	s.ahead.book.ApplyRead(changes, s.revision, false)
	if agents {
		return // both entries send them their specs
	}
	for _, m := range list {
		waitFor(t, "the agents of new incarnations", func() bool { return s.hasSpec(t, m) })
	}
}

// hasSpec reports whether the agent of a machine has the spec of the current incarnation.
func (s *site) hasSpec(t *testing.T, m *machine) bool {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	var reply gate.StatusReply
	err := s.ahead.mesh.Call(ctx, net.JoinHostPort(m.ip, strconv.Itoa(s.agentPort)), gate.MethodStatus, gate.StatusCall{}, &reply)
	return err == nil && reply.Replica == m.replica().Key()
}

// powerUp starts a machine that lost power, and updates the list of the entry that is ahead.
func (s *site) powerUp(t *testing.T, m *machine) {
	t.Helper()
	before := m.replica()
	m.restart(t)
	m.startAgent(t, s.agentPort)
	s.revision++
	after := m.replica()
	after.Since = s.revision
	s.ahead.book.ApplyRead([]magno.Change{
		{Key: before.ID, Revision: s.revision, Deleted: true}, {Key: after.ID, Revision: s.revision, Replica: after},
	}, s.revision, false)
}

// outcome is the result of the requests of all rounds.
type outcome struct {
	mu     sync.Mutex
	served int
	took   []time.Duration
}

// load sends n requests to the entry that is behind, all at the same time.
func (s *site) load(t *testing.T, server *httptest.Server, round, n int, o *outcome) {
	t.Helper()
	var wg sync.WaitGroup
	for i := range n {
		wg.Go(func() {
			begin := time.Now()
			req, err := http.NewRequestWithContext(context.Background(), http.MethodPost, server.URL+"/p/1", nil)
			if err != nil {
				t.Error(err)
				return
			}
			req.Host, req.Header = "h.example", http.Header{"Id": {fmt.Sprintf("%d-%d", round, i)}, "Adapter": {fmt.Sprint("a", i%8)}}
			res, err := http.DefaultTransport.RoundTrip(req)
			if err != nil {
				t.Error(err)
				return
			}
			_ = res.Body.Close()
			o.mu.Lock()
			defer o.mu.Unlock()
			if res.StatusCode == http.StatusOK {
				o.served++
				o.took = append(o.took, time.Since(begin))
			}
		})
	}
	wg.Wait()
}

// oldPermits is a permit client whose agents name no incarnation in their refusals.
type oldPermits struct{ relay.Permits }

func (p oldPermits) Acquire(ctx context.Context, key string, req gate.Request) (*gate.PermitReply, error) {
	reply, err := p.Permits.Acquire(ctx, key, req)
	if err == nil && reply.Refusal != nil {
		reply.Status.Replica, reply.Status.Revision = "", 0
	}
	return reply, err
}

// oldPools are pools for which no request waits.
type oldPools struct{ relay.Pools }

func (p oldPools) Listed(service string) (int, <-chan struct{}) {
	_, usable := p.Pools.Listed(service)
	return 0, usable
}

// disableWaits makes the entry that is behind neither wait nor fetch, to compare with.
func (s *site) disableWaits() {
	h := s.behind.front.relay
	s.behind.desk.FetchRevision = nil
	h.Permits, h.Pools = oldPermits{h.Permits}, oldPools{h.Pools}
}

// startServer starts a site, with or without waits, and a server of the entry that is behind.
func startServer(t *testing.T, withWaits bool) (*site, *httptest.Server) {
	t.Helper()
	s := startSite(t)
	handler := s.behind.front.relay
	if !withWaits {
		s.disableWaits()
	}
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return s, server
}

// replay restarts the first machines in each round, sends requests meanwhile, and returns the outcome.
func replay(t *testing.T, withWaits, agents bool, restarted int) *outcome {
	t.Helper()
	s, server := startServer(t, withWaits)
	o := &outcome{}
	for round := range rounds {
		s.restart(t, s.machines[:restarted], agents)
		s.load(t, server, round, requests, o)
		s.settle(t)
	}
	for _, m := range s.machines {
		m.mu.Lock()
		if m.wrong > 0 {
			t.Errorf("%d requests reached an incarnation that they weren't meant for", m.wrong)
		}
		m.mu.Unlock()
	}
	return o
}

// replayOutage runs one outage in which all machines lose power and come back one after the other, with
// requests all the time.
func replayOutage(t *testing.T, withWaits bool) (o *outcome, sent int) {
	t.Helper()
	s, server := startServer(t, withWaits)
	for round := range 2 {
		s.load(t, server, round, requests, &outcome{}) // engines hold adapters now
	}
	o = &outcome{}
	for _, m := range s.machines {
		m.stopAgent()
		m.stopEngine()
	}
	var loads sync.WaitGroup
	for i, m := range s.machines {
		loads.Go(func() { s.load(t, server, 10+i, requests/machines, o) }) // fewer in total than may wait
		sent += requests / machines
		time.Sleep(powerUpInterval)
		s.powerUp(t, m)
	}
	loads.Wait()
	s.settle(t)
	return o, sent
}

// Replays the return of machines one after the other after a loss of power. Guards against refusals of
// requests that the next engine could serve.
func TestMachinesThatComeBackOneAfterTheOther(t *testing.T) {
	with, sent := replayOutage(t, true)
	without, _ := replayOutage(t, false)
	t.Logf("%d of %d served, and %d without", with.served, sent, without.served)
	if with.served != sent || without.served >= with.served {
		t.Errorf("%d of %d served, and %d without", with.served, sent, without.served)
	}
}

// Replays the first moment after a loss of power: engines are back as new incarnations, and the entry
// that requests come to hasn't heard of them yet. Guards against refusals that a fetch of the list, or a
// short wait, makes needless, and against sends to an incarnation that the entry's list doesn't name.
func TestFirstMomentAfterALossOfPower(t *testing.T) {
	for _, c := range []struct {
		name      string
		restarted int
		agents    bool
	}{
		{"all engines", machines, false},
		{"one engine", 1, false},
		{"all engines and agents", machines, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			fetches := metrics.GetOrCreateCounter(`fetches_total{cause="incarnation"}`)
			before := fetches.Get()
			with := replay(t, true, c.agents, c.restarted)
			fetched := fetches.Get() - before
			without := replay(t, false, c.agents, c.restarted)
			for name, o := range map[string]*outcome{"with": with, "without": without} {
				slices.Sort(o.took)
				slowest := time.Duration(0)
				if len(o.took) > 0 {
					slowest = o.took[len(o.took)-1]
				}
				t.Logf("%s: %d of %d served, slowest %v", name, o.served, rounds*requests, slowest.Round(time.Millisecond))
			}
			t.Logf("%d fetches in %d rounds", fetched, rounds)
			if with.served != rounds*requests {
				t.Errorf("%d of %d requests were served", with.served, rounds*requests)
			}
			if c.restarted == machines && without.served >= with.served {
				t.Errorf("as many were served without: %d", without.served)
			}
			if fetched > 2*rounds {
				t.Errorf("%d fetches, want at most two a round", fetched)
			}
		})
	}
}
