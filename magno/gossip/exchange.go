package gossip

// Receive handles a message of a peer and returns the reply, or false if the
// byte budget is used up.
func (s *State) Receive(in *Message) (*Message, bool) {
	s.init()
	s.join.heardFrom(in.From, in.ConfigVersion)
	s.apply(in)
	out, room, ok := s.newMessage()
	if !ok {
		return nil, false
	}
	remote := in.DataCentre != s.Self.DataCentre
	out.Deltas, room = s.deltasFor(in, room)
	if len(in.WantBuckets) > 0 {
		out.Records = s.bucketRecords(in.Scope, in.WantBuckets, remote, room)
	} else if s.sumsDiffer(in, out) {
		s.attachBucketSums(in, out, &room)
		out.Records = s.pendingRecords(room, remote)
	}
	s.charge(out)
	return out, true
}

// pendingRecords returns queued records that fit in room. Those that are not
// urgent leave the urgent reserve untouched.
func (s *State) pendingRecords(room int, remote bool) []Record {
	return s.table.dequeue(s.Clock.Now(), room, min(room, s.budget.tokens-urgentReserve-messageOverhead), remote)
}

// sumsDiffer reports whether the two sides differ in records that concern both.
func (s *State) sumsDiffer(in, out *Message) bool {
	return in.GlobalSum != out.GlobalSum || (in.DataCentre == out.DataCentre && in.LocalSum != out.LocalSum)
}

// bucketRecords returns the records of the wanted buckets that fit in room.
// Another data centre gets only records of global scope.
func (s *State) bucketRecords(sc scope, want []int, remote bool, room int) []Record {
	var out []Record
	if sc < scopeLocal || sc >= numScopes || (remote && sc != scopeGlobal) {
		return nil
	}
	for _, g := range want[:min(len(want), maxRepairBuckets)] {
		if g < 0 || g >= numBuckets {
			continue
		}
		var records []Record
		records, room = s.table.bucket(sc, g, s.Clock.Now(), room, s.Rand.IntN(1<<16))
		out = append(out, records...)
	}
	return out
}

// attachBucketSums adds all bucket sums of a scope that differs. While records
// are queued they are the likely cause of the difference, so that sums are only
// attached every fourth time.
func (s *State) attachBucketSums(in, out *Message, room *int) {
	const size = 4*numBuckets*4/3 + 32
	if *room < size {
		return
	}
	if s.mismatches++; len(s.table.queue) > 0 && s.mismatches%4 != 0 {
		return
	}
	out.Scope = scopeGlobal
	if in.GlobalSum == out.GlobalSum {
		out.Scope = scopeLocal
	}
	out.BucketSums = s.table.encodeSums(out.Scope)
	*room -= size
}

// HandleReply handles the reply to an exchange and returns a further message to
// the same peer if records or configuration still differ.
func (s *State) HandleReply(to Outbound, in *Message) []Outbound {
	s.init()
	delete(s.failedAt, to.Name)
	delete(s.retry, to.Name)
	s.join.heardFrom(to.Name, in.ConfigVersion)
	s.apply(in)
	if in.ConfigVersion > s.Store.Version() && in.ConfigVersion != s.rejected {
		s.pullFrom = to
	}
	now := s.Store.Current()
	var mismatched []int
	if in.Scope == scopeLocal || in.Scope == scopeGlobal {
		mismatched = s.table.mismatched(in.Scope, in.BucketSums)
	}
	if len(mismatched) == 0 && (now == nil || in.ConfigVersion >= now.Version || in.ConfigVersion == 0) {
		return nil
	}
	m, room, ok := s.newMessage()
	if !ok {
		return nil
	}
	m.Deltas, room = s.deltasFor(in, room)
	s.Rand.Shuffle(len(mismatched), func(i, k int) { mismatched[i], mismatched[k] = mismatched[k], mismatched[i] })
	m.Scope, m.WantBuckets = in.Scope, mismatched[:min(len(mismatched), maxRepairBuckets)]
	m.Records = s.bucketRecords(m.Scope, m.WantBuckets, in.DataCentre != s.Self.DataCentre, room)
	if len(m.Deltas) == 0 && len(m.WantBuckets) == 0 {
		return nil
	}
	s.charge(m)
	return []Outbound{{Name: to.Name, Address: to.Address, Message: m}}
}
