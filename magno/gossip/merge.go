package gossip

// PeerFailed notes that a peer did not answer. A peer of the same data centre
// becomes a suspect; of another data centre only its own processes judge, for
// a cut between the two says nothing about it.
func (s *State) PeerFailed(name string) {
	s.init()
	now := s.Clock.Now()
	s.failed[name] = now
	s.view = nil
	e := s.table.entries["m"+name]
	if e == nil {
		return
	}
	m := *e.record.Member
	m.TTL = 0
	if m.Incarnation == 0 {
		s.ghosts[name] = true
		return
	}
	if m.DataCentre != s.Self.DataCentre || m.State != Live {
		return
	}
	if !s.retry[name] {
		s.retry[name] = true
		s.next = now
		return
	}
	delete(s.retry, name)
	m.State = Suspect
	s.merge(Record{Member: &m})
}

// take merges what a message brings.
func (s *State) take(in *Message) {
	for _, r := range in.Records {
		if r.valid() {
			s.merge(r)
		}
	}
	s.takeConfig(in)
}

// merge takes one record and hastens when it is news.
func (s *State) merge(r Record) {
	if m := r.Member; m != nil && m.Name == s.Self.Name {
		s.contradict(m)
		return
	}
	if r.Mark != nil && r.Mark.TTL <= leastLeft {
		return
	}
	if m := r.Member; m != nil {
		s.widen(m)
	}
	if !s.put(r) {
		return
	}
	if r.Mark != nil {
		if s.OnMark != nil {
			s.OnMark(*r.Mark)
		}
		return
	}
	delete(s.ghosts, r.Member.Name)
	if s.OnMember != nil && (r.Member.State == Live || r.Member.State == Leaving) {
		s.OnMember(*r.Member)
	}
}

// widen makes a record concern all data centres when it leaves, or when it
// replaces one that did: others still hold the member for leaving.
func (s *State) widen(m *Member) {
	if m.State == Leaving {
		m.Global = true
		return
	}
	if old := s.table.entries["m"+m.Name]; old != nil && old.scope == wide && m.over(old.record.Member) {
		m.Global = true
	}
}

// contradict answers what others hold of this process.
func (s *State) contradict(m *Member) {
	now := s.Clock.Now()
	if !m.over(&s.Self) || now-s.contradicted < contradictEvery {
		return
	}
	if m.State == Leaving && m.Incarnation == s.Self.Incarnation {
		// Another process read in the platform's list that this one leaves.
		s.Self.State = Leaving
		if s.OnMember != nil {
			s.OnMember(s.Self)
		}
		s.tellSelf()
		return
	}
	if m.State == s.Self.State && m.Incarnation == s.Self.Incarnation {
		s.Self.Global = m.Global
		s.tellSelf()
		return
	}
	s.contradicted = now
	s.Self.Incarnation = m.Incarnation + 1
	s.tellSelf()
}
