package gossip

import (
	"magnoliastall.example/magno"
)

// Figures of the start.
const (
	// joinPeers is how many peers are asked before a process counts as
	// settled: with three, one that is itself behind does not decide.
	joinPeers = 3
	// joinLimit is how long they are sought, in milliseconds.
	joinLimit = 10 * magno.Second
)

// join is the state of a process that asks its peers for the configuration
// before it takes work. Without it a process that starts beside a stale
// configuration service would serve a version that its peers gave up long ago,
// and users would see retired adapters answer again.
type join struct {
	since magno.Millis
	// heard maps peers to the version that each told.
	heard map[string]int64
	// newest is the highest version heard.
	newest int64
	// seeded is true once the platform's list, or a peer, told of others.
	seeded bool
	done   bool
	// alone is true when it was done without an answer from any peer.
	alone bool
}

func (j *join) begin(now magno.Millis) {
	*j = join{since: now, heard: map[string]int64{}, seeded: j.seeded}
}

func (j *join) answered(name string, version int64) {
	if !j.done {
		j.seeded = true
		j.heard[name] = version
		j.newest = max(j.newest, version)
	}
}

// Synced is true once this process knows that it is not behind its peers: as
// many as needed answered, and its version is as new as theirs. It becomes
// false again after the process was paused.
func (s *State) Synced() bool {
	s.init()
	j := &s.join
	if j.done {
		return true
	}
	version := s.Store.Version()
	if version == 0 || version < j.newest {
		return false
	}
	late := s.Clock.Now()-j.since > joinLimit
	if !j.seeded && !late {
		return false
	}
	// Peers that can't be reached are given up after the limit: a whole fleet
	// that starts under new names finds only the dead on the lagging list.
	if len(j.heard) >= min(joinPeers, s.reachable()) || late {
		j.done, j.alone = true, len(j.heard) == 0
	}
	return j.done
}

// reachable counts the members that this process would ask: those of its data
// centre, and of others when it is alone there.
func (s *State) reachable() int {
	v := s.look()
	if len(v.local) > 0 {
		return len(v.local)
	}
	return len(v.centres)
}

// seeking is true while a process that just started has not heard enough
// peers.
func (s *State) seeking(now magno.Millis) bool {
	j := &s.join
	return !j.done && len(j.heard) < joinPeers && now-j.since < joinLimit && len(s.look().local) > 0
}

// MergeInstances takes the platform's list of instances. It lags, so it never outweighs
// what a process says of itself; but the first to read there that an instance
// leaves tells the others.
func (s *State) MergeInstances(list []magno.Instance) {
	s.init()
	s.join.seeded = true
	now := s.Clock.Now()
	there := make(map[string]bool, len(list))
	for i := range list {
		in := &list[i]
		there[in.Name] = true
		if in.Name == s.Self.Name {
			s.seedSelf(in)
			continue
		}
		e := s.table.entries["m"+in.Name]
		switch {
		case e == nil || e.record.Member.Incarnation == 0:
			s.seedNew(in, e, now)
		case in.State == magno.InstanceLeaving && ranks[e.record.Member.State] < ranks[Leaving]:
			m := *e.record.Member
			m.State, m.TTL = Leaving, 0
			s.merge(Record{Member: &m})
		}
	}
	for key, e := range s.table.entries {
		if m := e.record.Member; m != nil && m.Incarnation == 0 && !there[m.Name] {
			s.table.drop(key)
			delete(s.ghosts, m.Name)
			s.view = nil
		}
	}
}

// seedNew keeps an instance that no process has told of yet.
func (s *State) seedNew(in *magno.Instance, old *entry, now magno.Millis) {
	m := &Member{Name: in.Name, Role: in.Role, DataCentre: in.DataCentre, Pool: in.Pool, Address: in.Address, State: Live}
	if in.State == magno.InstanceLeaving {
		m.State = Leaving
	}
	if old != nil && *old.record.Member == *m {
		return
	}
	s.table.drop("m" + m.Name)
	s.table.put(Record{Member: m}, now, 0, 0)
	s.view = nil
	if old == nil && !s.join.done {
		s.hasten()
	}
}

// seedSelf follows the list where it speaks of this process: operators may
// mark it as leaving, and take that back.
func (s *State) seedSelf(in *magno.Instance) {
	switch {
	case in.State == magno.InstanceLeaving && !s.listed:
		s.listed = true
		if s.Self.State != Leaving {
			s.Self.State = Leaving
			s.tellSelf()
		}
	case in.State == magno.InstanceLive && s.listed && !s.leaving:
		s.listed = false
		s.Self.State, s.Self.Global = Live, true
		s.Self.Incarnation++
		s.tellSelf()
	}
}
