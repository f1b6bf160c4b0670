package desk

import (
	"fmt"
	"slices"
	"strconv"
	"testing"

	"github.com/cockroachdb/errors"

	"magnoliastall.example/magno"
	"magnoliastall.example/magno/gate"
)

// newEntries returns the clients of n entries of one data centre that know each other, and the
// clock of each.
func newEntries(n, agents int) ([]*Client, []*magno.Clock) {
	var clients []*Client
	var clocks []*magno.Clock
	for i := range n {
		client, clock := newFleet(agents)
		client.Addr = fmt.Sprintf("10.0.0.%d:7", i)
		client.Entries = func() (list []string) {
			for j := range n {
				list = append(list, fmt.Sprintf("10.0.0.%d:7", j))
			}
			return list
		}
		clients, clocks = append(clients, client), append(clocks, clock)
	}
	return clients, clocks
}

// If each entry of a large fleet polls each agent, their messages fill the links between data
// centres. One entry per data centre must poll an agent, and the agents must be shared about
// evenly.
func TestOneEntryOfADataCentreAsksAnAgent(t *testing.T) {
	const n, agents = 8, 400
	clients, clocks := newEntries(n, agents)
	asked := map[string]int{}
	for i, client := range clients {
		clocks[i].Advance(600)
		due := client.due()
		if len(due) < agents/n/2 || len(due) > agents/n*2 {
			t.Errorf("entry %d polls %d of %d agents", i, len(due), agents)
		}
		for _, s := range due {
			asked[s.replica.Key()]++
		}
	}
	for key, times := range asked {
		if times != 1 {
			t.Errorf("agent %s is polled by %d entries", key, times)
		}
	}
	if len(asked) != agents {
		t.Errorf("%d of %d agents are polled", len(asked), agents)
	}
}

// The entry that polls an agent for its data centre freezes, which the others don't know yet.
// They must poll the agent themselves after a second, or their requests are routed by stale
// state.
func TestOthersPollWhenNothingIsForwarded(t *testing.T) {
	clients, clocks := newEntries(2, 60)
	client, clock := clients[0], clocks[0]
	forwardAll := func() {
		for key := range client.agents {
			client.recordForwarded(&gate.StatusReply{Replica: key})
		}
	}
	for range 10 {
		clock.Advance(500)
		for _, s := range client.due() { // its own share
			s.polling = false
			if sh := client.currentShare(); !sh.owns(s) {
				t.Fatal("an agent is polled whose state was forwarded half a second ago")
			}
		}
		forwardAll()
	}
	clock.Advance(intervalsFor(len(client.agents), true).calm + forwardSlack)
	if got := len(client.due()); got != len(client.agents) {
		t.Errorf("%d of %d agents are polled though nothing is forwarded", got, len(client.agents))
	}
}

// countTraffic simulates the entries of a data centre for a number of seconds while no engine's
// state changes. It returns the polls of all entries and the forwarded messages that one entry
// receives.
func countTraffic(n, agents, seconds int) (polls, messages int) {
	const warmup = 5 // seconds until all agents count as calm
	clients, clocks := newEntries(n, agents)
	for tick := range (warmup + seconds) * int(magno.Second/pollInterval) {
		if tick == warmup*int(magno.Second/pollInterval) {
			polls, messages = 0, 0
		}
		var round [][]string
		for i, client := range clients {
			clocks[i].Advance(pollInterval)
			var keys []string
			for _, s := range client.due() {
				keys = append(keys, s.replica.Key())
			}
			round = append(round, keys)
		}
		asked := 0
		for i, keys := range round {
			polls += len(keys)
			if len(keys) > 0 {
				asked++
			}
			for _, key := range keys {
				s := clients[i].agents[key]
				s.polling = false
				clients[i].recordStatus(s, &gate.StatusReply{Replica: key}, 0)
				for j, other := range clients {
					if j != i {
						other.recordForwarded(&gate.StatusReply{Replica: key})
					}
				}
			}
		}
		messages += asked
	}
	return polls, messages
}

// Guards against forwarded state that grows with the fleet until an entry's machine does
// nothing else. With 4 to 20 times the entries and engines, an entry must receive at
// most twice the messages, and a data centre must poll at most twice as often.
func TestForwardedStatusesDoNotGrowWithTheFleet(t *testing.T) {
	const seconds = 20
	polls, messages := countTraffic(5, 50, seconds)
	for _, times := range []int{4, 10, 20} {
		p, w := countTraffic(5*times, 50*times, seconds)
		t.Log(times, p, w)
		if p > 2*polls || w > 2*messages {
			t.Errorf("%d times the fleet: %d polls and %d messages, %d and %d before", times, p, w, polls, messages)
		}
	}
}

// Guards against a calm engine that fills up within a second while its agent is polled seldom:
// it would be sent as many requests as when it had capacity.
func TestAgentWithNewsIsAskedSoon(t *testing.T) {
	client, clock := newFleet(1000)
	const key = "1@0"
	s := client.agents[key]
	client.recordStatus(s, &gate.StatusReply{Replica: key}, 0)
	client.recordStatus(s, &gate.StatusReply{Replica: key, Backlog: magno.Backlog{Wait: 2 * maxCalmWait}}, 0)
	s.polledAt, s.usedAt = clock.Now(), clock.Now()
	clock.Advance(maxPollScale * pollInterval)
	if !slices.Contains(client.due(), s) {
		t.Error("an agent at whose engine requests wait isn't polled within the usual interval")
	}
}

// An agent replies with a delta of the lists that the polling entry has. An entry with other
// lists must not apply it, and must poll the agent itself.
func TestDeltaOfAnotherListIsNotApplied(t *testing.T) {
	reply := func(warm ...uint32) gate.StatusReply {
		r := gate.StatusReply{Replica: "1@0", Backlog: magno.Backlog{Warm: warm}}
		r.SetListsHash()
		return r
	}
	for _, c := range []struct {
		name string
		has  gate.StatusReply
		want []uint32
		asks bool
	}{
		{"the same list", reply(1, 2), reply(2, 3).Backlog.Warm, false},
		{"another list", reply(7), []uint32{7}, true},
	} {
		client, clock := newFleet(2)
		s := client.agents["1@0"]
		s.status = c.has
		asked := s.polledAt
		clock.Advance(300)
		was, is := reply(1, 2), reply(2, 3)
		var recent gate.ListHistory
		recent.Record(&was)
		recent.Trim(&is, was.ListsHash)
		client.recordForwarded(&is)
		if got := fmt.Sprint(s.status.Backlog.Warm); got != fmt.Sprint(c.want) || (s.polledAt == asked) != c.asks {
			t.Errorf("%s: has %s, polls itself %v", c.name, got, s.polledAt == asked)
		}
	}
}

// An agent doesn't answer this entry, and another entry forwards its state. If the agent
// counted as reachable again, it would be assigned requests that never reach it.
func TestForwardedStatusDoesNotReviveALostAgent(t *testing.T) {
	client, clock := newFleet(2)
	s := client.agents["1@0"]
	for i := range maxMisses {
		client.recordMiss(s, errors.New("no answer"))
		clock.Advance(300)
		client.recordForwarded(&gate.StatusReply{Replica: "1@0"})
		if s.misses != i+1 {
			t.Error("a forwarded status cleared the misses of an agent")
		}
	}
	if !s.lost {
		t.Error("the agent doesn't count as lost")
	}
}

// Many replies arrive at once while forwarding is slow. The queue must not block what this
// entry learns itself.
func TestStatusesBeyondTheQueueAreDropped(t *testing.T) {
	client, _ := newFleet(1)
	client.forwardQueue = make(chan gate.StatusReply, 2)
	for i := range 5 {
		client.queueForward(gate.StatusReply{Replica: strconv.Itoa(i)})
	}
	if len(client.forwardQueue) != 2 {
		t.Errorf("%d statuses are queued, want 2", len(client.forwardQueue))
	}
}

// Most of thousands of engines have no agent that answers, for example because their machines
// are lost or the list has stale items. If each entry polled all of them in each interval, a
// small machine would do nothing else.
func TestThousandsOfLostAgentsAreAskedSeldom(t *testing.T) {
	const agents = 3000
	clients, clocks := newEntries(12, agents)
	client, clock := clients[0], clocks[0]
	for _, s := range client.agents {
		for range maxMisses {
			client.recordMiss(s, errors.New("no answer"))
		}
	}
	for range 8 {
		clock.Advance(pollInterval)
		list := client.due()
		if most := 2 * maxPolledPerTick; len(list) > most {
			t.Fatalf("%d agents are polled in one tick, want at most %d", len(list), most)
		}
		for _, s := range list {
			s.polling = false
			client.recordMiss(s, errors.New("no answer"))
		}
	}
}
