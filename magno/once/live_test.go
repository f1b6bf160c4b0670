package once

import (
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"magnoliastall.example/magno"
)

// Two or three agents ask for one key at the same moment, as when a caller
// sends again at once through other entries, and each gets some of the votes.
// Unless all but one give way, the caller is told "unknown" for ever though
// nothing failed.
func TestSplitVotesFindOneHolder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t, rules{doubled: 0})
		for _, h := range w.homes {
			h.stale = false
		}
		w.patient = true
		w.keys, w.truths = nil, nil
		w.advance(3 * skew)
		w.issueAt(w.now)
		for i := range rapid.IntRange(2, 3).Draw(t, "homes") {
			w.send(w.homes[i], 0, 0)
		}
		for len(w.packets) > 0 || len(w.resting) > 0 {
			w.settleDown(t)
		}
		granted := slices.IndexFunc(w.tasks, func(k *task) bool { return k.granted })
		if granted < 0 {
			t.Fatalf("nobody got the key\n%s", strings.Join(w.log, "\n"))
		}
	})
}

// settleDown delivers what is on its way in any order, then lets those ask
// again who wait for others to give way.
func (w *world) settleDown(t *rapid.T) {
	for len(w.packets) > 0 {
		i := rapid.IntRange(0, len(w.packets)-1).Draw(t, "packet")
		p := w.packets[i]
		w.packets = append(w.packets[:i:i], w.packets[i+1:]...)
		w.deliver(p, 0)
	}
	resting := w.resting
	w.resting = nil
	for _, k := range resting {
		w.ask(k)
	}
}

// An agent has given way to another that its messages haven't reached yet, and
// a third gives way to it meanwhile. Were it to ask again now, it would find a
// quorum and run, and so would the one that it gave way to once the messages
// arrive.
func TestHolderThatGaveWayNeverAsksAgain(t *testing.T) {
	b := newBench(1)
	call := Call{Key: key(b.clock.Now(), 1), BodyHash: 1}
	rosters := []magno.Roster{b.roster}
	book := newBook("b", "1", skew, retention, 10, 1<<20)
	o := book.open(b.clock.Now(), rosters, call)
	for i, q := range book.ask(o.record) {
		holder := []string{"b/1", "b/1", "b/1", "b/1", "a/1", "a/1", "c/1"}[i]
		book.hear(o.record, 1, q.member, magno.GrantReply{Holder: holder}, true)
	}
	v, cede := book.settle(o.record)
	if v != yield || len(cede) != 7 || cede[0].call.Cede != "a/1" {
		t.Fatalf("verdict %d, %+v", v, cede)
	}
	again := book.open(b.clock.Now(), rosters, call)
	if again.ask || again.run || again.attempt.reply.Refusal.Run != magno.RunUnknown {
		t.Fatalf("sent again: %+v", again)
	}
}
