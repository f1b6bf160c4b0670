package gossip

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"magnoliastall.example/magno"
)

// view is derived from the members and rebuilt after a change of them.
type view struct {
	// local are the other members of this data centre that are contacted.
	local []*Member
	// unreachable are the other members of this data centre that are suspect or
	// dead, or were listed but never answered.
	unreachable []*Member
	// readers and relays are the candidates of this data centre, in order of
	// rank; the first RoleReplicas of each have the role.
	readers, relays []*Member
	// remoteCentres are the other data centres, remoteRelays the candidates for
	// relays there, in order of rank.
	remoteCentres []string
	remoteRelays  map[string][]*Member
}

// currentView returns the view, rebuilt if members changed.
func (s *State) currentView() *view {
	if s.view != nil {
		return s.view
	}
	v := &view{remoteRelays: map[string][]*Member{}}
	var candidates []*Member
	for _, e := range s.table.entries {
		m := e.record.Member
		if m == nil {
			continue
		}
		eligible := m.State == Live && !s.neverReached[m.Name]
		switch {
		case m.DataCentre != s.Self.DataCentre:
			if m.State == Live {
				v.remoteRelays[m.DataCentre] = append(v.remoteRelays[m.DataCentre], m)
			}
			continue
		case eligible:
			candidates = append(candidates, m)
		}
		if m.Name == s.Self.Name {
			continue
		}
		if eligible || (m.State == Leaving && !s.neverReached[m.Name]) {
			v.local = append(v.local, m)
		} else {
			v.unreachable = append(v.unreachable, m)
		}
	}
	byName := func(a, b *Member) int { return cmp.Compare(a.Name, b.Name) }
	slices.SortFunc(v.local, byName)
	slices.SortFunc(v.unreachable, byName)
	v.readers = slices.Clone(topRanked(candidates, "reader"))
	v.relays = slices.Clone(topRanked(candidates, "relay"))
	for dc, members := range v.remoteRelays {
		v.remoteCentres = append(v.remoteCentres, dc)
		// Members that never answered are used only if there are no others, but
		// not excluded: this process may have started during a partition.
		reached := slices.DeleteFunc(slices.Clone(members), func(m *Member) bool { return s.neverReached[m.Name] })
		if len(reached) > 0 {
			members = reached
		}
		v.remoteRelays[dc] = topRanked(members, "relay")
	}
	slices.Sort(v.remoteCentres)
	s.view = v
	return v
}

// RoleCandidates is how many members are ranked for a role in a data centre;
// if the first don't answer, the next are tried.
const RoleCandidates = 4 * RoleReplicas

// topRanked returns the RoleCandidates best members by rendezvous hash for a
// role. Processes with the same members agree on the ranking, and the loss of
// one member only moves the roles that it had.
func topRanked(members []*Member, role string) []*Member {
	slices.SortFunc(members, func(a, b *Member) int {
		return cmp.Or(cmp.Compare(score(b.Name, role), score(a.Name, role)), cmp.Compare(a.Name, b.Name))
	})
	return members[:min(len(members), RoleCandidates)]
}

func score(name, role string) uint64 { return xxhash.Sum64String(role + "\x00" + name) }

// hasRole reports whether the member is among the first RoleReplicas.
func hasRole(ranked []*Member, name string) bool {
	return contains(ranked[:min(len(ranked), RoleReplicas)], name)
}

func contains(members []*Member, name string) bool {
	return slices.ContainsFunc(members, func(m *Member) bool { return m.Name == name })
}

// IsReader reports whether this process watches the configuration service for
// its data centre.
func (s *State) IsReader() bool {
	s.init()
	return hasRole(s.currentView().readers, s.Self.Name)
}

// IsRelay reports whether this process exchanges with other data centres.
func (s *State) IsRelay() bool {
	s.init()
	return hasRole(s.currentView().relays, s.Self.Name)
}

// reconnectOdds: one exchange in this many, on average, also tries an
// unreachable member of the data centre, so that the two sides of a partition
// find each other after it heals.
const reconnectOdds = 8

// readerSuccessors is how many members, next in rank after the readers, contact
// a reader in each exchange. With random peers alone, the loss of both readers
// in one rack would stay unnoticed while dozens of other lost members are tried.
const readerSuccessors = 4

// selectPeers chooses the peers of this exchange.
func (s *State) selectPeers(now magno.Millis) []*Member {
	v := s.currentView()
	n := 1
	switch {
	case s.urgent || s.joining(now):
		n = fanout
	case s.table.urgentPending(false):
		n = fanout - 1
	}
	chosen := s.pickResponsive(v.local, n, now)
	if hasRole(v.relays, s.Self.Name) {
		remote := 1
		if s.table.urgentPending(true) || s.configPending {
			remote = fanout
		}
		chosen = append(chosen, s.pickRemote(v, remote, now)...)
	} else if s.urgent {
		relays := v.relays[:min(len(v.relays), RoleReplicas)]
		chosen = append(chosen, s.pickResponsive(relays, 1, now)...)
	}
	if successors := v.readers[min(len(v.readers), RoleReplicas):]; contains(successors[:min(len(successors), readerSuccessors)], s.Self.Name) {
		chosen = append(chosen, v.readers[s.Rand.IntN(RoleReplicas)])
	}
	if len(v.unreachable) > 0 && s.Rand.IntN(reconnectOdds) == 0 {
		chosen = append(chosen, v.unreachable[s.Rand.IntN(len(v.unreachable))])
	}
	for name := range s.retry {
		if e := s.table.entries["m"+name]; e != nil {
			chosen = append(chosen, e.record.Member)
		}
	}
	return deduplicate(chosen, s.Self.Name)
}

// pickResponsive returns up to n random members that did not fail recently.
func (s *State) pickResponsive(from []*Member, n int, now magno.Millis) []*Member {
	var out []*Member
	for _, i := range s.randomIndexes(len(from), 2*n) {
		if len(out) < n && !s.failedRecently(from[i].Name, now) {
			out = append(out, from[i])
		}
	}
	return out
}

// randomIndexes returns distinct numbers below n in random order: k of them, or
// all if n is small.
func (s *State) randomIndexes(n, k int) []int {
	if n <= 2*k {
		return s.Rand.Perm(n)
	}
	out := make([]int, 0, k)
	for len(out) < k {
		if i := s.Rand.IntN(n); !slices.Contains(out, i) {
			out = append(out, i)
		}
	}
	return out
}

// pickRemote returns one relay in each of up to n random other data centres.
func (s *State) pickRemote(v *view, n int, now magno.Millis) []*Member {
	var out []*Member
	for _, i := range s.randomIndexes(len(v.remoteCentres), n) {
		if len(out) == n {
			break
		}
		ranked := v.remoteRelays[v.remoteCentres[i]]
		first := s.Rand.IntN(min(len(ranked), RoleReplicas))
		for k := range ranked {
			m := ranked[(first+k)%len(ranked)]
			if !s.failedRecently(m.Name, now) {
				out = append(out, m)
				break
			}
		}
	}
	return out
}

// failedRecently reports whether a member left a call unanswered within
// failedBackoff.
func (s *State) failedRecently(name string, now magno.Millis) bool {
	at, failed := s.failedAt[name]
	return failed && now-at < failedBackoff
}

// deduplicate removes self and repeated members.
func deduplicate(members []*Member, self string) []*Member {
	seen := map[string]bool{self: true}
	return slices.DeleteFunc(members, func(m *Member) bool {
		had := seen[m.Name]
		seen[m.Name] = true
		return had
	})
}
