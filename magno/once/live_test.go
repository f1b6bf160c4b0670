package once

import (
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"magnoliastall.example/magno"
)

// Guards against split votes that leave a key without a holder although nothing failed. Two
// or three agents request the key at the same time, as when a caller immediately sends it
// again through other entries, and all but one of them must yield.
func TestSplitVotesFindOneHolder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(t, variant{doubledSlots: 0})
		for _, h := range sim.homes {
			h.staleConfig = false
		}
		sim.delayRetries = true
		sim.keys, sim.truths = nil, nil
		sim.advance(3 * skew)
		sim.issueKeyAt(sim.now)
		for i := range rapid.IntRange(2, 3).Draw(t, "homes") {
			sim.send(sim.homes[i], 0, 0)
		}
		for len(sim.packets) > 0 || len(sim.backingOff) > 0 {
			sim.deliverAllAndRetry(t)
		}
		granted := slices.IndexFunc(sim.tasks, func(k *task) bool { return k.granted })
		if granted < 0 {
			t.Fatalf("no holder was granted the key\n%s", strings.Join(sim.log, "\n"))
		}
	})
}

// deliverAllAndRetry delivers the pending packets in random order, then starts another round
// of all tasks that are backing off.
func (sim *simulation) deliverAllAndRetry(t *rapid.T) {
	for len(sim.packets) > 0 {
		i := rapid.IntRange(0, len(sim.packets)-1).Draw(t, "packet")
		p := sim.packets[i]
		sim.packets = append(sim.packets[:i:i], sim.packets[i+1:]...)
		sim.deliver(p, 0)
	}
	retrying := sim.backingOff
	sim.backingOff = nil
	for _, k := range retrying {
		sim.startRound(k)
	}
}

// Guards against a second run by a holder that yielded. Before its cessions arrive, a third
// holder may cede to it. If it then asked again, it would reach a quorum and run the key,
// and so would the rival to which it yielded, once the cessions arrive.
func TestHolderThatGaveWayNeverAsksAgain(t *testing.T) {
	c := newCluster(1)
	call := Call{Key: key(c.clock.Now(), 1), BodyHash: 1}
	rosters := []magno.Roster{c.roster}
	table := newKeyTable("b", "1", skew, retention, 10, 1<<20)
	adm := table.admit(c.clock.Now(), rosters, call)
	for i, q := range table.startRound(adm.record) {
		holder := []string{"b/1", "b/1", "b/1", "b/1", "a/1", "a/1", "c/1"}[i]
		table.handleReply(adm.record, 1, q.member, magno.GrantReply{Holder: holder}, true)
	}
	v, cessions := table.concludeVote(adm.record)
	if v != voteYield || len(cessions) != 7 || cessions[0].call.Cede != "a/1" {
		t.Fatalf("result %d, %+v", v, cessions)
	}
	again := table.admit(c.clock.Now(), rosters, call)
	if again.startVote || again.startRun || again.attempt.reply.Refusal.Run != magno.RunUnknown {
		t.Fatalf("sent again: %+v", again)
	}
}
