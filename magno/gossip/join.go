package gossip

import (
	"magnoliastall.example/magno"
)

const (
	// joinPeers is how many peers must answer before a process counts as
	// synced: with three, a single one that is itself behind doesn't decide.
	joinPeers = 3
	// joinTimeout is how long a starting process waits for them.
	joinTimeout = 10 * magno.Second
)

// join tracks a process that asks its peers for the configuration before it
// accepts requests. Without this step a process that starts beside a stale
// configuration service would serve a version that its peers replaced long ago,
// and users would get answers of retired adapters again.
type join struct {
	since magno.Millis
	// versions maps each peer that answered to its configuration version.
	versions map[string]int64
	// newest is the highest of versions.
	newest int64
	// seeded is true once the platform's list was read or a peer answered.
	seeded bool
	done   bool
	// noPeers is true if the join ended without an answer from any peer.
	noPeers bool
}

func (j *join) begin(now magno.Millis) {
	*j = join{since: now, versions: map[string]int64{}, seeded: j.seeded}
}

func (j *join) heardFrom(name string, version int64) {
	if !j.done {
		j.seeded = true
		j.versions[name] = version
		j.newest = max(j.newest, version)
	}
}

// Synced reports whether this process knows that it is not behind its peers:
// enough of them answered, and its version is as new as theirs. It becomes
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
	timedOut := s.Clock.Now()-j.since > joinTimeout
	if !j.seeded && !timedOut {
		return false
	}
	// Unreachable peers are given up after the timeout: when a whole fleet
	// starts under new names, the lagging list has only processes that are gone.
	if len(j.versions) >= min(joinPeers, s.reachable()) || timedOut {
		j.done, j.noPeers = true, len(j.versions) == 0
	}
	return j.done
}

// reachable counts the members that this process would ask: those of its data
// centre, or if it has none there, one in each other data centre.
func (s *State) reachable() int {
	v := s.currentView()
	if len(v.local) > 0 {
		return len(v.local)
	}
	return len(v.remoteCentres)
}

// joining reports whether this process still waits for answers of peers in its
// data centre.
func (s *State) joining(now magno.Millis) bool {
	j := &s.join
	return !j.done && len(j.versions) < joinPeers && now-j.since < joinTimeout && len(s.currentView().local) > 0
}

// MergeInstances merges the platform's list of instances. The list lags, so it
// never overrides what a process says of itself, except that an instance which
// is listed as leaving is announced as leaving to the peers.
func (s *State) MergeInstances(list []magno.Instance) {
	s.init()
	s.join.seeded = true
	now := s.Clock.Now()
	listed := make(map[string]bool, len(list))
	for i := range list {
		in := &list[i]
		listed[in.Name] = true
		if in.Name == s.Self.Name {
			s.mergeSelf(in)
			continue
		}
		e := s.table.entries["m"+in.Name]
		switch {
		case e == nil || e.record.Member.Incarnation == 0:
			s.mergeUnconfirmed(in, e, now)
		case in.State == magno.InstanceLeaving && precedence[e.record.Member.State] < precedence[Leaving]:
			m := *e.record.Member
			m.State, m.TTL = Leaving, 0
			s.merge(Record{Member: &m})
		}
	}
	for key, e := range s.table.entries {
		if m := e.record.Member; m != nil && m.Incarnation == 0 && !listed[m.Name] {
			s.table.drop(key)
			delete(s.neverReached, m.Name)
			s.view = nil
		}
	}
}

// mergeUnconfirmed stores an instance that is only known from the list.
func (s *State) mergeUnconfirmed(in *magno.Instance, old *entry, now magno.Millis) {
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
		s.scheduleUrgent()
	}
}

// mergeSelf applies the listed state of this process: operators may mark it as
// leaving and revert that.
func (s *State) mergeSelf(in *magno.Instance) {
	switch {
	case in.State == magno.InstanceLeaving && !s.listedLeaving:
		s.listedLeaving = true
		if s.Self.State != Leaving {
			s.Self.State = Leaving
			s.announceSelf()
		}
	case in.State == magno.InstanceLive && s.listedLeaving && !s.leaving:
		s.listedLeaving = false
		s.Self.State, s.Self.Global = Live, true
		s.Self.Incarnation++
		s.announceSelf()
	}
}
