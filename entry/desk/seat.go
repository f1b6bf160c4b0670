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
	used     magno.Millis
	misses   int
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
	return !s.dead && (s.status.Down || (s.status.Born != 0 && s.status.Born != s.replica.Born))
}

// pause is how long the agent isn't asked again, given the usual one. One that
// didn't answer is asked at once: with the usual pause of a large fleet it takes
// seconds to notice a machine that is gone, and its callers wait for that long.
func (s *seat) pause(usual magno.Millis) magno.Millis {
	switch {
	case s.misses > 0 && !s.dead:
		return min(usual, pollEvery)
	case s.down():
		return min(usual, pollDown)
	}
	return usual
}

// fresh tells whether the agent needn't be asked now, given the usual pause. Mine is
// true when this entry is the one of its data centre that asks it: the others are told
// what it answers, and ask only when no word came for longer.
func (s *seat) fresh(now, usual magno.Millis, mine bool) bool {
	pause := s.pause(usual) - pollSlack
	if !mine {
		return now-s.asked < pause+wordSlack
	}
	return now-s.asked < pause && s.told == s.revision
}
