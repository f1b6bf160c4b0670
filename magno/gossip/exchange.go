package gossip

// Receive takes a peer's message and returns the reply; false when the budget
// is used up.
func (s *State) Receive(in *Message) (*Message, bool) {
	s.init()
	s.join.answered(in.From, in.ConfigVersion)
	s.take(in)
	out, room, ok := s.message()
	if !ok {
		return nil, false
	}
	abroad := in.DataCentre != s.Self.DataCentre
	out.Deltas, room = s.deltas(in, room)
	if len(in.WantBuckets) > 0 {
		out.Records = s.groups(in.Scope, in.WantBuckets, abroad, room)
	} else if s.differs(in, out) {
		s.attachSums(in, out, &room)
		out.Records = s.rumours(room, abroad)
	}
	s.pay(out)
	return out, true
}

// rumours returns what is to be passed on; what isn't urgent leaves the reserve.
func (s *State) rumours(room int, abroad bool) []Record {
	return s.table.news(s.Clock.Now(), room, min(room, s.budget.tokens-reserve-overhead), abroad)
}

// differs is true when one side lacks records that concern it.
func (s *State) differs(in, out *Message) bool {
	return in.GlobalSum != out.GlobalSum || (in.DataCentre == out.DataCentre && in.LocalSum != out.LocalSum)
}

// groups returns the records of groups that fit in room.
func (s *State) groups(sc scope, want []int, abroad bool, room int) []Record {
	var out []Record
	if sc < inside || sc >= scopes || (abroad && sc != wide) {
		return nil
	}
	for _, g := range want[:min(len(want), mendGroups)] {
		if g < 0 || g >= groups {
			continue
		}
		var records []Record
		records, room = s.table.group(sc, g, s.Clock.Now(), room, s.Rand.IntN(1<<16))
		out = append(out, records...)
	}
	return out
}

// attachSums adds the sums of all groups of a scope that differs. While there
// is news it is most likely the reason, so that only each fourth time counts.
func (s *State) attachSums(in, out *Message, room *int) {
	const size = 4*groups*4/3 + 32
	if *room < size {
		return
	}
	if s.mends++; len(s.table.rumours) > 0 && s.mends%4 != 0 {
		return
	}
	out.Scope = wide
	if in.GlobalSum == out.GlobalSum {
		out.Scope = inside
	}
	out.BucketSums = s.table.encode(out.Scope)
	*room -= size
}

// HandleReply takes the reply to an exchange and returns a further message to the
// same peer when something still differs.
func (s *State) HandleReply(to Outbound, in *Message) []Outbound {
	s.init()
	delete(s.failed, to.Name)
	delete(s.retry, to.Name)
	s.join.answered(to.Name, in.ConfigVersion)
	s.take(in)
	if in.ConfigVersion > s.Store.Version() && in.ConfigVersion != s.refused {
		s.behind = to
	}
	now := s.Store.Now()
	var differ []int
	if in.Scope == inside || in.Scope == wide {
		differ = s.table.differ(in.Scope, in.BucketSums)
	}
	if len(differ) == 0 && (now == nil || in.ConfigVersion >= now.Version || in.ConfigVersion == 0) {
		return nil
	}
	m, room, ok := s.message()
	if !ok {
		return nil
	}
	m.Deltas, room = s.deltas(in, room)
	s.Rand.Shuffle(len(differ), func(i, k int) { differ[i], differ[k] = differ[k], differ[i] })
	m.Scope, m.WantBuckets = in.Scope, differ[:min(len(differ), mendGroups)]
	m.Records = s.groups(m.Scope, m.WantBuckets, in.DataCentre != s.Self.DataCentre, room)
	if len(m.Deltas) == 0 && len(m.WantBuckets) == 0 {
		return nil
	}
	s.pay(m)
	return []Outbound{{Name: to.Name, Address: to.Address, Message: m}}
}
