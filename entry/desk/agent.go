package desk

import (
	"magnoliastall.example/magno"
	"magnoliastall.example/magno/gate"
)

// agentState is what is known about one agent and its engine.
type agentState struct {
	replica *magno.Replica
	addr    string
	// hash is the hash of the replica's key.
	hash uint64
	spec *gate.Spec
	// specRevision is the revision of the list at which spec last changed.
	specRevision magno.Revision
	status       gate.StatusReply
	heardAt      magno.Millis
	// calm is true if the last status changed nothing that routing depends on.
	calm   bool
	usedAt magno.Millis
	misses int
	// silentSince is when the first of the misses occurred.
	silentSince magno.Millis
	// polling is true while a poll is in flight. polledAt is when the last poll began, or when
	// a permit or another entry delivered the same information. sentRevision is the spec
	// revision that the poll was meant to deliver.
	polling      bool
	polledAt     magno.Millis
	sentRevision magno.Revision
	// roundTrip is the moving average of the time that polls take, in ms, zero before the first.
	roundTrip float64
	// downSince is when the engine was first reported as down, or as restarted, in a row.
	downSince magno.Millis
	// lostCh is closed once the agent counts as lost, and replaced when it answers again.
	lostCh chan struct{}
	lost   bool
	// removed is true once the replica isn't listed any more.
	removed bool
	// engine is the client of the engine itself, check the newest health check of it, and lastCheck the last one that has
	// ended. They are nil if there was none.
	engine           magno.EngineClient
	check, lastCheck *healthCheck
	// unreachable is true if the agent is lost and connections to its engine fail.
	unreachable bool
}

// down reports whether the engine is known to be down, or to have restarted since the list
// named this incarnation.
func (s *agentState) down() bool {
	return !s.lost && (s.status.Down || s.restarted())
}

// restarted reports whether the engine is known to have restarted since the list named this incarnation.
func (s *agentState) restarted() bool {
	return s.superseded() || (s.status.EngineStart != 0 && s.status.EngineStart != s.replica.StartedAt)
}

// superseded reports whether the agent has the spec of a later incarnation: a newer list than this
// entry's names that in place of the replica.
func (s *agentState) superseded() bool {
	return s.status.Replica != "" && s.status.Replica != s.replica.Key() && s.status.Revision > s.specRevision
}

// usable reports whether the agent answers for the replica and its engine isn't down.
func (s *agentState) usable() bool {
	return !s.lost && s.status.Replica == s.replica.Key() && !s.down()
}

// recordTrip takes the time that a poll took.
func (s *agentState) recordTrip(took magno.Millis) {
	if s.roundTrip == 0 {
		s.roundTrip = float64(took)
		return
	}
	s.roundTrip += roundTripWeight * (float64(took) - s.roundTrip)
}

// isCalm reports whether two states of an agent are equivalent for routing: nothing waits at
// the engine, and it holds the same models and adapters as before.
func isCalm(before, after *gate.StatusReply) bool {
	return before.Replica == after.Replica && before.ListsHash == after.ListsHash && before.Down == after.Down && before.Leaving == after.Leaving &&
		after.Backlog.Wait <= maxCalmWait && after.Backlog.BaseWait == 0 && len(after.Backlog.Loading) == 0
}

// interval returns the time until the next poll. An agent that missed a poll is polled again
// without delay: at the usual interval of a large fleet it would take seconds to detect a lost
// machine, and the callers that wait for it would be held up for as long. The same holds for one
// that was lost a short time ago, and may be back at any moment.
func (s *agentState) interval(now magno.Millis, p pollIntervals) magno.Millis {
	switch {
	case s.misses > 0 && (!s.lost || now-s.silentSince < recoveryTime):
		return min(p.busy, pollInterval)
	case s.down() && now-s.downSince < recoveryTime:
		return min(p.busy, pollInterval)
	case s.down():
		return min(p.busy, maxDownInterval)
	case s.calm && !s.lost:
		return p.calm
	}
	return p.busy
}

// isFresh reports whether the agent needn't be polled yet. owned is true if this entry polls
// the agent on behalf of its data centre. The other entries receive the replies from the owner,
// and poll the agent themselves only if none arrives for longer than usual.
func (s *agentState) isFresh(now magno.Millis, p pollIntervals, owned bool) bool {
	interval := s.interval(now, p) - tickSlack
	if !owned {
		return now-s.polledAt < interval+max(forwardSlack, interval/2)
	}
	return now-s.polledAt < interval && s.sentRevision == s.specRevision
}
