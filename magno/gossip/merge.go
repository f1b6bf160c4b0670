package gossip

// PeerFailed reports that a peer did not answer. A peer of the same data centre
// becomes suspect when it fails a second time. Peers of another data centre are
// left to the processes there, since a partition between the two data centres
// is no evidence against the peer.
func (s *State) PeerFailed(name string) {
	s.init()
	now := s.Clock.Now()
	s.failedAt[name] = now
	s.view = nil
	e := s.table.entries["m"+name]
	if e == nil {
		return
	}
	m := *e.record.Member
	m.TTL = 0
	if m.Incarnation == 0 {
		s.neverReached[name] = true
		return
	}
	if m.DataCentre != s.Self.DataCentre || m.State != Live {
		return
	}
	if !s.retry[name] {
		s.retry[name] = true
		s.nextExchange = now
		return
	}
	delete(s.retry, name)
	m.State = Suspect
	s.merge(Record{Member: &m})
}

// apply merges the records and the configuration of a message.
func (s *State) apply(in *Message) {
	for _, r := range in.Records {
		if r.valid() {
			s.merge(r)
		}
	}
	s.applyConfig(in)
}

// merge stores a record if it supersedes the known one, and runs the hooks.
func (s *State) merge(r Record) {
	if m := r.Member; m != nil && m.Name == s.Self.Name {
		s.refute(m)
		return
	}
	if r.Mark != nil && r.Mark.TTL <= minTTL {
		return
	}
	if m := r.Member; m != nil {
		s.setGlobal(m)
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
	delete(s.neverReached, r.Member.Name)
	if s.OnMember != nil && (r.Member.State == Live || r.Member.State == Leaving) {
		s.OnMember(*r.Member)
	}
}

// setGlobal gives a member global scope if it is leaving, or if its record
// supersedes a global one: other data centres still have it as leaving.
func (s *State) setGlobal(m *Member) {
	if m.State == Leaving {
		m.Global = true
		return
	}
	if old := s.table.entries["m"+m.Name]; old != nil && old.scope == scopeGlobal && m.supersedes(old.record.Member) {
		m.Global = true
	}
}

// refute handles a record of this process that came from a peer. If it is wrong,
// this process raises its incarnation to override it.
func (s *State) refute(m *Member) {
	now := s.Clock.Now()
	if !m.supersedes(&s.Self) || now-s.refutedAt < refuteInterval {
		return
	}
	if m.State == Leaving && m.Incarnation == s.Self.Incarnation {
		// Another process read in the platform's list that this one is leaving.
		s.Self.State = Leaving
		if s.OnMember != nil {
			s.OnMember(s.Self)
		}
		s.announceSelf()
		return
	}
	if m.State == s.Self.State && m.Incarnation == s.Self.Incarnation {
		s.Self.Global = m.Global
		s.announceSelf()
		return
	}
	s.refutedAt = now
	s.Self.Incarnation = m.Incarnation + 1
	s.announceSelf()
}
