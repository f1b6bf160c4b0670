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

// mates are the desks of one data centre's entries, which all know each other, and
// the clock of each.
func mates(n, agents int) ([]*Client, []*magno.Clock) {
	var desks []*Client
	var clocks []*magno.Clock
	for i := range n {
		d, clock := fleet(agents)
		d.Addr = fmt.Sprintf("10.0.0.%d:7", i)
		d.Entries = func() (list []string) {
			for j := range n {
				list = append(list, fmt.Sprintf("10.0.0.%d:7", j))
			}
			return list
		}
		desks, clocks = append(desks, d), append(clocks, clock)
	}
	return desks, clocks
}

// Each entry of a large fleet asks each agent for its state, and what they exchange
// fills the links between data centres. Of each data centre one entry asks, and the
// work is shared about evenly.
func TestOneEntryOfADataCentreAsksAnAgent(t *testing.T) {
	const n, agents = 8, 400
	desks, clocks := mates(n, agents)
	asked := map[string]int{}
	for i, d := range desks {
		clocks[i].Advance(600)
		mine := d.due()
		if len(mine) < agents/n/2 || len(mine) > agents/n*2 {
			t.Errorf("entry %d asks %d of %d agents", i, len(mine), agents)
		}
		for _, s := range mine {
			asked[s.replica.Key()]++
		}
	}
	for key, times := range asked {
		if times != 1 {
			t.Errorf("agent %s is asked by %d entries", key, times)
		}
	}
	if len(asked) != agents {
		t.Errorf("%d of %d agents are asked", len(asked), agents)
	}
}

// The entry that asks for its data centre freezes. The others don't know that yet, and
// their requests would go by word that grows old; after a second they ask themselves.
func TestOthersAskWhenNoWordComes(t *testing.T) {
	desks, clocks := mates(2, 60)
	d, clock := desks[0], clocks[0]
	word := func() {
		for key := range d.seats {
			d.told(&gate.StatusReply{Replica: key})
		}
	}
	for range 10 {
		clock.Advance(500)
		for _, s := range d.due() { // its own share
			s.polling = false
			if sh := d.share(); !sh.mine(s) {
				t.Fatal("an agent is asked of which word came half a second ago")
			}
		}
		word()
	}
	clock.Advance(pausesOf(len(d.seats), true).calm + wordSlack)
	if got := len(d.due()); got != len(d.seats) {
		t.Errorf("%d of %d agents are asked though no word comes", got, len(d.seats))
	}
}

// told counts what the entries of a data centre exchange in so many seconds while no
// engine has anything to tell: polls of all, and words to one entry.
func told(n, agents, seconds int) (polls, words int) {
	const warmup = 5 // seconds until all agents count as calm
	desks, clocks := mates(n, agents)
	for tick := range (warmup + seconds) * int(magno.Second/pollEvery) {
		if tick == warmup*int(magno.Second/pollEvery) {
			polls, words = 0, 0
		}
		var round [][]string
		for i, d := range desks {
			clocks[i].Advance(pollEvery)
			var keys []string
			for _, s := range d.due() {
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
				s := desks[i].seats[key]
				s.polling = false
				desks[i].heard(s, &gate.StatusReply{Replica: key}, 0)
				for j, other := range desks {
					if j != i {
						other.told(&gate.StatusReply{Replica: key})
					}
				}
			}
		}
		words += asked
	}
	return polls, words
}

// What an entry is told of engines grows with the fleet until its machine does nothing
// else: of ten times as many entries and engines, no more words come to an entry, and a
// data centre asks no more often.
func TestWordsDoNotGrowWithTheFleet(t *testing.T) {
	const seconds = 20
	polls, words := told(5, 50, seconds)
	for _, times := range []int{4, 10, 20} {
		p, w := told(5*times, 50*times, seconds)
		t.Log(times, p, w)
		if p > 2*polls || w > 2*words {
			t.Errorf("%d times the fleet: %d polls and %d words, before %d and %d", times, p, w, polls, words)
		}
	}
}

// An engine that was calm fills within a second. Asked seldom for longer, it would be sent
// all that it was sent while it had places.
func TestAgentWithNewsIsAskedSoon(t *testing.T) {
	d, clock := fleet(1000)
	const key = "1@0"
	s := d.seats[key]
	d.heard(s, &gate.StatusReply{Replica: key}, 0)
	d.heard(s, &gate.StatusReply{Replica: key, Backlog: magno.Backlog{Wait: 2 * calmWait}}, 0)
	s.asked, s.used = clock.Now(), clock.Now()
	clock.Advance(pollMost * pollEvery)
	if !slices.Contains(d.due(), s) {
		t.Error("an agent at whose engine requests wait isn't asked within the usual pause")
	}
}

// An agent tells the change of a list that the asking entry has. Another one may have
// a different list: it must not take the change for its own, and asks the agent itself.
func TestWordOfAnotherListIsNotTaken(t *testing.T) {
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
		d, clock := fleet(2)
		s := d.seats["1@0"]
		s.status = c.has
		asked := s.asked
		clock.Advance(300)
		was, is := reply(1, 2), reply(2, 3)
		var recent gate.ListHistory
		recent.Record(&was)
		recent.Trim(&is, was.ListsHash)
		d.told(&is)
		if got := fmt.Sprint(s.status.Backlog.Warm); got != fmt.Sprint(c.want) || (s.asked == asked) != c.asks {
			t.Errorf("%s: has %s, asks itself %v", c.name, got, s.asked == asked)
		}
	}
}

// An agent doesn't answer this entry, and another one passes on its word. Taken for
// well again, it would get requests that never reach it.
func TestWordDoesNotBringALostAgentBack(t *testing.T) {
	d, clock := fleet(2)
	s := d.seats["1@0"]
	for i := range deadAfter {
		d.missed(s, errors.New("no answer"))
		clock.Advance(300)
		d.told(&gate.StatusReply{Replica: "1@0"})
		if s.misses != i+1 {
			t.Error("word of another entry takes away that an agent didn't answer")
		}
	}
	if !s.dead {
		t.Error("the agent doesn't count as lost")
	}
}

// Many answers come at once, and the passing on is slow. None may hold up what this
// entry learns itself.
func TestAnswersThatCannotWaitAreLeftOut(t *testing.T) {
	d, _ := fleet(1)
	d.answers = make(chan gate.StatusReply, 2)
	for i := range 5 {
		d.tell(gate.StatusReply{Replica: strconv.Itoa(i)})
	}
	if len(d.answers) != 2 {
		t.Errorf("%d answers wait", len(d.answers))
	}
}

// Of thousands of engines most have no agent that answers: their machines are lost, or
// a list names what isn't there. Nobody has word of them. Were each entry to ask all of
// them at each pause, a small machine would do nothing else for its callers.
func TestThousandsOfLostAgentsAreAskedSeldom(t *testing.T) {
	const agents = 3000
	desks, clocks := mates(12, agents)
	d, clock := desks[0], clocks[0]
	for _, s := range d.seats {
		for range deadAfter {
			d.missed(s, errors.New("no answer"))
		}
	}
	for range 8 {
		clock.Advance(pollEvery)
		list := d.due()
		if most := 2 * mostPolled; len(list) > most {
			t.Fatalf("%d agents are asked at one tick, want %d at most", len(list), most)
		}
		for _, s := range list {
			s.polling = false
			d.missed(s, errors.New("no answer"))
		}
	}
}
