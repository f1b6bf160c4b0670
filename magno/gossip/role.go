package gossip

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"magnoliastall.example/magno"
)

// view is what follows from the members.
type view struct {
	// local are other members of this data centre that can be talked to.
	local []*Member
	// lost are other members of this data centre that are suspect or dead, or
	// never answered.
	lost []*Member
	// readers and relays of this data centre, Wide at most.
	readers, relays []*Member
	// centres lists other data centres, and far their members by rank as
	// relays.
	centres []string
	far     map[string][]*Member
}

// look returns the view, made anew after a change of members.
func (s *State) look() *view {
	if s.view != nil {
		return s.view
	}
	v := &view{far: map[string][]*Member{}}
	var chosen []*Member
	for _, e := range s.table.entries {
		m := e.record.Member
		if m == nil {
			continue
		}
		able := m.State == Live && !s.ghosts[m.Name]
		switch {
		case m.DataCentre != s.Self.DataCentre:
			if m.State == Live {
				v.far[m.DataCentre] = append(v.far[m.DataCentre], m)
			}
			continue
		case able:
			chosen = append(chosen, m)
		}
		if m.Name == s.Self.Name {
			continue
		}
		if able || (m.State == Leaving && !s.ghosts[m.Name]) {
			v.local = append(v.local, m)
		} else {
			v.lost = append(v.lost, m)
		}
	}
	byName := func(a, b *Member) int { return cmp.Compare(a.Name, b.Name) }
	slices.SortFunc(v.local, byName)
	slices.SortFunc(v.lost, byName)
	v.readers = slices.Clone(top(chosen, "reader"))
	v.relays = slices.Clone(top(chosen, "relay"))
	for dc, members := range v.far {
		v.centres = append(v.centres, dc)
		// Those that never answered come last, not never: a cut may have lain
		// between when this process started.
		heard := slices.DeleteFunc(slices.Clone(members), func(m *Member) bool { return s.ghosts[m.Name] })
		if len(heard) > 0 {
			members = heard
		}
		v.far[dc] = top(members, "relay")
	}
	slices.Sort(v.centres)
	s.view = v
	return v
}

// RoleCandidates is how many relays of another data centre are remembered, in
// order: when the first don't answer, the next are tried.
const RoleCandidates = 4 * RoleReplicas

// top returns the first members by rendezvous hash for a duty. Every process
// with the same members makes the same choice, and one member lost moves only
// its own place.
func top(members []*Member, duty string) []*Member {
	slices.SortFunc(members, func(a, b *Member) int {
		return cmp.Or(cmp.Compare(weight(b.Name, duty), weight(a.Name, duty)), cmp.Compare(a.Name, b.Name))
	})
	return members[:min(len(members), RoleCandidates)]
}

func weight(name, duty string) uint64 { return xxhash.Sum64String(duty + "\x00" + name) }

// holds is true when self is among the first Wide.
func holds(ranked []*Member, name string) bool {
	return among(ranked[:min(len(ranked), RoleReplicas)], name)
}

func among(members []*Member, name string) bool {
	return slices.ContainsFunc(members, func(m *Member) bool { return m.Name == name })
}

// IsReader is true when this process is to watch the configuration service for
// its data centre.
func (s *State) IsReader() bool {
	s.init()
	return holds(s.look().readers, s.Self.Name)
}

// IsRelay is true when this process exchanges with other data centres.
func (s *State) IsRelay() bool {
	s.init()
	return holds(s.look().relays, s.Self.Name)
}

// reconnect is how many exchanges there are, on average, to one that tries a
// lost member of the own data centre: after a cut heals somebody has to begin.
const reconnect = 8

// heirs is how many members, next in rank after the readers, talk to a reader
// in each exchange. By chance alone both readers lost with a rack would go
// unnoticed for as long as it takes to ask dozens of the dead.
const heirs = 4

// partners chooses who is talked to now.
func (s *State) partners(now magno.Millis) []*Member {
	v := s.look()
	n := 1
	switch {
	case s.news || s.seeking(now):
		n = fanout
	case s.table.pending(false):
		n = fanout - 1
	}
	chosen := s.pick(v.local, n, now)
	if holds(v.relays, s.Self.Name) {
		abroad := 1
		if s.table.pending(true) || s.fresh {
			abroad = fanout
		}
		chosen = append(chosen, s.distant(v, abroad, now)...)
	} else if s.news {
		near := v.relays[:min(len(v.relays), RoleReplicas)]
		chosen = append(chosen, s.pick(near, 1, now)...)
	}
	if heir := v.readers[min(len(v.readers), RoleReplicas):]; among(heir[:min(len(heir), heirs)], s.Self.Name) {
		chosen = append(chosen, v.readers[s.Rand.IntN(RoleReplicas)])
	}
	if len(v.lost) > 0 && s.Rand.IntN(reconnect) == 0 {
		chosen = append(chosen, v.lost[s.Rand.IntN(len(v.lost))])
	}
	for name := range s.retry {
		if e := s.table.entries["m"+name]; e != nil {
			chosen = append(chosen, e.record.Member)
		}
	}
	return distinct(chosen, s.Self.Name)
}

// pick returns up to n random members that answered when last asked.
func (s *State) pick(from []*Member, n int, now magno.Millis) []*Member {
	var out []*Member
	for _, i := range s.draw(len(from), 2*n) {
		if len(out) < n && !s.silent(from[i].Name, now) {
			out = append(out, from[i])
		}
	}
	return out
}

// draw returns up to k different numbers below n, in random order.
func (s *State) draw(n, k int) []int {
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

// distant picks a relay in each of n random other data centres.
func (s *State) distant(v *view, n int, now magno.Millis) []*Member {
	var out []*Member
	for _, i := range s.draw(len(v.centres), n) {
		if len(out) == n {
			break
		}
		ranked := v.far[v.centres[i]]
		first := s.Rand.IntN(min(len(ranked), RoleReplicas))
		for k := range ranked {
			m := ranked[(first+k)%len(ranked)]
			if !s.silent(m.Name, now) {
				out = append(out, m)
				break
			}
		}
	}
	return out
}

// silent is true when a member did not answer lately.
func (s *State) silent(name string, now magno.Millis) bool {
	at, failed := s.failed[name]
	return failed && now-at < failedFor
}

func distinct(members []*Member, self string) []*Member {
	seen := map[string]bool{self: true}
	return slices.DeleteFunc(members, func(m *Member) bool {
		had := seen[m.Name]
		seen[m.Name] = true
		return had
	})
}
