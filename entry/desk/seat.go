package desk

import (
	"magnoliastall.example/magno"
	"magnoliastall.example/magno/gate"
)

// seat is what is known of one agent.
type seat struct {
	replica *magno.Replica
	addr    string
	// hash is that of the replica's key.
	hash uint64
	spec *gate.Spec
	// revision is that of the list when spec last changed.
	revision int64
	status   gate.StatusReply
	heard    magno.Millis
	// calm is true when status told nothing that choices hang on.
	calm   bool
	used   magno.Millis
	misses int
	// silent is when the first of the misses was.
	silent magno.Millis
	// polling is true while a poll is under way; asked is when the last began or
	// a permit told as much, told the revision that it was to bring.
	polling bool
	asked   magno.Millis
	told    int64
	// lost is closed once the agent counts as dead, and made anew when it
	// answers again.
	lost chan struct{}
	dead bool
	// unreached is true when the agent is dead and its engine can't be connected to.
	unreached bool
}

// down tells whether the engine is known not to answer, or to have started anew
// since the list named this incarnation.
func (s *seat) down() bool {
	return !s.dead && (s.status.Down || (s.status.EngineStart != 0 && s.status.EngineStart != s.replica.Born))
}

// calm tells whether an agent's state is, for those who choose among engines, the one
// before: nobody waits there, and the engine holds what it held.
func calm(was, is *gate.StatusReply) bool {
	return was.Replica == is.Replica && was.ListsHash == is.ListsHash && was.Down == is.Down && was.Leaving == is.Leaving &&
		is.Backlog.Wait <= calmWait && is.Backlog.BaseWait == 0 && len(is.Backlog.Coming) == 0
}

// pause is how long the agent isn't asked again. One that didn't answer is asked at once:
// with the usual pause of a large fleet it takes seconds to notice a machine that is gone,
// and its callers wait for that long.
func (s *seat) pause(p pauses) magno.Millis {
	switch {
	case s.misses > 0 && !s.dead:
		return min(p.busy, pollEvery)
	case s.down():
		return min(p.busy, pollDown)
	case s.calm && !s.dead:
		return p.calm
	}
	return p.busy
}

// fresh tells whether the agent needn't be asked now. Mine is true when this entry is the
// one of its data centre that asks it: the others are told what it answers, and ask only
// when no word came for longer.
func (s *seat) fresh(now magno.Millis, p pauses, mine bool) bool {
	pause := s.pause(p) - pollSlack
	if !mine {
		return now-s.asked < pause+max(wordSlack, pause/2)
	}
	return now-s.asked < pause && s.told == s.revision
}
